//! Hollow members of one fleet in virtual time: the production membership, gossip, leases and overload controller. The
//! cost of reading a complete configuration file for each change of the list is measured separately and added.

use super::configuration::Configuration;
use super::costs::{self, Cost, Snapshot};
use super::faults::{FaultTarget, Faults};
use super::report::{mean_and_max, quantile};
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
const ELECTOR_COUNT: usize = 3;
/// Lease term, clock drift and partitions per task, as in an operator's file by default.
const LEASE_TERM: Duration = Duration::millis(4_000);
const DRIFT_PPM: u64 = 5_000;
const PARTITIONS_PER_TASK: u16 = 3;
/// Latency objective of the strictest class.
const LATENCY_OBJECTIVE: Duration = Duration::millis(1_000);
/// One-way latency between neighbouring regions.
const HOP_DELAY: Duration = Duration::millis(12);
/// Members start at random times within this window.
const START_WINDOW: Duration = Duration::millis(1_000);
/// How long all members may take to know all others.
const SETTLE_TIMEOUT: Duration = Duration::millis(60_000);
/// How often that is checked.
const SETTLE_POLL_INTERVAL: Duration = Duration::millis(250);
/// Time for gossip updates to arrive after the measured time.
const GOSSIP_DRAIN_TIME: Duration = Duration::millis(10_000);

/// A member with its measurements.
struct Member {
    node: FleetNode,
    started: Timestamp,
    /// When it is next given the demand.
    next_demand: Timestamp,
    /// When the gossip update of each worker first arrived here.
    updates: BTreeMap<u64, Timestamp>,
    /// When it first knew all others.
    knew_all_at: Option<Timestamp>,
    size: usize,
    /// Wall time in the state machine's own calls.
    busy_time: std::time::Duration,
}

impl Member {
    fn new(now: Timestamp, index: usize, incarnation: u64, plan: &Plan, regions: Regions) -> Member {
        let electors: Vec<u32> = (0..ELECTOR_COUNT as u32).collect();
        let size = plan.members();
        let config = fleet::FleetConfig {
            process: fleet::Process { index: index as u32, incarnation },
            generation: incarnation,
            address: address_of(index),
            fleet_hash: message::fleet("scale", &[]),
            acceptors: electors.iter().map(|index| (*index, address_of(*index as usize))).collect(),
            address_overrides: BTreeMap::new(),
            lease: lease::LeaseConfig::new(electors, LEASE_TERM, LEASE_TERM, DRIFT_PPM),
            delay: regions.max_delay(),
            size: size as u32,
            parts: PARTITIONS_PER_TASK,
            shed_latency_objective: Some(LATENCY_OBJECTIVE),
            publishes: false,
            fence_floor: now.0 / 1_000_000,
            seed: plan.seed.wrapping_mul(1_000_003).wrapping_add(incarnation),
        };
        let started_at = Instant::now();
        let node = FleetNode::new(now, config);
        let busy_time = started_at.elapsed();
        Member {
            node,
            started: now,
            next_demand: now,
            updates: BTreeMap::new(),
            knew_all_at: None,
            size,
            busy_time,
        }
    }

    fn handle(&mut self, now: Timestamp, event: FleetInput) -> Outgoing {
        let started_at = Instant::now();
        let all = self.node.handle(now, event);
        self.busy_time += started_at.elapsed();
        if self.knew_all_at.is_none() && self.node.members().count() + 1 >= self.size {
            self.knew_all_at = Some(now);
        }
        let mut out = vec![];
        for what in all {
            match what {
                FleetOutput::Send(to, bytes) => out.push((to, bytes)),
                FleetOutput::Received(GossipTopic::Worker(worker), ..) => {
                    self.updates.entry(worker).or_insert(now);
                }
                _ => {}
            }
        }
        out
    }
}

impl Process for Member {
    fn next_timeout(&self) -> Option<Timestamp> {
        self.node.next_timeout().into_iter().chain([self.next_demand]).min()
    }

    fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) -> Outgoing {
        self.handle(now, FleetInput::Datagram(bytes, from))
    }

    fn on_timer(&mut self, now: Timestamp) -> Outgoing {
        if self.next_demand > now {
            return self.handle(now, FleetInput::Timer);
        }
        self.next_demand = now + overload::TICK_INTERVAL;
        // The demand stays well below the workers' capacity, so that nothing is shed.
        let demand = Demand { offered: [100, 11, 0, 0], served: 110, open: 5 };
        self.handle(now, FleetInput::Demand(demand))
    }
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x7f00_0001 + index as u32), 9_200))
}

fn index_of(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return 0 };
    u32::from(*at.ip()).saturating_sub(0x7f00_0001) as usize
}

