//! Workers that operators have cordoned, kept apart from discovery's list and applied on top of it.

use crate::interface::{Member, State, Timestamp, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Most ids that may be cordoned at a time. A bound is needed because ids stay cordoned while discovery does not list
/// them.
const MAX_CORDONED: usize = 4096;

/// Result of a cordon or uncordon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonResult {
    /// It changed the worker's state.
    Changed,
    /// The worker was already in this state.
    Unchanged,
    /// No worker has this id.
    Unknown,
    /// No more workers can be cordoned.
    TooMany,
}

/// The cordoned workers, and when others were uncordoned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cordons {
    cordoned: BTreeSet<WorkerId>,
    /// When workers were uncordoned. They count as started then, since their process has most likely been replaced.
    uncordoned_at: BTreeMap<WorkerId, Timestamp>,
}

impl Cordons {
    /// Cordons a worker. Its id stays cordoned whatever discovery lists.
    pub fn cordon(&mut self, worker: WorkerId, listed: bool) -> CordonResult {
        if self.cordoned.contains(&worker) {
            return CordonResult::Unchanged;
        }
        if !listed {
            return CordonResult::Unknown;
        }
        if self.cordoned.len() >= MAX_CORDONED {
            return CordonResult::TooMany;
        }
        self.cordoned.insert(worker);
        CordonResult::Changed
    }

    /// Uncordons a worker; one call undoes any number of cordons.
    pub fn uncordon(&mut self, now: Timestamp, worker: WorkerId, listed: bool) -> CordonResult {
        if self.cordoned.remove(&worker) {
            self.uncordoned_at.insert(worker, now);
            return CordonResult::Changed;
        }
        if listed { CordonResult::Unchanged } else { CordonResult::Unknown }
    }

    /// Workers that were uncordoned, and when.
    pub fn uncordoned_at(&self) -> impl Iterator<Item = (WorkerId, Timestamp)> + '_ {
        self.uncordoned_at.iter().map(|(worker, at)| (*worker, *at))
    }

    /// Takes over the cordons of another process of the same scheduler.
    pub fn take_over(
        &mut self,
        cordoned: impl Iterator<Item = WorkerId>,
        uncordoned_at: impl Iterator<Item = (WorkerId, Timestamp)>,
    ) {
        self.cordoned.extend(cordoned.take(MAX_CORDONED));
        self.uncordoned_at.extend(uncordoned_at);
    }

    /// Whether a worker is cordoned.
    pub fn contains(&self, worker: WorkerId) -> bool {
        self.cordoned.contains(&worker)
    }

    /// All workers that are cordoned.
    pub fn cordoned(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.cordoned.iter().copied()
    }

    /// A listed worker with the cordons applied: a cordoned worker drains, and an uncordoned one has started no earlier
    /// than when it was uncordoned.
    pub fn applied_to(&self, member: Member) -> Member {
        if member.state == State::Gone {
            return member;
        }
        if self.contains(member.worker) {
            return Member { state: State::Draining, ..member };
        }
        let uncordoned_at = self.uncordoned_at.get(&member.worker).copied();
        Member { started: member.started.max(uncordoned_at), ..member }
    }

    /// Forgets when workers that are no longer listed were uncordoned.
    pub fn forget_gone(&mut self, listed: impl Fn(WorkerId) -> bool) {
        self.uncordoned_at.retain(|worker, _| listed(*worker));
    }
}

#[cfg(test)]
mod tests;
