//! Counts of recent loads, arrivals and served requests.

use crate::interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// Times of one kind of event, the earliest first.
#[derive(Default)]
pub struct EventTimes(VecDeque<Timestamp>);

impl EventTimes {
    /// Adds an event.
    pub fn add(&mut self, at: Timestamp) {
        self.0.push_back(at);
    }

    /// Number of remembered events.
    pub fn count(&self) -> f64 {
        self.0.len() as f64
    }

    /// Number of remembered events whose time satisfies a predicate.
    pub fn count_if(&self, is_counted: impl Fn(Timestamp) -> bool) -> f64 {
        self.0.iter().filter(|at| is_counted(**at)).count() as f64
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
        [&self.loads, &self.arrivals, &self.served].into_iter().map(|times| times.0.len()).sum()
    }

    /// Forgets events older than `span`.
    pub fn forget(&mut self, now: Timestamp, span: Duration) {
        for times in [&mut self.loads, &mut self.arrivals, &mut self.served] {
            times.0.retain(|at| *at >= now - span);
        }
    }
}
