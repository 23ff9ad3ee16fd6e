//! Drawn sequences of calls, chains, lists, ends, bans, leases and configurations through the core. What it commands
//! is played as by an adapter: gates are asked, things are written, and workers answer.

use crate::digest::*;
use mintgate::core::cordons::CordonResult;
use mintgate::core::{
    Answer, AttemptId, AttemptProgress, Broken, Command, Core, Fenced, IncomingRequest, LoadId, LoadResult,
    Owner, ProbeId, Reply, Verdict,
};
use mintgate::fleet::lease::LeaseGrant;
use mintgate::fleet::overload::AdmissionLevel;
use mintgate::settings::{Site, read_site};
use mintgate::{chain, *};
use std::collections::{BTreeMap, BTreeSet};

const SEQUENCES: u64 = 400;
const EXPECTED: &str = include_str!("expected_core.txt");
const EXPECTED_OF_ALL: u64 = 0x7bc9c69918594a5a;

#[test]
fn the_core_does_what_it_did() {
    let (digests, seen) = play_all(SEQUENCES, play);
    println!("{seen:?}");
    // A purge is commanded where the module gives a copy back, which it never does as it is.
    let kinds = [
        "send",
        "halt",
        "stage",
        "stage fenced",
        "stage of copies",
        "probe",
        "probe fenced",
        "renew",
        "tell",
        "by hand",
        "served",
        "refused",
        "failed",
        "expired",
        "chain served",
        "chain short",
        "chain unknown",
        "chain ended",
        "attempt held back",
        "order held back",
        "probe held back",
        "shed",
        "replaced",
        "taken over",
        "ok",
        "miss",
        "full",
        "error",
        "moot",
        "not sent",
        "partly written",
        "out",
        "answered",
    ];
    for kind in kinds {
        assert!(seen.get(kind).is_some_and(|count| *count >= 20), "{kind} is too rare: {seen:?}");
    }
    compare("core", &digests, EXPECTED, EXPECTED_OF_ALL);
}

/// What an adapter or a worker is to do later.
enum Later {
    Write(AttemptId),
    Ended(AttemptId),
    Order(LoadId),
    OrderEnded(LoadId),
    Probe(ProbeId),
    ProbeEnded(ProbeId),
}

struct Play<'a> {
    draw: Draw,
    now: Timestamp,
    core: Core,
    digest: Digest,
    seen: &'a mut Seen,
    later: BTreeMap<(Timestamp, u64), Later>,
    serial: u64,
    stream: u64,
    functions: u64,
    workers: u64,
    /// So many attempts, orders and probes of a hundred go wrong.
    trouble: u64,
    last: Option<AttemptId>,
}

