//! Simulated processes of one fleet in virtual time. Each has its own clock; links lose, delay, duplicate and drop
//! datagrams, and processes crash, pause and restart, all determined by a seed. An audit checks at every step that no
//! lease has two holders and that fences increase.

use mintgate::fleet::gossip::{GossipTopic, GossipUpdate};
use mintgate::fleet::lease::{self, LeaseGrant};
use mintgate::fleet::{FleetConfig, FleetInput, FleetNode, FleetOutput, Process, message};
use mintgate::{Duration, Task, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

const NANOS_PER_SECOND: u64 = 1_000_000_000;
/// The maximum clock drift that processes are configured with, in parts per million.
const DRIFT_PPM: u64 = 5_000;

/// Parameters of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Processes.
    pub processes: usize,
    /// The first processes, which act as electors.
    pub electors: usize,
    /// Lease term.
    pub term: Duration,
    /// The maximum datagram delay that processes are configured with.
    pub delay: Duration,
    /// Partitions of each task.
    pub parts: u16,
    /// Faults per second, over all processes and links.
    pub faults: f64,
    /// Actual clock drift as a multiple of the configured maximum. Above 1 it exceeds what the processes tolerate.
    pub drift: f64,
    /// Duration of the phase with faults.
    pub length: Duration,
    /// Duration of the phase without faults that follows.
    pub calm: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            processes: 5,
            electors: 3,
            term: Duration::millis(2_000),
            delay: Duration::millis(50),
            parts: 2,
            faults: 0.5,
            drift: 1.0,
            length: Duration::millis(60_000),
            calm: Duration::millis(20_000),
        }
    }
}

/// Results of one simulated fleet.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Violated invariants, with the processes and the time.
    pub violations: Vec<String>,
    /// Leases that have had no holder for the last two terms of the calm phase.
    pub leases_without_holder: Vec<(Task, u16)>,
    /// Number of injected faults, by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Times from a holder's crash until another process held its lease.
    pub takeovers: Vec<Duration>,
    /// Fraction of time in which leases had no holder, after their first one.
    pub time_without_holder: f64,
    /// Number of tenures.
    pub tenures: usize,
    /// Datagrams per second that a process sent at the end of the calm phase: mean and maximum.
    pub datagrams: (f64, f64),
    /// Bytes per second, likewise.
    pub bytes: (f64, f64),
    /// The smallest number of members that a process knows at the end.
    pub members_known: usize,
    /// How long a gossip update of the first process took to reach all others, if it did.
    pub gossip_spread: Option<Duration>,
}

struct Running {
    node: FleetNode,
    process: Process,
    /// Its local clock: the reading at real time 0, and its rate relative to real time.
    clock: (u64, f64),
    paused: Option<u64>,
    queued: Vec<(Vec<u8>, SocketAddr)>,
    wake_at: Option<u64>,
    sent: (u64, u64),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Wake(usize, u64),
    Deliver(usize, usize),
    Continue(usize),
    Start(usize),
    Heal(usize, usize),
    Fault,
}

#[derive(Clone, Copy, Default)]
struct Link {
    cut: bool,
    loss: f64,
    extra_delay: u64,
    duplicate: f64,
}

struct Tenure {
    holder: usize,
    until: u64,
}

/// A simulated fleet with its event queue and audit state.
struct Simulation<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_number: u64,
    in_flight: BTreeMap<usize, (Vec<u8>, SocketAddr)>,
    running: Vec<Option<Running>>,
    starts: u64,
    links: Vec<Vec<Link>>,
    /// The current tenure of each lease; `fences` has the last fence and its holder.
    tenures: BTreeMap<(Task, u16), Tenure>,
    fences: BTreeMap<(Task, u16), (u64, Process)>,
    crashed_at: BTreeMap<(Task, u16), u64>,
    free_since: BTreeMap<(Task, u16), u64>,
    time_without_holder: u64,
    gossip_received: Vec<Option<u64>>,
    report: Report,
}

fn address_of(index: usize) -> SocketAddr {
    let at = index as u32 + 1;
    SocketAddr::from((Ipv4Addr::from(0x7f00_0000 | at), 9_200))
}

fn index_of(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    (u32::from(*at.ip()) & 0xff_ffff).checked_sub(1).map(|n| n as usize)
}

