//! Faults among hollow processes, and the links between regions, as a seed draws them.

use crate::network::{Link, Network, Process};
use mintgate::{Span, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two neighbouring regions, one way; regions lie on a ring.
const HOP: Span = Span::millis(12);
/// How long faults last.
const LASTS: (u64, u64) = (500_000_000, 5_000_000_000);

/// So many regions; a process belongs to the one of its index, by turns.
#[derive(Clone, Copy, Debug)]
pub struct Regions(pub usize);

impl Regions {
    /// The link from a process to another, by their indices.
    pub fn link(self, from: usize, to: usize) -> Link {
        let (from, to) = (from % self.0.max(1), to % self.0.max(1));
        let apart = from.abs_diff(to);
        let hops = apart.min(self.0 - apart) as u64;
        let well = Link::default();
        Link {
            delay: Span(well.delay.0 + hops * HOP.0),
            jitter: Span(well.jitter.0 + hops * HOP.0 / 10),
            ..well
        }
    }

    /// The longest that processes are told a datagram takes: what an operator's file has by default, or what the
    /// farthest regions need with as much again.
    pub fn longest(self) -> Span {
        let far = self.link(0, self.0 / 2);
        Span::millis(100).max(Span((far.delay.0 + far.jitter.0) * 2))
    }
}

#[derive(Clone, Copy, Debug)]
enum End {
    Start,
    Continue,
    Join,
}

/// See the module's page.
pub struct Faults {
    rng: SmallRng,
    rate: f64,
    regions: Regions,
    index_of: fn(SocketAddr) -> usize,
    next: Option<Time>,
    ends: BTreeMap<(Time, usize), End>,
    cut: Rc<RefCell<BTreeSet<SocketAddr>>>,
}

impl Faults {
    /// So many faults a second, drawn by a seed.
    pub fn new(seed: u64, rate: f64, regions: Regions, index_of: fn(SocketAddr) -> usize) -> Faults {
        let rng = SmallRng::seed_from_u64(seed ^ 0x0fa1_7500);
        let cut = Rc::new(RefCell::new(BTreeSet::new()));
        Faults { rng, rate, regions, index_of, next: None, ends: BTreeMap::new(), cut }
    }

    /// The links: those of the regions, without those that are cut off.
    pub fn links(&self) -> impl Fn(SocketAddr, SocketAddr) -> Option<Link> + 'static {
        let (cut, regions, index_of) = (self.cut.clone(), self.regions, self.index_of);
        move |from, to| {
            let cut = cut.borrow();
            let link = regions.link(index_of(from), index_of(to));
            Some(Link { cut: cut.contains(&from) || cut.contains(&to), ..link })
        }
    }

    /// From now on faults come.
    pub fn begin(&mut self, now: Time) {
        self.next = (self.rate > 0.0).then(|| now + self.pause());
    }

    fn pause(&mut self) -> Span {
        Span((-self.rng.random_range(1e-9..1.0f64).ln() / self.rate * 1e9) as u64)
    }

    /// When something begins or ends next.
    pub fn due(&self) -> Option<Time> {
        self.ends.keys().next().map(|(at, _)| *at).into_iter().chain(self.next).min()
    }

    /// Has begin and end what is due among processes of these indices; `anew` makes one that starts again.
    pub fn happen<P: Process>(
        &mut self,
        network: &mut Network<P>,
        place: fn(usize) -> SocketAddr,
        count: usize,
        mut anew: impl FnMut(Time, usize) -> P,
    ) {
        let now = network.now();
        while let Some(entry) = self.ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let (index, end) = (entry.key().1, *entry.get());
            entry.remove();
            self.end(network, place(index), index, end, &mut anew);
        }
        while self.next.is_some_and(|at| at <= now) {
            self.next = Some(now + self.pause());
            let index = self.rng.random_range(0..count);
            let until = now + Span(self.rng.random_range(LASTS.0..LASTS.1));
            // One fault at a time befalls a process.
            if self.ends.keys().any(|(_, other)| *other == index) {
                continue;
            }
            let end = match self.rng.random_range(0..3) {
                0 => {
                    network.kill(place(index));
                    End::Start
                }
                1 => {
                    network.stop(place(index), true);
                    End::Continue
                }
                _ => {
                    self.cut.borrow_mut().insert(place(index));
                    End::Join
                }
            };
            self.ends.insert((until, index), end);
        }
    }

    fn end<P: Process>(
        &mut self,
        network: &mut Network<P>,
        at: SocketAddr,
        index: usize,
        end: End,
        anew: &mut impl FnMut(Time, usize) -> P,
    ) {
        match end {
            End::Start => {
                let now = network.now();
                network.start(at, anew(now, index));
            }
            End::Continue => network.stop(at, false),
            End::Join => drop(self.cut.borrow_mut().remove(&at)),
        }
    }

    /// Ends all that lasts.
    pub fn heal<P: Process>(
        &mut self,
        network: &mut Network<P>,
        place: fn(usize) -> SocketAddr,
        mut anew: impl FnMut(Time, usize) -> P,
    ) {
        self.next = None;
        for ((_, index), end) in std::mem::take(&mut self.ends) {
            self.end(network, place(index), index, end, &mut anew);
        }
    }
}
