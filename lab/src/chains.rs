//! Chains of a build check, a checker run and the record of credit, played three ways.

use crate::fleet::{INSTANCE_KEEP_ALIVE, Job, Worker};
use mintgate::chain::estimate::{Estimates, PlannedStep};
use mintgate::chain::{Chain, Step};
use mintgate::core::{Command, Core, IncomingRequest, LoadResult, Owner, Reply, Verdict};
use mintgate::{Duration, FunctionId, ListKind, Member, Status, Timestamp, WorkerId, settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const WORKERS: u64 = 6;
/// The time wanted for a chain, which is that of its credit step.
const WANTED: Duration = Duration::millis(1_500);
/// How long a client waits for all of it.
const ALLOW: Duration = Duration::millis(3_000);
const START: Timestamp = Timestamp(1_000_000_000_000);
/// Mean work of the three steps, in milliseconds.
const WORK: [f64; 3] = [120.0, 250.0, 80.0];
const CLASSES: [&str; 3] = ["practice-check", "practice-check", "credit-submit"];

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Chain,
    Separate,
    NoLoads,
}

/// A chain as drawn: the same for all ways.
struct Plan {
    at: Timestamp,
    functions: [FunctionId; 3],
    load: [Duration; 3],
    work: [Duration; 3],
}

fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u32() as f64 + 0.5) / (u32::MAX as f64 + 1.0)
}

/// Few functions are called often, and a checker in the middle may be rare.
fn plans(count: usize, rate: f64, seed: u64) -> Vec<Plan> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut at = START;
    let mut plan = || {
        at = at + Duration((-uniform(&mut rng).ln() / rate * 1e9) as u64);
        let rare = (uniform(&mut rng).powi(3) * 120.0) as u64;
        let functions = [1 + rare % 8, 100 + rare, 300 + rare % 8].map(FunctionId);
        let load = [300, 350 + rare * 5, 300].map(Duration::millis);
        let work = WORK.map(|mean| Duration((mean * (0.4 - 0.6 * uniform(&mut rng).ln()) * 1e6) as u64));
        Plan { at, functions, load, work }
    };
    (0..count).map(|_| plan()).collect()
}

#[derive(Default)]
struct Tally {
    answers: Vec<u32>,
    earned: usize,
    late: usize,
    stopped: usize,
    unserved: usize,
    started: usize,
    vain: usize,
    attempts: usize,
    credit_twice: usize,
    /// What steps took beyond their estimates, in milliseconds.
    off: Vec<f64>,
}

struct Play<'a> {
    plans: &'a [Plan],
    way: Way,
    core: Core,
    workers: BTreeMap<WorkerId, Worker>,
    ends: BTreeSet<(Timestamp, u64)>,
    jobs: BTreeMap<u64, (WorkerId, Job)>,
    next: u64,
    /// Steps served of each chain, when the one that runs was started, and what it was estimated at.
    ran: Vec<usize>,
    begun: Vec<(Timestamp, Duration)>,
    steps: Vec<BTreeSet<usize>>,
    credits: Vec<u32>,
    estimates: Estimates,
    tally: Tally,
}

