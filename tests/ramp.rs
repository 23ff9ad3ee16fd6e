//! Slow start over a whole fleet, in virtual time. The schedulers decide independently, and a worker that has just
//! started must get no more requests and loads from all of them together than its budget allows, apart from random
//! variation.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

use mintgate::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Requests of mean work that a warm worker serves per second.
const WORKER_REQUESTS_PER_S: f64 = 25.0;
/// Requests that a worker runs at a time.
const SLOTS_PER_WORKER: usize = 5;
const FUNCTION_COUNT: usize = 60;
/// When the first worker restarts, and when the simulation ends.
const FIRST_RESTART_AT: Timestamp = Timestamp(8_000_000_000);
const END_AT: Timestamp = Timestamp(24_000_000_000);

/// Fleet and traffic of one simulation.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    schedulers: u32,
    seed: u64,
    workers: u64,
    /// How many workers restart, one after another within `restart_span_s` seconds.
    restarted_workers: u64,
    restart_span_s: f64,
    /// Usual traffic as a share of the capacity of all workers.
    load: f64,
    /// Traffic grows by half at the first restart.
    burst: bool,
    /// One scheduler in ten gets ten times the traffic of another.
    uneven_traffic: bool,
    /// A fifth of all requests goes to one function.
    hot_function: bool,
    /// All schedulers restart with the workers, as in a release.
    schedulers_restart: bool,
    /// Restarted workers restart once more five seconds later.
    workers_restart_twice: bool,
    /// Six seconds after the first restart traffic doubles, and a third of it goes to one function.
    late_surge: bool,
    /// All workers have just started when the simulation begins.
    all_just_started: bool,
    /// Maximum delay in seconds until a scheduler is notified of a worker's start.
    max_notice_delay_s: f64,
    /// Whether workers load a missing function or answer that they miss it.
    on_miss: OnMiss,
}

const BASE_SCENARIO: Scenario = Scenario {
    schedulers: 30,
    seed: 1,
    workers: 20,
    restarted_workers: 5,
    restart_span_s: 2.0,
    load: 0.5,
    burst: false,
    uneven_traffic: false,
    hot_function: false,
    schedulers_restart: false,
    workers_restart_twice: false,
    late_surge: false,
    all_just_started: false,
    max_notice_delay_s: 0.5,
    on_miss: OnMiss::Load,
};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    RequestArrives(u8),
    Wakeup(usize),
    AttemptServed(u64, usize, RequestId, u16),
    LoadEnds(u64, usize, FunctionId),
    CheckAnswered(u64, usize),
    WorkerStarts(u64),
    StartReported(u64, usize),
    SchedulersRestart,
}

struct Scheduler {
    policy: Policy,
    armed: Option<Timestamp>,
    attempts: BTreeMap<RequestId, u16>,
    /// Attempts in flight: the worker and the send time.
    open: BTreeMap<(RequestId, u16), (u64, Timestamp)>,
    /// The start of each worker as the scheduler knows it.
    known_starts: BTreeMap<u64, Timestamp>,
}

#[derive(Default)]
struct Worker {
    started: Option<Timestamp>,
    running: usize,
    queue: VecDeque<(usize, RequestId, u16)>,
    /// Arrival times of requests and loads from schedulers that knew of the worker's current start.
    arrivals: Vec<Timestamp>,
}

struct Simulation {
    scenario: Scenario,
    now: Timestamp,
    rng: Pcg64Mcg,
    event_queue: BinaryHeap<Reverse<(Timestamp, u64, SimEvent)>>,
    event_count: u64,
    next_request: u32,
    fleet: Vec<Scheduler>,
    weights: Vec<f64>,
    workers: BTreeMap<u64, Worker>,
    served: u64,
    /// The worst window: requests above the bound, requests, and the budget.
    worst_window: (f64, usize, f64),
}

