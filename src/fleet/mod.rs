//! The processes of one fleet: membership, leases on tasks that one process at a time performs for the whole fleet, and
//! gossip.
//!
//! [`FleetNode`] is one process without sockets and without a clock: its inputs are datagrams and the time, its
//! outputs datagrams and changes of state. It combines [`membership`], [`lease`], [`gossip`] and
//! [`overload`]. `docs/fleet.md` gives the design.

pub mod distribution;
pub mod gossip;
pub mod lease;
pub mod membership;
pub mod message;
mod node;
pub mod overload;

pub use node::{
    FleetConfig, FleetInput, FleetNode, FleetOutput, FleetStatus, LeaseStatus, SentTotals, StandingGrant,
};

#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_tests;

use serde::{Deserialize, Serialize};

/// A process of the fleet. A restarted process counts as a different one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Its index in the fleet, from its configuration.
    pub index: u32,
    /// A random number chosen when it started.
    pub incarnation: u64,
}

/// Hashes two numbers. All processes of a fleet compute the same value.
fn mix(first: u64, second: u64) -> u64 {
    let mut x = first.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ second.wrapping_add(0x632b_e59b_d9b4_e019);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
