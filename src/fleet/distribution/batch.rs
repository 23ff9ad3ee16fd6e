//! Assembles the batches that a publisher proposes.

use super::log::Log;
use super::record::{Change, Key, Topic, Value};
use super::wire::PAGE_BYTES;
use std::collections::BTreeMap;

/// A batch that is being assembled.
pub struct Batch<'a> {
    log: &'a Log,
    /// The changes added so far, in proposal order.
    pub changes: Vec<Change>,
    bytes: usize,
    /// The state of each changed record after the batch; `None` for a removed record.
    pending: BTreeMap<Key, Option<(Topic, Value)>>,
}

impl<'a> Batch<'a> {
    /// Creates an empty batch on top of a log.
    pub fn new(log: &'a Log) -> Batch<'a> {
        Batch { log, changes: vec![], bytes: 0, pending: BTreeMap::new() }
    }

    /// Adds a change, preceded by the removal of its record from the previous topic if it moves. A change without
    /// effect is skipped. Returns whether the change fit into the batch.
    pub fn add(&mut self, change: &Change) -> bool {
        let current = match self.pending.get(&change.key) {
            Some(pending) => pending.as_ref().map(|(topic, value)| (*topic, Some(value))),
            None => self.log.topic_of(&change.key).map(|topic| (topic, self.log.get(topic, &change.key))),
        };
        let same_topic = current.filter(|(topic, _)| *topic == change.topic);
        if same_topic.and_then(|(_, value)| value) == change.value.as_ref() {
            return true;
        }
        let old_topic = current.filter(|(topic, _)| *topic != change.topic).map(|(topic, _)| topic);
        let removal = old_topic.map(|topic| Change { topic, key: change.key.clone(), value: None });
        let bytes = change.size() + removal.as_ref().map_or(0, Change::size);
        if !self.changes.is_empty() && self.bytes + bytes > PAGE_BYTES {
            return false;
        }
        self.bytes += bytes;
        self.changes.extend(removal);
        self.changes.push(change.clone());
        let new_state = change.value.clone().map(|value| (change.topic, value));
        self.pending.insert(change.key.clone(), new_state);
        true
    }
}
