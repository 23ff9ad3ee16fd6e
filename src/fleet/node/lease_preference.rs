//! Decides for which leases a process is a candidate, and to which members it returns them.
//!
//! Every member orders the members for each lease by the same hash (rendezvous hashing). The first
//! [`CANDIDATES_PER_LEASE`] of that order are candidates for the lease. A holder that is not the first returns the
//! lease once the first has been up for long enough.

use super::FleetNode;
use super::lease_ids::{PUBLISH_LEASE, lease_of};
use crate::fleet::lease::{Destination, LeaseEnvelope, LeaseId, LeaseMessage, LeaseOutput};
use crate::fleet::mix;
use crate::interface::{Duration, Task, Timestamp};
use std::collections::BTreeMap;

/// Number of candidates for one lease at a time: enough that some are alive whatever fails, and few enough that the
/// acceptors do not receive requests of the whole fleet whenever a lease expires.
const CANDIDATES_PER_LEASE: usize = 3;
/// Terms for which the preferred member must have been up, and the holder must have held the lease, before the lease
/// is returned; doubled for each recent loss of that member.
const SETTLING_TERMS: u64 = 3;
/// Largest number of losses of a member that count for that doubling.
const MAX_COUNTED_LOSSES: u32 = 3;
/// Terms after which the losses of a member no longer count.
const LOSS_MEMORY_TERMS: u64 = 64;

/// When a member came up, and how often it was lost before.
#[derive(Clone, Copy, Debug, Default)]
struct MemberHistory {
    up_since: Timestamp,
    losses: u32,
    last_loss: Timestamp,
}

impl MemberHistory {
    /// How long this member must have been up before leases are returned to it.
    fn settling_time(&self, now: Timestamp, term: Duration) -> Duration {
        let forgotten = now - self.last_loss > Duration(term.0 * LOSS_MEMORY_TERMS);
        let losses = if forgotten { 0 } else { self.losses };
        Duration((term.0 * SETTLING_TERMS) << losses)
    }
}

/// State of the ranking of candidates.
#[derive(Debug)]
pub(super) struct LeasePreference {
    histories: BTreeMap<u32, MemberHistory>,
    /// When leases are ranked for the first time; by then the other members are known.
    first_ranking_at: Timestamp,
    ranked: bool,
}

impl LeasePreference {
    pub fn new(first_ranking_at: Timestamp) -> LeasePreference {
        LeasePreference { histories: BTreeMap::new(), first_ranking_at, ranked: false }
    }

    /// When leases are to be ranked for the first time; `None` once they were.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        (!self.ranked).then_some(self.first_ranking_at)
    }

    /// A process has become a member.
    pub fn member_up(&mut self, now: Timestamp, index: u32) {
        self.histories.entry(index).or_default().up_since = now;
    }

    /// A process is no longer a member.
    pub fn member_down(&mut self, now: Timestamp, index: u32) {
        let history = self.histories.entry(index).or_default();
        history.losses = (history.losses + 1).min(MAX_COUNTED_LOSSES);
        history.last_loss = now;
    }
}

impl FleetNode {
    /// All leases of the fleet, in the order in which they are ranked and shown.
    pub(super) fn leases(&self) -> Vec<LeaseId> {
        let parts = 0..self.config.parts;
        let partitioned =
            Task::PARTITIONED.iter().flat_map(|task| parts.clone().map(|part| lease_of(*task, part)));
        let shed = self.config.shed_latency_objective.map(|_| lease_of(Task::Shed, 0));
        let publish = self.config.publishes.then_some(PUBLISH_LEASE);
        partitioned.chain(shed).chain(publish).collect()
    }

    /// The members in order of preference for a lease. All processes with the same members agree on it.
    fn members_by_preference(&self, lease: LeaseId) -> Vec<u32> {
        let members = self.membership.members().keys().copied().chain([self.config.process.index]);
        let hashed = members.map(|index| (mix(u64::from(lease.0), u64::from(index)), index));
        let mut order: Vec<(u64, u32)> = hashed.collect();
        order.sort_unstable();
        order.into_iter().map(|(_, index)| index).collect()
    }

