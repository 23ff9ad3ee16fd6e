//! Counts of recent loads, arrivals and served requests.

use crate::interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// Number of distinct times that [`EventTimes`] keeps apart exactly.
const MAX_EXACT_TIMES: usize = 8192;
/// Time within which events count as simultaneous once more than [`MAX_EXACT_TIMES`] are remembered.
const MERGE_INTERVAL: Duration = Duration::millis(1);

/// Events that happened at the same time.
#[derive(Clone, Copy)]
struct Simultaneous {
    at: Timestamp,
    count: usize,
}

/// Times of one kind of event, the earliest first. Simultaneous events share one entry.
#[derive(Default)]
pub struct EventTimes(VecDeque<Simultaneous>);

impl EventTimes {
    /// Adds an event that is not earlier than the others.
    pub fn add(&mut self, at: Timestamp) {
        self.add_within(at, Duration(0));
    }

    /// Adds an event of a kind of which peers may cause any number. Once [`MAX_EXACT_TIMES`] are remembered,
    /// it may count as up to [`MERGE_INTERVAL`] earlier than it was.
    pub fn add_merged(&mut self, at: Timestamp) {
        let is_crowded = self.0.len() >= MAX_EXACT_TIMES;
        self.add_within(at, if is_crowded { MERGE_INTERVAL } else { Duration(0) });
    }

    /// Adds an event; it counts as simultaneous with the last one if that was at most `interval` earlier.
    fn add_within(&mut self, at: Timestamp, interval: Duration) {
        match self.0.back_mut() {
            Some(last) if at - last.at <= interval => last.count += 1,
            _ => self.0.push_back(Simultaneous { at, count: 1 }),
        }
    }

    /// Takes back one event that was added at this time, if it is still remembered.
    pub fn take_back(&mut self, at: Timestamp) {
        let index = self.0.partition_point(|events| events.at <= at);
        if let Some(events) = index.checked_sub(1).and_then(|index| self.0.get_mut(index)) {
            events.count = events.count.saturating_sub(1);
        }
    }

    /// Number of remembered events.
    pub fn count(&self) -> f64 {
        self.count_if(|_| true)
    }

    /// Number of remembered events whose time satisfies a predicate.
    pub fn count_if(&self, is_counted: impl Fn(Timestamp) -> bool) -> f64 {
        let counted = self.0.iter().filter(|events| is_counted(events.at));
        counted.map(|events| events.count).sum::<usize>() as f64
    }

    /// Number of entries that the events take.
    pub fn entries(&self) -> usize {
        self.0.len()
    }

    /// The time of each remembered event, the earliest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = Timestamp> {
        self.0.iter().flat_map(|events| std::iter::repeat_n(events.at, events.count))
    }

    /// Forgets the events before this time.
    pub fn forget_before(&mut self, earliest: Timestamp) {
        while self.0.front().is_some_and(|events| events.at < earliest) {
            self.0.pop_front();
        }
    }

    /// Forgets all events.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Adds events in any order among those that are remembered; one later than `now` counts as `now`.
    pub fn merge(&mut self, now: Timestamp, added: impl Iterator<Item = Timestamp>) {
        let mut times: Vec<Timestamp> = self.iter().chain(added.map(|at| at.min(now))).collect();
        times.sort_unstable();
        self.clear();
        for at in times {
            self.add_merged(at);
        }
    }
}

/// Events that a scheduler counts in a moving window.
#[derive(Default)]
pub struct RecentEvents {
    /// Load requests sent.
    pub loads: EventTimes,
    /// Requests accepted.
    pub arrivals: EventTimes,
    /// Requests served.
    pub served: EventTimes,
}

impl RecentEvents {
    /// Number of entries that the counts take.
    pub fn entries(&self) -> usize {
        [&self.loads, &self.arrivals, &self.served].into_iter().map(EventTimes::entries).sum()
    }

    /// Forgets events older than `span`.
    pub fn forget(&mut self, now: Timestamp, span: Duration) {
        for times in [&mut self.loads, &mut self.arrivals, &mut self.served] {
            times.forget_before(now - span);
        }
    }
}
