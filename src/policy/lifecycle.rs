//! The life of a request: it is accepted, sent, answered, retried or rejected.

use super::latency::ClassLatencies;
use super::requests::{Attempt, AttemptId, PendingRequest, SentTo};
use super::workers::Worker;
use super::{Actions, Policy, Timer, retry};
use crate::interface::*;

/// Pause before another try to place a request for which no worker was found.
pub(super) const PLACEMENT_RETRY_DELAY: Duration = Duration::millis(40);
/// Upper bound of the Retry-After given to a client whose request is rejected.
const MAX_RETRY_AFTER: Duration = Duration::millis(250);
/// Share of its latency objective within which a withdrawn request does not count as demand for its function:
/// no client that wants an answer gives up so soon.
const EARLY_WITHDRAWAL_SHARE: f64 = 0.1;
/// Lower bound on the latency objective that a latency is divided by, in seconds.
const MIN_OBJECTIVE_S: f64 = 0.001;

impl Policy {
    /// Accepts a new request and places it.
    pub(super) fn on_request(&mut self, request: Request, out: &mut Actions) {
        let class = usize::from(request.class.0);
        self.recent.arrivals.add_merged(self.now);
        if class >= self.settings.classes.len() {
            out.push(Action::Fail { id: request.id });
            return;
        }
        self.popularity.observe_request(self.now, &request);
        let deadline = self.now + request.remaining;
        let pending = PendingRequest {
            function: request.function,
            class,
            arrived_at: self.now,
            latency_objective: self.settings.classes[class].latency_objective.min(request.remaining),
            deadline,
            attempts: 0,
            attempt_in_flight: None,
            first_run: None,
            waits_for_load: false,
            confirmation_wait: None,
            failed_workers: Vec::new(),
        };
        self.requests.pending.insert(request.id, pending);
        self.timers.add(deadline - self.settings.tick, Timer::Deadline(request.id));
        self.place(request.id, out);
    }

    /// Drops the request of a client that has left. Its attempt in flight is cancelled to free the capacity
    /// for other requests.
    pub(super) fn on_client_gone(&mut self, id: RequestId, out: &mut Actions) {
        let Some(request) = self.remove_pending(id) else { return };
        let early = request.latency_objective.times(EARLY_WITHDRAWAL_SHARE);
        if self.now - request.arrived_at <= early {
            self.popularity.discount_request(request.function, request.arrived_at);
            self.recent.arrivals.take_back(request.arrived_at);
        }
        self.cancel_in_flight(id, &request, out);
    }

    /// Removes a request that its client no longer waits for.
    fn remove_pending(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.pending.remove(&id)?;
        self.popularity.request_ended(request.function);
        if let Some(wait) = request.confirmation_wait {
            self.waiting_for_confirmation.forget_request(wait.worker, id);
        }
        Some(request)
    }

    fn cancel_in_flight(&self, id: RequestId, request: &PendingRequest, out: &mut Actions) {
        if let Some(attempt) = request.attempt_in_flight
            && self.settings.limits.may_cancel
        {
            out.push(Action::Cancel { id, attempt });
        }
    }

    /// Places a request again after a pause, if it is still pending then.
    pub(super) fn place_later(&mut self, id: RequestId, pause: Duration) {
        self.timers.add(self.now + pause, Timer::Place(id));
    }

    /// Sends a request to a worker, if the worker may be sent it and is confirmed to take work.
    pub(super) fn send(&mut self, id: RequestId, worker_id: WorkerId, warm: bool, out: &mut Actions) {
        if !self.may_send(id, worker_id) {
            return self.place_later(id, PLACEMENT_RETRY_DELAY);
        }
        if !self.is_confirmed(worker_id, self.now) {
            return self.await_confirmation(id, worker_id, warm, out);
        }
        let Some(request) = self.requests.pending.get_mut(&id) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let number = request.attempts;
        request.attempts += 1;
        request.attempt_in_flight = Some(number);
        let attempt = Attempt {
            worker: worker_id,
            function: request.function,
            class: request.class,
            sent: SentTo { at: self.now, zone: worker.member.zone, cell: worker.member.cell },
            latency_objective: request.latency_objective,
            warm,
        };
        self.requests.attempts.insert(AttemptId { request: id, number }, attempt);
        worker.in_flight += 1;
        worker.instances.entry(request.function).or_default().in_flight += 1;
        worker.slow_start.take();
        out.push(Action::Send { id, worker: worker_id, timeout: request.deadline - self.now });
    }

    /// Ends a request that was not served, at its deadline or before: refused if the client may safely retry
    /// it, failed otherwise.
    pub(super) fn reject(&mut self, id: RequestId, out: &mut Actions) {
        let Some(request) = self.remove_pending(id) else { return };
        self.cancel_in_flight(id, &request, out);
        let may_have_run = request.first_run.is_some() || request.attempt_in_flight.is_some();
        let effect = self.settings.classes[request.class].effect;
        if !retry::may_client_retry(effect, may_have_run) {
            out.push(Action::Fail { id });
            return;
        }
        let wait = self.settings.limits.retry_after.map_or(Duration(0), |limit| limit.min(MAX_RETRY_AFTER));
        out.push(Action::Refuse { id, wait });
    }