/// A number of regions on a ring. Process `n` is in region `n % regions`.
#[derive(Clone, Copy)]
struct Regions(usize);

impl Regions {
    fn link(self, from: usize, to: usize) -> Link {
        let apart = (from % self.0).abs_diff(to % self.0);
        let hops = apart.min(self.0 - apart) as u64;
        let healthy = Link::default();
        let (delay, jitter) =
            (healthy.delay.0 + hops * HOP_DELAY.0, healthy.jitter.0 + hops * HOP_DELAY.0 / 10);
        Link { delay: Duration(delay), jitter: Duration(jitter), ..healthy }
    }

    /// The maximum delay that processes are configured with: the default of an operator's file, or twice the latency
    /// between the farthest regions if that is longer.
    fn max_delay(self) -> Duration {
        let far = self.link(0, self.0 / 2);
        Duration::millis(100).max(Duration((far.delay.0 + far.jitter.0) * 2))
    }
}

/// All members, and those that are isolated.
struct Fleet<'a> {
    plan: &'a Plan,
    network: Network<Member>,
    regions: Regions,
    incarnation: u64,
    isolated: Rc<RefCell<BTreeSet<usize>>>,
}

impl FaultTarget for Fleet<'_> {
    fn now(&self) -> Timestamp {
        self.network.now()
    }

    fn kill(&mut self, index: usize) {
        self.network.kill(address_of(index));
    }

    fn start(&mut self, index: usize) {
        self.incarnation += 1;
        let member = Member::new(self.network.now(), index, self.incarnation, self.plan, self.regions);
        self.network.start(address_of(index), member);
    }

    fn set_suspended(&mut self, index: usize, suspended: bool) {
        self.network.set_suspended(address_of(index), suspended);
    }

    fn set_isolated(&mut self, index: usize, isolated: bool) {
        let mut all = self.isolated.borrow_mut();
        if isolated {
            all.insert(index);
        } else {
            all.remove(&index);
        }
    }
}

