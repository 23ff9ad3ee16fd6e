//! The core's commands to its adapter, and the attempts and probes under way.

use crate::chain::End;
use crate::interface::{FunctionId, Timestamp, WorkerId};
use crate::request::*;
use std::rc::Rc;

/// A command to the adapter; commands are executed in order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a request's final answer.
    Answer {
        /// Where to.
        owner: Owner,
        /// The answer.
        answer: Answer,
    },
    /// Send the end of a chain; each chain ends exactly once.
    Chain {
        /// Where to.
        owner: Owner,
        /// The end.
        end: End,
    },
    /// Start an attempt.
    Send {
        /// Which.
        attempt: AttemptId,
        /// Where to.
        worker: WorkerId,
        /// The request that it carries.
        work: Rc<RequestPayload>,
        /// When its answer is no longer waited for.
        deadline: Timestamp,
    },
    /// Cancel an attempt.
    Cancel {
        /// Which.
        attempt: AttemptId,
        /// Where it was sent.
        worker: WorkerId,
    },
    /// Send a load request.
    Load {
        /// Which load request.
        load: LoadId,
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
        /// How many instances are to be loaded.
        instances: u8,
    },
    /// Send a health check to a worker.
    Probe {
        /// Which probe.
        probe: ProbeId,
        /// Where.
        worker: WorkerId,
        /// When its answer is no longer waited for.
        deadline: Timestamp,
    },
    /// Unload the idle instances.
    Unload {
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
    },
    /// Send nothing new on the existing connections to a worker: its process may have been replaced.
    Renew {
        /// Which worker.
        worker: WorkerId,
    },
    /// Publish the result of a probe to the other processes of the fleet.
    PublishHealth {
        /// Which worker.
        worker: WorkerId,
        /// Whether it answers.
        answers: bool,
    },
    /// Publish to the other processes of this scheduler that an operator has cordoned or uncordoned a worker here.
    PublishCordon {
        /// Which.
        worker: WorkerId,
        /// Whether it was cordoned.
        cordoned: bool,
    },
}

/// An attempt that has not ended.
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    /// When the worker's process started, as listed when the attempt was decided on.
    pub(super) worker_started: Option<Timestamp>,
    /// Index of its class in the site's settings.
    pub(super) class: usize,
    /// When the policy decided to send it; its latency counts from here.
    pub(super) decided_at: Timestamp,
    pub(super) deadline: Timestamp,
    /// When it was completely written, if it was.
    pub(super) written: Option<Timestamp>,
    /// Whether the last check before the write allowed it.
    pub(super) allowed: bool,
}

/// A probe that has not ended.
pub(super) struct Probe {
    pub(super) worker: WorkerId,
    /// When the worker's process started, as listed when the probe was decided on.
    pub(super) worker_started: Option<Timestamp>,
    pub(super) deadline: Timestamp,
}
