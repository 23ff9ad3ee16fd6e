//! Popularity of functions: requests are counted in a moving window, and the counts decide the tiers. Gold
//! functions are kept warm at all workers, silver ones where they are called; bronze ones are called too
//! seldom to be kept warm.

use super::rendezvous::RankedWorkers;
use crate::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Time between two rankings. The design page has a moving window of ten seconds, which is five of them.
const RANKING_INTERVAL: Duration = Duration::millis(2000);
/// Buckets of the moving window; each ranking starts a new one.
const WINDOW_BUCKETS: usize = 5;
/// Share of the smallest worker's memory that gold functions may fill (alpha on the design page).
const GOLD_MEMORY_SHARE: f64 = 0.05;
/// Consecutive rankings that must agree before a function enters or leaves the gold tier (hysteresis).
const GOLD_HYSTERESIS_RANKINGS: u8 = 2;
/// Requests in the window below which a function is bronze (from the design page).
const MIN_SILVER_REQUESTS: u32 = 2;
/// Most idle functions of which no request was served: clients may name any number that no worker has.
const MAX_UNSERVED_FUNCTIONS: usize = 4096;
/// Most idle functions of which a request was served.
const MAX_SERVED_FUNCTIONS: usize = 16_384;
/// Functions that become known between two checks of these bounds.
const FUNCTIONS_PER_CHECK: usize = MAX_UNSERVED_FUNCTIONS / 2;

/// A function that is called, or was called recently.
#[derive(Default)]
pub struct Function {
    /// Memory of one instance.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: u32,
    /// The first workers in its rendezvous order.
    pub ranked_workers: RankedWorkers,
    /// Requests in each bucket of the window, the current one first.
    counts: [u32; WINDOW_BUCKETS],
    /// Requests that clients wait for.
    open_requests: u32,
    /// Whether a request was served since the function became known: a worker has it.
    is_served: bool,
    last_request_at: Timestamp,
    gold: bool,
    /// Consecutive rankings that would have moved it into the gold tier, or out of it.
    consecutive_opposite_rankings: u8,
}

impl Function {
    /// Counts a request and updates the function's memory and concurrency from it.
    fn observe_request(&mut self, now: Timestamp, request: &Request) {
        self.memory_mb = request.memory_mb.clamp(0.0, 1e12);
        self.concurrency = (request.concurrency.clamp(1.0, 64.0) as u32).max(1);
        self.counts[0] += 1;
        self.open_requests += 1;
        self.last_request_at = now;
    }

    /// Whether nothing but its recent requests keeps the function known.
    fn is_idle(&self) -> bool {
        !self.gold && self.open_requests == 0
    }

    /// Requests in the window.
    pub fn requests(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Starts the next bucket, and changes the tier if enough consecutive rankings agree.
    fn finish_ranking(&mut self, ranked_gold: bool) {
        if ranked_gold == self.gold {
            self.consecutive_opposite_rankings = 0;
        } else {
            self.consecutive_opposite_rankings += 1;
        }
        if self.consecutive_opposite_rankings >= GOLD_HYSTERESIS_RANKINGS {
            self.gold = !self.gold;
            self.consecutive_opposite_rankings = 0;
        }
        self.counts.rotate_right(1);
        self.counts[0] = 0;
    }
}

/// The known functions and the window in which their requests are counted.
pub struct Popularity {
    functions: BTreeMap<FunctionId, Function>,
    /// Number of known functions from which the bounds on idle ones are checked.
    check_at: usize,
    /// Starts of the window's buckets, the current one first.
    bucket_starts: [Timestamp; WINDOW_BUCKETS],
}

impl Default for Popularity {
    fn default() -> Popularity {
        Popularity {
            functions: BTreeMap::new(),
            check_at: FUNCTIONS_PER_CHECK,
            bucket_starts: [Timestamp(0); WINDOW_BUCKETS],
        }
    }
}

impl Popularity {
    /// Starts an empty window.
    pub fn start_window(&mut self, now: Timestamp) {
        self.bucket_starts = [now; WINDOW_BUCKETS];
    }

    /// Returns a function, if it is known.
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.functions.get(&id)
    }

    /// Returns a function for modification, if it is known.
    pub fn get_mut(&mut self, id: FunctionId) -> Option<&mut Function> {
        self.functions.get_mut(&id)
    }

    /// Adds a function if it is not known, and sets its memory.
    pub fn observe_memory(&mut self, id: FunctionId, memory_mb: f64) {
        self.bound_idle_functions();
        self.functions.entry(id).or_default().memory_mb = memory_mb;
    }

    /// Counts a request that a client waits for.
    pub fn observe_request(&mut self, now: Timestamp, request: &Request) {
        self.bound_idle_functions();
        self.functions.entry(request.function).or_default().observe_request(now, request);
    }

