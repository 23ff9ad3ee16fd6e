//! Scenarios: TOML files; what they leave open is drawn from a seed.

use super::worker::Kind;
use super::{MILLISECOND, Moment};
use rand::RngExt;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// A scenario as its file describes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario shows.
    pub about: String,
    /// Number of schedulers.
    #[serde(default = "three")]
    pub schedulers: usize,
    /// Number of workers.
    #[serde(default = "twelve", rename = "run_boxes")]
    pub workers: usize,
    /// Length of the run with calls, in seconds.
    #[serde(default = "twenty")]
    pub seconds: f64,
    /// Calls per second, over all clients.
    #[serde(default = "hundred")]
    pub calls: f64,
    /// Number of functions that are called, with a Zipf distribution of popularity.
    #[serde(default = "forty")]
    pub functions: usize,
    /// Whether the schedulers form one fleet.
    #[serde(default = "yes")]
    pub fleet: bool,
    /// Whether system calls of the schedulers can be made to fail, and their wall clocks stepped.
    #[serde(default)]
    pub faulty: bool,
    /// Fraction of the calls that must not run twice under any circumstances.
    #[serde(default)]
    pub fragile: f64,
    /// Whether the fleet agrees on load shedding under overload.
    #[serde(default)]
    pub shed: bool,
    /// How long clients wait, and the deadline of all classes, in milliseconds.
    #[serde(default = "allow")]
    pub allow_ms: u64,
    /// How long a worker may still be sent new requests after its drain is known, in milliseconds.
    #[serde(default = "grace")]
    pub grace_ms: u64,
    /// How often clients retry at once a call that is refused.
    #[serde(default)]
    pub repeats: u32,
    /// Number of schedulers that grant leases.
    #[serde(default = "three")]
    pub electors: usize,
    /// Duration of leases, in milliseconds.
    #[serde(default = "term")]
    pub term_ms: u64,
    /// Maximum delay of a datagram that schedulers are configured with, in milliseconds.
    #[serde(default = "delay")]
    pub delay_ms: u64,
    /// Parts of each task.
    #[serde(default = "two")]
    pub parts: u16,
    /// Parameters of the workers.
    #[serde(default, rename = "run_box")]
    pub worker: Kind,
    /// The faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

fn two() -> u16 {
    2
}
fn three() -> usize {
    3
}
fn twelve() -> usize {
    12
}
fn forty() -> usize {
    40
}
fn twenty() -> f64 {
    20.0
}
fn hundred() -> f64 {
    100.0
}
fn yes() -> bool {
    true
}
fn allow() -> u64 {
    3_000
}
fn grace() -> u64 {
    2_000
}
fn term() -> u64 {
    1_000
}
fn delay() -> u64 {
    20
}

/// A fault, which begins once or repeatedly and is removed after a while.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// Maximum random delay after that, in seconds.
    #[serde(default)]
    pub spread: f64,
    /// Its duration, in seconds.
    #[serde(default = "one")]
    pub lasts: f64,
    /// How often it begins.
    #[serde(default = "once")]
    pub times: u32,
    /// Seconds from one beginning to the next.
    #[serde(default = "one")]
    pub every: f64,
    /// The kind of fault.
    pub what: FaultKind,
    /// What it affects.
    #[serde(default)]
    pub who: FaultTarget,
    /// Which links it affects.
    #[serde(default)]
    pub links: LinkSet,
    /// Which direction it affects, as seen by its targets.
    #[serde(default)]
    pub way: Direction,
    /// Its intensity: the fraction of datagrams lost, milliseconds of delay, or a factor of slowdown.
    #[serde(default)]
    pub much: f64,
}

fn one() -> f64 {
    1.0
}

