//! The part of one process in all leases: its acceptor, if it has one, and a proposer for each lease.
//!
//! Messages between a process's own proposers and its own acceptor are handled here and never sent.

use super::acceptor::Acceptor;
use super::proposer::Proposer;
use super::{LeaseConfig, LeaseGrant, LeaseId, LeaseMessage};
use crate::fleet::Process;
use crate::interface::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// The receiver of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Destination {
    /// The process that has this index now.
    Acceptor(u32),
    /// This process, with this incarnation.
    Process(Process),
}

/// A lease message to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEnvelope {
    /// Its receiver.
    pub to: Destination,
    /// The lease that the message is about.
    pub lease: LeaseId,
    /// The message.
    pub message: LeaseMessage,
}

/// Messages to be sent, in order.
pub type LeaseOutput = Vec<LeaseEnvelope>;

/// The proposers and the acceptor of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseNode {
    process: Process,
    acceptor: Option<Acceptor>,
    proposers: BTreeMap<LeaseId, Proposer>,
    /// When to ask the other acceptors for their counters again; `None` once its own acceptor votes.
    ask_counters_at: Option<Timestamp>,
}

impl LeaseNode {
    /// A process that has just started. `fence_floor` is an upper bound of the fences in use; see [`Acceptor::new`].
    pub fn new(process: Process, now: Timestamp, fence_floor: u64, config: &LeaseConfig) -> LeaseNode {
        let is_acceptor = config.acceptors.contains(&process.index);
        let acceptor = is_acceptor.then(|| Acceptor::new(process.index, now, fence_floor, config));
        LeaseNode {
            process,
            acceptor,
            proposers: BTreeMap::new(),
            ask_counters_at: is_acceptor.then_some(now),
        }
    }

    /// This process.
    pub fn process(&self) -> Process {
        self.process
    }

    /// Its acceptor; `None` if it is not one of the configured acceptors.
    pub fn acceptor(&self) -> Option<&Acceptor> {
        self.acceptor.as_ref()
    }

    /// The grant of a lease, while this process holds it.
    pub fn holds(&self, now: Timestamp, lease: LeaseId) -> Option<LeaseGrant> {
        self.proposers.get(&lease)?.holds(now)
    }

    /// All leases that this process holds.
    pub fn held(&self, now: Timestamp) -> impl Iterator<Item = (LeaseId, LeaseGrant)> + '_ {
        self.proposers.iter().filter_map(move |(lease, proposer)| Some((*lease, proposer.holds(now)?)))
    }

    /// When [`LeaseNode::on_timeout`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let own =
            self.acceptor.as_ref().and_then(Acceptor::next_timeout).into_iter().chain(self.ask_counters_at);
        self.proposers.values().filter_map(Proposer::next_timeout).chain(own).min()
    }

    /// Sets this process's rank among the candidates for a lease; see [`Proposer::set_rank`].
    pub fn set_rank(&mut self, now: Timestamp, lease: LeaseId, rank: Option<u32>, config: &LeaseConfig) {
        let process = self.process;
        let proposer = self.proposers.entry(lease).or_insert_with(|| Proposer::new(process));
        proposer.set_rank(now, rank, config);
    }

    /// Releases a lease, if this process holds it.
    pub fn release(&mut self, now: Timestamp, lease: LeaseId, config: &LeaseConfig, out: &mut LeaseOutput) {
        let message = self.proposers.get_mut(&lease).and_then(Proposer::release);
        self.send_to_acceptors(now, lease, message, config, out);
    }

    /// The time of [`LeaseNode::next_timeout`] has been reached.
    pub fn on_timeout(&mut self, now: Timestamp, config: &LeaseConfig, out: &mut LeaseOutput) {
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.on_timeout(now, config);
            self.ask_counters_at = self.ask_counters_at.filter(|_| !acceptor.votes());
        }
        if self.ask_counters_at.is_some_and(|at| at <= now) {
            self.ask_counters_at = Some(now + Duration(config.grace_period.0.max(8) / 8));
            let others = config.acceptors.iter().filter(|index| **index != self.process.index);
            out.extend(others.map(|index| LeaseEnvelope {
                to: Destination::Acceptor(*index),
                lease: LeaseId(0),
                message: LeaseMessage::Ask,
            }));
        }
        let due = |proposer: &Proposer| proposer.next_timeout().is_some_and(|at| at <= now);
        let leases: Vec<LeaseId> =
            self.proposers.iter().filter(|(_, proposer)| due(proposer)).map(|(lease, _)| *lease).collect();
        for lease in leases {
            let message =
                self.proposers.get_mut(&lease).and_then(|proposer| proposer.on_timeout(now, config));
            self.send_to_acceptors(now, lease, message, config, out);
        }
    }

    /// Handles a message of another process.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: Process,
        lease: LeaseId,
        message: LeaseMessage,
        config: &LeaseConfig,
        out: &mut LeaseOutput,
    ) {
        match message {
            LeaseMessage::Promise(ballot)
            | LeaseMessage::Held(ballot, _)
            | LeaseMessage::Behind(ballot, _)
            | LeaseMessage::Granted(ballot, _) => {
                // The answer is meant for an earlier process with this index.
                if ballot.process != self.process {
                    return;
                }
                let proposer = self.proposers.get_mut(&lease);
                let message = proposer.and_then(|proposer| proposer.handle(now, from.index, message, config));
                self.send_to_acceptors(now, lease, message, config, out);
            }
            LeaseMessage::Free => {
                if let Some(proposer) = self.proposers.get_mut(&lease) {
                    proposer.on_released(now, config);
                }
            }
            _ => {
                let answer = self
                    .acceptor
                    .as_mut()
                    .and_then(|acceptor| acceptor.handle(now, from.index, lease, message, config));
                let to = Destination::Process(from);
                out.extend(answer.map(|message| LeaseEnvelope { to, lease, message }));
            }
        }
    }

    /// Sends a message to all acceptors. This process's own acceptor answers immediately, which may give rise to another
    /// message.
    fn send_to_acceptors(
        &mut self,
        now: Timestamp,
        lease: LeaseId,
        message: Option<LeaseMessage>,
        config: &LeaseConfig,
        out: &mut LeaseOutput,
    ) {
        let mut pending = VecDeque::from_iter(message);
        while let Some(message) = pending.pop_front() {
            for index in config.acceptors.iter().filter(|index| **index != self.process.index) {
                out.push(LeaseEnvelope { to: Destination::Acceptor(*index), lease, message });
            }
            let own = self.acceptor.as_mut();
            let answer =
                own.and_then(|acceptor| acceptor.handle(now, self.process.index, lease, message, config));
            let proposer = self.proposers.get_mut(&lease).zip(answer);
            pending.extend(
                proposer
                    .and_then(|(proposer, answer)| proposer.handle(now, self.process.index, answer, config)),
            );
        }
    }
}