impl Running {
    fn local(&self, real: u64) -> Timestamp {
        Timestamp(self.clock.0 + (real as f64 * self.clock.1) as u64)
    }

    fn real(&self, local: Timestamp) -> u64 {
        ((local.0.saturating_sub(self.clock.0)) as f64 / self.clock.1) as u64 + 1
    }
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Simulation<'a> {
        let n = plan.processes;
        Simulation {
            plan,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            next_number: 0,
            in_flight: BTreeMap::new(),
            running: (0..n).map(|_| None).collect(),
            starts: 0,
            links: vec![vec![Link::default(); n]; n],
            tenures: BTreeMap::new(),
            fences: BTreeMap::new(),
            crashed_at: BTreeMap::new(),
            free_since: BTreeMap::new(),
            time_without_holder: 0,
            gossip_received: vec![None; n],
            report: Report::default(),
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.next_number += 1;
        self.queue.push(Reverse((time, self.next_number, event)));
    }

    fn start(&mut self, index: usize) {
        if self.running[index].is_some() {
            return;
        }
        self.starts += 1;
        let plan = self.plan;
        let drift = DRIFT_PPM as f64 / 1e6 * plan.drift;
        let rate = 1.0 + self.rng.random_range(-drift..=drift);
        // Clocks are not synchronized: their readings can't be compared between processes.
        let offset =
            1_700_000_000 * NANOS_PER_SECOND + self.rng.random_range(0..1_000_000 * NANOS_PER_SECOND);
        let electors: Vec<u32> = (0..plan.electors as u32).collect();
        let process = Process { index: index as u32, incarnation: self.starts };
        let clock = (offset - (self.now as f64 * rate) as u64, rate);
        let config = FleetConfig {
            process,
            // The latest start supersedes earlier ones, as it would with generations taken from a clock.
            generation: self.starts,
            address: address_of(index),
            fleet_hash: message::fleet("lab", &[]),
            acceptors: electors.iter().map(|index| (*index, address_of(*index as usize))).collect(),
            address_overrides: BTreeMap::new(),
            lease: lease::LeaseConfig::new(electors, plan.term, plan.term, DRIFT_PPM),
            delay: plan.delay,
            size: plan.processes as u32,
            shed_latency_objective: None,
            publishes: false,
            parts: plan.parts,
            fence_floor: self.now / 1_000_000,
            seed: self.rng.random(),
        };
        let running = Running {
            node: FleetNode::new(Timestamp(offset), config),
            process,
            clock,
            paused: None,
            queued: vec![],
            wake_at: None,
            sent: (0, 0),
        };
        self.running[index] = Some(running);
        self.handle(index, FleetInput::Timer);
    }

    /// Passes an event to a process and carries out its outputs.
    fn handle(&mut self, index: usize, event: FleetInput) {
        let now = self.now;
        let Some(running) = &mut self.running[index] else { return };
        let local = running.local(now);
        let all = running.node.handle(local, event);
        for output in all {
            self.carry_out(index, output);
        }
        let Some(running) = &mut self.running[index] else { return };
        let due = running.node.next_timeout().map(|at| running.real(at).max(now));
        if due != running.wake_at {
            running.wake_at = due;
            if let Some(at) = due {
                let process = running.process.incarnation;
                self.schedule(at, Event::Wake(index, process));
            }
        }
    }

