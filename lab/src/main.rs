//! The laboratory: plays what the scheduler decides, in virtual time and with real processes, and reports.
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
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Real schedulers with stand-ins for all that is round them, while links and processes fail; fails where a
    /// rule is broken.
    Rehearse {
        /// A play that comes with it, or a file; without one a short day of three schedulers with one crash.
        name: Option<String>,
        /// Decides all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, from that one on.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Plays without `[fleet]`, to compare.
        #[arg(long)]
        alone: bool,
        /// Plays without agreeing on what is shed, to compare.
        #[arg(long)]
        unshed: bool,
        /// Where the figures go as JSON, a line for each seed.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Where the plot of the last seed goes, as an SVG.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
        /// Where the logs of the schedulers go.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
        /// The program that runs schedulers, as `FILE scheduler ...`, to play versions together; without it this one.
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// Lists the plays.
        #[arg(long)]
        list: bool,
    },
    /// Writes the tables of `docs/CAPACITY.md` from targets, assumptions and recorded runs.
    Capacity {
        /// Writes nothing, and fails where page and data differ.
        #[arg(long)]
        check: bool,
        /// The repository.
        #[arg(long, value_name = "FOLDER", default_value = ".")]
        root: PathBuf,
    },
    /// Chains under one deadline, against the same steps as separate calls and against estimates without loads.
    Chains {
        /// Chains to play at each load.
        #[arg(long, default_value_t = 3000)]
        chains: usize,
        /// Decides all that is drawn.
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Chains a second, one table row each.
        #[arg(long, value_delimiter = ',', default_values_t = [5.0, 15.0, 25.0])]
        rates: Vec<f64>,
    },
    /// Processes of a fleet in virtual time, through faults that seeds draw; fails where a rule is broken.
    Processes {
        /// Processes of the fleet.
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// Those of them that grant leases.
        #[arg(long, default_value_t = 3)]
        electors: usize,
        /// Faults a second.
        #[arg(long, default_value_t = 0.5)]
        faults: f64,
        /// Seconds with faults.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Seconds of calm after them.
        #[arg(long, default_value_t = 20)]
        calm: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// Clocks that are off by so many times what processes are told.
        #[arg(long, default_value_t = 1.0)]
        drift: f64,
    },
    /// What control costs each process, by the number of schedulers, workers, functions, changes and regions: hollow
    /// processes in virtual time, and real ones on loopback.
    Scale(scale::Options),
    /// One part of a scale run; its plan comes in as JSON.
    #[command(hide = true)]
    ScalePart {
        /// Which part.
        part: scale::Part,
    },
    /// Real schedulers while troubles of all kinds are drawn from seeds, two or three at a time; fails where a rule is
    /// broken.
    Soak(soak::Options),
    /// One scheduler of a rehearsal.
    #[command(hide = true)]
    Scheduler {
        /// Writes what becomes of each call too.
        #[arg(long)]
        trace: bool,
        /// The operator's file.
        #[arg(long)]
        operator: PathBuf,
    },
}

fn main() -> ExitCode {
    let done = match Arguments::parse().what {
        What::Processes { processes, electors, faults, seconds, calm, seed, seeds, drift } => {
            let (length, calm) = (Duration::millis(seconds * 1_000), Duration::millis(calm * 1_000));
            let plan = Plan { processes, electors, faults, length, calm, drift, ..Plan::default() };
            return processes::report(&plan, seed..seed + seeds);
        }
        What::Capacity { check, root } => capacity::run(&root, check).map(|()| true),
        What::Chains { chains, seed, rates } => {
            print!("{}", chains::report(chains, seed, &rates));
            Ok(true)
        }
        What::Rehearse { list: true, .. } => list(),
        What::Rehearse { name, seed, seeds, alone, unshed, json, plot, logs, program, .. } => {
            // Who names nothing wants to see what it is like.
            let sight = std::env::temp_dir().join("mintgate-short-day.svg");
            let plot = plot.or(name.is_none().then_some(sight));
            let name = name.unwrap_or_else(|| "short-day".to_owned());
            rehearse(&name, seed..seed + seeds, (alone, unshed), json, plot, logs, program)
        }
        What::Soak(options) => std::env::current_exe()
            .map_err(|e| format!("cannot find this program: {e}"))
            .and_then(|program| soak::run(&options, &program)),
        What::Scale(options) => scale::run(&options).map(|()| true),
        What::ScalePart { part } => scale::run_part(part).map(|()| true),
        What::Scheduler { trace, operator } => serve(operator, trace).map(|()| true),
    };
    match done {
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
        .map_err(|e| format!("cannot find this program: {e}"))?;
    let (mut well, mut lines) = (true, String::new());
    for seed in seeds {
        let options = Options { program: program.clone(), seed, progress: true, logs: logs.clone() };
        let report = environment::play(name, scenario.clone(), options)?;
        well &= report.broken.is_empty();
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
    Ok(well)
}

fn serve(operator: PathBuf, trace: bool) -> Result<(), String> {
    mintgate::log::start(mintgate::log::Form::Lines, trace);
    Sources::from_env(Some(operator)).map_err(String::from).and_then(mintgate::daemon::start)
}
