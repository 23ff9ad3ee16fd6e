//! Whether one worker answers: its last sign of life, health checks, peers' reports, its error rate and
//! ejections.

use super::backoff::backoff;
use crate::interface::{Duration, Timestamp};

/// Consecutive unanswered health checks after which a worker is lost.
const UNANSWERED_CHECKS_BEFORE_LOST: u32 = 2;
/// How long a peer's report that a worker is silent counts: two rounds of health checks.
const PEER_REPORT_LIFETIME: Duration = Duration::millis(2000);
/// Requests that break within this time broke with one connection.
const SAME_CONNECTION_WINDOW: Duration = Duration::millis(30);
/// Weight of a new outcome in the error rate.
const ERROR_RATE_WEIGHT: f64 = 0.2;
/// Error rate above which a worker is ejected.
const EJECTION_ERROR_RATE: f64 = 0.4;
/// What the error rate is set to when a worker is ejected.
const ERROR_RATE_AFTER_EJECTION: f64 = 0.25;
/// Error rate above which a served request does not end the growth of the pauses.
const RECOVERED_ERROR_RATE: f64 = ERROR_RATE_AFTER_EJECTION / 2.0;
/// How long a worker that rejected a request under load is left alone.
const REJECTION_PAUSE: Duration = Duration::millis(150);

/// The health of one worker.
#[derive(Default)]
pub struct WorkerHealth {
    /// When it last answered anything; also the time of its listing, and of its loss.
    pub last_seen: Timestamp,
    /// Whether a health check is under way.
    pub check_pending: bool,
    /// When the last one began.
    pub check_begun_at: Timestamp,
    /// When a connection to it broke last.
    pub broke_at: Timestamp,
    unanswered_checks: u32,
    /// When it was silent as a peer reports, if nobody had an answer since.
    reported_silent_at: Option<Timestamp>,
    /// Moving mean of failures among requests at warm instances.
    error_rate: f64,
    ejected_until: Timestamp,
    /// Ejections since it last recovered, for the backoff.
    failures: u32,
}

impl WorkerHealth {
    /// The health of a worker that is new on the list.
    pub fn new(now: Timestamp) -> WorkerHealth {
        WorkerHealth { last_seen: now, ..WorkerHealth::default() }
    }

    /// It answered.
    pub fn mark_alive(&mut self, now: Timestamp) {
        self.last_seen = now;
        self.unanswered_checks = 0;
    }

    /// A health check begins.
    pub fn begin_check(&mut self, now: Timestamp) {
        self.check_pending = true;
        self.check_begun_at = now;
    }

    /// Whether it gets no requests by choice.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Whether a peer found it silent lately, and nothing has come from it since.
    pub fn is_reported_silent(&self, now: Timestamp) -> bool {
        self.reported_silent_at.is_some_and(|at| at > self.last_seen && now - at < PEER_REPORT_LIFETIME)
    }

    /// Whether a connection broke after its last answer.
    pub fn is_broken(&self) -> bool {
        self.broke_at > self.last_seen
    }

    /// A health check got no answer.
    pub fn mark_unanswered_check(&mut self) {
        self.unanswered_checks += 1;
    }

    /// Whether the worker counts as lost by its health checks.
    pub fn has_too_many_unanswered_checks(&self) -> bool {
        self.unanswered_checks >= UNANSWERED_CHECKS_BEFORE_LOST
    }

    /// A peer's health check at that time. One more check of ours without an answer then finds the worker
    /// lost.
    pub fn observe_peer_check(&mut self, answered: bool, at: Timestamp) {
        if answered {
            self.reported_silent_at = self.reported_silent_at.filter(|silent_at| *silent_at > at);
        } else {
            self.reported_silent_at = self.reported_silent_at.max(Some(at));
            self.unanswered_checks = self.unanswered_checks.max(UNANSWERED_CHECKS_BEFORE_LOST - 1);
        }
    }

    /// It cannot be reached.
    pub fn mark_unreachable(&mut self, now: Timestamp) {
        self.broke_at = now;
        if self.ejected_until <= now {
            self.ejected_until = backoff(now, self.failures);
            self.failures += 1;
        }
    }

    /// Whether a connection that breaks now is another than the one that broke last.
    pub fn is_new_break(&self, now: Timestamp) -> bool {
        now - self.broke_at > SAME_CONNECTION_WINDOW
    }

    /// Takes in whether a request failed, and ejects the worker where too many do.
    pub fn observe_outcome(&mut self, now: Timestamp, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.error_rate += (outcome - self.error_rate) * ERROR_RATE_WEIGHT;
        if self.error_rate > EJECTION_ERROR_RATE {
            self.error_rate = ERROR_RATE_AFTER_EJECTION;
            self.ejected_until = self.ejected_until.max(backoff(now, self.failures));
            self.failures += 1;
        }
    }

    /// It served a request: pauses start small again, unless it fails often.
    pub fn mark_served(&mut self) {
        if self.error_rate <= RECOVERED_ERROR_RATE {
            self.failures = 0;
        }
    }

    /// It rejected a request under load.
    pub fn mark_rejected(&mut self, now: Timestamp) {
        self.ejected_until = self.ejected_until.max(now + REJECTION_PAUSE);
    }
}
