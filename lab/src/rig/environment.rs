//! All sockets of a run, served in rounds by one thread: workers, discovery, clients, and the links between
//! schedulers. Faults begin and end as the scenario says.

mod absence;
mod faults;
mod network;
mod schedulers;
mod troubles;
mod workers;

use super::audit::{Audit, LeasedAction, LoadRateLimit};
use super::client::{self, CallOutcome, Clients};
use super::link::{Datagrams, LinkCondition, Stream};
use super::process::{LogLine, Scheduler};
use super::report::{self, Hold, Report};
use super::scenario::{Direction, FaultKind, FaultTarget, LinkSet, Scenario, ScheduledFault};
use super::wire::NonBlockingStream;
use super::worker::{SentLine, SimulatedWorker, Store};
use super::{MILLISECOND, Moment, SECOND};
use crate::stand_ins::{self, Folder};
use absence::Absence;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use troubles::InternalFaults;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_micros(500);
/// Maximum wait for any condition, in nanoseconds. It only ends a run that hangs.
const WAIT_TIMEOUT: u64 = 30 * SECOND;
/// After a round this late the machine is overloaded, and what should have happened recently is not checked; in
/// nanoseconds.
const LATE_ROUND: u64 = SECOND / 4;
/// How long clients keep calling a scheduler that is gone, and one that is shutting down, in nanoseconds.
const CLIENT_NOTICE_DELAYS: (u64, u64) = (SECOND, SECOND / 2);
/// Tolerance beyond the configured grace period in which a draining worker may receive new requests, in nanoseconds.
const DRAIN_GRACE_SLACK: u64 = SECOND / 2;
/// Time after which a discovery event counts as known to all schedulers, whether it arrived or not, in nanoseconds.
const MAX_NOTIFICATION_DELAY: u64 = 7 * SECOND;
/// Minimum time between the longest deadline after SIGTERM and SIGKILL, in nanoseconds.
const KILL_AFTER_DEADLINE: u64 = 700 * MILLISECOND;
/// How long clients open new connections after SIGTERM, in nanoseconds.
const NEW_CONNECTIONS_AFTER_TERM: u64 = 300 * MILLISECOND;
/// The rate at which each scheduler may request loads.
const LOAD_RATE_LIMIT: LoadRateLimit = LoadRateLimit { free: 3.0, share: 0.3, span: 5 * SECOND };

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that runs a scheduler as its subcommand `scheduler`.
    pub program: PathBuf,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Whether to report progress on standard error.
    pub progress: bool,
    /// Folder for the schedulers' logs, if they are to be kept.
    pub logs: Option<PathBuf>,
}

/// A simulated worker with its sockets.
struct WorkerHost {
    process: SimulatedWorker,
    uid: u32,
    /// When it started, by the site's clocks, in Unix milliseconds; 0 if that was long ago.
    started_ms: u64,
    /// Its address for each scheduler; nothing listens there while it is down.
    addresses: Vec<SocketAddr>,
    listeners: Vec<Option<TcpListener>>,
}

/// A connection of a scheduler to a worker, with the link\'s two directions.
struct WorkerConnection {
    id: u64,
    scheduler: usize,
    worker: usize,
    socket: NonBlockingStream,
    to: Stream,
    from: Stream,
    ended: bool,
}

/// The link between two schedulers: each sends to its own socket to reach the other.
struct PeerLink {
    pair: (usize, usize),
    sockets: (UdpSocket, UdpSocket),
    forward: Datagrams,
    backward: Datagrams,
}

/// A scheduler\'s discovery server; each client has the offset of the last event sent to it.
struct DiscoveryBus {
    listener: TcpListener,
    clients: Vec<(TcpStream, Option<u64>)>,
}

