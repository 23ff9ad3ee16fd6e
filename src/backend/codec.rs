//! The interface of the codecs that encode commands to workers and decode their replies.

use crate::interface::{FunctionId, Timestamp};
use crate::request::{LoadReport, Reply, RequestPayload};

/// A decoded line from a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// The reply to an attempt or to a load command.
    Answer {
        /// The ID (`rid`) under which the command was sent.
        rid: String,
        /// The decoded status and body.
        reply: Reply,
        /// Number of loaded instances, if reported.
        instances: Option<u32>,
    },
    /// The reply to a probe.
    Alive {
        /// The ID under which the probe was sent.
        rid: String,
        /// The reported load figures.
        report: LoadReport,
    },
}

/// A line that cannot be decoded, with the ID of the command that it answers if that could be read.
#[derive(Clone, Debug, PartialEq)]
pub struct ParseError {
    /// The ID (`rid`) under which the command was sent.
    pub rid: Option<String>,
    /// What is wrong with the line.
    pub cause: &'static str,
}

/// Encodes commands to one kind of worker as lines, and decodes its replies, without state.
pub trait Codec {
    /// The line that starts an attempt. The time limit that it carries is what remains from `now` to `deadline`.
    fn go(&self, work: &RequestPayload, now: Timestamp, deadline: Timestamp) -> Vec<u8>;
    /// The line that cancels an attempt.
    fn halt(&self, rid: &str) -> Vec<u8>;
    /// The line that requests the load of a function's instances.
    fn stage(&self, rid: &str, function: FunctionId, instances: u8) -> Vec<u8>;
    /// The line that unloads idle instances.
    fn purge(&self, function: FunctionId) -> Vec<u8>;
    /// The line of a probe with this ID.
    fn probe(&self, rid: &str) -> Vec<u8>;
    /// Decodes a line, passed without its line feed.
    ///
    /// # Errors
    /// The line is invalid; [`ParseError`] has the ID of the command if that could be read.
    fn read(&self, line: &[u8]) -> Result<WorkerReply, ParseError>;
}

/// Time left until a deadline in whole milliseconds, rounded up, as sent to workers. Never 0, which could be read as no
/// limit.
pub(super) fn left_ms(now: Timestamp, deadline: Timestamp) -> u64 {
    (deadline - now).0.div_ceil(1_000_000).max(1)
}
