//! The messages between an old and a new process: each is a length followed by JSON. `Hello` and `State` carry the
//! version.

pub use crate::core::transferred_state::{TransferredState, TransferredWorker};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of the messages: the same keys may have another meaning in another version.
pub const VERSION: u32 = 1;
/// Longest message in bytes: enough for the state of about 50,000 workers.
pub const MAX_MESSAGE_LENGTH: usize = 8 << 20;

/// A message between two processes of one scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The new process asks for the old one's state.
    Hello {
        /// The version of its messages.
        version: u32,
        /// The scheduler's name, which must be the same in both.
        name: String,
    },
    /// The old process's answer.
    State(Box<TransferredState>),
    /// The new process accepts clients from now on.
    Serving,
    /// An operator has cordoned or uncordoned a worker.
    #[serde(rename = "by-hand")]
    CordonChanged {
        /// The worker's id.
        worker: u64,
        /// Whether it is cordoned now.
        #[serde(rename = "out")]
        cordoned: bool,
        /// When, by the clock of the process that the operator called. Receivers use the time of receipt instead, because
        /// their clocks may differ.
        at: u64,
    },
}

/// Encodes a message.
pub fn write(message: &Message) -> Vec<u8> {
    let text = serde_json::to_vec(message).unwrap_or_default();
    [&(text.len() as u32).to_be_bytes()[..], &text].concat()
}

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Its length is out of range.
    Length,
    /// It is not a message of this version.
    Malformed,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::Length => "length out of range",
            MessageError::Malformed => "no message of this version",
        })
    }
}

impl std::error::Error for MessageError {}

/// Decodes the first message of a buffer and returns it with its length in bytes; `Ok(None)` if it is incomplete.
///
/// # Errors
/// The length is out of range, or the text is not a message of this version.
pub fn read(bytes: &[u8]) -> Result<Option<(Message, usize)>, MessageError> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(2..=MAX_MESSAGE_LENGTH).contains(&length) {
        return Err(MessageError::Length);
    }
    let Some(text) = bytes.get(4..4 + length) else { return Ok(None) };
    let message = serde_json::from_slice(text).map_err(|_| MessageError::Malformed)?;
    Ok(Some((message, 4 + length)))
}

#[cfg(test)]
mod tests;