/// The state of a run.
struct Environment {
    scenario: Scenario,
    options: Options,
    rng: SmallRng,
    started: Instant,
    started_unix_ms: u64,
    now: Moment,
    /// When the previous round began.
    last_round: Moment,
    workers: Vec<WorkerHost>,
    store: Store,
    connections: Vec<WorkerConnection>,
    next_connection: u64,
    peer_links: Vec<PeerLink>,
    peer_addresses: Vec<SocketAddr>,
    buses: Vec<DiscoveryBus>,
    /// Discovery events: index of the worker, its uid at that time, its state, and when it started.
    discovery_events: Vec<(usize, u32, u8, u64)>,
    next_heartbeat: Moment,
    schedulers: Vec<Scheduler>,
    log: (Sender<LogLine>, Receiver<LogLine>),
    log_lines: Vec<String>,
    clients: Clients,
    calls_enabled: bool,
    calls: u64,
    audit: Audit,
    /// Condition of the links from each scheduler to each worker, and back.
    worker_conditions: Vec<Vec<(LinkCondition, LinkCondition)>>,
    /// Condition of the links from each scheduler to each other one.
    peer_conditions: Vec<Vec<LinkCondition>>,
    /// Active faults with their targets.
    active_faults: Vec<(ScheduledFault, Vec<usize>)>,
    absence: Absence,
    /// Since when clients avoid each scheduler; a time in the future while they have not noticed yet.
    avoided_since: Vec<Option<Moment>>,
    upgrading: BTreeSet<usize>,
    /// The scheduler that holds each task and part.
    lease_holders: BTreeMap<(String, u16), usize>,
    hold_log: Vec<Hold>,
    /// When a fault ended the hold of each task and part that is not held again yet.
    ended_holds: BTreeMap<(String, u16), Moment>,
    hold_gaps: Vec<u64>,
    faults: Vec<String>,
    internal_faults: InternalFaults,
    /// Number of datagrams between schedulers, and their bytes.
    datagrams: (u64, u64),
    finished_calls: Vec<client::FinishedCall>,
    top_instances: Vec<usize>,
    /// Processor time used before the calls started, and since then, in hundredths of a second.
    cpu_ticks: (u64, u64),
}

/// Runs a scenario to its end.
pub fn run_scenario(name: &str, scenario: Scenario, options: Options) -> Result<Report, String> {
    let folder = Folder::new();
    let mut environment =
        Environment::new(scenario, options, &folder.0).map_err(|e| format!("cannot start the run: {e}"))?;
    environment.run(name).map_err(|e| format!("the run failed: {e}"))
}

/// The settings of one scheduler.
fn settings(scenario: &Scenario, index: usize) -> Value {
    let (mut settings, kind) = (stand_ins::settings(), &scenario.worker);
    let mut fragile = settings["classes"][0].clone();
    fragile["effect"] = json!("fragile");
    if let Some(classes) = settings["classes"].as_array_mut() {
        classes.push(fragile);
    }
    (settings["fleetSize"], settings["index"]) = (json!(scenario.schedulers), json!(index));
    for (class, worth) in report::PRIORITY_WEIGHTS.into_iter().enumerate() {
        settings["classes"][class]["name"] = json!(client::CLASS_NAMES[class]);
        settings["classes"][class]["objectiveNs"] = json!(scenario.allow_ms * MILLISECOND / 3);
        settings["classes"][class]["deadlineNs"] = json!(scenario.allow_ms * MILLISECOND);
        settings["classes"][class]["worth"] = json!(worth);
    }
    (settings["bounds"]["probes"], settings["bounds"]["peers"]) = (json!(true), json!(scenario.fleet));
    settings["contract"] = json!({"coldFrom": kind.cold_from, "coldNs": kind.cold_ms * MILLISECOND,
        "fallMultiple": kind.fall_multiple, "fallNs": kind.fall_ms * MILLISECOND, "drainGraceNs": scenario.grace_ms * MILLISECOND});
    let family = &mut settings["familyInfo"];
    (family["keepNs"], family["loadSpanNs"]) =
        (json!(super::worker::INSTANCE_KEEP_ALIVE), json!(LOAD_RATE_LIMIT.span));
    (family["loadsAnyway"], family["loadPart"]) = (json!(LOAD_RATE_LIMIT.free), json!(LOAD_RATE_LIMIT.share));
    settings
}

