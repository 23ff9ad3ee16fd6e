//! Requests, attempts, load requests and their outcomes, as they pass between listeners, the core and connections to
//! workers. Makes no decisions and does no I/O.

use crate::interface::{Duration, FunctionId, RequestId, Status, Timestamp};
use std::rc::Rc;

/// Where a request's answer goes: a client connection, and the request's number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// The connection; its number is never reused.
    pub connection: u64,
    /// The request on it.
    pub stream: u64,
}

/// A request as a listener has read it.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Where the answer goes.
    pub owner: Owner,
    /// The client's name for this request; workers see it unchanged.
    pub reference: String,
    /// Name of the class.
    pub class: String,
    /// The function called.
    pub function: FunctionId,
    /// Idempotency key, in keyed classes.
    pub key: Option<String>,
    /// Memory of one instance, in MB.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Typical duration of a load, where known.
    pub load_time: Option<Duration>,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// The body.
    pub body: Vec<u8>,
}

impl IncomingRequest {
    /// Bytes of the body, the key and the other texts.
    pub fn byte_count(&self) -> usize {
        payload_bytes(&self.reference, &self.class, self.key.as_deref(), &self.body)
    }
}

/// What every attempt of a request carries to a worker.
#[derive(Debug)]
pub struct RequestPayload {
    /// The client's name for the request.
    pub reference: String,
    /// Name of the class.
    pub class: String,
    /// The function.
    pub function: FunctionId,
    /// Idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl RequestPayload {
    /// Bytes of the body, the key and the other texts.
    pub fn byte_count(&self) -> usize {
        payload_bytes(&self.reference, &self.class, self.key.as_deref(), &self.body)
    }
}

fn payload_bytes(reference: &str, class: &str, key: Option<&str>, body: &[u8]) -> usize {
    reference.len() + class.len() + key.map_or(0, str::len) + body.len()
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub number: u16,
}

/// The lease under which something is done for the whole fleet: it is done under this fencing token or not at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fenced {
    /// The task's part.
    pub part: u16,
    /// The lease's fencing token at the moment of the decision.
    pub fence: u64,
}

impl Fenced {
    /// The suffix of the id under which a message is written to a worker. Workers that check fencing tokens can reject
    /// an old one; others ignore the contents of ids.
    pub fn suffix(fenced: Option<Fenced>) -> String {
        fenced.map(|fenced| format!("-{}.{}", fenced.part, fenced.fence)).unwrap_or_default()
    }
}

/// One load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadId {
    /// Its number; load requests and probes share one sequence.
    pub number: u64,
    /// The lease under which it is made, if it stands in for another scheduler.
    pub lease: Option<Fenced>,
}

/// A worker's load as reported in answer to a probe: values by the names that the site gives them.
pub type LoadReport = Vec<(String, f32)>;

/// One probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId {
    /// Its number; load requests and probes share one sequence.
    pub number: u64,
    /// The lease under which it is made, if it is made for the whole fleet.
    pub lease: Option<Fenced>,
}

/// How far an attempt or a load request had progressed when its connection broke. This alone decides whether a retry is
/// safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No byte was handed to the operating system.
    NotSent,
    /// Some of the bytes were: the worker cannot parse what it receives, so the attempt never ran.
    PartlyWritten,
    /// All of the bytes were: the attempt may have run.
    Out,
    /// An unusable answer was received.
    Answered,
}

impl AttemptProgress {
    /// The status that the policy is given if the connection breaks at this point.
    pub fn status(self) -> Status {
        match self {
            AttemptProgress::NotSent | AttemptProgress::PartlyWritten => Status::ConnectFailed,
            AttemptProgress::Out => Status::Reset,
            AttemptProgress::Answered => Status::Error,
        }
    }
}

/// An attempt or load request that ended without a usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// How far it had progressed.
    pub progress: AttemptProgress,
    /// The cause, for the log.
    pub cause: &'static str,
}

/// A worker's answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Success, with the response body.
    Ok(Vec<u8>),
    /// The function is not loaded on the worker.
    Miss,
    /// Rejected without being run.
    Full,
    /// It failed and may have run.
    Error,
    /// The request expired before it ran.
    Expired,
}

impl Reply {
    /// The status that the policy is given for this answer.
    pub fn status(&self) -> Status {
        match self {
            Reply::Ok(_) => Status::Ok,
            Reply::Miss => Status::Miss,
            Reply::Full => Status::Full,
            Reply::Error => Status::Error,
            Reply::Expired => Status::NotSent,
        }
    }
}

/// A worker's answer to a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadResult {
    /// How it ended.
    pub status: Status,
    /// Instances that are loaded.
    pub instances: u32,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served, with the worker's response body.
    Served(Vec<u8>),
    /// Rejected without being run; the client may safely retry after the cooldown.
    Refused {
        /// How long the client is to wait before a retry.
        cooldown: Duration,
    },
    /// Failed; the request may or may not have run.
    Failed,
}

impl Verdict {
    /// Its name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Verdict::Served(_) => "served",
            Verdict::Refused { .. } => "refused",
            Verdict::Failed => "failed",
        }
    }
}

/// The final answer to a request; each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How it ended.
    pub verdict: Verdict,
    /// Whether it ended because its deadline was reached.
    pub expired: bool,
}

impl Answer {
    /// Failed before the deadline.
    pub const FAILED: Answer = Answer { verdict: Verdict::Failed, expired: false };
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The peer closed it, or shut down its sending half.
    Ended,
    /// Reading or writing failed: it was reset, or the peer became unreachable.
    Broken,
    /// It was never established.
    NotConnected,
    /// Nothing was open on it for the idle timeout.
    Idle,
    /// It was idle, and its place was needed for another connection.
    MadeRoom,
    /// The peer did not read, and more output was buffered than the limit allows.
    Clogged,
    /// The input was malformed, or a message was not complete in time.
    Unreadable,
    /// Expected input did not arrive in time.
    Silent,
    /// Everything that it was opened for has been sent.
    Finished,
    /// This program closed it: its peer is another process now, or another connection replaces it.
    Replaced,
    /// A panic in this program was caught.
    Fault,
}

/// A command for a worker, queued for a connection.
#[derive(Clone, Debug)]
pub enum Job {
    /// Start an attempt.
    Send {
        /// Which.
        attempt: AttemptId,
        /// The request that it carries.
        work: Rc<RequestPayload>,
        /// When its answer is no longer waited for.
        deadline: Timestamp,
    },
    /// Cancel an attempt.
    Cancel {
        /// Which.
        attempt: AttemptId,
    },
    /// Send a load request.
    Load {
        /// Which load request.
        load: LoadId,
        /// What.
        function: FunctionId,
        /// How many instances.
        instances: u8,
    },
    /// Send a health check.
    Probe {
        /// Which probe.
        probe: ProbeId,
        /// When its answer is no longer waited for.
        deadline: Timestamp,
    },
    /// Unload the idle instances.
    Unload {
        /// What.
        function: FunctionId,
    },
}
