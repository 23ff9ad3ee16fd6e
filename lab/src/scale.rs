//! Scale runs: the cost of the control plane per process, by the number of schedulers, workers, functions, changes and
//! regions.
//!
//! Hollow processes run the production state machines in virtual time, many in one process and without sockets; real
//! processes run on loopback at the same time and are measured by the operating system. Every row names which of the
//! two it is, and its set-up. Each part of a run has its own child process, so that memory left behind by one part is
//! not counted for another.
//!
//! Meaning of the figures:
//!
//! - hollow rows: bytes and messages are real datagrams of the production codec, counted by the simulated network; they
//!   are determined by the seed. Processor time is that of the state machines' own calls per process: their wall time,
//!   multiplied by the ratio of processor time to wall time of the simulating thread, so that the load of the machine
//!   has no effect. Memory is the growth of the resident memory per process;
//! - real rows: processor time from `/proc/PID/task/*/schedstat` (or `/proc/PID/stat`) over the seconds of the run,
//!   memory from `VmRSS`, start time from the spawn to the log line `serving`, and the stall of the serving thread as
//!   the longest round trip of a client that sends a readiness request to the clients' front every millisecond.

mod children;
mod configuration;
mod costs;
mod daemon;
mod distribution;
mod faults;
mod fit;
mod members;
mod module;
mod plan;
mod real;
mod real_domain;
mod real_fleet;
mod report;
mod series;
mod system;
mod tap;

pub use fit::{Fit, fit};
pub use plan::{Part, Plan, Setup};
pub use report::{OutputFile, Row, Rows};
pub use series::{Series, series};

use std::path::{Path, PathBuf};

/// Options of `lab scale`.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// A prepared series, which runs at several sizes along its axis; `--list` shows all.
    series: Option<String>,
    /// Lists the prepared series.
    #[arg(long)]
    list: bool,
    /// Hollow schedulers, in virtual time; 0 for none.
    #[arg(long, default_value_t = 500)]
    hollow: usize,
    /// Real schedulers on loopback; 0 for none.
    #[arg(long, default_value_t = 20)]
    real: usize,
    /// Workers on the list.
    #[arg(long, default_value_t = 1_000)]
    workers: usize,
    /// Functions that are called, in the decision module alone and at real schedulers; 0 for no calls.
    #[arg(long, default_value_t = 200)]
    functions: usize,
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Faults per second, over all hollow processes: kills followed by a restart, suspensions, partitions.
    #[arg(long, default_value_t = 0.0, value_name = "RATE")]
    faults: f64,
    /// Changes of the configuration per second; 0 for none.
    #[arg(long, default_value_t = plan::DEFAULT_CHANGES_PER_SECOND, value_name = "RATE")]
    changes: f64,
    /// Regions over which hollow processes are spread.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// The set-ups to run; all of them by default.
    #[arg(long, value_enum)]
    setup: Vec<Setup>,
    /// The program that real schedulers run; by default the daemon that this program was built with.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Writes the rows as JSON to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// The version named in the JSON; by default the value of MINTGATE_VERSION.
    #[arg(long, value_name = "TEXT")]
    version_name: Option<String>,
}

impl Options {
    fn plan(&self) -> Plan {
        let wanted = |part: &Part| self.setup.is_empty() || self.setup.contains(&part.setup());
        Plan {
            hollow: self.hollow,
            real: self.real,
            workers: self.workers,
            functions: self.functions,
            seconds: self.seconds,
            seed: self.seed,
            faults: self.faults,
            changes: self.changes,
            regions: self.regions,
            wanted: Part::ALL.into_iter().filter(wanted).collect(),
            program: self.program.clone(),
        }
    }
}

