//! The proposer of PaxosLease: acquires a lease, renews it and releases it.

#[cfg(test)]
use super::DisabledGuard;
use super::{Ballot, LeaseConfig, LeaseGrant, LeaseMessage};
use crate::fleet::Process;
use crate::interface::{Duration, Timestamp};
use std::collections::BTreeSet;

/// Largest number of rounds of requests that await answers: a round trip may take longer than the interval between rounds.
const MAX_OPEN_ROUNDS: usize = 4;

/// One round of requests to all acceptors, and the acceptors that have granted it. A grant counts only for the round
/// that it answers: it shows that the acceptor's term began after that round was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u32,
    /// The time read before the first request of the round was sent.
    sent: Timestamp,
    granted: BTreeSet<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// No ballot is in progress.
    Idle,
    /// Collects promises for a ballot.
    Prepare { ballot: Ballot, promised: BTreeSet<u32> },
    /// Collects grants for a ballot that a majority has promised, in repeated rounds while the lease is held.
    Propose { ballot: Ballot, rounds: Vec<Round>, overtaken: bool },
}

/// The proposer of one process for one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    process: Process,
    phase: Phase,
    /// The highest counter known.
    counter: u64,
    grant: Option<LeaseGrant>,
    /// When to act next; `None` if this process is not a candidate and does not hold the lease.
    act_at: Option<Timestamp>,
    /// Its rank among the candidates: those with higher ranks wait longer. `None` if it is not a candidate.
    rank: Option<u32>,
    /// Number of successive failed attempts.
    failures: u32,
    round: u32,
}

impl Proposer {
    /// A proposer that is not a candidate yet.
    pub fn new(process: Process) -> Proposer {
        Proposer {
            process,
            phase: Phase::Idle,
            counter: 0,
            grant: None,
            act_at: None,
            rank: None,
            failures: 0,
            round: 0,
        }
    }

