//! Processes of one fleet in virtual time: each with a clock of its own, on links that lose, delay, repeat and
//! cut, crashed, paused and started again as a seed draws it. An audit watches every moment: never two holders of
//! a lease, and fences that rise.

use mintgate::fleet::gossip::{GossipTopic, GossipUpdate};
use mintgate::fleet::lease::{self, LeaseGrant};
use mintgate::fleet::{FleetConfig, FleetInput, FleetNode, FleetOutput, Process, message};
use mintgate::{Duration, Task, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

const SECOND: u64 = 1_000_000_000;
/// The largest part by which a clock's rate is off, in millionths, as processes are told.
const DRIFT_PPM: u64 = 5_000;

/// What a fleet is like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Processes.
    pub processes: usize,
    /// Those of them that grant leases, from the first on.
    pub electors: usize,
    /// For how long leases are granted.
    pub term: Duration,
    /// The longest delay that processes are told of.
    pub delay: Duration,
    /// Parts of each task.
    pub parts: u16,
    /// How much goes wrong: faults a second, over all processes and links.
    pub faults: f64,
    /// Clocks may be off by as much as processes are told, times this. Over 1 it is more than they bear.
    pub drift: f64,
    /// Time for which faults are drawn, and after it until all is well again and the end.
    pub length: Duration,
    /// Time after that without faults.
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

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Rules that were broken, with the processes and the time.
    pub broken: Vec<String>,
    /// Leases that nobody has held for two terms at the end of the calm.
    pub unheld: Vec<(Task, u16)>,
    /// Faults that happened, by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Times from a holder's crash until somebody held its lease next.
    pub takeovers: Vec<Duration>,
    /// Time without a holder, as a part of all time after the first.
    pub without: f64,
    /// Holders in all.
    pub tenures: usize,
    /// Datagrams and bytes that one process sent a second in the calm at the end: the mean, and the most.
    pub datagrams: (f64, f64),
    /// See there.
    pub bytes: (f64, f64),
    /// Members that processes know of at the end, the fewest.
    pub known: usize,
    /// How long news of the first process took to reach all others, where it did.
    pub news: Option<Duration>,
}

struct Running {
    machine: FleetNode,
    process: Process,
    /// Its clock: at real time 0, and its rate against real time.
    clock: (u64, f64),
    paused: Option<u64>,
    waiting: Vec<(Vec<u8>, SocketAddr)>,
    wake: Option<u64>,
    sent: (u64, u64),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum What {
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
    slow: u64,
    twice: f64,
}

struct Tenure {
    holder: usize,
    until: u64,
}

/// See the module's page.
struct World<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    next: u64,
    letters: BTreeMap<usize, (Vec<u8>, SocketAddr)>,
    running: Vec<Option<Running>>,
    starts: u64,
    links: Vec<Vec<Link>>,
    /// Who holds what, and under which fence it was held last.
    tenures: BTreeMap<(Task, u16), Tenure>,
    fences: BTreeMap<(Task, u16), (u64, Process)>,
    crashed: BTreeMap<(Task, u16), u64>,
    free: BTreeMap<(Task, u16), u64>,
    without: u64,
    heard: Vec<Option<u64>>,
    report: Report,
}