/// The operator\'s file of one scheduler.
fn operator(
    scenario: &Scenario,
    index: usize,
    peer_addresses: &[SocketAddr],
    peer_links: &[PeerLink],
) -> std::io::Result<String> {
    if !scenario.fleet {
        return Ok(String::new());
    }
    let entry = |n: usize, at: SocketAddr| format!("{{ index = {n}, at = \"{at}\" }}");
    let electors: Vec<String> = (0..scenario.electors).map(|n| entry(n, peer_addresses[n])).collect();
    let mut via = vec![];
    for link in peer_links {
        match link.pair {
            (one, other) if one == index => via.push(entry(other, link.sockets.0.local_addr()?)),
            (one, other) if other == index => via.push(entry(one, link.sockets.1.local_addr()?)),
            _ => {}
        }
    }
    Ok(format!(
        "[fleet]\nname = \"rig\"\nbind = \"{}\"\nelectors = [{}]\nvotes = {}\nterm_ms = {}\ndelay_ms = {}\nparts = {}\nshed = {}\nvia = [{}]\n",
        peer_addresses[index],
        electors.join(", "),
        index < scenario.electors,
        scenario.term_ms,
        scenario.delay_ms,
        scenario.parts,
        scenario.shed,
        via.join(", ")
    ))
}

/// Loopback addresses that no concurrent run of the rig on this machine uses.
fn unique_loopback_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT_RUN: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let run = NEXT_RUN.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 64;
    let process = std::process::id() % (1 << 16);
    let ip = IpAddr::V4(Ipv4Addr::from(127 << 24 | (64 + run) << 16 | process));
    (0..count).map(|n| SocketAddr::new(ip, 9_200 + n as u16)).collect()
}

