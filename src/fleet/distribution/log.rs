//! The compacted log: each record with the sequence of its last change, an index of these sequences by topic,
//! tombstones of removed records for as long as children may need them, and digests that are updated with each change.
//!
//! A record is identified by its topic and key; one that moves to another topic is removed from the first one by a
//! separate change. No two changes of one topic share a sequence. The cost of an operation depends on the number of
//! changes; only [`Log::difference`] and [`Log::rebase`], which handle complete states, go over all records.

use super::record::{Change, Key, Topic, Value, Version};
use super::wire::{Interest, PAGE_BYTES};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of tombstones per topic. A topic of the size designed for has some 2,300 workers, so that all of them
/// can be replaced once, and most of them twice, before a child that was away needs a snapshot.
pub const MAX_TOPIC_TOMBSTONES: usize = 4_096;
/// Maximum number of epochs kept; a child whose version belongs to an earlier one gets a snapshot. The publisher
/// changes a few times a day, so that 64 epochs cover much more than a day's absence.
const MAX_EPOCHS: usize = 64;

/// A change with its sequence.
pub type SequencedChange = (u64, Change);

#[derive(Clone, Debug)]
struct Entry {
    /// The sequence of the last change.
    sequence: u64,
    /// The hash of the record; 0 for a removed one.
    hash: u64,
    /// The encoded size of the change in bytes.
    size: u16,
    value: Option<Value>,
}

#[derive(Clone, Debug, Default)]
struct TopicLog {
    entries: BTreeMap<Key, Entry>,
    /// The key that was last changed at each sequence.
    index: BTreeMap<u64, Key>,
    tombstones: BTreeSet<u64>,
    /// Tombstones up to this sequence may have been dropped.
    floor: u64,
    digest: u64,
    /// Number of live records, which are those that are not removed.
    live: usize,
}

/// Versions from `first` on were committed under `fence`, up to the next epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Epoch {
    fence: u64,
    first: u64,
}

/// A part of the log, as sent to a child in one page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// The last sequence that it covers.
    pub upto: u64,
    /// The changes, in order of their sequences.
    pub changes: Vec<Change>,
    /// The distance of each change's sequence from that of the previous one.
    pub steps: Vec<u64>,
    /// The encoded size of the changes and their steps.
    pub bytes: usize,
}

/// The compacted log of one process.
#[derive(Clone, Debug, Default)]
pub struct Log {
    version: Version,
    topics: BTreeMap<Topic, TopicLog>,
    epochs: VecDeque<Epoch>,
    /// Removals up to this sequence are not known, because the log began with a snapshot there.
    snapshot_sequence: u64,
    digest: u64,
    live: usize,
}

impl TopicLog {
    /// Sets or removes a record, and updates the digest and the number of live records.
    fn apply(&mut self, sequence: u64, change: Change) {
        let hash = if change.value.is_some() { change.hash() } else { 0 };
        let size = u16::try_from(change.size()).unwrap_or(u16::MAX);
        if let Some(old) = self.entries.remove(&change.key) {
            self.index.remove(&old.sequence);
            self.tombstones.remove(&old.sequence);
            self.digest = self.digest.wrapping_sub(old.hash);
            self.live -= usize::from(old.value.is_some());
        }
        self.digest = self.digest.wrapping_add(hash);
        self.live += usize::from(change.value.is_some());
        if change.value.is_none() {
            self.tombstones.insert(sequence);
        }
        self.index.insert(sequence, change.key.clone());
        self.entries.insert(change.key, Entry { sequence, hash, size, value: change.value });
        self.drop_excess_tombstones();
    }

    fn drop_excess_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOPIC_TOMBSTONES {
            let Some(sequence) = self.tombstones.pop_first() else { return };
            if let Some(key) = self.index.remove(&sequence) {
                self.entries.remove(&key);
            }
            self.floor = self.floor.max(sequence);
        }
    }

    fn live_records(&self) -> impl Iterator<Item = (&Key, &Entry, &Value)> {
        self.entries.iter().filter_map(|(key, entry)| Some((key, entry, entry.value.as_ref()?)))
    }

    /// The first change after a sequence; removals are skipped unless they come after `removed_after`.
    fn next_change(&self, after: u64, removed_after: u64) -> Option<(u64, &Key, &Entry)> {
        let later = self.index.range(after.saturating_add(1)..);
        let mut known = later.filter_map(|(at, key)| Some((*at, key, self.entries.get(key)?)));
        known.find(|(at, _, entry)| entry.value.is_some() || *at > removed_after)
    }
}

