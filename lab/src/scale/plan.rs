//! The plan of a run: its sizes, their bounds, and its parts.

use super::system;
use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Default changes per second: 67,000 a day.
pub const DEFAULT_CHANGES_PER_SECOND: f64 = 0.78;
/// Zones over which workers and schedulers are distributed.
pub const ZONE_COUNT: usize = 20;
/// Maximum hollow members of one fleet. Each member stores all others and iterates over them for each gossip update, so
/// that the cost of starting a fleet grows with the cube of its size.
pub const MAX_MEMBERS: usize = 300;
/// Maximum workers on the list of real members of one fleet: the holder of the probing task probes each of them every
/// second, which is not a cost of the control plane.
pub const MAX_PROBED: usize = 100;
/// Replicas of a domain of hollow schedulers: their log tolerates the loss of two.
pub const HOLLOW_REPLICAS: usize = 5;
/// Relays of a domain of hollow schedulers: at 6,000 schedulers each has as many children as 21 relays have at 18,000.
/// With the five replicas, those are the 26 machines reserved for control.
pub const HOLLOW_RELAYS: usize = 7;
/// Replicas of a domain of real schedulers.
pub const REAL_REPLICAS: usize = 3;
/// Relays of a domain of real schedulers.
pub const REAL_RELAYS: usize = 2;
/// Real schedulers at which functions are called.
pub const CALLED_SCHEDULERS: usize = 3;
/// Bounds of the sizes.
const MAX_REAL: usize = 300;
const MAX_HOLLOW: usize = 20_000;
const MAX_WORKERS: usize = 200_000;
const MAX_FUNCTIONS: usize = 10_000;
const MAX_SECONDS: u64 = 3_600;
const MAX_RATE: f64 = 100.0;
const MAX_REGIONS: usize = 20;
/// Maximum memory of one real scheduler: bytes per worker (the list, and copies of the file during a reload), and base.
const REAL_SCHEDULER_BYTES: (usize, usize) = (3_000, 16 << 20);
/// Memory of the module per function and worker, in the design that keeps a complete ranking for each function.
const RANKING_ENTRY_BYTES: usize = 16;
/// Maximum memory of one hollow process: bytes per member that it knows, and base.
const HOLLOW_PROCESS_BYTES: (usize, usize) = (600, 64 << 10);

/// Maximum memory of one record at one hollow process of a domain.
const RECORD_BYTES: usize = 600;

/// How schedulers are set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Setup {
    /// Standalone, with the complete configuration in a file that is reloaded for each change.
    Alone,
    /// Each is a member of one fleet.
    Members,
    /// Each is a subscriber of a distribution domain.
    Distribution,
}

impl Setup {
    /// The name in rows.
    pub fn name(self) -> &'static str {
        match self {
            Setup::Alone => "alone",
            Setup::Members => "members",
            Setup::Distribution => "distribution",
        }
    }
}

/// A part of a run, which runs in its own process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
pub enum Part {
    /// The decision module without sockets.
    Module,
    /// Hollow members of a fleet.
    HollowMembers,
    /// Hollow processes of a distribution domain.
    HollowDistribution,
    /// Standalone real schedulers.
    RealAlone,
    /// Real members of a fleet.
    RealMembers,
    /// Real processes of a distribution domain.
    RealDistribution,
}

impl Part {
    /// All parts, in the order in which they run.
    pub const ALL: [Part; 6] = [
        Part::Module,
        Part::HollowMembers,
        Part::HollowDistribution,
        Part::RealAlone,
        Part::RealMembers,
        Part::RealDistribution,
    ];

    /// How schedulers are set up in this part.
    pub fn setup(self) -> Setup {
        match self {
            Part::Module | Part::RealAlone => Setup::Alone,
            Part::HollowMembers | Part::RealMembers => Setup::Members,
            Part::HollowDistribution | Part::RealDistribution => Setup::Distribution,
        }
    }

    /// Whether this part runs real schedulers.
    pub fn is_real(self) -> bool {
        matches!(self, Part::RealAlone | Part::RealMembers | Part::RealDistribution)
    }
}

/// Sizes and parts of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Hollow schedulers.
    pub hollow: usize,
    /// Real schedulers.
    pub real: usize,
    /// Workers on the list.
    pub workers: usize,
    /// Number of functions called.
    pub functions: usize,
    /// Duration of each measurement in seconds.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Faults per second.
    pub faults: f64,
    /// Changes per second.
    pub changes: f64,
    /// Regions.
    pub regions: usize,
    /// Selected parts; those that the sizes don't allow are skipped.
    pub wanted: Vec<Part>,
    /// The program of real schedulers.
    pub program: Option<PathBuf>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            hollow: 0,
            real: 0,
            workers: 1_000,
            functions: 0,
            seconds: 10,
            seed: 1,
            faults: 0.0,
            changes: DEFAULT_CHANGES_PER_SECOND,
            regions: 1,
            wanted: Part::ALL.to_vec(),
            program: None,
        }
    }
}

