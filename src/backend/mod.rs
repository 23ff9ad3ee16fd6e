//! Back ends: connections to workers, with one codec for workers and one for JSON-RPC checkers.

mod codec;
mod connection;
pub mod json_lines;
pub mod jsonrpc;
mod pool;

pub use crate::request::Job;
pub use codec::{Codec, ParseError, WorkerReply};
pub use connection::{BUFFER_LIMITS, ConnectionLimits, MAX_LINE_BYTES, WorkerConnection};
pub use pool::{Endpoint, Pool};

use codec::left_ms;
