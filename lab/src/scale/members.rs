//! Hollow members of one fleet in virtual time: membership, gossip, leases and the overload controller as shipped, and
//! the list as it comes today, by a whole configuration for each change.

use super::configuration::Configuration;
use super::costs::{self, Cost, Moment};
use super::faults::{Breakable, Faults};
use super::report::{mean_and_most, quantile};
use super::{Plan, Row, Rows, Setup, system};
use crate::network::{Link, Network, Outgoing, Process};
use mintgate::core::Core;
use mintgate::fleet::gossip::{GossipTopic, GossipUpdate};
use mintgate::fleet::overload::{self, Demand};
use mintgate::fleet::{self, FleetInput, FleetNode, FleetOutput, lease, message};
use mintgate::{Duration, ListKind, Timestamp, config};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;

/// Members that grant leases.
const ELECTORS: usize = 3;
/// The terms and parts that an operator's file has by default.
const TERM: Duration = Duration::millis(4_000);
const DRIFT_PPM: u64 = 5_000;
const PARTS: u16 = 3;
/// Answers are wanted within this time, by the strictest class.
const LATENCY_OBJECTIVE: Duration = Duration::millis(1_000);
/// Time between two neighbouring regions, one way.
const HOP: Duration = Duration::millis(12);
/// Members start within this time.
const STARTS: Duration = Duration::millis(1_000);
/// The longest that is waited for all to know all.
const SETTLES: Duration = Duration::millis(60_000);
/// Between two looks whether they do.
const LOOK: Duration = Duration::millis(250);
/// What a change that is told as news is waited for beyond the measured time.
const REACHES: Duration = Duration::millis(10_000);

/// A member and what it has cost.
struct Member {
    machine: FleetNode,
    started: Timestamp,
    /// When it is told next what has come to it.
    demand: Timestamp,
    /// When news came here first, by the worker that it is of.
    news: BTreeMap<u64, Timestamp>,
    /// When it knew all others.
    knew_all: Option<Timestamp>,
    size: usize,
    /// In the machine's own calls.
    spent: std::time::Duration,
}

impl Member {
    fn new(now: Timestamp, index: usize, incarnation: u64, plan: &Plan, regions: Regions) -> Member {
        let electors: Vec<u32> = (0..ELECTORS as u32).collect();
        let size = plan.members();
        let config = fleet::FleetConfig {
            process: fleet::Process { index: index as u32, incarnation },
            generation: incarnation,
            address: place(index),
            fleet_hash: message::fleet("scale", &[]),
            acceptors: electors.iter().map(|index| (*index, place(*index as usize))).collect(),
            address_overrides: BTreeMap::new(),
            lease: lease::LeaseConfig::new(electors, TERM, TERM, DRIFT_PPM),
            delay: regions.longest(),
            size: size as u32,
            parts: PARTS,
            shed_latency_objective: Some(LATENCY_OBJECTIVE),
            publishes: false,
            fence_floor: now.0 / 1_000_000,
            seed: plan.seed.wrapping_mul(1_000_003).wrapping_add(incarnation),
        };
        let begun = Instant::now();
        let machine = FleetNode::new(now, config);
        let spent = begun.elapsed();
        Member { machine, started: now, demand: now, news: BTreeMap::new(), knew_all: None, size, spent }
    }

    fn handle(&mut self, now: Timestamp, event: FleetInput) -> Outgoing {
        let begun = Instant::now();
        let all = self.machine.handle(now, event);
        self.spent += begun.elapsed();
        if self.knew_all.is_none() && self.machine.members().count() + 1 >= self.size {
            self.knew_all = Some(now);
        }
        let mut out = vec![];
        for what in all {
            match what {
                FleetOutput::Send(to, bytes) => out.push((to, bytes)),
                FleetOutput::Received(GossipTopic::Worker(worker), ..) => {
                    self.news.entry(worker).or_insert(now);
                }
                _ => {}
            }
        }
        out
    }
}

impl Process for Member {
    fn next_timeout(&self) -> Option<Timestamp> {
        self.machine.next_timeout().into_iter().chain([self.demand]).min()
    }

    fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) -> Outgoing {
        self.handle(now, FleetInput::Datagram(bytes, from))
    }

    fn on_timer(&mut self, now: Timestamp) -> Outgoing {
        if self.demand > now {
            return self.handle(now, FleetInput::Timer);
        }
        self.demand = now + overload::TICK_INTERVAL;
        // What comes stays well under what the workers bear: nothing is shed.
        let demand = Demand { offered: [100, 11, 0, 0], served: 110, open: 5 };
        self.handle(now, FleetInput::Demand(demand))
    }
}

