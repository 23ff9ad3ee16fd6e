//! Weighted rendezvous hashing: the order of the listed workers for each key.
//!
//! A worker's score for a key is `-ln(unit) / size`, where `unit` is a hash of both, mapped to `(0, 1]`.
//! Workers are ordered by ascending score, then by id. All schedulers with the same list compute the same
//! order, and a change of one worker moves no other. [`RankedWorkers`] caches a prefix of the order for one
//! key: all workers up to some score. It is computed without sorting the other workers, and is updated by the
//! workers that changed.

use crate::interface::WorkerId;
use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};

/// Number of remembered changes of the list: applying that many costs about as much as scoring 16,000
/// workers.
const MAX_REMEMBERED_CHANGES: usize = 256;
/// Cost of applying one change to a cached order, in scored workers.
const CHANGE_COST: usize = 64;
/// A cached order that has grown with the list to this multiple of the workers that it was computed for is
/// computed anew.
const MAX_GROWTH: usize = 4;
/// Relative margin of the cheap test of a score against a bound: far above any rounding error.
const ROUNDING_MARGIN: f64 = 1e-9;
/// Number of values that a hash is mapped to between 0 and 1.
const UNIT_STEPS: f64 = (1u64 << 53) as f64;

/// The listed workers with their sizes.
#[derive(Default)]
pub struct Rendezvous {
    entries: Vec<Entry>,
    /// Index of each worker in `entries`.
    indices: HashMap<WorkerId, usize>,
    /// Sum of all sizes.
    total_size: f64,
    /// The largest size ever set.
    largest_size: f64,
    /// The last changed workers, the latest at the end.
    changed: VecDeque<WorkerId>,
    /// Number of changes so far.
    version: u64,
}

struct Entry {
    worker: WorkerId,
    id_hash: u64,
    size: f64,
}

/// A worker with its score for some key.
struct ScoredWorker {
    score: f64,
    worker: WorkerId,
}

/// A prefix of the order for one key: all workers whose score is within a bound.
#[derive(Default)]
pub struct RankedWorkers {
    ranked: Vec<ScoredWorker>,
    bound: f64,
    /// Number of workers expected within the bound.
    expected: usize,
    /// Version of the list for which the order is valid.
    version: u64,
}

impl RankedWorkers {
    /// The workers, in order.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.ranked.iter().map(|ranked| ranked.worker)
    }

    /// Number of workers in the prefix.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }
}

impl Rendezvous {
    /// Lists a worker, or changes its size.
    pub fn set(&mut self, worker: WorkerId, size: f64) {
        self.largest_size = self.largest_size.max(size);
        match self.indices.get(&worker) {
            Some(index) if self.entries[*index].size == size => return,
            Some(index) => {
                let before = std::mem::replace(&mut self.entries[*index].size, size);
                self.total_size += size - before;
            }
            None => {
                self.indices.insert(worker, self.entries.len());
                self.entries.push(Entry { worker, id_hash: mix(worker.0), size });
                self.total_size += size;
            }
        }
        self.record_change(worker);
    }

    /// Removes a worker from the list.
    pub fn remove(&mut self, worker: WorkerId) {
        let Some(index) = self.indices.remove(&worker) else { return };
        self.total_size -= self.entries.swap_remove(index).size;
        if let Some(moved) = self.entries.get(index) {
            self.indices.insert(moved.worker, index);
        }
        self.record_change(worker);
    }

    /// Removes all workers that do not satisfy a predicate.
    pub fn retain(&mut self, keeps: impl Fn(&WorkerId) -> bool) {
        let workers = self.entries.iter().map(|entry| entry.worker);
        let others: Vec<WorkerId> = workers.filter(|worker| !keeps(worker)).collect();
        for worker in others {
            self.remove(worker);
        }
    }

    fn record_change(&mut self, worker: WorkerId) {
        self.version += 1;
        self.changed.push_back(worker);
        if self.changed.len() > MAX_REMEMBERED_CHANGES {
            self.changed.pop_front();
        }
    }

