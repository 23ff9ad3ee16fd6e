//! A thousand drawn sequences of events through the decision module. Workers, clients and orders are played: they
//! answer what the module does, mostly as real ones would, so that the sequences come deep.

use crate::digest::*;
use mintgate::*;
use std::collections::{BTreeMap, BTreeSet};

const SEQUENCES: u64 = 1000;
const EXPECTED: &str = include_str!("expected_decisions.txt");
const EXPECTED_OF_ALL: u64 = 0xc809f5e2318c8dc7;

#[test]
fn the_decisions_are_those_that_they_were() {
    let (digests, seen) = play_all(SEQUENCES, play);
    println!("{seen:?}");
    // Unload is no decision of the module as it is; every other action must occur, and often.
    let kinds = [
        "send",
        "send again",
        "cancel",
        "refuse",
        "refuse with a wait",
        "fail",
        "load",
        "load of copies",
        "load for a peer",
        "probe",
        "probe for the fleet",
        "wake",
        "subscribe",
        "avoided",
        "configured",
        "restart",
        "late end",
        "end twice",
        "client gone",
        "told",
        "wanted",
        "shares",
        "dark zone",
    ];
    for kind in kinds {
        assert!(seen.get(kind).is_some_and(|count| *count >= 100), "{kind} is too rare: {seen:?}");
    }
    compare("decisions", &digests, EXPECTED, EXPECTED_OF_ALL);
}

/// How a worker behaves just now.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Well,
    Slow(u64),
    /// So many of a hundred calls end so.
    ClassOutcomes(Status, u64),
    Silent,
}

struct Host {
    member: Member,
    mood: Mood,
    holds: BTreeSet<u64>,
    in_flight: u64,
}

/// What is to come back, or to happen, at some time.
enum Later {
    Outcome { id: u32, attempt: u16, worker: u64, status: Status, sent: Timestamp, early: bool },
    Loaded { worker: u64, function: u64, status: Status, instances: u32, ordered: Timestamp },
    Probed { worker: u64, status: Status },
    Wake,
}

struct Play<'a> {
    draw: Draw,
    now: Timestamp,
    settings: Settings,
    policy: Policy,
    digest: Digest,
    seen: &'a mut Seen,
    hosts: BTreeMap<u64, Host>,
    later: BTreeMap<(Timestamp, u64), Later>,
    serial: u64,
    next_id: u32,
    /// Open calls: function, class, attempts made.
    open: BTreeMap<u32, (u64, u16, u16)>,
    functions: u64,
    silent_zone: Option<u8>,
}

fn drawn_class(draw: &mut Draw) -> Class {
    let latency_objective = draw.pick(&[100, 250, 400, 800, 1500, 4000]);
    let group = draw.pick(&[Group::All, Group::Zone, Group::Cell]);
    let window = Duration::millis(draw.pick(&[150, 400, 1000, 5000]));
    let effect = match draw.below(5) {
        0 | 1 => Effect::Safe,
        2 => Effect::Unsafe,
        _ => Effect::Keyed { group, window },
    };
    Class {
        latency_objective: Duration::millis(latency_objective),
        deadline: Duration::millis(latency_objective * draw.between(2, 6)),
        priority_weight: draw.pick(&[0.2, 0.5, 1.0, 1.0, 2.0, 10.0]),
        late_value: draw.pick(&[0.0, 0.1, 0.5]),
        effect,
        max_attempts: draw.pick(&[1, 2, 3, 5, 5, 9]),
    }
}