fn listen() -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Environment {
    fn new(scenario: Scenario, options: Options, folder: &Path) -> std::io::Result<Environment> {
        let (count, worker_count) = (scenario.schedulers, scenario.workers);
        let peer_addresses = unique_loopback_addresses(count);
        let mut peer_links = vec![];
        for one in 0..count {
            for other in one + 1..count {
                let sockets = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
                sockets.0.set_nonblocking(true)?;
                sockets.1.set_nonblocking(true)?;
                let (forward, backward) = Default::default();
                peer_links.push(PeerLink { pair: (one, other), sockets, forward, backward });
            }
        }
        let mut workers = vec![];
        for n in 0..worker_count {
            let listeners = (0..count).map(|_| listen()).collect::<std::io::Result<Vec<_>>>()?;
            let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
            let listeners = listeners.into_iter().map(Some).collect();
            let process = SimulatedWorker::new(scenario.worker.clone());
            workers.push(WorkerHost { process, uid: n as u32 + 1, started_ms: 0, addresses, listeners });
        }
        let buses: Vec<DiscoveryBus> = (0..count)
            .map(|_| Ok(DiscoveryBus { listener: listen()?, clients: vec![] }))
            .collect::<std::io::Result<_>>()?;
        let mut schedulers = vec![];
        for (n, bus) in buses.iter().enumerate() {
            let targets: Vec<Value> = workers
                .iter()
                .map(|worker| stand_ins::worker_record(worker.uid, worker.addresses[n], "SERVING"))
                .collect();
            let bus = bus.listener.local_addr()?;
            let config = |at: SocketAddr| {
                json!({"name": format!("n{n}"), "listen": at.to_string(), "mgmt": "127.0.0.1:0",
                    "seed": format!("{:x}", options.seed + n as u64), "settings": settings(&scenario, n),
                    "limits": {"sockets": 512}, "bus": bus.to_string(), "known": {"offset": 1, "batch": [
                        {"offset": 1, "topology": {"rev": 1, "all": true, "targets": targets}}]}})
            };
            let operator = operator(&scenario, n, &peer_addresses, &peer_links)?;
            schedulers.push(Scheduler::new(n, folder, &options.program, config, &operator, scenario.faulty)?);
        }
        let started_unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        Ok(Environment {
            rng: SmallRng::seed_from_u64(options.seed),
            started: Instant::now(),
            started_unix_ms,
            now: 0,
            last_round: 0,
            workers,
            store: Store::new(),
            connections: vec![],
            next_connection: 0,
            peer_links,
            peer_addresses,
            buses,
            discovery_events: vec![],
            next_heartbeat: 0,
            schedulers,
            log: channel(),
            log_lines: vec![],
            clients: Clients::new(scenario.calls, scenario.repeats, scenario.functions),
            calls_enabled: false,
            calls: 0,
            audit: Audit::new(LOAD_RATE_LIMIT, scenario.allow_ms),
            worker_conditions: vec![vec![Default::default(); worker_count]; count],
            peer_conditions: vec![vec![LinkCondition::default(); count]; count],
            active_faults: vec![],
            absence: Absence { absent: vec![vec![]; count], stopped: vec![vec![]; count], last_stall: 0 },
            avoided_since: vec![None; count],
            upgrading: BTreeSet::new(),
            lease_holders: BTreeMap::new(),
            hold_log: vec![],
            ended_holds: BTreeMap::new(),
            hold_gaps: vec![],
            faults: vec![],
            internal_faults: InternalFaults::new(count),
            datagrams: (0, 0),
            finished_calls: vec![],
            top_instances: vec![],
            cpu_ticks: (0, 0),
            scenario,
            options,
        })
    }

    // ---- The course of a run

    fn run(&mut self, name: &str) -> std::io::Result<Report> {
        for n in 0..self.schedulers.len() {
            self.start(n)?;
        }
        let all_serving =
            |environment: &Environment| environment.schedulers.iter().all(|one| one.serving().is_some());
        if !self.wait_until(all_serving) {
            return Err(std::io::Error::other(format!(
                "not all schedulers accept clients: {:?}",
                self.log_lines
            )));
        }
        let start = self.now;
        self.cpu_ticks.0 = self.count_cpu_ticks();
        let mut drawn: std::collections::VecDeque<ScheduledFault> = {
            let mut rng = SmallRng::seed_from_u64(self.options.seed);
            self.scenario.draw_faults(&mut rng).into()
        };
        self.clients.fragile = self.scenario.fragile;
        self.clients.allow_ms = self.scenario.allow_ms;
        self.calls_enabled = true;
        let end = start + (self.scenario.seconds * 1e3) as u64 * MILLISECOND;
        while self.now < end {
            while drawn.front().is_some_and(|fault| start + fault.at <= self.now) {
                let Some(mut fault) = drawn.pop_front() else { break };
                (fault.at, fault.until) = (fault.at + start, fault.until + start);
                self.begin_fault(fault)?;
            }
            self.end_faults(false)?;
            self.round()?;
            if start + self.top_instances.len() as u64 * SECOND <= self.now {
                let top: Vec<String> = (0..3).map(client::function_name).collect();
                let count_ready = |worker: &WorkerHost| {
                    top.iter().filter(|one| worker.process.has_instance(self.now, one)).count()
                };
                self.top_instances.push(self.workers.iter().map(count_ready).sum());
            }
        }
        self.cpu_ticks.1 = self.count_cpu_ticks().saturating_sub(self.cpu_ticks.0);
        self.end_faults(true)?;
        self.calls_enabled = false;
        self.wait_until(|environment| environment.clients.open_calls() == 0);
        self.finish();
        Ok(self.report(name, start, end))
    }

    /// Processor time of all running processes; too little in scenarios with crashes.
    fn count_cpu_ticks(&self) -> u64 {
        self.schedulers.iter().flat_map(|one| &one.processes).map(super::process::Process::cpu_ticks).sum()
    }

    /// Runs rounds until a condition holds; false after the timeout.
    fn wait_until(&mut self, until: impl Fn(&Environment) -> bool) -> bool {
        let since = self.now;
        while !until(self) {
            if self.now > since + WAIT_TIMEOUT || self.round().is_err() {
                return false;
            }
        }
        true
    }

    /// Ends all schedulers with SIGTERM.
    fn finish(&mut self) {
        self.wait_until(|environment| environment.schedulers.iter().all(|one| one.serving().is_some()));
        for process in self.schedulers.iter_mut().flat_map(|one| &mut one.processes) {
            process.ending = true;
            process.signal("TERM");
        }
        if !self.wait_until(|environment| environment.schedulers.iter().all(|one| one.processes.is_empty())) {
            let what = format!(
                "of {} processes",
                self.schedulers.iter().map(|one| one.processes.len()).sum::<usize>()
            );
            self.audit.add_violation("a process still running after SIGTERM", what);
        }
    }

    /// Runs one round: waits, then serves everything once.
    fn round(&mut self) -> std::io::Result<()> {
        std::thread::sleep(ROUND_INTERVAL);
        let begins = self.started.elapsed().as_nanos() as Moment;
        self.now = begins;
        if begins > self.last_round + LATE_ROUND {
            self.absence.last_stall = begins;
        }
        self.read_logs();
        self.kill_overdue();
        self.reap_processes();
        self.serve_discovery()?;
        self.forward_datagrams();
        self.poll_workers();
        self.cancel_for_hasty_clients();
        self.poll_clients();
        self.last_round = begins;
        Ok(())
    }

    fn start(&mut self, n: usize) -> std::io::Result<()> {
        self.internal_faults.record_start(n, self.now);
        self.schedulers[n].start(&self.log.0)
    }

    fn report_progress(&mut self, text: String) {
        if self.options.progress {
            eprintln!("{:7.2} s  {text}", self.now as f64 / SECOND as f64);
        }
    }

    // ---- Clients

    fn poll_clients(&mut self) {
        let now = self.now;
        if self.calls_enabled {
            let usable = |n: &usize| {
                self.avoided_since[*n].is_none_or(|since| since > now)
                    || self.clients.persistent.contains(n) && self.clients.is_connected(*n)
            };
            let usable_schedulers: Vec<(usize, SocketAddr)> =
                (0..self.schedulers.len()).filter(usable).map(|n| (n, self.schedulers[n].at)).collect();
            for (scheduler, call) in self.clients.make_calls(now, &usable_schedulers, &mut self.rng) {
                self.calls += 1;
                let fragile = call.class == client::FRAGILE_CLASS;
                self.audit.record_call(now, scheduler, call.id, &call.function, fragile);
            }
        }
        // A scheduler that was asked to shut down has to answer calls on persistent connections in spite of its end.
        let persistent = self.clients.persistent.clone();
        let excused = |n, sent, now| {
            let unable = self.absence.is_unable(n, sent, now);
            unable || !persistent.contains(&n) && self.absence.was_gone(n, sent, now)
        };
        let place = |n: usize| self.schedulers[n].at;
        self.clients.poll(now, excused, place);
        for what in self.clients.unexpected.drain(..) {
            self.audit.add_violation("an unexpected answer", what);
        }
        for done in self.clients.finished.drain(..) {
            self.audit.record_end(now, done.scheduler, done.id);
            if done.outcome == CallOutcome::Refused {
                self.audit.check_refusal(done.scheduler, done.id);
            }
            if done.outcome == CallOutcome::Unanswered {
                let what =
                    format!("call {} at {}, sent at {} ms", done.id, done.scheduler, done.sent / MILLISECOND);
                self.audit.add_violation("a call without an answer", what);
            }
            self.finished_calls.push(done);
        }
    }

    // ---- The report

    fn report(&mut self, name: &str, start: Moment, end: Moment) -> Report {
        if let Some(folder) = &self.options.logs {
            let text = self.log_lines.join("\n");
            let _ = std::fs::create_dir_all(folder);
            let _ = std::fs::write(folder.join(format!("{name}-{}.log", self.options.seed)), text);
        }
        for done in &mut self.finished_calls {
            done.sent = done.sent.saturating_sub(start);
        }
        let count = self.schedulers.len();
        let (classes, schedulers, seconds) = report::group_counts(&self.finished_calls, count, end - start);
        let length_seconds = (end - start) as f64 / SECOND as f64;
        let sum = |of: fn(&SimulatedWorker) -> u64| {
            self.workers.iter().map(|worker| of(&worker.process)).sum::<u64>()
        };
        let scheduler_seconds = length_seconds * count as f64;
        Report {
            play: name.to_owned(),
            seed: self.options.seed,
            broken: self.audit.violations.clone(),
            classes,
            schedulers,
            seconds,
            worth: report::served_worth(&self.finished_calls, end - start),
            attempts: sum(|process| process.calls) as f64 / self.calls.max(1) as f64,
            full: sum(|process| process.full_answers),
            fell: sum(|process| process.crashes),
            loads: self.store.loads,
            probes: sum(|process| process.probes) as f64 / length_seconds / self.workers.len() as f64,
            acts: self.audit.action_counts.clone(),
            held: self.hold_log.clone(),
            gaps_ms: self.hold_gaps.clone(),
            datagrams: self.datagrams.0 as f64 / scheduler_seconds,
            bytes: self.datagrams.1 as f64 / scheduler_seconds,
            cpu_ms: self.cpu_ticks.1 as f64 * 10.0 / scheduler_seconds,
            top_copies: self.top_instances.clone(),
            faults: self.faults.clone(),
            killed_overdue: self.internal_faults.killed_overdue,
            effects: self.internal_faults.effects.clone(),
        }
    }
}
