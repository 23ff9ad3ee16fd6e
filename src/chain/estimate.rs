//! Estimates the time that a chain's step needs from the latencies of earlier answers, a prior and the load time.

use crate::interface::{Duration, FunctionId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Latencies kept per function and class.
const MAX_SAMPLES: usize = 16;
/// Pairs of function and class with their own samples.
const MAX_FUNCTIONS: usize = 4096;
/// The share of the samples that lies below the estimate: one step in five may take longer.
const ESTIMATE_QUANTILE: f64 = 0.8;
/// The estimate for a class without any answer yet, as a share of its latency objective.
const PRIOR_OBJECTIVE_SHARE: f64 = 0.1;

/// A function and the name of the class that it is called with.
type Key = (FunctionId, String);

/// The latest latencies of a function in a class, oldest first, and when the last answer was received.
#[derive(Default)]
struct History {
    latencies: VecDeque<Duration>,
    last_answer: Timestamp,
}

/// Latencies that this scheduler has measured, from which it estimates what steps need.
#[derive(Default)]
pub struct Estimates {
    histories: BTreeMap<Key, History>,
    /// The latest latencies of each class, over all functions.
    class_latencies: BTreeMap<String, VecDeque<Duration>>,
}

/// The time that a step needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Time until an instance is loaded, if the load is requested now; 0 if one is ready.
    pub load: Duration,
    /// Time of the request itself.
    pub run: Duration,
}

/// What is known of a step before it starts.
pub struct PlannedStep<'a> {
    /// The function.
    pub function: FunctionId,
    /// The name of the class.
    pub class: &'a str,
    /// The latency objective of the class.
    pub latency_objective: Duration,
    /// The usual time of a load, if the client gave one.
    pub load_time: Option<Duration>,
}

impl Estimates {
    /// Records the latency of an answer.
    pub fn record_latency(&mut self, now: Timestamp, function: FunctionId, class: &str, latency: Duration) {
        let key = (function, class.to_owned());
        if !self.histories.contains_key(&key) && self.histories.len() >= MAX_FUNCTIONS {
            // The least recently answered function makes room.
            let oldest = self
                .histories
                .iter()
                .min_by_key(|(_, history)| history.last_answer)
                .map(|(key, _)| key.clone());
            oldest.and_then(|key| self.histories.remove(&key));
        }
        let history = self.histories.entry(key).or_default();
        history.last_answer = now;
        history.latencies.push_back(latency);
        history.latencies.drain(..history.latencies.len().saturating_sub(MAX_SAMPLES));
        let of_class = self.class_latencies.entry(class.to_owned()).or_default();
        of_class.push_back(latency);
        of_class.drain(..of_class.len().saturating_sub(4 * MAX_SAMPLES));
    }

    /// Estimates what the step needs if it starts now. An instance is assumed to be ready for `keep_alive` after an
    /// answer.
    pub fn need(&self, now: Timestamp, step: &PlannedStep, keep_alive: Duration) -> Need {
        let history = self.histories.get(&(step.function, step.class.to_owned()));
        let warm = history.is_some_and(|history| now - history.last_answer < keep_alive);
        let latencies = history.map(|history| &history.latencies).or(self.class_latencies.get(step.class));
        let run = latencies.map_or(step.latency_objective.times(PRIOR_OBJECTIVE_SHARE), quantile);
        let load = if warm { Duration(0) } else { step.load_time.unwrap_or(Duration(0)) };
        Need { load, run }
    }
}

/// The quantile [`ESTIMATE_QUANTILE`] of the latencies; 0 without any.
fn quantile(latencies: &VecDeque<Duration>) -> Duration {
    let mut sorted: Vec<Duration> = latencies.iter().copied().collect();
    sorted.sort_unstable();
    sorted
        .get((sorted.len().saturating_sub(1) as f64 * ESTIMATE_QUANTILE) as usize)
        .copied()
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