fn settings(scenario: &Scenario, index: u32) -> Settings {
    let class = |latency_objective, effect| Class {
        latency_objective: Duration::millis(latency_objective),
        deadline: Duration::millis(3000),
        priority_weight: 1.0,
        late_value: 0.1,
        effect,
        max_attempts: 3,
    };
    Settings {
        fleet_size: scenario.schedulers,
        index,
        zone: ZoneId(0),
        tick: Duration::millis(2),
        classes: vec![
            class(1500, Effect::Safe),
            class(1000, Effect::Keyed { group: Group::All, window: Duration::millis(6000) }),
        ],
        tenants: vec![],
        over_share_weight: 1.0,
        rules: Rules {
            cold_from: 0.15,
            cold_span: Duration::millis(15_000),
            fall_multiple: 3.0,
            fall_span: Duration::millis(2_000),
            drain_grace: Duration::millis(2_000),
            load_rate_limit: Some(LoadRateLimit { free: 3.0, share: 0.3, span: Duration::millis(5_000) }),
        },
        limits: Limits { may_cancel: true, may_probe: true, may_load: true, retry_after: None },
        loading: Loading {
            keep_alive: Duration::millis(8_700),
            on_miss: scenario.on_miss,
            memory_mb: vec![18_432.0],
        },
        prices: Prices::default(),
        gauges: vec![Gauge::Busy],
        tells_company: false,
        discovery: Discovery::Pushed,
        weights_are_sizes: false,
    }
}

fn member(worker: u64, started: Option<Timestamp>) -> Member {
    Member { worker: WorkerId(worker), weight: 1.0, started, ..Member::default() }
}