    /// Number of listed workers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The listed workers, in no particular order.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.entries.iter().map(|entry| entry.worker)
    }

    /// Updates the order of a key to the current list, with at least `wanted` workers in it, or all if there
    /// are fewer.
    pub fn update(&self, key: u64, order: &mut RankedWorkers, wanted: usize) {
        let wanted = wanted.min(self.entries.len());
        let outgrown = order.len() > MAX_GROWTH * order.expected.max(wanted);
        if self.apply_changes(key, order) && order.len() >= wanted && !outgrown {
            return;
        }
        order.version = self.version;
        order.expected = wanted;
        loop {
            // Twice the wanted number, as some are not eligible and the number of workers within a bound
            // varies.
            order.expected *= 2;
            let all = order.expected * 2 >= self.entries.len();
            order.bound = if all { f64::INFINITY } else { order.expected as f64 / self.total_size };
            order.ranked = self.ranked_within(key, order.bound);
            if all || order.len() >= wanted {
                return;
            }
        }
    }

    /// Applies the changes since its version to an order, if they are remembered and few. Returns whether the
    /// order is up to date then.
    fn apply_changes(&self, key: u64, order: &mut RankedWorkers) -> bool {
        let changes = (self.version - order.version) as usize;
        if changes > self.changed.len() || changes * CHANGE_COST > self.entries.len() {
            return changes == 0;
        }
        for worker in self.changed.range(self.changed.len() - changes..) {
            order.ranked.retain(|ranked| ranked.worker != *worker);
            let Some(index) = self.indices.get(worker) else { continue };
            let scored = self.entries[*index].score(key);
            if scored.is_within(order.bound) {
                let rank = order.ranked.partition_point(|other| other.compare(&scored).is_lt());
                order.ranked.insert(rank, scored);
            }
        }
        order.version = self.version;
        true
    }

    /// Returns all workers whose score is within the bound, in order.
    fn ranked_within(&self, key: u64, bound: f64) -> Vec<ScoredWorker> {
        // As -ln(x) >= 1 - x, no worker within the bound fails this cheaper test.
        let max_distance_per_size = bound * UNIT_STEPS * (1.0 + ROUNDING_MARGIN);
        let max_distance = (max_distance_per_size * self.largest_size) as u64;
        let may_be_within = |entry: &&Entry| {
            let distance = !mix(key ^ entry.id_hash) >> 11;
            distance <= max_distance && distance as f64 <= max_distance_per_size * entry.size
        };
        let near = self.entries.iter().filter(|entry| bound.is_infinite() || may_be_within(entry));
        let scored = near.map(|entry| entry.score(key));
        let mut ranked: Vec<_> = scored.filter(|scored| scored.is_within(bound)).collect();
        ranked.sort_unstable_by(ScoredWorker::compare);
        ranked.shrink_to_fit();
        ranked
    }

    /// Returns the first `count` of the given workers in the order of a key, without those that are not
    /// listed.
    pub fn first(
        &self,
        key: u64,
        workers: impl IntoIterator<Item = WorkerId>,
        count: usize,
    ) -> Vec<WorkerId> {
        let listed = workers.into_iter().filter_map(|worker| self.indices.get(&worker));
        let mut ranked: Vec<_> = listed.map(|index| self.entries[*index].score(key)).collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, ScoredWorker::compare);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(ScoredWorker::compare);
        ranked.into_iter().map(|scored| scored.worker).collect()
    }
}

impl Entry {
    /// Computes the worker's score for a key.
    fn score(&self, key: u64) -> ScoredWorker {
        let unit = ((mix(key ^ self.id_hash) >> 11) as f64 + 1.0) / UNIT_STEPS;
        ScoredWorker { score: -unit.ln() / self.size, worker: self.worker }
    }
}

impl ScoredWorker {
    fn is_within(&self, bound: f64) -> bool {
        self.score <= bound || bound.is_infinite()
    }

    fn compare(&self, other: &ScoredWorker) -> Ordering {
        self.score.total_cmp(&other.score).then(self.worker.cmp(&other.worker))
    }
}

/// Mixes the bits of a 64-bit value (a hash finalizer). All schedulers must use the same function.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests;
