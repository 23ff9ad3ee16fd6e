//! The ramp of cold workers over a whole fleet, in virtual time: whatever schedulers do by themselves, a worker that has just
//! started gets no more calls and loads from all of them together than its budget allows, but for chance.

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

/// What one worker does in a second when it is warm, with calls of mean work.
const CAPACITY: f64 = 25.0;
/// Calls that a worker runs at a time.
const SLOTS: usize = 5;
const FUNCTIONS: usize = 60;
/// When workers start anew, and the end.
const START: Timestamp = Timestamp(8_000_000_000);
const END: Timestamp = Timestamp(24_000_000_000);

/// What a day is like.
#[derive(Clone, Copy, Debug)]
struct Day {
    fleet: u32,
    seed: u64,
    workers: u64,
    /// How many of them start anew, one after another within this time.
    cold: u64,
    within: f64,
    /// Usual traffic as a part of what all can do.
    load: f64,
    /// Half as much again from the start on.
    burst: bool,
    /// One scheduler in ten sees ten times the traffic of another.
    uneven: bool,
    /// A fifth of all calls goes to one function.
    hot: bool,
    /// All schedulers start anew with the workers, as at a release.
    restarts: bool,
    /// Cold workers start anew once more, five seconds later.
    twice: bool,
    /// Six seconds after the starts traffic doubles, and a third of it goes to one function.
    surge: bool,
    /// All workers have just started when the day begins.
    dawn: bool,
    /// The longest that a scheduler hears of a start too late.
    late: f64,
    /// Workers load what they lack, or say that they miss it.
    on_miss: OnMiss,
}

const PLAIN: Day = Day {
    fleet: 30,
    seed: 1,
    workers: 20,
    cold: 5,
    within: 2.0,
    load: 0.5,
    burst: false,
    uneven: false,
    hot: false,
    restarts: false,
    twice: false,
    surge: false,
    dawn: false,
    late: 0.5,
    on_miss: OnMiss::Load,
};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Call(u8),
    Wake(usize),
    Done(u64, usize, RequestId, u16),
    Stands(u64, usize, FunctionId),
    Alive(u64, usize),
    Starts(u64),
    Told(u64, usize),
    Release,
}

struct FrontEnd {
    policy: Policy,
    armed: Option<Timestamp>,
    tries: BTreeMap<RequestId, u16>,
    /// Attempts that are out: where, and since when.
    out: BTreeMap<(RequestId, u16), (u64, Timestamp)>,
    /// The start of each worker as it knows it.
    knows: BTreeMap<u64, Timestamp>,
}

#[derive(Default)]
struct RunBox {
    started: Option<Timestamp>,
    running: usize,
    queue: VecDeque<(usize, RequestId, u16)>,
    /// What came from schedulers that knew of its present start.
    came: Vec<Timestamp>,
}

struct World {
    day: Day,
    now: Timestamp,
    rng: Pcg64Mcg,
    heap: BinaryHeap<Reverse<(Timestamp, u64, Happens)>>,
    count: u64,
    next: u32,
    ends: Vec<FrontEnd>,
    weights: Vec<f64>,
    boxes: BTreeMap<u64, RunBox>,
    served: u64,
    /// The worst of all windows: calls over the bound, the calls, and the budget.
    worst: (f64, usize, f64),
}