    /// Records that a client no longer waits for a request.
    pub fn request_ended(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            function.open_requests = function.open_requests.saturating_sub(1);
        }
    }

    /// Takes back the count of a request that its client withdrew right after it had arrived.
    pub fn discount_request(&mut self, id: FunctionId, arrived_at: Timestamp) {
        let bucket = self.bucket_starts.iter().position(|start| *start <= arrived_at);
        if let (Some(function), Some(bucket)) = (self.functions.get_mut(&id), bucket) {
            function.counts[bucket] = function.counts[bucket].saturating_sub(1);
        }
    }

    /// Records that a request was served.
    pub fn mark_served(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            function.is_served = true;
        }
    }

    /// Forgets idle functions beyond the bounds: of those that were never served, and of those that were, the
    /// least called.
    fn bound_idle_functions(&mut self) {
        if self.functions.len() < self.check_at {
            return;
        }
        self.forget_least_called(false, MAX_UNSERVED_FUNCTIONS - FUNCTIONS_PER_CHECK);
        self.forget_least_called(true, MAX_SERVED_FUNCTIONS - FUNCTIONS_PER_CHECK);
        self.check_at = self.functions.len() + FUNCTIONS_PER_CHECK;
    }

    /// Forgets the least called idle functions until `kept` are left, those not called for longest first;
    /// either only served functions, or only others.
    fn forget_least_called(&mut self, is_served: bool, kept: usize) {
        let idle = self
            .functions
            .iter()
            .filter(|(_, function)| function.is_served == is_served && function.is_idle());
        let mut ranking: Vec<_> =
            idle.map(|(id, function)| (function.requests(), function.last_request_at, *id)).collect();
        let excess = ranking.len().saturating_sub(kept);
        ranking.sort_unstable();
        for (_, _, id) in &ranking[..excess] {
            self.functions.remove(id);
        }
    }

    /// Number of known functions.
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Entries of the cached worker orders of all functions.
    pub fn ranked_workers(&self) -> usize {
        self.functions.values().map(|function| function.ranked_workers.len()).sum()
    }

    /// The gold functions, by id.
    pub fn gold(&self) -> Vec<FunctionId> {
        self.functions.iter().filter(|(_, function)| function.gold).map(|(id, _)| *id).collect()
    }

    /// Returns whether a function is called too seldom for the gold or silver tier.
    pub fn is_bronze(&self, id: FunctionId) -> bool {
        self.get(id).is_none_or(|function| !function.gold && function.requests() < MIN_SILVER_REQUESTS)
    }

    /// Time from the start of the window until now.
    pub fn window(&self, now: Timestamp) -> Duration {
        now - self.bucket_starts[WINDOW_BUCKETS - 1]
    }

    /// Time over which requests were counted, in seconds: at least one ranking interval.
    pub fn counting_period_s(&self, now: Timestamp) -> f64 {
        self.window(now).secs().max(RANKING_INTERVAL.secs())
    }

    /// Returns whether the current bucket has lasted for a ranking interval.
    pub fn is_ranking_due(&self, now: Timestamp) -> bool {
        now - self.bucket_starts[0] >= RANKING_INTERVAL
    }

    /// Ranks the functions by their requests, starts the next bucket and forgets functions that are neither
    /// gold, called nor in use.
    pub fn rank(&mut self, now: Timestamp, worker_memory_mb: &[f64]) {
        self.bucket_starts.rotate_right(1);
        self.bucket_starts[0] = now;
        let top = self.most_called(worker_memory_mb);
        for (id, function) in &mut self.functions {
            function.finish_ranking(top.contains(id));
        }
        self.functions.retain(|_, function| !function.is_idle() || function.requests() > 0);
        self.check_at = self.check_at.min(self.functions.len() + FUNCTIONS_PER_CHECK);
    }

    /// Returns the most called functions that fit into the memory for gold functions. One of which no request
    /// was served may be a name that no worker knows.
    fn most_called(&self, worker_memory_mb: &[f64]) -> BTreeSet<FunctionId> {
        let is_called =
            |function: &Function| function.is_served && function.requests() >= MIN_SILVER_REQUESTS;
        let called = self.functions.iter().filter(|(_, function)| is_called(function));
        let mut ranking: Vec<_> = called.map(|(id, function)| (Reverse(function.requests()), *id)).collect();
        ranking.sort_unstable();
        let smallest_worker_mb = worker_memory_mb.iter().copied().fold(f64::INFINITY, f64::min);
        let mut left_mb = smallest_worker_mb * GOLD_MEMORY_SHARE;
        let fits = |id: &FunctionId| {
            left_mb -= self.functions[id].memory_mb;
            left_mb.is_finite() && left_mb >= 0.0
        };
        ranking.into_iter().map(|(_, id)| id).take_while(fits).collect()
    }
}
