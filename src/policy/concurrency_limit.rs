//! Adaptive limit on our requests in flight at one worker (AIMD): additive increase while its answers are in
//! time, multiplicative decrease when they are late or requests are rejected.

use super::latency::LATENCY_WEIGHT;
use crate::interface::{Duration, Timestamp};

/// Limit of a new worker, in requests in flight.
const INITIAL_LIMIT: f64 = 8.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 1.0;
/// Upper bound of the limit.
const MAX_LIMIT: f64 = 64.0;
/// Increase of the limit for each answer in time.
const LIMIT_INCREASE: f64 = 0.2;
/// Factor by which the limit is multiplied on a sign of overload.
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::millis(150);
/// Mean latency, as a share of the latency objective, above which a worker counts as overloaded: about one
/// request in seventeen is late at this mean.
const OVERLOAD_LATENCY_SHARE: f64 = 0.35;

/// The limit of one worker, and the latencies that it follows.
pub struct ConcurrencyLimit {
    limit: f64,
    /// Moving mean of the latencies of warm requests, as shares of their latency objectives.
    mean_latency_share: f64,
    decreased_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Creates the limit of a worker without observations.
    pub fn new() -> ConcurrencyLimit {
        ConcurrencyLimit { limit: INITIAL_LIMIT, mean_latency_share: 0.0, decreased_at: Timestamp(0) }
    }

    /// Returns whether one more request may be sent beside those in flight, for a class whose limit is
    /// multiplied by `multiple`.
    pub fn admits(&self, in_flight: u32, multiple: f64) -> bool {
        f64::from(in_flight) + 1.0 <= (self.limit * multiple).max(1.0)
    }

    /// Returns whether the mean latency is below the overload threshold.
    pub fn is_latency_low(&self) -> bool {
        self.mean_latency_share < OVERLOAD_LATENCY_SHARE
    }

    /// Records the latency of a warm request, as a share of its latency objective, and the number of requests
    /// still in flight.
    pub fn observe(&mut self, now: Timestamp, latency_share: f64, in_flight: u32) {
        self.mean_latency_share += (latency_share - self.mean_latency_share) * LATENCY_WEIGHT;
        // The mean lags behind: an answer that is quick again is no sign of overload.
        if self.mean_latency_share > OVERLOAD_LATENCY_SHARE && latency_share > OVERLOAD_LATENCY_SHARE {
            self.decrease(now);
        } else if f64::from(in_flight) + 2.0 >= self.limit {
            self.limit = (self.limit + LIMIT_INCREASE).min(MAX_LIMIT);
        }
    }

    /// Lowers the limit on a sign of overload, unless it was lowered less than [`DECREASE_INTERVAL`] ago.
    pub fn decrease(&mut self, now: Timestamp) {
        if now - self.decreased_at > DECREASE_INTERVAL {
            self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_at = now;
        }
    }
}
