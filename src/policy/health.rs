//! Which workers are skipped as unhealthy, and when workers get health checks.

use super::maintenance::MAINTENANCE_INTERVAL;
use super::rendezvous::mix;
use super::requests::Attempt;
use super::workers::Worker;
use super::{Actions, Policy, retry};
use crate::interface::*;
use std::collections::BTreeSet;

/// Silence of a worker with [`SHORTEST_SILENCE_REQUESTS`] or more in flight after which it gets a health
/// check.
const MIN_SILENCE_BEFORE_CHECK: Duration = Duration::millis(800);
/// Number of requests in flight at which the allowed silence is shortest; with fewer it is longer in
/// proportion.
const SHORTEST_SILENCE_REQUESTS: u32 = 3;
/// Silence after which a worker in our part of the fleet's health checks is checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::millis(1000);
/// Probability that an overdue request causes a health check, which returns its worker's load report.
const OVERDUE_CHECK_PROBABILITY: f64 = 0.15;
/// Multiple of the mean latency of its class that an overdue request must have taken to cause a health check.
const OVERDUE_CHECK_MIN_RATIO: f64 = 2.0;
/// Multiple of the mean slowness above which a worker is an outlier.
const SLOWNESS_OUTLIER_FACTOR: f64 = 2.0;

/// A worker that a request may be sent to.
struct Candidate<'a> {
    id: WorkerId,
    worker: &'a Worker,
    slowness: f64,
}

impl Policy {
    /// Returns how many ready workers are skipped as unhealthy or avoided, and have none of our requests in
    /// flight.
    pub fn avoided(&self) -> usize {
        let ready = self.workers.iter().filter(|(_, worker)| worker.member.state == State::Ready);
        let healthy: BTreeSet<WorkerId> = self.healthy_workers(ready.clone()).into_iter().collect();
        let is_skipped =
            |id: &WorkerId, worker: &Worker| !healthy.contains(id) || worker.readiness.is_avoided(self.now);
        ready.filter(|(id, worker)| worker.in_flight == 0 && is_skipped(id, worker)).count()
    }