    /// Handles the end of an attempt: the request ends with it, or is placed again.
    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub(super) fn on_outcome(&mut self, outcome: Outcome, out: &mut Actions) {
        let attempt_id = AttemptId { request: outcome.id, number: outcome.attempt };
        let Some(attempt) = self.requests.attempts.remove(&attempt_id) else { return };
        self.observe_outcome(&outcome, &attempt);
        if outcome.status == Status::Ok {
            self.popularity.mark_served(attempt.function);
        }
        if outcome.status == Status::Full {
            self.check_after_rejection(attempt.worker, out);
        }
        if outcome.finished {
            self.remove_pending(outcome.id);
            return;
        }
        let Some(request) = self.requests.pending.get_mut(&outcome.id) else { return };
        request.attempt_in_flight = None;
        if !outcome.status.never_ran() && request.first_run.is_none() {
            request.first_run = Some(attempt.sent);
        }
        // Another attempt at the same worker would most likely fail the same way.
        if matches!(outcome.status, Status::Miss | Status::Error | Status::Full) {
            request.failed_workers.push(attempt.worker);
        }
        let effect = self.settings.classes[request.class].effect;
        let unsafe_ran = request.first_run.is_some() && effect == Effect::Unsafe;
        if outcome.status == Status::Timeout || self.now >= request.deadline || unsafe_ran {
            self.reject(outcome.id, out);
        } else {
            self.place(outcome.id, out);
        }
    }

    /// Updates the state of the worker and of its instance by an outcome.
    fn observe_outcome(&mut self, outcome: &Outcome, attempt: &Attempt) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(attempt.worker) else { return };
        if attempt.sent.at < worker.listed_at {
            return;
        }
        observe_health(worker, outcome, attempt, now);
        worker.in_flight = worker.in_flight.saturating_sub(1);
        let instance = worker.instances.entry(attempt.function).or_default();
        instance.in_flight = instance.in_flight.saturating_sub(1);
        match outcome.status {
            Status::Ok => {
                instance.mark_warm(now + self.settings.loading.keep_alive);
                worker.health.mark_served();
                worker.readiness.confirm(attempt.sent.at);
                self.recent.served.add_merged(now);
                if attempt.warm {
                    observe_latency(worker, &mut self.class_latencies, outcome, attempt, now);
                }
            }
            Status::Miss => instance.mark_missed(now),
            // No room for an instance, or too many loads: the worker still has room for requests.
            Status::Full if !attempt.warm || worker.limit.is_latency_low() => instance.mark_cold(),
            Status::Full => {
                worker.health.mark_rejected(now);
                worker.limit.decrease(now);
            }
            // A single connection may break while the process lives. If it died, the next attempt is refused.
            Status::Reset => worker.health.broke_at = now,
            Status::ConnectFailed => worker.mark_lost(now),
            Status::Timeout | Status::Cancelled => {
                let mean_s = self.class_latencies.mean_s(attempt.class);
                worker.slowness.observe_at_least(now, outcome.latency.secs() / mean_s);
            }
            Status::Error | Status::NotSent => {}
        }
        worker.forget_blank_instance(attempt.function);
        self.unreachable_zones.record_break(worker, now);
        self.observe_end_with_invalid_list(attempt.worker, outcome.status);
    }
}

/// Records whether a worker answered, and whether the request failed.
fn observe_health(worker: &mut Worker, outcome: &Outcome, attempt: &Attempt, now: Timestamp) {
    let status = outcome.status;
    if matches!(status, Status::Ok | Status::Error | Status::Full | Status::Miss) {
        worker.health.mark_alive(now);
    }
    // A worker that fails at once looks idle and would attract more and more requests. Where no instance was
    // warm, it may be just a load that failed.
    let broke = status == Status::Reset && worker.health.is_new_break(now);
    let answered_warm = attempt.warm && matches!(status, Status::Ok | Status::Error);
    if broke || answered_warm {
        worker.health.observe_outcome(now, status != Status::Ok);
    }
}

/// Records the latency of a request that a warm instance served.
fn observe_latency(
    worker: &mut Worker,
    class_latencies: &mut ClassLatencies,
    outcome: &Outcome,
    attempt: &Attempt,
    now: Timestamp,
) {
    let latency_s = outcome.latency.secs();
    let objective_s = attempt.latency_objective.secs().max(MIN_OBJECTIVE_S);
    worker.slowness.observe(now, latency_s / class_latencies.mean_s(attempt.class));
    class_latencies.observe(attempt.class, latency_s);
    worker.limit.observe(now, (latency_s / objective_s).min(1.0), worker.in_flight);
}