    /// The grant, while the lease is held.
    pub fn holds(&self, now: Timestamp) -> Option<LeaseGrant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// When [`Proposer::on_timeout`] is to be called: to act, or to note that the lease has expired.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.act_at.into_iter().chain(self.grant.map(|grant| grant.until)).min()
    }

    /// Sets its rank among the candidates, from 0; `None` if it is not a candidate. A holder keeps the lease until it is
    /// released.
    pub fn set_rank(&mut self, now: Timestamp, rank: Option<u32>, config: &LeaseConfig) {
        if self.rank == rank {
            return;
        }
        self.rank = rank;
        if self.grant.is_none() && self.phase == Phase::Idle {
            self.act_at = rank.map(|rank| now + Duration(config.backoff_step.0 * u64::from(rank)));
        }
    }

    /// The holder has released the lease: this candidate waits only as long as its rank requires, unless a ballot is in
    /// progress.
    pub fn on_released(&mut self, now: Timestamp, config: &LeaseConfig) {
        if self.grant.is_none() && self.phase == Phase::Idle {
            self.act_at = self.rank.map(|rank| now + Duration(config.backoff_step.0 * u64::from(rank)));
        }
    }

    /// Releases the lease, so that acceptors may grant it to others immediately. This process is not a candidate until
    /// [`Proposer::set_rank`] makes it one.
    pub fn release(&mut self) -> Option<LeaseMessage> {
        let held = self.grant.take();
        self.phase = Phase::Idle;
        self.act_at = None;
        self.rank = None;
        held.map(|_| LeaseMessage::Release(Ballot { counter: self.counter, process: self.process }))
    }

    /// The time of [`Proposer::next_timeout`] has been reached; the returned message is to be sent to all acceptors.
    pub fn on_timeout(&mut self, now: Timestamp, config: &LeaseConfig) -> Option<LeaseMessage> {
        if self.grant.is_some_and(|grant| grant.until <= now) {
            // The lease was not renewed in time: another process may hold it by now.
            self.grant = None;
            self.back_off(now, config);
        }
        if self.act_at.is_none_or(|at| at > now) {
            return None;
        }
        let held = self.grant.is_some();
        match &mut self.phase {
            Phase::Propose { ballot, rounds, overtaken: false } if held => {
                let ballot = *ballot;
                self.round += 1;
                rounds.push(Round { number: self.round, sent: now, granted: BTreeSet::new() });
                rounds.drain(..rounds.len().saturating_sub(MAX_OPEN_ROUNDS));
                self.act_at = Some(now + Duration(config.term.0 / 8));
                Some(LeaseMessage::Propose(ballot, self.round))
            }
            // Restarted acceptors accept only a higher ballot; the lease itself stays valid.
            Phase::Propose { .. } | Phase::Prepare { .. } if held => Some(self.prepare(now, config)),
            Phase::Idle => Some(self.prepare(now, config)),
            // The attempt has failed.
            Phase::Prepare { .. } | Phase::Propose { .. } => {
                self.failures += 1;
                self.back_off(now, config);
                None
            }
        }
    }

    fn prepare(&mut self, now: Timestamp, config: &LeaseConfig) -> LeaseMessage {
        self.counter += 1;
        let ballot = Ballot { counter: self.counter, process: self.process };
        self.phase = Phase::Prepare { ballot, promised: BTreeSet::new() };
        self.act_at = Some(now + Duration(config.backoff_step.0 * 2));
        LeaseMessage::Prepare(ballot)
    }

    fn back_off(&mut self, now: Timestamp, config: &LeaseConfig) {
        self.phase = Phase::Idle;
        self.act_at = self.rank.map(|_| now + self.backoff(config));
    }

    /// Backoff before the next attempt: longer after each failure, and different for each process.
    fn backoff(&self, config: &LeaseConfig) -> Duration {
        let spread = (self.process.incarnation ^ self.counter).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 61;
        let rank = u64::from(self.rank.unwrap_or(0));
        let failed = (config.backoff_step.0 << self.failures.min(3)) - config.backoff_step.0;
        Duration(failed + config.backoff_step.0 * spread / 8 + config.backoff_step.0 * rank)
    }

    /// Handles an acceptor's answer; the returned message is to be sent to all acceptors.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: u32,
        message: LeaseMessage,
        config: &LeaseConfig,
    ) -> Option<LeaseMessage> {
        if !config.acceptors.contains(&from) {
            return None;
        }
        match message {
            LeaseMessage::Promise(answered) => return self.promised(now, from, answered, config),
            LeaseMessage::Granted(answered, number) => self.granted(now, from, answered, number, config),
            LeaseMessage::Held(answered, remaining)
                if self.grant.is_none() && self.is_preparing(answered) =>
            {
                self.failures = 0;
                self.back_off(now, config);
                self.act_at = self.act_at.map(|at| at + Duration(remaining.min(config.term.0)));
            }
            LeaseMessage::Behind(answered, counter) => self.behind(now, answered, counter, config),
            _ => {}
        }
        None
    }

    /// An acceptor has promised: once a quorum has, the first round of requests for grants starts.
    fn promised(
        &mut self,
        now: Timestamp,
        from: u32,
        answered: Ballot,
        config: &LeaseConfig,
    ) -> Option<LeaseMessage> {
        let Phase::Prepare { ballot, promised } = &mut self.phase else { return None };
        if answered != *ballot || !promised.insert(from) || promised.len() < config.quorum {
            return None;
        }
        self.round += 1;
        let rounds = vec![Round { number: self.round, sent: now, granted: BTreeSet::new() }];
        self.phase = Phase::Propose { ballot: answered, rounds, overtaken: false };
        self.act_at = Some(now + Duration(config.backoff_step.0 * 2));
        Some(LeaseMessage::Propose(answered, self.round))
    }

    /// An acceptor has seen a higher counter: a holder needs a higher ballot for its next renewal, and an attempt to
    /// acquire the lease has failed.
    fn behind(&mut self, now: Timestamp, answered: Ballot, counter: u64, config: &LeaseConfig) {
        self.counter = self.counter.max(counter);
        let held = self.grant.is_some();
        match &mut self.phase {
            Phase::Propose { ballot, overtaken, .. } if *ballot == answered && held => *overtaken = true,
            Phase::Prepare { ballot, .. } | Phase::Propose { ballot, .. } if *ballot == answered && !held => {
                self.failures += 1;
                self.back_off(now, config);
            }
            _ => {}
        }
    }

    fn is_preparing(&self, answered: Ballot) -> bool {
        matches!(&self.phase, Phase::Prepare { ballot, .. } if *ballot == answered)
    }

    fn granted(&mut self, now: Timestamp, from: u32, answered: Ballot, number: u32, config: &LeaseConfig) {
        let Phase::Propose { ballot, rounds, .. } = &mut self.phase else { return };
        #[cfg(test)]
        let number = match (config.is_disabled(DisabledGuard::AnyRound), rounds.last()) {
            (true, Some(last)) => last.number,
            _ => number,
        };
        let Some(round) = rounds.iter_mut().find(|round| round.number == number) else { return };
        if answered != *ballot || !round.granted.insert(from) || round.granted.len() < config.quorum {
            return;
        }
        // A grant of an earlier round would expire sooner.
        let since = round.sent;
        rounds.retain(|round| round.number > number);
        #[cfg(test)]
        let since = if config.is_disabled(DisabledGuard::CountsFromAnswers) { now } else { since };
        let until = since + config.holder_term;
        let held = self.grant.filter(|grant| now < grant.until);
        if until <= now || held.is_some_and(|grant| until <= grant.until) {
            return;
        }
        self.failures = 0;
        self.grant = Some(LeaseGrant { fence: held.map_or(answered.counter, |grant| grant.fence), until });
        self.act_at = Some(since + Duration(config.term.0 / 3));
    }
}

