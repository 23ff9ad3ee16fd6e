//! Fronts: the protocols of clients. Each decodes bytes to [`crate::core::IncomingRequest`]s and encodes answers.

pub mod frames;
pub mod jsonrpc;
pub mod socket;

use crate::interface::Duration;

/// Most requests open at a time on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Allowance for an answer's way back to its client, by which internal deadlines are earlier.
pub const ANSWER_TRANSIT_TIME: Duration = Duration::millis(5);
/// A JSON-RPC connection without open requests and input is closed after this time.
pub const RPC_IDLE_TIMEOUT: Duration = Duration::millis(60_000);
/// Time within which a message must arrive completely. An incomplete one holds a descriptor and a buffer, and its
/// sender must get an answer within 3 s.
pub const MESSAGE_TIMEOUT: Duration = Duration::millis(2_500);
/// Unread output, in bytes, above which reading from a client pauses.
pub const MAX_UNREAD_OUTPUT_BYTES: usize = 256 << 10;
/// Time that a client has to read the remaining output after the error that ends its connection.
pub const LINGER_TIMEOUT: Duration = Duration::millis(2_000);

/// Parses a function's ID of 16 hex digits.
pub fn read_function(text: &str) -> Option<u64> {
    let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
