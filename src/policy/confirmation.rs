//! Requests and loads that wait until a worker confirms that it takes work, because the list of workers may
//! be out of date.

use super::lifecycle::PLACEMENT_RETRY_DELAY;
use super::load_requests::LoadTarget;
use super::readiness::confirmation_lifetime;
use super::requests::ConfirmationWait;
use super::{Actions, Policy, Timer};
use crate::interface::*;
use std::collections::BTreeMap;

/// Share of its remaining time that a request waits for one worker's health check.
const CONFIRMATION_WAIT_SHARE: f64 = 0.25;

/// Minimum time between two health checks of a worker that are caused by its rejections.
const MIN_REJECTION_CHECK_INTERVAL: Duration = Duration::millis(1000);

/// Requests and loads that wait for one worker's health check.
#[derive(Default)]
struct WaitingWork {
    /// The waiting requests; the value is whether a warm instance is expected.
    requests: BTreeMap<RequestId, bool>,
    loads: BTreeMap<FunctionId, LoadTarget>,
}

/// Requests and loads that wait for health checks, by worker. Every health check ends, and its end releases
/// what waits for it.
#[derive(Default)]
pub struct WaitingForConfirmation {
    workers: BTreeMap<WorkerId, WaitingWork>,
}

impl WaitingForConfirmation {
    /// Removes a request that no longer waits for a worker's health check.
    pub fn forget_request(&mut self, worker: WorkerId, request: RequestId) {
        if let Some(waiting) = self.workers.get_mut(&worker) {
            waiting.requests.remove(&request);
        }
    }
}

impl Policy {
    /// Returns whether a worker may be sent new work, given that drains may not have been received.
    pub fn is_confirmed(&self, id: WorkerId, now: Timestamp) -> bool {
        if !self.list_validity.applies_to(id) {
            return true;
        }
        let Some(worker) = self.workers.get(id) else { return false };
        let readiness = &worker.readiness;
        let is_listed = self.list_validity.is_valid(now) && !readiness.is_unavailable();
        is_listed || readiness.is_confirmed(now, confirmation_lifetime(&self.settings))
    }

    /// Returns whether the list is valid by itself, without health checks of workers.
    pub fn list_is_valid(&self, now: Timestamp) -> bool {
        self.list_validity.is_valid(now)
    }

    /// Returns whether a worker is known to take no work, or to be unreachable.
    pub fn is_unavailable(&self, id: WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.readiness.is_unavailable())
    }

    /// Delays a request until the worker has answered whether it takes work.
    pub(super) fn await_confirmation(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        warm: bool,
        out: &mut Actions,
    ) {
        if !self.begin_confirmation(worker, out) {
            return self.place_later(id, PLACEMENT_RETRY_DELAY);
        }
        let Some(request) = self.requests.pending.get_mut(&id) else { return };
        let until = self.now + (request.deadline - self.now).times(CONFIRMATION_WAIT_SHARE);
        request.confirmation_wait = Some(ConfirmationWait { worker, until });
        self.timers.add(until, Timer::Place(id));
        self.waiting_work(worker).requests.insert(id, warm);
    }

    /// Delays a load until the worker has answered whether it takes work.
    pub(super) fn await_confirmation_for_load(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        target: LoadTarget,
        out: &mut Actions,
    ) {
        if self.begin_confirmation(worker, out) {
            self.waiting_work(worker).loads.insert(function, target);
        }
    }

    fn waiting_work(&mut self, worker: WorkerId) -> &mut WaitingWork {
        self.waiting_for_confirmation.workers.entry(worker).or_default()
    }

    /// Starts a health check of a worker, unless one is under way. Returns whether an answer can be waited
    /// for.
    fn begin_confirmation(&mut self, id: WorkerId, out: &mut Actions) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        if !self.settings.limits.may_probe {
            worker.readiness.avoid(self.now);
            return false;
        }
        if !worker.health.check_pending {
            worker.health.begin_check(self.now);
            out.push(Action::Probe { worker: id, part: None });
        }
        true
    }

    /// Updates a worker's readiness by the result of a health check.
    pub(super) fn observe_readiness(&mut self, id: WorkerId, status: Status) {
        let now = self.now;
        let list_is_valid = self.list_is_valid(now);
        if !self.list_validity.applies_to(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        match status {
            Status::Ok => self.mark_confirmed(id),
            Status::Full => worker.readiness.mark_unavailable(now),
            Status::ConnectFailed if !list_is_valid => worker.readiness.mark_unavailable(now),
            _ => {}
        }
        if !self.is_confirmed(id, now)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.readiness.avoid(now);
        }
    }

    /// Records that a worker takes work. If it was unavailable before, it is a new process now, and may have
    /// just started.
    fn mark_confirmed(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let check_begun_at = worker.health.check_begun_at;
        if worker.readiness.is_unavailable() {
            let member = Member { started: Some(self.now), ..worker.member };
            self.insert_process(member);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.readiness.confirm(check_begun_at);
        }
    }

    /// Updates a worker's readiness by the end of a request or load, while the list is not valid.
    pub(super) fn observe_end_with_invalid_list(&mut self, id: WorkerId, status: Status) {
        if self.list_is_valid(self.now) || !self.list_validity.applies_to(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        match status {
            // A draining worker rejects in the same way as a full one.
            Status::Full => worker.readiness.clear_confirmation(),
            Status::ConnectFailed => worker.readiness.mark_unavailable(self.now),
            _ => {}
        }
    }

    /// Handles the rejection of a request or load: the worker is full, or it drains and discovery has not
    /// reported that yet. A worker that keeps rejecting gets a health check.
    pub(super) fn check_after_rejection(&mut self, id: WorkerId, out: &mut Actions) {
        let now = self.now;
        if !self.list_validity.applies_to(id) || !self.settings.limits.may_probe {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let checked_recently = now - worker.health.check_begun_at < MIN_REJECTION_CHECK_INTERVAL;
        if worker.readiness.record_rejection() && !checked_recently {
            self.begin_confirmation(id, out);
        }
    }

    /// Handles the end of a health check: the work that waited for it is sent to this worker, or placed
    /// elsewhere.
    pub(super) fn release_waiting(&mut self, id: WorkerId, out: &mut Actions) {
        let Some(waiting) = self.waiting_for_confirmation.workers.remove(&id) else { return };
        let confirmed = self.is_confirmed(id, self.now);
        for (request, warm) in waiting.requests {
            self.release_request(request, id, confirmed, warm, out);
        }
        for (function, target) in waiting.loads {
            if confirmed {
                self.request_load(id, function, target, out);
            } else {
                self.place_waiting_for_load(function, out);
            }
        }
    }

    fn release_request(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        confirmed: bool,
        warm: bool,
        out: &mut Actions,
    ) {
        let Some(request) = self.requests.pending.get_mut(&id) else { return };
        // By now it may wait for another worker.
        if request.confirmation_wait.take_if(|wait| wait.worker == worker).is_none() {
            return;
        }
        let class = request.class;
        if !confirmed {
            request.failed_workers.push(worker);
        }
        if confirmed && self.has_room(worker, class) {
            self.send(id, worker, warm, out);
        } else {
            self.place(id, out);
        }
    }
}
