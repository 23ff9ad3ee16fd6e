//! What goes into the machine of chains and what comes out of it.

use crate::interface::{Duration, Effect, FunctionId, Timestamp};
use crate::request::{Answer, IncomingRequest, Owner};

/// A step as the client specifies it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Name of the class.
    pub class: String,
    /// The function called.
    pub function: FunctionId,
    /// Memory of one instance, in MB.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Usual time of a load, if the client gave one.
    pub load_time: Option<Duration>,
    /// The body; `None` if the previous step's answer is the body.
    pub body: Option<Vec<u8>>,
}

impl Step {
    /// Bytes of the class's name and the body.
    pub(super) fn byte_count(&self) -> usize {
        self.class.len() + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// A chain as a front has parsed it.
#[derive(Clone, Debug)]
pub struct Chain {
    /// The client's request that the final answer belongs to.
    pub owner: Owner,
    /// Idempotency key, the same for all retries of the chain.
    pub key: Option<String>,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// The steps, at least one.
    pub steps: Vec<Step>,
}

impl Chain {
    /// Bytes of the key and the steps.
    pub(super) fn byte_count(&self) -> usize {
        let step_bytes: usize = self.steps.iter().map(Step::byte_count).sum();
        self.key.as_ref().map_or(0, String::len) + step_bytes
    }
}

/// How a chain ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The answer of the last step that was started, or the reason why no further step was started.
    pub answer: Answer,
    /// The index of the step that the chain ended at.
    pub step: usize,
    /// Number of steps that were served.
    pub ran: usize,
    /// Whether that step was not sent because it may have run in an earlier try and its key no longer prevents a
    /// second run.
    pub unknown: bool,
    /// Set if that step was not started because the time left does not cover it and all steps after it.
    pub short: Option<Short>,
}

impl End {
    /// The end of a chain at this step, which was not served.
    pub(super) fn at(step: usize, answer: Answer) -> End {
        End { answer, step, ran: step, unknown: false, short: None }
    }
}

/// The time that was left, and the time that was needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// Time until the deadline.
    pub left: Duration,
    /// Estimated time of the step and all steps after it, or of the step alone if the chain must not be repeated.
    pub need: Duration,
}

/// A chain in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChainId(pub(super) u64);

/// What the machine needs to know of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepClass {
    /// The latency objective.
    pub latency_objective: Duration,
    /// Whether its requests may be repeated.
    pub effect: Effect,
}

impl StepClass {
    /// The deduplication window, if the class is keyed.
    pub fn window(&self) -> Option<Duration> {
        match self.effect {
            Effect::Keyed { window, .. } => Some(window),
            Effect::Safe | Effect::Unsafe => None,
        }
    }
}

/// An action that the caller carries out for a chain.
#[derive(Debug)]
pub enum Action {
    /// Submit a step as this request; its answer goes to [`Machine::step_ended`](super::Machine::step_ended).
    Start(IncomingRequest),
    /// Withdraw a step's request.
    Withdraw(Owner),
    /// Prewarm an instance of a later step's function, which takes this much memory in MB.
    Prewarm(FunctionId, f64),
    /// Call [`Machine::retry_step`](super::Machine::retry_step) for this chain at that time.
    RetryAt(Timestamp, ChainId),
    /// Such a call is no longer needed.
    CancelRetry(Timestamp, ChainId),
    /// Report the end of the chain to its client; happens exactly once.
    Finish(Owner, End),
}

/// The settings of the site that the machine needs.
pub trait Classes {
    /// A class that new requests may name.
    fn class(&self, name: &str) -> Option<StepClass>;
    /// How long an idle instance stays loaded.
    fn keep_alive(&self) -> Duration;
    /// How long a refused client should wait before it retries.
    fn cooldown(&self) -> Duration;
}