fn drawn_settings(draw: &mut Draw) -> Settings {
    let classes = (0..draw.between(1, 5)).map(|_| drawn_class(draw)).collect();
    let load_rate_limit = LoadRateLimit {
        free: draw.pick(&[1.0, 3.0, 10.0]),
        share: draw.pick(&[0.0, 0.1, 0.5]),
        span: Duration::millis(draw.pick(&[1000, 5000, 20_000])),
    };
    let fleet_size = draw.pick(&[1, 1, 2, 3, 8, 30, 120, 300]);
    Settings {
        fleet_size,
        index: draw.below(u64::from(fleet_size)) as u32,
        zone: ZoneId(draw.below(4) as u8),
        tick: Duration::millis(draw.pick(&[0, 1, 2, 5])),
        classes,
        tenants: (0..draw.below(3)).map(|n| Tenant { allowance_per_s: n as f64 * 10.0 }).collect(),
        over_share_weight: draw.part(),
        rules: Rules {
            cold_from: draw.pick(&[0.05, 0.2, 0.5]),
            cold_span: Duration::millis(draw.pick(&[1000, 6000, 18_000])),
            fall_multiple: draw.pick(&[1.2, 2.5, 4.0]),
            fall_span: Duration::millis(2000),
            drain_grace: Duration::millis(2000),
            load_rate_limit: draw.percent(40).then_some(load_rate_limit),
        },
        limits: Limits {
            may_cancel: draw.percent(80),
            may_probe: draw.percent(80),
            may_load: draw.percent(85),
            retry_after: draw.percent(50).then_some(Duration::millis(draw.pick(&[0, 100, 500]))),
        },
        loading: Loading {
            keep_alive: Duration::millis(draw.pick(&[1000, 3000, 8000])),
            on_miss: draw.pick(&[OnMiss::Load, OnMiss::Miss]),
            memory_mb: (0..draw.between(1, 3)).map(|n| 4000.0 * (n + 1) as f64).collect(),
        },
        prices: Prices { cross_zone: draw.pick(&[0.0, 0.02, 0.05, 0.1, 0.3]), ..Prices::default() },
        gauges: match draw.below(4) {
            0 => vec![],
            1 => vec![Gauge::Busy],
            2 => vec![Gauge::InFlight, Gauge::Busy, Gauge::Other],
            _ => vec![Gauge::Queue, Gauge::Loads, Gauge::PinnedMemory, Gauge::Busy],
        },
        tells_company: draw.percent(50),
        discovery: draw.pick(&[Discovery::Pushed, Discovery::OnRequest]),
        weights_are_sizes: draw.percent(50),
    }
}

const ENDS: [Status; 9] = [
    Status::Ok,
    Status::Error,
    Status::Full,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::NotSent,
    Status::Miss,
];

fn play(seed: u64, seen: &mut Seen) -> u64 {
    let mut draw = Draw::new(seed);
    let settings = drawn_settings(&mut draw);
    let policy = Policy::new(settings.clone(), draw.next());
    let functions = draw.pick(&[1, 3, 8, 20, 60]);
    let workers = draw.pick(&[2, 3, 4, 6, 10, 20, 40, 60]);
    let zones = draw.between(1, 4);
    let mut play = Play {
        draw,
        now: Timestamp(1_000_000_000_000),
        settings,
        policy,
        digest: Digest::new(),
        seen,
        hosts: BTreeMap::new(),
        later: BTreeMap::new(),
        serial: 0,
        next_id: 0,
        open: BTreeMap::new(),
        functions,
        silent_zone: None,
    };
    for id in 1..=workers {
        let member = play.drawn_member(id, zones);
        play.hosts.insert(id, Host { member, mood: Mood::Well, holds: BTreeSet::new(), in_flight: 0 });
    }
    if play.draw.percent(90) {
        play.full_list(ListKind::Full);
    }
    let events = play.draw.between(150, 400);
    // The pace of a stretch of events: so many microseconds at the most between two of them.
    let mut pace = 20_000;
    for number in 0..events {
        if number % 40 == 0 {
            pace = play.draw.pick(&[200, 2_000, 8_000, 20_000, 60_000, 200_000]);
        }
        let gap = match play.draw.below(60) {
            0 => play.draw.between(1_000_000, 3_000_000),
            1 => play.draw.between(200_000, 800_000),
            _ => play.draw.between(100, pace.max(101)),
        };
        play.pass(gap * 1_000);
        play.event(workers, zones);
        let avoided = play.policy.avoided() as u64;
        play.digest.number(avoided);
        play.note("avoided", avoided > 0);
    }
    play.pass(6_000_000_000);
    play.digest.value()
}