impl Log {
    /// The last committed version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Number of live records.
    pub fn len(&self) -> usize {
        self.live
    }

    /// The digest over all live records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The digest over the live records of an interest.
    pub fn digest_of(&self, interest: &Interest) -> u64 {
        match interest {
            Interest::All => self.digest,
            Interest::Topics(_) => {
                self.covered(interest).fold(0, |sum: u64, (_, log)| sum.wrapping_add(log.digest))
            }
        }
    }

    /// The sequence up to which removals in an interest may be unknown.
    pub fn floor(&self, interest: &Interest) -> u64 {
        self.covered(interest).map(|(_, log)| log.floor).max().unwrap_or(0).max(self.snapshot_sequence)
    }

    /// The first sequence of the current epoch.
    pub fn epoch_start(&self) -> u64 {
        self.epochs.back().map_or(0, |epoch| epoch.first)
    }

    /// Whether a version is part of this log's history.
    pub fn contains_version(&self, version: Version) -> bool {
        let epoch = self.epochs.iter().rev().find(|epoch| epoch.first <= version.sequence);
        version.sequence <= self.version.sequence && epoch.is_some_and(|epoch| epoch.fence == version.fence)
    }

    /// A live record.
    pub fn get(&self, topic: Topic, key: &Key) -> Option<&Value> {
        self.topics.get(&topic)?.entries.get(key)?.value.as_ref()
    }

    /// The topic in which a key has a live record.
    pub fn topic_of(&self, key: &Key) -> Option<Topic> {
        self.topics.keys().copied().find(|topic| self.get(*topic, key).is_some())
    }

    /// Whether the domain's first state is complete.
    pub fn is_complete(&self) -> bool {
        self.get(Topic::SETTINGS, &Key::Complete).is_some()
    }

    /// All live records.
    pub fn records(&self) -> impl Iterator<Item = (Topic, &Key, &Value)> {
        self.topics
            .iter()
            .flat_map(|(topic, log)| log.live_records().map(|(key, _, value)| (*topic, key, value)))
    }

