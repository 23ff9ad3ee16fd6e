//! The lab's command line: runs the scheduler's decisions in virtual time and with real processes, and reports the
//! results.
#![allow(clippy::needless_pass_by_value, reason = "subcommands own their options")]

use clap::{Parser, Subcommand};
use lab::capacity;
use lab::chains;
use lab::processes::{self, Plan};
use lab::rig::environment::{self, Options};
use lab::rig::scenario::{self, Scenario};
use lab::scale;
use lab::soak;
use mintgate::Duration;
use mintgate::config::Sources;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Plays what mintgate decides, in virtual time and with real processes, and reports")]
struct Arguments {
    #[command(subcommand)]
    what: LabCommand,
}

#[derive(Subcommand)]
enum LabCommand {
    /// Runs a scenario with real schedulers and stand-ins for everything around them, while links and processes fail;
    /// fails if a rule is violated.
    Rehearse {
        /// A built-in scenario or a file; by default a short day of three schedulers with one crash.
        name: Option<String>,
        /// Seed of all random decisions.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds, counted from the first one.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Runs without `[fleet]`, for comparison.
        #[arg(long)]
        alone: bool,
        /// Runs without agreed load shedding, for comparison.
        #[arg(long)]
        unshed: bool,
        /// File for the results as JSON, one line per seed.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// File for the plot of the last seed, as an SVG.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
        /// Folder for the schedulers' logs.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
        /// The program that runs schedulers, as `FILE scheduler ...`, for tests across versions; by default this
        /// program.
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// Lists the built-in scenarios.
        #[arg(long)]
        list: bool,
    },
    /// Writes the tables of `docs/CAPACITY.md` from targets, assumptions and recorded runs.
    Capacity {
        /// Writes nothing, and fails if the page differs from the data.
        #[arg(long)]
        check: bool,
        /// The repository's root.
        #[arg(long, value_name = "FOLDER", default_value = ".")]
        root: PathBuf,
    },
    /// Compares chains under one deadline with the same steps as separate calls, and with estimates that ignore
    /// loads.
    Chains {
        /// Number of chains at each rate.
        #[arg(long, default_value_t = 3000)]
        chains: usize,
        /// Seed of all random decisions.
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Chains per second, one table row each.
        #[arg(long, value_delimiter = ',', default_values_t = [5.0, 15.0, 25.0])]
        rates: Vec<f64>,
    },
    /// Runs processes of a fleet in virtual time with faults drawn from seeds; fails if a rule is violated.
    Processes {
        /// Number of processes in the fleet.
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// Number of processes that grant leases.
        #[arg(long, default_value_t = 3)]
        electors: usize,
        /// Faults per second.
        #[arg(long, default_value_t = 0.5)]
        faults: f64,
        /// Seconds with faults.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Seconds without faults after them.
        #[arg(long, default_value_t = 20)]
        calm: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// Clock drift, as a multiple of the drift that the processes are configured for.
        #[arg(long, default_value_t = 1.0)]
        drift: f64,
    },
    /// Measures the control traffic and work of each process by the number of schedulers, workers, functions, changes
    /// and regions: with hollow processes in virtual time and real ones on loopback.
    Scale(scale::Options),
    /// Runs one part of a scale run; its plan is read as JSON.
    #[command(hide = true)]
    ScalePart {
        /// The part.
        part: scale::Part,
    },
    /// Runs real schedulers while faults of all kinds are drawn from seeds, two or three at a time; fails if a rule
    /// is violated.
    Soak(soak::Options),
    /// Runs one scheduler of a rehearsal.
    #[command(hide = true)]
    Scheduler {
        /// Also logs the progress of each call.
        #[arg(long)]
        trace: bool,
        /// The operator's file.
        #[arg(long)]
        operator: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match Arguments::parse().what {
        LabCommand::Processes { processes, electors, faults, seconds, calm, seed, seeds, drift } => {
            let (length, calm) = (Duration::millis(seconds * 1_000), Duration::millis(calm * 1_000));
            let plan = Plan { processes, electors, faults, length, calm, drift, ..Plan::default() };
            return processes::report(&plan, seed..seed + seeds);
        }
        LabCommand::Capacity { check, root } => capacity::run(&root, check).map(|()| true),
        LabCommand::Chains { chains, seed, rates } => {
            print!("{}", chains::report(chains, seed, &rates));
            Ok(true)
        }
        LabCommand::Rehearse { list: true, .. } => list(),
        LabCommand::Rehearse { name, seed, seeds, alone, unshed, json, plot, logs, program, .. } => {
            // Without a scenario's name, the default one is run and plotted as a demonstration.
            let demo_plot = std::env::temp_dir().join("mintgate-short-day.svg");
            let plot = plot.or(name.is_none().then_some(demo_plot));
            let name = name.unwrap_or_else(|| "short-day".to_owned());
            rehearse(&name, seed..seed + seeds, (alone, unshed), json, plot, logs, program)
        }
        LabCommand::Soak(options) => std::env::current_exe()
            .map_err(|e| format!("cannot determine the path of this program: {e}"))
            .and_then(|program| soak::run(&options, &program)),
        LabCommand::Scale(options) => scale::run(&options).map(|()| true),
        LabCommand::ScalePart { part } => scale::run_part(part).map(|()| true),
        LabCommand::Scheduler { trace, operator } => serve(operator, trace).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn list() -> Result<bool, String> {
    for name in scenario::names() {
        println!("{name:<20} {}", Scenario::find(name)?.about);
    }
    Ok(true)
}

fn rehearse(
    name: &str,
    seeds: std::ops::Range<u64>,
    (alone, unshed): (bool, bool),
    json: Option<PathBuf>,
    plot: Option<PathBuf>,
    logs: Option<PathBuf>,
    program: Option<PathBuf>,
) -> Result<bool, String> {
    let mut scenario = Scenario::find(name)?;
    scenario.fleet &= !alone;
    scenario.shed &= !unshed;
    let program = program
        .map_or_else(std::env::current_exe, Ok)
        .map_err(|e| format!("cannot determine the path of this program: {e}"))?;
    let (mut success, mut lines) = (true, String::new());
    for seed in seeds {
        let options = Options { program: program.clone(), seed, progress: true, logs: logs.clone() };
        let report = environment::run_scenario(name, scenario.clone(), options)?;
        success &= report.broken.is_empty();
        println!("{}", report.table());
        lines.push_str(&serde_json::to_string(&report).map_err(|e| e.to_string())?);
        lines.push('\n');
        if let Some(path) = &plot {
            report.plot(path)?;
            println!("plot: {}", path.display());
        }
    }
    if let Some(path) = json {
        std::fs::write(&path, lines).map_err(|e| format!("cannot write {}: {e}", path.display()))?;
    }
    Ok(success)
}

fn serve(operator: PathBuf, trace: bool) -> Result<(), String> {
    mintgate::log::start(mintgate::log::Form::Lines, trace);
    Sources::from_env(Some(operator)).map_err(String::from).and_then(mintgate::daemon::start)
}