fn place(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x7f00_0001 + index as u32), 9_200))
}

fn index_of(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return 0 };
    u32::from(*at.ip()).saturating_sub(0x7f00_0001) as usize
}

/// So many regions on a ring; a process belongs to the one of its index, by turns.
#[derive(Clone, Copy)]
struct Regions(usize);

impl Regions {
    fn link(self, from: usize, to: usize) -> Link {
        let apart = (from % self.0).abs_diff(to % self.0);
        let hops = apart.min(self.0 - apart) as u64;
        let well = Link::default();
        let (delay, jitter) = (well.delay.0 + hops * HOP.0, well.jitter.0 + hops * HOP.0 / 10);
        Link { delay: Duration(delay), jitter: Duration(jitter), ..well }
    }

    /// The longest that processes are told a datagram takes: what an operator's file has by default, or twice what the
    /// farthest regions need.
    fn longest(self) -> Duration {
        let far = self.link(0, self.0 / 2);
        Duration::millis(100).max(Duration((far.delay.0 + far.jitter.0) * 2))
    }
}

/// All members, and what cuts them off.
struct Fleet<'a> {
    plan: &'a Plan,
    network: Network<Member>,
    regions: Regions,
    incarnation: u64,
    cut: Rc<RefCell<BTreeSet<usize>>>,
}

impl Breakable for Fleet<'_> {
    fn now(&self) -> Timestamp {
        self.network.now()
    }

    fn kill(&mut self, index: usize) {
        self.network.kill(place(index));
    }

    fn start(&mut self, index: usize) {
        self.incarnation += 1;
        let member = Member::new(self.network.now(), index, self.incarnation, self.plan, self.regions);
        self.network.start(place(index), member);
    }

    fn set_suspended(&mut self, index: usize, stopped: bool) {
        self.network.set_suspended(place(index), stopped);
    }

    fn cut(&mut self, index: usize, cut: bool) {
        let mut all = self.cut.borrow_mut();
        if cut {
            all.insert(index);
        } else {
            all.remove(&index);
        }
    }
}

