//! Simulates chains of a build check, a checker run and a credit submission, submitted in three ways.

use crate::fleet::{INSTANCE_KEEP_ALIVE, Job, Worker};
use mintgate::chain::estimate::{Estimates, PlannedStep};
use mintgate::chain::{Chain, Step};
use mintgate::core::{Command, Core, IncomingRequest, LoadResult, Owner, Reply, Verdict};
use mintgate::{Duration, FunctionId, ListKind, Member, Status, Timestamp, WorkerId, settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const WORKER_COUNT: u64 = 6;
/// Latency objective of a chain, which is that of its credit step.
const LATENCY_OBJECTIVE: Duration = Duration::millis(1_500);
/// How long a client waits for the whole chain.
const CLIENT_TIMEOUT: Duration = Duration::millis(3_000);
const START_TIME: Timestamp = Timestamp(1_000_000_000_000);
/// Mean execution time of the three steps, in milliseconds.
const MEAN_WORK_MS: [f64; 3] = [120.0, 250.0, 80.0];
const STEP_CLASSES: [&str; 3] = ["practice-check", "practice-check", "credit-submit"];

/// How the client submits the steps of a chain.
#[derive(Clone, Copy, PartialEq)]
enum Submission {
    /// As one chain.
    Chain,
    /// As separate requests, one after another.
    Separate,
    /// As one chain whose steps declare no load time.
    ChainWithoutLoadTimes,
}

/// A randomly generated chain, the same for all ways of submitting it.
struct ChainPlan {
    at: Timestamp,
    functions: [FunctionId; 3],
    load: [Duration; 3],
    work: [Duration; 3],
}

fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u32() as f64 + 0.5) / (u32::MAX as f64 + 1.0)
}

/// Generates chains with Poisson arrivals. The first and last step use a few frequently called functions; that of the
/// checker in the middle may be rare.
fn generate_plans(count: usize, rate: f64, seed: u64) -> Vec<ChainPlan> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut at = START_TIME;
    let mut plan = || {
        at = at + Duration((-uniform(&mut rng).ln() / rate * 1e9) as u64);
        let rare = (uniform(&mut rng).powi(3) * 120.0) as u64;
        let functions = [1 + rare % 8, 100 + rare, 300 + rare % 8].map(FunctionId);
        let load = [300, 350 + rare * 5, 300].map(Duration::millis);
        let work =
            MEAN_WORK_MS.map(|mean| Duration((mean * (0.4 - 0.6 * uniform(&mut rng).ln()) * 1e6) as u64));
        ChainPlan { at, functions, load, work }
    };
    (0..count).map(|_| plan()).collect()
}

#[derive(Default)]
struct Tally {
    answers: Vec<u32>,
    within_objective: usize,
    late: usize,
    stopped: usize,
    unserved: usize,
    steps_started: usize,
    wasted_steps: usize,
    attempts: usize,
    repeated_credits: usize,
    /// Actual minus estimated latency of each step, in milliseconds.
    estimate_errors_ms: Vec<f64>,
}

struct Simulation<'a> {
    plans: &'a [ChainPlan],
    submission: Submission,
    core: Core,
    workers: BTreeMap<WorkerId, Worker>,
    job_ends: BTreeSet<(Timestamp, u64)>,
    jobs: BTreeMap<u64, (WorkerId, Job)>,
    next: u64,
    /// Served steps of each chain.
    served_steps: Vec<usize>,
    /// Start of each chain's latest step, and its estimated latency.
    step_started: Vec<(Timestamp, Duration)>,
    steps: Vec<BTreeSet<usize>>,
    credit_attempts: Vec<u32>,
    estimates: Estimates,
    tally: Tally,
}

