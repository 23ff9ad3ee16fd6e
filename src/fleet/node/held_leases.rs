//! The leases last reported as held, and when each was acquired.

use crate::fleet::lease::{LeaseGrant, LeaseId};
use crate::interface::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// A lease held by this process.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    grant: LeaseGrant,
    /// When this process acquired it; renewals do not change it.
    since: Timestamp,
}

/// A lease that was acquired, renewed or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseChange {
    pub lease: LeaseId,
    /// The new grant; `None` if the lease is no longer held.
    pub grant: Option<LeaseGrant>,
}

/// The leases last reported as held.
#[derive(Debug, Default)]
pub(super) struct HeldLeases {
    leases: BTreeMap<LeaseId, HeldLease>,
}

impl HeldLeases {
    /// The held leases, each with the time when it was acquired.
    pub fn acquisition_times(&self) -> impl Iterator<Item = (LeaseId, Timestamp)> + '_ {
        self.leases.iter().map(|(lease, held)| (*lease, held.since))
    }

    /// Replaces the leases by those held now, and returns the differences in order of lease ids.
    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn update(&mut self, now: Timestamp, current: BTreeMap<LeaseId, LeaseGrant>) -> Vec<LeaseChange> {
        let leases: BTreeSet<LeaseId> = current.keys().chain(self.leases.keys()).copied().collect();
        let changed = |lease: LeaseId| self.update_lease(now, lease, current.get(&lease).copied());
        leases.into_iter().filter_map(changed).collect()
    }

    fn update_lease(
        &mut self,
        now: Timestamp,
        lease: LeaseId,
        grant: Option<LeaseGrant>,
    ) -> Option<LeaseChange> {
        let previous = self.leases.get(&lease).copied();
        if let Some(new) = grant {
            if previous.is_some_and(|held| held.grant == new) {
                return None;
            }
            let renewed = previous.filter(|held| held.grant.fence == new.fence);
            let since = renewed.map_or(now, |held| held.since);
            self.leases.insert(lease, HeldLease { grant: new, since });
        } else {
            self.leases.remove(&lease);
        }
        Some(LeaseChange { lease, grant })
    }
}
