//! The parts of the fleet's tasks that this process holds under leases, and the processes that are gone.

use super::Core;
use super::overload::Overload;
use crate::fleet::lease::LeaseGrant;
use crate::interface::*;
use crate::request::Fenced;
use std::collections::{BTreeMap, BTreeSet};

/// Messages sent under a lease are written at least this long before the lease ends, by a clock read just before.
pub(super) const LEASE_MARGIN: Duration = Duration::millis(20);

/// One part of one of the fleet's tasks.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TaskPart {
    task: Task,
    part: u16,
}

/// The leases of this process.
#[derive(Default)]
pub(super) struct FleetLeases {
    /// Parts into which each of the fleet's tasks is divided; 0 without a fleet.
    parts: u16,
    grants: BTreeMap<TaskPart, LeaseGrant>,
    /// Indices of processes of the fleet that are gone.
    gone: BTreeSet<u32>,
}

impl FleetLeases {
    /// Sets or removes a lease; returns whether that changed which parts are held.
    fn set(&mut self, task: Task, part: u16, grant: Option<LeaseGrant>) -> bool {
        let key = TaskPart { task, part };
        let previous = match grant {
            Some(grant) => self.grants.insert(key, grant),
            None => self.grants.remove(&key),
        };
        previous.is_some() != grant.is_some()
    }

    /// Whether the part is held under exactly this fence, with the margin left. A lease that was lost and granted again
    /// has another fence; decisions made under the old one are not carried out.
    pub(super) fn holds(&self, now: Timestamp, task: Task, fenced: Fenced) -> bool {
        let grant = self.grants.get(&TaskPart { task, part: fenced.part });
        grant.is_some_and(|grant| grant.fence == fenced.fence && now + LEASE_MARGIN < grant.until)
    }

    /// The fence under which a task's part is held now; 0, which no lease has, if it is not held.
    pub(super) fn fenced(&self, task: Task, part: Option<u16>) -> Option<Fenced> {
        let part = part?;
        let fence = self.grants.get(&TaskPart { task, part }).map_or(0, |grant| grant.fence);
        Some(Fenced { part, fence })
    }

    /// The held parts in the policy's form.
    fn shares(&self) -> Shares {
        Shares {
            parts: self.parts,
            own: self.grants.keys().map(|key| (key.task, key.part)).collect(),
            gone: self.gone.clone(),
        }
    }
}

impl Core {
    /// Another process of the fleet has probed a worker, at this time at the latest; `answers` tells whether it
    /// answered.
    pub fn peer_health(&mut self, now: Timestamp, worker: WorkerId, answers: bool, at: Timestamp) {
        self.process_event(now, Event::PeerHealth(worker, answers, at));
    }

    /// This process is a member of a fleet whose tasks are divided into this many parts.
    pub fn join_fleet(&mut self, now: Timestamp, parts: u16, shed: bool) {
        self.leases.parts = parts;
        self.overload = shed.then(|| Overload::new(&self.site));
        self.process_event(now, Event::Shares(Shares { parts, ..Shares::default() }));
    }

    /// Sets which processes of the fleet are gone.
    pub fn gone(&mut self, now: Timestamp, gone: BTreeSet<u32>) {
        self.leases.gone = gone;
        self.update_shares(now);
    }

    /// Sets or removes the lease on a part of one of the fleet's tasks.
    pub fn set_lease(&mut self, now: Timestamp, task: Task, part: u16, grant: Option<LeaseGrant>) {
        if self.leases.set(task, part, grant) {
            self.update_shares(now);
        }
    }

    fn update_shares(&mut self, now: Timestamp) {
        let shares = self.leases.shares();
        self.process_event(now, Event::Shares(shares));
    }
}