fn drawn_site(draw: &mut Draw) -> Site {
    let classes: Vec<String> = (0..draw.between(2, 5))
        .map(|n| {
            let latency_objective = draw.pick(&[200, 500, 1000]) * 1_000_000u64;
            let effect = match draw.below(4) {
                0 => r#""retryable""#.to_owned(),
                1 => r#""fragile""#.to_owned(),
                _ => {
                    let group = draw.pick(&["all", "zone", "cell"]);
                    let window = draw.pick(&[300, 800, 3000]) * 1_000_000u64;
                    format!(r#""dedup", "group": "{group}", "repeatWindowNs": {window}"#)
                }
            };
            format!(
                r#"{{"name": "c{n}", "deadlineNs": {}, "effect": {effect}, "objectiveNs": {latency_objective}, "worth": {}}}"#,
                latency_objective * draw.between(2, 4),
                draw.between(1, 8),
            )
        })
        .collect();
    let text = format!(
        r#"{{"fleetSize": {}, "index": 0, "zone": {}, "tickNs": {}, "classes": [{}],
          "bounds": {{"mostTries": {}, "mayCancel": {}, "probes": {}, "retryAfter": {},
            "maxRetryAfterNs": {}, "maxOpen": {}}},
          "contract": {{"coldFrom": 0.2, "coldNs": {}, "fallMultiple": 3, "fallNs": 2000000000}},
          "familyInfo": {{"keepNs": {}, "notLoaded": "{}", "mayOrder": {}, "memoryMbByKind": [8000, 16000],
            "loadSpanNs": {}, "loadsAnyway": {}, "loadPart": 0.3, "loadWaitNs": {}}},
          "prices": {{"crossZone": {}}}, "loadInfo": {{"names": ["x9", "cpu_share"]}},
          "discovery": "{}", "weightSource": "{}"}}"#,
        draw.between(1, 20),
        draw.below(2),
        draw.pick(&[0, 1_000_000, 2_000_000]),
        classes.join(", "),
        draw.pick(&[1, 2, 4, 9]),
        draw.percent(80),
        draw.percent(85),
        draw.percent(50),
        draw.pick(&[100, 500]) * 1_000_000u64,
        draw.pick(&[4, 40, 4096]),
        draw.pick(&[2, 9]) * 1_000_000_000u64,
        draw.pick(&[1, 3, 9]) * 1_000_000_000u64,
        draw.pick(&["load", "miss"]),
        draw.percent(85),
        draw.pick(&[0, 2, 5]) * 1_000_000_000u64,
        draw.between(1, 6),
        draw.pick(&[1, 10]) * 1_000_000_000u64,
        draw.pick(&["0", "0.05", "0.3"]),
        draw.pick(&["", "on_request"]),
        draw.pick(&["", "nominal"]),
    );
    read_site(text.as_bytes()).expect("a site")
}

fn play(seed: u64, seen: &mut Seen) -> u64 {
    let mut draw = Draw::new(seed ^ 0xc0de << 32);
    let core = Core::new(drawn_site(&mut draw), draw.next());
    let (functions, workers) = (draw.pick(&[1, 4, 12]), draw.pick(&[2, 4, 9, 20]));
    let trouble = draw.pick(&[5, 25, 60]);
    let mut play = Play {
        draw,
        now: Timestamp(1_000_000_000_000),
        core,
        digest: Digest::new(),
        seen,
        later: BTreeMap::new(),
        serial: 0,
        stream: 0,
        functions,
        workers,
        trouble,
        last: None,
    };
    let list =
        (1..=workers).map(|id| Member { worker: WorkerId(id), weight: 1.0, ..play.drawn_member() }).collect();
    play.core.members(play.now, ListKind::Full, list);
    if play.draw.percent(60) {
        let (parts, shed) = (play.draw.pick(&[1, 4, 64]), play.draw.percent(60));
        play.core.join_fleet(play.now, parts, shed);
    }
    let until_given_up = play.draw.percent(50);
    play.core.chains_until_given_up(until_given_up);
    play.carry_out();
    let events = play.draw.between(150, 400);
    for _ in 0..events {
        let gap = match play.draw.below(50) {
            0 => play.draw.between(300_000, 3_000_000),
            1..25 => play.draw.between(100, 3_000),
            _ => play.draw.between(100, 40_000),
        };
        play.pass(gap * 1_000);
        play.event();
        play.carry_out();
    }
    play.pass(8_000_000_000);
    play.sums();
    play.digest.value()
}

