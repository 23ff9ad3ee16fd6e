//! Prewarming: instances that are loaded before requests need them. Gold functions are kept alive, an
//! instance is added where requests wait for slots, and a function that will be called soon is loaded.

use super::load_requests::LoadTarget;
use super::rendezvous::mix;
use super::requests::Attempt;
use super::{Actions, Policy};
use crate::interface::*;
use std::collections::BTreeSet;

/// Share of the keep-alive that is left when it is renewed. It leaves time to repeat a load request that was
/// lost.
const RENEWAL_LEAD_SHARE: f64 = 0.3;
/// Share of busy cores below which overdue requests are taken to wait for concurrency slots rather than for
/// processor time.
const SCALE_UP_BELOW_BUSY: f32 = 0.8;
/// Upper bound of the instances of one function that are requested at one worker.
const MAX_INSTANCES_PER_WORKER: u8 = 8;

impl Policy {
    /// Handles the notice that a function will be called soon: an instance is loaded at its first healthy
    /// worker, if none is warm there.
    pub(super) fn on_wanted(&mut self, function: FunctionId, memory_mb: f64, out: &mut Actions) {
        self.popularity.observe_memory(function, memory_mb);
        let healthy = self.healthy_workers(self.workers.iter());
        let Some(worker) = self.workers.rendezvous().first(function.0, healthy, 1).pop() else { return };
        if !self.workers.is_warm(function, worker, self.now) {
            self.request_load(worker, function, LoadTarget::ONE_INSTANCE, out);
        }
    }

    /// Renews the keep-alives of gold functions that are due: this scheduler's own, and those of schedulers
    /// that are gone whose parts it holds.
    pub(super) fn renew_keep_alives(&mut self, out: &mut Actions) {
        let due_before = self.now + self.settings.loading.keep_alive.times(RENEWAL_LEAD_SHARE);
        for function in self.popularity.gold() {
            for worker in self.keep_alives_due(function, due_before) {
                self.renew_keep_alive(function, worker, out);
            }
        }
    }

    /// Returns the index of the scheduler that keeps a function warm at a worker.
    fn renewing_scheduler(&self, function: FunctionId, worker: WorkerId) -> u32 {
        let fleet = u64::from(self.settings.fleet_size.max(1));
        (mix(function.0.rotate_left(32) ^ worker.0) % fleet) as u32
    }

    /// Returns the workers, in rendezvous order, whose keep-alives are ours to renew and end by `due_before`.
    fn keep_alives_due(&self, function: FunctionId, due_before: Timestamp) -> Vec<WorkerId> {
        let is_ours = |scheduler: u32| {
            scheduler == self.settings.index || self.shares.stand_in_part(scheduler).is_some()
        };
        let is_due = |worker: WorkerId| {
            self.workers.get(worker).is_some_and(|worker| {
                !worker.health.is_ejected(self.now) && worker.warm_until(function) <= due_before
            })
        };
        let rendezvous = self.workers.rendezvous();
        let due = rendezvous
            .workers()
            .filter(|worker| is_ours(self.renewing_scheduler(function, *worker)) && is_due(*worker));
        rendezvous.first(function.0, due, usize::MAX)
    }

    fn renew_keep_alive(&mut self, function: FunctionId, worker_id: WorkerId, out: &mut Actions) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let part = self.shares.stand_in_part(self.renewing_scheduler(function, worker_id));
        // Where no instance is warm this is a load. One at a time for each worker and function keeps either
        // from being flooded with loads.
        let is_renewal = worker.warm_until(function) > self.now;
        if is_renewal || worker.pending_loads(self.now) == 0 && self.pending_loads(function) == 0 {
            self.request_load(worker_id, function, LoadTarget { instances: 1, part }, out);
        }
    }

    /// Requests one more instance of each function with overdue requests at a worker whose cores are idle:
    /// the requests wait for concurrency slots. The load request carries the total number of instances, so
    /// that requests of several schedulers do not add up.
    pub(super) fn scale_up(&mut self, worker: WorkerId, report: &[f32], out: &mut Actions) {
        let busy_gauge = self.settings.gauges.iter().position(|gauge| *gauge == Gauge::Busy);
        let busy = busy_gauge.and_then(|gauge| report.get(gauge));
        if !busy.is_some_and(|busy| *busy < SCALE_UP_BELOW_BUSY) {
            return;
        }
        let is_overdue = |attempt: &&Attempt| {
            attempt.worker == worker && self.now - attempt.sent.at >= attempt.overdue_after()
        };
        let overdue = self.requests.attempts.values().filter(is_overdue);
        let functions: BTreeSet<FunctionId> = overdue.map(|attempt| attempt.function).collect();
        for function in functions {
            // Requests of a seldom called function wait for its load rather than for a concurrency slot.
            if self.wanted_instances(function, 0) > 1 {
                let instances =
                    (self.requested_instances(function, worker) + 1).min(MAX_INSTANCES_PER_WORKER);
                self.request_load(worker, function, LoadTarget { instances, part: None }, out);
            }
        }
    }

    /// Returns how many instances a worker was last asked to keep warm, if that request is not older than a
    /// keep-alive.
    fn requested_instances(&self, function: FunctionId, worker: WorkerId) -> u8 {
        let scale_up = self.workers.instance(function, worker).and_then(|instance| instance.scale_up);
        let current = scale_up.filter(|scale_up| self.now - scale_up.at < self.settings.loading.keep_alive);
        current.map_or(1, |scale_up| scale_up.instances)
    }
}
