//! Back ends: the connections to workers, with a JSON-lines codec and a JSON-RPC codec for checkers.

mod codec;
mod connection;
pub mod json_lines;
pub mod jsonrpc;
mod pool;

pub use crate::request::Job;
pub use codec::{Codec, ParseError, WorkerReply};
pub use connection::{BUFFER_LIMITS, ConnectionLimits, MAX_LINE_BYTES, WorkerConnection};
pub use pool::{Endpoint, Pool, WritePeriod};

use codec::left_ms;
