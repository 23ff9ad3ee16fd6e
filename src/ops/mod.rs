//! The operators' interface at the second address: readiness, figures, fleet status and cordoned workers.

pub mod http;
mod mgmt;

pub use mgmt::{MgmtConnection, OPERATOR_BUFFER_LIMITS, OPERATOR_CONNECTIONS};
