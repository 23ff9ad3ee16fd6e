//! The section `[distribution]` of the operator's file: the domain whose worker list and classes this process
//! receives, relays or publishes.

use crate::settings::Site;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// This process's role in a domain, and the addresses of the others; see `docs/distribution.md`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Distribution {
    /// The domain's name. Datagrams of another domain are dropped.
    pub name: String,
    /// Where this process receives datagrams, on a loopback address.
    pub bind: SocketAddr,
    /// What it does for the domain.
    pub role: Role,
    /// For a subscriber or a relay: the replicas or relays that it may follow.
    #[serde(default)]
    pub parents: Vec<SocketAddr>,
    /// For a replica: all replicas of the domain's log, 3, 5 or 7 including this one, the same list at each.
    #[serde(default)]
    pub replicas: Vec<SocketAddr>,
    /// For a subscriber: the names of the zones whose workers it receives; all if absent.
    pub zones: Option<Vec<String>>,
    /// Bytes per second for all children that are catching up, together.
    #[serde(default = "default_catch_up")]
    pub catch_up_bytes_per_second: u64,
}

/// What a process does for its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Applies the changes that it receives.
    Subscriber,
    /// Forwards the changes that it receives to its children.
    Relay,
    /// Stores the domain's log, and may become its publisher.
    Replica,
}

/// A tenth of a link of one gigabit per second, because a process that serves children shares the link with others.
fn default_catch_up() -> u64 {
    12_500_000
}

/// Numbers of replicas whose majority survives the loss of one.
const QUORUM_SIZES: [usize; 3] = [3, 5, 7];
/// Range of the rate for catching up: from about ten pages per second to a link of ten gigabits per second.
const CATCH_UP_RANGE_BYTES_PER_SECOND: std::ops::RangeInclusive<u64> = 16_384..=1_250_000_000;
/// Most parents that a process may name: more don't help it, and each takes a line of its status.
const MAX_PARENTS: usize = 16;

impl Distribution {
    /// Checks what doesn't depend on the settings.
    pub(super) fn check_alone(&self, in_fleet: bool) -> Result<(), DistributionError> {
        if self.name.is_empty() {
            return Err(DistributionError::NoName);
        }
        let all = self.parents.iter().chain(&self.replicas).chain([&self.bind]);
        if let Some(at) = all.into_iter().find(|at| !at.ip().is_loopback()) {
            return Err(DistributionError::NotLoopback(*at));
        }
        for (key, list) in [("parents", &self.parents), ("replicas", &self.replicas)] {
            let mut known = BTreeSet::new();
            if let Some(at) = list.iter().find(|at| !known.insert(**at)) {
                return Err(DistributionError::AddressTwice { key, at: *at });
            }
        }
        if !CATCH_UP_RANGE_BYTES_PER_SECOND.contains(&self.catch_up_bytes_per_second) {
            return Err(DistributionError::CatchUpRate);
        }
        match self.role {
            Role::Replica => self.check_replica(in_fleet),
            Role::Relay | Role::Subscriber => self.check_child(),
        }
    }

    fn check_replica(&self, in_fleet: bool) -> Result<(), DistributionError> {
        let count = self.replicas.len();
        if !QUORUM_SIZES.contains(&count) {
            return Err(DistributionError::ReplicaCount(count));
        }
        if !self.replicas.contains(&self.bind) {
            return Err(DistributionError::NotAmongReplicas { bind: self.bind });
        }
        if !self.parents.is_empty() {
            return Err(DistributionError::ReplicaWithParents);
        }
        if self.zones.is_some() {
            return Err(DistributionError::ReplicaWithZones);
        }
        if !in_fleet {
            return Err(DistributionError::ReplicaWithoutFleet);
        }
        Ok(())
    }

    fn check_child(&self) -> Result<(), DistributionError> {
        let count = self.parents.len();
        if !(1..=MAX_PARENTS).contains(&count) {
            return Err(DistributionError::ParentCount(count));
        }
        if self.parents.contains(&self.bind) {
            return Err(DistributionError::OwnParent { bind: self.bind });
        }
        if !self.replicas.is_empty() {
            return Err(DistributionError::ChildWithReplicas);
        }
        if self.zones.is_some() && self.role == Role::Relay {
            return Err(DistributionError::RelayWithZones);
        }
        Ok(())
    }

