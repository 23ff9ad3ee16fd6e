//! Changes of the list of workers: by discovery, and by operators, here and at other processes of this scheduler.

use super::cordons::CordonResult;
use super::{Command, Core};
use crate::interface::*;

impl Core {
    /// Discovery sends the list of workers, or changes of it.
    pub fn members(&mut self, now: Timestamp, kind: ListKind, members: Vec<Member>) {
        self.workers.update(kind, &members);
        self.counters.list_events += 1;
        let members = members.into_iter().map(|member| self.workers.cordons.applied_to(member)).collect();
        self.step(now, Event::Members(kind, members));
    }

    /// Discovery has gone out of reach.
    pub fn discovery_lost(&mut self) {
        self.discovery_lost = true;
        self.counters.discovery_lost += 1;
    }

    /// Discovery was heard, whatever it said.
    pub fn discovery_heard(&mut self) {
        self.discovery_lost = false;
    }

    /// An operator cordons a worker: from now on nothing new is written to it whatever discovery lists.
    pub fn cordon(&mut self, now: Timestamp, worker: WorkerId) -> CordonResult {
        self.change_cordon_here(now, worker, true)
    }

    /// An operator uncordons a worker.
    pub fn uncordon(&mut self, now: Timestamp, worker: WorkerId) -> CordonResult {
        self.change_cordon_here(now, worker, false)
    }

    /// An operator has cordoned or uncordoned a worker at another process of this scheduler, which knew the worker.
    pub fn cordon_changed_elsewhere(&mut self, now: Timestamp, worker: WorkerId, cordoned: bool) {
        self.change_cordon(now, worker, cordoned, true);
    }

    fn change_cordon_here(&mut self, now: Timestamp, worker: WorkerId, cordoned: bool) -> CordonResult {
        let listed = self.workers.contains(worker);
        let result = self.change_cordon(now, worker, cordoned, listed);
        if result == CordonResult::Changed {
            self.commands.push_back(Command::PublishCordon { worker, cordoned });
        }
        result
    }

    fn change_cordon(
        &mut self,
        now: Timestamp,
        worker: WorkerId,
        cordoned: bool,
        listed: bool,
    ) -> CordonResult {
        let result = if cordoned {
            self.workers.cordons.cordon(worker, listed)
        } else {
            self.workers.cordons.uncordon(now, worker, listed)
        };
        if result != CordonResult::Changed {
            return result;
        }
        // It has most likely been restarted meanwhile, so nothing that was known of it holds.
        if !cordoned {
            self.commands.push_back(Command::Renew { worker });
        }
        if let Some(member) = self.workers.effective_of(worker) {
            self.step(now, Event::Members(ListKind::Delta, vec![member]));
        }
        result
    }

    /// The workers as discovery lists them.
    pub fn list(&self) -> impl Iterator<Item = &Member> {
        self.workers.listed()
    }

    /// One worker as discovery lists it.
    pub fn listed(&self, worker: WorkerId) -> Option<&Member> {
        self.workers.get(worker)
    }

    /// Whether a request accepted now could be placed: some worker may be sent work.
    pub fn places(&self) -> bool {
        self.workers.any_accepts_work()
    }
}
