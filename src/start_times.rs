//! When workers started, in the scheduler's own time.
//!
//! The list has starts in Unix time, by clocks of other machines. Any of those clocks may be stepped at any time, this
//! machine's too, while the scheduler's own time runs on evenly from the Unix time at which its process began. So a reported
//! start is turned into an age once, when it is first received, and from then on belongs to the own time.
//!
//! The age is read twice: against the own time, and against the wall clock as it is now. Each may be off. By a clock that
//! is ahead of those who stamp starts, every age comes out too long by the same amount, and the shortest age ever read by it
//! is at least that amount, for no worker is listed before it starts. It is subtracted. Of what remains the shorter counts,
//! and a start in the future is one of this moment: a worker is taken to be colder than it is, never warmer.

use crate::interface::{Duration, Timestamp, WorkerId};
use std::collections::BTreeMap;

/// What both clocks show at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// The scheduler's own time.
    pub own: Timestamp,
    /// Unix time by the wall clock.
    pub wall: Timestamp,
}

/// A worker's age by both clocks.
#[derive(Clone, Copy, Debug)]
struct Ages {
    own: Duration,
    wall: Duration,
}

impl Ages {
    fn of(clocks: Clocks, started: Timestamp) -> Ages {
        Ages { own: clocks.own - started, wall: clocks.wall - started }
    }

    /// The shorter one by each clock.
    fn min(self, other: Ages) -> Ages {
        Ages { own: self.own.min(other.own), wall: self.wall.min(other.wall) }
    }

    /// The shorter one of both clocks.
    fn shorter(self) -> Duration {
        self.own.min(self.wall)
    }

    /// The same less the clocks' errors, of which `shortest` is an upper bound.
    fn corrected(self, shortest: Ages) -> Ages {
        Ages { own: Duration(self.own.0 - shortest.own.0), wall: Duration(self.wall.0 - shortest.wall.0) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Start {
    /// In Unix time, as the list has it.
    reported: Timestamp,
    /// In the scheduler's own time.
    own: Timestamp,
}

/// The starts of listed workers, and what is known of the clocks' errors.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// Of the workers on the list that have started lately.
    starts: BTreeMap<WorkerId, Start>,
    /// The shortest ages with which starts were first received; none before the first.
    shortest: Option<Ages>,
}

impl StartTimes {
    /// The starts of the list with which the process begins. They may have been reported long ago, so their ages are taken as
    /// they are read.
    pub fn reported_at_start(
        &mut self,
        clocks: Clocks,
        worker: WorkerId,
        reported: Option<Timestamp>,
    ) -> Option<Timestamp> {
        self.record(clocks, worker, reported, false)
    }

    /// A start that is reported now, in the own time; none where it was long ago. One that was reported before stays where it is.
    pub fn reported_now(
        &mut self,
        clocks: Clocks,
        worker: WorkerId,
        reported: Option<Timestamp>,
    ) -> Option<Timestamp> {
        self.record(clocks, worker, reported, true)
    }

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

    /// A start as another process of this scheduler has it: reported so, and of this age.
    pub fn take_over(&mut self, now: Timestamp, worker: WorkerId, reported: Timestamp, age: Duration) {
        self.starts.insert(worker, Start { reported, own: now - age });
    }

    /// A worker's start as the list has it, in Unix time.
    pub fn reported(&self, worker: WorkerId) -> Option<Timestamp> {
        self.starts.get(&worker).map(|start| start.reported)
    }

    /// How long ago a worker started.
    pub fn age(&self, now: Timestamp, worker: WorkerId) -> Option<Duration> {
        self.starts.get(&worker).map(|start| now - start.own)
    }

    /// Forgets a worker that is gone.
    pub fn remove(&mut self, worker: WorkerId) {
        self.starts.remove(&worker);
    }

    /// Forgets all workers but these.
    pub fn retain(&mut self, listed: impl Fn(WorkerId) -> bool) {
        self.starts.retain(|worker, _| listed(*worker));
    }
}

#[cfg(test)]
mod tests;