/// Runs the measurements of hollow members.
pub fn run(plan: &Plan) -> Result<Vec<Row>, String> {
    let before = system::resident_bytes(std::process::id()).unwrap_or(0);
    let mut fleet = Fleet::new(plan);
    fleet.start_all();
    let settled = fleet.settle();
    eprintln!(
        "scale: {} hollow members know each other after {:.1} s of virtual time",
        plan.members(),
        settled.secs()
    );
    let from = fleet.snapshot();
    let published_at = fleet.measure();
    let costs = fleet.snapshot().since(&from, plan.seconds as f64);
    // The last gossip updates may still be in flight.
    let end = fleet.now() + GOSSIP_DRAIN_TIME;
    fleet.network.run_until(end);
    let memory = system::growth_per_process(before, plan.members());
    Ok(fleet.rows(&costs, &published_at, memory))
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan) -> Fleet<'a> {
        let regions = Regions(plan.regions);
        let mut network = Network::new(plan.seed, Link::default());
        let isolated = Rc::new(RefCell::new(BTreeSet::new()));
        let shared_isolated = isolated.clone();
        network.set_links(move |from, to| {
            let (isolated, from, to) = (shared_isolated.borrow(), index_of(from), index_of(to));
            Some(Link { cut: isolated.contains(&from) || isolated.contains(&to), ..regions.link(from, to) })
        });
        Fleet { plan, network, regions, incarnation: 0, isolated }
    }

    fn start_all(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.plan.seed);
        let base = self.now();
        let starts = (0..self.plan.members())
            .map(|index| (base + Duration(rng.random_range(0..START_WINDOW.0)), index));
        let mut starts: Vec<(Timestamp, usize)> = starts.collect();
        starts.sort_unstable();
        for (at, index) in starts {
            self.network.run_until(at);
            self.start(index);
        }
    }

    /// Runs until all members know each other, and three lease terms more. Returns the time until they did.
    fn settle(&mut self) -> Duration {
        let base = self.now();
        loop {
            let next = self.now() + SETTLE_POLL_INTERVAL;
            self.network.run_until(next);
            let all = self.network.processes().all(|(_, member)| member.knew_all_at.is_some());
            if all || next - base >= SETTLE_TIMEOUT {
                break;
            }
        }
        let took = self.now() - base;
        let end = self.now() + Duration(LEASE_TERM.0 * 3);
        self.network.run_until(end);
        took
    }

    fn snapshot(&self) -> Snapshot {
        let each = |(at, member): (SocketAddr, &Member)| (at, self.network.traffic(at), member.busy_time);
        Snapshot::new(self.network.processes().map(each))
    }

    /// Runs the measured seconds with faults and gossip updates. Returns when the update of each worker was published.
    fn measure(&mut self) -> BTreeMap<u64, Timestamp> {
        let (base, mut published_at) = (self.now(), BTreeMap::new());
        let end = base + Duration::millis(self.plan.seconds * 1_000);
        let step = (self.plan.changes > 0.0).then(|| Duration((1e9 / self.plan.changes) as u64));
        let mut next = step.map(|step| base + Duration(step.0 / 2));
        let mut faults = Faults::new(self.plan.seed, self.plan.faults, base);
        while self.now() < end {
            let until = next.into_iter().chain(faults.due()).chain([end]).min().unwrap_or(end).min(end);
            self.network.run_until(until);
            faults.apply_due(self, self.plan.members());
            if next.is_some_and(|at| at <= until) {
                self.publish_update(published_at.len() as u64 + 1, &mut published_at);
                next = step.map(|step| until + step);
            }
        }
        faults.end_all(self);
        published_at
    }

    /// Publishes a gossip update about a worker at one member.
    fn publish_update(&mut self, worker: u64, published_at: &mut BTreeMap<u64, Timestamp>) {
        published_at.insert(worker, self.now());
        self.network.with_process(address_of(worker as usize % self.plan.members()), |member, now| {
            member.handle(now, FleetInput::Observed(GossipTopic::Worker(worker), GossipUpdate::Answers(true)))
        });
    }

    fn rows(&self, costs: &[Cost], published_at: &BTreeMap<u64, Timestamp>, memory: f64) -> Vec<Row> {
        let plan = self.plan;
        let mut rows = Rows::new(plan, "hollow", Setup::Members);
        let template = rows.template();
        (template.hollow, template.changes_per_second, template.faults_per_second) =
            (plan.members(), plan.changes, plan.faults);
        let (file_bytes, file_seconds) = configuration_file_cost(plan);
        let (file, read_cpu_percent) = (plan.changes * file_bytes, plan.changes * file_seconds * 100.0);
        for role in ["scheduler", "elector"] {
            let of_role = |at: SocketAddr| (index_of(at) < ELECTOR_COUNT) == (role == "elector");
            let of: Vec<Cost> = costs.iter().filter(|cost| of_role(cost.at)).copied().collect();
            let with_file = |cost: &Cost| Cost {
                bytes: cost.bytes + file,
                cpu_percent: cost.cpu_percent + read_cpu_percent,
                ..*cost
            };
            costs::add(&mut rows, role, &of.iter().map(with_file).collect::<Vec<_>>());
            rows.add(role, "fleet_bytes_per_second", "B/s", mean_and_max(of.iter().map(|cost| cost.bytes)).0);
            let cpu = mean_and_max(of.iter().map(|cost| cost.cpu_percent)).0;
            rows.add(role, "fleet_cpu_percent_of_core", "%", cpu);
            rows.add(role, "configuration_bytes_per_second", "B/s", file);
            rows.add(role, "configuration_cpu_percent_of_core", "%", read_cpu_percent);
            rows.add(role, "resident_mb", "MB", memory / 1e6);
            let members = self.network.processes().filter(|(at, _)| of_role(*at)).map(|(_, member)| member);
            let starts = members.filter_map(|member| Some((member.knew_all_at? - member.started).secs()));
            rows.add(role, "start_seconds", "s", mean_and_max(starts).0);
        }
        rows.add("scheduler", "configuration_bytes", "B", file_bytes);
        rows.add("scheduler", "configuration_seconds", "s", file_seconds);
        let received = self.network.processes().flat_map(|(_, member)| member.updates.iter());
        let reached = received.filter_map(|(worker, at)| Some((*at - *published_at.get(worker)?).secs()));
        rows.add_seconds("scheduler", "gossip_seconds_to_all", &mut reached.collect::<Vec<_>>());
        rows.rows
    }
}

/// The cost of one change by a complete file: its bytes, and the seconds to read and apply it.
fn configuration_file_cost(plan: &Plan) -> (f64, f64) {
    let mut configuration = Configuration::new(plan.workers, SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
    let text = configuration.text();
    let Ok(read) = config::read(&text) else { return (text.len() as f64, 0.0) };
    let mut core = Core::new(read.site.clone(), plan.seed);
    let mut times: Vec<f64> = (0..5u64)
        .map(|n| {
            configuration.change();
            let text = configuration.text();
            let started_at = Instant::now();
            let read = config::read(&text);
            for news in read.into_iter().flat_map(|read| read.known_events) {
                let members = news.entries.iter().map(|entry| entry.member).collect();
                core.members(Timestamp(n * 1_000_000_000), ListKind::Full, members);
            }
            started_at.elapsed().as_secs_f64()
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (text.len() as f64, quantile(&times, 0.5).unwrap_or(0.0))
}
