//! A soak: real schedulers while troubles of all kinds are drawn from a seed, two or three at a time, with the rules as
//! oracle. The schedule of a seed is written down as a play, which can be played again, and cut down to what is needed for
//! it to fail.

use crate::rig::environment;
use crate::rig::report::Report;
use crate::rig::scenario::{Fault, Scenario, What, Who};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Seconds without new troubles at the start and at the end.
const CALM: (f64, f64) = (1.5, 4.0);
/// From one trouble to the next, in seconds: each lasts for longer on average.
const PAUSE: (f64, f64) = (0.3, 1.1);
const LASTS: (f64, f64) = (0.5, 3.0);

/// How a soak is played.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds, from that one on.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// Schedulers, each a process.
    #[arg(long, default_value_t = 12)]
    pub schedulers: usize,
    /// Workers.
    #[arg(long = "workers", alias = "run-boxes", default_value_t = 16)]
    pub workers: usize,
    /// Seconds with calls.
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// Calls a second, over all clients.
    #[arg(long, default_value_t = 150.0)]
    pub calls: f64,
    /// Only troubles of these kinds, as plays name them.
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// Where schedules go, as plays, and the logs of the schedulers.
    #[arg(long, value_name = "FOLDER")]
    pub out: Option<PathBuf>,
    /// Leaves out one trouble after another of a seed that fails, for as long as it goes on failing.
    #[arg(long)]
    pub shrink: bool,
}

/// What came of all seeds.
#[derive(Default)]
struct Tally {
    seeds: u64,
    failed: Vec<u64>,
    /// By kind: how often it came, and was seen to take effect.
    effects: BTreeMap<String, [u64; 2]>,
    broken: BTreeMap<&'static str, u64>,
}

/// Plays all seeds; whether no rule was broken.
pub fn run(options: &Options, program: &Path) -> Result<bool, String> {
    let kinds = kinds(&options.only)?;
    if let Some(folder) = &options.out {
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
    }
    let mut tally = Tally::default();
    for seed in options.seed..options.seed + options.seeds {
        let scenario = draw(options, &kinds, seed);
        scenario.check()?;
        write_down(options, seed, "", &scenario)?;
        let report = play(options, program, seed, &scenario)?;
        println!("{}", line(&report));
        for broken in &report.broken {
            println!("  BROKEN {}: {}", broken.rule, broken.what);
        }
        if options.shrink && !report.broken.is_empty() {
            let least = shrink(options, program, seed, scenario)?;
            println!("  {} troubles are left of it: {}", least.fault.len(), troubles(&least));
            write_down(options, seed, "-least", &least)?;
        }
        tally.add(seed, &report);
    }
    println!("{}", tally.text(&kinds));
    Ok(tally.failed.is_empty())
}

fn kinds(only: &[String]) -> Result<Vec<What>, String> {
    let read = |name: &String| {
        let text = format!("at = 0.0\nwhat = \"{name}\"");
        toml::from_str::<Fault>(&text)
            .map(|fault| fault.what)
            .map_err(|_| format!("no trouble is called {name}"))
    };
    match only {
        [] => Ok(What::ALL.to_vec()),
        names => names.iter().map(read).collect(),
    }
}

/// The play of a seed: the same troubles at the same times for the same options.
fn draw(options: &Options, kinds: &[What], seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut scenario: Scenario = toml::from_str("about = \"troubles of all kinds, as a seed draws them\"")
        .expect("all else has its usual value");
    (scenario.schedulers, scenario.workers) = (options.schedulers, options.workers);
    (scenario.seconds, scenario.calls) = (options.seconds, options.calls);
    (scenario.faulty, scenario.fragile, scenario.fleet) = (true, 0.1, seed.is_multiple_of(2));
    // Short deadlines bring SIGKILL soon after SIGTERM.
    scenario.allow_ms = [3_000, 450, 1_000][seed as usize % 3];
    scenario.grace_ms = [2_000, 500][seed as usize / 2 % 2];
    if scenario.allow_ms < 1_000 {
        (scenario.worker.work_ms, scenario.worker.load_ms) = (15.0, 60);
    }
    let mut at = CALM.0;
    // Each kind comes before any comes again.
    let mut left = vec![];
    while at < options.seconds - CALM.1 {
        if left.is_empty() {
            left = kinds.to_vec();
        }
        let what = left.swap_remove(rng.random_range(0..left.len()));
        scenario.fault.push(trouble(what, (at * 1e3).round() / 1e3, &mut rng));
        at += rng.random_range(PAUSE.0..PAUSE.1);
    }
    scenario
}

