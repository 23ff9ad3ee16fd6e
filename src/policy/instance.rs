//! State of one function at one worker: whether a warm instance is expected there, and its loads.

use super::backoff::backoff;
use crate::interface::Duration;
use crate::interface::Timestamp;

/// How long a worker's answer that it has no instance is taken into account.
const MISS_LIFETIME: Duration = Duration::millis(1000);

/// A request for more than one instance.
#[derive(Clone, Copy)]
pub struct ScaleUp {
    /// Instances that were to be warm in total.
    pub instances: u8,
    /// When they were requested.
    pub at: Timestamp,
}

/// State of one function at one worker.
#[derive(Default)]
pub struct InstanceState {
    /// Until when the worker keeps an idle instance, as far as is known.
    pub warm_until: Timestamp,
    /// When the load that is under way was requested.
    pub load_requested_at: Option<Timestamp>,
    /// The last request for more than one instance.
    pub scale_up: Option<ScaleUp>,
    /// Our requests in flight.
    pub in_flight: u32,
    /// After a failed load, no load may be requested before this time.
    pub retry_at: Timestamp,
    missed_at: Option<Timestamp>,
    load_failures: u32,
}

impl InstanceState {
    /// Returns whether a warm instance is expected.
    pub fn is_warm(&self, now: Timestamp) -> bool {
        (self.warm_until > now || self.in_flight > 0) && !self.missed_recently(now)
    }

    /// Returns whether the worker answered within [`MISS_LIFETIME`] that it has no instance.
    pub fn missed_recently(&self, now: Timestamp) -> bool {
        self.missed_at.is_some_and(|at| now - at < MISS_LIFETIME)
    }

    /// Returns whether a load is under way that is not a renewal of a warm instance.
    pub fn is_loading(&self, now: Timestamp) -> bool {
        self.warm_until <= now && self.load_requested_at.is_some()
    }

    /// Records that an instance is warm now and is kept until `until`.
    pub fn mark_warm(&mut self, until: Timestamp) {
        self.warm_until = until;
        self.missed_at = None;
        self.load_failures = 0;
    }

    /// Records that the worker has no instance.
    pub fn mark_missed(&mut self, now: Timestamp) {
        self.missed_at = Some(now);
        self.mark_cold();
    }

    /// Records that no instance is expected any more.
    pub fn mark_cold(&mut self) {
        self.warm_until = Timestamp(0);
    }

    /// Records a failed load: the next one is requested after a growing pause.
    pub fn mark_load_failed(&mut self, now: Timestamp) {
        self.retry_at = backoff(now, self.load_failures);
        self.load_failures += 1;
    }

    /// Returns whether nothing is known of the function at this worker, so that its entry can be dropped.
    pub fn is_blank(&self) -> bool {
        self.in_flight == 0
            && self.warm_until == Timestamp(0)
            && self.retry_at == Timestamp(0)
            && self.load_failures == 0
            && self.load_requested_at.is_none()
            && self.scale_up.is_none()
            && self.missed_at.is_none()
    }

    /// Returns whether a request or load is under way, an instance was warm within a keep-alive, or a retry
    /// is pending.
    pub fn is_relevant(&self, now: Timestamp, keep_alive: Duration) -> bool {
        self.in_flight > 0
            || self.load_requested_at.is_some()
            || now - self.warm_until < keep_alive
            || self.retry_at > now
    }
}
