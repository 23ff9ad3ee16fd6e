//! What is played: TOML files, with what is left open drawn from a seed.

use super::worker::Kind;
use super::{MS, Moment};
use rand::RngExt;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// A play, as its file says.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows.
    pub about: String,
    /// Schedulers.
    #[serde(default = "three")]
    pub schedulers: usize,
    /// Workers.
    #[serde(default = "twelve", rename = "run_boxes")]
    pub workers: usize,
    /// Seconds with calls.
    #[serde(default = "twenty")]
    pub seconds: f64,
    /// Calls a second, over all clients.
    #[serde(default = "hundred")]
    pub calls: f64,
    /// Functions that are called, the first far more often than the last.
    #[serde(default = "forty")]
    pub functions: usize,
    /// The schedulers are one fleet.
    #[serde(default = "yes")]
    pub fleet: bool,
    /// System calls of the schedulers can be made to fail, and their wall clocks stepped.
    #[serde(default)]
    pub faulty: bool,
    /// The part of the calls that must not run twice, whatever happens.
    #[serde(default)]
    pub fragile: f64,
    /// They agree on what is shed under overload.
    #[serde(default)]
    pub shed: bool,
    /// How long clients wait, and the deadline of all classes.
    #[serde(default = "allow")]
    pub allow_ms: u64,
    /// For how long a worker may be sent something new after its drain is known.
    #[serde(default = "grace")]
    pub grace_ms: u64,
    /// How often clients call again at once when they are refused.
    #[serde(default)]
    pub repeats: u32,
    /// Those of them that grant leases.
    #[serde(default = "three")]
    pub electors: usize,
    /// For how long leases are granted.
    #[serde(default = "term")]
    pub term_ms: u64,
    /// How long a datagram may take, as schedulers are told.
    #[serde(default = "delay")]
    pub delay_ms: u64,
    /// Parts of each task.
    #[serde(default = "two")]
    pub parts: u16,
    /// What workers are like.
    #[serde(default, rename = "run_box")]
    pub worker: Kind,
    /// What goes wrong.
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

/// Something that goes wrong, and is mended after a while.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds.
    pub at: f64,
    /// It may come later than that, by so many seconds at most.
    #[serde(default)]
    pub spread: f64,
    /// For how long.
    #[serde(default = "one")]
    pub lasts: f64,
    /// How often, one after another.
    #[serde(default = "once")]
    pub times: u32,
    /// Time from one to the next.
    #[serde(default = "one")]
    pub every: f64,
    /// What.
    pub what: What,
    /// To whom.
    #[serde(default)]
    pub who: Who,
    /// On which links.
    #[serde(default)]
    pub links: Links,
    /// In which direction, as seen by whom it happens to.
    #[serde(default)]
    pub way: Way,
    /// How bad: a part of the datagrams lost, milliseconds of delay, how many times slower.
    #[serde(default)]
    pub much: f64,
}

fn one() -> f64 {
    1.0
}

fn once() -> u32 {
    1
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// SIGKILL; started again when it is over.
    Kill,
    /// SIGSTOP; SIGCONT when it is over.
    Stop,
    /// SIGTERM; started again when it is over.
    Term,
    /// SIGTERM among other signals, while clients go on using their open connections; SIGKILL as soon as it may come.
    TermKill,
    /// A new process beside the old one, which is sent SIGTERM when the new one serves.
    Upgrade,
    /// Nothing passes.
    Cut,
    /// A part of what passes is lost.
    Loss,
    /// All takes longer, and datagrams overtake each other.
    Delay,
    /// A part of the datagrams comes twice.
    Repeat,
    /// Connections to workers break.
    Reset,
    /// Workers die, and start again cold.
    #[serde(rename = "box_dies")]
    WorkerDies,
    /// Workers are cut off from all.
    #[serde(rename = "box_cut")]
    WorkerCut,
    /// Workers drain, and are gone when it is over.
    #[serde(rename = "box_drains")]
    WorkerDrains,
    /// The store is slower.
    StoreSlow,
    /// So many times the calls come.
    Crowd,
    /// SIGHUP with a new configuration, after SIGHUP again and again while the file is half written.
    Reload,
    /// The wall clock is stepped by so many seconds, and back when it is over.
    WallClock,
    /// System calls fail, or move little.
    SystemCalls,
    /// The folder takes no writes.
    Folder,
    /// The event bus says nothing.
    BusSilent,
    /// The event bus closes every connection.
    BusCloses,
    /// Clients cancel calls, and close connections with calls open.
    Hasty,
    /// Workers answer twice, or with what cannot be read.
    Spoilt,
    /// Workers take what comes and answer nothing.
    Hang,
}

