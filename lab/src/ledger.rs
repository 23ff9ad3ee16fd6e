//! Independent record of what was committed in a distribution domain, against which the invariants of every process
//! are checked.

use mintgate::Timestamp;
use mintgate::fleet::distribution::{
    Change, DistributionNode, Interest, Key, PublishError, Role, Topic, Value, Version,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Violations kept; further ones add no information.
const MAX_VIOLATIONS: usize = 50;

/// Records by topic and key.
pub type Records = BTreeMap<(Topic, Key), Value>;

/// A batch of changes submitted to a publisher.
#[derive(Clone, Debug)]
pub struct Publication {
    /// When it was submitted.
    pub at: Timestamp,
    /// The changes.
    pub changes: Vec<Change>,
    /// Its outcome and when that was reported.
    pub outcome: Option<(Timestamp, Result<Version, PublishError>)>,
}

/// One history of the domain. Another begins when a majority of the replicas has lost its state.
#[derive(Default)]
struct History {
    /// Records before the first change of the log.
    first: Records,
    head: u64,
    log: Vec<(u64, Change)>,
    records: Records,
    /// For each topic, its digests with the sequence number from which each applies.
    digests: BTreeMap<Topic, Vec<(u64, u64)>>,
    /// The sequence number from which on the records are complete.
    complete_from: Option<u64>,
}

impl History {
    fn of(node: &DistributionNode, version: Version) -> History {
        let records = records_of(node);
        let mut history =
            History { first: records.clone(), head: version.sequence, records, ..History::default() };
        for ((topic, key), value) in &history.records {
            let hash = hash_of(*topic, key, value);
            let digests = history.digests.entry(*topic).or_insert_with(|| vec![(version.sequence, 0)]);
            digests[0].1 = digests[0].1.wrapping_add(hash);
        }
        history.complete_from =
            history.records.contains_key(&(Topic::SETTINGS, Key::Complete)).then_some(version.sequence);
        history
    }

    fn append(&mut self, sequence: u64, changes: &[Change]) {
        for change in changes {
            self.log.push((sequence, change.clone()));
            let record_key = (change.topic, change.key.clone());
            let before = match &change.value {
                Some(value) => self.records.insert(record_key, value.clone()),
                None => self.records.remove(&record_key),
            };
            let removed = before.map_or(0, |value| hash_of(change.topic, &change.key, &value));
            let added = change.value.as_ref().map_or(0, |value| hash_of(change.topic, &change.key, value));
            let digests = self.digests.entry(change.topic).or_default();
            let digest = digests.last().map_or(0, |(_, digest)| *digest);
            let digest = digest.wrapping_sub(removed).wrapping_add(added);
            match digests.last_mut() {
                Some(last) if last.0 == sequence => last.1 = digest,
                _ => digests.push((sequence, digest)),
            }
            if change.key == Key::Complete && change.value.is_some() {
                self.complete_from.get_or_insert(sequence);
            }
        }
        self.head = sequence;
    }

    fn digest(&self, interest: &Interest, sequence: u64) -> u64 {
        let at = |digests: &Vec<(u64, u64)>| {
            let after = digests.partition_point(|(from, _)| *from <= sequence);
            after.checked_sub(1).map_or(0, |last| digests[last].1)
        };
        match interest {
            Interest::All => self.digests.values().map(at).fold(0, u64::wrapping_add),
            Interest::Topics(topics) => {
                let settings = (!topics.contains(&Topic::SETTINGS)).then_some(&Topic::SETTINGS);
                let all = topics.iter().chain(settings);
                all.filter_map(|topic| self.digests.get(topic)).map(at).fold(0, u64::wrapping_add)
            }
        }
    }

    fn records_at(&self, sequence: u64) -> Records {
        if sequence >= self.head {
            return self.records.clone();
        }
        let mut records = self.first.clone();
        for (_, change) in self.log.iter().take_while(|(at, _)| *at <= sequence) {
            let record_key = (change.topic, change.key.clone());
            match &change.value {
                Some(value) => records.insert(record_key, value.clone()),
                None => records.remove(&record_key),
            };
        }
        records
    }
}

pub(super) fn hash_of(topic: Topic, key: &Key, value: &Value) -> u64 {
    Change { topic, key: key.clone(), value: Some(value.clone()) }.hash()
}

/// The topic that a record belongs to.
pub fn topic_of(value: &Value) -> Topic {
    match value {
        Value::Worker(worker) => Topic::workers_of(mintgate::ZoneId(worker.zone)),
        Value::Complete | Value::Class(_) => Topic::SETTINGS,
    }
}

/// The records installed at a process.
pub fn records_of(node: &DistributionNode) -> Records {
    node.records().map(|(key, value)| ((topic_of(value), key.clone()), value.clone())).collect()
}

/// What was committed, by whom, and which invariants were violated.
pub struct Ledger {
    quorum: usize,
    histories: Vec<History>,
    versions: HashMap<Version, usize>,
    head: Version,
    /// Replicas that accepted a batch, by its fence and the sequence number that it follows.
    accepted: BTreeMap<(u64, u64), BTreeSet<SocketAddr>>,
    /// Replicas that hold all committed changes and have not lost them since.
    established: BTreeSet<SocketAddr>,
    /// Replicas that started without state, and the sequence number at which they have recovered.
    recovering: BTreeMap<SocketAddr, u64>,
    majority_lost: bool,
    publications: BTreeMap<u64, Publication>,
    /// Datagrams and bytes sent on watched links.
    watched: BTreeMap<(SocketAddr, SocketAddr), (u64, u64)>,
    violations: Vec<String>,
}

impl Ledger {
    /// Creates the ledger of a domain of these replicas, which start without state.
    pub fn new(replicas: &[SocketAddr]) -> Ledger {
        Ledger {
            quorum: replicas.len() / 2 + 1,
            histories: vec![History::default()],
            versions: HashMap::from([(Version::default(), 0)]),
            head: Version::default(),
            accepted: BTreeMap::new(),
            established: replicas.iter().copied().collect(),
            recovering: BTreeMap::new(),
            majority_lost: false,
            publications: BTreeMap::new(),
            watched: BTreeMap::new(),
            violations: vec![],
        }
    }

    /// The last committed version.
    pub fn head(&self) -> Version {
        self.head
    }

    /// Violations recorded so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// The number of histories of the domain; it grows each time a majority of the replicas has lost its state.
    pub fn histories(&self) -> usize {
        self.histories.len()
    }

    /// Whether a replica holds all committed changes: it has run from the beginning, or has caught up since its start.
    pub fn is_established(&self, at: SocketAddr) -> bool {
        self.established.contains(&at)
    }

    /// The publication with this ticket.
    pub fn publication(&self, ticket: u64) -> Option<&Publication> {
        self.publications.get(&ticket)
    }

    /// All committed records.
    pub fn records(&self) -> &Records {
        &self.history().records
    }

    fn history(&self) -> &History {
        &self.histories[self.histories.len() - 1]
    }

    /// Records a violation.
    pub fn record_violation(&mut self, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(what);
        }
    }

    /// Counts the traffic from one process to another from now on.
    pub fn watch_link(&mut self, from: SocketAddr, to: SocketAddr) {
        self.watched.insert((from, to), (0, 0));
    }

    /// Datagrams and bytes sent on a watched link.
    pub fn link_traffic(&self, from: SocketAddr, to: SocketAddr) -> (u64, u64) {
        self.watched.get(&(from, to)).copied().unwrap_or_default()
    }

    pub(crate) fn sent(&mut self, from: SocketAddr, to: SocketAddr, bytes: usize) {
        if self.watched.is_empty() {
            return;
        }
        if let Some(count) = self.watched.get_mut(&(from, to)) {
            *count = (count.0 + 1, count.1 + bytes as u64);
        }
    }

    /// Records that a replica has started without state.
    pub(crate) fn started(&mut self, at: SocketAddr) {
        self.recovering.insert(at, self.head.sequence);
    }

    /// Records that a replica has lost its state.
    pub(crate) fn killed(&mut self, at: SocketAddr) {
        self.recovering.remove(&at);
        self.established.remove(&at);
        if self.established.len() < self.quorum {
            self.majority_lost = true;
        }
    }

    pub(crate) fn accepted(&mut self, at: SocketAddr, fence: u64, after: u64) {
        self.accepted.entry((fence, after)).or_default().insert(at);
    }

    pub(crate) fn request(&mut self, ticket: u64, at: Timestamp, changes: Vec<Change>) {
        self.publications.insert(ticket, Publication { at, changes, outcome: None });
    }

    pub(crate) fn published(&mut self, now: Timestamp, ticket: u64, outcome: Result<Version, PublishError>) {
        if let Ok(version) = &outcome
            && !self.versions.contains_key(version)
        {
            self.record_violation(format!(
                "ticket {ticket} was published as {version:?}, which was not committed"
            ));
        }
        let Some(publication) = self.publications.get_mut(&ticket) else {
            return self.record_violation(format!("ticket {ticket} was never requested"));
        };
        if let Some((_, before)) = publication.outcome.replace((now, outcome.clone())) {
            self.record_violation(format!("ticket {ticket} has two outcomes, {before:?} and {outcome:?}"));
        }
    }

    /// Records that a replica which publishes under this fence has installed `version`, which follows `before`. Another
    /// replica may have installed it earlier.
    pub(crate) fn committed(
        &mut self,
        at: SocketAddr,
        fence: u64,
        before: Version,
        version: Version,
        changes: &[Change],
        node: Option<&DistributionNode>,
    ) {
        if self.versions.contains_key(&version) {
            return;
        }
        let voters = self.accepted.remove(&(fence, before.sequence)).unwrap_or_default();
        if 1 + voters.iter().filter(|voter| **voter != at).count() < self.quorum {
            self.record_violation(format!("{at} committed {version:?} with only the votes of {voters:?}"));
        }
        self.accepted.retain(|(voted, after), _| *voted >= fence && *after >= before.sequence);
        let current = self.histories.len() - 1;
        let follows = self.versions.get(&before) == Some(&current);
        let history = &mut self.histories[current];
        if follows && before.sequence == history.head {
            history.append(version.sequence, changes);
        } else {
            // Either the same state under another fence, or another history.
            let same_history = follows && version.sequence <= history.head;
            let digest = history.digest(&Interest::All, version.sequence);
            if !same_history || node.is_some_and(|node| node.digest() != digest) {
                self.begin_history(at, before, version, node);
            }
        }
        self.versions.insert(version, self.histories.len() - 1);
        self.head = self.head.max(version);
    }

    fn begin_history(
        &mut self,
        at: SocketAddr,
        before: Version,
        version: Version,
        node: Option<&DistributionNode>,
    ) {
        if !self.majority_lost {
            let head = self.head;
            self.record_violation(format!(
                "{at} committed {version:?} on {before:?} though {head:?} was committed"
            ));
        }
        let Some(node) = node else { return };
        self.histories.push(History::of(node, version));
        self.established.insert(at);
        self.recovering.remove(&at);
        for needed in self.recovering.values_mut() {
            *needed = version.sequence;
        }
        let others: Vec<SocketAddr> = self.established.iter().copied().filter(|other| *other != at).collect();
        for other in others {
            self.established.remove(&other);
            self.recovering.insert(other, version.sequence);
        }
    }

    /// Checks a version that a process has installed. `digest` covers the records that the process holds; it is `None`
    /// if the process installs a further version in the same step.
    pub(crate) fn installed(
        &mut self,
        at: SocketAddr,
        role: Role,
        interest: &Interest,
        version: Version,
        digest: Option<u64>,
    ) {
        let Some(number) = self.versions.get(&version).copied() else {
            return self.record_violation(format!("{at} installed {version:?}, which was never committed"));
        };
        let history = &self.histories[number];
        let committed = history.digest(interest, version.sequence);
        let complete = history.complete_from.is_some_and(|complete| complete <= version.sequence);
        if digest.is_some_and(|digest| digest != committed) {
            self.record_violation(format!("{at} holds other records at {version:?} than the committed ones"));
        }
        if role != Role::Replica && !complete {
            self.record_violation(format!("{at} installed {version:?}, which is incomplete"));
        }
        let recovered = number + 1 == self.histories.len()
            && self.recovering.get(&at).is_some_and(|needed| *needed <= version.sequence);
        if recovered {
            self.recovering.remove(&at);
            self.established.insert(at);
            self.majority_lost &= self.established.len() < self.quorum;
        }
    }

    /// The records that match an interest at a version; `None` if that version was never committed.
    pub fn records_at(&self, version: Version, interest: &Interest) -> Option<Records> {
        let history = &self.histories[*self.versions.get(&version)?];
        let mut records = history.records_at(version.sequence);
        records.retain(|(topic, _), _| interest.covers(*topic));
        Some(records)
    }

    /// Acknowledged changes that are not in force, except those of records that a later publication, or one whose
    /// outcome is unknown, may have overwritten.
    pub fn lost_changes(&self) -> Vec<String> {
        if self.histories.len() > 1 {
            return vec![];
        }
        let mut last: BTreeMap<(Topic, &Key), (Version, u64, &Change)> = BTreeMap::new();
        let mut unresolved: BTreeSet<(Topic, &Key)> = BTreeSet::new();
        for (ticket, publication) in &self.publications {
            for change in &publication.changes {
                let record_key = (change.topic, &change.key);
                match &publication.outcome {
                    Some((_, Ok(version))) => {
                        let entry = last.entry(record_key).or_insert((*version, *ticket, change));
                        if (entry.0, entry.1) <= (*version, *ticket) {
                            *entry = (*version, *ticket, change);
                        }
                    }
                    None | Some((_, Err(PublishError::Superseded))) => {
                        unresolved.insert(record_key);
                    }
                    Some((_, Err(_))) => {}
                }
            }
        }
        last.retain(|record_key, _| !unresolved.contains(record_key));
        let current = |change: &Change| self.history().records.get(&(change.topic, change.key.clone()));
        let lost = last.values().filter(|(.., change)| current(change) != change.value.as_ref());
        lost.map(|(version, ticket, change)| format!("ticket {ticket} of {version:?}: {change:?} is lost"))
            .collect()
    }
}
