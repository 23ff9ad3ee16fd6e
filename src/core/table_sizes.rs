//! Sizes of the scheduler's tables, for the log: they show what holds memory.

use super::Core;
use crate::policy::PolicyTableSizes;
use std::fmt;

/// Number of entries in each table that grows with what clients send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// The policy's tables.
    pub policy: PolicyTableSizes,
    /// Requests that were accepted and have no final answer yet.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
    /// The core's timers.
    pub timers: usize,
    /// Commands that the adapter has not fetched yet.
    pub commands: usize,
    /// Entries of the arrivals counted for the rate limit of loads.
    pub arrivals: usize,
    /// Functions recorded as called, which may be loaded.
    pub called_functions: usize,
}

impl Core {
    /// The current sizes of the tables; walks through some of them.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            policy: self.policy.table_sizes(),
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            timers: self.timers.len(),
            commands: self.commands.len(),
            arrivals: self.loads.rate.arrival_entries(),
            called_functions: self.loads.called.entries(),
        }
    }
}

impl fmt::Display for TableSizes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policy = &self.policy;
        let sizes = [
            ("requests", self.requests),
            ("attempts", self.attempts),
            ("timers", self.timers),
            ("commands", self.commands),
            ("arrivals", self.arrivals),
            ("called_functions", self.called_functions),
            ("policy_pending", policy.pending),
            ("policy_timers", policy.timers),
            ("functions", policy.functions),
            ("ranked_workers", policy.ranked_workers),
            ("instances", policy.instances),
            ("recent_events", policy.recent_events),
        ];
        for (name, size) in sizes {
            write!(f, " {name}={size}")?;
        }
        Ok(())
    }
}
