//! All sockets of a play, turned in rounds by one thread: workers, the bus, clients, and what passes between
//! schedulers. Faults come and go as the scenario says.

mod absence;
mod faults;
mod network;
mod schedulers;
mod troubles;
mod workers;

use super::audit::{Act, Audit, Ration};
use super::client::{self, Clients, End};
use super::link::{Datagrams, LinkCondition, Stream};
use super::process::{Logged, Scheduler};
use super::report::{self, Held, Report};
use super::scenario::{Drawn, Links, Scenario, Way, What, Who};
use super::wire::Wire;
use super::worker::{Said, SimulatedWorker, Store};
use super::{MS, Moment, SECOND};
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
use troubles::Troubles;

/// Between two rounds.
const PAUSE: Duration = Duration::from_micros(500);
/// Nothing is waited for longer; it ends a play that hangs, and decides nothing else.
const LONG: u64 = 30 * SECOND;
/// A round that comes so late shows that the machine has no time for all: what should have come soon is not judged.
const STALL: u64 = SECOND / 4;
/// Clients notice a scheduler that is gone, and one that is to end, after these times.
const NOTICE: (u64, u64) = (SECOND, SECOND / 2);
/// By so much later than the deployment's grace something new may be seen to come to a worker that drains.
const GRACE_SLACK: u64 = SECOND / 2;
/// What is put into the bus counts as told after this time at the latest, whether it arrived or not.
const TOLD_AT_THE_LATEST: u64 = 7 * SECOND;
/// SIGKILL comes so long after SIGTERM and the longest deadline at the earliest.
const KILL_AFTER_DEADLINE: u64 = 700 * MS;
/// New connections come for so long after SIGTERM.
const NEW_CONNECTIONS: u64 = 300 * MS;
/// Schedulers may order so many loads, and this part of their calls, in such a time.
const RATION: Ration = Ration { free: 3.0, share: 0.3, span: 5 * SECOND };

/// How a play is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that runs a scheduler under `scheduler`.
    pub program: PathBuf,
    /// Decides all that is drawn.
    pub seed: u64,
    /// Says on standard error what happens.
    pub progress: bool,
    /// Where logs are kept; nowhere, if there is no such folder.
    pub logs: Option<PathBuf>,
}

struct WorkerHost {
    process: SimulatedWorker,
    uid: u32,
    /// When it started by the site's clocks, in Unix milliseconds; 0 for long ago.
    started_ms: u64,
    /// Where each scheduler reaches it; nothing listens there while it is dead.
    at: Vec<SocketAddr>,
    listeners: Vec<Option<TcpListener>>,
}

struct Pipe {
    id: u64,
    scheduler: usize,
    worker: usize,
    wire: Wire,
    to: Stream,
    from: Stream,
    ended: bool,
}

/// What passes between two schedulers: each talks to a socket of its own to reach the other.
struct Between {
    pair: (usize, usize),
    sockets: (UdpSocket, UdpSocket),
    there: Datagrams,
    back: Datagrams,
}

struct Bus {
    listener: TcpListener,
    clients: Vec<(TcpStream, Option<u64>)>,
}

struct Environment {
    scenario: Scenario,
    options: Options,
    rng: SmallRng,
    begun: Instant,
    unix_ms: u64,
    now: Moment,
    /// When the last round began.
    last: Moment,
    workers: Vec<WorkerHost>,
    store: Store,
    pipes: Vec<Pipe>,
    next_pipe: u64,
    between: Vec<Between>,
    places: Vec<SocketAddr>,
    buses: Vec<Bus>,
    /// What the bus tells: of which worker, the id that it had, its state, and when it started.
    events: Vec<(usize, u32, u8, u64)>,
    beat: Moment,
    schedulers: Vec<Scheduler>,
    log: (Sender<Logged>, Receiver<Logged>),
    logged: Vec<String>,
    clients: Clients,
    calling: bool,
    calls: u64,
    audit: Audit,
    /// LinkCondition from a scheduler to a worker, and back.
    to_worker: Vec<Vec<(LinkCondition, LinkCondition)>>,
    /// LinkCondition from one scheduler to another.
    peers: Vec<Vec<LinkCondition>>,
    active: Vec<(Drawn, Vec<usize>)>,
    absence: Absence,
    /// Since when clients do not use them.
    shunned: Vec<Option<Moment>>,
    upgrading: BTreeSet<usize>,
    holds: BTreeMap<(String, u16), usize>,
    held: Vec<Held>,
    ended_holds: BTreeMap<(String, u16), Moment>,
    gaps: Vec<u64>,
    faults: Vec<String>,
    troubles: Troubles,
    datagrams: (u64, u64),
    done: Vec<client::Done>,
    top_copies: Vec<usize>,
    /// Processor time that processes had taken when the play began; and since, in hundredths of a second.
    ticks: (u64, u64),
}