impl Play<'_> {
    fn step(&self, chain: usize, at: usize) -> Step {
        let plan = &self.plans[chain];
        Step {
            class: CLASSES[at].to_owned(),
            function: plan.functions[at],
            memory_mb: 300.0,
            concurrency: 4.0,
            load_time: (self.way != Way::NoLoads).then_some(plan.load[at]),
            body: (at == 0).then(|| vec![0; 8]),
        }
    }

    fn begin(&mut self, now: Timestamp, chain: usize) {
        let owner = Owner { connection: 1, stream: chain as u64 };
        if self.way == Way::Separate {
            return self.call(now, chain, 0);
        }
        let steps = (0..3).map(|at| self.step(chain, at)).collect();
        self.core
            .chain(now, Chain { owner, key: Some(format!("{chain:032x}")), deadline: now + ALLOW, steps });
    }

    /// A step as a call of its own, with an allowance of its own.
    fn call(&mut self, now: Timestamp, chain: usize, at: usize) {
        let Step { class, function, memory_mb, concurrency, load_time, .. } = self.step(chain, at);
        let name = (chain * 3 + at) as u64;
        self.core.submit(
            now,
            IncomingRequest {
                owner: Owner { connection: 1, stream: chain as u64 },
                reference: format!("{name:016x}"),
                class,
                function,
                key: Some(format!("{chain:032x}.{at}")),
                memory_mb,
                concurrency,
                load_time,
                deadline: now + ALLOW,
                body: vec![0; 8],
            },
        );
    }

    /// Which chain and step an attempt belongs to, from its key.
    fn place(key: &Option<String>) -> (usize, usize) {
        let (chain, step) = key.as_deref().and_then(|key| key.split_once('.')).expect("each step has a key");
        (usize::from_str_radix(chain, 16).expect("hex"), step.parse().expect("a number"))
    }

    fn carry_out(&mut self, now: Timestamp) {
        while let Some(command) = self.core.next_command() {
            match command {
                Command::Send { attempt, worker, work, .. } => {
                    let (chain, at) = Play::place(&work.key);
                    self.core.written(now, attempt);
                    self.tally.attempts += 1;
                    if self.steps[chain].insert(at) {
                        self.tally.started += 1;
                        let Step { function, load_time, .. } = self.step(chain, at);
                        let ahead = PlannedStep {
                            function,
                            class: CLASSES[at],
                            latency_objective: WANTED,
                            load_time,
                        };
                        let need = self.estimates.need(now, &ahead, INSTANCE_KEEP_ALIVE);
                        self.begun[chain] = (now, Duration(need.load.0 + need.run.0));
                    }
                    let plan = &self.plans[chain];
                    let job =
                        Job { attempt, function: work.function, work: plan.work[at], load: plan.load[at] };
                    let runs = self.workers.entry(worker).or_default().accept(now, job);
                    runs.into_iter().for_each(|(end, job)| self.ends_at(end, worker, job));
                    self.credits[chain] += u32::from(at == 2);
                }
                Command::Cancel { attempt, worker } => self.workers.entry(worker).or_default().abort(attempt),
                Command::Load { load, worker, function, .. } => {
                    if self.core.may_write_load(now, load) {
                        let load_time = Duration::millis(500);
                        self.workers.entry(worker).or_default().load(now, function, load_time);
                        let standing = LoadResult { status: Status::Ok, instances: 1 };
                        self.core.load_ended(now, load, Ok(standing));
                    } else {
                        self.core.load_not_sent(now, load);
                    }
                }
                Command::Probe { probe, .. } => self.core.probe_ended(now, probe, Ok(vec![])),
                Command::Answer { owner, answer } => {
                    let chain = owner.stream as usize;
                    let served = matches!(answer.verdict, Verdict::Served(_));
                    self.served(now, chain, served);
                    match (served, self.ran[chain]) {
                        (true, 1 | 2) => self.call(now, chain, self.ran[chain]),
                        _ => self.over(now, chain, served, false),
                    }
                }
                Command::Chain { owner, end } => {
                    let served = matches!(end.answer.verdict, Verdict::Served(_));
                    let chain = owner.stream as usize;
                    while self.ran[chain] < end.ran {
                        self.served(now, chain, true);
                    }
                    self.over(now, chain, served, end.short.is_some());
                }
                Command::Unload { .. }
                | Command::Renew { .. }
                | Command::PublishCordon { .. }
                | Command::PublishHealth { .. } => {}
            }
        }
    }

    fn ends_at(&mut self, end: Timestamp, worker: WorkerId, job: Job) {
        self.next += 1;
        self.ends.insert((end, self.next));
        self.jobs.insert(self.next, (worker, job));
    }

    fn served(&mut self, now: Timestamp, chain: usize, served: bool) {
        let at = self.ran[chain];
        if served && at < 3 {
            let (begun, need) = self.begun[chain];
            self.estimates.record_latency(now, self.plans[chain].functions[at], CLASSES[at], now - begun);
            self.tally.off.push(((now - begun).0 as f64 - need.0 as f64) / 1e6);
            self.ran[chain] += 1;
        }
    }

    fn over(&mut self, now: Timestamp, chain: usize, served: bool, stopped: bool) {
        self.tally.answers[chain] += 1;
        let earned = served && now - self.plans[chain].at <= WANTED;
        self.tally.earned += usize::from(earned);
        self.tally.late += usize::from(served && !earned);
        self.tally.stopped += usize::from(stopped);
        self.tally.unserved += usize::from(!served && !stopped);
        self.tally.vain += if earned { 0 } else { self.steps[chain].len() };
    }

    fn run(mut self) -> Tally {
        let member = |n| Member { worker: WorkerId(n), weight: 1.0, ..Member::default() };
        self.core.members(START, ListKind::Full, (1..=WORKERS).map(member).collect());
        self.carry_out(START);
        let mut chain = 0;
        loop {
            let arrival = self.plans.get(chain).map(|plan| plan.at);
            let end = self.ends.first().copied();
            let due = self.core.next_timeout().filter(|_| arrival.is_some() || self.core.outstanding() > 0);
            let next = arrival.into_iter().chain(end.map(|(at, _)| at)).chain(due).min();
            let Some(now) = next else { break };
            if arrival == Some(now) {
                self.begin(now, chain);
                chain += 1;
            } else if let Some((_, number)) = end.filter(|(at, _)| *at == now) {
                self.ends.pop_first();
                let (worker, job) = self.jobs.remove(&number).expect("it runs");
                let next = self.workers.entry(worker).or_default().finish(now);
                next.into_iter().for_each(|(end, job)| self.ends_at(end, worker, job));
                self.core.attempt_ended(now, job.attempt, Ok(Reply::Ok(vec![0; 8])));
            } else {
                self.core.on_timeout(now);
            }
            self.carry_out(now);
        }
        self.tally.credit_twice = self.credits.iter().filter(|sent| **sent > 1).count();
        self.tally
    }
}

