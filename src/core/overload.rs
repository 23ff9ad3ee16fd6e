//! Load shedding at the admission level that the fleet has agreed on, applied to requests before they reach the policy.

use super::{Core, Owner};
use crate::chain;
use crate::fleet::overload::{AdmissionGate, AdmissionLevel, Demand, DemandMeter, ranks};
use crate::interface::{Duration, Timestamp};
use crate::settings::Site;

/// The demand at this process, and the admission level that the fleet has agreed on.
pub(super) struct Overload {
    meter: DemandMeter,
    gate: AdmissionGate,
    /// The rank of each class, by its priority weight.
    ranks: Vec<usize>,
}

impl Overload {
    pub(super) fn new(site: &Site) -> Overload {
        Overload {
            meter: DemandMeter::default(),
            gate: AdmissionGate::default(),
            ranks: ranks(&site.priority_weights()),
        }
    }
}

impl Core {
    /// Recomputes the ranks after the classes have changed.
    pub(super) fn rank_classes(&mut self) {
        if let Some(overload) = &mut self.overload {
            overload.ranks = ranks(&self.site.priority_weights());
        }
    }

    /// Applies the admission level that the fleet's controller published at this time; returns whether it is newer than
    /// the previous one.
    pub fn follow(&mut self, level: AdmissionLevel, at: Timestamp) -> bool {
        self.overload.as_mut().is_some_and(|overload| overload.gate.receive(level, at))
    }

    /// The requests received by this process in the last second, and those that are open.
    pub fn demand(&mut self, now: Timestamp) -> Demand {
        let open = self.outstanding();
        self.overload.as_mut().map(|overload| overload.meter.demand(now, open)).unwrap_or_default()
    }

    /// The cooldown for a request that has just arrived, if it is shed. Steps of a chain under way are not shed.
    pub(super) fn shed_cooldown(&mut self, now: Timestamp, class: usize, owner: Owner) -> Option<Duration> {
        let max_cooldown = self.default_cooldown();
        let overload = self.overload.as_mut()?;
        let rank = overload.ranks.get(class).copied().unwrap_or_default();
        let admitted = owner.connection == chain::STEP_CONNECTION || overload.gate.admits(now, rank);
        overload.meter.record_arrival(now, rank);
        self.counters.shed += u64::from(!admitted);
        (!admitted).then(|| overload.gate.cooldown(max_cooldown))
    }

    /// Counts a served request.
    pub(super) fn count_served(&mut self, now: Timestamp) {
        if let Some(overload) = &mut self.overload {
            overload.meter.served(now);
        }
    }
}
