//! What a replica publishes while it holds the lease: how its own source differs from what is committed. Its source is
//! its configuration file with its classes and list, and discovery that it follows.

use crate::fleet::distribution::{Change, Key, PublishError, Topic, Value};
use crate::interface::ZoneId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes that are handed over at a time: the rest waits here, so that a whole list is not held twice.
const MAX_CHANGES_PER_TICKET: usize = 256;

/// What is still to be published, and what is under way.
#[derive(Default)]
pub(super) struct Publisher {
    /// The fence of the lease, while it is held.
    pub(super) fence: Option<u64>,
    /// All of the source is to be compared with all that is committed.
    compare_all: bool,
    /// Records of the source that have changed since they were compared.
    changed: BTreeSet<Key>,
    queue: VecDeque<Vec<Change>>,
    /// The ticket under way, with its changes.
    ticket: u64,
    in_flight: Option<(u64, Vec<Change>)>,
    /// Why nothing of the source is published, as last logged.
    pub(super) pause_reason: Option<&'static str>,
}

/// What is to be done next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Nothing, or nothing yet.
    Nothing,
    /// Compare all of the source.
    CompareAll,
    /// Compare these records of the source.
    Compare(BTreeSet<Key>),
    /// Publish these changes under this ticket.
    Publish(u64, Vec<Change>),
}

impl Publisher {
    /// The lease is held under this fence, or no longer.
    pub(super) fn lease(&mut self, fence: Option<u64>) {
        if self.fence != fence {
            *self = Publisher {
                fence,
                compare_all: fence.is_some(),
                ticket: self.ticket,
                ..Publisher::default()
            };
        }
    }

    /// These records of the source have changed.
    pub(super) fn mark_changed(&mut self, keys: impl IntoIterator<Item = Key>) {
        if self.fence.is_some() && !self.compare_all {
            self.changed.extend(keys);
        }
    }

    /// Any record of the source may have changed.
    pub(super) fn mark_all_changed(&mut self) {
        self.compare_all = self.fence.is_some();
    }

    /// Whether anything waits.
    pub(super) fn has_work(&self) -> bool {
        self.in_flight.is_none() && (self.compare_all || !self.changed.is_empty() || !self.queue.is_empty())
    }

    /// What is to be done next, for a process that may publish now.
    pub(super) fn next(&mut self) -> Next {
        if self.in_flight.is_some() {
            return Next::Nothing;
        }
        if let Some(changes) = self.queue.pop_front() {
            self.ticket += 1;
            self.in_flight = Some((self.ticket, changes.clone()));
            return Next::Publish(self.ticket, changes);
        }
        if self.compare_all {
            return Next::CompareAll;
        }
        match std::mem::take(&mut self.changed) {
            none if none.is_empty() => Next::Nothing,
            keys => Next::Compare(keys),
        }
    }

    /// The source was compared, and differs so. What all of it was compared with may have been behind, so that is
    /// done again until nothing differs.
    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub(super) fn compared(&mut self, all: bool, changes: Vec<Change>) {
        if all {
            self.changed.clear();
            self.compare_all = !changes.is_empty();
        }
        self.queue.extend(changes.chunks(MAX_CHANGES_PER_TICKET).map(<[Change]>::to_vec));
    }

    /// A ticket's changes are committed; how many.
    pub(super) fn published(&mut self, ticket: u64) -> Option<usize> {
        let (_, changes) = self.in_flight.take_if(|(in_flight, _)| *in_flight == ticket)?;
        Some(changes.len())
    }

    /// A ticket's changes were not published, or are not known to be.
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
            // Compared again it would only be refused again. The first state of a domain is not whole without it.
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

/// Where a record belongs.
pub(super) fn topic(value: &Value) -> Topic {
    match value {
        Value::Worker(worker) => Topic::workers_of(ZoneId(worker.zone)),
        Value::Complete | Value::Class(_) => Topic::SETTINGS,
    }
}

/// The mark that a domain's first state is whole.
pub(super) fn complete() -> Change {
    Change { topic: Topic::SETTINGS, key: Key::Complete, value: Some(Value::Complete) }
}

/// What makes the source of what is committed: classes first, for what they say may be refused.
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
        // It has moved: both changes are to come at once.
        changes.extend(obsolete.remove(&key).map(|topic| removal(&key, topic)));
        changes.push(Change { topic: topic(&value), key, value: Some(value) });
    }
    changes.extend(obsolete.into_iter().map(|(key, topic)| removal(&key, topic)));
    changes
}

#[cfg(test)]
mod tests;
