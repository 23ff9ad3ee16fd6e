//! Selection of the worker for a request among the first eligible ones in the function's rendezvous order: a
//! warm instance is preferred to a cold start, then the least busy worker.

use super::lifecycle::PLACEMENT_RETRY_DELAY;
use super::load_requests::{LOAD_WAIT, LoadTarget};
use super::rendezvous::mix;
use super::{Actions, Policy};
use crate::interface::*;
use rand_core::RngCore;

/// Candidates in rendezvous order that a request considers, beyond twice the wanted instances.
const EXTRA_CANDIDATES: usize = 12;
/// Number of first candidates at which a request may cause a cold start.
const COLD_START_CANDIDATES: usize = 2;
/// Candidates beyond the wanted instances at which a load may be requested. Loads that find no room must not
/// be tried at one worker after another through the whole fleet.
const EXTRA_LOAD_CANDIDATES: usize = 2;
/// Requests subtracted from a function's count: with skewed popularity, so many of the counted ones are due
/// to chance.
const REQUEST_COUNT_DISCOUNT: f64 = 0.8;
/// Seconds added to the counting period for each scheduler of the fleet, likewise because popularity is
/// skewed.
const EXTRA_COUNTING_S_PER_SCHEDULER: f64 = 0.02;
/// Concurrency slots wanted per concurrent request when all workers have room, to absorb bursts.
const BURST_FACTOR_UNSATURATED: f64 = 1.5;
/// The same when no worker has room.
const BURST_FACTOR_SATURATED: f64 = 0.7;
/// Cost of crossing zones, in requests in flight, for a price of 1.
const CROSS_ZONE_WEIGHT: f64 = 10.0;
/// Cost of each request beyond the free concurrency slots, in requests in flight.
const MISSING_SLOT_WEIGHT: f64 = 2.0;

/// A request that is being placed.
struct Placement {
    id: RequestId,
    function: FunctionId,
    class: usize,
    /// Requests that one instance runs at a time.
    concurrency: u32,
    /// Instances that the function's requests need.
    instances: usize,
    /// Workers where it failed before.
    failed_workers: Vec<WorkerId>,
    /// Random value that breaks ties.
    salt: u64,
}

