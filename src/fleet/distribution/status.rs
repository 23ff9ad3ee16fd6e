//! The status of one process of the domain for operators, as text and as figures.

use super::interface::Role;
use super::record::Version;
use crate::interface::Duration;
use std::fmt;
use std::net::SocketAddr;

/// Counts of events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DistributionCounters {
    /// Versions that were installed.
    pub installed: u64,
    /// Snapshots that were installed.
    pub snapshots: u64,
    /// Versions that were refused.
    pub refused: u64,
    /// Complete versions whose digest differed from the parent's, or that mixed pages of different histories.
    pub mismatches: u64,
    /// Messages that were invalid, or that their sender is not allowed to send.
    pub odd: u64,
    /// Parents that were left.
    pub parents_left: u64,
    /// Pages sent to children.
    pub pages: u64,
    /// Number of times that pages were sent to a child again.
    pub resent: u64,
    /// Snapshots started for children.
    pub snapshots_served: u64,
    /// Reports of children that were ahead of this process.
    pub ahead: u64,
    /// Children that were rejected because there were too many.
    pub turned_away: u64,
    /// Batches committed as the publisher.
    pub committed: u64,
}

/// A version that did not pass the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedVersion {
    /// The version.
    pub version: Version,
    /// The reason, as operators see it.
    pub why: String,
}

/// The status of one process of the domain.
#[derive(Clone, Debug)]
pub struct DistributionStatus {
    /// The role of the process.
    pub role: Role,
    /// The installed version.
    pub version: Version,
    /// Number of records.
    pub records: usize,
    /// The parent that is followed.
    pub parent: Option<SocketAddr>,
    /// Time since the process was last known to be up to date; `None` if it never was.
    pub age: Option<Duration>,
    /// Number of children.
    pub children: usize,
    /// Number of children that are not known to be up to date.
    pub behind: usize,
    /// The fence under which the process publishes, while it is the publisher.
    pub publisher: Option<u64>,
    /// The last version that was refused, if none was installed since.
    pub refused: Option<RefusedVersion>,
    /// Counts of events since the start.
    pub counters: DistributionCounters,
}

impl DistributionStatus {
    /// The status of a process that has just started.
    pub fn of(role: Role) -> DistributionStatus {
        DistributionStatus {
            role,
            version: Version::default(),
            records: 0,
            parent: None,
            age: None,
            children: 0,
            behind: 0,
            publisher: None,
            refused: None,
            counters: DistributionCounters::default(),
        }
    }

    /// The status as figures, one per line. An unknown age is -1.
    pub fn figures(&self) -> String {
        let age = self.age.map_or(-1, |age| i64::try_from(age.0 / 1_000_000).unwrap_or(i64::MAX));
        let counters = &self.counters;
        let lines = [
            ("version", self.version.sequence),
            ("fence", self.version.fence),
            ("records", self.records as u64),
            ("parent", u64::from(self.parent.is_some())),
            ("children", self.children as u64),
            ("behind", self.behind as u64),
            ("publisher", u64::from(self.publisher.is_some())),
            ("installed", counters.installed),
            ("snapshots", counters.snapshots),
            ("refused", counters.refused),
            ("refusing", u64::from(self.refused.is_some())),
            ("mismatches", counters.mismatches),
            ("odd", counters.odd),
            ("parents_left", counters.parents_left),
            ("pages", counters.pages),
            ("resent", counters.resent),
            ("snapshots_served", counters.snapshots_served),
            ("ahead", counters.ahead),
            ("turned_away", counters.turned_away),
            ("committed", counters.committed),
        ];
        let lines = lines.iter().map(|(name, value)| format!("scheduler.distribution.{name}={value}\n"));
        lines.chain([format!("scheduler.distribution.age_ms={age}\n")]).collect()
    }
}

impl fmt::Display for DistributionStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            Role::Subscriber => "subscriber",
            Role::Relay => "relay",
            Role::Replica => "replica",
        };
        let Version { fence, sequence } = self.version;
        write!(f, "{role}: version {sequence} of fence {fence}, {} records", self.records)?;
        match self.age {
            Some(age) => writeln!(f, ", up to date {:.1} s ago", age.secs())?,
            None => writeln!(f, ", never up to date")?,
        }
        match (self.publisher, self.parent) {
            (Some(fence), _) => writeln!(f, "publishes under fence {fence}")?,
            (None, Some(parent)) => writeln!(f, "follows {parent}")?,
            (None, None) => writeln!(f, "follows nobody")?,
        }
        if self.role != Role::Subscriber {
            writeln!(f, "serves {} children, {} of them behind", self.children, self.behind)?;
        }
        if let Some(RefusedVersion { version, why }) = &self.refused {
            writeln!(f, "refuses version {} of fence {}: {why}", version.sequence, version.fence)?;
        }
        Ok(())
    }
}
