//! Fronts: what clients speak. Each turns bytes into [`crate::core::IncomingRequest`] requests and answers into bytes.

pub mod frames;
pub mod jsonrpc;
pub mod socket;

use crate::interface::Duration;

/// Calls open at a time on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Largest body of a request.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Time that an answer takes back to its client; deadlines inside are earlier by it.
pub const ANSWER_TRANSIT_TIME: Duration = Duration::millis(5);
/// A connection on which nothing is open and nothing comes is closed after this.
pub const RPC_IDLE_TIMEOUT: Duration = Duration::millis(60_000);
/// A message that has begun must have come whole within this time: one that never ends holds a descriptor and
/// a buffer, and its sender is owed a word within 3 s.
pub const MESSAGE_TIMEOUT: Duration = Duration::millis(2_500);
/// Output that may wait for a client before no more is read from it.
pub const MAX_UNREAD_OUTPUT_BYTES: usize = 256 << 10;
/// How long a client that has been told the connection ends may take to read the rest.
pub const LINGER_TIMEOUT: Duration = Duration::millis(2_000);

/// A function's 16 hex digits.
pub fn read_function(text: &str) -> Option<u64> {
    let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
