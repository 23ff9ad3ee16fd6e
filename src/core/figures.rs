//! The figures shown to operators: on the management address, on SIGUSR1 and at the end of the process.

use std::collections::BTreeMap;
use std::fmt;

/// Final answers to the requests of a class, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassOutcomes {
    /// Served.
    pub answered: u64,
    /// Refused.
    pub deferred: u64,
    /// Failed.
    pub errored: u64,
}

/// The figures; counts are since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// By class name; a class that a new configuration has removed keeps its counts.
    pub classes: BTreeMap<String, ClassOutcomes>,
    /// Attempts written completely to workers.
    pub sends: u64,
    /// Accepted requests without a final answer.
    pub current: usize,
    /// Workers in the list.
    pub cluster_size: usize,
    /// Workers avoided now, because they are cordoned or by decision of the policy.
    pub cluster_unhealthy: usize,
    /// Violations of invariants; see `docs/invariants.md`.
    pub violations: u64,
    /// Configurations loaded at SIGHUP.
    pub conf_loaded: u64,
    /// Configurations rejected at SIGHUP.
    pub conf_invalid: u64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, outcomes) in &self.classes {
            writeln!(f, "scheduler.answered.{class}={}", outcomes.answered)?;
            writeln!(f, "scheduler.deferred.{class}={}", outcomes.deferred)?;
            writeln!(f, "scheduler.errored.{class}={}", outcomes.errored)?;
        }
        writeln!(f, "scheduler.sends={}", self.sends)?;
        writeln!(f, "scheduler.current={}", self.current)?;
        writeln!(f, "scheduler.cluster_size={}", self.cluster_size)?;
        writeln!(f, "scheduler.cluster_unhealthy={}", self.cluster_unhealthy)?;
        // Left out while it is 0, which is the normal case, so that operators need not know it.
        if self.violations > 0 {
            writeln!(f, "scheduler.violations={}", self.violations)?;
        }
        writeln!(f, "scheduler.conf_loaded={}", self.conf_loaded)?;
        writeln!(f, "scheduler.conf_invalid={}", self.conf_invalid)
    }
}

#[cfg(test)]
mod tests;
