//! A soak test: real schedulers while faults of all kinds are drawn from a seed, two or three at a time, with the
//! audit's rules as oracle. The faults of a seed are written to a scenario file, which can be run again, and reduced
//! to those needed for a violation.

use crate::rig::environment;
use crate::rig::report::Report;
use crate::rig::scenario::{Fault, FaultKind, FaultTarget, Scenario};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Seconds without new faults at the start and at the end of a run.
const FAULT_FREE_SECONDS: (f64, f64) = (1.5, 4.0);
/// Seconds from one fault to the next; shorter than the mean duration of a fault, so that faults overlap.
const FAULT_INTERVAL_SECONDS: (f64, f64) = (0.3, 1.1);
/// Seconds that a fault lasts.
const FAULT_DURATION_SECONDS: (f64, f64) = (0.5, 3.0);

/// Options of a soak test.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, counted from the first one.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// Number of schedulers, each a process.
    #[arg(long, default_value_t = 12)]
    pub schedulers: usize,
    /// Number of workers.
    #[arg(long = "workers", alias = "run-boxes", default_value_t = 16)]
    pub workers: usize,
    /// Length of a run with calls, in seconds.
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// Calls per second, over all clients.
    #[arg(long, default_value_t = 150.0)]
    pub calls: f64,
    /// Only faults of these kinds, as scenario files name them.
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// Folder for the drawn scenarios and the schedulers' logs.
    #[arg(long, value_name = "FOLDER")]
    pub out: Option<PathBuf>,
    /// For a seed that fails, removes one fault after another as long as the run still fails.
    #[arg(long)]
    pub shrink: bool,
}

/// Results of all seeds.
#[derive(Default)]
struct Summary {
    seeds: u64,
    failed: Vec<u64>,
    /// By kind of fault: how many began, and how many were observed to take effect.
    effects: BTreeMap<String, [u64; 2]>,
    broken: BTreeMap<&'static str, u64>,
}

/// Runs all seeds; true if no rule was violated.
pub fn run(options: &Options, program: &Path) -> Result<bool, String> {
    let kinds = parse_kinds(&options.only)?;
    if let Some(folder) = &options.out {
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot create {}: {e}", folder.display()))?;
    }
    let mut summary = Summary::default();
    for seed in options.seed..options.seed + options.seeds {
        let scenario = draw_scenario(options, &kinds, seed);
        scenario.check()?;
        write_scenario(options, seed, "", &scenario)?;
        let report = run_seed(options, program, seed, &scenario)?;
        println!("{}", seed_line(&report));
        for broken in &report.broken {
            println!("  BROKEN {}: {}", broken.rule, broken.what);
        }
        if options.shrink && !report.broken.is_empty() {
            let reduced = shrink(options, program, seed, scenario)?;
            println!("  reduced to {} faults: {}", reduced.fault.len(), list_faults(&reduced));
            write_scenario(options, seed, "-least", &reduced)?;
        }
        summary.add(seed, &report);
    }
    println!("{}", summary.text(&kinds));
    Ok(summary.failed.is_empty())
}

fn parse_kinds(only: &[String]) -> Result<Vec<FaultKind>, String> {
    let read = |name: &String| {
        let text = format!("at = 0.0\nwhat = \"{name}\"");
        toml::from_str::<Fault>(&text)
            .map(|fault| fault.what)
            .map_err(|_| format!("no kind of fault is called {name}"))
    };
    match only {
        [] => Ok(FaultKind::ALL.to_vec()),
        names => names.iter().map(read).collect(),
    }
}

/// Draws the scenario of a seed; the same options and seed give the same faults.
fn draw_scenario(options: &Options, kinds: &[FaultKind], seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut scenario: Scenario = toml::from_str("about = \"faults of all kinds, drawn from a seed\"")
        .expect("all other keys have defaults");
    (scenario.schedulers, scenario.workers) = (options.schedulers, options.workers);
    (scenario.seconds, scenario.calls) = (options.seconds, options.calls);
    (scenario.faulty, scenario.fragile, scenario.fleet) = (true, 0.1, seed.is_multiple_of(2));
    // A short deadline makes SIGKILL follow SIGTERM early.
    scenario.allow_ms = [3_000, 450, 1_000][seed as usize % 3];
    scenario.grace_ms = [2_000, 500][seed as usize / 2 % 2];
    if scenario.allow_ms < 1_000 {
        (scenario.worker.work_ms, scenario.worker.load_ms) = (15.0, 60);
    }
    let mut at = FAULT_FREE_SECONDS.0;
    // Each kind is drawn once before any is drawn again.
    let mut remaining_kinds = vec![];
    while at < options.seconds - FAULT_FREE_SECONDS.1 {
        if remaining_kinds.is_empty() {
            remaining_kinds = kinds.to_vec();
        }
        let what = remaining_kinds.swap_remove(rng.random_range(0..remaining_kinds.len()));
        scenario.fault.push(draw_fault(what, (at * 1e3).round() / 1e3, &mut rng));
        at += rng.random_range(FAULT_INTERVAL_SECONDS.0..FAULT_INTERVAL_SECONDS.1);
    }
    scenario
}

