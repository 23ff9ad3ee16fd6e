//! What is remembered of keyed steps for repeats of their chain: answers, and when a step that may have run was first
//! sent. Both are bounded in number and in bytes.

use super::types::Step;
use crate::interface::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Most answers of finished steps that are cached for repeats of their chain.
const MAX_CACHED_ANSWERS: usize = 1024;
/// Most bytes of all cached answers together, with the steps and keys that they belong to.
const MAX_CACHED_BYTES: usize = 4 << 20;
/// Most keyed steps that are recorded as possibly run.
pub(super) const MAX_MAY_HAVE_RUN: usize = 4096;
/// Most bytes of their keys.
const MAX_MAY_HAVE_RUN_KEY_BYTES: usize = 1 << 20;
/// How long such a record is kept. Clients have given up long before.
pub(super) const MAY_HAVE_RUN_RETENTION: Duration = Duration::millis(600_000);

/// The cached answer of a finished keyed step, used in place of running the step again.
struct CachedAnswer {
    key: String,
    step: Step,
    body: Vec<u8>,
    /// When the step's deduplication window ends.
    until: Timestamp,
}

impl CachedAnswer {
    fn byte_count(&self) -> usize {
        self.key.len() + self.step.byte_count() + self.body.len()
    }
}

/// The records of keyed steps, by the steps' keys.
#[derive(Default)]
pub(super) struct StepRecords {
    /// Answers of finished steps, oldest first.
    cached: VecDeque<CachedAnswer>,
    /// Bytes of all cached answers.
    cached_bytes: usize,
    /// When each step that may have run was first sent.
    first_sent: BTreeMap<String, Timestamp>,
    /// The keys of `first_sent` with the time of their recording, in that order.
    first_sent_order: VecDeque<(Timestamp, String)>,
    /// Bytes of these keys.
    key_bytes: usize,
}

impl StepRecords {
    /// The answer of this step in an earlier try of its chain, within its deduplication window.
    pub(super) fn answer(&self, now: Timestamp, key: &str, step: &Step) -> Option<&[u8]> {
        let is_same = |cached: &&CachedAnswer| cached.key == key && cached.step == *step;
        let cached = self.cached.iter().rfind(|cached| is_same(cached) && now < cached.until)?;
        Some(&cached.body)
    }

    /// Caches the answer of a step whose deduplication window ends at `until`.
    pub(super) fn add_answer(&mut self, key: String, step: Step, body: Vec<u8>, until: Timestamp) {
        let answer = CachedAnswer { key, step, body, until };
        self.cached_bytes += answer.byte_count();
        self.cached.push_back(answer);
    }

    /// Removes the oldest answers while there are too many, or their deduplication windows have ended.
    pub(super) fn evict_answers(&mut self, now: Timestamp) {
        while self.has_too_many_answers() || self.cached.front().is_some_and(|cached| cached.until <= now) {
            let Some(cached) = self.cached.pop_front() else { return };
            self.cached_bytes -= cached.byte_count();
        }
    }

    fn has_too_many_answers(&self) -> bool {
        self.cached.len() > MAX_CACHED_ANSWERS || self.cached_bytes > MAX_CACHED_BYTES
    }

    /// When the step with this key was first sent, if it may have run since.
    pub(super) fn first_sent(&self, key: &str) -> Option<Timestamp> {
        self.first_sent.get(key).copied()
    }

    /// Records that the step with this key may have run since then.
    pub(super) fn may_have_run(&mut self, now: Timestamp, key: &str, since: Timestamp) {
        if !self.first_sent.contains_key(key) {
            self.key_bytes += key.len();
            self.first_sent.insert(key.to_owned(), since);
            self.first_sent_order.push_back((now, key.to_owned()));
        }
        let expired = |(at, _): &(Timestamp, String)| *at + MAY_HAVE_RUN_RETENTION <= now;
        while self.has_too_many_keys() || self.first_sent_order.front().is_some_and(expired) {
            let Some((_, key)) = self.first_sent_order.pop_front() else { return };
            self.key_bytes -= key.len();
            self.first_sent.remove(&key);
        }
    }

    fn has_too_many_keys(&self) -> bool {
        self.first_sent.len() > MAX_MAY_HAVE_RUN || self.key_bytes > MAX_MAY_HAVE_RUN_KEY_BYTES
    }
}

#[cfg(test)]
impl StepRecords {
    /// Number of steps recorded as possibly run, and of entries in their order.
    pub(super) fn may_have_run_counts(&self) -> (usize, usize) {
        (self.first_sent.len(), self.first_sent_order.len())
    }

    /// Bytes of all cached answers, and of the keys of steps that may have run.
    pub(super) fn byte_counts(&self) -> (usize, usize) {
        (self.cached_bytes, self.key_bytes)
    }
}
