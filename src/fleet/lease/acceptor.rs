//! The acceptor of PaxosLease: promises, grants, and the grace period after a start in which it does not vote.

#[cfg(test)]
use super::DisabledGuard;
use super::{Ballot, LeaseConfig, LeaseId, LeaseMessage};
use crate::interface::Timestamp;
use std::collections::BTreeMap;

/// A grant made by one acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorGrant {
    /// The ballot that was granted.
    pub ballot: Ballot,
    /// When it expires, by the acceptor's clock.
    pub until: Timestamp,
}

/// An acceptor's state of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct LeaseSlot {
    /// Only this ballot and those with higher counters are accepted.
    promised: Option<Ballot>,
    granted: Option<AcceptorGrant>,
    /// Ballots with counters up to this one were released.
    released_counter: u64,
}

/// The acceptor of one process, for all leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    index: u32,
    slots: BTreeMap<LeaseId, LeaseSlot>,
    /// Once the acceptor votes, no counter that it lost by a restart is higher than this.
    floor: u64,
    grace_until: Timestamp,
    /// The other acceptors that have answered with their floors since the start, and whether each was voting.
    peer_votes: BTreeMap<u32, bool>,
    votes: bool,
    /// When to check again whether it may vote.
    next_check: Option<Timestamp>,
}

impl Acceptor {
    /// An acceptor that has just started, without any state. `fence_floor` is an upper bound of the counters in use, for
    /// the case that a majority has lost its state at once.
    pub fn new(index: u32, now: Timestamp, fence_floor: u64, config: &LeaseConfig) -> Acceptor {
        let grace_until = now + config.grace_period;
        Acceptor {
            index,
            slots: BTreeMap::new(),
            floor: fence_floor,
            grace_until,
            peer_votes: BTreeMap::new(),
            votes: false,
            next_check: Some(grace_until),
        }
    }

    /// Whether it votes, that is, promises and grants.
    pub fn votes(&self) -> bool {
        self.votes
    }

    /// When [`Acceptor::on_timeout`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.next_check
    }

    /// Starts voting once no grant from before its start can be valid and a majority of voting acceptors has answered
    /// with its floor. If so many have lost their state that no majority votes, fences depend on the configured floor:
    /// the acceptor starts voting once all have answered, or after a second grace period with answers of a majority.
    pub fn on_timeout(&mut self, now: Timestamp, config: &LeaseConfig) {
        if self.votes || now < self.grace_until {
            return;
        }
        let second_grace_end = self.grace_until + config.grace_period;
        self.next_check = (now < second_grace_end).then_some(second_grace_end);
        let voting = self.peer_votes.values().filter(|votes| **votes).count();
        let answered = self.peer_votes.len() + 1;
        let second_grace_passed = answered >= config.quorum && now >= second_grace_end;
        self.votes =
            voting >= config.recovery_quorum || answered >= config.acceptors.len() || second_grace_passed;
        if self.votes {
            self.peer_votes.clear();
            self.next_check = None;
        }
    }

    /// The highest counter known to this acceptor.
    fn highest_counter(&self) -> u64 {
        let promised = self.slots.values().filter_map(|slot| slot.promised).map(|ballot| ballot.counter);
        promised.max().unwrap_or(0).max(self.floor)
    }

    /// Handles a message and returns the answer to its sender.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: u32,
        lease: LeaseId,
        message: LeaseMessage,
        config: &LeaseConfig,
    ) -> Option<LeaseMessage> {
        self.on_timeout(now, config);
        match message {
            LeaseMessage::Ask => Some(LeaseMessage::Floor(self.highest_counter(), self.votes)),
            LeaseMessage::Floor(counter, votes) => {
                self.receive_floor(now, from, counter, votes, config);
                None
            }
            _ if self.votes => self.vote(now, lease, message, config),
            _ => None,
        }
    }

    /// Raises the floor to that of another acceptor, unless this one votes already.
    fn receive_floor(&mut self, now: Timestamp, from: u32, counter: u64, votes: bool, config: &LeaseConfig) {
        if !self.votes && from != self.index && config.acceptors.contains(&from) {
            self.floor = self.floor.max(counter);
            self.peer_votes.insert(from, votes);
            self.on_timeout(now, config);
        }
    }

    fn vote(
        &mut self,
        now: Timestamp,
        lease: LeaseId,
        message: LeaseMessage,
        config: &LeaseConfig,
    ) -> Option<LeaseMessage> {
        let floor = self.floor;
        let slot = self.slots.entry(lease).or_default();
        slot.granted = slot.granted.filter(|grant| now < grant.until);
        match message {
            LeaseMessage::Prepare(ballot) => Some(slot.prepare(now, ballot, floor, config)),
            LeaseMessage::Propose(ballot, round) => Some(slot.propose(now, ballot, round, floor, config)),
            LeaseMessage::Release(ballot) => {
                slot.release(ballot, config);
                None
            }
            _ => None,
        }
    }

    /// The grant of a lease that has not expired.
    pub fn granted(&self, now: Timestamp, lease: LeaseId) -> Option<AcceptorGrant> {
        self.slots.get(&lease)?.granted.filter(|grant| now < grant.until)
    }
}

