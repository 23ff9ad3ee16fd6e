//! Load requests under way, and what allows a further one to be written: its rate limit, and the functions called lately.

use crate::interface::{Duration, FunctionId, LoadRateLimit, Timestamp, WorkerId};
use crate::request::LoadId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which a generation of called functions is the present one.
const CALLED_GENERATION_DURATION: Duration = Duration::millis(60_000);
/// Most functions in a generation: clients may name any number of functions.
const CALLED_GENERATION_SIZE: usize = 1 << 14;

/// A load request that has not ended.
pub(super) struct LoadRequest {
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
    pub(super) instances: u8,
    pub(super) decided_at: Timestamp,
    /// Its write check has let it pass.
    pub(super) allowed: bool,
}

/// Load requests under way and the conditions for new ones.
#[derive(Default)]
pub(super) struct LoadRequests {
    pub(super) open: BTreeMap<LoadId, LoadRequest>,
    pub(super) rate: LoadRateLimiter,
    pub(super) called: CalledFunctions,
    /// Another process of this scheduler knows these load requests, and alone sends new ones.
    pub(super) yielded: bool,
}

/// The times by which load requests are limited: those of accepted requests and of load requests written, oldest first.
#[derive(Default)]
pub(super) struct LoadRateLimiter {
    accept_times: VecDeque<Timestamp>,
    load_times: VecDeque<Timestamp>,
}

impl LoadRateLimiter {
    /// A request has come in.
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.accept_times.push_back(now);
    }

    /// A load request is written.
    pub(super) fn record_load(&mut self, now: Timestamp) {
        self.load_times.push_back(now);
    }

    /// Whether the limit allows one more load request now.
    pub(super) fn admits(&mut self, now: Timestamp, limit: LoadRateLimit) -> bool {
        let since = now - limit.span;
        self.load_times.retain(|at| *at >= since);
        self.accept_times.retain(|at| *at > since);
        let allowed = limit.free + limit.share * self.accept_times.len() as f64;
        let exceeded = self.load_times.len() as f64 + 1.0 > allowed;
        !exceeded
    }

    /// Forgets the arrivals that no longer count.
    pub(super) fn expire_arrivals(&mut self, now: Timestamp, limit: Option<LoadRateLimit>) {
        let Some(limit) = limit else {
            self.accept_times.clear();
            return;
        };
        while self.accept_times.front().is_some_and(|at| *at + limit.span < now) {
            self.accept_times.pop_front();
        }
    }

    /// When the requests that count came in.
    pub(super) fn accept_times(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.accept_times.iter().copied()
    }

    /// When the load requests that count were written.
    pub(super) fn load_times(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.load_times.iter().copied()
    }

    /// Adds the times of another process of this scheduler; none of them is taken to be later than `now`.
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

/// Functions that clients have named lately, in two generations; only these are worth a load request.
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
    /// A client has named this function.
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

    /// Both generations, the present one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = FunctionId> + '_ {
        self.current.iter().chain(&self.previous).copied()
    }

    /// Adds functions that another process of this scheduler has recorded.
    pub(super) fn take_over(&mut self, functions: impl Iterator<Item = FunctionId>) {
        self.previous.extend(functions);
    }
}
