//! Measurements of a domain: traffic of its processes, propagation time of versions, and comparison of records.

use super::{Domain, Role};
use crate::hollow::HollowNode;
use crate::ledger::{Ledger, Records, hash_of, records_of};
use crate::network::{Network, Traffic};
use mintgate::fleet::distribution::{Interest, Topic, Version};
use mintgate::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a version took until it was installed at a set of processes.
#[derive(Clone, Debug, PartialEq)]
pub struct Propagation {
    /// Number of processes.
    pub of: usize,
    /// Processes that have not installed it.
    pub missing: usize,
    /// Median of those that have installed it.
    pub median: Duration,
    /// 99th percentile of those that have installed it.
    pub percentile_99: Duration,
    /// Maximum of those that have installed it.
    pub last: Duration,
}

impl Propagation {
    pub(super) fn new(spans: Vec<Option<Duration>>) -> Propagation {
        let mut sorted: Vec<Duration> = spans.iter().flatten().copied().collect();
        sorted.sort();
        let quantile = |part: f64| {
            let rank = (sorted.len() as f64 * part).ceil() as usize;
            sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
        };
        Propagation {
            of: spans.len(),
            missing: spans.len() - sorted.len(),
            median: quantile(0.5),
            percentile_99: quantile(0.99),
            last: quantile(1.0),
        }
    }
}

/// Traffic of the processes of a role, sent plus received, per second and process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficRate {
    /// Number of processes.
    pub processes: usize,
    /// Bytes per second, mean of the processes.
    pub bytes: f64,
    /// Bytes per second, maximum of the processes.
    pub bytes_max: f64,
    /// Datagrams per second, mean of the processes.
    pub datagrams: f64,
    /// Datagrams per second, maximum of the processes.
    pub datagrams_max: f64,
}

/// Bytes that each control process sent in its busiest second.
#[derive(Default)]
pub(super) struct Peaks {
    since: Timestamp,
    sent: BTreeMap<SocketAddr, u64>,
    max: BTreeMap<SocketAddr, u64>,
}

const PEAK_INTERVAL: Duration = Duration(1_000_000_000);

impl Peaks {
    pub(super) fn due(&self, now: Timestamp) -> Timestamp {
        (self.since + PEAK_INTERVAL).max(now + Duration(1))
    }
}

impl Domain {
    pub(super) fn count_peaks(&mut self) {
        let now = self.now();
        if now.0 < self.peaks.since.0 + PEAK_INTERVAL.0 {
            return;
        }
        let skipped = self.peaks.since.0 + 2 * PEAK_INTERVAL.0 < now.0;
        self.peaks.since = now;
        for (role, index) in self.control() {
            let at = self.address(role, index);
            let sent = self.network.traffic(at).bytes_sent;
            let before = self.peaks.sent.insert(at, sent).filter(|before| *before <= sent).unwrap_or(0);
            let max = self.peaks.max.entry(at).or_default();
            if !skipped {
                *max = (*max).max(sent - before);
            }
        }
    }

    /// Bytes that each control process sent in its busiest second since [`Domain::reset_peaks`].
    pub fn peaks(&self) -> &BTreeMap<SocketAddr, u64> {
        &self.peaks.max
    }

    /// Discards the peaks counted so far.
    pub fn reset_peaks(&mut self) {
        self.peaks.max.clear();
    }

    /// Traffic of each process since its start.
    pub fn traffic(&self) -> BTreeMap<SocketAddr, Traffic> {
        self.network.processes().map(|(at, _)| (at, self.network.traffic(at))).collect()
    }

    /// Runs for `span` and returns the traffic rates of replicas, relays and subscribers, in this order. Processes that
    /// start or end meanwhile are excluded.
    pub fn measure(&mut self, span: Duration) -> [TrafficRate; 3] {
        let before = self.traffic();
        self.run(span);
        let after = self.traffic();
        [Role::Replica, Role::Relay, Role::Subscriber].map(|role| {
            let traffic_pairs =
                self.running(role).filter_map(|(at, _)| Some((before.get(&at)?, after.get(&at)?)));
            traffic_rate(traffic_pairs, span.secs())
        })
    }
}

fn traffic_rate<'a>(
    traffic_pairs: impl Iterator<Item = (&'a Traffic, &'a Traffic)>,
    seconds: f64,
) -> TrafficRate {
    let bytes = |traffic: &Traffic| traffic.bytes_sent + traffic.bytes_received;
    let datagrams = |traffic: &Traffic| traffic.datagrams_sent + traffic.datagrams_received;
    let mut rate = TrafficRate::default();
    for (before, after) in traffic_pairs {
        let bytes = bytes(after).saturating_sub(bytes(before)) as f64 / seconds;
        let datagrams = datagrams(after).saturating_sub(datagrams(before)) as f64 / seconds;
        rate.processes += 1;
        rate.bytes += bytes;
        rate.datagrams += datagrams;
        rate.bytes_max = rate.bytes_max.max(bytes);
        rate.datagrams_max = rate.datagrams_max.max(datagrams);
    }
    let count = rate.processes.max(1) as f64;
    rate.bytes /= count;
    rate.datagrams /= count;
    rate
}

fn subscribed_topics(interest: &Interest) -> Option<Vec<Topic>> {
    match interest {
        Interest::All => None,
        Interest::Topics(topics) => Some(topics.clone()),
    }
}

/// Compares the records at every process with those committed as its version.
pub(super) fn compare_records(network: &Network<HollowNode>, ledger: &mut Ledger) {
    let mut committed: BTreeMap<(Version, Option<Vec<Topic>>), Option<Records>> = BTreeMap::new();
    for (at, process) in network.processes() {
        let (version, interest) = (process.node().version(), process.interest());
        let expected = committed
            .entry((version, subscribed_topics(interest)))
            .or_insert_with(|| ledger.records_at(version, interest));
        let records = records_of(process.node());
        if expected.as_ref() != Some(&records) {
            ledger.record_violation(format!("{at} does not hold the committed records of {version:?}"));
        }
        let hashes = records.iter().map(|((topic, key), value)| hash_of(*topic, key, value));
        if hashes.fold(0, u64::wrapping_add) != process.node().digest() {
            ledger.record_violation(format!(
                "{at} has a digest at {version:?} that does not match its records"
            ));
        }
    }
}