impl Simulation<'_> {
    fn step(&self, chain: usize, at: usize) -> Step {
        let plan = &self.plans[chain];
        Step {
            class: STEP_CLASSES[at].to_owned(),
            function: plan.functions[at],
            memory_mb: 300.0,
            concurrency: 4.0,
            load_time: (self.submission != Submission::ChainWithoutLoadTimes).then_some(plan.load[at]),
            body: (at == 0).then(|| vec![0; 8]),
        }
    }

    fn submit_chain(&mut self, now: Timestamp, chain: usize) {
        let owner = Owner { connection: 1, stream: chain as u64 };
        if self.submission == Submission::Separate {
            return self.submit_step(now, chain, 0);
        }
        let steps = (0..3).map(|at| self.step(chain, at)).collect();
        self.core.chain(
            now,
            Chain { owner, key: Some(format!("{chain:032x}")), deadline: now + CLIENT_TIMEOUT, steps },
        );
    }

    /// Submits a step as a separate request with its own deadline.
    fn submit_step(&mut self, now: Timestamp, chain: usize, at: usize) {
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
                deadline: now + CLIENT_TIMEOUT,
                body: vec![0; 8],
            },
        );
    }

    /// The chain and step that an attempt belongs to, from its key.
    fn chain_and_step(key: &Option<String>) -> (usize, usize) {
        let (chain, step) =
            key.as_deref().and_then(|key| key.split_once('.')).expect("each step's key is CHAIN.STEP");
        (
            usize::from_str_radix(chain, 16).expect("the chain's number is hexadecimal"),
            step.parse().expect("the step is a number"),
        )
    }

    fn execute_commands(&mut self, now: Timestamp) {
        while let Some(command) = self.core.next_command() {
            match command {
                Command::Send { attempt, worker, work, .. } => {
                    let (chain, at) = Simulation::chain_and_step(&work.key);
                    self.core.written(now, attempt);
                    self.tally.attempts += 1;
                    if self.steps[chain].insert(at) {
                        self.tally.steps_started += 1;
                        let Step { function, load_time, .. } = self.step(chain, at);
                        let planned = PlannedStep {
                            function,
                            class: STEP_CLASSES[at],
                            latency_objective: LATENCY_OBJECTIVE,
                            load_time,
                        };
                        let need = self.estimates.need(now, &planned, INSTANCE_KEEP_ALIVE);
                        self.step_started[chain] = (now, Duration(need.load.0 + need.run.0));
                    }
                    let plan = &self.plans[chain];
                    let job =
                        Job { attempt, function: work.function, work: plan.work[at], load: plan.load[at] };
                    let runs = self.workers.entry(worker).or_default().accept(now, job);
                    runs.into_iter().for_each(|(end, job)| self.schedule_end(end, worker, job));
                    self.credit_attempts[chain] += u32::from(at == 2);
                }
                Command::Cancel { attempt, worker } => self.workers.entry(worker).or_default().abort(attempt),
                Command::Load { load, worker, function, .. } => {
                    if self.core.may_write_load(now, load) {
                        let load_time = Duration::millis(500);
                        self.workers.entry(worker).or_default().load(now, function, load_time);
                        let result = LoadResult { status: Status::Ok, instances: 1 };
                        self.core.load_ended(now, load, Ok(result));
                    } else {
                        self.core.load_not_sent(now, load);
                    }
                }
                Command::Probe { probe, .. } => self.core.probe_ended(now, probe, Ok(vec![])),
                Command::Answer { owner, answer } => {
                    let chain = owner.stream as usize;
                    let served = matches!(answer.verdict, Verdict::Served(_));
                    self.record_step(now, chain, served);
                    match (served, self.served_steps[chain]) {
                        (true, 1 | 2) => self.submit_step(now, chain, self.served_steps[chain]),
                        _ => self.finish_chain(now, chain, served, false),
                    }
                }
                Command::Chain { owner, end } => {
                    let served = matches!(end.answer.verdict, Verdict::Served(_));
                    let chain = owner.stream as usize;
                    while self.served_steps[chain] < end.ran {
                        self.record_step(now, chain, true);
                    }
                    self.finish_chain(now, chain, served, end.short.is_some());
                }
                Command::Unload { .. }
                | Command::Renew { .. }
                | Command::PublishCordon { .. }
                | Command::PublishHealth { .. } => {}
            }
        }
    }

    fn schedule_end(&mut self, end: Timestamp, worker: WorkerId, job: Job) {
        self.next += 1;
        self.job_ends.insert((end, self.next));
        self.jobs.insert(self.next, (worker, job));
    }

    fn record_step(&mut self, now: Timestamp, chain: usize, served: bool) {
        let at = self.served_steps[chain];
        if served && at < 3 {
            let (step_started, need) = self.step_started[chain];
            self.estimates.record_latency(
                now,
                self.plans[chain].functions[at],
                STEP_CLASSES[at],
                now - step_started,
            );
            self.tally.estimate_errors_ms.push(((now - step_started).0 as f64 - need.0 as f64) / 1e6);
            self.served_steps[chain] += 1;
        }
    }

    fn finish_chain(&mut self, now: Timestamp, chain: usize, served: bool, stopped: bool) {
        self.tally.answers[chain] += 1;
        let within_objective = served && now - self.plans[chain].at <= LATENCY_OBJECTIVE;
        self.tally.within_objective += usize::from(within_objective);
        self.tally.late += usize::from(served && !within_objective);
        self.tally.stopped += usize::from(stopped);
        self.tally.unserved += usize::from(!served && !stopped);
        self.tally.wasted_steps += if within_objective { 0 } else { self.steps[chain].len() };
    }

    fn run(mut self) -> Tally {
        let member = |n| Member { worker: WorkerId(n), weight: 1.0, ..Member::default() };
        self.core.members(START_TIME, ListKind::Full, (1..=WORKER_COUNT).map(member).collect());
        self.execute_commands(START_TIME);
        let mut chain = 0;
        loop {
            let arrival = self.plans.get(chain).map(|plan| plan.at);
            let end = self.job_ends.first().copied();
            let timeout =
                self.core.next_timeout().filter(|_| arrival.is_some() || self.core.outstanding() > 0);
            let next = arrival.into_iter().chain(end.map(|(at, _)| at)).chain(timeout).min();
            let Some(now) = next else { break };
            if arrival == Some(now) {
                self.submit_chain(now, chain);
                chain += 1;
            } else if let Some((_, number)) = end.filter(|(at, _)| *at == now) {
                self.job_ends.pop_first();
                let (worker, job) = self.jobs.remove(&number).expect("a running job ends once");
                let next = self.workers.entry(worker).or_default().finish(now);
                next.into_iter().for_each(|(end, job)| self.schedule_end(end, worker, job));
                self.core.attempt_ended(now, job.attempt, Ok(Reply::Ok(vec![0; 8])));
            } else {
                self.core.on_timeout(now);
            }
            self.execute_commands(now);
        }
        self.tally.repeated_credits = self.credit_attempts.iter().filter(|sent| **sent > 1).count();
        self.tally
    }
}

