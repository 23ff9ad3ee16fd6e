//! The section `[fleet]` of the operator's file: the fleet that this process belongs to.

use crate::interface::Shares;
use crate::settings::Site;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// The fleet that this process belongs to, and its part in it; see `docs/fleet.md`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name. Datagrams of another fleet are dropped.
    pub name: String,
    /// Where this process receives datagrams, on a loopback address.
    pub bind: SocketAddr,
    /// The processes that grant leases: 3, 5 or 7, the same list at every process of the fleet.
    pub electors: Vec<Elector>,
    /// Whether this process is one of the electors.
    #[serde(default = "yes")]
    pub votes: bool,
    /// How long a lease is granted for, in milliseconds.
    #[serde(default = "default_term")]
    pub term_ms: u64,
    /// The longest term that any process of the fleet has been configured with since the fleet was started, in
    /// milliseconds: an elector grants nothing for this long after it starts. Defaults to the term.
    pub longest_ms: Option<u64>,
    /// The longest time that a datagram may take between two processes, in milliseconds.
    #[serde(default = "default_delay")]
    pub delay_ms: u64,
    /// The largest error of a clock's rate, in parts per million.
    #[serde(default = "default_drift")]
    pub drift_ppm: u64,
    /// Parts that each task is partitioned into; 0 if the fleet only publishes.
    #[serde(default = "default_parts")]
    pub parts: u16,
    /// Whether the fleet agrees on an admission level to shed load when the workers are overloaded.
    #[serde(default)]
    pub shed: bool,
    /// Processes that are reached at another address than the one they announce.
    #[serde(default)]
    pub via: Vec<Elector>,
}

/// A process and the address at which it is reached.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Elector {
    /// The index in the process's settings.
    pub index: u32,
    /// Where it receives datagrams.
    pub at: SocketAddr,
}

fn yes() -> bool {
    true
}

fn default_term() -> u64 {
    4_000
}

fn default_delay() -> u64 {
    100
}

fn default_drift() -> u64 {
    5_000
}

fn default_parts() -> u16 {
    3
}

/// Numbers of electors whose majority survives the loss of one.
const QUORUM_SIZES: [usize; 3] = [3, 5, 7];
/// Range of a term, in milliseconds.
const TERM_RANGE_MS: std::ops::RangeInclusive<u64> = 400..=60_000;
/// The largest clock drift that may be configured, in parts per million.
const MAX_DRIFT_PPM: u64 = 100_000;

impl Fleet {
    /// Checks what doesn't depend on the settings. Only processes that publish may have no parts: they need the
    /// fleet for the publisher's lease alone.
    pub(super) fn check_alone(&self, publishes: bool) -> Result<(), FleetError> {
        self.check_electors()?;
        self.check_times()?;
        if self.parts == 0 && !publishes || self.parts > Shares::MAX_PARTS {
            return Err(FleetError::Parts);
        }
        Ok(())
    }

    fn check_electors(&self) -> Result<(), FleetError> {
        let count = self.electors.len();
        if !QUORUM_SIZES.contains(&count) {
            return Err(FleetError::ElectorCount(count));
        }
        let mut indices = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for elector in &self.electors {
            if !indices.insert(elector.index) || !addresses.insert(elector.at) {
                return Err(FleetError::ElectorTwice(elector.clone()));
            }
        }
        let all = self.electors.iter().chain(&self.via).map(|elector| elector.at).chain([self.bind]);
        match all.into_iter().find(|at| !at.ip().is_loopback()) {
            Some(at) => Err(FleetError::NotLoopback(at)),
            None => Ok(()),
        }
    }

