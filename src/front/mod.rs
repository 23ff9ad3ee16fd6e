//! Fronts: the protocols of clients. Each decodes bytes to [`crate::core::IncomingRequest`]s and encodes answers.

mod client_timers;
pub mod frames;
pub mod jsonrpc;
pub mod socket;

use crate::interface::Duration;
use crate::net::Link;

/// Most requests open at a time on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Allowance for an answer's way back to its client, by which internal deadlines are earlier.
pub const ANSWER_TRANSIT_TIME: Duration = Duration::millis(5);
/// A JSON-RPC connection without open requests and input is closed after this time.
pub const RPC_IDLE_TIMEOUT: Duration = Duration::millis(60_000);
/// Time within which a message must arrive completely, not counting time in which its client is not read or is still
/// reading its answers. An incomplete one holds a descriptor and a buffer, and its
/// sender must get an answer within 3 s.
pub const MESSAGE_TIMEOUT: Duration = Duration::millis(2_500);
/// Unread output, in bytes, above which reading from a client pauses.
pub const MAX_UNREAD_OUTPUT_BYTES: usize = 256 << 10;
/// Time that a client has to close its connection once all output up to the error that ends it has been written.
pub const LINGER_TIMEOUT: Duration = Duration::millis(2_000);

/// A connection without open requests whose client takes none of its output for this time is closed. The system takes more
/// from this process only once the client has read a part of what it holds, which is seconds at low rates.
pub const STALLED_OUTPUT_TIMEOUT: Duration = Duration::millis(5_000);

/// Whether a connection may open another request. Answers that wait to be written count as open while much output is
/// unwritten, because their client has not received them.
fn has_room_for_request(open: usize, link: &Link) -> bool {
    let unread = if link.unwritten_bytes() > MAX_UNREAD_OUTPUT_BYTES { link.unwritten_messages() } else { 0 };
    open + unread < MAX_OPEN_REQUESTS && link.has_output_room(0)
}

/// Unread messages up to which reading from a client continues, whatever their size: the answers to as many requests as it
/// may have open, and others such as those about its readiness.
const MAX_UNREAD_MESSAGES: usize = 2 * MAX_OPEN_REQUESTS;
/// Most messages of one connection that are handled before others have their turn. A client that keeps to its limit of open
/// requests rarely sends more at once.
const MAX_MESSAGES_PER_TURN: usize = 64;

/// Parses a function's ID of 16 hex digits.
pub fn read_function(text: &str) -> Option<u64> {
    let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

#[cfg(test)]
mod tests;