fn draw_fault(what: FaultKind, at: f64, rng: &mut SmallRng) -> Fault {
    let mut fault: Fault = toml::from_str("at = 0.0\nwhat = \"kill\"").expect("the fault is valid");
    (fault.what, fault.at) = (what, at);
    fault.lasts =
        (rng.random_range(FAULT_DURATION_SECONDS.0..FAULT_DURATION_SECONDS.1) * 1e3_f64).round() / 1e3;
    fault.who = match rng.random_range(0..6) {
        0 | 1 => FaultTarget::Two,
        2 if !what.concerns_workers() => FaultTarget::Third,
        _ => FaultTarget::Any,
    };
    fault.much = match what {
        FaultKind::Loss | FaultKind::Repeat => 0.2,
        FaultKind::Delay => 100.0,
        FaultKind::StoreSlow => 4.0,
        FaultKind::Crowd => 2.5,
        FaultKind::WallClock => {
            fault.who = if rng.random_bool(0.5) { FaultTarget::All } else { fault.who };
            let steps = [-3_600.0, -7.0, -0.5, 0.5, 7.0, 3_600.0];
            steps[rng.random_range(0..steps.len())]
        }
        _ => 0.0,
    };
    if matches!(what, FaultKind::Cut | FaultKind::Loss | FaultKind::Delay) {
        fault.links = [crate::rig::scenario::LinkSet::Workers, crate::rig::scenario::LinkSet::Both]
            [rng.random_range(0..2)];
    }
    match what {
        // Schedulers treat discovery as dead after 2.5 s, and its events count as known after 7 s.
        FaultKind::BusSilent | FaultKind::BusCloses => fault.lasts += rng.random_range(3.0..14.0),
        // Some last longer than an outage of discovery.
        FaultKind::WorkerDrains => fault.lasts += rng.random_range(0.0..10.0),
        // SIGKILL follows SIGTERM after 3.7 s at the latest.
        FaultKind::TermKill => fault.lasts += 3.7,
        _ => {}
    }
    fault
}

fn run_seed(options: &Options, program: &Path, seed: u64, scenario: &Scenario) -> Result<Report, String> {
    let options = environment::Options {
        program: program.to_owned(),
        seed,
        progress: false,
        logs: options.out.clone(),
    };
    environment::run_scenario("soak", scenario.clone(), options)
}

/// Removes one fault after another, starting with the last, as long as some rule is still violated.
fn shrink(options: &Options, program: &Path, seed: u64, mut scenario: Scenario) -> Result<Scenario, String> {
    for place in (0..scenario.fault.len()).rev() {
        let mut fewer = scenario.clone();
        fewer.fault.remove(place);
        if !run_seed(options, program, seed, &fewer)?.broken.is_empty() {
            scenario = fewer;
        }
    }
    Ok(scenario)
}

fn write_scenario(options: &Options, seed: u64, suffix: &str, scenario: &Scenario) -> Result<(), String> {
    let Some(folder) = &options.out else { return Ok(()) };
    let path = folder.join(format!("soak-{seed}{suffix}.toml"));
    let text = toml::to_string(scenario).map_err(|e| e.to_string())?;
    std::fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}

fn list_faults(scenario: &Scenario) -> String {
    let one = |fault: &Fault| format!("{:?} at {:.1} s", fault.what, fault.at).to_lowercase();
    scenario.fault.iter().map(one).collect::<Vec<_>>().join(", ")
}

/// One line per seed: faults that began and took effect, calls by outcome, violated rules.
fn seed_line(report: &Report) -> String {
    let began: u64 = report.effects.values().map(|[began, _]| began).sum();
    let took_effect: u64 = report.effects.values().map(|[_, took_effect]| took_effect).sum();
    let sum = |of: fn(&crate::rig::report::Counts) -> u64| report.classes.values().map(of).sum::<u64>();
    format!(
        "seed {}: {began} faults ({took_effect} observed to take effect); calls {} = served {} + refused {} + failed {} + gone {} + lost {}; killed after SIGTERM {}; broken {}",
        report.seed,
        sum(|counts| counts.calls),
        sum(|counts| counts.served),
        sum(|counts| counts.refused),
        sum(|counts| counts.failed),
        sum(|counts| counts.gone),
        sum(|counts| counts.lost),
        report.killed_overdue,
        report.broken.len()
    )
}

impl Summary {
    fn add(&mut self, seed: u64, report: &Report) {
        self.seeds += 1;
        if !report.broken.is_empty() {
            self.failed.push(seed);
        }
        for (kind, [began, took_effect]) in &report.effects {
            let effect = self.effects.entry(kind.clone()).or_default();
            (effect[0], effect[1]) = (effect[0] + began, effect[1] + took_effect);
        }
        for broken in &report.broken {
            *self.broken.entry(broken.rule).or_default() += 1;
        }
    }

    fn text(&self, kinds: &[FaultKind]) -> String {
        let effects: Vec<String> = self
            .effects
            .iter()
            .map(|(kind, [began, took_effect])| format!("{kind} {began}/{took_effect}"))
            .collect();
        let had_no_effect = |what: &&FaultKind| {
            self.effects.get(&format!("{what:?}")).is_none_or(|[_, took_effect]| *took_effect == 0)
        };
        let without_effect: Vec<String> =
            kinds.iter().filter(had_no_effect).map(|what| format!("{what:?}")).collect();
        let broken: Vec<String> =
            self.broken.iter().map(|(rule, times)| format!("{rule}: {times}")).collect();
        let mut text = format!(
            "{} seeds, {} failed {:?}\nfaults, began/took effect: {}",
            self.seeds,
            self.failed.len(),
            self.failed,
            effects.join(", ")
        );
        if !without_effect.is_empty() {
            text += &format!("\nNEVER OBSERVED TO TAKE EFFECT: {}", without_effect.join(", "));
        }
        if !broken.is_empty() {
            text += &format!("\nviolated rules: {}", broken.join(", "));
        }
        text
    }
}

#[cfg(test)]
mod tests;
