//! The decision module alone: the cost of first and further calls of functions by the number of workers, and the cost
//! of its periodic walk over all workers.

use super::configuration::Configuration;
use super::report::quantile;
use super::{Plan, Row, Rows, Setup, system};
use mintgate::core::{Core, IncomingRequest, Owner};
use mintgate::{Duration, FunctionId, ListKind, Timestamp, config};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

/// All first calls are made within this time, as functions without a call are forgotten after ten seconds.
const FIRST_CALLS_WINDOW: Duration = Duration::millis(6_000);
/// Minimum number of functions, so that means are significant.
const MIN_FUNCTIONS: usize = 200;
/// For the memory that a function keeps: functions called per step, their maximum before and during the measurement,
/// and the interval of the calls, which is short enough that none is forgotten meanwhile.
const FUNCTIONS_PER_STEP: usize = 50;
const MAX_FUNCTIONS: usize = 15_000;
const CALL_INTERVAL: Duration = Duration(200_000);
/// Growth in bytes after which the process has used up its free memory, and further growth that is large enough to
/// measure.
const FREE_MEMORY_BYTES: usize = 4 << 20;
const MEASURED_GROWTH_BYTES: usize = 32 << 20;

/// Interval of the module's walks over all workers.
const WALK_INTERVAL: Duration = Duration::millis(200);
/// Number of walks: a function must be called often during three rankings before instances are held for it.
const GOLD_WALKS: usize = 40;
/// Memory of an instance that is too large to be held at all workers, and of one that is not.
const LARGE_MB: f64 = 1_024.0;
const SMALL_MB: f64 = 64.0;

/// Runs the measurements of the decision module.
pub fn run(plan: &Plan) -> Vec<Row> {
    let functions = plan.functions.max(MIN_FUNCTIONS);
    let mut rows = Rows::new(plan, "hollow", Setup::Alone);
    rows.template().functions = functions;
    let mut core = core_with_workers(plan);
    let bytes_per_function = CoreDriver::new(&mut core).bytes_per_function();
    let mut core = core_with_workers(plan);
    let mut driver = CoreDriver::new(&mut core);
    driver.advance(Duration::millis(3_000));
    let step = Duration(FIRST_CALLS_WINDOW.0 / functions as u64);
    let mut first: Vec<f64> = (0..functions).map(|n| driver.call(n as u64, step, LARGE_MB)).collect();
    let mut further: Vec<f64> =
        (0..functions).map(|n| driver.call(n as u64, Duration(step.0 / 4), LARGE_MB)).collect();
    let mut walks: Vec<f64> = (0..20).map(|_| driver.advance(WALK_INTERVAL)).collect();
    let gold = driver.gold_walk();
    for times in [&mut first, &mut further, &mut walks] {
        times.sort_by(f64::total_cmp);
    }
    let mean = |times: &[f64]| times.iter().sum::<f64>() / times.len().max(1) as f64;
    rows.add("scheduler", "first_call_ms", "ms", mean(&first) * 1e3);
    rows.add("scheduler", "first_call_ms_p99", "ms", quantile(&first, 0.99).unwrap_or(0.0) * 1e3);
    rows.add("scheduler", "further_call_us", "us", mean(&further) * 1e6);
    rows.add("scheduler", "further_call_us_p99", "us", quantile(&further, 0.99).unwrap_or(0.0) * 1e6);
    rows.add("scheduler", "kept_bytes_per_function", "B", bytes_per_function);
    rows.add("scheduler", "walk_ms", "ms", quantile(&walks, 0.5).unwrap_or(0.0) * 1e3);
    rows.add("scheduler", "gold_walk_ms", "ms", gold * 1e3);
    rows.rows
}

/// A core that has the list of workers.
fn core_with_workers(plan: &Plan) -> Core {
    let text = Configuration::new(plan.workers, SocketAddr::from((Ipv4Addr::LOCALHOST, 9))).text();
    // A configuration generated here is always readable.
    let read = config::read(&text).unwrap_or_else(|why| panic!("generated configuration: {why}"));
    let mut core = Core::new(read.site, plan.seed);
    for event in read.known_events {
        let members = event.entries.iter().map(|entry| entry.member).collect();
        core.members(Timestamp(1_000_000_000), ListKind::Full, members);
    }
    core
}

struct CoreDriver<'a> {
    core: &'a mut Core,
    now: Timestamp,
    calls: u64,
}

impl CoreDriver<'_> {
    fn new(core: &mut Core) -> CoreDriver<'_> {
        CoreDriver { core, now: Timestamp(10_000_000_000), calls: 0 }
    }

    /// Bytes that a function keeps allocated, by the growth of this process's memory.
    fn bytes_per_function(&mut self) -> f64 {
        let mut called = 0;
        let mut grow = |min_growth: usize| {
            let (before, first) = (system::resident_bytes(std::process::id()).unwrap_or(0), called);
            while system::growth_per_process(before, 1) < min_growth as f64 && called - first < MAX_FUNCTIONS
            {
                for function in called..called + FUNCTIONS_PER_STEP {
                    self.call(function as u64, CALL_INTERVAL, LARGE_MB);
                }
                called += FUNCTIONS_PER_STEP;
            }
            system::growth_per_process(before, called - first)
        };
        grow(FREE_MEMORY_BYTES);
        grow(MEASURED_GROWTH_BYTES)
    }

    /// Advances time and returns the seconds that the module spent in timeouts.
    fn advance(&mut self, span: Duration) -> f64 {
        let end = self.now + span;
        let mut seconds = 0.0;
        while let Some(due) = self.core.next_timeout().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            let started_at = Instant::now();
            self.core.on_timeout(self.now);
            seconds += started_at.elapsed().as_secs_f64();
            self.discard_commands();
        }
        self.now = end;
        seconds
    }

    /// The longest walk over all workers while one function is called so often that an instance is held at all of them,
    /// during the time in which the first instances are requested. No worker answers.
    fn gold_walk(&mut self) -> f64 {
        let usual_seconds = (0..5).map(|_| self.advance(WALK_INTERVAL)).fold(0.0, f64::max);
        let mut longest = 0.0f64;
        for _ in 0..GOLD_WALKS {
            self.call(u64::MAX, Duration(0), SMALL_MB);
            longest = longest.max(self.advance(WALK_INTERVAL));
            // One such walk may take as long as a whole run, so that a single long one suffices.
            if longest > usual_seconds * 10.0 && longest > 1.0 {
                break;
            }
        }
        longest
    }

    fn discard_commands(&mut self) {
        while self.core.next_command().is_some() {}
    }

    /// Submits one call of a function after a pause and returns the seconds that it took. The client disconnects at
    /// once, so that no answer of a worker is needed and calls do not accumulate.
    fn call(&mut self, function: u64, pause: Duration, memory_mb: f64) -> f64 {
        self.advance(pause);
        self.calls += 1;
        let owner = Owner { connection: 1, stream: self.calls };
        let call = IncomingRequest {
            owner,
            reference: format!("{:016x}", self.calls),
            class: "practice-check".to_owned(),
            function: FunctionId(function.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            key: None,
            memory_mb,
            concurrency: 2.0,
            load_time: None,
            deadline: self.now + Duration::millis(2_000),
            body: vec![],
        };
        let started_at = Instant::now();
        self.core.submit(self.now, call);
        let seconds = started_at.elapsed().as_secs_f64();
        self.discard_commands();
        self.core.withdraw(self.now, owner);
        self.discard_commands();
        seconds
    }
}
