//! All sockets of a play, turned in rounds by one thread: node agents, the bus, clients, and what passes between
//! schedulers. Faults come and go as the scenario says.

use super::agent::{NodeAgent, Said, Store};
use super::audit::{Act, Audit, Ration};
use super::client::{self, Clients, End};
use super::process::{Logged, Scheduler};
use super::report::{self, Held, Report};
use super::scenario::{Drawn, Links, Scenario, Way, What, Who};
use super::weather::{Datagrams, Stream, Weather};
use super::{MS, Moment, SECOND};
use crate::stand_ins::{self, Folder};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Between two rounds.
const PAUSE: Duration = Duration::from_micros(500);
/// Nothing is waited for longer; it ends a play that hangs, and decides nothing else.
const LONG: u64 = 30 * SECOND;
/// Clients notice a scheduler that is gone, and one that is to end, after these times.
const NOTICE: (u64, u64) = (SECOND, SECOND / 2);
/// After a drain was told, calls may still be written for this time.
const GRACE: u64 = 2 * SECOND + SECOND / 2;
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

struct RunBox {
    agent: NodeAgent,
    uid: u32,
    /// Where each scheduler reaches it; nothing listens there while it is dead.
    at: Vec<SocketAddr>,
    doors: Vec<Option<TcpListener>>,
}

struct Pipe {
    id: u64,
    scheduler: usize,
    run_box: usize,
    stream: TcpStream,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
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
    door: TcpListener,
    callers: Vec<(TcpStream, Option<u64>)>,
}

struct World {
    scenario: Scenario,
    options: Options,
    rng: SmallRng,
    begun: Instant,
    unix_ms: u64,
    now: Moment,
    /// When the last round began.
    last: Moment,
    boxes: Vec<RunBox>,
    store: Store,
    pipes: Vec<Pipe>,
    next_pipe: u64,
    between: Vec<Between>,
    places: Vec<SocketAddr>,
    buses: Vec<Bus>,
    /// What the bus tells: of which run box, the id that it had, its state, and when it started.
    events: Vec<(usize, u32, u8, u64)>,
    beat: Moment,
    schedulers: Vec<Scheduler>,
    log: (Sender<Logged>, Receiver<Logged>),
    logged: Vec<String>,
    clients: Clients,
    calling: bool,
    calls: u64,
    audit: Audit,
    /// Weather from a scheduler to a run box, and back.
    to_box: Vec<Vec<(Weather, Weather)>>,
    /// Weather from one scheduler to another.
    peers: Vec<Vec<Weather>>,
    active: Vec<(Drawn, Vec<usize>)>,
    /// From when to when schedulers were gone, stopped or on their way.
    away: Vec<Vec<(Moment, Option<Moment>)>>,
    /// Since when clients do not use them.
    shunned: Vec<Option<Moment>>,
    upgrading: BTreeSet<usize>,
    holds: BTreeMap<(String, u16), usize>,
    held: Vec<Held>,
    ended_holds: BTreeMap<(String, u16), Moment>,
    gaps: Vec<u64>,
    faults: Vec<String>,
    datagrams: (u64, u64),
    done: Vec<client::Done>,
    top_copies: Vec<usize>,
    /// Processor time that processes had taken when the play began; and since, in hundredths of a second.
    ticks: (u64, u64),
}

/// Plays a scenario to its end.
pub fn play(name: &str, scenario: Scenario, options: Options) -> Result<Report, String> {
    let folder = Folder::new();
    let mut world = World::new(scenario, options, &folder.0).map_err(|e| format!("cannot begin: {e}"))?;
    world.run(name).map_err(|e| format!("cannot go on: {e}"))
}

