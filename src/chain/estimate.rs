//! What a step needs: from own answers, a prior, and the time of a load.

use crate::interface::{Duration, FunctionId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Answers kept for a function of a class, and such functions.
const SAMPLE: usize = 16;
const FUNCTIONS: usize = 4096;
/// The part of the sample that is to lie below the estimate: one step in five may take longer.
const QUANTILE: f64 = 0.8;
/// What is taken for an answer's time where the class has not had one yet: this part of its wanted time.
const PRIOR: f64 = 0.1;

/// A function as called in one class.
type Key = (FunctionId, String);

#[derive(Default)]
struct Seen {
    took: VecDeque<Duration>,
    last: Timestamp,
}

/// Estimates of one scheduler, from its own answers alone.
#[derive(Default)]
pub struct Estimates {
    seen: BTreeMap<Key, Seen>,
    /// The latest answers of each class, whatever the function.
    usual: BTreeMap<String, VecDeque<Duration>>,
}

/// What a step needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Until a instance stands, if it is ordered now.
    pub load: Duration,
    /// The call itself.
    pub run: Duration,
}

/// What is known of a step beforehand.
pub struct PlannedStep<'a> {
    /// The function.
    pub function: FunctionId,
    /// The class, by name.
    pub class: &'a str,
    /// The time wanted for the class.
    pub latency_objective: Duration,
    /// The usual time of a load, where told.
    pub load_time: Option<Duration>,
}

impl Estimates {
    /// An answer came after so long.
    pub fn record_latency(&mut self, now: Timestamp, function: FunctionId, class: &str, took: Duration) {
        let key = (function, class.to_owned());
        if !self.seen.contains_key(&key) && self.seen.len() >= FUNCTIONS {
            // Whatever has not been called for longest is the least missed.
            let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.last).map(|(key, _)| key.clone());
            oldest.and_then(|key| self.seen.remove(&key));
        }
        let seen = self.seen.entry(key).or_default();
        seen.last = now;
        seen.took.push_back(took);
        seen.took.drain(..seen.took.len().saturating_sub(SAMPLE));
        let usual = self.usual.entry(class.to_owned()).or_default();
        usual.push_back(took);
        usual.drain(..usual.len().saturating_sub(4 * SAMPLE));
    }

    /// What the step needs if it starts about now. A instance is believed to stand for `keep` after an answer.
    pub fn need(&self, now: Timestamp, step: &PlannedStep, keep: Duration) -> Need {
        let seen = self.seen.get(&(step.function, step.class.to_owned()));
        let warm = seen.is_some_and(|seen| now - seen.last < keep);
        let took = seen.map(|seen| &seen.took).or(self.usual.get(step.class));
        let run = took.map_or(step.latency_objective.times(PRIOR), quantile);
        let load = if warm { Duration(0) } else { step.load_time.unwrap_or(Duration(0)) };
        Need { load, run }
    }
}

fn quantile(took: &VecDeque<Duration>) -> Duration {
    let mut took: Vec<Duration> = took.iter().copied().collect();
    took.sort_unstable();
    took.get((took.len().saturating_sub(1) as f64 * QUANTILE) as usize).copied().unwrap_or_default()
}

#[cfg(test)]
mod tests;
