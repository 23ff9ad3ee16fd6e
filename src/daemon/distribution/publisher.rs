//! What a replica publishes while it holds the lease: the differences between its own source and the committed records.
//! The source is the classes and the list of its configuration file, and the discovery service that it follows.

use crate::fleet::distribution::{Change, Key, PublishError, Topic, Value};
use crate::interface::ZoneId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes passed to the node at a time. The rest waits here, so that a complete list is not held twice.
const MAX_CHANGES_PER_TICKET: usize = 256;

/// What is still to be published, and what is in flight.
#[derive(Default)]
pub(super) struct Publisher {
    /// The fence of the publish lease, while it is held.
    pub(super) fence: Option<u64>,
    /// The complete source is to be compared with all committed records.
    compare_all: bool,
    /// Keys of the source whose records have changed since they were last compared.
    changed: BTreeSet<Key>,
    queue: VecDeque<Vec<Change>>,
    /// The last ticket issued.
    last_ticket: u64,
    /// The ticket in flight, with its changes.
    in_flight: Option<(u64, Vec<Change>)>,
    /// Why publishing is paused, as last logged.
    pub(super) pause_reason: Option<&'static str>,
}

/// The next step of the publisher.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Nothing is to be done, or a ticket is in flight.
    Nothing,
    /// Compare the complete source.
    CompareAll,
    /// Compare these records of the source.
    Compare(BTreeSet<Key>),
    /// Publish these changes under this ticket.
    Publish(u64, Vec<Change>),
}

impl Publisher {
    /// Notes that the lease is held under this fence, or no longer held.
    pub(super) fn lease(&mut self, fence: Option<u64>) {
        if self.fence != fence {
            *self = Publisher {
                fence,
                compare_all: fence.is_some(),
                last_ticket: self.last_ticket,
                ..Publisher::default()
            };
        }
    }

    /// Notes that these records of the source have changed.
    pub(super) fn mark_changed(&mut self, keys: impl IntoIterator<Item = Key>) {
        if self.fence.is_some() && !self.compare_all {
            self.changed.extend(keys);
        }
    }

    /// Notes that any record of the source may have changed.
    pub(super) fn mark_all_changed(&mut self) {
        self.compare_all = self.fence.is_some();
    }

    /// Whether there is anything to compare or publish, and no ticket is in flight.
    pub(super) fn pending(&self) -> bool {
        self.in_flight.is_none() && (self.compare_all || !self.changed.is_empty() || !self.queue.is_empty())
    }

    /// Returns the next step of a process that may publish now.
    pub(super) fn next(&mut self) -> Next {
        if self.in_flight.is_some() {
            return Next::Nothing;
        }
        if let Some(changes) = self.queue.pop_front() {
            self.last_ticket += 1;
            self.in_flight = Some((self.last_ticket, changes.clone()));
            return Next::Publish(self.last_ticket, changes);
        }
        if self.compare_all {
            return Next::CompareAll;
        }
        match std::mem::take(&mut self.changed) {
            none if none.is_empty() => Next::Nothing,
            keys => Next::Compare(keys),
        }
    }

    /// Queues the differences that a comparison has found. The records that the complete source was compared with may
    /// have been out of date, so that comparison is repeated until it finds none.
    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub(super) fn compared(&mut self, all: bool, changes: Vec<Change>) {
        if all {
            self.changed.clear();
            self.compare_all = !changes.is_empty();
        }
        self.queue.extend(changes.chunks(MAX_CHANGES_PER_TICKET).map(<[Change]>::to_vec));
    }

    /// Notes that a ticket's changes are committed, and returns their number; `None` if the ticket is not in flight.
    pub(super) fn published(&mut self, ticket: u64) -> Option<usize> {
        let (_, changes) = self.in_flight.take_if(|(in_flight, _)| *in_flight == ticket)?;
        Some(changes.len())
    }

    /// Notes that a ticket's changes were not published, or may not have been.
    pub(super) fn not_published(&mut self, ticket: u64, why: &PublishError) {
        let Some((_, changes)) = self.in_flight.take_if(|(in_flight, _)| *in_flight == ticket) else {
            return;
        };
        match why {
            PublishError::TooMany => self.queue.push_front(changes),
            PublishError::NotPublisher | PublishError::Superseded => {
                self.queue.clear();
                self.compare_all = self.fence.is_some();
            }
            // A retry would be rejected again. The first state of a domain is not complete without these changes, so
            // the mark that it is complete is not published.
            PublishError::Invalid(_) => {
                self.compare_all = false;
                self.queue
                    .iter_mut()
                    .for_each(|changes| changes.retain(|change| change.key != Key::Complete));
                self.queue.retain(|changes| !changes.is_empty());
            }
        }
    }
}

/// The topic of a record.
pub(super) fn topic(value: &Value) -> Topic {
    match value {
        Value::Worker(worker) => Topic::workers_of(ZoneId(worker.zone)),
        Value::Complete | Value::Class(_) => Topic::SETTINGS,
    }
}

/// The record that marks a domain's first state as complete.
pub(super) fn complete() -> Change {
    Change { topic: Topic::SETTINGS, key: Key::Complete, value: Some(Value::Complete) }
}

/// The changes that turn the committed records into the source. Classes come first, because they may be rejected.
pub(super) fn difference<'a>(
    mut source: BTreeMap<Key, Value>,
    committed: impl Iterator<Item = (&'a Key, &'a Value)>,
) -> Vec<Change> {
    let mut obsolete: BTreeMap<Key, Topic> = BTreeMap::new();
    for (key, value) in committed.filter(|(key, _)| **key != Key::Complete) {
        match source.get(key) {
            Some(current) if current == value => drop(source.remove(key)),
            Some(current) if topic(current) == topic(value) => {}
            _ => drop(obsolete.insert(key.clone(), topic(value))),
        }
    }
    let removal = |key: &Key, topic: Topic| Change { topic, key: key.clone(), value: None };
    let is_class = |key: &Key| matches!(key, Key::Class(_));
    let (classes, workers): (Vec<_>, Vec<_>) = source.into_iter().partition(|(key, _)| is_class(key));
    let mut changes = vec![];
    for (key, value) in classes.into_iter().chain(workers) {
        // The record has moved to another topic: both changes are adjacent, so that they take effect together.
        changes.extend(obsolete.remove(&key).map(|topic| removal(&key, topic)));
        changes.push(Change { topic: topic(&value), key, value: Some(value) });
    }
    changes.extend(obsolete.into_iter().map(|(key, topic)| removal(&key, topic)));
    changes
}

#[cfg(test)]
mod tests;
