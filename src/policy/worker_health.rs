//! Health of one worker: when it was last seen, health checks, peers' reports, its error rate and ejections.

use super::backoff::backoff;
use crate::interface::{Duration, Timestamp};

/// Consecutive unanswered health checks after which a worker is lost.
const UNANSWERED_CHECKS_BEFORE_LOST: u32 = 2;
/// How long a peer's report that a worker is silent is taken into account: two rounds of health checks.
const PEER_REPORT_LIFETIME: Duration = Duration::millis(2000);
/// Failures within this time of each other are attributed to one broken connection.
const SAME_CONNECTION_WINDOW: Duration = Duration::millis(30);
/// Weight of a new outcome in the error rate.
const ERROR_RATE_WEIGHT: f64 = 0.2;
/// Error rate above which a worker is ejected.
const EJECTION_ERROR_RATE: f64 = 0.4;
/// Value that the error rate is set to when a worker is ejected.
const ERROR_RATE_AFTER_EJECTION: f64 = 0.25;
/// Error rate up to which a served request resets the backoff.
const RECOVERED_ERROR_RATE: f64 = ERROR_RATE_AFTER_EJECTION / 2.0;
/// How long a worker that rejected a request under load is ejected.
const REJECTION_PAUSE: Duration = Duration::millis(150);

/// The health of one worker.
#[derive(Default)]
pub struct WorkerHealth {
    /// When it last answered anything; also set when it is listed, and when it is lost.
    pub last_seen: Timestamp,
    /// Whether a health check is under way.
    pub check_pending: bool,
    /// When the last health check began.
    pub check_begun_at: Timestamp,
    /// When a connection to it last broke.
    pub broke_at: Timestamp,
    unanswered_checks: u32,
    /// Time of the last health check that it left unanswered, by a peer's report; cleared by a later report
    /// that it answered.
    reported_silent_at: Option<Timestamp>,
    /// Moving mean of failures among requests at warm instances.
    error_rate: f64,
    ejected_until: Timestamp,
    /// Number of ejections since it last recovered, for the backoff.
    failures: u32,
}

impl WorkerHealth {
    /// Creates the health of a worker that is new on the list.
    pub fn new(now: Timestamp) -> WorkerHealth {
        WorkerHealth { last_seen: now, ..WorkerHealth::default() }
    }

    /// Records an answer.
    pub fn mark_alive(&mut self, now: Timestamp) {
        self.last_seen = now;
        self.unanswered_checks = 0;
    }

    /// Records the start of a health check.
    pub fn begin_check(&mut self, now: Timestamp) {
        self.check_pending = true;
        self.check_begun_at = now;
    }

    /// Returns whether the worker is ejected, and gets no requests by choice.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Returns whether a peer recently found the worker silent, and nothing was received from it since.
    pub fn is_reported_silent(&self, now: Timestamp) -> bool {
        self.reported_silent_at.is_some_and(|at| at > self.last_seen && now - at < PEER_REPORT_LIFETIME)
    }

    /// Returns whether a connection broke after the worker's last answer.
    pub fn is_broken(&self) -> bool {
        self.broke_at > self.last_seen
    }

    /// Records a health check without an answer.
    pub fn mark_unanswered_check(&mut self) {
        self.unanswered_checks += 1;
    }

    /// Returns whether so many health checks went unanswered that the worker is lost.
    pub fn has_too_many_unanswered_checks(&self) -> bool {
        self.unanswered_checks >= UNANSWERED_CHECKS_BEFORE_LOST
    }

    /// Records the result of a peer's health check at time `at`. If it went unanswered, one more unanswered
    /// check of ours makes the worker lost.
    pub fn observe_peer_check(&mut self, answered: bool, at: Timestamp) {
        if answered {
            self.reported_silent_at = self.reported_silent_at.filter(|silent_at| *silent_at > at);
        } else {
            self.reported_silent_at = self.reported_silent_at.max(Some(at));
            self.unanswered_checks = self.unanswered_checks.max(UNANSWERED_CHECKS_BEFORE_LOST - 1);
        }
    }

    /// Records that the worker cannot be reached, and ejects it.
    pub fn mark_unreachable(&mut self, now: Timestamp) {
        self.broke_at = now;
        if self.ejected_until <= now {
            self.ejected_until = backoff(now, self.failures);
            self.failures += 1;
        }
    }

    /// Returns whether a connection that breaks now is not the one that broke last.
    pub fn is_new_break(&self, now: Timestamp) -> bool {
        now - self.broke_at > SAME_CONNECTION_WINDOW
    }

    /// Records whether a request failed, and ejects the worker if its error rate is too high.
    pub fn observe_outcome(&mut self, now: Timestamp, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.error_rate += (outcome - self.error_rate) * ERROR_RATE_WEIGHT;
        if self.error_rate > EJECTION_ERROR_RATE {
            self.error_rate = ERROR_RATE_AFTER_EJECTION;
            self.ejected_until = self.ejected_until.max(backoff(now, self.failures));
            self.failures += 1;
        }
    }

    /// Records that the worker served a request: the backoff starts anew, unless its error rate is still
    /// high.
    pub fn mark_served(&mut self) {
        if self.error_rate <= RECOVERED_ERROR_RATE {
            self.failures = 0;
        }
    }

    /// Records the rejection of a request under load.
    pub fn mark_rejected(&mut self, now: Timestamp) {
        self.ejected_until = self.ejected_until.max(now + REJECTION_PAUSE);
    }
}