fn simulate(plans: &[ChainPlan], submission: Submission, seed: u64) -> Tally {
    let settings_text = format!(
        r#"{{"fleetSize": 1, "index": 0, "tickNs": 2000000, "classes": [
        {{"name": "practice-check", "deadlineNs": {timeout}, "effect": "retryable", "objectiveNs": {objective}}},
        {{"name": "credit-submit", "deadlineNs": {timeout}, "effect": "dedup", "group": "all", "worth": 5,
          "repeatWindowNs": 6000000000, "objectiveNs": {objective}}}],
        "bounds": {{"mostTries": 3, "mayCancel": true, "probes": true, "retryAfter": true, "maxRetryAfterNs": 500000000}},
        "contract": {{"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000}},
        "familyInfo": {{"keepNs": {keep}, "notLoaded": "load", "mayOrder": true, "memoryMbByKind": [18000],
          "loadSpanNs": 5000000000, "loadsAnyway": 3, "loadPart": 0.3}}}}"#,
        timeout = CLIENT_TIMEOUT.0,
        objective = LATENCY_OBJECTIVE.0,
        keep = INSTANCE_KEEP_ALIVE.0,
    );
    let settings = settings::read_site(settings_text.as_bytes()).expect("the settings above are valid");
    let count = plans.len();
    Simulation {
        plans,
        submission,
        core: Core::new(settings, seed),
        workers: BTreeMap::new(),
        job_ends: BTreeSet::new(),
        jobs: BTreeMap::new(),
        next: 0,
        served_steps: vec![0; count],
        step_started: vec![(START_TIME, Duration(0)); count],
        steps: vec![BTreeSet::new(); count],
        credit_attempts: vec![0; count],
        estimates: Estimates::default(),
        tally: Tally { answers: vec![0; count], ..Tally::default() },
    }
    .run()
}

/// A table with one row for each arrival rate and way of submitting.
pub fn report(chains: usize, seed: u64, rates: &[f64]) -> String {
    let mut out = format!(
        "{chains} chains a row, seed {seed}, wanted within {} ms\n\n",
        LATENCY_OBJECTIVE.0 / 1_000_000
    );
    out += "| chains/s | way | answers each | earned | late | stopped | unserved | steps in vain | extra attempts | credit twice | off p10 | p50 | p90 ms |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for rate in rates {
        let plans = generate_plans(chains, *rate, seed);
        for (submission, name) in [
            (Submission::Chain, "chain"),
            (Submission::Separate, "separate"),
            (Submission::ChainWithoutLoadTimes, "no loads"),
        ] {
            let mut tally = simulate(&plans, submission, seed);
            tally.estimate_errors_ms.sort_by(f64::total_cmp);
            let quantile = |q: f64| {
                tally
                    .estimate_errors_ms
                    .get(((tally.estimate_errors_ms.len().max(1) - 1) as f64 * q) as usize)
                    .copied()
                    .unwrap_or(0.0)
            };
            let percent = |n: usize| format!("{:.1}%", 100.0 * n as f64 / chains as f64);
            let (min_answers, max_answers) =
                (tally.answers.iter().min().unwrap_or(&0), tally.answers.iter().max().unwrap_or(&0));
            let _ = writeln!(
                out,
                "| {rate} | {name} | {min_answers} to {max_answers} | {} | {} | {} | {} | {:.1}% | {} | {} | {:.0} | {:.0} | {:.0} |",
                percent(tally.within_objective),
                percent(tally.late),
                percent(tally.stopped),
                percent(tally.unserved),
                100.0 * tally.wasted_steps as f64 / tally.steps_started.max(1) as f64,
                tally.attempts - tally.steps_started,
                tally.repeated_credits,
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