fn trouble(what: What, at: f64, rng: &mut SmallRng) -> Fault {
    let mut fault: Fault = toml::from_str("at = 0.0\nwhat = \"kill\"").expect("this is a fault");
    (fault.what, fault.at) = (what, at);
    fault.lasts = (rng.random_range(LASTS.0..LASTS.1) * 1e3_f64).round() / 1e3;
    fault.who = match rng.random_range(0..6) {
        0 | 1 => Who::Two,
        2 if !what.concerns_workers() => Who::Third,
        _ => Who::Any,
    };
    fault.much = match what {
        What::Loss | What::Repeat => 0.2,
        What::Delay => 100.0,
        What::StoreSlow => 4.0,
        What::Crowd => 2.5,
        What::WallClock => {
            fault.who = if rng.random_bool(0.5) { Who::All } else { fault.who };
            let steps = [-3_600.0, -7.0, -0.5, 0.5, 7.0, 3_600.0];
            steps[rng.random_range(0..steps.len())]
        }
        _ => 0.0,
    };
    if matches!(what, What::Cut | What::Loss | What::Delay) {
        fault.links =
            [crate::rig::scenario::Links::Workers, crate::rig::scenario::Links::Both][rng.random_range(0..2)];
    }
    match what {
        // The bus is held to be dead after 2.5 s, and what it has to tell counts as told after 7 s.
        What::BusSilent | What::BusCloses => fault.lasts += rng.random_range(3.0..14.0),
        // Some outlast an outage of the bus.
        What::WorkerDrains => fault.lasts += rng.random_range(0.0..10.0),
        // SIGKILL comes 3.7 s after SIGTERM at the latest.
        What::TermKill => fault.lasts += 3.7,
        _ => {}
    }
    fault
}

fn play(options: &Options, program: &Path, seed: u64, scenario: &Scenario) -> Result<Report, String> {
    let options = environment::Options {
        program: program.to_owned(),
        seed,
        progress: false,
        logs: options.out.clone(),
    };
    environment::play("soak", scenario.clone(), options)
}

/// Leaves out one trouble after another, from the last on, for as long as some rule is still broken.
fn shrink(options: &Options, program: &Path, seed: u64, mut scenario: Scenario) -> Result<Scenario, String> {
    for place in (0..scenario.fault.len()).rev() {
        let mut fewer = scenario.clone();
        fewer.fault.remove(place);
        if !play(options, program, seed, &fewer)?.broken.is_empty() {
            scenario = fewer;
        }
    }
    Ok(scenario)
}

fn write_down(options: &Options, seed: u64, suffix: &str, scenario: &Scenario) -> Result<(), String> {
    let Some(folder) = &options.out else { return Ok(()) };
    let path = folder.join(format!("soak-{seed}{suffix}.toml"));
    let text = toml::to_string(scenario).map_err(|e| e.to_string())?;
    std::fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}

fn troubles(scenario: &Scenario) -> String {
    let one = |fault: &Fault| format!("{:?} at {:.1} s", fault.what, fault.at).to_lowercase();
    scenario.fault.iter().map(one).collect::<Vec<_>>().join(", ")
}

/// One seed in a line: troubles that came and took effect, calls by their end, rules broken.
fn line(report: &Report) -> String {
    let came: u64 = report.effects.values().map(|[came, _]| came).sum();
    let took: u64 = report.effects.values().map(|[_, took]| took).sum();
    let sum = |of: fn(&crate::rig::report::Counts) -> u64| report.classes.values().map(of).sum::<u64>();
    format!(
        "seed {}: {came} troubles ({took} seen to take effect); calls {} = served {} + refused {} + failed {} + gone {} + lost {}; killed after SIGTERM {}; broken {}",
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

impl Tally {
    fn add(&mut self, seed: u64, report: &Report) {
        self.seeds += 1;
        if !report.broken.is_empty() {
            self.failed.push(seed);
        }
        for (kind, [came, took]) in &report.effects {
            let effect = self.effects.entry(kind.clone()).or_default();
            (effect[0], effect[1]) = (effect[0] + came, effect[1] + took);
        }
        for broken in &report.broken {
            *self.broken.entry(broken.rule).or_default() += 1;
        }
    }

    fn text(&self, kinds: &[What]) -> String {
        let effects: Vec<String> =
            self.effects.iter().map(|(kind, [came, took])| format!("{kind} {came}/{took}")).collect();
        let without =
            |what: &&What| self.effects.get(&format!("{what:?}")).is_none_or(|[_, took]| *took == 0);
        let never: Vec<String> = kinds.iter().filter(without).map(|what| format!("{what:?}")).collect();
        let broken: Vec<String> =
            self.broken.iter().map(|(rule, times)| format!("{rule}: {times}")).collect();
        let mut text = format!(
            "{} seeds, {} failed {:?}\ntroubles, came/took effect: {}",
            self.seeds,
            self.failed.len(),
            self.failed,
            effects.join(", ")
        );
        if !never.is_empty() {
            text += &format!("\nNEVER SEEN TO TAKE EFFECT: {}", never.join(", "));
        }
        if !broken.is_empty() {
            text += &format!("\nbroken rules: {}", broken.join(", "));
        }
        text
    }
}

#[cfg(test)]
mod tests;