/// Share of its capacity that a worker has at an age, by the rules in the schedulers' settings.
fn capacity_share(age: Duration) -> f64 {
    0.15 + 0.85 * (age.secs() / 15.0).min(1.0)
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let weights = (0..scenario.schedulers)
            .map(|n| if scenario.uneven_traffic && n % 10 == 0 { 10.0 } else { 1.0 })
            .collect();
        let mut simulation = Simulation {
            scenario,
            now: Timestamp(0),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            event_queue: BinaryHeap::new(),
            event_count: 0,
            next_request: 0,
            fleet: vec![],
            weights,
            workers: (1..=scenario.workers).map(|n| (n, Worker::default())).collect(),
            served: 0,
            worst_window: (f64::MIN, 0, 0.0),
        };
        if scenario.all_just_started {
            simulation.workers.values_mut().for_each(|worker| worker.started = Some(Timestamp(0)));
        }
        for index in 0..scenario.schedulers as usize {
            let scheduler = simulation.new_scheduler(index);
            simulation.fleet.push(scheduler);
        }
        for index in 0..scenario.schedulers as usize {
            simulation.report_list(index);
        }
        simulation.schedule(Timestamp(0), SimEvent::RequestArrives(1));
        for n in 1..=scenario.restarted_workers {
            let at = FIRST_RESTART_AT
                + Duration::millis(
                    (scenario.restart_span_s * 1000.0 * (n - 1) as f64 / scenario.restarted_workers as f64)
                        as u64,
                );
            simulation.schedule(at, SimEvent::WorkerStarts(n));
            if scenario.workers_restart_twice {
                simulation.schedule(at + Duration::millis(5_000), SimEvent::WorkerStarts(n));
            }
        }
        if scenario.schedulers_restart {
            simulation.schedule(FIRST_RESTART_AT + Duration::millis(2_500), SimEvent::SchedulersRestart);
        }
        simulation
    }

    fn new_scheduler(&mut self, index: usize) -> Scheduler {
        let seed = self.rng.next_u64();
        Scheduler {
            policy: Policy::new(settings(&self.scenario, index as u32), seed),
            armed: None,
            attempts: BTreeMap::new(),
            open: BTreeMap::new(),
            known_starts: BTreeMap::new(),
        }
    }

    fn report_list(&mut self, index: usize) {
        let list = self.workers.iter().map(|(n, worker)| member(*n, worker.started)).collect();
        let starts: Vec<_> =
            self.workers.iter().filter_map(|(n, worker)| Some((*n, worker.started?))).collect();
        self.fleet[index].known_starts.extend(starts);
        self.handle(index, Event::Members(ListKind::Full, list));
    }

    fn schedule(&mut self, at: Timestamp, event: SimEvent) {
        self.event_count += 1;
        self.event_queue.push(Reverse((at, self.event_count, event)));
    }

    fn random_unit(&mut self) -> f64 {
        (f64::from(self.rng.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    /// Draws from an exponential distribution with this mean.
    fn draw_exponential(&mut self, mean_s: f64) -> Duration {
        Duration((-self.random_unit().ln() * mean_s * 1e9) as u64)
    }

    fn handle(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.fleet[index].policy.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => self.send(index, id, worker.0),
                Action::Cancel { id, attempt } => {
                    let Some((worker, at)) = self.fleet[index].open.remove(&(id, attempt)) else { continue };
                    let queue = &mut self.workers.get_mut(&worker).unwrap().queue;
                    queue.retain(|waits| *waits != (index, id, attempt));
                    self.end_attempt(index, id, attempt, at, Status::Cancelled);
                }
                Action::Load { worker, function, .. } => {
                    self.record_arrival(index, worker.0);
                    let at = self.now + Duration::millis(600);
                    self.schedule(at, SimEvent::LoadEnds(worker.0, index, function));
                }
                Action::Probe { worker, .. } => {
                    let at = self.now + Duration::millis(2);
                    self.schedule(at, SimEvent::CheckAnswered(worker.0, index));
                }
                Action::Refuse { .. } | Action::Fail { .. } => {
                    // Half of the clients retry.
                    if self.random_unit() < 0.5 {
                        let at = self.now + Duration::millis(150);
                        self.schedule(at, SimEvent::RequestArrives(0));
                    }
                }
                Action::SetTimer { after } => {
                    let at = self.now + after;
                    if self.fleet[index].armed.is_none_or(|armed| at < armed) {
                        self.fleet[index].armed = Some(at);
                        self.schedule(at, SimEvent::Wakeup(index));
                    }
                }
                Action::Subscribe | Action::Unload { .. } => {}
            }
        }
    }

    /// Records the arrival of work at a worker, if the scheduler that sent it knew of the worker's current start.
    fn record_arrival(&mut self, index: usize, worker: u64) {
        let (now, known_start) = (self.now, self.fleet[index].known_starts.get(&worker).copied());
        let state = self.workers.get_mut(&worker).unwrap();
        if let Some(started) = state.started.filter(|started| known_start == Some(*started)) {
            state.arrivals.push(now);
            let window = Duration::millis(2_000);
            let from = now - window;
            let requests = state.arrivals.iter().rev().take_while(|at| **at > from).count();
            // The budget of the window, with the worker's capacity growing over it.
            let steps = 20;
            let share_at =
                |n| capacity_share((from + window.times(f64::from(n) / f64::from(steps))) - started);
            let mean_share = (0..steps).map(share_at).sum::<f64>() / f64::from(steps);
            let budget = 3.0 * mean_share * WORKER_REQUESTS_PER_S * window.secs();
            let excess = requests as f64 - budget - 2.0 * budget.sqrt() - 2.0;
            if excess > self.worst_window.0 && now - started < Duration::millis(15_000) {
                self.worst_window = (excess, requests, budget);
            }
        }
    }

    fn send(&mut self, index: usize, id: RequestId, worker: u64) {
        let scheduler = &mut self.fleet[index];
        let attempt = scheduler.attempts.entry(id).or_default();
        let number = *attempt;
        *attempt += 1;
        scheduler.open.insert((id, number), (worker, self.now));
        self.record_arrival(index, worker);
        self.workers.get_mut(&worker).unwrap().queue.push_back((index, id, number));
        self.start_requests(worker);
    }

    fn start_requests(&mut self, worker: u64) {
        loop {
            let now = self.now;
            let state = self.workers.get_mut(&worker).unwrap();
            let speed = state.started.map_or(1.0, |started| capacity_share(now - started));
            if state.running >= SLOTS_PER_WORKER {
                return;
            }
            let Some((index, id, number)) = state.queue.pop_front() else { return };
            state.running += 1;
            let work = self.draw_exponential(SLOTS_PER_WORKER as f64 / WORKER_REQUESTS_PER_S);
            self.schedule(now + work.times(1.0 / speed), SimEvent::AttemptServed(worker, index, id, number));
        }
    }

    fn end_attempt(&mut self, index: usize, id: RequestId, attempt: u16, since: Timestamp, status: Status) {
        self.handle(
            index,
            Event::Outcome(Outcome {
                id,
                attempt,
                status,
                latency: self.now - since,
                finished: status == Status::Ok,
                instance: InstanceNote::Untold,
                company: 0,
                report: vec![],
            }),
        );
    }

    fn in_surge(&self) -> bool {
        self.scenario.late_surge && self.now >= FIRST_RESTART_AT + Duration::millis(6_000)
    }

    fn add_request(&mut self) {
        let total: f64 = self.weights.iter().sum();
        let mut draw = self.random_unit() * total;
        let index = self.weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        // Popularity falls with the rank (a power law).
        let rank = (self.random_unit().powf(-1.0 / 0.35) as usize).min(FUNCTION_COUNT) as u64;
        let hot_share = if self.in_surge() {
            0.33
        } else if self.scenario.hot_function {
            0.2
        } else {
            0.0
        };
        let function = if self.random_unit() < hot_share { 77 } else { rank };
        let class = ClassId(u16::from(self.random_unit() < 0.3));
        self.next_request += 1;
        let request = Request {
            id: RequestId(self.next_request),
            function: FunctionId(function),
            class,
            tenant: TenantId(0),
            remaining: Duration::millis(2_900),
            memory_mb: 400.0,
            concurrency: 2.0,
            load_time: None,
        };
        self.handle(index.unwrap_or(0), Event::Request(request));
    }

    fn run_to_end(mut self) -> Simulation {
        while let Some(Reverse((at, _, event))) = self.event_queue.pop() {
            if at > END_AT {
                break;
            }
            self.now = at;
            match event {
                SimEvent::RequestArrives(schedules_next) => {
                    if schedules_next == 1 {
                        let traffic_factor = match () {
                            () if self.in_surge() => 2.0,
                            () if self.scenario.burst && at >= FIRST_RESTART_AT => 1.5,
                            () => 1.0,
                        };
                        let rate = self.scenario.load
                            * traffic_factor
                            * WORKER_REQUESTS_PER_S
                            * self.scenario.workers as f64;
                        let next = at + self.draw_exponential(1.0 / rate);
                        self.schedule(next, SimEvent::RequestArrives(1));
                    }
                    self.add_request();
                }
                SimEvent::Wakeup(index) => {
                    if self.fleet[index].armed.is_some_and(|armed| armed <= at) {
                        self.fleet[index].armed = None;
                        self.handle(index, Event::Timeout);
                    }
                }
                SimEvent::AttemptServed(worker, index, id, number) => {
                    self.workers.get_mut(&worker).unwrap().running -= 1;
                    self.start_requests(worker);
                    if let Some((_, since)) = self.fleet[index].open.remove(&(id, number)) {
                        self.served += 1;
                        self.end_attempt(index, id, number, since, Status::Ok);
                    }
                }
                SimEvent::LoadEnds(worker, index, function) => {
                    let (instances, status, latency) = (1, Status::Ok, Duration::millis(600));
                    let worker = WorkerId(worker);
                    self.handle(
                        index,
                        Event::Loaded(Loaded { worker, function, instances, status, latency }),
                    );
                }
                SimEvent::CheckAnswered(worker, index) => {
                    self.handle(index, Event::Probed(WorkerId(worker), Status::Ok, vec![0.5]));
                }
                SimEvent::WorkerStarts(worker) => {
                    let state = self.workers.get_mut(&worker).unwrap();
                    (state.started, state.arrivals) = (Some(at), vec![]);
                    for index in 0..self.fleet.len() {
                        let delay_s = self.scenario.max_notice_delay_s * self.random_unit();
                        self.schedule(
                            at + Duration::millis((delay_s * 1000.0) as u64),
                            SimEvent::StartReported(worker, index),
                        );
                    }
                }
                SimEvent::StartReported(worker, index) => {
                    let started = self.workers[&worker].started;
                    self.fleet[index].known_starts.extend(started.map(|started| (worker, started)));
                    self.handle(index, Event::Members(ListKind::Delta, vec![member(worker, started)]));
                }
                SimEvent::SchedulersRestart => {
                    for index in 0..self.fleet.len() {
                        self.fleet[index] = self.new_scheduler(index);
                        self.report_list(index);
                    }
                }
            }
        }
        self
    }
}