impl Play<'_> {
    fn note(&mut self, kind: &'static str, is: bool) {
        *self.seen.entry(kind).or_default() += u64::from(is);
    }

    fn drawn_member(&mut self, id: u64, zones: u64) -> Member {
        let draw = &mut self.draw;
        let ago = Duration::millis(draw.below(20_000));
        Member {
            worker: WorkerId(id),
            zone: ZoneId((id % zones) as u8),
            cell: CellId((id % draw.pick(&[2, 3])) as u16),
            state: if draw.percent(4) { State::Draining } else { State::Ready },
            weight: draw.pick(&[0.0, 0.3, 1.0, 1.0, 1.0, 2.0, 500.0]),
            started: draw.percent(25).then_some(self.now - ago),
            kind: KindId(draw.below(3) as u8),
        }
    }

    /// Lets time pass; what falls due meanwhile comes at its time, or late where the process was stopped.
    fn pass(&mut self, nanos: u64) {
        let end = self.now + Duration(nanos);
        let stopped = self.draw.percent(4);
        while let Some((&(at, serial), _)) = self.later.first_key_value() {
            if at > end {
                break;
            }
            let Some(later) = self.later.remove(&(at, serial)) else { break };
            self.now = if stopped { end } else { self.now.max(at) };
            self.happens(later);
        }
        self.now = end;
    }

    fn at(&mut self, after: u64, later: Later) {
        self.serial += 1;
        self.later.insert((self.now + Duration(after), self.serial), later);
    }

    fn happens(&mut self, later: Later) {
        let event = match later {
            Later::Wake => Event::Timeout,
            Later::Probed { worker, status } => {
                let report = self.drawn_report();
                Event::Probed(WorkerId(worker), status, report)
            }
            Later::Loaded { worker, function, status, instances, ordered } => {
                let host = self.hosts.get_mut(&worker).filter(|_| instances > 0);
                host.map(|host| host.holds.insert(function));
                let (worker, function) = (WorkerId(worker), FunctionId(function));
                Event::Loaded(Loaded { worker, function, instances, status, latency: self.now - ordered })
            }
            Later::Outcome { id, attempt, worker, status, sent, early } => {
                if let Some(host) = self.hosts.get_mut(&worker) {
                    host.in_flight = host.in_flight.saturating_sub(1);
                }
                let over = !self.open.contains_key(&id);
                self.note("late end", over);
                // Now and then an end that ends nothing, or ends what would have gone on.
                let odd = self.draw.percent(1);
                let finished = (status == Status::Ok || over) != odd;
                if finished {
                    self.open.remove(&id);
                }
                if early {
                    // The same again: by then nobody knows of it.
                    self.note("end twice", true);
                    self.at(1_000_000, Later::Outcome { id, attempt, worker, status, sent, early: false });
                }
                Event::Outcome(Outcome {
                    id: RequestId(id),
                    attempt,
                    status,
                    latency: self.now - sent,
                    finished,
                    instance: InstanceNote::Untold,
                    company: 0,
                    report: vec![],
                })
            }
        };
        self.give(event);
    }

    fn drawn_report(&mut self) -> Vec<f32> {
        let draw = &mut self.draw;
        let gauges = if draw.percent(10) { 0 } else { self.settings.gauges.len() };
        (0..gauges).map(|_| if draw.percent(5) { f32::NAN } else { draw.part() as f32 }).collect()
    }

    /// Gives an event to the module, digests what it does, and plays those to whom it does it.
    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        self.digest.number(actions.len() as u64);
        for action in actions {
            self.write(&action);
            self.react(action);
        }
    }

    fn write(&mut self, action: &Action) {
        let digest = &mut self.digest;
        match *action {
            Action::Send { id, worker, timeout } => {
                digest.numbers(&[1, u64::from(id.0), worker.0, timeout.0]);
                let again = self.open.get(&id.0).is_some_and(|call| call.2 > 0);
                self.note("send", true);
                self.note("send again", again);
            }
            Action::Cancel { id, attempt } => {
                digest.numbers(&[2, u64::from(id.0), u64::from(attempt)]);
                self.note("cancel", true);
            }
            Action::Refuse { id, wait } => {
                digest.numbers(&[3, u64::from(id.0), wait.0]);
                self.note("refuse", true);
                self.note("refuse with a wait", wait.0 > 0);
            }
            Action::Fail { id } => {
                digest.numbers(&[4, u64::from(id.0)]);
                self.note("fail", true);
            }
            Action::Load { worker, function, instances, part } => {
                digest.numbers(&[5, worker.0, function.0, u64::from(instances)]);
                digest.option(part.map(u64::from));
                self.note("load", true);
                self.note("load of copies", instances > 1);
                self.note("load for a peer", part.is_some());
            }
            Action::Unload { worker, function } => {
                digest.numbers(&[6, worker.0, function.0]);
                self.note("unload", true);
            }
            Action::Probe { worker, part } => {
                digest.numbers(&[7, worker.0]);
                digest.option(part.map(u64::from));
                self.note("probe", part.is_none());
                self.note("probe for the fleet", part.is_some());
            }
            Action::SetTimer { after } => {
                digest.numbers(&[8, after.0]);
                self.note("wake", true);
            }
            Action::Subscribe => {
                digest.number(9);
                self.note("subscribe", true);
            }
        }
    }

    fn react(&mut self, action: Action) {
        match action {
            Action::Send { id, worker, timeout } => self.attempt(id.0, worker.0, timeout),
            Action::Cancel { id, attempt } => {
                let is = |l: &Later| matches!(l, Later::Outcome { id: i, attempt: a, .. } if (*i, *a) == (id.0, attempt));
                let found = self.later.iter().find(|(_, l)| is(l)).map(|(key, _)| *key);
                // Mostly it is called off at once; else its end is on its way, or nothing is heard of it again.
                if self.draw.percent(90)
                    && let Some(Later::Outcome { worker, sent, .. }) =
                        found.and_then(|key| self.later.remove(&key))
                {
                    let (id, status) = (id.0, Status::Cancelled);
                    self.at(0, Later::Outcome { id, attempt, worker, status, sent, early: false });
                }
            }
            Action::Refuse { id, .. } | Action::Fail { id } => drop(self.open.remove(&id.0)),
            Action::Load { worker, function, instances, .. } => {
                let silent = self.hosts.get(&worker.0).is_none_or(|host| host.mood == Mood::Silent);
                let most = self.draw.pick(&[1500, 1500, 1500, 1500, 1500, 5000]);
                let took = self.draw.between(50, most) * 1_000_000;
                let (status, instances) = match self.draw.below(20) {
                    _ if silent => (self.draw.pick(&[Status::Timeout, Status::ConnectFailed]), 0),
                    0 => (Status::Full, 0),
                    1 => (Status::Error, self.draw.below(2) as u32),
                    2 => (self.draw.pick(&ENDS), 0),
                    3 => return,
                    _ => (Status::Ok, u32::from(instances)),
                };
                let (worker, function, ordered) = (worker.0, function.0, self.now);
                self.at(took, Later::Loaded { worker, function, status, instances, ordered });
            }
            Action::Probe { worker, .. } => {
                let mood = self.hosts.get(&worker.0).map_or(Mood::Silent, |host| host.mood);
                let (after, status) = match self.draw.below(30) {
                    0 => (1, Status::NotSent),
                    1 => (20, Status::Reset),
                    2 => (300, Status::Timeout),
                    _ if mood == Mood::Silent => (300, Status::Timeout),
                    _ => (self.draw.between(1, 20), Status::Ok),
                };
                self.at(after * 1_000_000, Later::Probed { worker: worker.0, status });
            }
            // One wake at a time, as callers keep them.
            Action::SetTimer { after } => drop(self.later.insert((self.now + after, 0), Later::Wake)),
            Action::Unload { .. } | Action::Subscribe => {}
        }
    }

    /// An attempt comes to a worker.
    fn attempt(&mut self, id: u32, worker: u64, timeout: Duration) {
        let Some(call) = self.open.get_mut(&id) else { return };
        let (function, class, attempt) = *call;
        call.2 += 1;
        let latency_objective = self.settings.classes[usize::from(class)].latency_objective.0;
        let Some(host) = self.hosts.get_mut(&worker) else { return };
        let draw = &mut self.draw;
        let mut took = latency_objective / 4 / 100 * draw.between(50, 160) * (1 + host.in_flight / 4);
        let mut status = Status::Ok;
        match host.mood {
            Mood::Well => {}
            Mood::Slow(times) => took *= times,
            Mood::ClassOutcomes(end, part) if draw.percent(part) => {
                status = end;
                took = if end == Status::Timeout { timeout.0 } else { took / 4 };
            }
            Mood::ClassOutcomes(..) => {}
            Mood::Silent => (status, took) = (Status::Timeout, u64::MAX),
        }
        if status == Status::Ok && !host.holds.contains(&function) {
            if self.settings.loading.on_miss == OnMiss::Miss {
                (status, took) = (Status::Miss, 1_000_000);
            } else {
                took += draw.between(50, 600) * 1_000_000;
                host.holds.insert(function);
            }
        }
        if draw.percent(2) {
            (status, took) = (draw.pick(&ENDS), latency_objective / 8);
        }
        // What is silent is either waited for in vain, or nothing is ever said of it.
        if took >= timeout.0 {
            (status, took) = (Status::Timeout, timeout.0);
            if draw.percent(30) {
                return;
            }
        }
        host.in_flight += 1;
        let (sent, early) = (self.now, draw.percent(2));
        self.at(took, Later::Outcome { id, attempt, worker, status, sent, early });
    }

    fn full_list(&mut self, kind: ListKind) {
        let members: Vec<Member> = self.hosts.values().map(|host| host.member).collect();
        self.give(Event::Members(kind, members));
    }

    fn drawn_host(&mut self) -> u64 {
        let ids: Vec<u64> = self.hosts.keys().copied().collect();
        if ids.is_empty() { 1 } else { self.draw.pick(&ids) }
    }

    /// One drawn event; most are calls.
    fn event(&mut self, workers: u64, zones: u64) {
        match self.draw.below(100) {
            0..68 => self.call(),
            68..70 => {
                let open: Vec<u32> = self.open.keys().copied().collect();
                let id = if open.is_empty() { 77 } else { self.draw.pick(&open) };
                self.open.remove(&id);
                self.note("client gone", true);
                self.give(Event::ClientGone(RequestId(id)));
            }
            70..72 => {
                let function = FunctionId(self.draw.below(self.functions));
                let memory_mb = self.draw.pick(&[10.0, 100.0, 400.0]);
                self.note("wanted", true);
                self.give(Event::Wanted(function, memory_mb));
            }
            72..75 => {
                let worker = WorkerId(self.drawn_host());
                let (answers, at) =
                    (self.draw.percent(50), self.now - Duration::millis(self.draw.below(3000)));
                self.note("told", true);
                self.give(Event::PeerHealth(worker, answers, at));
            }
            75..78 => {
                let parts = self.draw.pick(&[0, 1, 4, 64]);
                let mut own = BTreeSet::new();
                for task in [Task::Probe, Task::Renew, Task::Shed] {
                    for part in 0..parts {
                        own.extend(self.draw.percent(60).then_some((task, part)));
                    }
                }
                let fleet = u64::from(self.settings.fleet_size);
                let gone = (0..self.draw.below(fleet + 1)).map(|_| self.draw.below(fleet) as u32).collect();
                self.note("shares", true);
                self.give(Event::Shares(Shares { parts, own, gone }));
            }
            78..84 => self.member(workers, zones),
            84..85 => match self.draw.below(4) {
                0 => self.give(Event::Members(ListKind::Failed, vec![])),
                1 => self.full_list(ListKind::Cached),
                _ => self.full_list(ListKind::Full),
            },
            85..92 => {
                let mood = match self.draw.below(8) {
                    0 | 1 => Mood::Well,
                    2 => Mood::Slow(self.draw.between(2, 15)),
                    3 => Mood::Silent,
                    4 => Mood::ClassOutcomes(Status::Full, self.draw.between(10, 90)),
                    5 => Mood::ClassOutcomes(Status::Error, self.draw.between(10, 90)),
                    6 => Mood::ClassOutcomes(Status::Reset, self.draw.between(10, 100)),
                    _ => Mood::ClassOutcomes(self.draw.pick(&ENDS), self.draw.between(10, 100)),
                };
                let worker = self.drawn_host();
                if let Some(host) = self.hosts.get_mut(&worker) {
                    host.mood = mood;
                }
            }
            92..94 => self.zone(zones),
            94..95 => self.configure(),
            95..97 => {
                // Ends of what nobody has asked for, or of what has ended.
                let (id, attempt) =
                    (self.draw.below(u64::from(self.next_id) + 1) as u32, self.draw.below(3) as u16);
                let (worker, status, sent) = (self.drawn_host(), self.draw.pick(&ENDS), self.now);
                self.happens(Later::Outcome { id, attempt, worker, status, sent, early: false });
            }
            97..98 => {
                let (worker, status) = (self.drawn_host(), self.draw.pick(&ENDS));
                self.happens(Later::Probed { worker, status });
            }
            98..99 => {
                let (worker, status) = (self.drawn_host(), self.draw.pick(&ENDS));
                let function = self.draw.below(self.functions);
                self.happens(Later::Loaded { worker, function, status, instances: 0, ordered: self.now });
            }
            _ => self.give(Event::Timeout),
        }
    }

    fn call(&mut self) {
        // Low numbers are called far more often.
        let bound = self.draw.below(self.functions) + 1;
        let function = self.draw.below(bound);
        let classes = self.settings.classes.len() as u64;
        let class = if self.draw.percent(1) { classes } else { self.draw.below(classes) };
        let known = self.settings.classes.get(class as usize);
        let deadline = known.map_or(1_000_000_000, |class| class.deadline.0);
        let odd = self.draw.percent(1);
        let id = self.next_id;
        self.next_id += 1;
        let call = Request {
            id: RequestId(id),
            function: FunctionId(function),
            class: ClassId(class as u16),
            tenant: TenantId(0),
            remaining: Duration(if odd { 1_000 } else { deadline / 100 * self.draw.between(40, 100) }),
            memory_mb: if odd { f64::NAN } else { 10.0 + (function % 7) as f64 * 30.0 },
            concurrency: if odd { -1.0 } else { 1.0 + (function % 4) as f64 },
            load_time: None,
        };
        self.open.insert(id, (function, class as u16, 0));
        self.give(Event::Request(call));
    }

    /// One worker's line changes, or those of a few.
    fn member(&mut self, workers: u64, zones: u64) {
        let mut members = Vec::new();
        for _ in 0..self.draw.between(1, 3) {
            let id = self.draw.between(1, workers + 3);
            let now = self.now;
            let fresh = self.drawn_member(id, zones);
            let known = self.hosts.contains_key(&id);
            let new = || Host { member: fresh, mood: Mood::Well, holds: BTreeSet::new(), in_flight: 0 };
            let host = self.hosts.entry(id).or_insert_with(new);
            match self.draw.below(10) {
                0..3 if known => {
                    // Another process in its place.
                    *host = new();
                    host.member.started = Some(now - Duration::millis(self.draw.below(500)));
                    members.push(host.member);
                    self.note("restart", true);
                    continue;
                }
                3..5 => host.member.state = State::Draining,
                5..9 => host.member.state = State::Ready,
                9 => {
                    host.member.state = State::Gone;
                    members.push(host.member);
                    self.hosts.remove(&id);
                    continue;
                }
                _ => {}
            }
            members.push(host.member);
        }
        self.give(Event::Members(ListKind::Delta, members));
    }

    /// A zone falls silent as a whole, or is back.
    fn zone(&mut self, zones: u64) {
        let (zone, mood) = match self.silent_zone.take() {
            Some(zone) => (zone, Mood::Well),
            None => (
                self.draw.below(zones) as u8,
                self.draw.pick(&[Mood::Silent, Mood::ClassOutcomes(Status::Reset, 100)]),
            ),
        };
        self.silent_zone = (mood != Mood::Well).then_some(zone);
        self.note("dark zone", mood != Mood::Well);
        for host in self.hosts.values_mut().filter(|host| host.member.zone.0 == zone) {
            host.mood = mood;
        }
    }

    /// Other settings: classes keep their places, some with other figures, and there may be one more.
    fn configure(&mut self) {
        let mut settings = drawn_settings(&mut self.draw);
        (settings.fleet_size, settings.index) = (self.settings.fleet_size, self.settings.index);
        settings.classes = self.settings.classes.clone();
        if self.draw.percent(50) {
            settings.classes.push(drawn_class(&mut self.draw));
        }
        if self.draw.percent(50) {
            let place = self.draw.below(settings.classes.len() as u64) as usize;
            settings.classes[place] = drawn_class(&mut self.draw);
        }
        self.policy.configure(settings.clone());
        self.settings = settings;
        self.note("configured", true);
    }
}