fn settings(scenario: &Scenario, index: usize) -> Value {
    let (mut settings, kind) = (stand_ins::settings(), &scenario.run_box);
    (settings["fleetSize"], settings["index"]) = (json!(scenario.schedulers), json!(index));
    for (class, worth) in [1.0, 4.0].into_iter().enumerate() {
        settings["classes"][class]["name"] = json!(client::CLASSES[class]);
        settings["classes"][class]["deadlineNs"] = json!(client::ALLOW);
        settings["classes"][class]["worth"] = json!(worth);
    }
    (settings["bounds"]["probes"], settings["bounds"]["peers"]) = (json!(true), json!(scenario.fleet));
    settings["contract"] = json!({"coldFrom": kind.cold_from, "coldNs": kind.cold_ms * MS,
        "fallMultiple": kind.fall_multiple, "fallNs": kind.fall_ms * MS, "drainGraceNs": 2_000_000_000});
    let family = &mut settings["familyInfo"];
    (family["keepNs"], family["loadSpanNs"]) = (json!(super::agent::KEEP), json!(RATION.span));
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
        "[fleet]\nname = \"rig\"\nbind = \"{}\"\nelectors = [{}]\nvotes = {}\nterm_ms = {}\ndelay_ms = {}\nparts = {}\nvia = [{}]\n",
        places[index],
        electors.join(", "),
        index < scenario.electors,
        scenario.term_ms,
        scenario.delay_ms,
        scenario.parts,
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
    let door = TcpListener::bind("127.0.0.1:0")?;
    door.set_nonblocking(true)?;
    Ok(door)
}

impl World {
    fn new(scenario: Scenario, options: Options, folder: &Path) -> std::io::Result<World> {
        let (count, boxes) = (scenario.schedulers, scenario.run_boxes);
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
        let mut run_boxes = vec![];
        for n in 0..boxes {
            let doors = (0..count).map(|_| listen()).collect::<std::io::Result<Vec<_>>>()?;
            let at = doors.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
            let doors = doors.into_iter().map(Some).collect();
            let agent = NodeAgent::new(scenario.run_box.clone());
            run_boxes.push(RunBox { agent, uid: n as u32 + 1, at, doors });
        }
        let buses: Vec<Bus> = (0..count)
            .map(|_| Ok(Bus { door: listen()?, callers: vec![] }))
            .collect::<std::io::Result<_>>()?;
        let mut schedulers = vec![];
        for (n, bus) in buses.iter().enumerate() {
            let targets: Vec<Value> = run_boxes
                .iter()
                .map(|run_box| stand_ins::target(run_box.uid, run_box.at[n], "SERVING"))
                .collect();
            let bus = bus.door.local_addr()?;
            let config = |at: SocketAddr| {
                json!({"name": format!("n{n}"), "listen": at.to_string(), "mgmt": "127.0.0.1:0",
                    "seed": format!("{:x}", options.seed + n as u64), "settings": settings(&scenario, n),
                    "limits": {"sockets": 512}, "bus": bus.to_string(), "known": {"offset": 1, "batch": [
                        {"offset": 1, "topology": {"rev": 1, "all": true, "targets": targets}}]}})
            };
            let operator = operator(&scenario, n, &places, &between)?;
            schedulers.push(Scheduler::new(n, folder, &options.program, config, &operator)?);
        }
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        Ok(World {
            rng: SmallRng::seed_from_u64(options.seed),
            begun: Instant::now(),
            unix_ms,
            now: 0,
            last: 0,
            boxes: run_boxes,
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
            clients: Clients::new(scenario.calls, scenario.functions),
            calling: false,
            calls: 0,
            audit: Audit::new(RATION),
            to_box: vec![vec![Default::default(); boxes]; count],
            peers: vec![vec![Weather::default(); count]; count],
            active: vec![],
            away: vec![vec![]; count],
            shunned: vec![None; count],
            upgrading: BTreeSet::new(),
            holds: BTreeMap::new(),
            held: vec![],
            ended_holds: BTreeMap::new(),
            gaps: vec![],
            faults: vec![],
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
        let all_serve = |world: &World| world.schedulers.iter().all(|one| one.serving().is_some());
        if !self.wait(all_serve) {
            return Err(std::io::Error::other(format!("not all serve: {:?}", self.logged)));
        }
        let zero = self.now;
        self.ticks.0 = self.count_ticks();
        let mut drawn: std::collections::VecDeque<Drawn> = {
            let mut rng = SmallRng::seed_from_u64(self.options.seed);
            self.scenario.draw(&mut rng).into()
        };
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
                let stand =
                    |run_box: &RunBox| top.iter().filter(|one| run_box.agent.stands(self.now, one)).count();
                self.top_copies.push(self.boxes.iter().map(stand).sum());
            }
        }
        self.ticks.1 = self.count_ticks().saturating_sub(self.ticks.0);
        self.end_faults(true)?;
        self.calling = false;
        self.wait(|world| world.clients.open() == 0);
        self.finish();
        Ok(self.report(name, zero, end))
    }

