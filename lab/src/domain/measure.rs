//! What a domain's processes send, how fast versions reach them, and whether they hold what they say.

use super::{Domain, Role};
use crate::hollow::HollowNode;
use crate::ledger::{Ledger, Records, hash_of, records_of};
use crate::network::{Network, Traffic};
use mintgate::fleet::distribution::{Interest, Topic, Version};
use mintgate::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a version took to be in force at some processes.
#[derive(Clone, Debug, PartialEq)]
pub struct Propagation {
    /// Of how many.
    pub of: usize,
    /// Those where it isn't in force.
    pub missing: usize,
    /// At half of those that have it.
    pub median: Duration,
    /// At 99 in 100 of those that have it.
    pub percentile_99: Duration,
    /// At the last of those that have it.
    pub last: Duration,
}

impl Propagation {
    pub(super) fn new(spans: Vec<Option<Duration>>) -> Propagation {
        let mut reached: Vec<Duration> = spans.iter().flatten().copied().collect();
        reached.sort();
        let rank = |part: f64| {
            let rank = (reached.len() as f64 * part).ceil() as usize;
            reached.get(rank.saturating_sub(1)).copied().unwrap_or_default()
        };
        Propagation {
            of: spans.len(),
            missing: spans.len() - reached.len(),
            median: rank(0.5),
            percentile_99: rank(0.99),
            last: rank(1.0),
        }
    }
}

/// What processes of a role sent and received, for each second and process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficRate {
    /// Processes.
    pub processes: usize,
    /// Bytes: mean of the processes.
    pub bytes: f64,
    /// Bytes: the most of all.
    pub bytes_max: f64,
    /// Datagrams: mean of the processes.
    pub datagrams: f64,
    /// Datagrams: the most of all.
    pub datagrams_max: f64,
}

/// What control processes sent in their busiest second.
#[derive(Default)]
pub(super) struct Peaks {
    since: Timestamp,
    sent: BTreeMap<SocketAddr, u64>,
    most: BTreeMap<SocketAddr, u64>,
}

const SECOND: Duration = Duration(1_000_000_000);

impl Peaks {
    pub(super) fn due(&self, now: Timestamp) -> Timestamp {
        (self.since + SECOND).max(now + Duration(1))
    }
}

impl Domain {
    pub(super) fn count_peaks(&mut self) {
        let now = self.now();
        if now.0 < self.peaks.since.0 + SECOND.0 {
            return;
        }
        let first = self.peaks.since.0 + 2 * SECOND.0 < now.0;
        self.peaks.since = now;
        for (role, index) in self.control() {
            let at = self.address(role, index);
            let sent = self.network.traffic(at).bytes_sent;
            let before = self.peaks.sent.insert(at, sent).filter(|before| *before <= sent).unwrap_or(0);
            let most = self.peaks.most.entry(at).or_default();
            if !first {
                *most = (*most).max(sent - before);
            }
        }
    }

    /// Bytes that each control process sent in its busiest second since [`Domain::reset_peaks`].
    pub fn peaks(&self) -> &BTreeMap<SocketAddr, u64> {
        &self.peaks.most
    }

    /// Starts to count peaks anew.
    pub fn reset_peaks(&mut self) {
        self.peaks.most.clear();
    }

    /// What each process has sent and received since its start.
    pub fn traffic(&self) -> BTreeMap<SocketAddr, Traffic> {
        self.network.processes().map(|(at, _)| (at, self.network.traffic(at))).collect()
    }

    /// Plays for so long, and says what processes of each role, in the order replicas, relays, subscribers, sent and received.
    /// Processes that start or end meanwhile don't count.
    pub fn measure(&mut self, span: Duration) -> [TrafficRate; 3] {
        let before = self.traffic();
        self.run(span);
        let after = self.traffic();
        [Role::Replica, Role::Relay, Role::Subscriber].map(|role| {
            let spent = self.running(role).filter_map(|(at, _)| Some((before.get(&at)?, after.get(&at)?)));
            load(spent, span.secs())
        })
    }
}

fn load<'a>(spent: impl Iterator<Item = (&'a Traffic, &'a Traffic)>, seconds: f64) -> TrafficRate {
    let bytes = |traffic: &Traffic| traffic.bytes_sent + traffic.bytes_received;
    let datagrams = |traffic: &Traffic| traffic.datagrams_sent + traffic.datagrams_received;
    let mut load = TrafficRate::default();
    for (before, after) in spent {
        let bytes = bytes(after).saturating_sub(bytes(before)) as f64 / seconds;
        let datagrams = datagrams(after).saturating_sub(datagrams(before)) as f64 / seconds;
        load.processes += 1;
        load.bytes += bytes;
        load.datagrams += datagrams;
        load.bytes_max = load.bytes_max.max(bytes);
        load.datagrams_max = load.datagrams_max.max(datagrams);
    }
    let count = load.processes.max(1) as f64;
    load.bytes /= count;
    load.datagrams /= count;
    load
}

fn wanted(interest: &Interest) -> Option<Vec<Topic>> {
    match interest {
        Interest::All => None,
        Interest::Topics(topics) => Some(topics.clone()),
    }
}

/// Holds the records at every process against those that were committed as its version.
pub(super) fn compare_records(network: &Network<HollowNode>, ledger: &mut Ledger) {
    let mut committed: BTreeMap<(Version, Option<Vec<Topic>>), Option<Records>> = BTreeMap::new();
    for (at, process) in network.processes() {
        let (version, interest) = (process.node().version(), process.interest());
        let expected = committed
            .entry((version, wanted(interest)))
            .or_insert_with(|| ledger.records_at(version, interest));
        let records = records_of(process.node());
        if expected.as_ref() != Some(&records) {
            ledger.record_violation(format!("{at} does not hold at {version:?} what was committed"));
        }
        let hashes = records.iter().map(|((topic, key), value)| hash_of(*topic, key, value));
        if hashes.fold(0, u64::wrapping_add) != process.node().digest() {
            ledger.record_violation(format!("{at} has another digest at {version:?} than its records"));
        }
    }
}
