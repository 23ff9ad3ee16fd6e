//! Requests that clients wait for, and their attempts in flight.

use crate::interface::*;
use std::collections::BTreeMap;

/// Share of its latency objective after which an attempt in flight is overdue.
const OVERDUE_SHARE: f64 = 0.35;

/// When and where an attempt was sent.
#[derive(Clone, Copy)]
pub struct SentTo {
    /// When it was sent.
    pub at: Timestamp,
    /// The worker's zone.
    pub zone: ZoneId,
    /// The worker's cell.
    pub cell: CellId,
}

/// The worker for whose health check a request waits.
#[derive(Clone, Copy)]
pub struct ConfirmationWait {
    /// The worker.
    pub worker: WorkerId,
    /// When the request is placed elsewhere, if the health check has not ended before.
    pub until: Timestamp,
}

/// A request that a client waits for.
pub struct PendingRequest {
    /// The function called.
    pub function: FunctionId,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// When it arrived.
    pub arrived_at: Timestamp,
    /// The latency objective of its class, or the client's remaining time if that is shorter.
    pub latency_objective: Duration,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// Number of attempts so far.
    pub attempts: u16,
    /// The attempt in flight, if there is one.
    pub attempt_in_flight: Option<u16>,
    /// The first attempt that may have run.
    pub first_run: Option<SentTo>,
    /// Whether it waits for a load.
    pub waits_for_load: bool,
    /// The worker for whose health check it waits.
    pub confirmation_wait: Option<ConfirmationWait>,
    /// Workers where it failed or found no instance.
    pub failed_workers: Vec<WorkerId>,
}

/// Identifies an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt; attempts of a request are numbered from 0.
    pub number: u16,
}

/// An attempt in flight.
pub struct Attempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// The function called.
    pub function: FunctionId,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// When and where it was sent.
    pub sent: SentTo,
    /// The latency objective of its request.
    pub latency_objective: Duration,
    /// Whether a warm instance was expected.
    pub warm: bool,
}

impl Attempt {
    /// Age at which it is overdue, and may be waiting for a concurrency slot.
    pub fn overdue_after(&self) -> Duration {
        self.latency_objective.times(OVERDUE_SHARE)
    }
}

/// All pending requests and attempts in flight.
#[derive(Default)]
pub struct Requests {
    /// Requests that clients wait for.
    pub pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight; their requests may have ended.
    pub attempts: BTreeMap<AttemptId, Attempt>,
}
