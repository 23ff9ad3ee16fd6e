//! The laboratory: plays what the scheduler decides, in virtual time, and reports.

mod chains;
mod fleet;

use clap::{Parser, Subcommand};

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
}

fn main() {
    match Arguments::parse().what {
        What::Chains { chains, seed, rates } => print!("{}", chains::report(chains, seed, &rates)),
    }
}