/// Runs every scenario with this many schedulers. For a budget of N requests, an excess of up to 2 sqrt(N) + 2 is
/// attributed to random variation.
fn assert_within_budget(schedulers: u32, seeds: u64) {
    let busy = Scenario { schedulers, load: 0.62, burst: true, ..BASE_SCENARIO };
    let scenarios = [
        ("base", Scenario { schedulers, ..BASE_SCENARIO }),
        ("nearly saturated", Scenario { schedulers, load: 0.8, ..BASE_SCENARIO }),
        ("overload", Scenario { schedulers, load: 1.1, ..BASE_SCENARIO }),
        ("burst", busy),
        ("uneven traffic", Scenario { uneven_traffic: true, ..busy }),
        ("hot function", Scenario { hot_function: true, ..busy }),
        ("all schedulers restart", Scenario { schedulers_restart: true, ..busy }),
        ("workers start twice", Scenario { workers_restart_twice: true, ..busy }),
        ("starts are reported late", Scenario { max_notice_delay_s: 4.0, ..busy }),
        ("a late surge", Scenario { late_surge: true, load: 0.4, burst: false, ..busy }),
        ("all have just started", Scenario { all_just_started: true, restarted_workers: 0, ..busy }),
        ("most are replaced", Scenario { restarted_workers: 14, restart_span_s: 7.0, ..busy }),
        (
            "most are replaced and miss",
            Scenario { restarted_workers: 14, restart_span_s: 7.0, on_miss: OnMiss::Miss, ..busy },
        ),
    ];
    for (name, scenario) in scenarios {
        for seed in 0..seeds {
            let simulation = Simulation::new(Scenario { seed, ..scenario }).run_to_end();
            let (excess, requests, budget) = simulation.worst_window;
            assert!(
                excess <= 0.0,
                "{schedulers} schedulers, {name}, seed {seed}: {requests} requests for a budget of {budget:.1}"
            );
            // Sending nothing would keep any bound, so check that enough requests arrived.
            let arrivals: usize = simulation.workers.values().map(|worker| worker.arrivals.len()).sum();
            assert!(
                arrivals >= 200,
                "{schedulers} schedulers, {name}, seed {seed}: {arrivals} requests in all"
            );
        }
    }
}

#[test]
fn twenty_schedulers_keep_the_budget_of_a_cold_worker() {
    assert_within_budget(20, 6);
}

#[test]
fn thirty_schedulers_keep_the_budget_of_a_cold_worker() {
    assert_within_budget(30, 6);
}

#[test]
fn three_hundred_schedulers_keep_the_budget_of_a_cold_worker() {
    assert_within_budget(300, 4);
}