/// Runs the measurements selected by the options and prints them. Fails if the options are invalid or a part fails.
pub fn run(options: &Options) -> Result<(), String> {
    if options.list {
        for series in series() {
            println!("{:<12} {}", series.name, series.about);
        }
        return Ok(());
    }
    let base = options.plan();
    let points: Vec<(f64, Plan)> = match &options.series {
        None => vec![(0.0, base)],
        Some(name) => Series::find(name)?.points(&base),
    };
    for (_, plan) in &points {
        plan.check()?;
    }
    // An unwritable target is detected before anything runs.
    let target = options.json.as_deref().map(OutputFile::new).transpose()?;
    let load = system::load_average();
    let mut measured = vec![];
    for (n, (axis_value, plan)) in points.iter().enumerate() {
        let place = format!("{} of {}", n + 1, points.len());
        eprintln!("scale: point {place}: {}", plan.sizes());
        measured.extend(run_plan(plan)?.into_iter().map(|row| (*axis_value, row)));
    }
    let fits = if points.len() > 1 { fit::fits(&measured) } else { vec![] };
    print!("{}", report::table(&measured));
    for fit in &fits {
        println!("{fit}");
    }
    let info = report::RunInfo {
        command: command(),
        version: options.version(),
        seed: options.seed,
        series: options.series.clone(),
        program: options.program.as_deref().and_then(|path| path.file_name()).map_or_else(
            || "the daemon of this program".to_owned(),
            |name| name.to_string_lossy().into_owned(),
        ),
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        load: (load, system::load_average()),
    };
    let rows: Vec<Row> = measured.into_iter().map(|(_, row)| row).collect();
    target.map_or(Ok(()), |target| target.write(&info, &rows, &fits))
}

/// Runs all parts of a plan: those with hollow processes in sequence, and those with real ones in parallel to them.
fn run_plan(plan: &Plan) -> Result<Vec<Row>, String> {
    let (real, hollow): (Vec<Part>, Vec<Part>) = plan.parts().into_iter().partition(|part| part.is_real());
    let run_parts = |parts: Vec<Part>| -> Result<Vec<Row>, String> {
        let mut rows = vec![];
        for part in parts {
            eprintln!("scale: {part:?}");
            rows.extend(children::run(plan, part)?);
        }
        Ok(rows)
    };
    std::thread::scope(|scope| {
        let real = scope.spawn(|| run_parts(real));
        let hollow = run_parts(hollow);
        let real = real.join().unwrap_or_else(|_| Err("the real schedulers' rig has failed".to_owned()));
        Ok(hollow?.into_iter().chain(real?).collect())
    })
}

/// The command line, with file names instead of absolute paths, which are specific to this machine.
fn command() -> String {
    let name = |text: String| match Path::new(&text).file_name() {
        Some(name) if text.starts_with('/') => name.to_string_lossy().into_owned(),
        _ => text,
    };
    std::env::args().skip(1).map(name).collect::<Vec<_>>().join(" ")
}

impl Options {
    fn version(&self) -> String {
        let version = self.version_name.clone().or_else(|| std::env::var("MINTGATE_VERSION").ok());
        version.unwrap_or_else(|| "not told".to_owned())
    }
}

/// Runs one part of a plan in this process.
fn measure_part(part: Part, plan: &Plan) -> Result<Vec<Row>, String> {
    match part {
        Part::Module => Ok(module::run(plan)),
        Part::HollowMembers => members::run(plan),
        Part::HollowDistribution => distribution::run(plan),
        Part::RealAlone => real::run(plan),
        Part::RealMembers => real_fleet::run(plan),
        Part::RealDistribution => real_domain::run(plan),
    }
}

/// Runs one part in the child process that [`run`] starts for it: reads the plan and writes the rows as JSON.
pub fn run_part(part: Part) -> Result<(), String> {
    let plan = std::io::read_to_string(std::io::stdin()).map_err(|e| format!("cannot read the plan: {e}"))?;
    let plan: Plan = serde_json::from_str(&plan).map_err(|e| format!("cannot read the plan: {e}"))?;
    let rows = measure_part(part, &plan)?;
    println!("{}", serde_json::to_string(&rows).map_err(|e| e.to_string())?);
    Ok(())
}
