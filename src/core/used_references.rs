//! References of ended requests that may have run and that workers would run again.
//!
//! A reference is new with every request. One that comes again after its client has left must not run a second time, also
//! at the other process of an upgrade.

use super::accepted_requests::AcceptedRequest;
use crate::chain;
use crate::interface::{Duration, Effect, Group, Timestamp};
use std::collections::{HashSet, VecDeque};

/// How long a reference is remembered after its request has ended.
const RETENTION: Duration = Duration::millis(10_000);
/// Most references that are remembered; bounded because clients choose them.
const MAX_REFERENCES: usize = 1 << 14;

/// The remembered references, in the order in which their requests ended.
#[derive(Default)]
pub(super) struct UsedReferences {
    by_time: VecDeque<(Timestamp, u64)>,
    all: HashSet<u64>,
}

impl UsedReferences {
    /// Remembers the reference of a request that has ended, if it may have run and must not run again.
    pub(super) fn record_end(&mut self, now: Timestamp, ended: &AcceptedRequest) {
        if ended.first_written.is_some()
            && must_not_run_again(ended)
            && let Some(number) = number_of(&ended.work.reference)
        {
            self.record(now, number);
        }
    }

    /// Remembers a reference.
    pub(super) fn record(&mut self, now: Timestamp, number: u64) {
        if self.all.insert(number) {
            self.by_time.push_back((now, number));
        }
        self.forget(now);
    }

    /// Whether a request with this reference must not run.
    pub(super) fn contains(&mut self, now: Timestamp, reference: &str) -> bool {
        self.forget(now);
        number_of(reference).is_some_and(|number| self.all.contains(&number))
    }

    /// The remembered references and when their requests ended.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Timestamp, u64)> + '_ {
        self.by_time.iter().copied()
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some((at, number)) = self.by_time.front().copied()
            && (now - at > RETENTION || self.by_time.len() > MAX_REFERENCES)
        {
            self.by_time.pop_front();
            self.all.remove(&number);
        }
    }
}

/// Whether another run of a client's request would have an effect of its own: its workers do not all drop repeats of its
/// key. References of a chain's steps are made here, and are not among those that clients repeat.
pub(super) fn must_not_run_again(request: &AcceptedRequest) -> bool {
    if request.owner.connection == chain::STEP_CONNECTION {
        return false;
    }
    match request.effect.of_request(request.work.key.is_some()) {
        Effect::Safe | Effect::Keyed { group: Group::All, .. } => false,
        Effect::Keyed { .. } | Effect::Unsafe => true,
    }
}

/// A reference as a number; `None` if it is not one of 16 hex digits, which both fronts require.
pub(super) fn number_of(reference: &str) -> Option<u64> {
    u64::from_str_radix(reference, 16).ok()
}

#[cfg(test)]
mod tests;