    /// Leaves out workers that are ejected, reported as silent, in an unreachable zone or far slower than the
    /// rest. If that would leave out more than half, all of them are returned.
    pub(super) fn healthy_workers<'a>(
        &self,
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
    ) -> Vec<WorkerId> {
        let candidates: Vec<Candidate> = workers
            .map(|(id, worker)| Candidate { id: *id, worker, slowness: worker.slowness.at(self.now) })
            .collect();
        let total_slowness = candidates.iter().map(|candidate| candidate.slowness).sum::<f64>();
        let max_slowness = total_slowness / candidates.len().max(1) as f64 * SLOWNESS_OUTLIER_FACTOR;
        let healthy = candidates.iter().filter(|candidate| self.is_healthy(candidate, max_slowness));
        let healthy: Vec<WorkerId> = healthy.map(|candidate| candidate.id).collect();
        if healthy.len() * 2 >= candidates.len() {
            healthy
        } else {
            candidates.iter().map(|candidate| candidate.id).collect()
        }
    }

    fn is_healthy(&self, candidate: &Candidate, max_slowness: f64) -> bool {
        let health = &candidate.worker.health;
        let is_outlier = candidate.slowness > max_slowness;
        !health.is_ejected(self.now)
            && !health.is_reported_silent(self.now)
            && !self.unreachable_zones.contains(candidate.worker.member.zone, self.now)
            && !is_outlier
    }

    /// Checks workers that are silent while requests are in flight there. The age of those requests counts in
    /// the workers' slowness.
    pub(super) fn check_silent_workers(&mut self, out: &mut Actions) {
        let now = self.now;
        let limits = &self.settings.limits;
        for attempt in self.requests.attempts.values() {
            let worker = self.workers.get_mut(attempt.worker);
            let Some(worker) = worker.filter(|worker| attempt.sent.at >= worker.listed_at) else { continue };
            let ratio = (now - attempt.sent.at).secs() / self.class_latencies.mean_s(attempt.class);
            worker.slowness.observe_in_flight(now, ratio);
            let is_silent = limits.may_cancel && is_silent(worker, attempt, now);
            let needs_report = needs_load_report(attempt, ratio, now);
            if limits.may_probe && (is_silent || needs_report) && !worker.health.check_pending {
                worker.health.begin_check(now);
                out.push(Action::Probe { worker: attempt.worker, part: None });
            }
        }
    }

    /// Checks silent workers in this scheduler's parts of the fleet's health checks.
    pub(super) fn check_idle_workers(&mut self, out: &mut Actions) {
        let now = self.now;
        let shares = &self.shares;
        if !shares.own.iter().any(|(task, _)| *task == Task::Probe) {
            return;
        }
        for (id, worker) in self.workers.iter_mut() {
            let health = &mut worker.health;
            if health.check_pending || now - health.last_seen < IDLE_CHECK_INTERVAL {
                continue;
            }
            let part = (mix(id.0) % u64::from(shares.parts.max(1))) as u16;
            if shares.own.contains(&(Task::Probe, part)) {
                health.begin_check(now);
                out.push(Action::Probe { worker: *id, part: Some(part) });
            }
        }
    }

    /// Records the result of a peer's health check. It cancels nothing here: a silent worker is skipped for a
    /// while, and counts as lost after one unanswered check of ours.
    pub(super) fn on_peer_health(&mut self, id: WorkerId, answered: bool, at: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if at > worker.health.last_seen.max(worker.listed_at) {
            worker.health.observe_peer_check(answered, at);
        }
    }

    /// Handles the end of a health check. A worker that leaves too many unanswered is lost: its requests are
    /// placed elsewhere, if their classes allow it.
    pub(super) fn on_probed(&mut self, id: WorkerId, status: Status, report: &[f32], out: &mut Actions) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.health.check_pending = false;
        self.observe_readiness(id, status);
        self.observe_check(id, status, report, out);
        self.release_waiting(id, out);
    }

    fn observe_check(&mut self, id: WorkerId, status: Status, report: &[f32], out: &mut Actions) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if status == Status::Ok {
            worker.health.mark_alive(now);
            return self.scale_up(id, report, out);
        }
        // It answers, so it finishes the requests that it has.
        if status == Status::Full && self.list_validity.applies_to(id) {
            return worker.health.mark_alive(now);
        }
        if status != Status::NotSent {
            worker.health.mark_unanswered_check();
        }
        if worker.health.has_too_many_unanswered_checks() {
            // Reset the count of unanswered checks.
            worker.health.mark_alive(now);
            worker.mark_lost(now);
            self.cancel_repeatable_requests(id, out);
        }
    }

    /// Cancels the attempts at a worker whose requests may be sent again.
    fn cancel_repeatable_requests(&self, worker: WorkerId, out: &mut Actions) {
        for (id, attempt) in self.requests.attempts.iter().filter(|(_, attempt)| attempt.worker == worker) {
            let request = self.requests.pending.get(&id.request);
            let Some(request) = request.filter(|request| request.attempt_in_flight == Some(id.number)) else {
                continue;
            };
            let first_sent_at = request.first_run.unwrap_or(attempt.sent).at;
            let class = &self.settings.classes[request.class];
            let may_repeat = retry::may_repeat(class.effect, first_sent_at, self.now);
            if may_repeat && request.attempts < class.max_attempts {
                out.push(Action::Cancel { id: id.request, attempt: id.number });
            }
        }
    }
}

/// Returns whether a worker has been silent for longer than is allowed for its number of requests in flight.
fn is_silent(worker: &Worker, attempt: &Attempt, now: Timestamp) -> bool {
    let in_flight = worker.in_flight.clamp(1, SHORTEST_SILENCE_REQUESTS);
    let allowed_silence =
        MIN_SILENCE_BEFORE_CHECK.times(f64::from(SHORTEST_SILENCE_REQUESTS) / f64::from(in_flight));
    now - attempt.sent.at.max(worker.health.last_seen) >= allowed_silence
}

/// Returns whether an attempt became overdue in this round of maintenance and is drawn for a health check;
/// `ratio` is its age as a multiple of the mean latency.
fn needs_load_report(attempt: &Attempt, ratio: f64, now: Timestamp) -> bool {
    let overdue_for = now - (attempt.sent.at + attempt.overdue_after());
    overdue_for.0 > 0
        && overdue_for <= MAINTENANCE_INTERVAL
        && ratio > OVERDUE_CHECK_MIN_RATIO
        && (mix(now.0 ^ attempt.worker.0) as f64) < OVERDUE_CHECK_PROBABILITY * u64::MAX as f64
}