    /// The existing topics of an interest.
    fn covered<'a>(&'a self, interest: &'a Interest) -> Box<dyn Iterator<Item = (Topic, &'a TopicLog)> + 'a> {
        match interest {
            Interest::All => Box::new(self.topics.iter().map(|(topic, log)| (*topic, log))),
            Interest::Topics(topics) => {
                let listed = topics.iter().filter(|topic| **topic != Topic::SETTINGS);
                let named = std::iter::once(&Topic::SETTINGS).chain(listed);
                Box::new(named.filter_map(|topic| Some((*topic, self.topics.get(topic)?))))
            }
        }
    }

    /// Commits a batch: each change gets its own sequence.
    pub fn commit(&mut self, fence: u64, changes: impl IntoIterator<Item = Change>) {
        let since = self.version.sequence + 1;
        for change in changes {
            self.version.sequence += 1;
            self.apply(self.version.sequence, change);
        }
        self.version.fence = fence;
        self.begin_epoch(fence, since);
    }

    /// Installs the changes received from a parent, up to its version.
    pub fn install(&mut self, head: Version, since: u64, changes: impl IntoIterator<Item = SequencedChange>) {
        let first = since.max(self.version.sequence + 1).min(head.sequence);
        changes.into_iter().for_each(|(sequence, change)| self.apply(sequence, change));
        self.version = head;
        self.begin_epoch(head.fence, first);
    }

    /// Adds a change of a snapshot, unless a later change of the same record is known.
    pub fn apply_if_newer(&mut self, sequence: u64, change: Change) {
        let known = self.topics.get(&change.topic).and_then(|log| log.entries.get(&change.key));
        if known.is_none_or(|entry| entry.sequence <= sequence) {
            self.apply(sequence, change);
        }
    }

    /// Completes a snapshot: the records are now those of a parent's version. Removals before that version are not
    /// known.
    pub fn finish_snapshot(&mut self, head: Version, since: u64) {
        (self.version, self.snapshot_sequence) = (head, head.sequence);
        self.epochs.clear();
        self.begin_epoch(head.fence, since.min(head.sequence));
    }

    /// The changes that turn this log's records into those of another log, removals first.
    pub fn difference(&self, other: &Log) -> Vec<Change> {
        let change = |topic, key: &Key, value| Change { topic, key: key.clone(), value };
        let gone = self.records().filter(|(topic, key, _)| other.get(*topic, key).is_none());
        let gone = gone.map(|(topic, key, _)| change(topic, key, None));
        let new = other.records().filter(|(topic, key, value)| self.get(*topic, key) != Some(*value));
        gone.chain(new.map(|(topic, key, value)| change(topic, key, Some(value.clone())))).collect()
    }

    /// The net effect of successive changes on this log, and the resulting digest. Contains each record once, removals
    /// first.
    pub fn net_changes(&self, changes: impl IntoIterator<Item = Change>) -> (Vec<Change>, u64) {
        let mut last: BTreeMap<(Topic, Key), Option<Value>> = BTreeMap::new();
        last.extend(changes.into_iter().map(|change| ((change.topic, change.key), change.value)));
        let mut digest = self.digest;
        let (mut removed, mut set) = (vec![], vec![]);
        for ((topic, key), value) in last {
            let old = self.topics.get(&topic).and_then(|log| log.entries.get(&key));
            if old.and_then(|entry| entry.value.as_ref()) == value.as_ref() {
                continue;
            }
            let change = Change { topic, key, value };
            let hash = if change.value.is_some() { change.hash() } else { 0 };
            digest = digest.wrapping_sub(old.map_or(0, |entry| entry.hash)).wrapping_add(hash);
            if change.value.is_some() { &mut set } else { &mut removed }.push(change);
        }
        removed.append(&mut set);
        (removed, digest)
    }

    /// Keeps the records, but replaces version and sequences by those of another history that led to the same records.
    pub fn rebase(&mut self, head: Version, since: u64) {
        let old = std::mem::take(self);
        let first = (head.sequence + 1).saturating_sub(old.live as u64);
        let records: Vec<Change> = old
            .records()
            .map(|(topic, key, value)| Change { topic, key: key.clone(), value: Some(value.clone()) })
            .collect();
        (first..).zip(records).for_each(|(sequence, change)| self.apply(sequence, change));
        self.finish_snapshot(head, since);
    }

    fn apply(&mut self, sequence: u64, change: Change) {
        let log = self.topics.entry(change.topic).or_default();
        let (digest, live) = (log.digest, log.live);
        log.apply(sequence, change);
        self.digest = self.digest.wrapping_sub(digest).wrapping_add(log.digest);
        self.live = self.live + log.live - live;
    }

    fn begin_epoch(&mut self, fence: u64, first: u64) {
        if self.epochs.back().is_none_or(|last| last.fence != fence) {
            self.epochs.push_back(Epoch { fence, first });
        }
        let excess = self.epochs.len().saturating_sub(MAX_EPOCHS);
        self.epochs.drain(..excess);
    }

    /// The next part for a child: the changes after a sequence, as many as fit into a page. Removals are included only
    /// if they come after `removed_after`; before that, the child had no records that could be removed.
    pub fn part(&self, interest: &Interest, after: u64, removed_after: u64) -> Part {
        let mut part = Part { upto: after, ..Part::default() };
        let next = |log: &TopicLog, after| log.next_change(after, removed_after).map(|(at, ..)| at);
        let topics = self.covered(interest);
        let mut candidates: BTreeMap<(u64, Topic), &TopicLog> =
            topics.filter_map(|(topic, log)| Some(((next(log, after)?, topic), log))).collect();
        while let Some(((at, topic), log)) = candidates.pop_first() {
            let Some((_, key, entry)) = log.next_change(at - 1, removed_after) else { continue };
            let step = at - part.upto;
            let bytes = part.bytes + usize::from(entry.size) + varint_size(step);
            if bytes > PAGE_BYTES && !part.changes.is_empty() {
                return part;
            }
            part.bytes = bytes;
            part.upto = at;
            part.changes.push(Change { topic, key: key.clone(), value: entry.value.clone() });
            part.steps.push(step);
            if let Some(at) = next(log, at) {
                candidates.insert((at, topic), log);
            }
        }
        part.upto = self.version.sequence.max(after);
        part
    }
}

/// The number of bytes of a number encoded as a varint.
fn varint_size(number: u64) -> usize {
    (u64::BITS - number.leading_zeros()).div_ceil(7).max(1) as usize
}
