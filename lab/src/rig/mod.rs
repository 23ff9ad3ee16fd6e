//! The rig: real schedulers of one fleet, with stand-ins for everything around them and a relay on every link.
//!
//! One thread serves all sockets in rounds, so the order of what two schedulers wrote can be determined without
//! relying on thread scheduling: whatever a round reads arrived after the previous round had found that socket empty.

pub mod audit;
pub mod client;
pub mod environment;
pub mod link;
pub mod process;
pub mod report;
pub mod scenario;
pub mod wire;
pub mod worker;

/// Nanoseconds since the rig started.
pub type Moment = u64;

/// One millisecond, as a [`Moment`].
pub const MILLISECOND: u64 = 1_000_000;
/// One second, as a [`Moment`].
pub const SECOND: u64 = 1_000 * MILLISECOND;