/// Methods for the model checker.
#[cfg(test)]
impl LeaseNode {
    /// Makes the acceptor vote at once, as if its grace period had passed.
    pub fn skip_grace_period(&mut self) {
        self.ask_counters_at = None;
        self.acceptor.iter_mut().for_each(Acceptor::skip_grace_period);
    }

    /// The latest ballot counter and round number of this process's proposer.
    pub fn counters(&self, lease: LeaseId) -> (u64, u32) {
        self.proposers.get(&lease).map_or((0, 0), |proposer| (proposer.counter(), proposer.rounds()))
    }

    /// Whether a message could still change the state, now or later, as far as this process alone can determine.
    pub fn may_have_effect(
        &self,
        lease: LeaseId,
        from: Process,
        message: LeaseMessage,
        config: &LeaseConfig,
    ) -> bool {
        match message {
            LeaseMessage::Promise(ballot)
            | LeaseMessage::Held(ballot, _)
            | LeaseMessage::Behind(ballot, _)
            | LeaseMessage::Granted(ballot, _) => {
                ballot.process == self.process
                    && self.proposers[&lease].may_have_effect(from.index, message, config)
            }
            LeaseMessage::Prepare(ballot) | LeaseMessage::Propose(ballot, _) => {
                self.acceptor.as_ref().is_some_and(|acceptor| acceptor.may_accept(lease, ballot))
            }
            LeaseMessage::Release(_) | LeaseMessage::Ask => self.acceptor.is_some(),
            LeaseMessage::Free => false,
            LeaseMessage::Floor(counter, votes) => self
                .acceptor
                .as_ref()
                .is_some_and(|acceptor| acceptor.floor_has_effect(from.index, counter, votes)),
        }
    }

    /// Whether this process still waits for answers to this message of its own.
    pub fn awaits_answer_to(&self, lease: LeaseId, message: LeaseMessage) -> bool {
        self.proposers.get(&lease).is_some_and(|proposer| proposer.awaits_answer_to(message))
    }

    /// Shifts all times so that the present `now` becomes `to`. All times that have passed become `to`.
    pub fn shift_times(&mut self, now: Timestamp, to: Timestamp, config: &LeaseConfig) {
        let shifted = |at: Timestamp| to + (at - now);
        // The model lets it ask the other acceptors at any time.
        self.ask_counters_at = self.ask_counters_at.map(|_| to);
        self.acceptor.iter_mut().for_each(|acceptor| acceptor.shift_times(now, shifted));
        self.proposers.values_mut().for_each(|proposer| proposer.shift_times(now, to, config));
    }
}
