//! Admission of requests to workers: which worker may be sent a request now, and how long a request may wait
//! until a worker has room.

use super::lifecycle::PLACEMENT_RETRY_DELAY;
use super::slow_start::has_budget;
use super::{Actions, Policy, retry};
use crate::interface::*;
use std::collections::BTreeSet;

/// Ratio of priority weight per second of work above which a class has priority over another. The concurrency
/// limits of workers are multiplied by the same figure for a class with priority.
const PRIORITY_ADVANTAGE: f64 = 1.5;
/// Lower bound on the mean latency that a class's priority weight is divided by, in seconds.
const MIN_MEAN_LATENCY_S: f64 = 0.001;
/// Share of the workers without room above which waiting requests are shed.
const SHEDDING_SATURATION: f64 = 0.5;
/// Share of its latency objective that a request may wait for room while the fleet is saturated. After a
/// longer wait, its execution and a queue at the worker would make it late.
const SATURATED_WAIT_SHARE: f64 = 0.2;
/// Share of the time until its deadline after which a request that has found no room is rejected.
const MAX_WAIT_SHARE: f64 = 0.4;

impl Policy {
    /// Returns whether a request may be sent to a worker: the worker is listed, ready, not avoided and within
    /// its slow-start budget; the request has attempts left, none in flight, and its class's effect allows a
    /// repeat there.
    pub(super) fn may_send(&self, id: RequestId, worker: WorkerId) -> bool {
        let Some(request) = self.requests.pending.get(&id) else { return false };
        let Some(worker) = self.workers.get(worker) else { return false };
        let class = &self.settings.classes[request.class];
        let attempts_left = request.attempt_in_flight.is_none() && request.attempts < class.max_attempts;
        if !attempts_left
            || worker.member.state != State::Ready
            || worker.readiness.is_avoided(self.now)
            || !has_budget(worker, &self.settings.rules, self.now)
        {
            return false;
        }
        let Some(first_run) = request.first_run else { return true };
        retry::is_in_group(class.effect, first_run, &worker.member)
            && retry::may_repeat(class.effect, first_run.at, self.now)
    }

    /// Returns whether our requests in flight at a worker are below its concurrency limit.
    pub(super) fn has_room(&self, worker: WorkerId, class: usize) -> bool {
        let multiple = if self.has_priority(class) { PRIORITY_ADVANTAGE } else { 1.0 };
        self.workers.get(worker).is_some_and(|worker| worker.limit.admits(worker.in_flight, multiple))
    }

    /// Returns whether a class's priority weight per second of work is clearly above that of another class.
    fn has_priority(&self, class: usize) -> bool {
        let means_s = self.class_latencies.means_s();
        let weight_per_s = |class: usize| {
            self.settings.classes[class].priority_weight / means_s[class].max(MIN_MEAN_LATENCY_S)
        };
        (0..means_s.len()).any(|other| weight_per_s(class) > weight_per_s(other) * PRIORITY_ADVANTAGE)
    }

    /// Delays a request for which no worker has room, as queues at workers would only prolong an overload.
    /// While the fleet is saturated, requests that would end late are shed.
    pub(super) fn delay_or_reject(&mut self, id: RequestId, out: &mut Actions) {
        let Some(request) = self.requests.pending.get(&id) else { return };
        let must_shed = self.saturation > SHEDDING_SATURATION
            && self.now > request.arrived_at + request.latency_objective.times(SATURATED_WAIT_SHARE);
        let effect = self.settings.classes[request.class].effect;
        let window_over = retry::is_window_over(effect, request.first_run, self.now);
        let max_wait = (request.deadline - request.arrived_at).times(MAX_WAIT_SHARE);
        // No attempt can finish in time any more, or none is allowed: reject now so that the client can back
        // off.
        if must_shed || window_over || self.now > request.arrived_at + max_wait {
            self.reject(id, out);
        } else {
            self.place_later(id, PLACEMENT_RETRY_DELAY);
        }
    }

    /// Recomputes the share of the workers that have no room. Workers without requests of ours always have
    /// room.
    pub(super) fn update_saturation(&mut self) {
        let busy: BTreeSet<WorkerId> =
            self.requests.attempts.values().map(|attempt| attempt.worker).collect();
        let is_full =
            |worker: &&WorkerId| self.workers.get(**worker).is_some() && !self.has_room(**worker, 0);
        let full = busy.iter().filter(is_full).count();
        self.saturation = full as f64 / self.workers.len().max(1) as f64;
    }
}
