//! Latencies: the mean of each class, and the slowness of each worker relative to it.

use crate::interface::{Class, Duration, Timestamp};

/// Weight of a new latency in a worker's moving means.
pub const LATENCY_WEIGHT: f64 = 0.15;
/// Weight of a new latency in the moving mean of its class.
const CLASS_LATENCY_WEIGHT: f64 = 0.02;
/// Lower bound of a worker's slowness.
const MIN_SLOWNESS: f64 = 0.5;
/// Upper bound of a latency that counts in slowness, as a multiple of the class's mean.
const MAX_SLOWNESS: f64 = 12.0;
/// Lower bound for a request still in flight to count in slowness, as a multiple of the class's mean.
const MIN_SLOWNESS_IN_FLIGHT: f64 = MAX_SLOWNESS / 6.0;
/// Time in which slowness without new latencies halves its distance from 1.
const SLOWNESS_HALF_LIFE: Duration = Duration::millis(4000);
/// Latency objective divided by the initial mean latency of a class.
const INITIAL_OBJECTIVE_DIVISOR: f64 = 4.0;

/// Moving mean of the latencies of each class.
pub struct ClassLatencies {
    means_s: Vec<f64>,
}

impl ClassLatencies {
    /// Starts with estimates from the classes' latency objectives.
    pub fn new(classes: &[Class]) -> ClassLatencies {
        ClassLatencies { means_s: classes.iter().map(initial_latency_s).collect() }
    }

    /// Applies new classes. A class that is equal to the old one at the same index keeps its mean.
    pub fn configure(&mut self, old: &[Class], new: &[Class]) {
        let means_s = new.iter().enumerate().map(|(index, class)| match old.get(index) {
            Some(known) if known == class => self.means_s[index],
            _ => initial_latency_s(class),
        });
        self.means_s = means_s.collect();
    }

    /// The mean latency of a class, in seconds.
    pub fn mean_s(&self, class: usize) -> f64 {
        self.means_s[class]
    }

    /// The mean latencies of all classes, in seconds.
    pub fn means_s(&self) -> &[f64] {
        &self.means_s
    }

    /// Records the latency, in seconds, of a request that a warm instance served.
    pub fn observe(&mut self, class: usize, latency_s: f64) {
        let mean = &mut self.means_s[class];
        *mean += (latency_s - *mean) * CLASS_LATENCY_WEIGHT;
    }
}

fn initial_latency_s(class: &Class) -> f64 {
    class.latency_objective.secs() / INITIAL_OBJECTIVE_DIVISOR
}

/// A worker's latency as a multiple of its classes' means; without new latencies it decays towards 1.
pub struct Slowness {
    value: f64,
    observed_at: Timestamp,
}

impl Slowness {
    /// The slowness of a worker without observations.
    pub fn new() -> Slowness {
        Slowness { value: 1.0, observed_at: Timestamp(0) }
    }

    /// The decayed value at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        1.0 + (self.value - 1.0) * self.remaining_share(now)
    }

    /// Records the latency of an ended request, as a multiple of the class's mean.
    pub fn observe(&mut self, now: Timestamp, ratio: f64) {
        self.update(now, ratio, LATENCY_WEIGHT);
    }

    /// Records a request that ended without an answer, whose latency would have been at least this multiple.
    pub fn observe_at_least(&mut self, now: Timestamp, ratio: f64) {
        if ratio > self.at(now) {
            self.observe(now, ratio);
        }
    }

    /// Records the age of a request that is still in flight, as a multiple of the class's mean.
    pub fn observe_in_flight(&mut self, now: Timestamp, ratio: f64) {
        if ratio > self.at(now).max(MIN_SLOWNESS_IN_FLIGHT) {
            self.update(now, ratio, 0.0);
        }
    }

    /// Moves the value towards `ratio`. The longer ago the last observation is, the more the new one weighs.
    fn update(&mut self, now: Timestamp, ratio: f64, min_weight: f64) {
        let weight = min_weight.max(1.0 - self.remaining_share(now));
        let current = self.at(now);
        self.value = (current + (ratio.min(MAX_SLOWNESS) - current) * weight).max(MIN_SLOWNESS);
        self.observed_at = now;
    }

    /// Share of the last observation that has not decayed.
    fn remaining_share(&self, now: Timestamp) -> f64 {
        0.5f64.powf((now - self.observed_at).secs() / SLOWNESS_HALF_LIFE.secs())
    }
}