impl What {
    /// All of them.
    pub const ALL: [What; 24] = [
        What::Kill,
        What::Stop,
        What::Term,
        What::TermKill,
        What::Upgrade,
        What::Cut,
        What::Loss,
        What::Delay,
        What::Repeat,
        What::Reset,
        What::WorkerDies,
        What::WorkerCut,
        What::WorkerDrains,
        What::StoreSlow,
        What::Crowd,
        What::Reload,
        What::WallClock,
        What::SystemCalls,
        What::Folder,
        What::BusSilent,
        What::BusCloses,
        What::Hasty,
        What::Spoilt,
        What::Hang,
    ];

    /// Whether it happens to workers.
    pub fn concerns_workers(self) -> bool {
        matches!(self, What::WorkerDies | What::WorkerCut | What::WorkerDrains | What::Spoilt | What::Hang)
    }
}

/// To whom it happens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// One that the seed draws.
    #[default]
    Any,
    /// Who holds the first task then.
    Holder,
    /// One that does not.
    Other,
    /// Two that the seed draws.
    Two,
    /// A third of them.
    Third,
    /// Seven in ten.
    Most,
    /// All.
    All,
}

/// Which links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Links {
    /// To other schedulers.
    #[default]
    Peers,
    /// To workers.
    #[serde(rename = "boxes")]
    Workers,
    /// All.
    Both,
}

/// In which direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Both.
    #[default]
    Both,
    /// What comes to it.
    In,
    /// What it sends.
    Out,
}

/// A fault with its time drawn, and a number that decides whom it hits.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// When it begins.
    pub at: Moment,
    /// When it is over.
    pub until: Moment,
    /// What the file says.
    pub fault: Fault,
    /// Drawn from the seed.
    pub draw: u64,
}

/// Plays that come with the rig.
const KNOWN: [(&str, &str); 18] = [
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

/// Names of the plays that come with the rig.
pub fn names() -> impl Iterator<Item = &'static str> {
    KNOWN.iter().map(|(name, _)| *name)
}

impl Scenario {
    /// Reads a play that comes with the rig, or one from a file.
    pub fn find(name: &str) -> Result<Scenario, String> {
        let known = KNOWN.iter().find(|(known, _)| *known == name);
        let text = match known {
            Some((_, text)) => (*text).to_owned(),
            None if name.contains('.') => {
                std::fs::read_to_string(name).map_err(|e| format!("cannot read {name}: {e}"))?
            }
            None => {
                let names: Vec<&str> = names().collect();
                return Err(format!(
                    "no play is called {name}; there are {}, or name a file",
                    names.join(", ")
                ));
            }
        };
        let scenario: Scenario = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
        scenario.check().map_err(|why| format!("{name}: {why}"))?;
        Ok(scenario)
    }

    /// Whether it can be played.
    pub fn check(&self) -> Result<(), String> {
        if self.schedulers == 0 || self.workers == 0 || self.functions == 0 {
            return Err("schedulers, run_boxes and functions are not 0".to_owned());
        }
        if self.schedulers > 32 || self.workers > 64 {
            return Err("32 schedulers and 64 workers are the most".to_owned());
        }
        if self.fleet && (self.electors > self.schedulers || ![3, 5, 7].contains(&self.electors)) {
            return Err("electors is 3, 5 or 7, and no more than schedulers".to_owned());
        }
        let late = |fault: &Fault| fault.at + fault.spread + f64::from(fault.times - 1) * fault.every;
        if let Some(fault) = self.fault.iter().find(|fault| fault.times == 0 || late(fault) > self.seconds) {
            return Err(format!("{:?} never comes, or after the end", fault.what));
        }
        Ok(())
    }

    /// The faults in the order in which they come: the same for the same seed.
    pub fn draw(&self, rng: &mut SmallRng) -> Vec<Drawn> {
        let moment = |seconds: f64| (seconds * 1e3) as u64 * MS;
        let mut all = vec![];
        for fault in &self.fault {
            let spread = if fault.spread > 0.0 { rng.random_range(0.0..fault.spread) } else { 0.0 };
            for n in 0..fault.times {
                let at = moment(fault.at + spread + f64::from(n) * fault.every);
                let until = at + moment(fault.lasts);
                all.push(Drawn { at, until, fault: fault.clone(), draw: rng.random() });
            }
        }
        all.sort_by_key(|drawn| drawn.at);
        all
    }
}

#[cfg(test)]
mod tests;
