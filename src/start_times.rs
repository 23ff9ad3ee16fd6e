//! When workers started, in the scheduler's own time.
//!
//! The list has starts in Unix time, by the clocks of other machines. Any of those clocks, and this machine's, may be
//! stepped at any time, while the scheduler's own time advances evenly from the Unix time at which its process started.
//! So a reported start is converted to an age once, when it is first received, and is kept in the own time from then
//! on.
//!
//! The age is computed by the own time and by the current wall clock. Either may be wrong. A clock that is ahead of
//! those that stamp the starts makes every age too long by the same amount. The shortest age ever computed by it is at
//! least that amount, because no worker is listed before it starts, so the shortest age is subtracted. The shorter of
//! the two corrected ages counts, and a start in the future counts as one at this moment: a worker may be considered
//! colder than it is, but never warmer.

use crate::interface::{Duration, Timestamp, WorkerId};
use std::collections::BTreeMap;

/// The readings of both clocks at the same moment.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// The scheduler's own time.
    pub own: Timestamp,
    /// Unix time by the wall clock.
    pub wall: Timestamp,
}

/// A worker's age by each clock.
#[derive(Clone, Copy, Debug)]
struct Ages {
    own: Duration,
    wall: Duration,
}

impl Ages {
    fn of(clocks: Clocks, started: Timestamp) -> Ages {
        Ages { own: clocks.own - started, wall: clocks.wall - started }
    }

    /// The shorter age by each clock.
    fn min(self, other: Ages) -> Ages {
        Ages { own: self.own.min(other.own), wall: self.wall.min(other.wall) }
    }

    /// The shorter of the two clocks' ages.
    fn shorter(self) -> Duration {
        self.own.min(self.wall)
    }

    /// The ages minus the clocks' errors, of which `shortest` is an upper bound.
    fn corrected(self, shortest: Ages) -> Ages {
        Ages { own: Duration(self.own.0 - shortest.own.0), wall: Duration(self.wall.0 - shortest.wall.0) }
    }
}

/// The start of a worker.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// In Unix time, as the list reports it.
    reported: Timestamp,
    /// In the scheduler's own time.
    own: Timestamp,
}

/// The starts of listed workers, and bounds on the clocks' errors.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The starts of the listed workers for which one was reported.
    starts: BTreeMap<WorkerId, Start>,
    /// The shortest ages at which starts were first received; `None` before the first start.
    shortest: Option<Ages>,
}

impl StartTimes {
    /// Records a start from the list with which the process starts, and returns it in the own time. It may have been
    /// reported long ago, so its age is not corrected.
    pub fn reported_at_start(
        &mut self,
        clocks: Clocks,
        worker: WorkerId,
        reported: Option<Timestamp>,
    ) -> Option<Timestamp> {
        self.record(clocks, worker, reported, false)
    }

    /// Records a start that is reported now, and returns it in the own time; `None` if none is reported because it was
    /// long ago. A start that was reported before keeps its time.
    pub fn reported_now(
        &mut self,
        clocks: Clocks,
        worker: WorkerId,
        reported: Option<Timestamp>,
    ) -> Option<Timestamp> {
        self.record(clocks, worker, reported, true)
    }

    /// Records a start; `correct_clocks` says whether the age is corrected for the clocks' errors.
    fn record(
        &mut self,
        clocks: Clocks,
        worker: WorkerId,
        reported: Option<Timestamp>,
        correct_clocks: bool,
    ) -> Option<Timestamp> {
        let Some(reported) = reported else {
            self.starts.remove(&worker);
            return None;
        };
        if let Some(start) = self.starts.get(&worker).filter(|start| start.reported == reported) {
            return Some(start.own);
        }
        let ages = Ages::of(clocks, reported);
        let shortest = self.shortest.map_or(ages, |shortest| shortest.min(ages));
        self.shortest = Some(shortest);
        let age = if correct_clocks { ages.corrected(shortest).shorter() } else { ages.shorter() };
        let own = clocks.own - age;
        self.starts.insert(worker, Start { reported, own });
        Some(own)
    }

    /// Records a start that another process of this scheduler has received, with its age there.
    pub fn take_over(&mut self, now: Timestamp, worker: WorkerId, reported: Timestamp, age: Duration) {
        self.starts.insert(worker, Start { reported, own: now - age });
    }

    /// A worker's start in Unix time, as the list reports it.
    pub fn reported(&self, worker: WorkerId) -> Option<Timestamp> {
        self.starts.get(&worker).map(|start| start.reported)
    }

    /// How long ago a worker started.
    pub fn age(&self, now: Timestamp, worker: WorkerId) -> Option<Duration> {
        self.starts.get(&worker).map(|start| now - start.own)
    }

    /// Removes a worker that is gone.
    pub fn remove(&mut self, worker: WorkerId) {
        self.starts.remove(&worker);
    }

    /// Removes all workers except the listed ones.
    pub fn retain(&mut self, listed: impl Fn(WorkerId) -> bool) {
        self.starts.retain(|worker, _| listed(*worker));
    }
}

#[cfg(test)]
mod tests;