impl Play<'_> {
    fn note(&mut self, kind: &'static str) {
        *self.seen.entry(kind).or_default() += 1;
    }

    /// Writes a yes or no down, and gives it back.
    fn flag(&mut self, flag: bool) -> bool {
        self.digest.number(u64::from(flag));
        flag
    }

    fn drawn_member(&mut self) -> Member {
        let id = self.draw.between(1, self.workers + 1);
        let ago = Duration::millis(self.draw.below(10_000));
        Member {
            worker: WorkerId(id),
            zone: ZoneId((id % 2) as u8),
            cell: CellId((id % 3) as u16),
            state: self.draw.pick(&[State::Ready, State::Ready, State::Ready, State::Draining, State::Gone]),
            weight: self.draw.pick(&[0.0, 1.0, 1.0, 3.0]),
            started: self.draw.percent(30).then_some(self.now - ago),
            kind: KindId(0),
        }
    }

    fn at(&mut self, micros: u64, later: Later) {
        self.serial += 1;
        self.later.insert((self.now + Duration(micros * 1_000), self.serial), later);
    }

    /// Lets time pass: what is due in the core and what is due round it come in their order.
    fn pass(&mut self, nanos: u64) {
        let end = self.now + Duration(nanos);
        loop {
            let core = self.core.next_timeout().filter(|at| *at <= end);
            let later = self.later.first_key_value().map(|(key, _)| *key).filter(|(at, _)| *at <= end);
            match (core, later) {
                (None, None) => break,
                (Some(due), later) if later.is_none_or(|(at, _)| due <= at) => {
                    self.now = self.now.max(due);
                    self.core.on_timeout(self.now);
                }
                (_, later) => {
                    let Some(later) = later.and_then(|key| self.later.remove_entry(&key)) else { break };
                    self.now = self.now.max(later.0.0);
                    self.happens(later.1);
                }
            }
            self.carry_out();
        }
        self.now = end;
    }

    fn progress(&mut self, least: usize) -> AttemptProgress {
        let all = [
            ("not sent", AttemptProgress::NotSent),
            ("partly written", AttemptProgress::PartlyWritten),
            ("out", AttemptProgress::Out),
            ("answered", AttemptProgress::Answered),
        ];
        let (kind, progress) = self.draw.pick(&all[least..]);
        self.note(kind);
        progress
    }

    fn happens(&mut self, later: Later) {
        let (now, bad) = (self.now, self.draw.percent(self.trouble));
        match later {
            Later::Write(id) => {
                let owner = self.core.owner(id);
                self.digest.option(owner.map(|owner| owner.stream));
                let may = self.core.may_write(now, id);
                if !self.flag(may) {
                    self.note("attempt held back");
                    return self.core.attempt_not_sent(now, id);
                }
                if bad && self.draw.percent(30) {
                    let progress = [AttemptProgress::NotSent, AttemptProgress::PartlyWritten];
                    let progress = self.draw.pick(&progress);
                    return self.core.attempt_ended(now, id, Err(Broken { progress, cause: "test" }));
                }
                self.core.written(now, id);
                // Some are never answered.
                if !bad || self.draw.percent(80) {
                    let took = self.draw.between(2_000, 150_000);
                    self.at(took, Later::Ended(id));
                }
            }
            Later::Ended(id) => {
                let end = match self.draw.below(8) {
                    _ if !bad => {
                        self.note("ok");
                        let size = self.draw.below(9) as usize;
                        let byte = self.draw.below(256) as u8;
                        Ok(Reply::Ok(vec![byte; size]))
                    }
                    0 => Ok(Reply::Miss),
                    1 => Ok(Reply::Full),
                    2 => Ok(Reply::Error),
                    3 => Ok(Reply::Expired),
                    _ => Err(Broken { progress: self.progress(0), cause: "test" }),
                };
                match &end {
                    Ok(Reply::Miss) => self.note("miss"),
                    Ok(Reply::Full) => self.note("full"),
                    Ok(Reply::Error) => self.note("error"),
                    Ok(Reply::Expired) => self.note("moot"),
                    _ => {}
                }
                self.core.attempt_ended(now, id, end);
            }
            Later::Order(id) => {
                let may = self.core.may_write_load(now, id);
                if !self.flag(may) {
                    self.note("order held back");
                    return self.core.load_not_sent(now, id);
                }
                let took = self.draw.between(50_000, 2_000_000);
                self.at(took, Later::OrderEnded(id));
            }
            Later::OrderEnded(id) => {
                let stands = self.core.load_still_allowed(now, id);
                self.flag(stands);
                let end = match self.draw.below(6) {
                    _ if !bad => Ok(LoadResult { status: Status::Ok, instances: 1 }),
                    0 => Ok(LoadResult { status: Status::Full, instances: 0 }),
                    1 => Ok(LoadResult { status: Status::Error, instances: 1 }),
                    2 => return,
                    _ => Err(Broken { progress: self.progress(0), cause: "test" }),
                };
                self.core.load_ended(now, id, end);
            }
            Later::Probe(id) => {
                let may = self.core.may_write_probe(now, id);
                if !self.flag(may) {
                    self.note("probe held back");
                    return self.core.probe_not_sent(now, id);
                }
                if !bad || self.draw.percent(50) {
                    let took = self.draw.between(500, 20_000);
                    self.at(took, Later::ProbeEnded(id));
                }
            }
            Later::ProbeEnded(id) => {
                let busy = self.draw.part() as f32;
                let report = vec![("other".to_owned(), 1.0), ("cpu_share".to_owned(), busy)];
                let end =
                    if bad { Err(Broken { progress: self.progress(0), cause: "test" }) } else { Ok(report) };
                self.core.probe_ended(now, id, end);
            }
        }
    }

    /// Takes all commands, digests them, and does what an adapter does with them.
    fn carry_out(&mut self) {
        while let Some(command) = self.core.next_command() {
            self.command(command);
        }
        self.digest.option(self.core.next_timeout().map(|at| at.0));
    }

    fn attempt_id(&mut self, id: AttemptId) {
        self.digest.numbers(&[u64::from(id.request.0), u64::from(id.number)]);
    }

    fn fenced(&mut self, number: u64, fenced: Option<Fenced>) {
        self.digest.number(number);
        self.digest.option(fenced.map(|fenced| u64::from(fenced.part)));
        self.digest.option(fenced.map(|fenced| fenced.fence));
    }

    fn answer(&mut self, answer: &Answer) {
        match &answer.verdict {
            Verdict::Served(body) => {
                self.digest.number(1);
                self.digest.bytes(body);
                self.note("served");
            }
            Verdict::Refused { cooldown } => {
                self.digest.numbers(&[2, cooldown.0]);
                self.note("refused");
            }
            Verdict::Failed => {
                self.digest.number(3);
                self.note("failed");
            }
        }
        if self.flag(answer.expired) {
            self.note("expired");
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Answer { owner, answer } => {
                self.digest.numbers(&[1, owner.connection, owner.stream]);
                self.answer(&answer);
            }
            Command::Chain { owner, end } => {
                self.digest.numbers(&[2, owner.connection, owner.stream, end.step as u64, end.ran as u64]);
                self.flag(end.unknown);
                self.digest.option(end.short.map(|short| short.left.0));
                self.digest.option(end.short.map(|short| short.need.0));
                self.answer(&end.answer);
                self.note(match () {
                    () if end.unknown => "chain unknown",
                    () if end.short.is_some() => "chain short",
                    () if matches!(end.answer.verdict, Verdict::Served(_)) => "chain served",
                    () => "chain ended",
                });
            }
            Command::Send { attempt, worker, work, deadline } => {
                self.digest.number(3);
                self.attempt_id(attempt);
                self.digest.numbers(&[worker.0, deadline.0, work.function.0]);
                self.digest.bytes(work.reference.as_bytes());
                self.digest.bytes(work.class.as_bytes());
                self.digest.option(work.key.as_ref().map(|key| key.len() as u64));
                self.digest.bytes(work.key.as_deref().unwrap_or_default().as_bytes());
                self.digest.bytes(&work.body);
                self.note("send");
                self.last = Some(attempt);
                let wait = if self.draw.percent(85) { 50 } else { self.draw.between(50, 400_000) };
                self.at(wait, Later::Write(attempt));
            }
            Command::Cancel { attempt, worker } => {
                self.digest.number(4);
                self.attempt_id(attempt);
                self.digest.number(worker.0);
                self.note("halt");
            }
            Command::Load { load: order, worker, function, instances } => {
                self.digest.numbers(&[5, worker.0, function.0, u64::from(instances)]);
                self.fenced(order.number, order.lease);
                self.note(if order.lease.is_some() { "stage fenced" } else { "stage" });
                if instances > 1 {
                    self.note("stage of copies");
                }
                let wait = self.draw.pick(&[50, 50, 5_000, 300_000]);
                self.at(wait, Later::Order(order));
            }
            Command::Probe { probe, worker, deadline } => {
                self.digest.numbers(&[6, worker.0, deadline.0]);
                self.fenced(probe.number, probe.lease);
                self.note(if probe.lease.is_some() { "probe fenced" } else { "probe" });
                let wait = self.draw.pick(&[50, 50, 5_000, 100_000]);
                self.at(wait, Later::Probe(probe));
            }
            Command::Unload { worker, function } => {
                self.digest.numbers(&[7, worker.0, function.0]);
                self.note("purge");
            }
            Command::Renew { worker } => {
                self.digest.numbers(&[8, worker.0]);
                self.note("renew");
            }
            Command::PublishHealth { worker, answers } => {
                self.digest.numbers(&[9, worker.0, u64::from(answers)]);
                self.note("tell");
            }
            Command::PublishCordon { worker, cordoned } => {
                self.digest.numbers(&[10, worker.0, u64::from(cordoned)]);
                self.note("by hand");
            }
        }
    }

    /// Sums that the core keeps, and what it would tell the next process.
    fn sums(&mut self) {
        let figures = self.core.figures();
        for (class, ends) in &figures.classes {
            self.digest.bytes(class.as_bytes());
            self.digest.numbers(&[ends.answered, ends.deferred, ends.errored]);
        }
        let sizes = [figures.current, figures.cluster_size, figures.cluster_unhealthy];
        self.digest.numbers(&sizes.map(|size| size as u64));
        self.digest.numbers(&[figures.sends, figures.violations, self.core.outstanding() as u64]);
        let state = self.core.transferred_state();
        let back = state.uncordoned_at.iter().flat_map(|(worker, at)| [*worker, *at]);
        let all =
            [state.cordoned, back.collect(), state.load_times, state.accept_times, state.called_functions];
        for numbers in all {
            self.digest.number(numbers.len() as u64);
            self.digest.numbers(&numbers);
        }
    }

    fn event(&mut self) {
        let now = self.now;
        match self.draw.below(100) {
            0..58 => self.call(),
            58..65 => self.chain(),
            65..68 => {
                let stream = self.draw.below(self.stream + 1);
                let connection = self.draw.pick(&[1, 1, 2]);
                self.core.withdraw(now, Owner { connection, stream });
            }
            68..74 => {
                let members = (0..self.draw.between(1, 3)).map(|_| self.drawn_member()).collect();
                self.core.members(now, ListKind::Delta, members);
            }
            74..75 => {
                let kind = self.draw.pick(&[ListKind::Full, ListKind::Cached, ListKind::Failed]);
                let mut members: Vec<Member> = Vec::new();
                for id in 1..=self.workers {
                    let member = Member { worker: WorkerId(id), state: State::Ready, ..self.drawn_member() };
                    members.extend(self.draw.percent(90).then_some(member));
                }
                self.core.members(now, kind, if kind == ListKind::Failed { vec![] } else { members });
            }
            75..80 => {
                let (worker, out) = (WorkerId(self.draw.between(1, self.workers + 2)), self.draw.percent(50));
                if self.draw.percent(20) {
                    return self.core.cordon_changed_elsewhere(now, worker, out);
                }
                let done = if out { self.core.cordon(now, worker) } else { self.core.uncordon(now, worker) };
                self.digest.number(match done {
                    CordonResult::Changed => 1,
                    CordonResult::Unchanged => 2,
                    CordonResult::Unknown => 3,
                    CordonResult::TooMany => 4,
                });
            }
            80..82 => {
                let site = drawn_site(&mut self.draw);
                self.core.replace_site(now, site);
                self.note("replaced");
            }
            82..89 => {
                let task = self.draw.pick(&[Task::Probe, Task::Probe, Task::Renew, Task::Shed]);
                let part = self.draw.below(4) as u16;
                let until = now + Duration::millis(self.draw.pick(&[15, 300, 3_000, 20_000, 60_000]));
                let hold = LeaseGrant { fence: self.draw.between(1, 9), until };
                let hold = self.draw.percent(75).then_some(hold);
                self.core.set_lease(now, task, part, hold);
            }
            89..91 => {
                let gone: BTreeSet<u32> =
                    (0..self.draw.below(6)).map(|_| self.draw.below(20) as u32).collect();
                self.core.gone(now, gone);
            }
            91..93 => {
                let worker = WorkerId(self.draw.between(1, self.workers));
                let (answers, at) = (self.draw.percent(50), now - Duration::millis(self.draw.below(2_000)));
                self.core.peer_health(now, worker, answers, at);
            }
            93..96 => {
                let admit = self.draw.pick(&[[255; 4], [255, 255, 100, 0], [255, 30, 0, 0], [128; 4]]);
                let level = AdmissionLevel { fence: self.draw.between(1, 4), by: 0, admit };
                let followed = self.core.follow(level, now);
                self.flag(followed);
                let demand = self.core.demand(now);
                self.digest.numbers(&demand.offered.map(u64::from));
                self.digest.numbers(&[u64::from(demand.served), u64::from(demand.open)]);
            }
            96..97 => {
                let known = self.core.transferred_state();
                self.core.take_over(now, &known);
                self.note("taken over");
            }
            97..98 => {
                let class = self.draw.pick(&[None, Some("c0"), Some("c9")]);
                self.core.count_rejected_by_listener(class, &Verdict::Failed);
                let logged = self.core.may_log(now);
                self.flag(logged);
                let places = self.core.places();
                self.flag(places);
                if let Some(id) = self.last {
                    // An end that comes twice, or late.
                    self.core.attempt_ended(now, id, Ok(Reply::Error));
                }
            }
            98..99 => {
                // Rare states that last for a while: another process orders, or this one is about to end.
                let (yielded, ends) = (self.draw.percent(20), self.draw.percent(15));
                self.core.yield_loads(yielded);
                self.core.rejecting_new = ends;
                let memory = self.draw.pick(&[600, 192 << 20, 192 << 20]);
                self.core.limit_memory(memory);
            }
            _ => self.sums(),
        }
    }

    fn call(&mut self) {
        self.stream += 1;
        // Now and then a place or a name that is taken.
        let twice = self.draw.percent(3);
        let stream = if twice { self.draw.below(self.stream) } else { self.stream };
        let named = if self.draw.percent(2) { self.draw.below(self.stream) } else { self.stream };
        let keyed = self.draw.percent(50);
        let left = if self.draw.percent(3) { 0 } else { self.draw.between(20, 2_500) };
        let size = self.draw.below(40) as usize;
        let call = IncomingRequest {
            owner: Owner { connection: 1, stream },
            reference: format!("{named:016x}"),
            class: self.draw.pick(&["c0", "c0", "c1", "c1", "c2", "c3", "c4"]).to_owned(),
            function: FunctionId(self.draw.below(self.functions)),
            key: keyed.then(|| format!("key{stream}")),
            memory_mb: 100.0,
            concurrency: 2.0,
            load_time: None,
            deadline: self.now + Duration::millis(left),
            body: vec![(stream % 251) as u8; size],
        };
        let before = self.core.counters().shed;
        self.core.submit(self.now, call);
        if self.core.counters().shed > before {
            self.note("shed");
        }
    }

    fn chain(&mut self) {
        self.stream += 1;
        let steps = self.draw.between(1, 4);
        let step = |draw: &mut Draw, functions| chain::Step {
            class: format!("c{}", draw.below(3)),
            function: FunctionId(draw.below(functions)),
            memory_mb: 100.0,
            concurrency: 2.0,
            load_time: draw.percent(20).then_some(Duration::millis(300)),
            body: draw.percent(50).then(|| vec![7; 5]),
        };
        let steps = (0..steps).map(|_| step(&mut self.draw, self.functions)).collect();
        // Keys come again: a repeat of a chain, or another under its key.
        let key = self.draw.percent(70).then(|| format!("chain{}", self.draw.below(6)));
        let deadline = self.now + Duration::millis(self.draw.between(50, 3_000));
        let chain =
            chain::Chain { owner: Owner { connection: 2, stream: self.stream }, key, deadline, steps };
        self.core.chain(self.now, chain);
    }
}
