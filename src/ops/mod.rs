//! Daily operation: the second address, its figures, and workers that are out by hand.

pub mod http;
mod mgmt;

pub use mgmt::{MgmtConnection, OPERATOR_BUFFER_LIMITS, OPERATOR_CONNECTIONS};
