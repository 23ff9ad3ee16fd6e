//! Tracks which processes of the fleet are gone: absent for so long that others take over their work.

use crate::interface::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Only indices below this one are tracked, which bounds memory if the fleet's size is configured too large.
const MAX_TRACKED_INDICES: u32 = 4096;

/// Processes that are not members, and those of them that were reported as gone.
#[derive(Debug)]
pub(super) struct Absence {
    /// Number of indices that are tracked.
    tracked: u32,
    /// How long a process is absent before it counts as gone; longer than a restart or an upgrade takes.
    grace: Duration,
    /// When each absent process was lost, by index; for those not seen yet, when this process started.
    absent_since: BTreeMap<u32, Timestamp>,
    reported_gone: BTreeSet<u32>,
}

impl Absence {
    /// Starts with all processes but `own` absent as of now.
    pub fn new(now: Timestamp, fleet_size: u32, own: u32, grace: Duration) -> Absence {
        let tracked = fleet_size.min(MAX_TRACKED_INDICES);
        let absent_since = (0..tracked).filter(|index| *index != own).map(|index| (index, now)).collect();
        Absence { tracked, grace, absent_since, reported_gone: BTreeSet::new() }
    }

    /// A process has become a member.
    pub fn member_up(&mut self, index: u32) {
        self.absent_since.remove(&index);
    }

    /// A process is no longer a member.
    pub fn member_down(&mut self, now: Timestamp, index: u32) {
        if index < self.tracked {
            self.absent_since.insert(index, now);
        }
    }

    /// When the next process counts as gone.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let unreported = self.absent_since.iter().filter(|(index, _)| !self.reported_gone.contains(index));
        unreported.map(|(_, since)| *since + self.grace).min()
    }

    /// All processes that are gone, if they differ from those last reported.
    pub fn on_timeout(&mut self, now: Timestamp) -> Option<BTreeSet<u32>> {
        let gone = self.absent_since.iter().filter(|(_, since)| **since + self.grace <= now);
        let gone: BTreeSet<u32> = gone.map(|(index, _)| *index).collect();
        if gone == self.reported_gone {
            return None;
        }
        self.reported_gone.clone_from(&gone);
        Some(gone)
    }
}