/// Methods for the model checker.
#[cfg(test)]
impl Proposer {
    /// The highest ballot counter known.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Number of rounds of requests sent.
    pub fn rounds(&self) -> u32 {
        self.round
    }

    /// Shifts all times; see [`super::LeaseNode::shift_times`]. Drops rounds whose term has passed, and resets the
    /// backoff, whose length does not matter to safety.
    pub fn shift_times(&mut self, now: Timestamp, to: Timestamp, config: &LeaseConfig) {
        let shifted = |at: Timestamp| to + (at - now);
        self.failures = 0;
        self.act_at = self.act_at.map(|_| to);
        self.grant.iter_mut().for_each(|grant| grant.until = shifted(grant.until));
        if let Phase::Propose { rounds, .. } = &mut self.phase {
            rounds.retain(|round| now - round.sent < config.holder_term);
            rounds.iter_mut().for_each(|round| round.sent = to - (now - round.sent));
        }
    }

    /// Whether an acceptor's answer could still change the state: abandoned ballots and rounds are never resumed.
    pub fn may_have_effect(&self, from: u32, message: LeaseMessage, config: &LeaseConfig) -> bool {
        match (message, &self.phase) {
            (LeaseMessage::Promise(answered), Phase::Prepare { ballot, promised }) => {
                answered == *ballot && !promised.contains(&from)
            }
            (LeaseMessage::Granted(answered, number), Phase::Propose { ballot, rounds, .. }) => {
                let open = |round: &Round| round.number == number && !round.granted.contains(&from);
                answered == *ballot
                    && (rounds.iter().any(open) || config.is_disabled(DisabledGuard::AnyRound))
            }
            (LeaseMessage::Held(answered, _), Phase::Prepare { ballot, .. }) => answered == *ballot,
            (
                LeaseMessage::Behind(answered, counter),
                Phase::Prepare { ballot, .. } | Phase::Propose { ballot, .. },
            ) => answered == *ballot || counter > self.counter,
            (LeaseMessage::Behind(_, counter), Phase::Idle) => counter > self.counter,
            _ => false,
        }
    }

    /// Whether it waits for answers to this request of its own.
    pub fn awaits_answer_to(&self, message: LeaseMessage) -> bool {
        match (message, &self.phase) {
            (LeaseMessage::Prepare(answered), Phase::Prepare { ballot, .. }) => answered == *ballot,
            (LeaseMessage::Propose(answered, number), Phase::Propose { ballot, rounds, .. }) => {
                answered == *ballot && rounds.iter().any(|round| round.number == number)
            }
            _ => false,
        }
    }
}