impl Policy {
    /// Sends a request to a worker, delays it or rejects it.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Actions) {
        let salt = self.rng.next_u64();
        let request = self.requests.pending.get_mut(&id);
        let Some(request) = request.filter(|request| request.attempt_in_flight.is_none()) else { return };
        if let Some(wait) = request.confirmation_wait {
            if self.now < wait.until {
                return;
            }
            request.confirmation_wait = None;
            request.failed_workers.push(wait.worker);
        }
        request.waits_for_load = false;
        if request.attempts >= self.settings.classes[request.class].max_attempts {
            return self.reject(id, out);
        }
        let (function, class) = (request.function, request.class);
        let failed_workers = request.failed_workers.clone();
        let Some(concurrency) = self.popularity.get(function).map(|function| function.concurrency) else {
            return self.reject(id, out);
        };
        let instances = self.wanted_instances(function, class);
        let placement = Placement { id, function, class, concurrency, instances, failed_workers, salt };
        let eligible = self.eligible_workers(id, function, instances * 2 + EXTRA_CANDIDATES);
        let eligible = eligible.iter().map(|worker| (worker, &self.workers[*worker]));
        let candidates = self.healthy_workers(eligible);
        if !candidates.iter().any(|worker| self.has_room(*worker, class)) {
            return self.delay_or_reject(id, out);
        }
        let warm = self.warm_workers(&placement, &candidates);
        if let Some(worker) = self.bronze_worker(&placement, &warm) {
            return self.send(id, worker, self.workers.is_warm(function, worker, self.now), out);
        }
        if !warm.is_empty() {
            return self.send_to_warm(&placement, &candidates, &warm, out);
        }
        match self.settings.loading.on_miss {
            OnMiss::Load => self.send_to_cold(&placement, &candidates, out),
            OnMiss::Miss => self.find_or_load(&placement, &candidates, out),
        }
    }

    /// Returns the first eligible workers in a function's rendezvous order, which is the same at all
    /// schedulers.
    fn eligible_workers(&mut self, id: RequestId, function_id: FunctionId, wanted: usize) -> Vec<WorkerId> {
        for ranked in [wanted, wanted * 4] {
            let Some(function) = self.popularity.get_mut(function_id) else { return vec![] };
            self.workers.rendezvous().update(function_id.0, &mut function.ranked_workers, ranked);
            let Some(function) = self.popularity.get(function_id) else { return vec![] };
            let order = &function.ranked_workers;
            let eligible: Vec<WorkerId> =
                order.workers().filter(|worker| self.may_send(id, *worker)).take(wanted).collect();
            if eligible.len() == wanted || order.len() == self.workers.rendezvous().len() {
                return eligible;
            }
        }
        // Few workers are eligible, such as those of one cell: it is cheaper to filter first and rank those.
        let eligible = self.workers.ids().filter(|worker| self.may_send(id, *worker));
        self.workers.rendezvous().first(function_id.0, eligible, wanted)
    }

    /// Returns the candidates where a warm instance is expected. Where a request loads a missing function,
    /// the first candidates count as warm: requests of all schedulers go there, so they have an instance or
    /// soon will.
    fn warm_workers(&self, placement: &Placement, candidates: &[WorkerId]) -> Vec<WorkerId> {
        let Placement { function, failed_workers, .. } = placement;
        let shared = match self.settings.loading.on_miss {
            OnMiss::Load => placement.instances.min(candidates.len()),
            OnMiss::Miss => 0,
        };
        let shared = &candidates[..shared];
        let is_assumed_warm = |worker: &WorkerId| {
            shared.contains(worker) && !self.workers.missed_recently(*function, *worker, self.now)
        };
        let is_warm = |worker: &WorkerId| {
            !failed_workers.contains(worker)
                && (self.workers.is_warm(*function, *worker, self.now) || is_assumed_warm(worker))
        };
        candidates.iter().copied().filter(is_warm).collect()
    }

    /// Returns the worker for a bronze function: the first in order with a free slot, so that few instances
    /// are kept warm.
    fn bronze_worker(&self, placement: &Placement, warm: &[WorkerId]) -> Option<WorkerId> {
        if !self.popularity.is_bronze(placement.function) {
            return None;
        }
        let mut with_room = warm.iter().copied().filter(|worker| self.has_room(*worker, placement.class));
        with_room.find(|worker| self.has_free_slot(placement, *worker))
    }

    fn has_free_slot(&self, placement: &Placement, worker: WorkerId) -> bool {
        self.workers.concurrency_in_use(placement.function, worker) < placement.concurrency
    }

    /// Sends a request to the least busy warm worker. If all its slots are in use, a load at one more worker
    /// is requested.
    fn send_to_warm(
        &mut self,
        placement: &Placement,
        candidates: &[WorkerId],
        warm: &[WorkerId],
        out: &mut Actions,
    ) {
        let function = placement.function;
        let has_room = |worker: &WorkerId| self.has_room(*worker, placement.class);
        let with_room: Vec<WorkerId> = warm.iter().copied().filter(has_room).collect();
        let least_busy = self.least_busy(placement, &with_room);
        let Some(best) = least_busy.or(warm.first().copied()) else { return };
        let full = with_room.is_empty() || !self.has_free_slot(placement, best);
        if with_room.is_empty() {
            self.delay_or_reject(placement.id, out);
        } else {
            self.send(placement.id, best, true, out);
        }
        if !full || self.pending_loads(function) > 0 || warm.len() >= placement.instances {
            return;
        }
        let next = candidates.iter().copied().find(|worker| !warm.contains(worker));
        if let Some(worker) =
            next.filter(|worker| self.weighted_load(*worker) + 1.0 < self.weighted_load(best))
        {
            self.request_load(worker, function, LoadTarget::ONE_INSTANCE, out);
        }
    }

    /// Sends a request to a worker that loads the function while the request waits.
    fn send_to_cold(&mut self, placement: &Placement, candidates: &[WorkerId], out: &mut Actions) {
        let with_free_slot =
            candidates.iter().copied().filter(|worker| self.has_free_slot(placement, *worker));
        let untried = with_free_slot.clone().filter(|worker| !placement.failed_workers.contains(worker));
        let mut first_candidates = untried.chain(with_free_slot).take(COLD_START_CANDIDATES);
        let worker = first_candidates.find(|worker| self.has_room(*worker, placement.class));
        match worker {
            Some(worker) => self.send(placement.id, worker, false, out),
            None => self.delay_or_reject(placement.id, out),
        }
    }

    /// Sends a request to a worker that may have an instance, or requests a load at one and delays the
    /// request until it ends.
    fn find_or_load(&mut self, placement: &Placement, candidates: &[WorkerId], out: &mut Actions) {
        let Placement { id, function, failed_workers, .. } = placement;
        if self.pending_loads(*function) == 0 {
            let is_unknown = |worker: &WorkerId| {
                !failed_workers.contains(worker)
                    && !self.workers.missed_recently(*function, *worker, self.now)
            };
            let first_candidates = candidates.iter().copied().take(COLD_START_CANDIDATES);
            let mut with_room = first_candidates.filter(|worker| self.has_room(*worker, placement.class));
            if let Some(worker) = with_room.find(is_unknown) {
                return self.send(*id, worker, false, out);
            }
            let mut load_candidates =
                candidates.iter().copied().take(placement.instances + EXTRA_LOAD_CANDIDATES);
            let Some(worker) = load_candidates.find(|worker| self.may_load(*worker, *function)) else {
                return self.place_later(*id, PLACEMENT_RETRY_DELAY);
            };
            self.request_load(worker, *function, LoadTarget::ONE_INSTANCE, out);
        }
        if let Some(request) = self.requests.pending.get_mut(id) {
            request.waits_for_load = true;
        }
        self.place_later(*id, LOAD_WAIT);
    }

    /// Returns how many instances a function's requests need, with headroom for bursts that shrinks as
    /// workers run out of room.
    pub(super) fn wanted_instances(&self, function_id: FunctionId, class: usize) -> usize {
        let Some(function) = self.popularity.get(function_id) else { return 1 };
        let fleet = f64::from(self.settings.fleet_size.max(1));
        let window_s = self.popularity.counting_period_s(self.now) + EXTRA_COUNTING_S_PER_SCHEDULER * fleet;
        let burst =
            BURST_FACTOR_UNSATURATED + (BURST_FACTOR_SATURATED - BURST_FACTOR_UNSATURATED) * self.saturation;
        let requests_per_s = (f64::from(function.requests()) - REQUEST_COUNT_DISCOUNT).max(0.0) / window_s;
        let mean_s = self.class_latencies.mean_s(class);
        let instances = requests_per_s * fleet * mean_s * burst / f64::from(function.concurrency);
        (instances.ceil() as usize).max(1)
    }

    /// Returns the cost of sending a request to a worker: our requests in flight including this one, weighted
    /// by the worker's slowness, plus the price of crossing zones.
    fn weighted_load(&self, worker: WorkerId) -> f64 {
        let Some(worker) = self.workers.get(worker) else { return f64::INFINITY };
        let is_local = worker.member.zone == self.settings.zone;
        let cross_zone = if is_local { 0.0 } else { self.settings.prices.cross_zone };
        (f64::from(worker.in_flight) + 1.0) * worker.slowness.at(self.now) + cross_zone * CROSS_ZONE_WEIGHT
    }

    /// Returns the least busy worker; one with a free concurrency slot is preferred, and ties are broken at
    /// random.
    fn least_busy(&self, placement: &Placement, workers: &[WorkerId]) -> Option<WorkerId> {
        let missing_slots = |worker: WorkerId| {
            let wanted = self.workers.concurrency_in_use(placement.function, worker) + 1;
            wanted.saturating_sub(placement.concurrency)
        };
        let cost = |worker: WorkerId| {
            self.weighted_load(worker) + MISSING_SLOT_WEIGHT * f64::from(missing_slots(worker))
        };
        let ranked = workers.iter().map(|worker| (cost(*worker), mix(placement.salt ^ worker.0), *worker));
        let best = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, _, worker)| worker)
    }
}