fn play(plans: &[Plan], way: Way, seed: u64) -> Tally {
    let site = format!(
        r#"{{"fleetSize": 1, "index": 0, "tickNs": 2000000, "classes": [
        {{"name": "practice-check", "deadlineNs": {allow}, "effect": "retryable", "objectiveNs": {wanted}}},
        {{"name": "credit-submit", "deadlineNs": {allow}, "effect": "dedup", "group": "all", "worth": 5,
          "repeatWindowNs": 6000000000, "objectiveNs": {wanted}}}],
        "bounds": {{"mostTries": 3, "mayCancel": true, "probes": true, "retryAfter": true, "maxRetryAfterNs": 500000000}},
        "contract": {{"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000}},
        "familyInfo": {{"keepNs": {keep}, "notLoaded": "load", "mayOrder": true, "memoryMbByKind": [18000],
          "loadSpanNs": 5000000000, "loadsAnyway": 3, "loadPart": 0.3}}}}"#,
        allow = ALLOW.0,
        wanted = WANTED.0,
        keep = INSTANCE_KEEP_ALIVE.0,
    );
    let site = settings::read_site(site.as_bytes()).expect("the settings above");
    let count = plans.len();
    Play {
        plans,
        way,
        core: Core::new(site, seed),
        workers: BTreeMap::new(),
        ends: BTreeSet::new(),
        jobs: BTreeMap::new(),
        next: 0,
        ran: vec![0; count],
        begun: vec![(START, Duration(0)); count],
        steps: vec![BTreeSet::new(); count],
        credits: vec![0; count],
        estimates: Estimates::default(),
        tally: Tally { answers: vec![0; count], ..Tally::default() },
    }
    .run()
}

/// One table: a row for each load and way.
pub fn report(chains: usize, seed: u64, rates: &[f64]) -> String {
    let mut out =
        format!("{chains} chains a row, seed {seed}, wanted within {} ms\n\n", WANTED.0 / 1_000_000);
    out += "| chains/s | way | answers each | earned | late | stopped | unserved | steps in vain | extra attempts | credit twice | off p10 | p50 | p90 ms |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for rate in rates {
        let plans = plans(chains, *rate, seed);
        for (way, name) in [(Way::Chain, "chain"), (Way::Separate, "separate"), (Way::NoLoads, "no loads")] {
            let mut t = play(&plans, way, seed);
            t.off.sort_by(f64::total_cmp);
            let quantile =
                |q: f64| t.off.get(((t.off.len().max(1) - 1) as f64 * q) as usize).copied().unwrap_or(0.0);
            let part = |n: usize| format!("{:.1}%", 100.0 * n as f64 / chains as f64);
            let (least, most) = (t.answers.iter().min().unwrap_or(&0), t.answers.iter().max().unwrap_or(&0));
            let _ = writeln!(
                out,
                "| {rate} | {name} | {least} to {most} | {} | {} | {} | {} | {:.1}% | {} | {} | {:.0} | {:.0} | {:.0} |",
                part(t.earned),
                part(t.late),
                part(t.stopped),
                part(t.unserved),
                100.0 * t.vain as f64 / t.started.max(1) as f64,
                t.attempts - t.started,
                t.credit_twice,
                quantile(0.1),
                quantile(0.5),
                quantile(0.9),
            );
        }
    }
    out
}

#[cfg(test)]
mod tests;