    /// Checks the section against the settings of the site.
    ///
    /// # Errors
    /// [`DistributionError`] names the key that contradicts the settings.
    pub fn check(&self, site: &Site) -> Result<(), DistributionError> {
        if !site.peers {
            return Err(DistributionError::NoPeers);
        }
        let mut known = BTreeSet::new();
        for zone in self.zones.iter().flatten() {
            if !site.zones.contains(zone) || !known.insert(zone) {
                return Err(DistributionError::Zone(zone.clone()));
            }
        }
        Ok(())
    }
}

/// Why the section `[distribution]` of an operator's file is rejected. The text starts with the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DistributionError {
    /// The domain has no name.
    NoName,
    /// An address is not a loopback address.
    NotLoopback(SocketAddr),
    /// A list contains an address twice.
    AddressTwice {
        /// The list's key.
        key: &'static str,
        /// The address.
        at: SocketAddr,
    },
    /// The rate for catching up is out of range.
    CatchUpRate,
    /// This number of replicas is not one whose majority survives the loss of one.
    ReplicaCount(usize),
    /// This process is not among the replicas.
    NotAmongReplicas {
        /// Its address.
        bind: SocketAddr,
    },
    /// A replica has parents.
    ReplicaWithParents,
    /// A replica is restricted to some zones.
    ReplicaWithZones,
    /// A replica is not in a fleet.
    ReplicaWithoutFleet,
    /// The number of parents is out of range.
    ParentCount(usize),
    /// This process is one of its own parents.
    OwnParent {
        /// Its address.
        bind: SocketAddr,
    },
    /// A subscriber or relay has replicas.
    ChildWithReplicas,
    /// A relay is restricted to some zones.
    RelayWithZones,
    /// The settings do not allow schedulers to communicate with each other.
    NoPeers,
    /// A zone is listed twice, or is not a zone of the settings.
    Zone(String),
}

impl fmt::Display for DistributionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DistributionError::NoName => f.write_str("distribution.name is empty"),
            DistributionError::NotLoopback(at) => {
                write!(f, "distribution.bind, parents and replicas are loopback addresses, and {at} is none")
            }
            DistributionError::AddressTwice { key, at } => {
                write!(f, "distribution.{key} names {at} twice")
            }
            DistributionError::CatchUpRate => {
                let least = CATCH_UP_RANGE_BYTES_PER_SECOND.start();
                let most = CATCH_UP_RANGE_BYTES_PER_SECOND.end();
                write!(f, "distribution.catch_up_bytes_per_second is not between {least} and {most}")
            }
            DistributionError::ReplicaCount(count) => write!(
                f,
                "distribution.replicas has {count} entries, and 3, 5 or 7 make a majority that lasts"
            ),
            DistributionError::NotAmongReplicas { bind } => {
                write!(f, "distribution.replicas lacks bind, {bind}")
            }
            DistributionError::ReplicaWithParents => f.write_str(
                "distribution.parents is for subscribers and relays: a replica follows the publisher",
            ),
            DistributionError::ReplicaWithZones => {
                f.write_str("distribution.zones is for subscribers: a replica keeps all")
            }
            DistributionError::ReplicaWithoutFleet => f.write_str(
                "distribution.role is replica, which needs [fleet]: one of them publishes, by a lease",
            ),
            DistributionError::ParentCount(count) => {
                write!(f, "distribution.parents has {count} entries, not 1 to {MAX_PARENTS}")
            }
            DistributionError::OwnParent { bind } => {
                write!(f, "distribution.parents names bind, {bind}")
            }
            DistributionError::ChildWithReplicas => {
                f.write_str("distribution.replicas is for replicas; the others name parents")
            }
            DistributionError::RelayWithZones => {
                f.write_str("distribution.zones is for subscribers: a relay hands on all")
            }
            DistributionError::NoPeers => {
                f.write_str("distribution is refused, for bounds.peers of the settings is false")
            }
            DistributionError::Zone(zone) => write!(
                f,
                "distribution.zones names '{zone}', which stands twice or is no zone of the settings"
            ),
        }
    }
}

impl std::error::Error for DistributionError {}

#[cfg(test)]
mod tests;
