//! Counts of requests offered to and served by this process over the last second, in quarters of a second.

use super::{Demand, RANK_COUNT, TICK_INTERVAL};
use crate::interface::Timestamp;
use std::collections::VecDeque;

/// Number of [`TICK_INTERVAL`]s over which requests are counted: one second.
const QUARTERS_COUNTED: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Quarter {
    number: u64,
    offered: [u32; RANK_COUNT],
    served: u32,
}

/// Measures the demand at this process.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    /// Newest first; each starts at a multiple of [`TICK_INTERVAL`].
    quarters: VecDeque<Quarter>,
}

impl DemandMeter {
    fn current_quarter(&mut self, now: Timestamp) -> &mut Quarter {
        let number = now.0 / TICK_INTERVAL.0;
        self.remove_expired(now);
        if self.quarters.front().is_none_or(|quarter| quarter.number < number) {
            self.quarters.push_front(Quarter { number, offered: [0; RANK_COUNT], served: 0 });
        }
        &mut self.quarters[0]
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let oldest = (now.0 / TICK_INTERVAL.0).saturating_sub(QUARTERS_COUNTED as u64 - 1);
        self.quarters.retain(|quarter| quarter.number >= oldest);
    }

    /// Records that a request of this rank has arrived.
    pub fn record_arrival(&mut self, now: Timestamp, rank: usize) {
        self.current_quarter(now).offered[rank.min(RANK_COUNT - 1)] += 1;
    }

    /// Records that a request was served, before its deadline or after.
    pub fn served(&mut self, now: Timestamp) {
        self.current_quarter(now).served += 1;
    }

    /// The counts of the last second, with the number of requests that are open now.
    pub fn demand(&mut self, now: Timestamp, open: usize) -> Demand {
        self.remove_expired(now);
        let saturated = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let offered = |rank| saturated(self.quarters.iter().map(|quarter| quarter.offered[rank]).sum());
        let served = saturated(self.quarters.iter().map(|quarter| quarter.served).sum());
        Demand {
            offered: std::array::from_fn(offered),
            served,
            open: u16::try_from(open).unwrap_or(u16::MAX),
        }
    }
}
