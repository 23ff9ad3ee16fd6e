//! Fault injection for hollow processes, determined by a seed.

use mintgate::{Duration, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Range of the duration of a fault, in nanoseconds.
const FAULT_DURATION_NS: (u64, u64) = (500_000_000, 5_000_000_000);

/// Processes, by index, into which faults can be injected.
pub trait FaultTarget {
    /// The current virtual time.
    fn now(&self) -> Timestamp;
    /// Kills a process. Its state is lost.
    fn kill(&mut self, index: usize);
    /// Starts a new process in its place.
    fn start(&mut self, index: usize);
    /// Suspends a process as SIGSTOP does, or resumes it.
    fn set_suspended(&mut self, index: usize, suspended: bool);
    /// Cuts a process off from all others, or reconnects it.
    fn set_isolated(&mut self, index: usize, isolated: bool);
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Suspend,
    Isolate,
}

/// Injects faults at random times.
pub struct Faults {
    rng: SmallRng,
    rate: f64,
    /// When the next fault begins.
    next: Option<Timestamp>,
    /// Current faults, by their end and the index of the process.
    active: BTreeMap<(Timestamp, usize), Fault>,
}

impl Faults {
    /// Creates an injector with an average of `rate` faults per second, starting now.
    pub fn new(seed: u64, rate: f64, now: Timestamp) -> Faults {
        let rng = SmallRng::seed_from_u64(seed ^ 0x0fa1_7500);
        let mut faults = Faults { rng, rate, next: None, active: BTreeMap::new() };
        faults.next = (rate > 0.0).then(|| now + faults.interval());
        faults
    }

    fn interval(&mut self) -> Duration {
        Duration((-self.rng.random_range(1e-9..1.0f64).ln() / self.rate * 1e9) as u64)
    }

    /// When the next fault begins or ends.
    pub fn due(&self) -> Option<Timestamp> {
        self.active.keys().next().map(|(at, _)| *at).into_iter().chain(self.next).min()
    }

    /// Begins and ends the faults that are due, among `count` processes.
    pub fn apply_due(&mut self, target: &mut impl FaultTarget, count: usize) {
        let now = target.now();
        while let Some(entry) = self.active.first_entry().filter(|entry| entry.key().0 <= now) {
            let index = entry.key().1;
            end(target, index, entry.remove());
        }
        while self.next.is_some_and(|at| at <= now) {
            self.next = Some(now + self.interval());
            let index = self.rng.random_range(0..count);
            let until = now + Duration(self.rng.random_range(FAULT_DURATION_NS.0..FAULT_DURATION_NS.1));
            let fault = [Fault::Kill, Fault::Suspend, Fault::Isolate][self.rng.random_range(0..3usize)];
            // A process has at most one fault at a time.
            if self.active.keys().any(|(_, other)| *other == index) {
                continue;
            }
            match fault {
                Fault::Kill => target.kill(index),
                Fault::Suspend => target.set_suspended(index, true),
                Fault::Isolate => target.set_isolated(index, true),
            }
            self.active.insert((until, index), fault);
        }
    }

    /// Ends all current faults and injects no more.
    pub fn end_all(&mut self, target: &mut impl FaultTarget) {
        self.next = None;
        for ((_, index), fault) in std::mem::take(&mut self.active) {
            end(target, index, fault);
        }
    }
}

fn end(target: &mut impl FaultTarget, index: usize, fault: Fault) {
    match fault {
        Fault::Kill => target.start(index),
        Fault::Suspend => target.set_suspended(index, false),
        Fault::Isolate => target.set_isolated(index, false),
    }
}
