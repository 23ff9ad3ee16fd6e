//! Load requests: which are under way, and when another may be sent.

use super::instance::{InstanceState, ScaleUp};
use super::requests::PendingRequest;
use super::slow_start::has_budget;
use super::{Actions, Policy};
use crate::interface::*;
use std::collections::BTreeSet;

/// How long a request waits for a load before another worker is tried.
pub const LOAD_WAIT: Duration = Duration::millis(3000);
/// Upper bound of our load requests under way at one worker, not counting renewals.
const MAX_LOADS_PER_WORKER: usize = 3;
/// The same bound for the load request of a bronze function.
const MAX_LOADS_PER_WORKER_BRONZE: usize = 1;

/// What a load request asks a worker for.
#[derive(Clone, Copy)]
pub struct LoadTarget {
    /// Instances that are to be warm in total.
    pub instances: u8,
    /// The part of [`Task::Renew`] under which the load is requested in place of a scheduler that is gone.
    pub part: Option<u16>,
}

impl LoadTarget {
    /// One instance, requested for this scheduler itself.
    pub const ONE_INSTANCE: LoadTarget = LoadTarget { instances: 1, part: None };
}

/// A function at a worker.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Location {
    function: FunctionId,
    worker: WorkerId,
}

/// The load requests that are under way.
#[derive(Default)]
pub struct LoadRequests {
    pending: BTreeSet<Location>,
}

impl LoadRequests {
    /// Adds a load request.
    pub fn add(&mut self, function: FunctionId, worker: WorkerId) {
        self.pending.insert(Location { function, worker });
    }

    /// Removes a load request that has ended.
    pub fn remove(&mut self, function: FunctionId, worker: WorkerId) {
        self.pending.remove(&Location { function, worker });
    }

    /// The workers at which loads of a function are under way.
    pub fn workers(&self, function: FunctionId) -> impl Iterator<Item = WorkerId> {
        let first = Location { function, worker: WorkerId(0) };
        let last = Location { function, worker: WorkerId(u64::MAX) };
        self.pending.range(first..=last).map(|location| location.worker)
    }
}

impl Policy {
    /// Number of loads of a function that were requested less than [`LOAD_WAIT`] ago.
    pub(super) fn pending_loads(&self, function: FunctionId) -> usize {
        let instances =
            self.load_requests.workers(function).filter_map(|worker| self.workers.instance(function, worker));
        let requested_at = instances.filter_map(|instance| instance.load_requested_at);
        requested_at.filter(|at| self.now - *at < LOAD_WAIT).count()
    }

    /// Returns whether a load may be requested: the worker is ready and within its slow-start budget, no load
    /// of the function is under way or failed recently there, a load slot is free, and the rate limit allows
    /// one more.
    pub(super) fn may_load(&self, worker_id: WorkerId, function: FunctionId) -> bool {
        let Some(worker) = self.workers.get(worker_id) else { return false };
        let unknown = InstanceState::default();
        let instance = worker.instances.get(&function).unwrap_or(&unknown);
        let max_loads = if self.popularity.is_bronze(function) {
            MAX_LOADS_PER_WORKER_BRONZE
        } else {
            MAX_LOADS_PER_WORKER
        };
        let has_slot = instance.warm_until > self.now || worker.pending_loads(self.now) < max_loads;
        let is_eligible = worker.member.state == State::Ready
            && !worker.readiness.is_avoided(self.now)
            && self.settings.limits.may_load
            && has_budget(worker, &self.settings.rules, self.now);
        if !is_eligible || instance.load_requested_at.is_some() || instance.retry_at > self.now || !has_slot {
            return false;
        }
        self.is_within_load_rate_limit()
    }

    /// Returns whether the load rate limit, if there is one, allows one more load request.
    fn is_within_load_rate_limit(&self) -> bool {
        let Some(rate_limit) = self.settings.rules.load_rate_limit else { return true };
        let window_start = self.now - rate_limit.span;
        let loads = self.recent.loads.count_if(|at| at >= window_start);
        let arrivals = self.recent.arrivals.count_if(|at| at > window_start);
        loads + 1.0 <= rate_limit.free + rate_limit.share * arrivals
    }

    /// Requests a load, if one is allowed and the worker is confirmed to take work.
    pub(super) fn request_load(
        &mut self,
        worker_id: WorkerId,
        function: FunctionId,
        target: LoadTarget,
        out: &mut Actions,
    ) {
        if !self.may_load(worker_id, function) {
            return;
        }
        if !self.is_confirmed(worker_id, self.now) {
            return self.await_confirmation_for_load(worker_id, function, target, out);
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.slow_start.take();
        let instance = worker.instances.entry(function).or_default();
        instance.load_requested_at = Some(self.now);
        let LoadTarget { instances, part } = target;
        if instances > 1 {
            instance.scale_up = Some(ScaleUp { instances, at: self.now });
        }
        self.load_requests.add(function, worker_id);
        self.recent.loads.add(self.now);
        out.push(Action::Load { worker: worker_id, function, instances, part });
    }

    /// Handles the end of a load: requests that waited for it are placed.
    pub(super) fn on_loaded(&mut self, loaded: Loaded, out: &mut Actions) {
        self.load_requests.remove(loaded.function, loaded.worker);
        self.observe_load(&loaded);
        if loaded.status == Status::Full {
            self.check_after_rejection(loaded.worker, out);
        }
        if loaded.status == Status::Ok {
            for request in self.requests.pending.values_mut() {
                if request.waits_for_load && request.function == loaded.function {
                    request.failed_workers.retain(|worker| *worker != loaded.worker);
                }
            }
        }
        self.place_waiting_for_load(loaded.function, out);
    }

    /// Places the requests that wait for a load of this function.
    pub(super) fn place_waiting_for_load(&mut self, function: FunctionId, out: &mut Actions) {
        let waits = |request: &&PendingRequest| request.waits_for_load && request.function == function;
        let pending = self.requests.pending.iter();
        let waiting: Vec<RequestId> =
            pending.filter(|(_, request)| waits(request)).map(|(id, _)| *id).collect();
        for id in waiting {
            self.place(id, out);
        }
    }

    /// Updates the state of the worker and of its instance by the end of a load.
    fn observe_load(&mut self, loaded: &Loaded) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(loaded.worker) else { return };
        if matches!(loaded.status, Status::Ok | Status::Full | Status::Error) {
            worker.health.mark_alive(now);
        }
        let instance = worker.instances.get_mut(&loaded.function);
        if let Some(instance) = instance.filter(|instance| instance.load_requested_at.is_some()) {
            instance.load_requested_at = None;
            match loaded.status {
                Status::Ok => instance.mark_warm(now + self.settings.loading.keep_alive),
                Status::ConnectFailed => worker.mark_lost(now),
                // The connection broke or the request was never sent, which says nothing about the load.
                Status::Reset | Status::NotSent => {}
                _ => {
                    instance.mark_load_failed(now);
                    if loaded.instances == 0 {
                        instance.mark_missed(now);
                    }
                }
            }
        }
        self.unreachable_zones.record_break(worker, now);
        self.observe_end_with_invalid_list(loaded.worker, loaded.status);
    }
}
