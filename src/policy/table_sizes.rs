//! Sizes of the policy's tables, for the log.

use super::Policy;

/// Number of entries in each of the policy's tables that grow with what clients send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyTableSizes {
    /// Requests that clients wait for.
    pub pending: usize,
    /// Timers, including those of requests that have ended.
    pub timers: usize,
    /// Functions whose popularity is known.
    pub functions: usize,
    /// Entries of the cached worker orders of all functions.
    pub ranked_workers: usize,
    /// Functions known at workers, over all workers.
    pub instances: usize,
    /// Entries of the counts of recent loads, arrivals and served requests.
    pub recent_events: usize,
}

impl Policy {
    /// The current sizes of the tables; walks through all of them.
    pub fn table_sizes(&self) -> PolicyTableSizes {
        PolicyTableSizes {
            pending: self.requests.pending.len(),
            timers: self.timers.len(),
            functions: self.popularity.len(),
            ranked_workers: self.popularity.ranked_workers(),
            instances: self.workers.iter().map(|(_, worker)| worker.instances.len()).sum(),
            recent_events: self.recent.entries(),
        }
    }
}