/// Plays a scenario to its end.
pub fn play(name: &str, scenario: Scenario, options: Options) -> Result<Report, String> {
    let folder = Folder::new();
    let mut environment =
        Environment::new(scenario, options, &folder.0).map_err(|e| format!("cannot begin: {e}"))?;
    environment.run(name).map_err(|e| format!("cannot go on: {e}"))
}

fn settings(scenario: &Scenario, index: usize) -> Value {
    let (mut settings, kind) = (stand_ins::settings(), &scenario.worker);
    let mut fragile = settings["classes"][0].clone();
    fragile["effect"] = json!("fragile");
    if let Some(classes) = settings["classes"].as_array_mut() {
        classes.push(fragile);
    }
    (settings["fleetSize"], settings["index"]) = (json!(scenario.schedulers), json!(index));
    for (class, worth) in report::WORTH.into_iter().enumerate() {
        settings["classes"][class]["name"] = json!(client::CLASSES[class]);
        settings["classes"][class]["objectiveNs"] = json!(scenario.allow_ms * MS / 3);
        settings["classes"][class]["deadlineNs"] = json!(scenario.allow_ms * MS);
        settings["classes"][class]["worth"] = json!(worth);
    }
    (settings["bounds"]["probes"], settings["bounds"]["peers"]) = (json!(true), json!(scenario.fleet));
    settings["contract"] = json!({"coldFrom": kind.cold_from, "coldNs": kind.cold_ms * MS,
        "fallMultiple": kind.fall_multiple, "fallNs": kind.fall_ms * MS, "drainGraceNs": scenario.grace_ms * MS});
    let family = &mut settings["familyInfo"];
    (family["keepNs"], family["loadSpanNs"]) = (json!(super::worker::KEEP), json!(RATION.span));
    (family["loadsAnyway"], family["loadPart"]) = (json!(RATION.free), json!(RATION.share));
    settings
}

fn operator(
    scenario: &Scenario,
    index: usize,
    places: &[SocketAddr],
    between: &[Between],
) -> std::io::Result<String> {
    if !scenario.fleet {
        return Ok(String::new());
    }
    let entry = |n: usize, at: SocketAddr| format!("{{ index = {n}, at = \"{at}\" }}");
    let electors: Vec<String> = (0..scenario.electors).map(|n| entry(n, places[n])).collect();
    let mut via = vec![];
    for link in between {
        match link.pair {
            (one, other) if one == index => via.push(entry(other, link.sockets.0.local_addr()?)),
            (one, other) if other == index => via.push(entry(one, link.sockets.1.local_addr()?)),
            _ => {}
        }
    }
    Ok(format!(
        "[fleet]\nname = \"rig\"\nbind = \"{}\"\nelectors = [{}]\nvotes = {}\nterm_ms = {}\ndelay_ms = {}\nparts = {}\nshed = {}\nvia = [{}]\n",
        places[index],
        electors.join(", "),
        index < scenario.electors,
        scenario.term_ms,
        scenario.delay_ms,
        scenario.parts,
        scenario.shed,
        via.join(", ")
    ))
}