    fn check_times(&self) -> Result<(), FleetError> {
        if !TERM_RANGE_MS.contains(&self.term_ms) {
            return Err(FleetError::Term);
        }
        // Acquiring a lease takes two round trips, and the timeout of each is an eighth of a term.
        let shortest = 16 * self.delay_ms;
        if self.term_ms < shortest {
            return Err(FleetError::TermUnderDelay { shortest });
        }
        if self.longest_ms.is_some_and(|longest| longest < self.term_ms || longest > *TERM_RANGE_MS.end()) {
            return Err(FleetError::LongestTerm);
        }
        if self.drift_ppm > MAX_DRIFT_PPM {
            return Err(FleetError::Drift);
        }
        Ok(())
    }

    /// Checks the fleet against the settings of the site.
    ///
    /// # Errors
    /// [`FleetError`] names the key that contradicts the settings.
    pub fn check(&self, site: &Site) -> Result<(), FleetError> {
        if !site.peers {
            return Err(FleetError::NoPeers);
        }
        let index = site.settings.index;
        let own = self.electors.iter().find(|elector| elector.index == index);
        match (own, self.votes) {
            (None, true) => Err(FleetError::NotElector { index }),
            (Some(_), false) => Err(FleetError::ElectorWithoutVote),
            (Some(own), true) if own.at != self.bind => Err(FleetError::OtherAddress(own.at)),
            _ => Ok(()),
        }
    }
}

/// Why the section `[fleet]` of an operator's file is rejected. The text starts with the key.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetError {
    /// This number of electors is not one whose majority survives the loss of one.
    ElectorCount(usize),
    /// Another elector has the same index or address.
    ElectorTwice(Elector),
    /// An address is not a loopback address.
    NotLoopback(SocketAddr),
    /// The term is out of range.
    Term,
    /// The term is too short for the delay.
    TermUnderDelay {
        /// The shortest term that the delay allows, in milliseconds.
        shortest: u64,
    },
    /// The longest term is out of range.
    LongestTerm,
    /// The drift is out of range.
    Drift,
    /// The number of parts is out of range.
    Parts,
    /// The settings do not allow schedulers to communicate with each other.
    NoPeers,
    /// This process votes but is not among the electors.
    NotElector {
        /// Its index.
        index: u32,
    },
    /// This process is among the electors but does not vote.
    ElectorWithoutVote,
    /// The list of electors has this process at another address.
    OtherAddress(SocketAddr),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetError::ElectorCount(count) => {
                write!(f, "fleet.electors has {count} entries, and 3, 5 or 7 make a majority that lasts")
            }
            FleetError::ElectorTwice(elector) => {
                write!(f, "fleet.electors names {} at {} twice", elector.index, elector.at)
            }
            FleetError::NotLoopback(at) => {
                write!(f, "fleet.bind and electors are loopback addresses, and {at} is none")
            }
            FleetError::Term => {
                write!(
                    f,
                    "fleet.term_ms is not between {} and {}",
                    TERM_RANGE_MS.start(),
                    TERM_RANGE_MS.end()
                )
            }
            FleetError::TermUnderDelay { shortest } => {
                write!(f, "fleet.term_ms is under 16 times delay_ms, {shortest}")
            }
            FleetError::LongestTerm => {
                write!(f, "fleet.longest_ms is not between term_ms and {}", TERM_RANGE_MS.end())
            }
            FleetError::Drift => write!(f, "fleet.drift_ppm is over {MAX_DRIFT_PPM}"),
            FleetError::Parts => write!(f, "fleet.parts is not between 1 and {}", Shares::MAX_PARTS),
            FleetError::NoPeers => f.write_str("fleet is refused, for bounds.peers of the settings is false"),
            FleetError::NotElector { index } => write!(
                f,
                "fleet.electors lacks this process, index {index}; one that does not vote says votes = false"
            ),
            FleetError::ElectorWithoutVote => {
                f.write_str("fleet.votes is false, but electors names this process")
            }
            FleetError::OtherAddress(at) => {
                write!(f, "fleet.bind is not where electors names this process, {at}")
            }
        }
    }
}

impl std::error::Error for FleetError {}

#[cfg(test)]
mod tests;
