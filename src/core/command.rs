//! The core's commands to its adapter, and the attempts and probes that are under way for them.

use crate::chain::End;
use crate::interface::{FunctionId, Timestamp, WorkerId};
use crate::request::*;
use std::rc::Rc;

/// What the adapter is to do, in this order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Give a request its final answer.
    Answer {
        /// Where to.
        owner: Owner,
        /// What.
        answer: Answer,
    },
    /// Give a chain its one end.
    Chain {
        /// Where to.
        owner: Owner,
        /// What.
        end: End,
    },
    /// Start an attempt.
    Send {
        /// Which.
        attempt: AttemptId,
        /// Where to.
        worker: WorkerId,
        /// What it carries.
        work: Rc<RequestPayload>,
        /// When its answer is no longer waited for.
        deadline: Timestamp,
    },
    /// Give an attempt up.
    Cancel {
        /// Which.
        attempt: AttemptId,
        /// Where it went.
        worker: WorkerId,
    },
    /// Order a load.
    Load {
        /// Which load request.
        load: LoadId,
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
        /// How many instances are to stand.
        instances: u8,
    },
    /// Ask whether a worker lives.
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
    /// Nothing new goes out on the connections that lead there: the process at their end may be another now.
    Renew {
        /// Where.
        worker: WorkerId,
    },
    /// A probe for all of the fleet was answered, or was not: the other processes are to know.
    PublishHealth {
        /// Which worker.
        worker: WorkerId,
        /// Whether it answers.
        answers: bool,
    },
    /// An operator has cordoned or uncordoned a worker here: other processes of this scheduler are to know.
    PublishCordon {
        /// Which.
        worker: WorkerId,
        /// Cordoned, or uncordoned.
        cordoned: bool,
    },
}

/// An attempt that has not ended.
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    pub(super) class: usize,
    pub(super) decided_at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) written: Option<Timestamp>,
    /// Its write check has let it pass.
    pub(super) allowed: bool,
}

/// A probe that has not ended.
pub(super) struct Probe {
    pub(super) worker: WorkerId,
    pub(super) deadline: Timestamp,
}
