//! Load shedding coordinated across a fleet, by the admission level: the fraction of each priority rank that all
//! processes admit.
//!
//! Every process measures its demand ([`DemandMeter`]) and gossips it. The holder of a lease, the controller, computes the
//! admission level ([`OverloadController`]) and publishes it with its fence; every process applies the latest level to its
//! own requests ([`AdmissionGate`]). Nothing here does I/O or reads a clock. The invariants, and where each is maintained:
//!
//! - requests are admitted by priority weight: a class is shed only if all classes of lower weight are shed entirely
//!   ([`OverloadController`]);
//! - some of the load is always admitted, so that a recovery of the workers is detected ([`OverloadController`]);
//! - no peer has more than three times the weight of the median peer, whatever it reports ([`OverloadController`]);
//! - a level under an earlier fence never supersedes one under a later fence ([`AdmissionGate`]);
//! - an expired level sheds nothing: without a controller each process admits requests by itself ([`AdmissionGate`]).

mod controller;
mod demand_meter;
mod gate;

pub use controller::{Controller, OverloadController};
pub use demand_meter::DemandMeter;
pub use gate::AdmissionGate;

use crate::interface::Duration;
use serde::{Deserialize, Serialize};

/// Number of ranks of classes by priority weight; the first rank has the highest weight. If a site has more distinct
/// weights, the last rank contains all remaining ones.
pub const RANK_COUNT: usize = 4;
/// Interval at which demand is published and the admission level computed.
pub const TICK_INTERVAL: Duration = Duration::millis(250);
/// How long an admission level or a peer's report is valid.
pub const REPORT_LIFETIME: Duration = Duration::millis(3_000);

/// Demand at one process: counts of the last second, and the number of open requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// Requests that arrived, by rank.
    pub offered: [u16; RANK_COUNT],
    /// Requests that were served, before their deadline or after.
    pub served: u16,
    /// Requests that were admitted and are not answered yet.
    pub open: u16,
}

/// The fraction of each rank that all processes admit, in 255ths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// The controller's fence.
    pub fence: u64,
    /// The controller's index; processes send their demand to it directly.
    pub by: u32,
    /// The fraction by rank.
    pub admit: [u8; RANK_COUNT],
}

impl AdmissionLevel {
    /// All requests are admitted.
    pub const ADMIT_ALL: [u8; RANK_COUNT] = [u8::MAX; RANK_COUNT];

    /// Number of ranks of which some requests are rejected.
    pub fn shed(&self) -> u64 {
        self.admit.iter().filter(|part| **part < u8::MAX).count() as u64
    }
}

/// The rank of each class; classes of equal priority weight share a rank.
pub fn ranks(priority_weights: &[f64]) -> Vec<usize> {
    let mut order: Vec<f64> = priority_weights.to_vec();
    order.sort_by(|a, b| b.total_cmp(a));
    order.dedup();
    let rank = |priority_weight: &f64| {
        order.iter().position(|weight| weight.total_cmp(priority_weight).is_eq()).unwrap_or_default()
    };
    priority_weights.iter().map(|priority_weight| rank(priority_weight).min(RANK_COUNT - 1)).collect()
}

#[cfg(test)]
mod tests;
