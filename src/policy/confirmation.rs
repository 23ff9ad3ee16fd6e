//! Requests and loads that wait until a worker has said that it takes work, as the list may be out of date.

use super::lifecycle::PLACEMENT_RETRY_DELAY;
use super::load_requests::LoadTarget;
use super::readiness::confirmation_lifetime;
use super::requests::ConfirmationWait;
use super::{Actions, Policy, Timer};
use crate::interface::*;
use std::collections::BTreeMap;

/// Share of its remaining time that a request waits for one worker's health check.
const WAIT_SHARE: f64 = 0.25;

/// Least time between two health checks that ask a worker why it rejects.
const MIN_REJECTION_CHECK_INTERVAL: Duration = Duration::millis(1000);

/// What waits for one worker's health check.
#[derive(Default)]
struct WaitingWork {
    /// Whether each request expects a warm instance.
    requests: BTreeMap<RequestId, bool>,
    loads: BTreeMap<FunctionId, LoadTarget>,
}

/// What waits for health checks, by worker. Every check ends, and with it what waits for it.
#[derive(Default)]
pub struct WaitingForConfirmation {
    workers: BTreeMap<WorkerId, WaitingWork>,
}

impl Policy {
    /// Whether a worker may be sent something new, as far as drains are concerned that were not received.
    pub fn is_confirmed(&self, id: WorkerId, now: Timestamp) -> bool {
        if !self.list_validity.governs(id) {
            return true;
        }
        let Some(worker) = self.workers.get(id) else { return false };
        let readiness = &worker.readiness;
        let is_listed = self.list_validity.is_valid(now) && !readiness.is_away();
        is_listed || readiness.is_confirmed(now, confirmation_lifetime(&self.settings))
    }

    /// Whether the list is valid by itself, without asking workers.
    pub fn list_is_valid(&self, now: Timestamp) -> bool {
        self.list_validity.is_valid(now)
    }

    /// Whether a worker is known to take no work, or not to be there.
    pub fn is_away(&self, id: WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.readiness.is_away())
    }

    /// Keeps a request until the worker has said whether it takes work.
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
        let until = self.now + (request.deadline - self.now).times(WAIT_SHARE);
        request.confirmation_wait = Some(ConfirmationWait { worker, until });
        self.timers.add(until, Timer::Place(id));
        self.waiting_work(worker).requests.insert(id, warm);
    }

    /// Keeps a load until the worker has said whether it takes work.
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

    /// Asks a worker, unless a health check is under way; whether an answer can be waited for.
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

    /// Takes in what a health check says of a worker's readiness.
    pub(super) fn observe_readiness(&mut self, id: WorkerId, status: Status) {
        let now = self.now;
        let list_is_valid = self.list_is_valid(now);
        if !self.list_validity.governs(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        match status {
            Status::Ok => self.mark_confirmed(id),
            Status::Full => worker.readiness.mark_away(now),
            Status::ConnectFailed if !list_is_valid => worker.readiness.mark_away(now),
            _ => {}
        }
        if !self.is_confirmed(id, now)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.readiness.avoid(now);
        }
    }

    /// A worker has said that it takes work. One that was away is another process now, and may have just
    /// started.
    fn mark_confirmed(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let asked_at = worker.health.check_begun_at;
        if worker.readiness.is_away() {
            let member = Member { started: Some(self.now), ..worker.member };
            self.insert_process(member);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.readiness.confirm(asked_at);
        }
    }

    /// Takes in what the end of a request or load says of a worker's readiness, while the list is not valid.
    pub(super) fn observe_unlisted_end(&mut self, id: WorkerId, status: Status) {
        if self.list_is_valid(self.now) || !self.list_validity.governs(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        match status {
            // A worker that drains rejects like a full one.
            Status::Full => worker.readiness.mark_doubtful(),
            Status::ConnectFailed => worker.readiness.mark_away(self.now),
            _ => {}
        }
    }

    /// A worker has rejected a request or load: it is full, or it drains and discovery has not told yet. One
    /// that goes on rejecting is asked.
    pub(super) fn ask_why_rejected(&mut self, id: WorkerId, out: &mut Actions) {
        let now = self.now;
        if !self.list_validity.governs(id) || !self.settings.limits.may_probe {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let asked_lately = now - worker.health.check_begun_at < MIN_REJECTION_CHECK_INTERVAL;
        if worker.readiness.note_rejection() && !asked_lately {
            self.begin_confirmation(id, out);
        }
    }

    /// A health check has ended: what waited for it goes to this worker, or is placed elsewhere.
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
        // It may wait for another worker by now.
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
