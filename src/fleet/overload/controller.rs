//! Computes the fleet's admission level from the queueing time of requests, which rises before any of them is late.
//!
//! Open requests over requests served in a second are the seconds that the next request will wait (Little's law). Below
//! the target wait the limit rises by a part of the load with each tick. Above it the limit is the capacity, less what
//! drains the excess within [`EXCESS_DRAIN_SECS`].

use super::{AdmissionLevel, Demand, RANK_COUNT, REPORT_LIFETIME};
use crate::interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Target wait, as a fraction of the latency objective.
const TARGET_WAIT_FRACTION: f64 = 0.5;
/// Time in which an excess of open requests is drained, in seconds.
const EXCESS_DRAIN_SECS: f64 = 1.0;
/// Rise of the limit per tick while the wait is below the target, as a fraction of the load.
const LIMIT_RISE_FRACTION: f64 = 0.03;
/// Fraction of the measured capacity that is kept per tick while less is served.
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
    /// Its index.
    pub index: u32,
}

/// Demand as a peer has reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PeerReport {
    pub demand: Demand,
    pub at: Timestamp,
}

/// Demand of the whole fleet, weighted by peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FleetDemand {
    /// Requests a second, by rank.
    pub offered: [f64; RANK_COUNT],
    /// Requests served in a second.
    pub served: f64,
    /// Requests that are open now.
    pub open: f64,
}

/// Computes the admission level of the fleet; see the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct OverloadController {
    pub(super) reports: BTreeMap<u32, PeerReport>,
    /// Requests a second that the fleet admits; `None` where it admits all.
    limit: Option<f64>,
    /// The fence under which the last level was computed.
    fence: Option<u64>,
    /// Requests a second that the workers can serve: the largest recent rate, decaying.
    capacity: f64,
}

impl OverloadController {
    /// Records the demand of a process, also of this one, as of `at`. Older reports than the known one are ignored.
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
        // Of two peers the smaller one is the median: a peer that lies must not be its own measure.
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

    /// Computes the admission level for now. A controller with a new fence continues from the level before it.
    pub fn tick(
        &mut self,
        now: Timestamp,
        controller: Controller,
        latency_objective: Duration,
        before: Option<AdmissionLevel>,
    ) -> AdmissionLevel {
        let FleetDemand { offered, served, open } = self.sum(now);
        let load: f64 = offered.iter().sum();
        if self.fence != Some(controller.fence) {
            self.fence = Some(controller.fence);
            let limited = before.filter(|level| level.admit != AdmissionLevel::ADMIT_ALL);
            self.limit = limited.map(|level| admitted_rate(&offered, level));
        }
        // Under overload fewer requests are completed than could be: the capacity measured before counts for a while.
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
        let Some(mut left) = self.limit else { return AdmissionLevel::ADMIT_ALL };
        let mut admit = AdmissionLevel::ADMIT_ALL;
        for (part, load) in admit.iter_mut().zip(offered) {
            let admitted = left.min(*load);
            left -= admitted;
            if *load > 0.0 {
                *part = (admitted / load * 255.0).ceil() as u8;
            } else if left <= 0.0 {
                *part = 0;
            }
        }
        admit
    }
}

/// The largest of a peer's counts, at least 1: the measure of its weight.
fn peer_size(demand: &Demand) -> f64 {
    let counts = demand.offered.iter().copied().chain([demand.served, demand.open]);
    counts.map(f64::from).fold(1.0, f64::max)
}

/// Requests a second that a level admits of what is offered.
fn admitted_rate(offered: &[f64; RANK_COUNT], level: AdmissionLevel) -> f64 {
    offered.iter().zip(level.admit).map(|(rate, part)| rate * f64::from(part) / 255.0).sum()
}