impl Plan {
    /// The parts that run, in order.
    pub fn parts(&self) -> Vec<Part> {
        let possible = |part: &Part| match part {
            Part::Module => self.functions > 0,
            Part::HollowMembers | Part::HollowDistribution => self.hollow > 0,
            Part::RealAlone | Part::RealDistribution => self.real > 0,
            // The smallest fleet has three electors.
            Part::RealMembers => self.real >= 3,
        };
        Part::ALL.into_iter().filter(|part| self.wanted.contains(part) && possible(part)).collect()
    }

    /// Members of the fleet of hollow schedulers.
    pub fn members(&self) -> usize {
        self.hollow.min(MAX_MEMBERS)
    }

    /// The sizes, for a line of progress.
    pub fn sizes(&self) -> String {
        format!(
            "hollow {} real {} workers {} functions {} changes {} regions {} seconds {}",
            self.hollow, self.real, self.workers, self.functions, self.changes, self.regions, self.seconds
        )
    }

    /// Checks the sizes against their bounds and this machine's memory.
    pub fn check(&self) -> Result<(), String> {
        let counts = [
            ("--hollow", self.hollow, 0, MAX_HOLLOW),
            ("--real", self.real, 0, MAX_REAL),
            ("--workers", self.workers, 1, MAX_WORKERS),
            ("--functions", self.functions, 0, MAX_FUNCTIONS),
            ("--seconds", self.seconds as usize, 1, MAX_SECONDS as usize),
            ("--regions", self.regions, 1, MAX_REGIONS),
        ];
        for (name, value, min, max) in counts {
            if !(min..=max).contains(&value) {
                return Err(format!("{name} {value} is not between {min} and {max}"));
            }
        }
        for (name, rate) in [("--faults", self.faults), ("--changes", self.changes)] {
            if !(0.0..=MAX_RATE).contains(&rate) {
                return Err(format!("{name} {rate} is not between 0 and {MAX_RATE}"));
            }
        }
        if self.parts().is_empty() {
            return Err(
                "nothing to run: --hollow, --real and --functions are all 0 for this set-up".to_owned()
            );
        }
        if let Some(program) = self.program.as_ref().filter(|program| !program.is_file()) {
            return Err(format!("--program {}: there is no such file", program.display()));
        }
        let (needed, total) = (self.memory(), system::memory());
        if needed > total / 2 {
            return Err(format!(
                "these sizes need some {} MB, and half of this machine's memory is {} MB",
                needed >> 20,
                (total / 2) >> 20
            ));
        }
        Ok(())
    }

    /// Memory of a domain in which schedulers hold the records of one zone each and control processes hold all, plus
    /// the same domain without schedulers, the source and the audit.
    fn domain_bytes(&self) -> usize {
        let control = (HOLLOW_REPLICAS + HOLLOW_RELAYS) * 2 + 4;
        let records = self.hollow * self.workers.div_ceil(ZONE_COUNT) + control * self.workers;
        records * RECORD_BYTES + self.hollow * HOLLOW_PROCESS_BYTES.1
    }

    /// Maximum memory in bytes of the largest part, from measurements of each kind of process.
    pub fn memory(&self) -> usize {
        let rankings = self.workers * self.functions * RANKING_ENTRY_BYTES;
        let each = |part: Part| match part {
            Part::Module => rankings,
            Part::HollowMembers => {
                self.members() * (HOLLOW_PROCESS_BYTES.0 * self.members() + HOLLOW_PROCESS_BYTES.1)
            }
            Part::HollowDistribution => self.domain_bytes(),
            Part::RealAlone => {
                // Functions are called at a few of the schedulers only.
                self.real * (self.workers * REAL_SCHEDULER_BYTES.0 + REAL_SCHEDULER_BYTES.1)
                    + CALLED_SCHEDULERS * rankings
            }
            Part::RealMembers => self.real * REAL_SCHEDULER_BYTES.1,
            Part::RealDistribution => {
                let all = self.real + REAL_REPLICAS + REAL_RELAYS;
                all * (self.workers * REAL_SCHEDULER_BYTES.0 + REAL_SCHEDULER_BYTES.1)
            }
        };
        self.parts().into_iter().map(each).max().unwrap_or(0)
    }
}
