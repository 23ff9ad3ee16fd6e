//! The core's timers, ordered by expiry.

use crate::chain::ChainId;
use crate::interface::{RequestId, Timestamp};
use crate::request::{AttemptId, LoadId, ProbeId};
use std::collections::BTreeSet;

/// The purpose of a timer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Set by the policy.
    Policy,
    /// The time by which a request must have its final answer.
    Request(RequestId),
    /// An attempt's deadline.
    Attempt(AttemptId),
    /// A load request's deadline.
    Load(LoadId),
    /// A probe's deadline.
    Probe(ProbeId),
    /// The time at which a refused step of a chain is tried again.
    ChainStep(ChainId),
}

/// A timer with its expiry; ordered by expiry, then by purpose.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at: Timestamp,
    timer: Timer,
}

/// The timers that are set.
#[derive(Default)]
pub(super) struct Timers(BTreeSet<Entry>);

impl Timers {
    pub(super) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.0.insert(Entry { at, timer });
    }

    pub(super) fn cancel(&mut self, at: Timestamp, timer: Timer) {
        self.0.remove(&Entry { at, timer });
    }

    /// Number of timers that are set.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// The expiry of the next timer.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.0.first().map(|entry| entry.at)
    }

    /// Removes and returns the next timer if it has expired.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|entry| entry.timer)
    }
}