/// Plays them.
pub fn play(plan: &Plan) -> Result<Vec<Row>, String> {
    let before = system::resident(std::process::id()).unwrap_or(0);
    let mut fleet = Fleet::new(plan);
    fleet.start_all();
    let settled = fleet.settle();
    eprintln!(
        "scale: {} hollow members have met after {:.1} s of virtual time",
        plan.members(),
        settled.secs()
    );
    let from = fleet.moment();
    let told = fleet.measure();
    let costs = fleet.moment().since(&from, plan.seconds as f64);
    // What was told last may still be on its way.
    let end = fleet.now() + REACHES;
    fleet.network.run_until(end);
    let memory = system::growth_each(before, plan.members());
    Ok(fleet.rows(&costs, &told, memory))
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan) -> Fleet<'a> {
        let regions = Regions(plan.regions);
        let mut network = Network::new(plan.seed, Link::default());
        let cut = Rc::new(RefCell::new(BTreeSet::new()));
        let table = cut.clone();
        network.set_links(move |from, to| {
            let (table, from, to) = (table.borrow(), index_of(from), index_of(to));
            Some(Link { cut: table.contains(&from) || table.contains(&to), ..regions.link(from, to) })
        });
        Fleet { plan, network, regions, incarnation: 0, cut }
    }

    fn start_all(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.plan.seed);
        let base = self.now();
        let starts =
            (0..self.plan.members()).map(|index| (base + Duration(rng.random_range(0..STARTS.0)), index));
        let mut starts: Vec<(Timestamp, usize)> = starts.collect();
        starts.sort_unstable();
        for (at, index) in starts {
            self.network.run_until(at);
            self.start(index);
        }
    }

    /// Lets all meet, and a little more; how long it took.
    fn settle(&mut self) -> Duration {
        let base = self.now();
        loop {
            let next = self.now() + LOOK;
            self.network.run_until(next);
            let all = self.network.processes().all(|(_, member)| member.knew_all.is_some());
            if all || next - base >= SETTLES {
                break;
            }
        }
        let took = self.now() - base;
        let calm = self.now() + Duration(TERM.0 * 3);
        self.network.run_until(calm);
        took
    }

    fn moment(&self) -> Moment {
        let each = |(at, member): (SocketAddr, &Member)| (at, self.network.traffic(at), member.spent);
        Moment::of(self.network.processes().map(each))
    }

    /// Plays the measured seconds, with faults and news; when each piece of news was told, by the worker that it is of.
    fn measure(&mut self) -> BTreeMap<u64, Timestamp> {
        let (base, mut told) = (self.now(), BTreeMap::new());
        let end = base + Duration::millis(self.plan.seconds * 1_000);
        let step = (self.plan.changes > 0.0).then(|| Duration((1e9 / self.plan.changes) as u64));
        let mut next = step.map(|step| base + Duration(step.0 / 2));
        let mut faults = Faults::new(self.plan.seed, self.plan.faults, base);
        while self.now() < end {
            let until = next.into_iter().chain(faults.due()).chain([end]).min().unwrap_or(end).min(end);
            self.network.run_until(until);
            faults.happen(self, self.plan.members());
            if next.is_some_and(|at| at <= until) {
                self.tell(told.len() as u64 + 1, &mut told);
                next = step.map(|step| until + step);
            }
        }
        faults.heal(self);
        told
    }

    /// One member has news of a worker.
    fn tell(&mut self, worker: u64, told: &mut BTreeMap<u64, Timestamp>) {
        told.insert(worker, self.now());
        self.network.with_process(place(worker as usize % self.plan.members()), |member, now| {
            member.handle(now, FleetInput::Observed(GossipTopic::Worker(worker), GossipUpdate::Answers(true)))
        });
    }

    fn rows(&self, costs: &[Cost], told: &BTreeMap<u64, Timestamp>, memory: f64) -> Vec<Row> {
        let plan = self.plan;
        let mut rows = Rows::new(plan, "hollow", Setup::Members);
        let like = rows.like();
        (like.hollow, like.changes_per_second, like.faults_per_second) =
            (plan.members(), plan.changes, plan.faults);
        let (file_bytes, file_seconds) = whole_file(plan);
        let (file, reading) = (plan.changes * file_bytes, plan.changes * file_seconds * 100.0);
        for role in ["scheduler", "elector"] {
            let of_role = |at: SocketAddr| (index_of(at) < ELECTORS) == (role == "elector");
            let of: Vec<Cost> = costs.iter().filter(|cost| of_role(cost.at)).copied().collect();
            let with_file = |cost: &Cost| Cost {
                bytes: cost.bytes + file,
                cpu_percent: cost.cpu_percent + reading,
                ..*cost
            };
            costs::add(&mut rows, role, &of.iter().map(with_file).collect::<Vec<_>>());
            rows.add(
                role,
                "fleet_bytes_per_second",
                "B/s",
                mean_and_most(of.iter().map(|cost| cost.bytes)).0,
            );
            let cpu = mean_and_most(of.iter().map(|cost| cost.cpu_percent)).0;
            rows.add(role, "fleet_cpu_percent_of_core", "%", cpu);
            rows.add(role, "configuration_bytes_per_second", "B/s", file);
            rows.add(role, "configuration_cpu_percent_of_core", "%", reading);
            rows.add(role, "resident_mb", "MB", memory / 1e6);
            let members = self.network.processes().filter(|(at, _)| of_role(*at)).map(|(_, member)| member);
            let starts = members.filter_map(|member| Some((member.knew_all? - member.started).secs()));
            rows.add(role, "start_seconds", "s", mean_and_most(starts).0);
        }
        rows.add("scheduler", "configuration_bytes", "B", file_bytes);
        rows.add("scheduler", "configuration_seconds", "s", file_seconds);
        let heard = self.network.processes().flat_map(|(_, member)| member.news.iter());
        let reached = heard.filter_map(|(worker, at)| Some((*at - *told.get(worker)?).secs()));
        rows.add_seconds("scheduler", "gossip_seconds_to_all", &mut reached.collect::<Vec<_>>());
        rows.rows
    }
}

/// What one change costs by today's way: the bytes of the file, and the seconds in which it is read and taken in.
fn whole_file(plan: &Plan) -> (f64, f64) {
    let mut configuration = Configuration::new(plan.workers, SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
    let text = configuration.text();
    let Ok(read) = config::read(&text) else { return (text.len() as f64, 0.0) };
    let mut core = Core::new(read.site.clone(), plan.seed);
    let mut times: Vec<f64> = (0..5u64)
        .map(|n| {
            configuration.change();
            let text = configuration.text();
            let begun = Instant::now();
            let read = config::read(&text);
            for news in read.into_iter().flat_map(|read| read.known_events) {
                let members = news.entries.iter().map(|entry| entry.member).collect();
                core.members(Timestamp(n * 1_000_000_000), ListKind::Full, members);
            }
            begun.elapsed().as_secs_f64()
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (text.len() as f64, quantile(&times, 0.5).unwrap_or(0.0))
}
