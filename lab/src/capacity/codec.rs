//! Sizes on the wire: encodes records like those of the target fleet with the codec that the daemon uses.

use mintgate::ZoneId;
use mintgate::fleet::distribution::{
    self, Change, ChildReport, DistributionMessage, Interest, Key, Page, Topic, Value, Version, WorkerRecord,
};
use mintgate::fleet::gossip::{GossipEntry, GossipTopic, GossipUpdate};
use mintgate::fleet::overload::Demand;
use mintgate::fleet::{Process, message};
use std::net::{Ipv4Addr, SocketAddr};

/// The sequence number after a year of changes.
const SEQUENCE_AFTER_A_YEAR: u64 = 50_000_000;
/// An example fence: the Unix time in milliseconds at the start of its term.
const EXAMPLE_FENCE_UNIX_MS: u64 = 1_796_165_888_725;

fn process() -> Process {
    Process { index: 17_999, incarnation: u64::MAX / 3 }
}

fn encoded_bytes(message: DistributionMessage) -> f64 {
    distribution::datagram(EXAMPLE_FENCE_UNIX_MS, process(), &[message]).len() as f64
}

fn page(changes: Vec<Change>) -> DistributionMessage {
    let head = Version { fence: EXAMPLE_FENCE_UNIX_MS, sequence: SEQUENCE_AFTER_A_YEAR };
    let after = SEQUENCE_AFTER_A_YEAR - changes.len() as u64;
    let (digest, since, publishes, age_ms) = (u64::MAX / 5, SEQUENCE_AFTER_A_YEAR - 10_000, 0, 250);
    let steps = vec![1; changes.len()];
    let (start, upto) = (after, SEQUENCE_AFTER_A_YEAR);
    DistributionMessage::Page(Page {
        start,
        after,
        upto,
        head,
        since,
        digest,
        publishes,
        age_ms,
        steps,
        changes,
    })
}

fn worker(id: u64) -> Change {
    let address = SocketAddr::from((Ipv4Addr::new(10, 200, 30, 40), 9_000));
    let (zone, cell) = (17, 200);
    let record = WorkerRecord {
        address,
        zone,
        cell,
        kind: 1,
        draining: false,
        weight_milli: 1_000,
        started_ms: EXAMPLE_FENCE_UNIX_MS,
    };
    Change {
        topic: Topic::workers_of(ZoneId(zone)),
        key: Key::Worker(id),
        value: Some(Value::Worker(record)),
    }
}

fn class(name: u64, length: f64) -> Change {
    let text = "x".repeat(length as usize);
    Change {
        topic: Topic::SETTINGS,
        key: Key::Class(format!("class-{name:06}")),
        value: Some(Value::Class(text)),
    }
}

/// Bytes that each additional change takes in a page.
fn bytes_per_change(change: impl Fn(u64) -> Change) -> f64 {
    encoded_bytes(page((0..2).map(|n| change(40_000 + n)).collect()))
        - encoded_bytes(page(vec![change(40_000)]))
}

/// Bytes of a worker's record in a page.
pub fn worker_bytes() -> f64 {
    bytes_per_change(worker)
}

/// Bytes of the record of a class whose text has `length` bytes.
pub fn class_bytes(length: f64) -> f64 {
    bytes_per_change(|n| class(n, length))
}

/// Bytes of a page without changes.
pub fn empty_page_bytes() -> f64 {
    encoded_bytes(page(vec![]))
}

/// Bytes of a child's heartbeat.
pub fn report_bytes() -> f64 {
    let version = Version { fence: EXAMPLE_FENCE_UNIX_MS, sequence: SEQUENCE_AFTER_A_YEAR };
    encoded_bytes(DistributionMessage::Report(ChildReport {
        interest: Interest::All,
        version,
        digest: u64::MAX / 5,
        staged: None,
    }))
}

/// Bytes on the wire of this many bytes of changes in full pages, including page headers.
pub fn with_page_headers(bytes: f64) -> f64 {
    bytes * (1.0 + empty_page_bytes() / page_capacity_bytes())
}

/// Capacity of one page or batch, in bytes of changes.
pub fn page_capacity_bytes() -> f64 {
    distribution::PAGE_BYTES as f64
}

/// Number of worker changes that fit into one batch.
pub fn workers_per_batch() -> f64 {
    (page_capacity_bytes() / worker_bytes()).floor()
}

/// Bytes of a datagram in which a scheduler reports its demand to the overload controller.
pub fn demand_bytes() -> f64 {
    let demand = Demand { offered: [100, 11, 0, 0], served: 110, open: 22 };
    let entry =
        GossipEntry { topic: GossipTopic::Process(17_999), update: GossipUpdate::Demand(demand), age_ms: 0 };
    let datagram = message::Datagram {
        from: process(),
        leases: vec![],
        swim: vec![],
        who: None,
        gossip: vec![entry],
        distribution: vec![],
    };
    message::write(EXAMPLE_FENCE_UNIX_MS, &datagram).len() as f64
}