/// Loopback addresses that no other run of the rig on this machine uses.
fn own_places(count: usize) -> Vec<SocketAddr> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let play = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 64;
    let process = std::process::id() % (1 << 16);
    let ip = IpAddr::V4(Ipv4Addr::from(127 << 24 | (64 + play) << 16 | process));
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
        let places = own_places(count);
        let mut between = vec![];
        for one in 0..count {
            for other in one + 1..count {
                let sockets = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
                sockets.0.set_nonblocking(true)?;
                sockets.1.set_nonblocking(true)?;
                let (there, back) = Default::default();
                between.push(Between { pair: (one, other), sockets, there, back });
            }
        }
        let mut workers = vec![];
        for n in 0..worker_count {
            let listeners = (0..count).map(|_| listen()).collect::<std::io::Result<Vec<_>>>()?;
            let at = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
            let listeners = listeners.into_iter().map(Some).collect();
            let process = SimulatedWorker::new(scenario.worker.clone());
            workers.push(WorkerHost { process, uid: n as u32 + 1, started_ms: 0, at, listeners });
        }
        let buses: Vec<Bus> = (0..count)
            .map(|_| Ok(Bus { listener: listen()?, clients: vec![] }))
            .collect::<std::io::Result<_>>()?;
        let mut schedulers = vec![];
        for (n, bus) in buses.iter().enumerate() {
            let targets: Vec<Value> = workers
                .iter()
                .map(|worker| stand_ins::worker_record(worker.uid, worker.at[n], "SERVING"))
                .collect();
            let bus = bus.listener.local_addr()?;
            let config = |at: SocketAddr| {
                json!({"name": format!("n{n}"), "listen": at.to_string(), "mgmt": "127.0.0.1:0",
                    "seed": format!("{:x}", options.seed + n as u64), "settings": settings(&scenario, n),
                    "limits": {"sockets": 512}, "bus": bus.to_string(), "known": {"offset": 1, "batch": [
                        {"offset": 1, "topology": {"rev": 1, "all": true, "targets": targets}}]}})
            };
            let operator = operator(&scenario, n, &places, &between)?;
            schedulers.push(Scheduler::new(n, folder, &options.program, config, &operator, scenario.faulty)?);
        }
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        Ok(Environment {
            rng: SmallRng::seed_from_u64(options.seed),
            begun: Instant::now(),
            unix_ms,
            now: 0,
            last: 0,
            workers,
            store: Store::new(),
            pipes: vec![],
            next_pipe: 0,
            between,
            places,
            buses,
            events: vec![],
            beat: 0,
            schedulers,
            log: channel(),
            logged: vec![],
            clients: Clients::new(scenario.calls, scenario.repeats, scenario.functions),
            calling: false,
            calls: 0,
            audit: Audit::new(RATION, scenario.allow_ms),
            to_worker: vec![vec![Default::default(); worker_count]; count],
            peers: vec![vec![LinkCondition::default(); count]; count],
            active: vec![],
            absence: Absence { away: vec![vec![]; count], stopped: vec![vec![]; count], stalled: 0 },
            shunned: vec![None; count],
            upgrading: BTreeSet::new(),
            holds: BTreeMap::new(),
            held: vec![],
            ended_holds: BTreeMap::new(),
            gaps: vec![],
            faults: vec![],
            troubles: Troubles::new(count),
            datagrams: (0, 0),
            done: vec![],
            top_copies: vec![],
            ticks: (0, 0),
            scenario,
            options,
        })
    }

    // ---- The course of a play

    fn run(&mut self, name: &str) -> std::io::Result<Report> {
        for n in 0..self.schedulers.len() {
            self.start(n)?;
        }
        let all_serve =
            |environment: &Environment| environment.schedulers.iter().all(|one| one.serving().is_some());
        if !self.wait(all_serve) {
            return Err(std::io::Error::other(format!("not all serve: {:?}", self.logged)));
        }
        let zero = self.now;
        self.ticks.0 = self.count_ticks();
        let mut drawn: std::collections::VecDeque<Drawn> = {
            let mut rng = SmallRng::seed_from_u64(self.options.seed);
            self.scenario.draw(&mut rng).into()
        };
        self.clients.fragile = self.scenario.fragile;
        self.clients.allow_ms = self.scenario.allow_ms;
        self.calling = true;
        let end = zero + (self.scenario.seconds * 1e3) as u64 * MS;
        while self.now < end {
            while drawn.front().is_some_and(|fault| zero + fault.at <= self.now) {
                let Some(mut fault) = drawn.pop_front() else { break };
                (fault.at, fault.until) = (fault.at + zero, fault.until + zero);
                self.begin_fault(fault)?;
            }
            self.end_faults(false)?;
            self.round()?;
            if zero + self.top_copies.len() as u64 * SECOND <= self.now {
                let top: Vec<String> = (0..3).map(client::function).collect();
                let stand = |worker: &WorkerHost| {
                    top.iter().filter(|one| worker.process.stands(self.now, one)).count()
                };
                self.top_copies.push(self.workers.iter().map(stand).sum());
            }
        }
        self.ticks.1 = self.count_ticks().saturating_sub(self.ticks.0);
        self.end_faults(true)?;
        self.calling = false;
        self.wait(|environment| environment.clients.open() == 0);
        self.finish();
        Ok(self.report(name, zero, end))
    }

    /// Processor time of all that run now: in a play with crashes it is too little.
    fn count_ticks(&self) -> u64 {
        self.schedulers.iter().flat_map(|one| &one.processes).map(super::process::Process::ticks).sum()
    }

    /// Turns until something holds; whether it came to that.
    fn wait(&mut self, until: impl Fn(&Environment) -> bool) -> bool {
        let since = self.now;
        while !until(self) {
            if self.now > since + LONG || self.round().is_err() {
                return false;
            }
        }
        true
    }

    /// All schedulers end as they are asked to.
    fn finish(&mut self) {
        self.wait(|environment| environment.schedulers.iter().all(|one| one.serving().is_some()));
        for process in self.schedulers.iter_mut().flat_map(|one| &mut one.processes) {
            process.ending = true;
            process.signal("TERM");
        }
        if !self.wait(|environment| environment.schedulers.iter().all(|one| one.processes.is_empty())) {
            let what = format!(
                "of {} processes",
                self.schedulers.iter().map(|one| one.processes.len()).sum::<usize>()
            );
            self.audit.report("no end after SIGTERM", what);
        }
    }

    fn round(&mut self) -> std::io::Result<()> {
        std::thread::sleep(PAUSE);
        let begins = self.begun.elapsed().as_nanos() as Moment;
        self.now = begins;
        if begins > self.last + STALL {
            self.absence.stalled = begins;
        }
        self.hear_logs();
        self.kill_overdue();
        self.see_ends();
        self.bus()?;
        self.pass_datagrams();
        self.poll_workers();
        self.clients_leave();
        self.turn_clients();
        self.last = begins;
        Ok(())
    }

    fn start(&mut self, n: usize) -> std::io::Result<()> {
        self.troubles.started(n, self.now);
        self.schedulers[n].start(&self.log.0)
    }

    fn say(&mut self, text: String) {
        if self.options.progress {
            eprintln!("{:7.2} s  {text}", self.now as f64 / SECOND as f64);
        }
    }

    // ---- Clients

    fn turn_clients(&mut self) {
        let now = self.now;
        if self.calling {
            let usable = |n: &usize| {
                self.shunned[*n].is_none_or(|since| since > now)
                    || self.clients.persistent.contains(n) && self.clients.is_connected(*n)
            };
            let places: Vec<(usize, SocketAddr)> =
                (0..self.schedulers.len()).filter(usable).map(|n| (n, self.schedulers[n].at)).collect();
            for (scheduler, call) in self.clients.call(now, &places, &mut self.rng) {
                self.calls += 1;
                let fragile = call.class == client::FRAGILE;
                self.audit.call(now, scheduler, call.id, &call.function, fragile);
            }
        }
        // Its end is no excuse for a scheduler that was asked to end.
        let persistent = self.clients.persistent.clone();
        let excused = |n, sent, now| {
            let unable = self.absence.is_unable(n, sent, now);
            unable || !persistent.contains(&n) && self.absence.was_gone(n, sent, now)
        };
        let place = |n: usize| self.schedulers[n].at;
        self.clients.turn(now, excused, place);
        for odd in self.clients.odd.drain(..) {
            self.audit.report("an answer that is not the one", odd);
        }
        for done in self.clients.done.drain(..) {
            self.audit.ended(now, done.scheduler, done.id);
            if done.end == End::Refused {
                self.audit.refused(done.scheduler, done.id);
            }
            if done.end == End::Owed {
                let what = format!("call {} at {}, sent at {} ms", done.id, done.scheduler, done.sent / MS);
                self.audit.report("a call without its answer", what);
            }
            self.done.push(done);
        }
    }

    // ---- The end

    fn report(&mut self, name: &str, zero: Moment, end: Moment) -> Report {
        if let Some(folder) = &self.options.logs {
            let text = self.logged.join("\n");
            let _ = std::fs::create_dir_all(folder);
            let _ = std::fs::write(folder.join(format!("{name}-{}.log", self.options.seed)), text);
        }
        for done in &mut self.done {
            done.sent = done.sent.saturating_sub(zero);
        }
        let count = self.schedulers.len();
        let (classes, schedulers, seconds) = report::counts(&self.done, count, end - zero);
        let seconds_long = (end - zero) as f64 / SECOND as f64;
        let sum = |of: fn(&SimulatedWorker) -> u64| {
            self.workers.iter().map(|worker| of(&worker.process)).sum::<u64>()
        };
        let each = seconds_long * count as f64;
        Report {
            play: name.to_owned(),
            seed: self.options.seed,
            broken: self.audit.broken.clone(),
            classes,
            schedulers,
            seconds,
            worth: report::worth(&self.done, end - zero),
            attempts: sum(|process| process.calls) as f64 / self.calls.max(1) as f64,
            full: sum(|process| process.full),
            fell: sum(|process| process.fell),
            loads: self.store.loads,
            probes: sum(|process| process.probes) as f64 / seconds_long / self.workers.len() as f64,
            acts: self.audit.acted.clone(),
            held: self.held.clone(),
            gaps_ms: self.gaps.clone(),
            datagrams: self.datagrams.0 as f64 / each,
            bytes: self.datagrams.1 as f64 / each,
            cpu_ms: self.ticks.1 as f64 * 10.0 / each,
            top_copies: self.top_copies.clone(),
            faults: self.faults.clone(),
            killed_overdue: self.troubles.killed_overdue,
            effects: self.troubles.effects.clone(),
        }
    }
}