impl LeaseSlot {
    fn counter(&self, floor: u64) -> u64 {
        self.promised.map_or(0, |promised| promised.counter).max(floor).max(self.released_counter)
    }

    /// Whether a ballot is the promised one and not released, or is higher than all promised and released ones.
    fn accepts(&self, ballot: Ballot, floor: u64) -> bool {
        self.promised == Some(ballot) && ballot.counter > self.released_counter
            || ballot.counter > self.counter(floor)
    }

    fn prepare(&mut self, now: Timestamp, ballot: Ballot, floor: u64, config: &LeaseConfig) -> LeaseMessage {
        let other_grant = self.granted.filter(|grant| grant.ballot.process != ballot.process);
        #[cfg(test)]
        let other_grant = other_grant.filter(|_| !config.is_disabled(DisabledGuard::PromisesOthers));
        let _ = config;
        if let Some(grant) = other_grant {
            return LeaseMessage::Held(ballot, (grant.until - now).0);
        }
        if !self.accepts(ballot, floor) {
            return LeaseMessage::Behind(ballot, self.counter(floor));
        }
        self.promised = Some(ballot);
        LeaseMessage::Promise(ballot)
    }

    fn propose(
        &mut self,
        now: Timestamp,
        ballot: Ballot,
        round: u32,
        floor: u64,
        config: &LeaseConfig,
    ) -> LeaseMessage {
        if !self.accepts(ballot, floor) {
            return LeaseMessage::Behind(ballot, self.counter(floor));
        }
        self.promised = Some(ballot);
        self.granted = Some(AcceptorGrant { ballot, until: now + config.term });
        LeaseMessage::Granted(ballot, round)
    }

    /// Ends the grant of this ballot, or of an earlier one of the same process.
    fn release(&mut self, ballot: Ballot, config: &LeaseConfig) {
        let released = |grant: &AcceptorGrant| {
            grant.ballot.process == ballot.process && grant.ballot.counter <= ballot.counter
        };
        #[cfg(test)]
        let released = |grant: &AcceptorGrant| {
            let same_process = grant.ballot.process == ballot.process;
            released(grant) || same_process && config.is_disabled(DisabledGuard::AnyRelease)
        };
        let _ = config;
        if self.granted.is_some_and(|grant| released(&grant)) {
            self.granted = None;
            self.released_counter = self.released_counter.max(ballot.counter);
        }
    }
}

/// Methods for the model checker.
#[cfg(test)]
impl Acceptor {
    /// Makes it vote at once, as if its grace period had passed.
    pub fn skip_grace_period(&mut self) {
        self.votes = true;
        self.next_check = None;
    }

    /// Whether a request with this ballot could change the acceptor's state, now or after a restart.
    pub fn may_accept(&self, lease: LeaseId, ballot: Ballot) -> bool {
        let slot = self.slots.get(&lease).copied().unwrap_or_default();
        slot.accepts(ballot, self.floor)
    }

    /// Whether the answer of another acceptor would change this one's state.
    pub fn floor_has_effect(&self, from: u32, counter: u64, votes: bool) -> bool {
        !self.votes && (counter > self.floor || self.peer_votes.get(&from) != Some(&votes))
    }

    /// Shifts all times; see [`super::LeaseNode::shift_times`].
    pub fn shift_times(&mut self, now: Timestamp, shifted: impl Fn(Timestamp) -> Timestamp) {
        self.grace_until = shifted(self.grace_until);
        self.next_check = (!self.votes).then_some(shifted(now));
        for slot in self.slots.values_mut() {
            slot.granted = slot.granted.filter(|grant| now < grant.until);
            slot.granted.iter_mut().for_each(|grant| grant.until = shifted(grant.until));
        }
    }
}