fn settings(day: &Day, index: u32) -> Settings {
    let class = |latency_objective, effect| Class {
        latency_objective: Duration::millis(latency_objective),
        deadline: Duration::millis(3000),
        priority_weight: 1.0,
        late_value: 0.1,
        effect,
        max_attempts: 3,
    };
    Settings {
        fleet_size: day.fleet,
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
            on_miss: day.on_miss,
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

/// The part of its capacity that a worker has so long after its start, as the settings let schedulers judge it.
fn part(age: Duration) -> f64 {
    0.15 + 0.85 * (age.secs() / 15.0).min(1.0)
}

impl World {
    fn new(day: Day) -> World {
        let weights = (0..day.fleet).map(|n| if day.uneven && n % 10 == 0 { 10.0 } else { 1.0 }).collect();
        let mut world = World {
            day,
            now: Timestamp(0),
            rng: Pcg64Mcg::seed_from_u64(day.seed),
            heap: BinaryHeap::new(),
            count: 0,
            next: 0,
            ends: vec![],
            weights,
            boxes: (1..=day.workers).map(|n| (n, RunBox::default())).collect(),
            served: 0,
            worst: (f64::MIN, 0, 0.0),
        };
        if day.dawn {
            world.boxes.values_mut().for_each(|b| b.started = Some(Timestamp(0)));
        }
        for index in 0..day.fleet as usize {
            let end = world.front_end(index);
            world.ends.push(end);
        }
        for index in 0..day.fleet as usize {
            world.tell_all(index);
        }
        world.at(Timestamp(0), Happens::Call(1));
        for n in 1..=day.cold {
            let at =
                START + Duration::millis((day.within * 1000.0 * (n - 1) as f64 / day.cold as f64) as u64);
            world.at(at, Happens::Starts(n));
            if day.twice {
                world.at(at + Duration::millis(5_000), Happens::Starts(n));
            }
        }
        if day.restarts {
            world.at(START + Duration::millis(2_500), Happens::Release);
        }
        world
    }

    fn front_end(&mut self, index: usize) -> FrontEnd {
        let seed = self.rng.next_u64();
        FrontEnd {
            policy: Policy::new(settings(&self.day, index as u32), seed),
            armed: None,
            tries: BTreeMap::new(),
            out: BTreeMap::new(),
            knows: BTreeMap::new(),
        }
    }

    fn tell_all(&mut self, index: usize) {
        let list = self.boxes.iter().map(|(n, b)| member(*n, b.started)).collect();
        let starts: Vec<_> = self.boxes.iter().filter_map(|(n, b)| Some((*n, b.started?))).collect();
        self.ends[index].knows.extend(starts);
        self.give(index, Event::Members(ListKind::Full, list));
    }

    fn at(&mut self, at: Timestamp, what: Happens) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count, what)));
    }

    fn unit(&mut self) -> f64 {
        (f64::from(self.rng.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    /// A draw of a mean span.
    fn draw(&mut self, mean: f64) -> Duration {
        Duration((-self.unit().ln() * mean * 1e9) as u64)
    }

    fn give(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.ends[index].policy.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => self.send(index, id, worker.0),
                Action::Cancel { id, attempt } => {
                    let Some((worker, since)) = self.ends[index].out.remove(&(id, attempt)) else { continue };
                    let queue = &mut self.boxes.get_mut(&worker).unwrap().queue;
                    queue.retain(|waits| *waits != (index, id, attempt));
                    self.outcome(index, id, attempt, since, Status::Cancelled);
                }
                Action::Load { worker, function, .. } => {
                    self.comes(index, worker.0);
                    let after = self.now + Duration::millis(600);
                    self.at(after, Happens::Stands(worker.0, index, function));
                }
                Action::Probe { worker, .. } => {
                    let after = self.now + Duration::millis(2);
                    self.at(after, Happens::Alive(worker.0, index));
                }
                Action::Refuse { .. } | Action::Fail { .. } => {
                    // Half of the clients come again.
                    if self.unit() < 0.5 {
                        let after = self.now + Duration::millis(150);
                        self.at(after, Happens::Call(0));
                    }
                }
                Action::SetTimer { after } => {
                    let at = self.now + after;
                    if self.ends[index].armed.is_none_or(|armed| at < armed) {
                        self.ends[index].armed = Some(at);
                        self.at(at, Happens::Wake(index));
                    }
                }
                Action::Subscribe | Action::Unload { .. } => {}
            }
        }
    }

    /// Work has come to a worker; what schedulers send that know of its start counts.
    fn comes(&mut self, index: usize, worker: u64) {
        let (now, knows) = (self.now, self.ends[index].knows.get(&worker).copied());
        let b = self.boxes.get_mut(&worker).unwrap();
        if let Some(started) = b.started.filter(|started| knows == Some(*started)) {
            b.came.push(now);
            let window = Duration::millis(2_000);
            let from = now - window;
            let calls = b.came.iter().rev().take_while(|at| **at > from).count();
            // The budget of the window, as it grew.
            let steps = 20;
            let part = |n| part((from + window.times(f64::from(n) / f64::from(steps))) - started);
            let mean = (0..steps).map(part).sum::<f64>() / f64::from(steps);
            let budget = 3.0 * mean * CAPACITY * window.secs();
            let over = calls as f64 - budget - 2.0 * budget.sqrt() - 2.0;
            if over > self.worst.0 && now - started < Duration::millis(15_000) {
                self.worst = (over, calls, budget);
            }
        }
    }

    fn send(&mut self, index: usize, id: RequestId, worker: u64) {
        let end = &mut self.ends[index];
        let attempt = end.tries.entry(id).or_default();
        let number = *attempt;
        *attempt += 1;
        end.out.insert((id, number), (worker, self.now));
        self.comes(index, worker);
        self.boxes.get_mut(&worker).unwrap().queue.push_back((index, id, number));
        self.run(worker);
    }

    fn run(&mut self, worker: u64) {
        loop {
            let now = self.now;
            let b = self.boxes.get_mut(&worker).unwrap();
            let speed = b.started.map_or(1.0, |started| part(now - started));
            if b.running >= SLOTS {
                return;
            }
            let Some((index, id, number)) = b.queue.pop_front() else { return };
            b.running += 1;
            let work = self.draw(SLOTS as f64 / CAPACITY);
            self.at(now + work.times(1.0 / speed), Happens::Done(worker, index, id, number));
        }
    }

    fn outcome(&mut self, index: usize, id: RequestId, attempt: u16, since: Timestamp, status: Status) {
        self.give(
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

    fn surges(&self) -> bool {
        self.day.surge && self.now >= START + Duration::millis(6_000)
    }

    fn call(&mut self) {
        let total: f64 = self.weights.iter().sum();
        let mut at = self.unit() * total;
        let index = self.weights.iter().position(|weight| {
            at -= weight;
            at < 0.0
        });
        // Popularity falls off as its rank grows.
        let rank = (self.unit().powf(-1.0 / 0.35) as usize).min(FUNCTIONS) as u64;
        let hot = if self.surges() {
            0.33
        } else if self.day.hot {
            0.2
        } else {
            0.0
        };
        let function = if self.unit() < hot { 77 } else { rank };
        let class = ClassId(u16::from(self.unit() < 0.3));
        self.next += 1;
        let call = Request {
            id: RequestId(self.next),
            function: FunctionId(function),
            class,
            tenant: TenantId(0),
            remaining: Duration::millis(2_900),
            memory_mb: 400.0,
            concurrency: 2.0,
            load_time: None,
        };
        self.give(index.unwrap_or(0), Event::Request(call));
    }

    fn play(mut self) -> World {
        while let Some(Reverse((at, _, what))) = self.heap.pop() {
            if at > END {
                break;
            }
            self.now = at;
            match what {
                Happens::Call(goes_on) => {
                    if goes_on == 1 {
                        let more = match () {
                            () if self.surges() => 2.0,
                            () if self.day.burst && at >= START => 1.5,
                            () => 1.0,
                        };
                        let rate = self.day.load * more * CAPACITY * self.day.workers as f64;
                        let next = at + self.draw(1.0 / rate);
                        self.at(next, Happens::Call(1));
                    }
                    self.call();
                }
                Happens::Wake(index) => {
                    if self.ends[index].armed.is_some_and(|armed| armed <= at) {
                        self.ends[index].armed = None;
                        self.give(index, Event::Timeout);
                    }
                }
                Happens::Done(worker, index, id, number) => {
                    self.boxes.get_mut(&worker).unwrap().running -= 1;
                    self.run(worker);
                    if let Some((_, since)) = self.ends[index].out.remove(&(id, number)) {
                        self.served += 1;
                        self.outcome(index, id, number, since, Status::Ok);
                    }
                }
                Happens::Stands(worker, index, function) => {
                    let (instances, status, latency) = (1, Status::Ok, Duration::millis(600));
                    let worker = WorkerId(worker);
                    self.give(index, Event::Loaded(Loaded { worker, function, instances, status, latency }));
                }
                Happens::Alive(worker, index) => {
                    self.give(index, Event::Probed(WorkerId(worker), Status::Ok, vec![0.5]));
                }
                Happens::Starts(worker) => {
                    let b = self.boxes.get_mut(&worker).unwrap();
                    (b.started, b.came) = (Some(at), vec![]);
                    for index in 0..self.ends.len() {
                        let late = self.day.late * self.unit();
                        self.at(at + Duration::millis((late * 1000.0) as u64), Happens::Told(worker, index));
                    }
                }
                Happens::Told(worker, index) => {
                    let started = self.boxes[&worker].started;
                    self.ends[index].knows.extend(started.map(|started| (worker, started)));
                    self.give(index, Event::Members(ListKind::Delta, vec![member(worker, started)]));
                }
                Happens::Release => {
                    for index in 0..self.ends.len() {
                        self.ends[index] = self.front_end(index);
                        self.tell_all(index);
                    }
                }
            }
        }
        self
    }
}

/// Plays days of every kind with a fleet of this size. Beyond a budget of N, 2 sqrt(N) + 2 calls are chance.
fn within_the_budget(fleet: u32, seeds: u64) {
    let busy = Day { fleet, load: 0.62, burst: true, ..PLAIN };
    let days = [
        ("plain", Day { fleet, ..PLAIN }),
        ("nearly full", Day { fleet, load: 0.8, ..PLAIN }),
        ("overload", Day { fleet, load: 1.1, ..PLAIN }),
        ("burst", busy),
        ("uneven traffic", Day { uneven: true, ..busy }),
        ("hot function", Day { hot: true, ..busy }),
        ("a release", Day { restarts: true, ..busy }),
        ("workers start twice", Day { twice: true, ..busy }),
        ("starts are told late", Day { late: 4.0, ..busy }),
        ("a late surge", Day { surge: true, load: 0.4, burst: false, ..busy }),
        ("all have just started", Day { dawn: true, cold: 0, ..busy }),
        ("most are replaced", Day { cold: 14, within: 7.0, ..busy }),
        ("most are replaced and miss", Day { cold: 14, within: 7.0, on_miss: OnMiss::Miss, ..busy }),
    ];
    for (name, day) in days {
        for seed in 0..seeds {
            let world = World::new(Day { seed, ..day }).play();
            let (over, calls, budget) = world.worst;
            assert!(over <= 0.0, "{fleet}, {name}, seed {seed}: {calls} calls for a budget of {budget:.1}");
            // A bound that nothing comes near would be kept by sending nothing.
            let came: usize = world.boxes.values().map(|b| b.came.len()).sum();
            assert!(came >= 200, "{fleet}, {name}, seed {seed}: {came} calls in all");
        }
    }
}

#[test]
fn twenty_front_ends_keep_a_cold_workers_budget() {
    within_the_budget(20, 6);
}

#[test]
fn thirty_front_ends_keep_a_cold_workers_budget() {
    within_the_budget(30, 6);
}

#[test]
fn three_hundred_front_ends_keep_a_cold_workers_budget() {
    within_the_budget(300, 4);
}