fn once() -> u32 {
    1
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL; started again at the end.
    Kill,
    /// SIGSTOP; SIGCONT at the end.
    Stop,
    /// SIGTERM; started again at the end.
    Term,
    /// SIGTERM among other signals, while clients keep using their open connections; SIGKILL as early as it is
    /// allowed.
    TermKill,
    /// A new process beside the old one, which is sent SIGTERM once the new one accepts clients.
    Upgrade,
    /// Nothing passes the links.
    Cut,
    /// A fraction of the traffic is lost.
    Loss,
    /// Everything is delayed, and datagrams are reordered.
    Delay,
    /// A fraction of the datagrams is delivered twice.
    Repeat,
    /// Connections to workers break.
    Reset,
    /// Workers crash, and restart cold at the end.
    #[serde(rename = "box_dies")]
    WorkerDies,
    /// Workers are disconnected from all schedulers.
    #[serde(rename = "box_cut")]
    WorkerCut,
    /// Workers drain, and leave at the end.
    #[serde(rename = "box_drains")]
    WorkerDrains,
    /// The store is slower.
    StoreSlow,
    /// The rate of calls is multiplied.
    Crowd,
    /// SIGHUP with a new configuration, after repeated SIGHUPs while the file is half written.
    Reload,
    /// The wall clock is stepped by a number of seconds, and back at the end.
    WallClock,
    /// System calls fail or transfer only one byte.
    SystemCalls,
    /// Writes to the scheduler's folder fail.
    Folder,
    /// Discovery sends nothing.
    BusSilent,
    /// Discovery closes every connection.
    BusCloses,
    /// Clients cancel calls, and close connections with open calls.
    Hasty,
    /// Workers answer twice or with malformed data.
    Spoilt,
    /// Workers accept everything and answer nothing.
    Hang,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 24] = [
        FaultKind::Kill,
        FaultKind::Stop,
        FaultKind::Term,
        FaultKind::TermKill,
        FaultKind::Upgrade,
        FaultKind::Cut,
        FaultKind::Loss,
        FaultKind::Delay,
        FaultKind::Repeat,
        FaultKind::Reset,
        FaultKind::WorkerDies,
        FaultKind::WorkerCut,
        FaultKind::WorkerDrains,
        FaultKind::StoreSlow,
        FaultKind::Crowd,
        FaultKind::Reload,
        FaultKind::WallClock,
        FaultKind::SystemCalls,
        FaultKind::Folder,
        FaultKind::BusSilent,
        FaultKind::BusCloses,
        FaultKind::Hasty,
        FaultKind::Spoilt,
        FaultKind::Hang,
    ];

    /// Whether it affects workers instead of schedulers.
    pub fn concerns_workers(self) -> bool {
        matches!(
            self,
            FaultKind::WorkerDies
                | FaultKind::WorkerCut
                | FaultKind::WorkerDrains
                | FaultKind::Spoilt
                | FaultKind::Hang
        )
    }
}

/// Which schedulers or workers a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    /// One, drawn from the seed.
    #[default]
    Any,
    /// The current holder of the first task.
    Holder,
    /// One that doesn't hold the first task.
    Other,
    /// Two, drawn from the seed.
    Two,
    /// A third of them.
    Third,
    /// Seventy percent of them.
    Most,
    /// All.
    All,
}

/// The links that a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkSet {
    /// Links to other schedulers.
    #[default]
    Peers,
    /// Links to workers.
    #[serde(rename = "boxes")]
    Workers,
    /// All links.
    Both,
}

/// The direction that a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// Traffic to the target.
    In,
    /// Traffic from the target.
    Out,
}

/// A fault with its drawn time, and a random number that selects its targets.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: Moment,
    /// When it ends.
    pub until: Moment,
    /// The fault as the scenario describes it.
    pub fault: Fault,
    /// Random number drawn from the seed.
    pub draw: u64,
}