fn place(index: usize) -> SocketAddr {
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

impl<'a> World<'a> {
    fn new(plan: &'a Plan, seed: u64) -> World<'a> {
        let n = plan.processes;
        World {
            plan,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            next: 0,
            letters: BTreeMap::new(),
            running: (0..n).map(|_| None).collect(),
            starts: 0,
            links: vec![vec![Link::default(); n]; n],
            tenures: BTreeMap::new(),
            fences: BTreeMap::new(),
            crashed: BTreeMap::new(),
            free: BTreeMap::new(),
            without: 0,
            heard: vec![None; n],
            report: Report::default(),
        }
    }

    fn at(&mut self, time: u64, what: What) {
        self.next += 1;
        self.queue.push(Reverse((time, self.next, what)));
    }

    fn start(&mut self, index: usize) {
        if self.running[index].is_some() {
            return;
        }
        self.starts += 1;
        let plan = self.plan;
        let drift = DRIFT_PPM as f64 / 1e6 * plan.drift;
        let rate = 1.0 + self.rng.random_range(-drift..=drift);
        // Clocks show any time; what they show says nothing to others.
        let offset = 1_700_000_000 * SECOND + self.rng.random_range(0..1_000_000 * SECOND);
        let electors: Vec<u32> = (0..plan.electors as u32).collect();
        let process = Process { index: index as u32, incarnation: self.starts };
        let clock = (offset - (self.now as f64 * rate) as u64, rate);
        let config = FleetConfig {
            process,
            // The later start is the member, as its clock would have it in the long run.
            generation: self.starts,
            address: place(index),
            fleet_hash: message::fleet("lab", &[]),
            acceptors: electors.iter().map(|index| (*index, place(*index as usize))).collect(),
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
            machine: FleetNode::new(Timestamp(offset), config),
            process,
            clock,
            paused: None,
            waiting: vec![],
            wake: None,
            sent: (0, 0),
        };
        self.running[index] = Some(running);
        self.act(index, FleetInput::Timer);
    }

    /// Gives a process an event, and carries out what it says.
    fn act(&mut self, index: usize, event: FleetInput) {
        let now = self.now;
        let Some(running) = &mut self.running[index] else { return };
        let local = running.local(now);
        let all = running.machine.handle(local, event);
        for what in all {
            self.carry_out(index, what);
        }
        let Some(running) = &mut self.running[index] else { return };
        let due = running.machine.next_timeout().map(|at| running.real(at).max(now));
        if due != running.wake {
            running.wake = due;
            if let Some(at) = due {
                let process = running.process.incarnation;
                self.at(at, What::Wake(index, process));
            }
        }
    }

    fn carry_out(&mut self, index: usize, what: FleetOutput) {
        match what {
            FleetOutput::Send(to, bytes) => self.send(index, to, bytes),
            FleetOutput::LeaseChanged(task, part, grant) => self.held(index, (task, part), grant),
            FleetOutput::Received(GossipTopic::Worker(1), ..) => {
                let now = self.now;
                self.heard[index].get_or_insert(now);
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
        let copies = 1 + usize::from(self.rng.random_bool(link.twice));
        for _ in 0..copies {
            let delay = self.rng.random_range(50_000..2_000_000) + self.rng.random_range(0..=link.slow);
            let number = self.next as usize;
            self.letters.insert(number, (bytes.clone(), place(index)));
            self.at(self.now + delay, What::Deliver(other, number));
        }
    }

    /// The audit: whoever holds it now, nobody else may, and no fence was as high.
    fn held(&mut self, index: usize, lease: (Task, u16), grant: Option<LeaseGrant>) {
        let now = self.now;
        let Some(running) = &self.running[index] else { return };
        let (process, until) = (running.process, grant.map(|grant| running.real(grant.until)));
        let others = self.tenures.get(&lease).filter(|t| t.holder != index && t.until > now);
        let (Some(grant), Some(until)) = (grant, until) else {
            if self.tenures.get(&lease).is_some_and(|tenure| tenure.holder == index) {
                self.tenures.remove(&lease);
                self.free.entry(lease).or_insert(now);
            }
            return;
        };
        if let Some(other) = others {
            self.report.broken.push(format!(
                "two holders of {lease:?} at {now}: {process:?} and {} until {}",
                other.holder, other.until
            ));
        }
        let last = self.fences.get(&lease).copied();
        if last != Some((grant.fence, process)) {
            if last.is_some_and(|(fence, _)| grant.fence <= fence) {
                self.report.broken.push(format!("fence {} of {lease:?} after {last:?}", grant.fence));
            }
            self.fences.insert(lease, (grant.fence, process));
            self.report.tenures += 1;
        }
        // Without a holder from the end of the tenure before, or its crash.
        let before = self.tenures.get(&lease).map(|tenure| tenure.until).filter(|until| *until < now);
        if let Some(since) = self.free.remove(&lease).or(before) {
            self.without += now - since;
        }
        if let Some(since) = self.crashed.remove(&lease) {
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
            // It acts no more, whatever its clock would have said.
            self.tenures.remove(&lease);
            self.free.entry(lease).or_insert(now);
            self.crashed.insert(lease, now);
        }
    }

    fn fault(&mut self) {
        let n = self.plan.processes;
        let (one, other) = (self.rng.random_range(0..n), self.rng.random_range(0..n));
        let long = self.rng.random_range(SECOND / 10..6 * SECOND);
        let end = self.now + long;
        let name = match self.rng.random_range(0..9) {
            0 if self.running[one].is_some() => {
                self.crash(one);
                self.at(end, What::Start(one));
                "crash"
            }
            1 | 2 => {
                let now = self.now;
                match &mut self.running[one] {
                    Some(running) if running.paused.is_none() => running.paused = Some(now),
                    _ => return,
                }
                self.at(end, What::Continue(one));
                "pause"
            }
            3 => {
                self.links[one][other].cut = true;
                self.at(end, What::Heal(one, other));
                "one-way cut"
            }
            4 => {
                for (from, to) in [(one, other), (other, one)] {
                    self.links[from][to].cut = true;
                    self.at(end, What::Heal(from, to));
                }
                "cut"
            }
            5 => {
                // One is cut off from all others.
                for to in 0..n {
                    self.links[one][to].cut = true;
                    self.links[to][one].cut = true;
                    self.at(end, What::Heal(one, to));
                    self.at(end, What::Heal(to, one));
                }
                "alone"
            }
            6 => {
                self.links[one][other].loss = self.rng.random_range(0.1..0.9);
                self.at(end, What::Heal(one, other));
                "loss"
            }
            7 => {
                self.links[one][other].slow = self.rng.random_range(SECOND / 20..3 * SECOND);
                self.at(end, What::Heal(one, other));
                "delay"
            }
            8 => {
                self.links[one][other].twice = 0.5;
                self.links[one][other].slow = SECOND / 2;
                self.at(end, What::Heal(one, other));
                "repeats and disorder"
            }
            _ => {
                // Leaves in order, and comes back.
                self.act(one, FleetInput::Leave);
                self.crash(one);
                self.at(end, What::Start(one));
                "leave"
            }
        };
        *self.report.faults.entry(name).or_default() += 1;
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Wake(index, incarnation) => {
                let Some(running) = &mut self.running[index] else { return };
                if running.process.incarnation != incarnation {
                    return;
                }
                running.wake = None;
                if running.paused.is_none() {
                    self.act(index, FleetInput::Timer);
                }
            }
            What::Deliver(index, number) => {
                let Some((bytes, from)) = self.letters.remove(&number) else { return };
                let Some(running) = &mut self.running[index] else { return };
                if running.paused.is_some() {
                    // It waits in the socket.
                    running.waiting.push((bytes, from));
                } else {
                    self.act(index, FleetInput::Datagram(&bytes, from));
                }
            }
            What::Continue(index) => {
                let Some(running) = &mut self.running[index] else { return };
                running.paused = None;
                for (bytes, from) in std::mem::take(&mut running.waiting) {
                    self.act(index, FleetInput::Datagram(&bytes, from));
                }
                self.act(index, FleetInput::Timer);
            }
            What::Start(index) => self.start(index),
            What::Heal(from, to) => self.links[from][to] = Link::default(),
            What::Fault => {
                self.fault();
                let mean = SECOND as f64 / self.plan.faults;
                let pause = (-self.rng.random_range(1e-9..1.0f64).ln() * mean) as u64;
                if self.now + pause < self.plan.length.0 {
                    self.at(self.now + pause, What::Fault);
                }
            }
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at < end) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { return };
            self.now = self.now.max(at);
            self.happen(what);
        }
        self.now = end;
    }

    fn heal(&mut self) {
        for row in &mut self.links {
            row.fill(Link::default());
        }
        for index in 0..self.plan.processes {
            match &self.running[index] {
                Some(running) if running.paused.is_some() => self.happen(What::Continue(index)),
                Some(_) => {}
                None => self.start(index),
            }
        }
    }
}

/// Plays one fleet.
pub fn simulate(plan: &Plan, seed: u64) -> Report {
    let mut world = World::new(plan, seed);
    for index in 0..plan.processes {
        let at = world.rng.random_range(0..SECOND / 4);
        world.at(at, What::Start(index));
    }
    if plan.faults > 0.0 {
        world.at(SECOND, What::Fault);
    }
    world.run_until(plan.length.0);
    world.heal();
    // The second half of the calm is measured: the first goes by until all is well.
    world.run_until(plan.length.0 + plan.calm.0 / 2);
    let before: Vec<(u64, u64)> = world.running.iter().flatten().map(|running| running.sent).collect();
    let told = world.now;
    world.act(0, FleetInput::Observed(GossipTopic::Worker(1), GossipUpdate::Answers(true)));
    world.run_until(plan.length.0 + plan.calm.0);
    let half = (plan.calm.0 / 2) as f64 / SECOND as f64;
    let sent: Vec<(f64, f64)> = world
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
    let now = world.now;
    let leases = Task::PARTITIONED.iter().flat_map(|task| (0..plan.parts).map(move |part| (*task, part)));
    let mut report = std::mem::take(&mut world.report);
    // Passing from one to the other takes a moment.
    let held = |lease: &(Task, u16)| {
        let free = world.free.get(lease).or(world.tenures.get(lease).map(|tenure| &tenure.until));
        free.is_some_and(|since| since + 2 * plan.term.0 > now)
    };
    report.unheld = leases.filter(|lease| !held(lease)).collect();
    report.without =
        world.without as f64 / (now as f64 * f64::from(plan.parts) * Task::PARTITIONED.len() as f64);
    report.datagrams = mean(sent.iter().map(|sent| sent.0).collect());
    report.bytes = mean(sent.iter().map(|sent| sent.1).collect());
    report.known =
        world.running.iter().flatten().map(|running| running.machine.members().count()).min().unwrap_or(0);
    let heard = world.heard.iter().skip(1).copied().collect::<Option<Vec<u64>>>();
    report.news = heard.and_then(|all| all.into_iter().max()).map(|last| Duration(last - told));
    report
}

/// Plays many seeds and prints what came of them; fails where a rule was broken.
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
    let (mut broken, mut unheld, mut tenures, mut without) = (0, 0, 0, 0.0);
    for (seed, report) in &reports {
        for (name, count) in &report.faults {
            *faults.entry(name).or_default() += count;
        }
        takeovers.extend(report.takeovers.iter().map(|span| span.secs()));
        tenures += report.tenures;
        without += report.without / count as f64;
        for rule in &report.broken {
            broken += 1;
            println!("seed {seed}: {rule}");
        }
        if !report.unheld.is_empty() {
            unheld += 1;
            println!("seed {seed}: nobody holds {:?} after the calm", report.unheld);
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
    println!("tenures {tenures}, time without a holder {:.1}%", without * 100.0);
    println!(
        "from a holder's crash to the next: {} times, median {:.2} s, 99th percentile {:.2} s",
        takeovers.len(),
        quantile(0.5),
        quantile(0.99)
    );
    println!(
        "in the calm, a process sends {:.1} datagrams a second ({:.1} at most), {:.0} bytes ({:.0} at most)",
        each(|r| r.datagrams.0),
        each(|r| r.datagrams.1),
        each(|r| r.bytes.0),
        each(|r| r.bytes.1)
    );
    let news = reports.iter().filter_map(|(_, r)| r.news).map(Duration::secs).fold(0.0, f64::max);
    let told = reports.iter().filter(|(_, r)| r.news.is_some()).count();
    println!(
        "members known at the end: {:.1} at least; news reached all in {told} seeds, within {news:.2} s",
        each(|r| r.known as f64)
    );
    println!("rules broken: {broken}; leases without a holder at the end: {unheld}");
    if broken + unheld == 0 { std::process::ExitCode::SUCCESS } else { std::process::ExitCode::FAILURE }
}