    fn carry_out(&mut self, index: usize, output: FleetOutput) {
        match output {
            FleetOutput::Send(to, bytes) => self.send(index, to, bytes),
            FleetOutput::LeaseChanged(task, part, grant) => self.audit_lease(index, (task, part), grant),
            FleetOutput::Received(GossipTopic::Worker(1), ..) => {
                let now = self.now;
                self.gossip_received[index].get_or_insert(now);
            }
            _ => {}
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, bytes: Vec<u8>) {
        if let Some(running) = &mut self.running[index] {
            running.sent = (running.sent.0 + 1, running.sent.1 + bytes.len() as u64);
        }
        let Some(other) = index_of(to).filter(|other| *other < self.plan.processes) else { return };
        let link = self.links[index][other];
        if link.cut || self.rng.random_bool(link.loss) {
            return;
        }
        let deliveries = 1 + usize::from(self.rng.random_bool(link.duplicate));
        for _ in 0..deliveries {
            let delay =
                self.rng.random_range(50_000..2_000_000) + self.rng.random_range(0..=link.extra_delay);
            let number = self.next_number as usize;
            self.in_flight.insert(number, (bytes.clone(), address_of(index)));
            self.schedule(self.now + delay, Event::Deliver(other, number));
        }
    }

    /// Audits a change of a lease: no other process may hold it, and its fence must exceed all earlier ones.
    fn audit_lease(&mut self, index: usize, lease: (Task, u16), grant: Option<LeaseGrant>) {
        let now = self.now;
        let Some(running) = &self.running[index] else { return };
        let (process, until) = (running.process, grant.map(|grant| running.real(grant.until)));
        let others = self.tenures.get(&lease).filter(|t| t.holder != index && t.until > now);
        let (Some(grant), Some(until)) = (grant, until) else {
            if self.tenures.get(&lease).is_some_and(|tenure| tenure.holder == index) {
                self.tenures.remove(&lease);
                self.free_since.entry(lease).or_insert(now);
            }
            return;
        };
        if let Some(other) = others {
            self.report.violations.push(format!(
                "two holders of {lease:?} at {now}: {process:?} and {} until {}",
                other.holder, other.until
            ));
        }
        let last = self.fences.get(&lease).copied();
        if last != Some((grant.fence, process)) {
            if last.is_some_and(|(fence, _)| grant.fence <= fence) {
                self.report.violations.push(format!("fence {} of {lease:?} after {last:?}", grant.fence));
            }
            self.fences.insert(lease, (grant.fence, process));
            self.report.tenures += 1;
        }
        // The lease had no holder since the end of the previous tenure, or since its holder's crash.
        let before = self.tenures.get(&lease).map(|tenure| tenure.until).filter(|until| *until < now);
        if let Some(since) = self.free_since.remove(&lease).or(before) {
            self.time_without_holder += now - since;
        }
        if let Some(since) = self.crashed_at.remove(&lease) {
            self.report.takeovers.push(Duration(now - since));
        }
        self.tenures.insert(lease, Tenure { holder: index, until });
    }

    fn crash(&mut self, index: usize) {
        self.running[index] = None;
        let now = self.now;
        let held: Vec<(Task, u16)> =
            self.tenures.iter().filter(|(_, t)| t.holder == index).map(|(lease, _)| *lease).collect();
        for lease in held {
            // A crashed holder no longer acts on its lease, so the tenure ends now.
            self.tenures.remove(&lease);
            self.free_since.entry(lease).or_insert(now);
            self.crashed_at.insert(lease, now);
        }
    }

    fn inject_fault(&mut self) {
        let n = self.plan.processes;
        let (one, other) = (self.rng.random_range(0..n), self.rng.random_range(0..n));
        let duration = self.rng.random_range(NANOS_PER_SECOND / 10..6 * NANOS_PER_SECOND);
        let end = self.now + duration;
        let name = match self.rng.random_range(0..9) {
            0 if self.running[one].is_some() => {
                self.crash(one);
                self.schedule(end, Event::Start(one));
                "crash"
            }
            1 | 2 => {
                let now = self.now;
                match &mut self.running[one] {
                    Some(running) if running.paused.is_none() => running.paused = Some(now),
                    _ => return,
                }
                self.schedule(end, Event::Continue(one));
                "pause"
            }
            3 => {
                self.links[one][other].cut = true;
                self.schedule(end, Event::Heal(one, other));
                "one-way cut"
            }
            4 => {
                for (from, to) in [(one, other), (other, one)] {
                    self.links[from][to].cut = true;
                    self.schedule(end, Event::Heal(from, to));
                }
                "cut"
            }
            5 => {
                // Isolates one process from all others.
                for to in 0..n {
                    self.links[one][to].cut = true;
                    self.links[to][one].cut = true;
                    self.schedule(end, Event::Heal(one, to));
                    self.schedule(end, Event::Heal(to, one));
                }
                "alone"
            }
            6 => {
                self.links[one][other].loss = self.rng.random_range(0.1..0.9);
                self.schedule(end, Event::Heal(one, other));
                "loss"
            }
            7 => {
                self.links[one][other].extra_delay =
                    self.rng.random_range(NANOS_PER_SECOND / 20..3 * NANOS_PER_SECOND);
                self.schedule(end, Event::Heal(one, other));
                "delay"
            }
            8 => {
                self.links[one][other].duplicate = 0.5;
                self.links[one][other].extra_delay = NANOS_PER_SECOND / 2;
                self.schedule(end, Event::Heal(one, other));
                "repeats and disorder"
            }
            _ => {
                // Leaves the fleet gracefully and restarts later.
                self.handle(one, FleetInput::Leave);
                self.crash(one);
                self.schedule(end, Event::Start(one));
                "leave"
            }
        };
        *self.report.faults.entry(name).or_default() += 1;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wake(index, incarnation) => {
                let Some(running) = &mut self.running[index] else { return };
                if running.process.incarnation != incarnation {
                    return;
                }
                running.wake_at = None;
                if running.paused.is_none() {
                    self.handle(index, FleetInput::Timer);
                }
            }
            Event::Deliver(index, number) => {
                let Some((bytes, from)) = self.in_flight.remove(&number) else { return };
                let Some(running) = &mut self.running[index] else { return };
                if running.paused.is_some() {
                    // It stays queued in the socket.
                    running.queued.push((bytes, from));
                } else {
                    self.handle(index, FleetInput::Datagram(&bytes, from));
                }
            }
            Event::Continue(index) => {
                let Some(running) = &mut self.running[index] else { return };
                running.paused = None;
                for (bytes, from) in std::mem::take(&mut running.queued) {
                    self.handle(index, FleetInput::Datagram(&bytes, from));
                }
                self.handle(index, FleetInput::Timer);
            }
            Event::Start(index) => self.start(index),
            Event::Heal(from, to) => self.links[from][to] = Link::default(),
            Event::Fault => {
                self.inject_fault();
                let mean = NANOS_PER_SECOND as f64 / self.plan.faults;
                let pause = (-self.rng.random_range(1e-9..1.0f64).ln() * mean) as u64;
                if self.now + pause < self.plan.length.0 {
                    self.schedule(self.now + pause, Event::Fault);
                }
            }
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at < end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { return };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    fn heal(&mut self) {
        for row in &mut self.links {
            row.fill(Link::default());
        }
        for index in 0..self.plan.processes {
            match &self.running[index] {
                Some(running) if running.paused.is_some() => self.handle_event(Event::Continue(index)),
                Some(_) => {}
                None => self.start(index),
            }
        }
    }
}

/// Simulates one fleet.
pub fn simulate(plan: &Plan, seed: u64) -> Report {
    let mut simulation = Simulation::new(plan, seed);
    for index in 0..plan.processes {
        let at = simulation.rng.random_range(0..NANOS_PER_SECOND / 4);
        simulation.schedule(at, Event::Start(index));
    }
    if plan.faults > 0.0 {
        simulation.schedule(NANOS_PER_SECOND, Event::Fault);
    }
    simulation.run_until(plan.length.0);
    simulation.heal();
    // The second half of the calm phase is measured; during the first the fleet recovers.
    simulation.run_until(plan.length.0 + plan.calm.0 / 2);
    let before: Vec<(u64, u64)> = simulation.running.iter().flatten().map(|running| running.sent).collect();
    let observed_at = simulation.now;
    simulation.handle(0, FleetInput::Observed(GossipTopic::Worker(1), GossipUpdate::Answers(true)));
    simulation.run_until(plan.length.0 + plan.calm.0);
    let half = (plan.calm.0 / 2) as f64 / NANOS_PER_SECOND as f64;
    let sent: Vec<(f64, f64)> = simulation
        .running
        .iter()
        .flatten()
        .zip(&before)
        .map(|(running, before)| {
            ((running.sent.0 - before.0) as f64 / half, (running.sent.1 - before.1) as f64 / half)
        })
        .collect();
    let mean = |values: Vec<f64>| {
        let most = values.iter().copied().fold(0.0, f64::max);
        (values.iter().sum::<f64>() / values.len().max(1) as f64, most)
    };
    let now = simulation.now;
    let leases = Task::PARTITIONED.iter().flat_map(|task| (0..plan.parts).map(move |part| (*task, part)));
    let mut report = std::mem::take(&mut simulation.report);
    // A lease that passes from one holder to the next is briefly free.
    let held = |lease: &(Task, u16)| {
        let free_since =
            simulation.free_since.get(lease).or(simulation.tenures.get(lease).map(|tenure| &tenure.until));
        free_since.is_some_and(|since| since + 2 * plan.term.0 > now)
    };
    report.leases_without_holder = leases.filter(|lease| !held(lease)).collect();
    report.time_without_holder = simulation.time_without_holder as f64
        / (now as f64 * f64::from(plan.parts) * Task::PARTITIONED.len() as f64);
    report.datagrams = mean(sent.iter().map(|sent| sent.0).collect());
    report.bytes = mean(sent.iter().map(|sent| sent.1).collect());
    report.members_known =
        simulation.running.iter().flatten().map(|running| running.node.members().count()).min().unwrap_or(0);
    let gossip_received = simulation.gossip_received.iter().skip(1).copied().collect::<Option<Vec<u64>>>();
    report.gossip_spread =
        gossip_received.and_then(|all| all.into_iter().max()).map(|last| Duration(last - observed_at));
    report
}

/// Simulates many seeds and prints a summary. Fails if an invariant was violated or a lease has no holder at the end.
pub fn report(plan: &Plan, seeds: std::ops::Range<u64>) -> std::process::ExitCode {
    let count = seeds.end - seeds.start;
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let reports: Vec<(u64, Report)> = std::thread::scope(|scope| {
        let shares: Vec<_> = (0..threads)
            .map(|n| {
                let seeds = seeds.clone().skip(n as usize).step_by(threads as usize);
                scope.spawn(move || seeds.map(|seed| (seed, simulate(plan, seed))).collect::<Vec<_>>())
            })
            .collect();
        shares.into_iter().filter_map(|share| share.join().ok()).flatten().collect()
    });
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    let mut takeovers: Vec<f64> = vec![];
    let (mut violations, mut leases_without_holder, mut tenures, mut time_without_holder) = (0, 0, 0, 0.0);
    for (seed, report) in &reports {
        for (name, count) in &report.faults {
            *faults.entry(name).or_default() += count;
        }
        takeovers.extend(report.takeovers.iter().map(|span| span.secs()));
        tenures += report.tenures;
        time_without_holder += report.time_without_holder / count as f64;
        for rule in &report.violations {
            violations += 1;
            println!("seed {seed}: {rule}");
        }
        if !report.leases_without_holder.is_empty() {
            leases_without_holder += 1;
            println!("seed {seed}: no process holds {:?} after the calm phase", report.leases_without_holder);
        }
    }
    takeovers.sort_by(f64::total_cmp);
    let quantile =
        |part: f64| takeovers.get((takeovers.len() as f64 * part) as usize).copied().unwrap_or(0.0);
    let each = |value: fn(&Report) -> f64| reports.iter().map(|(_, r)| value(r)).sum::<f64>() / count as f64;
    println!(
        "{count} seeds, {} processes, {} electors, term {} s",
        plan.processes,
        plan.electors,
        plan.term.secs()
    );
    println!("faults: {faults:?}");
    println!("tenures {tenures}, time without a holder {:.1}%", time_without_holder * 100.0);
    println!(
        "from a holder's crash to the next: {} times, median {:.2} s, 99th percentile {:.2} s",
        takeovers.len(),
        quantile(0.5),
        quantile(0.99)
    );
    println!(
        "in the calm phase, a process sends {:.1} datagrams a second ({:.1} at most), {:.0} bytes ({:.0} at most)",
        each(|r| r.datagrams.0),
        each(|r| r.datagrams.1),
        each(|r| r.bytes.0),
        each(|r| r.bytes.1)
    );
    let gossip_spread =
        reports.iter().filter_map(|(_, r)| r.gossip_spread).map(Duration::secs).fold(0.0, f64::max);
    let spread_count = reports.iter().filter(|(_, r)| r.gossip_spread.is_some()).count();
    println!(
        "members known at the end: {:.1} at least; a gossip update reached all in {spread_count} seeds, within {gossip_spread:.2} s",
        each(|r| r.members_known as f64)
    );
    println!(
        "invariants violated: {violations}; leases without a holder at the end: {leases_without_holder}"
    );
    if violations + leases_without_holder == 0 {
        std::process::ExitCode::SUCCESS
    } else {
        std::process::ExitCode::FAILURE
    }
}