    /// Processor time of all that run now: in a play with crashes it is too little.
    fn count_ticks(&self) -> u64 {
        self.schedulers.iter().flat_map(|one| &one.processes).map(|process| process.ticks()).sum()
    }

    /// Turns until something holds; whether it came to that.
    fn wait(&mut self, until: impl Fn(&World) -> bool) -> bool {
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
        self.wait(|world| world.schedulers.iter().all(|one| one.serving().is_some()));
        for process in self.schedulers.iter_mut().flat_map(|one| &mut one.processes) {
            process.ending = true;
            process.signal("TERM");
        }
        if !self.wait(|world| world.schedulers.iter().all(|one| one.processes.is_empty())) {
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
        self.hear_logs();
        self.see_ends();
        self.bus()?;
        self.pass_datagrams();
        self.turn_boxes();
        self.turn_clients();
        self.last = begins;
        Ok(())
    }

    fn start(&mut self, n: usize) -> std::io::Result<()> {
        self.schedulers[n].start(&self.log.0)
    }

    fn say(&mut self, text: String) {
        if self.options.progress {
            eprintln!("{:7.2} s  {text}", self.now as f64 / SECOND as f64);
        }
    }

    // ---- Faults

    fn begin_fault(&mut self, drawn: Drawn) -> std::io::Result<()> {
        let whom = self.whom(&drawn);
        let fault = &drawn.fault;
        let text = format!("{:?} {:?} {whom:?}", fault.what, fault.who).to_lowercase();
        self.faults.push(format!("{:.2} s: {text} for {} s", self.now as f64 / SECOND as f64, fault.lasts));
        self.say(text);
        let what = fault.what;
        for n in &whom {
            let n = *n;
            match what {
                What::Kill => {
                    self.leave(n, NOTICE.0);
                    self.schedulers[n].processes.clear();
                }
                What::Stop => {
                    self.leave(n, NOTICE.0);
                    for process in &mut self.schedulers[n].processes {
                        process.stopped = true;
                        process.signal("STOP");
                    }
                }
                What::Term => {
                    self.shunned[n].get_or_insert(self.now + NOTICE.1);
                    self.end_holds(n);
                    for process in &mut self.schedulers[n].processes {
                        process.ending = true;
                        process.signal("TERM");
                    }
                }
                What::Upgrade => {
                    self.end_holds(n);
                    self.upgrading.insert(n);
                    self.start(n)?;
                }
                What::Reset => self.pipes.retain(|pipe| pipe.scheduler != n),
                What::BoxDies => self.box_dies(n),
                What::BoxDrains => {
                    self.boxes[n].agent.draining = Some(self.now);
                    self.tell(n, 1);
                }
                What::StoreSlow => self.store.slow = fault.much.max(1.0),
                What::Cut | What::Loss | What::Delay | What::Repeat | What::BoxCut => {}
            }
        }
        self.active.push((drawn, whom));
        self.forecast();
        Ok(())
    }

    fn end_faults(&mut self, all: bool) -> std::io::Result<()> {
        let now = self.now;
        let over: Vec<(Drawn, Vec<usize>)> =
            self.active.extract_if(.., |(drawn, _)| all || drawn.until <= now).collect();
        for (drawn, whom) in &over {
            self.say(format!("{:?} over", drawn.fault.what).to_lowercase());
            for n in whom {
                match drawn.fault.what {
                    What::Kill | What::Term
                        if self.schedulers[*n].processes.iter().all(|process| process.ending) =>
                    {
                        self.start(*n)?;
                    }
                    What::Stop => {
                        for process in &mut self.schedulers[*n].processes {
                            process.stopped = false;
                            process.signal("CONT");
                        }
                        self.back(*n);
                    }
                    What::BoxDies | What::BoxDrains => self.box_returns(*n)?,
                    What::StoreSlow => self.store.slow = 1.0,
                    _ => {}
                }
            }
        }
        if !over.is_empty() {
            self.forecast();
        }
        Ok(())
    }

    /// Who is hit. What is not drawn from the seed alone depends on who holds the first task.
    fn whom(&self, drawn: &Drawn) -> Vec<usize> {
        let boxes = matches!(drawn.fault.what, What::BoxDies | What::BoxCut | What::BoxDrains);
        if drawn.fault.what == What::StoreSlow {
            return vec![0];
        }
        let count = if boxes { self.boxes.len() } else { self.schedulers.len() };
        let start = (drawn.draw % count as u64) as usize;
        let some = |many: usize| (0..many.clamp(1, count)).map(|n| (start + n) % count).collect::<Vec<_>>();
        let holder = self.holds.iter().next().map(|(_, holder)| *holder).filter(|_| !boxes);
        match drawn.fault.who {
            Who::Any => some(1),
            Who::Two => some(2),
            Who::Third => some(count / 3),
            Who::All => (0..count).collect(),
            Who::Holder => vec![holder.unwrap_or(start)],
            Who::Other => vec![if holder == Some(start) { (start + 1) % count } else { start }],
        }
    }

    /// The weather that all faults now make together.
    fn forecast(&mut self) {
        let (schedulers, boxes) = (self.schedulers.len(), self.boxes.len());
        self.peers = vec![vec![Weather::default(); schedulers]; schedulers];
        self.to_box = vec![vec![Default::default(); boxes]; schedulers];
        let active = std::mem::take(&mut self.active);
        let of_links = [What::Cut, What::Loss, What::Delay, What::Repeat, What::BoxCut];
        for (drawn, whom) in active.iter().filter(|(drawn, _)| of_links.contains(&drawn.fault.what)) {
            let fault = &drawn.fault;
            let worsen = |weather: &mut Weather| match fault.what {
                What::Cut | What::BoxCut => weather.cut = true,
                What::Loss => weather.loss = weather.loss.max(fault.much),
                What::Repeat => weather.repeat = weather.repeat.max(fault.much),
                What::Delay => {
                    weather.delay = weather.delay.max((fault.much * MS as f64) as u64);
                    weather.jitter = weather.delay / 2;
                }
                _ => {}
            };
            let (comes, goes) = (fault.way != Way::Out, fault.way != Way::In);
            for n in whom {
                if fault.what == What::BoxCut {
                    for row in &mut self.to_box {
                        worsen(&mut row[*n].0);
                        worsen(&mut row[*n].1);
                    }
                    continue;
                }
                if fault.links != Links::Boxes {
                    for other in (0..schedulers).filter(|other| other != n) {
                        if goes {
                            worsen(&mut self.peers[*n][other]);
                        }
                        if comes {
                            worsen(&mut self.peers[other][*n]);
                        }
                    }
                }
                if fault.links != Links::Peers {
                    for (to, from) in &mut self.to_box[*n] {
                        if goes {
                            worsen(to);
                        }
                        if comes {
                            worsen(from);
                        }
                    }
                }
            }
        }
        self.active = active;
    }

    // ---- Schedulers

    /// A scheduler is gone, or stopped: clients notice after a while.
    fn leave(&mut self, n: usize, notice: u64) {
        self.end_holds(n);
        self.away[n].push((self.now, None));
        self.shunned[n].get_or_insert(self.now + notice);
    }

    fn back(&mut self, n: usize) {
        for (_, until) in &mut self.away[n] {
            until.get_or_insert(self.now + SECOND);
        }
        self.shunned[n] = None;
    }

    fn end_holds(&mut self, n: usize) {
        for (of, _) in self.holds.iter().filter(|(_, holder)| **holder == n) {
            self.ended_holds.entry(of.clone()).or_insert(self.now);
        }
    }

    fn hear_logs(&mut self) {
        while let Ok((n, number, line)) = self.log.1.try_recv() {
            let text = line.strip_prefix("mintgate: ").unwrap_or(&line);
            let word =
                |name: &str| text.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            if text.starts_with("panic") || text.contains("panicked at") {
                self.audit.report("a panic", format!("scheduler {n}: {text}"));
            }
            if text.starts_with("serving ") {
                if let Some(process) =
                    self.schedulers[n].processes.iter_mut().find(|process| process.number == number)
                {
                    process.serves = true;
                }
                self.back(n);
                if self.upgrading.remove(&n) {
                    for process in
                        self.schedulers[n].processes.iter_mut().filter(|process| process.number < number)
                    {
                        process.ending = true;
                        process.signal("TERM");
                    }
                }
            }
            let of = word("task").zip(word("part").and_then(|part| part.parse().ok()));
            if let Some((of, fence)) = of.zip(word("fence").and_then(|fence| fence.parse().ok())) {
                let of = (of.0.to_owned(), of.1);
                self.held.push(Held {
                    of: format!("{} {}", of.0, of.1),
                    scheduler: n,
                    fence,
                    from_ms: self.now / MS,
                });
                if let Some(since) = self.ended_holds.remove(&of) {
                    self.gaps.push((self.now - since) / MS);
                }
                self.holds.insert(of, n);
            } else if let Some((task, part)) = of.filter(|_| text.starts_with("fleet lost")) {
                let of = (task.to_owned(), part);
                if self.holds.get(&of) == Some(&n) {
                    self.holds.remove(&of);
                    if self.calling {
                        self.ended_holds.entry(of).or_insert(self.now);
                    }
                }
            }
            self.logged.push(format!("{:9} ms  {n}.{number}  {text}", self.now / MS));
        }
    }

    fn see_ends(&mut self) {
        for n in 0..self.schedulers.len() {
            let mut odd = None;
            self.schedulers[n].processes.retain_mut(|process| match process.ended() {
                None => true,
                Some(well) => {
                    odd = odd.or((!well || !process.ending).then_some((process.number, well)));
                    false
                }
            });
            if let Some((number, well)) = odd {
                let how = if well { "without being asked" } else { "badly" };
                self.audit.report("a scheduler that ended by itself", format!("{n}.{number} ended {how}"));
            }
            // From its end on nobody answers at its door.
            if self.schedulers[n].processes.is_empty()
                && self.away[n].last().is_none_or(|(_, until)| until.is_some())
            {
                self.away[n].push((self.now.saturating_sub(SECOND), None));
                self.shunned[n].get_or_insert(self.now);
            }
        }
    }

    // ---- The bus

    /// Puts an event of a run box into the bus: 0 ready, 1 draining, 2 gone.
    fn tell(&mut self, n: usize, state: u8) {
        let run_box = &self.boxes[n];
        let started = run_box.agent.started.map_or(0, |at| self.unix_ms + at / MS);
        self.events.push((n, run_box.uid, state, started));
    }

    fn bus(&mut self) -> std::io::Result<()> {
        let beat = self.now >= self.beat;
        if beat {
            self.beat = self.now + SECOND;
        }
        for (n, bus) in self.buses.iter_mut().enumerate() {
            while let Ok((stream, _)) = bus.door.accept() {
                stream.set_nonblocking(true)?;
                bus.callers.push((stream, None));
            }
            let (events, boxes) = (&self.events, &self.boxes);
            bus.callers.retain_mut(|(stream, told)| {
                let mut from = [0; 8];
                match stream.read(&mut from) {
                    Ok(8) if told.is_none() => *told = Some(u64::from_be_bytes(from)),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    _ => return false,
                }
                let Some(told) = told else { return true };
                let mut out = vec![];
                // Number 1 stands in the configuration.
                for (offset, (run_box, uid, state, started)) in
                    (2..).zip(events).filter(|(offset, _)| offset > told)
                {
                    out.extend(stand_ins::change(offset, *uid, boxes[*run_box].at[n], *state, *started));
                }
                *told = (*told).max(events.len() as u64 + 1);
                if beat {
                    out.extend(9u32.to_be_bytes());
                    out.extend([0; 9]);
                }
                out.is_empty() || stream.write_all(&out).is_ok()
            });
        }
        Ok(())
    }

    // ---- Between schedulers

    fn pass_datagrams(&mut self) {
        let mut bytes = [0; 65_536];
        for link in &mut self.between {
            let (one, other) = link.pair;
            let (there, back) = (self.peers[one][other], self.peers[other][one]);
            let sides = [(&link.sockets.0, &mut link.there, there), (&link.sockets.1, &mut link.back, back)];
            for (socket, way, weather) in sides {
                while let Ok((size, _)) = socket.recv_from(&mut bytes) {
                    self.datagrams = (self.datagrams.0 + 1, self.datagrams.1 + size as u64);
                    way.put(self.now, &bytes[..size], &weather, &mut self.rng);
                }
            }
            for datagram in link.there.take(self.now) {
                let _ = link.sockets.1.send_to(&datagram, self.places[other]);
            }
            for datagram in link.back.take(self.now) {
                let _ = link.sockets.0.send_to(&datagram, self.places[one]);
            }
        }
    }

    // ---- Run boxes

    fn box_dies(&mut self, n: usize) {
        self.boxes[n].agent.end();
        self.boxes[n].doors.iter_mut().for_each(|door| *door = None);
        self.pipes.retain(|pipe| pipe.run_box != n);
    }

    fn box_returns(&mut self, n: usize) -> std::io::Result<()> {
        self.tell(n, 2);
        self.box_dies(n);
        let run_box = &mut self.boxes[n];
        run_box.uid += 0x100;
        run_box.agent.start(self.now);
        for (door, at) in run_box.doors.iter_mut().zip(&run_box.at) {
            let listener = TcpListener::bind(at)?;
            listener.set_nonblocking(true)?;
            *door = Some(listener);
        }
        self.tell(n, 0);
        Ok(())
    }

    fn turn_boxes(&mut self) {
        for (n, run_box) in self.boxes.iter().enumerate() {
            for (scheduler, door) in run_box.doors.iter().enumerate() {
                while let Some(Ok((stream, _))) = door.as_ref().map(TcpListener::accept) {
                    if stream.set_nonblocking(true).is_err() {
                        continue;
                    }
                    let _ = stream.set_nodelay(true);
                    let (inbox, outbox, to, from) = Default::default();
                    let (id, ended) = (self.next_pipe, false);
                    self.next_pipe += 1;
                    self.pipes.push(Pipe {
                        id,
                        scheduler,
                        run_box: n,
                        stream,
                        inbox,
                        outbox,
                        to,
                        from,
                        ended,
                    });
                }
            }
        }
        let mut pipes = std::mem::take(&mut self.pipes);
        let mut fallen = BTreeSet::new();
        let mut said: Vec<(usize, Said)> = vec![];
        for pipe in &mut pipes {
            self.read_pipe(pipe);
            let weather = self.to_box[pipe.scheduler][pipe.run_box].0;
            while let Some(line) = pipe.to.take(self.now, &weather) {
                let Ok(line) = serde_json::from_slice::<Value>(&line) else { continue };
                let agent = &mut self.boxes[pipe.run_box].agent;
                let mut out = vec![];
                if agent.up && agent.hear(self.now, pipe.id, &line, &mut self.store, &mut out) {
                    fallen.insert(pipe.run_box);
                }
                said.extend(out.into_iter().map(|one| (pipe.run_box, one)));
            }
        }
        for (n, run_box) in self.boxes.iter_mut().enumerate() {
            let mut out = vec![];
            run_box.agent.turn(self.now, &mut self.store, &mut self.rng, &mut out);
            said.extend(out.into_iter().map(|one| (n, one)));
        }
        for (_, (id, line)) in said {
            let Ok(found) = pipes.binary_search_by_key(&id, |pipe| pipe.id) else { continue };
            let pipe = &mut pipes[found];
            let weather = self.to_box[pipe.scheduler][pipe.run_box].1;
            pipe.from.put(self.now, format!("{line}\n").into_bytes(), &weather, &mut self.rng);
        }
        let (now, weather, boxes) = (self.now, &self.to_box, &mut self.boxes);
        pipes.retain_mut(|pipe| {
            let back = &weather[pipe.scheduler][pipe.run_box].1;
            while let Some(bytes) = pipe.from.take(now, back) {
                pipe.outbox.extend(bytes);
            }
            let alive = !pipe.ended && pipe.write();
            if !alive {
                boxes[pipe.run_box].agent.left(pipe.id);
            }
            alive
        });
        self.pipes = pipes;
        for n in fallen {
            self.audit.report("a cold run box fell over", format!("{n} at {} ms", self.now / MS));
            self.box_dies(n);
            self.active.push((
                Drawn { at: self.now, until: self.now + 3 * SECOND, fault: fall(), draw: 0 },
                vec![n],
            ));
        }
    }

    /// Takes what a scheduler has written, and looks at it as it enters the link.
    fn read_pipe(&mut self, pipe: &mut Pipe) {
        let mut bytes = [0; 16_384];
        loop {
            match pipe.stream.read(&mut bytes) {
                Ok(0) => pipe.ended = true,
                Ok(size) => {
                    pipe.inbox.extend(&bytes[..size]);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => pipe.ended = true,
            }
            break;
        }
        // What was read may have been written until now, and not only until the round began.
        let now = self.begun.elapsed().as_nanos() as Moment;
        while let Some(end) = pipe.inbox.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pipe.inbox.drain(..=end).collect();
            self.enters(now, pipe.scheduler, pipe.run_box, &line);
            let weather = self.to_box[pipe.scheduler][pipe.run_box].0;
            pipe.to.put(self.now, line, &weather, &mut self.rng);
        }
    }

    fn enters(&mut self, now: Moment, scheduler: usize, run_box: usize, line: &[u8]) {
        let Ok(line) = serde_json::from_slice::<Value>(line) else {
            return self.audit.report("a line that cannot be read", format!("by {scheduler}"));
        };
        let (verb, rid) =
            (line["verb"].as_str().unwrap_or_default(), line["rid"].as_str().unwrap_or_default());
        if let Some(act) = Act::read(rid) {
            self.audit.act(scheduler, act, self.last, now);
        }
        let was_away = self.is_away(scheduler, now.saturating_sub(GRACE), now);
        match verb {
            "stage" if line["attrs"]["replicas"].as_u64() != Some(0) => {
                let stopped =
                    if self.is_away(scheduler, now.saturating_sub(RATION.span), now) { LONG } else { 0 };
                let function = line["attrs"]["name"].as_str().unwrap_or_default().to_owned();
                self.audit.order(now, scheduler, &function, stopped);
            }
            "go" => {
                let told = self.boxes[run_box].agent.draining.is_some_and(|at| at + GRACE < self.last);
                if told && !was_away {
                    let what = format!("{rid} by {scheduler} to {run_box} at {} ms", now / MS);
                    self.audit.report("a call to a run box that drains", what);
                }
            }
            _ => {}
        }
    }

    fn is_away(&self, n: usize, from: Moment, to: Moment) -> bool {
        self.away[n].iter().any(|(since, until)| *since <= to && until.is_none_or(|until| until >= from))
    }

    // ---- Clients

    fn turn_clients(&mut self) {
        let now = self.now;
        if self.calling {
            let usable = |n: &usize| self.shunned[*n].is_none_or(|since| since > now);
            let places: Vec<(usize, SocketAddr)> =
                (0..self.schedulers.len()).filter(usable).map(|n| (n, self.schedulers[n].at)).collect();
            for (scheduler, call) in self.clients.call(now, &places, &mut self.rng) {
                self.calls += 1;
                self.audit.call(now, scheduler, &call.function);
            }
        }
        let away = |n: usize, from, to| {
            self.away[n].iter().any(|(since, until): &(Moment, Option<Moment>)| {
                *since <= to && until.is_none_or(|until| until >= from)
            })
        };
        let place = |n: usize| Some(self.schedulers[n].at);
        self.clients.turn(now, away, place);
        for odd in self.clients.odd.drain(..) {
            self.audit.report("an answer that is not the one", odd);
        }
        for done in self.clients.done.drain(..) {
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
        let sum =
            |of: fn(&NodeAgent) -> u64| self.boxes.iter().map(|run_box| of(&run_box.agent)).sum::<u64>();
        let each = seconds_long * count as f64;
        Report {
            play: name.to_owned(),
            seed: self.options.seed,
            broken: self.audit.broken.clone(),
            classes,
            schedulers,
            seconds,
            attempts: sum(|agent| agent.calls) as f64 / self.calls.max(1) as f64,
            full: sum(|agent| agent.full),
            fell: sum(|agent| agent.fell),
            loads: self.store.loads,
            probes: sum(|agent| agent.probes) as f64 / seconds_long / self.boxes.len() as f64,
            acts: self.audit.acted.clone(),
            held: self.held.clone(),
            gaps_ms: self.gaps.clone(),
            datagrams: self.datagrams.0 as f64 / each,
            bytes: self.datagrams.1 as f64 / each,
            cpu_ms: self.ticks.1 as f64 * 10.0 / each,
            top_copies: self.top_copies.clone(),
            faults: self.faults.clone(),
        }
    }
}

/// A run box that fell over comes back by itself.
fn fall() -> super::scenario::Fault {
    toml::from_str("at = 0.0\nwhat = \"box_dies\"").expect("this is a fault")
}

impl Pipe {
    fn write(&mut self) -> bool {
        while !self.outbox.is_empty() {
            match self.stream.write(&self.outbox) {
                Ok(0) => return false,
                Ok(size) => drop(self.outbox.drain(..size)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }
}
