//! A queue of timers, and the last requested wake-up.

use crate::interface::{Duration, Timestamp};
use std::collections::BTreeSet;

/// Number of timers below which [`TimerQueue::sweep`] does nothing.
const MIN_SWEPT_TIMERS: usize = 4096;

/// A queued timer; ordered by time, then by timer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry<T> {
    at: Timestamp,
    timer: T,
}

/// Timers ordered by the time when they are due.
pub struct TimerQueue<T> {
    entries: BTreeSet<Entry<T>>,
    /// The earliest wake-up that was requested and has not arrived.
    armed: Option<Timestamp>,
    /// Number of timers from which the next sweep removes those that are of no use any more.
    sweep_at: usize,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue { entries: BTreeSet::new(), armed: None, sweep_at: MIN_SWEPT_TIMERS }
    }
}

impl<T: Copy + Ord> TimerQueue<T> {
    /// Adds a timer. A timer that is already queued for the same time is not added again.
    pub fn add(&mut self, at: Timestamp, timer: T) {
        self.entries.insert(Entry { at, timer });
    }

    /// Removes the timers that are of no use any more, if the queue has doubled since the last sweep: their
    /// number stays below that of the useful ones, or [`MIN_SWEPT_TIMERS`], at a constant cost each.
    pub fn sweep(&mut self, is_useful: impl Fn(&T) -> bool) {
        if self.entries.len() < self.sweep_at {
            return;
        }
        self.entries.retain(|entry| is_useful(&entry.timer));
        self.sweep_at = (2 * self.entries.len()).max(MIN_SWEPT_TIMERS);
    }

    /// Number of queued timers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no timer is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and returns the earliest timer, if it is due at `now`.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        let entry = *self.entries.first().filter(|entry| entry.at <= now)?;
        self.entries.remove(&entry);
        Some(entry.timer)
    }

    /// Records that the requested wake-up has arrived.
    pub fn wakeup_arrived(&mut self) {
        self.armed = None;
    }

    /// Returns how long after `now` a wake-up is needed, if that is earlier than the one already requested,
    /// and records it as requested.
    pub fn next_wakeup(&mut self, now: Timestamp) -> Option<Duration> {
        let next = self.entries.first()?.at;
        if self.armed.is_some_and(|armed| next >= armed) {
            return None;
        }
        self.armed = Some(next);
        Some(next - now)
    }
}
