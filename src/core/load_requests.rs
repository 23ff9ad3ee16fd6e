//! Load requests under way, and the conditions for writing another: its rate limit and the recently called functions.

use crate::interface::{Duration, FunctionId, LoadRateLimit, Timestamp, WorkerId};
use crate::request::LoadId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a generation of called functions is the current one.
const CALLED_GENERATION_DURATION: Duration = Duration::millis(60_000);
/// Most functions in a generation; bounded because clients may name any number of functions.
const CALLED_GENERATION_SIZE: usize = 1 << 14;

/// A load request that has not ended.
pub(super) struct LoadRequest {
    pub(super) worker: WorkerId,
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

/// Rate limiter of load requests: times of accepted requests and of load requests written, oldest first.
#[derive(Default)]
pub(super) struct LoadRateLimiter {
    accept_times: VecDeque<Timestamp>,
    load_times: VecDeque<Timestamp>,
}

impl LoadRateLimiter {
    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.accept_times.push_back(now);
    }

    /// Records that a load request is written.
    pub(super) fn record_load(&mut self, now: Timestamp) {
        self.load_times.push_back(now);
    }

    /// Whether the limit allows another load request now.
    pub(super) fn admits(&mut self, now: Timestamp, limit: LoadRateLimit) -> bool {
        let since = now - limit.span;
        self.load_times.retain(|at| *at >= since);
        self.accept_times.retain(|at| *at > since);
        let allowed = limit.free + limit.share * self.accept_times.len() as f64;
        let exceeded = self.load_times.len() as f64 + 1.0 > allowed;
        !exceeded
    }

    /// Drops arrivals that are outside the window.
    pub(super) fn expire_arrivals(&mut self, now: Timestamp, limit: Option<LoadRateLimit>) {
        let Some(limit) = limit else {
            self.accept_times.clear();
            return;
        };
        while self.accept_times.front().is_some_and(|at| *at + limit.span < now) {
            self.accept_times.pop_front();
        }
    }

    /// Arrival times of the requests in the window.
    pub(super) fn accept_times(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.accept_times.iter().copied()
    }

    /// Times at which the load requests in the window were written.
    pub(super) fn load_times(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.load_times.iter().copied()
    }

    /// Adds the times recorded by another process of this scheduler; a time later than `now` counts as `now`.
    pub(super) fn take_over(
        &mut self,
        now: Timestamp,
        load_times: impl Iterator<Item = Timestamp>,
        accept_times: impl Iterator<Item = Timestamp>,
    ) {
        merge_times(&mut self.load_times, now, load_times);
        merge_times(&mut self.accept_times, now, accept_times);
    }
}

fn merge_times(times: &mut VecDeque<Timestamp>, now: Timestamp, added: impl Iterator<Item = Timestamp>) {
    times.extend(added.map(|at| at.min(now)));
    times.make_contiguous().sort_unstable();
}

/// Functions that clients have recently named, in two generations; only these may be loaded.
pub(super) struct CalledFunctions {
    current: BTreeSet<FunctionId>,
    previous: BTreeSet<FunctionId>,
    current_since: Timestamp,
}

impl Default for CalledFunctions {
    fn default() -> CalledFunctions {
        CalledFunctions { current: BTreeSet::new(), previous: BTreeSet::new(), current_since: Timestamp(0) }
    }
}

impl CalledFunctions {
    /// Records that a client has named this function.
    pub(super) fn record(&mut self, now: Timestamp, function: FunctionId) {
        let aged = now - self.current_since > CALLED_GENERATION_DURATION;
        if aged || self.current.len() >= CALLED_GENERATION_SIZE {
            self.current_since = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(function);
    }

    pub(super) fn contains(&self, function: FunctionId) -> bool {
        self.current.contains(&function) || self.previous.contains(&function)
    }

    /// Both generations, the current one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = FunctionId> + '_ {
        self.current.iter().chain(&self.previous).copied()
    }

    /// Adds functions recorded by another process of this scheduler.
    pub(super) fn take_over(&mut self, functions: impl Iterator<Item = FunctionId>) {
        self.previous.extend(functions);
    }
}
