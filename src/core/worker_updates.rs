//! Changes of the list of workers, by discovery and by operators, at this process and at others of this scheduler.

use super::cordons::CordonResult;
use super::list_watch::ListChange;
use super::{Command, Core};
use crate::interface::*;
use std::collections::BTreeSet;

impl Core {
    /// Applies a list of workers, or changes of it, from discovery.
    pub fn members(&mut self, now: Timestamp, kind: ListKind, members: Vec<Member>) {
        self.workers.update(kind, &members);
        self.counters.list_events += 1;
        let members = members.into_iter().map(|member| self.workers.cordons.applied_to(member)).collect();
        self.process_event(now, Event::Members(kind, members));
    }

    /// Discovery has become unreachable.
    pub fn discovery_lost(&mut self) {
        self.list_watch.discovery_lost = true;
        self.counters.discovery_lost += 1;
    }

    /// A frame arrived from discovery, whatever it contains: by then discovery had sent all that it knew. The frame may
    /// have been in the socket buffer since `at`.
    pub fn discovery_received(&mut self, now: Timestamp, at: Timestamp) {
        self.list_watch.discovery_lost = false;
        if !self.list_watch.is_distributed {
            self.process_event(now, Event::ListSource(ListSource::Received { at }));
        }
    }

    /// Discovery was subscribed to on a new connection.
    pub fn discovery_resubscribed(&mut self, now: Timestamp) {
        if !self.list_watch.is_distributed {
            self.process_event(now, Event::ListSource(ListSource::Resubscribed));
        }
    }

    /// The domain has confirmed the list as of `at`. From now on the list comes from the domain, and discovery is
    /// ignored.
    pub fn list_confirmed_by_domain(&mut self, now: Timestamp, at: Timestamp) {
        self.list_watch.is_distributed = true;
        self.process_event(now, Event::ListSource(ListSource::Confirmed { at }));
    }

    /// Sets whether the list follows a source that may become unreachable; workers in `fixed` do not depend on it.
    /// Without a source, the list stays valid until it is changed.
    pub fn set_list_source(&mut self, now: Timestamp, follows: bool, fixed: BTreeSet<WorkerId>) {
        let source = if follows { ListSource::Followed { fixed } } else { ListSource::Fixed };
        self.process_event(now, Event::ListSource(source));
    }

    /// Counts and logs that the list has become valid, or is no longer valid.
    pub(super) fn update_list_validity(&mut self, now: Timestamp) {
        match self.list_watch.observe(now, self.policy.list_is_valid(now)) {
            None => {}
            Some(ListChange::Confirmed(after)) => {
                tracing::info!(after_ms = after.whole_millis(), "worker list confirmed");
            }
            Some(ListChange::Unconfirmed) => {
                self.counters.list_unconfirmed += 1;
                tracing::warn!(workers = self.workers.len(), "worker list unconfirmed");
            }
        }
    }

    /// Cordons a worker for an operator: from now on nothing new is written to it, whatever discovery lists.
    pub fn cordon(&mut self, now: Timestamp, worker: WorkerId) -> CordonResult {
        self.change_cordon_here(now, worker, true)
    }

    /// Uncordons a worker for an operator.
    pub fn uncordon(&mut self, now: Timestamp, worker: WorkerId) -> CordonResult {
        self.change_cordon_here(now, worker, false)
    }

    /// Applies a cordon or uncordon that an operator has made at another process of this scheduler, where the worker is
    /// listed.
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
        // The worker has most likely been restarted meanwhile, so nothing that was known about it holds.
        if !cordoned {
            self.commands.push_back(Command::Renew { worker });
        }
        if let Some(member) = self.workers.effective_of(worker) {
            self.process_event(now, Event::Members(ListKind::Delta, vec![member]));
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

    /// Whether a request accepted now could be placed, that is, whether any worker may be sent new work.
    pub fn places(&self) -> bool {
        self.workers.any_accepts_work()
    }
}
