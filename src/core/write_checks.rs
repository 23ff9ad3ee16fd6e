//! Checks made just before bytes are written, because a queued message may no longer be allowed.

use super::{AttemptId, Core, LoadId, Owner, ProbeId, Verdict};
use crate::chain;
use crate::interface::*;

impl Core {
    /// The client that waits for an attempt's result: the owner of its request or of its chain.
    pub fn owner(&self, id: AttemptId) -> Option<Owner> {
        let owner = self.requests.get(id.request)?.owner;
        if owner.connection == chain::STEP_CONNECTION {
            self.chain_steps.machine.owner(owner)
        } else {
            Some(owner)
        }
    }

    /// Rejects the request of an attempt that is about to be written, because its client's input could not be read lately
    /// enough to know whether it still waits.
    pub fn reject_unheard(&mut self, now: Timestamp, id: AttemptId) {
        let cooldown = self.default_cooldown();
        self.finish_request(now, id.request, Verdict::Refused { cooldown });
        self.process_event(now, Event::ClientGone(id.request));
    }

    /// Whether an attempt may still be written. While it was queued for its connection, its request may have ended, its
    /// worker may have begun to drain, or its deduplication window may have passed.
    pub fn may_write(&mut self, now: Timestamp, id: AttemptId) -> bool {
        let may = self.attempt_allowed(now, id);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.allowed = may;
        }
        may
    }

    fn attempt_allowed(&self, now: Timestamp, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(&id).filter(|attempt| now < attempt.deadline) else {
            return false;
        };
        let Some(accepted) = self.requests.get(id.request) else { return false };
        let in_window = match (accepted.effect, accepted.first_written) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { window, .. }, Some(first)) => now + DEDUP_WINDOW_MARGIN < first.at + window,
        };
        in_window
            && self.workers.is_process(attempt.worker, attempt.worker_started)
            && self.accepts_work(now, attempt.worker)
    }

    /// Whether a worker may be sent new work: it is listed as ready and confirmed not to have begun to drain since.
    fn accepts_work(&self, now: Timestamp, worker: WorkerId) -> bool {
        self.workers.accepts_work(worker) && self.policy.is_confirmed(worker, now)
    }

    /// Whether a load request may still be written; counts it as written if so. The rate limit of loads is checked here
    /// too, so that load requests that were queued behind a slow connection are not written together in one window. One
    /// that stands in for another process is written only under its lease.
    pub fn may_write_load(&mut self, now: Timestamp, id: LoadId) -> bool {
        let may = self.load_allowed(now, id);
        if let Some(load) = self.loads.open.get_mut(&id) {
            load.allowed = may;
        }
        may
    }

    /// Whether a client has called this function recently, or waits for it.
    fn is_called(&self, function: FunctionId) -> bool {
        self.loads.called.contains(function) || self.requests.includes_function(function)
    }

    fn load_allowed(&mut self, now: Timestamp, id: LoadId) -> bool {
        let Some(load) = self.loads.open.get(&id) else { return false };
        if !self.workers.is_process(load.worker, load.worker_started) {
            return false;
        }
        if load.instances == 0 {
            return true;
        }
        let worker = load.worker;
        let function = load.function;
        let lease_ended = id.lease.is_some_and(|fenced| !self.leases.holds(now, Task::Renew, fenced));
        if self.loads.yielded || !self.accepts_work(now, worker) || lease_ended || !self.is_called(function) {
            return false;
        }
        if let Some(limit) = self.site.settings.rules.load_rate_limit
            && !self.loads.rate.admits(now, limit)
        {
            self.counters.orders_rationed += 1;
            return false;
        }
        self.loads.rate.record_load(now);
        self.counters.orders += 1;
        true
    }

    /// Whether a load request that was allowed, and has been in an output buffer since, may still be written.
    pub fn load_still_allowed(&self, now: Timestamp, id: LoadId) -> bool {
        self.loads.open.get(&id).is_some_and(|load| {
            self.workers.is_process(load.worker, load.worker_started)
                && (load.instances == 0 || self.accepts_work(now, load.worker))
        })
    }

    /// Whether a probe may still be written; one for the whole fleet only under its lease. `now` must have been read
    /// just for this check.
    pub fn may_write_probe(&self, now: Timestamp, id: ProbeId) -> bool {
        self.probes.get(&id).is_some_and(|probe| self.workers.is_process(probe.worker, probe.worker_started))
            && id.lease.is_none_or(|fenced| self.leases.holds(now, Task::Probe, fenced))
    }
}
