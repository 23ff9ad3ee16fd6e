//! Computes the fleet's admission level from the queueing time of requests, which rises before any request is late.
//!
//! The number of open requests divided by the requests served per second is the time that the next request will wait, in
//! seconds (Little's law). Below the target wait the limit rises by a fraction of the load with each tick. Above it the
//! limit is the capacity minus the rate that drains the excess within [`EXCESS_DRAIN_SECS`].

use super::{AdmissionLevel, Demand, RANK_COUNT, REPORT_LIFETIME};
use crate::interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Target wait, as a fraction of the latency objective.
const TARGET_WAIT_FRACTION: f64 = 0.5;
/// Time in which an excess of open requests is drained, in seconds.
const EXCESS_DRAIN_SECS: f64 = 1.0;
/// Rise of the limit per tick while the wait is below the target, as a fraction of the load.
const LIMIT_RISE_FRACTION: f64 = 0.03;
/// Fraction of the measured capacity that remains after each tick in which less is served.
const CAPACITY_DECAY: f64 = 0.96;
/// Lowest limit, as a fraction of the load.
const MIN_LIMIT_FRACTION: f64 = 0.1;
/// Limit from which all requests are admitted again, as a fraction of the load.
const UNLIMITED_FRACTION: f64 = 1.1;
/// Open requests in the whole fleet below which no overload is assumed.
const MIN_OPEN_REQUESTS: f64 = 10.0;
/// Largest weight of one peer, as a multiple of the median peer's size.
const MAX_PEER_WEIGHT: f64 = 3.0;
/// Largest number of peers whose reports are kept.
const MAX_PEERS: usize = 4_096;

/// The process that computes the admission level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Controller {
    /// The fence of its lease of [`crate::interface::Task::Shed`].
    pub fence: u64,
    /// Its process index.
    pub index: u32,
}

/// Demand reported by a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PeerReport {
    pub demand: Demand,
    pub at: Timestamp,
}

/// Demand of the whole fleet, with each peer's weight applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FleetDemand {
    /// Requests per second, by rank.
    pub offered: [f64; RANK_COUNT],
    /// Requests served per second.
    pub served: f64,
    /// Number of open requests.
    pub open: f64,
}

/// Computes the admission level of the fleet; see the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct OverloadController {
    pub(super) reports: BTreeMap<u32, PeerReport>,
    /// Requests per second that the fleet admits; `None` if it admits all.
    limit: Option<f64>,
    /// The fence under which the last level was computed.
    fence: Option<u64>,
    /// Requests per second that the workers can serve: the largest recent rate, which decays.
    capacity: f64,
}

impl OverloadController {
    /// Records the demand that a process, possibly this one, measured at `at`. A report older than the known one is
    /// ignored.
    pub fn receive(&mut self, now: Timestamp, index: u32, demand: Demand, at: Timestamp) {
        self.reports.retain(|_, report| now - report.at < REPORT_LIFETIME);
        if self.reports.len() < MAX_PEERS || self.reports.contains_key(&index) {
            let known = self.reports.entry(index).or_insert(PeerReport { demand, at });
            if at >= known.at {
                *known = PeerReport { demand, at: at.min(now) };
            }
        }
    }

    /// The demand of the fleet from all recent reports. The weight of each peer is bounded by [`MAX_PEER_WEIGHT`].
    pub(super) fn sum(&self, now: Timestamp) -> FleetDemand {
        let recent = self.reports.values().filter(|report| now - report.at < REPORT_LIFETIME);
        let sized: Vec<(f64, &Demand)> =
            recent.map(|report| (peer_size(&report.demand), &report.demand)).collect();
        let mut sizes: Vec<f64> = sized.iter().map(|(size, _)| *size).collect();
        sizes.sort_by(f64::total_cmp);
        // Of two peers the smaller one is the median: a peer that reports false counts must not set its own limit.
        let median = sizes.get(sizes.len().saturating_sub(1) / 2).copied().unwrap_or_default();
        let mut total = FleetDemand { offered: [0.0; RANK_COUNT], served: 0.0, open: 0.0 };
        for (size, demand) in sized {
            let weight = (median * MAX_PEER_WEIGHT / size).min(1.0);
            for (sum, count) in total.offered.iter_mut().zip(demand.offered) {
                *sum += f64::from(count) * weight;
            }
            total.served += f64::from(demand.served) * weight;
            total.open += f64::from(demand.open) * weight;
        }
        total
    }

    /// Computes the current admission level. A controller with a new fence continues from the previous level.
    pub fn tick(
        &mut self,
        now: Timestamp,
        controller: Controller,
        latency_objective: Duration,
        previous: Option<AdmissionLevel>,
    ) -> AdmissionLevel {
        let FleetDemand { offered, served, open } = self.sum(now);
        let load: f64 = offered.iter().sum();
        if self.fence != Some(controller.fence) {
            self.fence = Some(controller.fence);
            let limited = previous.filter(|level| level.admit != AdmissionLevel::ADMIT_ALL);
            self.limit = limited.map(|level| admitted_rate(&offered, level));
        }
        // Under overload the workers complete fewer requests than they could, so an earlier, higher capacity counts
        // for a while.
        self.capacity = served.max(self.capacity * CAPACITY_DECAY);
        let excess = open - self.capacity * latency_objective.secs() * TARGET_WAIT_FRACTION;
        if excess > 0.0 && open >= MIN_OPEN_REQUESTS {
            self.limit = Some(self.capacity - excess / EXCESS_DRAIN_SECS);
        } else {
            self.limit = self.limit.map(|limit| limit + load * LIMIT_RISE_FRACTION);
        }
        let limit = self.limit.map(|limit| limit.max(load * MIN_LIMIT_FRACTION));
        self.limit = limit.filter(|limit| *limit < load * UNLIMITED_FRACTION);
        AdmissionLevel { fence: controller.fence, by: controller.index, admit: self.admit(&offered) }
    }

    /// Distributes the limit over the ranks, the highest priority first.
    fn admit(&self, offered: &[f64; RANK_COUNT]) -> [u8; RANK_COUNT] {
        let Some(mut remaining) = self.limit else { return AdmissionLevel::ADMIT_ALL };
        let mut admit = AdmissionLevel::ADMIT_ALL;
        for (fraction, load) in admit.iter_mut().zip(offered) {
            let admitted = remaining.min(*load);
            remaining -= admitted;
            if *load > 0.0 {
                *fraction = (admitted / load * 255.0).ceil() as u8;
            } else if remaining <= 0.0 {
                *fraction = 0;
            }
        }
        admit
    }
}

/// The size of a peer, by which it is weighted: the largest of its counts, at least 1.
fn peer_size(demand: &Demand) -> f64 {
    let counts = demand.offered.iter().copied().chain([demand.served, demand.open]);
    counts.map(f64::from).fold(1.0, f64::max)
}

/// Requests per second that a level admits out of the offered ones.
fn admitted_rate(offered: &[f64; RANK_COUNT], level: AdmissionLevel) -> f64 {
    offered.iter().zip(level.admit).map(|(rate, fraction)| rate * f64::from(fraction) / 255.0).sum()
}
