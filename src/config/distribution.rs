//! The domain whose worker list and classes this process takes over or hands on, as the operator's file says.

use crate::settings::Site;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// This process's place in a domain; `docs/distribution.md`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Distribution {
    /// The domain's name: datagrams of another domain are dropped.
    pub name: String,
    /// Where this process hears the others, on a loopback address.
    pub bind: SocketAddr,
    /// What it does for the domain.
    pub role: Role,
    /// Whom it may follow, of a subscriber or a relay: replicas or relays.
    #[serde(default)]
    pub parents: Vec<SocketAddr>,
    /// All that keep the domain's log, of a replica: 3, 5 or 7, this one among them, the same at all of them.
    #[serde(default)]
    pub replicas: Vec<SocketAddr>,
    /// The zones whose workers a subscriber wants, by name; all where absent.
    pub zones: Option<Vec<String>>,
    /// Bytes a second for all children that catch up, together.
    #[serde(default = "default_catch_up")]
    pub catch_up_bytes_per_second: u64,
}

/// What a process does for its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It puts in force what comes.
    Subscriber,
    /// It hands on what comes.
    Relay,
    /// It keeps the domain's log, and may be the one that publishes.
    Replica,
}

/// A tenth of a link of a gigabit a second: a process that serves children is not all that uses it.
fn default_catch_up() -> u64 {
    12_500_000
}

/// Bounds of the bytes for catching up: some ten pages a second, and a link of ten gigabits.
const CATCH_UP: std::ops::RangeInclusive<u64> = 16_384..=1_250_000_000;
/// Parents that a process may name: more do not help it, and each is a line of its status.
const PARENTS: usize = 16;

impl Distribution {
    /// What must hold whatever the settings are; the error names the key.
    pub(super) fn check_alone(&self, fleet: bool) -> Result<(), String> {
        let odd = |what: String| Err(format!("operator's file: distribution.{what}"));
        if self.name.is_empty() {
            return odd("name is empty".to_owned());
        }
        let all = self.parents.iter().chain(&self.replicas).chain([&self.bind]);
        if let Some(at) = all.into_iter().find(|at| !at.ip().is_loopback()) {
            return odd(format!("bind, parents and replicas are loopback addresses, and {at} is none"));
        }
        for (key, list) in [("parents", &self.parents), ("replicas", &self.replicas)] {
            let mut known = BTreeSet::new();
            if let Some(twice) = list.iter().find(|at| !known.insert(**at)) {
                return odd(format!("{key} names {twice} twice"));
            }
        }
        if !CATCH_UP.contains(&self.catch_up_bytes_per_second) {
            let (least, most) = (CATCH_UP.start(), CATCH_UP.end());
            return odd(format!("catch_up_bytes_per_second is not between {least} and {most}"));
        }
        match self.role {
            Role::Replica => self.check_replica(fleet),
            Role::Relay | Role::Subscriber => self.check_child(),
        }
    }

    fn check_replica(&self, fleet: bool) -> Result<(), String> {
        let odd = |what: String| Err(format!("operator's file: distribution.{what}"));
        let count = self.replicas.len();
        if ![3, 5, 7].contains(&count) {
            return odd(format!("replicas has {count} entries, and 3, 5 or 7 make a majority that lasts"));
        }
        if !self.replicas.contains(&self.bind) {
            return odd(format!("replicas lacks bind, {}", self.bind));
        }
        if !self.parents.is_empty() {
            return odd("parents is for subscribers and relays: a replica follows the publisher".to_owned());
        }
        if self.zones.is_some() {
            return odd("zones is for subscribers: a replica keeps all".to_owned());
        }
        if !fleet {
            return odd("role is replica, which needs [fleet]: one of them publishes, by a lease".to_owned());
        }
        Ok(())
    }

    fn check_child(&self) -> Result<(), String> {
        let odd = |what: String| Err(format!("operator's file: distribution.{what}"));
        if !(1..=PARENTS).contains(&self.parents.len()) {
            return odd(format!("parents has {} entries, not 1 to {PARENTS}", self.parents.len()));
        }
        if self.parents.contains(&self.bind) {
            return odd(format!("parents names bind, {}", self.bind));
        }
        if !self.replicas.is_empty() {
            return odd("replicas is for replicas; the others name parents".to_owned());
        }
        if self.zones.is_some() && self.role == Role::Relay {
            return odd("zones is for subscribers: a relay hands on all".to_owned());
        }
        Ok(())
    }

    /// What must hold with these settings; the error names the key.
    pub fn check(&self, site: &Site) -> Result<(), String> {
        if !site.peers {
            return Err(
                "operator's file: distribution is refused, for bounds.peers of the settings is false"
                    .to_owned(),
            );
        }
        let mut known = BTreeSet::new();
        for zone in self.zones.iter().flatten() {
            if !site.zones.contains(zone) || !known.insert(zone) {
                return Err(format!(
                    "operator's file: distribution.zones names '{zone}', which stands twice or is no zone of the settings"
                ));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
