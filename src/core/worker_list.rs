//! The workers that discovery lists, with the operators' cordons applied.

use super::cordons::Cordons;
use crate::interface::{ListKind, Member, State, Timestamp, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The listed workers and the cordons.
#[derive(Default)]
pub(super) struct WorkerList {
    /// Each worker as discovery lists it.
    listed: BTreeMap<WorkerId, Member>,
    /// Workers that operators have cordoned, whatever discovery lists.
    pub(super) cordons: Cordons,
}

impl WorkerList {
    /// Applies a complete list, or changes of it.
    pub(super) fn update(&mut self, kind: ListKind, members: &[Member]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: BTreeSet<WorkerId> = members.iter().map(|member| member.worker).collect();
            self.listed.retain(|worker, _| listed.contains(worker));
        }
        for member in members {
            if member.state == State::Gone {
                self.listed.remove(&member.worker);
            } else {
                self.listed.insert(member.worker, *member);
            }
        }
        self.cordons.forget_gone(|worker| self.listed.contains_key(&worker));
    }

    pub(super) fn get(&self, worker: WorkerId) -> Option<&Member> {
        self.listed.get(&worker)
    }

    pub(super) fn contains(&self, worker: WorkerId) -> bool {
        self.listed.contains_key(&worker)
    }

    pub(super) fn len(&self) -> usize {
        self.listed.len()
    }

    /// The workers as discovery lists them.
    pub(super) fn listed(&self) -> impl Iterator<Item = &Member> {
        self.listed.values()
    }

    /// The workers with the cordons applied.
    pub(super) fn effective(&self) -> Vec<Member> {
        self.listed.values().map(|member| self.cordons.applied_to(*member)).collect()
    }

    /// One worker with its cordon applied.
    pub(super) fn effective_of(&self, worker: WorkerId) -> Option<Member> {
        self.listed.get(&worker).map(|member| self.cordons.applied_to(*member))
    }

    /// When the process that is listed under this id started, or was uncordoned later; `None` if that is long ago.
    pub(super) fn started(&self, worker: WorkerId) -> Option<Timestamp> {
        self.effective_of(worker).and_then(|member| member.started)
    }

    /// Whether the process that started then is still the one that is listed under this id.
    pub(super) fn is_process(&self, worker: WorkerId, started: Option<Timestamp>) -> bool {
        self.effective_of(worker).is_some_and(|member| member.started == started)
    }

    /// Whether the process that started then has been replaced: another one is listed under this id.
    pub(super) fn was_replaced(&self, worker: WorkerId, started: Option<Timestamp>) -> bool {
        self.effective_of(worker).is_some_and(|member| member.started != started)
    }

    /// Listed workers that are cordoned.
    pub(super) fn cordoned_count(&self) -> usize {
        self.cordons.cordoned().filter(|worker| self.listed.contains_key(worker)).count()
    }

    /// Whether a worker may be sent new work. A change of the list is in force from the moment it is in discovery,
    /// which may be long before it is received here, so nothing that is still queued is written once a drain is known.
    pub(super) fn accepts_work(&self, worker: WorkerId) -> bool {
        self.effective_of(worker).is_some_and(|member| member.state == State::Ready)
    }

    /// Whether any worker may be sent new work.
    pub(super) fn any_accepts_work(&self) -> bool {
        self.listed.keys().any(|worker| self.accepts_work(*worker))
    }
}
