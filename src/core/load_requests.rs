//! Load requests under way, and the conditions for writing another: its rate limit and the recently called functions.

use crate::interface::{Duration, FunctionId, LoadRateLimit, Timestamp, WorkerId};
use crate::policy::EventTimes;
use crate::request::LoadId;
use std::collections::{BTreeMap, BTreeSet};

/// How long a generation of called functions is the current one.
const CALLED_GENERATION_DURATION: Duration = Duration::millis(60_000);
/// Most functions in a generation; bounded because clients may name any number of functions.
const CALLED_GENERATION_SIZE: usize = 1 << 14;
/// Most arrival times that are handed over to another process; fewer than there were only lower its rate limit.
const MAX_TRANSFERRED_ARRIVALS: usize = 1 << 16;

/// A load request that has not ended.
pub(super) struct LoadRequest {
    pub(super) worker: WorkerId,
    /// When the worker's process started, as listed when the load request was decided on.
    pub(super) worker_started: Option<Timestamp>,
    pub(super) function: FunctionId,
    pub(super) instances: u8,
    /// When the policy decided to send it; its latency and its timeout count from here.
    pub(super) decided_at: Timestamp,
    /// Whether the last check before the write allowed it.
    pub(super) allowed: bool,
}

/// Load requests under way and the conditions for new ones.
#[derive(Default)]
pub(super) struct LoadRequests {
    pub(super) open: BTreeMap<LoadId, LoadRequest>,
    pub(super) rate: LoadRateLimiter,
    pub(super) called: CalledFunctions,
    /// Whether another process of this scheduler has taken over these load requests and alone sends new ones.
    pub(super) yielded: bool,
}

/// Rate limiter of load requests: times of accepted requests and of load requests written.
#[derive(Default)]
pub(super) struct LoadRateLimiter {
    accept_times: EventTimes,
    load_times: EventTimes,
}

impl LoadRateLimiter {
    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.accept_times.add_merged(now);
    }

    /// Records that a load request is written.
    pub(super) fn record_load(&mut self, now: Timestamp) {
        self.load_times.add(now);
    }

    /// Whether the limit allows another load request now.
    pub(super) fn admits(&mut self, now: Timestamp, limit: LoadRateLimit) -> bool {
        let since = now - limit.span;
        self.load_times.forget_before(since);
        self.accept_times.forget_before(since);
        let accepted = self.accept_times.count_if(|at| at > since);
        let allowed = limit.free + limit.share * accepted;
        let exceeded = self.load_times.count() + 1.0 > allowed;
        !exceeded
    }

    /// Drops arrivals that are outside the window.
    pub(super) fn expire_arrivals(&mut self, now: Timestamp, limit: Option<LoadRateLimit>) {
        match limit {
            Some(limit) => self.accept_times.forget_before(now - limit.span),
            None => self.accept_times.clear(),
        }
    }

    /// Number of entries that the arrival times take.
    pub(super) fn arrival_entries(&self) -> usize {
        self.accept_times.entries()
    }

    /// Arrival times of the latest requests in the window, at most [`MAX_TRANSFERRED_ARRIVALS`] of them, the earliest
    /// first.
    pub(super) fn transferred_arrivals(&self) -> Vec<Timestamp> {
        let mut times: Vec<_> = self.accept_times.iter().rev().take(MAX_TRANSFERRED_ARRIVALS).collect();
        times.reverse();
        times
    }

    /// Times at which the load requests in the window were written.
    pub(super) fn load_times(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.load_times.iter()
    }

    /// Adds the times recorded by another process of this scheduler; a time later than `now` counts as `now`.
    pub(super) fn take_over(
        &mut self,
        now: Timestamp,
        load_times: impl Iterator<Item = Timestamp>,
        accept_times: impl Iterator<Item = Timestamp>,
    ) {
        self.load_times.merge(now, load_times);
        self.accept_times.merge(now, accept_times);
    }
}

/// Functions that clients have recently called; only these may be loaded. Those of which a request was served are kept
/// apart, so that names without a worker behind them do not displace them.
#[derive(Default)]
pub(super) struct CalledFunctions {
    named: FunctionGenerations,
    served: FunctionGenerations,
}

impl CalledFunctions {
    /// Records that a client has named this function.
    pub(super) fn record(&mut self, now: Timestamp, function: FunctionId) {
        if self.served.contains(function) {
            self.served.record(now, function);
        } else {
            self.named.record(now, function);
        }
    }

    /// Records that a request of this function was served.
    pub(super) fn record_served(&mut self, now: Timestamp, function: FunctionId) {
        self.served.record(now, function);
    }

    pub(super) fn contains(&self, function: FunctionId) -> bool {
        self.served.contains(function) || self.named.contains(function)
    }

    /// All functions, by id.
    pub(super) fn all(&self) -> BTreeSet<FunctionId> {
        self.served.iter().chain(self.named.iter()).collect()
    }

    /// Number of entries that the functions take.
    pub(super) fn entries(&self) -> usize {
        self.served.iter().chain(self.named.iter()).count()
    }

    /// Adds functions recorded by another process of this scheduler.
    pub(super) fn take_over(&mut self, functions: impl Iterator<Item = FunctionId>) {
        self.named.previous.extend(functions);
    }
}

/// A set of recently recorded functions, in two generations.
struct FunctionGenerations {
    current: BTreeSet<FunctionId>,
    previous: BTreeSet<FunctionId>,
    current_since: Timestamp,
}

impl Default for FunctionGenerations {
    fn default() -> FunctionGenerations {
        FunctionGenerations {
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            current_since: Timestamp(0),
        }
    }
}

impl FunctionGenerations {
    fn record(&mut self, now: Timestamp, function: FunctionId) {
        let aged = now - self.current_since > CALLED_GENERATION_DURATION;
        if aged || self.current.len() >= CALLED_GENERATION_SIZE {
            self.current_since = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(function);
    }

    fn contains(&self, function: FunctionId) -> bool {
        self.current.contains(&function) || self.previous.contains(&function)
    }

    /// Both generations, the current one first.
    fn iter(&self) -> impl Iterator<Item = FunctionId> + '_ {
        self.current.iter().chain(&self.previous).copied()
    }
}
