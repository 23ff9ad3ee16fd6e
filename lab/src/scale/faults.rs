//! Faults among hollow processes, as a seed draws them.

use mintgate::{Duration, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// How long faults last.
const LASTS: (u64, u64) = (500_000_000, 5_000_000_000);

/// What happens to a process, by its index.
pub trait Breakable {
    /// The time.
    fn now(&self) -> Timestamp;
    /// It dies; what it knew is lost.
    fn kill(&mut self, index: usize);
    /// Another one starts in its place.
    fn start(&mut self, index: usize);
    /// It is stopped as by SIGSTOP, or goes on.
    fn set_suspended(&mut self, index: usize, stopped: bool);
    /// It reaches nobody and nobody reaches it, or they do again.
    fn cut(&mut self, index: usize, cut: bool);
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Stop,
    Cut,
}

/// See the module's page.
pub struct Faults {
    rng: SmallRng,
    rate: f64,
    /// When the next one begins.
    next: Option<Timestamp>,
    /// Those that last: until when, at whom.
    last: BTreeMap<(Timestamp, usize), Fault>,
}

impl Faults {
    /// So many faults a second, from now on.
    pub fn new(seed: u64, rate: f64, now: Timestamp) -> Faults {
        let rng = SmallRng::seed_from_u64(seed ^ 0x0fa1_7500);
        let mut faults = Faults { rng, rate, next: None, last: BTreeMap::new() };
        faults.next = (rate > 0.0).then(|| now + faults.pause());
        faults
    }

    fn pause(&mut self) -> Duration {
        Duration((-self.rng.random_range(1e-9..1.0f64).ln() / self.rate * 1e9) as u64)
    }

    /// When something begins or ends next.
    pub fn due(&self) -> Option<Timestamp> {
        self.last.keys().next().map(|(at, _)| *at).into_iter().chain(self.next).min()
    }

    /// Has begin and end what is due, among so many processes.
    pub fn happen(&mut self, world: &mut impl Breakable, count: usize) {
        let now = world.now();
        while let Some(entry) = self.last.first_entry().filter(|entry| entry.key().0 <= now) {
            let index = entry.key().1;
            end(world, index, entry.remove());
        }
        while self.next.is_some_and(|at| at <= now) {
            self.next = Some(now + self.pause());
            let index = self.rng.random_range(0..count);
            let until = now + Duration(self.rng.random_range(LASTS.0..LASTS.1));
            let fault = [Fault::Kill, Fault::Stop, Fault::Cut][self.rng.random_range(0..3usize)];
            // One fault at a time befalls a process.
            if self.last.keys().any(|(_, other)| *other == index) {
                continue;
            }
            match fault {
                Fault::Kill => world.kill(index),
                Fault::Stop => world.set_suspended(index, true),
                Fault::Cut => world.cut(index, true),
            }
            self.last.insert((until, index), fault);
        }
    }

    /// Ends all that lasts; no more come.
    pub fn heal(&mut self, world: &mut impl Breakable) {
        self.next = None;
        for ((_, index), fault) in std::mem::take(&mut self.last) {
            end(world, index, fault);
        }
    }
}

fn end(world: &mut impl Breakable, index: usize, fault: Fault) {
    match fault {
        Fault::Kill => world.start(index),
        Fault::Stop => world.set_suspended(index, false),
        Fault::Cut => world.cut(index, false),
    }
}