/// Built-in scenarios.
const BUILT_IN_SCENARIOS: [(&str, &str); 18] = [
    ("short-day", include_str!("../../scenarios/short-day.toml")),
    ("holder-killed", include_str!("../../scenarios/holder-killed.toml")),
    ("holder-stopped", include_str!("../../scenarios/holder-stopped.toml")),
    ("holder-cut", include_str!("../../scenarios/holder-cut.toml")),
    ("one-way", include_str!("../../scenarios/one-way.toml")),
    ("flapping", include_str!("../../scenarios/flapping.toml")),
    ("elector-restarted", include_str!("../../scenarios/elector-restarted.toml")),
    ("two-killed", include_str!("../../scenarios/two-killed.toml")),
    ("all-restarted", include_str!("../../scenarios/all-restarted.toml")),
    ("planned", include_str!("../../scenarios/planned.toml")),
    ("rough", include_str!("../../scenarios/rough.toml")),
    ("one-gone", include_str!("../../scenarios/one-gone.toml")),
    ("nine", include_str!("../../scenarios/nine.toml")),
    ("boxes", include_str!("../../scenarios/boxes.toml")),
    ("overload", include_str!("../../scenarios/overload.toml")),
    ("overload-killed", include_str!("../../scenarios/overload-killed.toml")),
    ("overload-links", include_str!("../../scenarios/overload-links.toml")),
    ("trigger", include_str!("../../scenarios/trigger.toml")),
];

/// Names of the built-in scenarios.
pub fn names() -> impl Iterator<Item = &'static str> {
    BUILT_IN_SCENARIOS.iter().map(|(name, _)| *name)
}

impl Scenario {
    /// Loads a built-in scenario, or one from a file.
    pub fn find(name: &str) -> Result<Scenario, String> {
        let known = BUILT_IN_SCENARIOS.iter().find(|(known, _)| *known == name);
        let text = match known {
            Some((_, text)) => (*text).to_owned(),
            None if name.contains('.') => {
                std::fs::read_to_string(name).map_err(|e| format!("cannot read {name}: {e}"))?
            }
            None => {
                let names: Vec<&str> = names().collect();
                return Err(format!(
                    "no scenario is called {name}; there are {}, or give the path of a file",
                    names.join(", ")
                ));
            }
        };
        let scenario: Scenario = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
        scenario.check().map_err(|why| format!("{name}: {why}"))?;
        Ok(scenario)
    }

    /// Checks that the scenario can be run.
    pub fn check(&self) -> Result<(), String> {
        if self.schedulers == 0 || self.workers == 0 || self.functions == 0 {
            return Err("schedulers, run_boxes and functions are not 0".to_owned());
        }
        if self.schedulers > 32 || self.workers > 64 {
            return Err("at most 32 schedulers and 64 workers are supported".to_owned());
        }
        if self.fleet && (self.electors > self.schedulers || ![3, 5, 7].contains(&self.electors)) {
            return Err("electors must be 3, 5 or 7, and at most the number of schedulers".to_owned());
        }
        let last_begin = |fault: &Fault| fault.at + fault.spread + f64::from(fault.times - 1) * fault.every;
        if let Some(fault) =
            self.fault.iter().find(|fault| fault.times == 0 || last_begin(fault) > self.seconds)
        {
            return Err(format!("{:?} never begins, or begins after the end", fault.what));
        }
        Ok(())
    }

    /// Draws the times and targets of all faults, in the order in which they begin; the same seed gives the same
    /// faults.
    pub fn draw_faults(&self, rng: &mut SmallRng) -> Vec<ScheduledFault> {
        let moment = |seconds: f64| (seconds * 1e3) as u64 * MILLISECOND;
        let mut all = vec![];
        for fault in &self.fault {
            let spread = if fault.spread > 0.0 { rng.random_range(0.0..fault.spread) } else { 0.0 };
            for n in 0..fault.times {
                let at = moment(fault.at + spread + f64::from(n) * fault.every);
                let until = at + moment(fault.lasts);
                all.push(ScheduledFault { at, until, fault: fault.clone(), draw: rng.random() });
            }
        }
        all.sort_by_key(|drawn| drawn.at);
        all
    }
}

#[cfg(test)]
mod tests;