    /// Ranks all leases when the time of the first ranking is reached, and after that whenever the members have changed.
    pub(super) fn rank_leases_if_due(&mut self, now: Timestamp, members_changed: bool) {
        let first_time = !self.preference.ranked && now >= self.preference.first_ranking_at;
        let again = self.preference.ranked && members_changed && !self.left;
        if first_time || again {
            self.preference.ranked = true;
            self.rank_leases(now);
        }
    }

    fn rank_leases(&mut self, now: Timestamp) {
        for lease in self.leases() {
            let order = self.members_by_preference(lease);
            let position = order.iter().position(|index| *index == self.config.process.index);
            let rank = if lease == PUBLISH_LEASE {
                // Few processes publish, and the others do not know which: each of them is a candidate.
                position.map(|position| position.min(CANDIDATES_PER_LEASE - 1))
            } else {
                position.filter(|position| *position < CANDIDATES_PER_LEASE)
            };
            self.lease_node.set_rank(now, lease, rank.map(|rank| rank as u32), &self.config.lease);
        }
    }

    /// Returns each lease to the member that is preferred for it, once that member has been up for long enough. A member
    /// that was lost repeatedly must be up for longer, so that a lease does not move back and forth.
    pub(super) fn return_to_preferred(&mut self, now: Timestamp, out: &mut LeaseOutput) {
        // The preferred member for the publish lease may be a process that does not publish.
        let returnable = self.held.acquisition_times().filter(|(lease, _)| *lease != PUBLISH_LEASE);
        for (lease, held_since) in returnable.collect::<Vec<_>>() {
            let preferred = self.members_by_preference(lease)[0];
            if preferred == self.config.process.index {
                continue;
            }
            let Some(history) = self.preference.histories.get(&preferred) else { continue };
            let settling_time = history.settling_time(now, self.config.lease.term);
            if now - history.up_since >= settling_time && now - held_since >= settling_time {
                self.lease_node.release(now, lease, &self.config.lease, out);
                out.push(free_notice(preferred, lease));
            }
        }
        if self.any_lease_lost(now) {
            self.rank_leases(now);
        }
    }

    /// Whether any lease that was last reported as held no longer is.
    fn any_lease_lost(&self, now: Timestamp) -> bool {
        self.held.acquisition_times().any(|(lease, _)| self.lease_node.holds(now, lease).is_none())
    }

    /// Releases all leases, is a candidate for none from then on, and notifies the members that are to hold them next.
    pub(super) fn release_all_leases(&mut self, now: Timestamp, out: &mut LeaseOutput) {
        for lease in self.leases() {
            if self.lease_node.holds(now, lease).is_none() {
                self.lease_node.set_rank(now, lease, None, &self.config.lease);
                continue;
            }
            self.lease_node.release(now, lease, &self.config.lease, out);
            for index in self.successors(lease) {
                out.push(free_notice(index, lease));
            }
        }
    }

    /// The processes to notify when a lease is released: the next member in order of preference, or all acceptors for the
    /// publish lease, since it is not known which processes publish.
    fn successors(&self, lease: LeaseId) -> Vec<u32> {
        let own = self.config.process.index;
        if lease == PUBLISH_LEASE {
            return self.config.acceptors.keys().copied().filter(|index| *index != own).collect();
        }
        let others = self.members_by_preference(lease).into_iter().filter(|index| *index != own);
        others.take(1).collect()
    }
}

/// A message that notifies a candidate that a lease was released.
fn free_notice(index: u32, lease: LeaseId) -> LeaseEnvelope {
    LeaseEnvelope { to: Destination::Acceptor(index), lease, message: LeaseMessage::Free }
}
