//! The laboratory: plays what the scheduler decides, in virtual time, and reports.

use clap::{Parser, Subcommand};
use lab::chains;
use lab::processes::{self, Plan};
use mintgate::Span;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Plays what mintgate decides in virtual time, and reports")]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
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
}

fn main() -> ExitCode {
    match Arguments::parse().what {
        What::Processes { processes, electors, faults, seconds, calm, seed, seeds, drift } => {
            let (length, calm) = (Span::millis(seconds * 1_000), Span::millis(calm * 1_000));
            let plan = Plan { processes, electors, faults, length, calm, drift, ..Plan::default() };
            return processes::report(&plan, seed..seed + seeds);
        }
        What::Chains { chains, seed, rates } => print!("{}", chains::report(chains, seed, &rates)),
    }
    ExitCode::SUCCESS
}
