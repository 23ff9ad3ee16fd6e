//! The publisher side of a replica. While it holds the publish lease, it learns what is committed, then has one batch
//! after another accepted by a majority of the replicas.
//!
//! The protocol is Paxos for one batch at a time, with the fence of the lease as ballot. Usually the lease alone
//! prevents two publishers; where it does not, the fence and the majority keep the log consistent.

use super::batch::Batch;
use super::log::Log;
use super::record::{Change, Version};
use super::voter::Voter;
use super::wire::{DistributionMessage, Proposal};
use crate::fleet::lease::LeaseGrant;
use crate::interface::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Unanswered requests are sent again after this interval.
const RETRY_INTERVAL: Duration = Duration::millis(250);
/// Time to wait for the promises of all replicas once a majority has lost its state: enough for a replica to start or
/// for a short link failure to pass. Where less than a majority has lost its state, the publisher waits, without a
/// limit, for a majority that has kept it or for all replicas, so that nothing that was acknowledged is lost while a
/// majority is alive.
const FULL_QUORUM_WAIT: Duration = Duration::millis(5_000);
/// A catch-up with another replica is restarted after this time, possibly with a different replica.
const CATCH_UP_TIMEOUT: Duration = Duration::millis(10_000);
/// Interval at which the publisher announces itself to replicas that are not its children.
const ANNOUNCE_INTERVAL: Duration = Duration::millis(500);
/// Maximum number of queued changes: twice the number of workers that a domain is designed for.
pub const MAX_QUEUED_CHANGES: usize = 100_000;
/// Maximum number of queued tickets, including those without changes.
const MAX_TICKETS: usize = 10_000;

/// A replica's promise.
#[derive(Clone, Debug)]
struct ReplicaPromise {
    version: Version,
    recovered: bool,
    accepted: Option<(u64, Proposal)>,
}

#[derive(Debug)]
enum Phase {
    /// The lease is not held, or a higher fence was seen.
    Inactive,
    /// Promises are being collected.
    Preparing { since: Timestamp, promises: BTreeMap<SocketAddr, ReplicaPromise> },
    /// Enough replicas have promised; the highest version among them is being fetched from its replica.
    CatchingUp { since: Timestamp, target: Version, accepted: Vec<(u64, Proposal)> },
    /// Batches are being proposed.
    Serving,
}

#[derive(Debug)]
struct Ticket {
    ticket: u64,
    changes: VecDeque<Change>,
    /// Whether any of its changes was proposed.
    proposed: bool,
}

#[derive(Debug)]
struct ProposalInProgress {
    proposal: Proposal,
    /// Replicas that accepted it, including this one.
    accepted: BTreeSet<SocketAddr>,
    /// Replicas that rejected it because they have not caught up yet.
    behind: BTreeSet<SocketAddr>,
    /// Tickets that are complete once the batch is committed.
    tickets: Vec<u64>,
}

/// An action requested by the publisher.
#[derive(Debug)]
pub enum PublisherAction {
    /// Send a message to a replica.
    Send(SocketAddr, DistributionMessage),
    /// Follow this replica to catch up with it, or stop following.
    Follow(Option<SocketAddr>),
    /// Commit a batch, which completes these tickets.
    Commit(Proposal, Vec<u64>),
    /// Report a ticket as published: all of its changes are committed already.
    AlreadyCommitted(u64),
    /// Report a ticket as dropped; the flag tells whether any of its changes was proposed.
    DropTicket(u64, bool),
}

/// The publisher side of a replica.
#[derive(Debug)]
pub struct Publisher {
    own_address: SocketAddr,
    /// The other replicas of the domain.
    replicas: Vec<SocketAddr>,
    grant: Option<LeaseGrant>,
    phase: Phase,
    queue: VecDeque<Ticket>,
    queued: usize,
    in_progress: Option<ProposalInProgress>,
    retry_at: Timestamp,
    announce_at: Timestamp,
}

impl Publisher {
    /// Creates the publisher of a replica that does not hold the lease.
    pub fn new(own_address: SocketAddr, replicas: &[SocketAddr]) -> Publisher {
        let others: BTreeSet<SocketAddr> = replicas.iter().copied().filter(|at| *at != own_address).collect();
        Publisher {
            own_address,
            replicas: others.into_iter().collect(),
            grant: None,
            phase: Phase::Inactive,
            queue: VecDeque::new(),
            queued: 0,
            in_progress: None,
            retry_at: Timestamp(0),
            announce_at: Timestamp(0),
        }
    }

    fn majority(&self) -> usize {
        self.replicas.len().div_ceil(2) + 1
    }

    /// The fence of the lease while it is held and no higher fence was seen.
    pub fn fence(&self, now: Timestamp) -> Option<u64> {
        let inactive = matches!(self.phase, Phase::Inactive);
        self.grant.filter(|grant| now < grant.until && !inactive).map(|grant| grant.fence)
    }

    /// The fence under which this replica publishes, once it has caught up.
    pub fn serving_fence(&self, now: Timestamp) -> Option<u64> {
        self.fence(now).filter(|_| matches!(self.phase, Phase::Serving))
    }

    /// When [`Publisher::on_timeout`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let until = self.grant?.until;
        let next = match self.phase {
            Phase::Inactive => until,
            Phase::Serving if self.in_progress.is_some() => self.retry_at.min(self.announce_at),
            Phase::Serving => self.announce_at,
            Phase::Preparing { .. } | Phase::CatchingUp { .. } => self.retry_at,
        };
        Some(next.min(until))
    }

    /// Handles a lease that was acquired, renewed or lost.
    pub fn set_grant(
        &mut self,
        now: Timestamp,
        grant: Option<LeaseGrant>,
        voter: &mut Voter,
        log: &Log,
    ) -> Vec<PublisherAction> {
        let mut actions = vec![];
        match (grant, self.grant) {
            (Some(new), Some(old)) if new.fence == old.fence => self.grant = Some(new),
            (Some(new), _) => {
                self.step_down(&mut actions);
                self.grant = Some(new);
                self.prepare(now, voter, log, &mut actions);
            }
            (None, _) => {
                self.step_down(&mut actions);
                self.grant = None;
            }
        }
        actions
    }

    /// Stops publishing and drops all tickets.
    fn step_down(&mut self, actions: &mut Vec<PublisherAction>) {
        if matches!(self.phase, Phase::CatchingUp { .. }) {
            actions.push(PublisherAction::Follow(None));
        }
        self.phase = Phase::Inactive;
        let in_progress = self.in_progress.take();
        actions.extend(
            in_progress
                .into_iter()
                .flat_map(|in_progress| in_progress.tickets)
                .map(|ticket| PublisherAction::DropTicket(ticket, true)),
        );
        actions.extend(
            self.queue.drain(..).map(|ticket| PublisherAction::DropTicket(ticket.ticket, ticket.proposed)),
        );
        self.queued = 0;
    }

    /// Handles a fence that was promised elsewhere: a publisher with a lower one is superseded.
    pub fn observe_fence(&mut self, promised: u64) -> Vec<PublisherAction> {
        let mut actions = vec![];
        let inactive = matches!(self.phase, Phase::Inactive);
        if !inactive && self.grant.is_some_and(|grant| grant.fence < promised) {
            self.step_down(&mut actions);
        }
        actions
    }

    fn prepare(&mut self, now: Timestamp, voter: &mut Voter, log: &Log, actions: &mut Vec<PublisherAction>) {
        let Some(grant) = self.grant.filter(|grant| now < grant.until) else { return };
        let mut promises = BTreeMap::new();
        let DistributionMessage::Promise { version, recovered, accepted, .. } =
            voter.prepare(grant.fence, log)
        else {
            self.phase = Phase::Inactive;
            return;
        };
        promises.insert(self.own_address, ReplicaPromise { version, recovered, accepted });
        self.phase = Phase::Preparing { since: now, promises };
        self.request_promises(now, actions);
        self.evaluate_promises(now, voter, log, actions);
    }

    /// Requests a promise from each replica that has not given one.
    fn request_promises(&mut self, now: Timestamp, actions: &mut Vec<PublisherAction>) {
        let (Phase::Preparing { promises, .. }, Some(grant)) = (&self.phase, self.grant) else { return };
        let missing = self.replicas.iter().filter(|at| !promises.contains_key(at));
        actions.extend(
            missing.map(|at| PublisherAction::Send(*at, DistributionMessage::Prepare { fence: grant.fence })),
        );
        self.retry_at = now + RETRY_INTERVAL;
    }

    /// Starts to catch up once enough replicas have promised.
    fn evaluate_promises(
        &mut self,
        now: Timestamp,
        voter: &mut Voter,
        log: &Log,
        actions: &mut Vec<PublisherAction>,
    ) {
        let majority = self.majority();
        let Phase::Preparing { since, promises } = &self.phase else { return };
        let recovered = promises.values().filter(|promised| promised.recovered).count();
        let all_promised = promises.len() > self.replicas.len();
        // Once a majority has lost its state, there is no majority with its state left to wait for.
        let wait_over = now - *since >= FULL_QUORUM_WAIT && promises.len() - recovered >= majority;
        if recovered < majority && !all_promised && !wait_over {
            return;
        }
        let Some((source, version)) =
            promises.iter().map(|(at, promised)| (*at, promised.version)).max_by_key(|(_, version)| *version)
        else {
            return;
        };
        let accepted = promises.values().filter_map(|promised| promised.accepted.clone()).collect();
        self.phase = Phase::CatchingUp { since: now, target: version, accepted };
        self.retry_at = now + RETRY_INTERVAL;
        if version > log.version() {
            actions.push(PublisherAction::Follow(Some(source)));
        }
        self.finish_catch_up(now, voter, log, actions);
    }

    /// Starts to publish once the log has the highest promised version. A batch that may have been committed is
    /// proposed first.
    fn finish_catch_up(
        &mut self,
        now: Timestamp,
        voter: &mut Voter,
        log: &Log,
        actions: &mut Vec<PublisherAction>,
    ) {
        let Phase::CatchingUp { target, accepted, .. } = &self.phase else { return };
        if log.version() < *target {
            return;
        }
        let candidates = accepted.iter().filter(|(_, proposal)| proposal.after == log.version());
        let unfinished = candidates.max_by_key(|(fence, _)| *fence).map(|(_, proposal)| proposal.clone());
        self.phase = Phase::Serving;
        self.announce_at = now;
        voter.mark_recovered();
        actions.push(PublisherAction::Follow(None));
        match unfinished {
            Some(proposal) => self.propose(now, proposal, vec![], voter, log, actions),
            None => self.propose_next(now, voter, log, actions),
        }
    }

    /// Continues after the log has advanced by pages of another replica.
    pub fn log_advanced(&mut self, now: Timestamp, voter: &mut Voter, log: &Log) -> Vec<PublisherAction> {
        let mut actions = vec![];
        self.finish_catch_up(now, voter, log, &mut actions);
        actions
    }

    fn propose(
        &mut self,
        now: Timestamp,
        proposal: Proposal,
        tickets: Vec<u64>,
        voter: &mut Voter,
        log: &Log,
        actions: &mut Vec<PublisherAction>,
    ) {
        let Some(fence) = self.fence(now) else { return };
        let accepted_here =
            matches!(voter.accept(fence, proposal.clone(), log), DistributionMessage::Accepted { .. });
        let accepted = accepted_here.then_some(self.own_address).into_iter().collect();
        self.in_progress = Some(ProposalInProgress { proposal, accepted, behind: BTreeSet::new(), tickets });
        self.send_proposal(now, actions);
        self.commit_if_accepted(now, actions);
    }

    /// Sends the proposed batch to the replicas that have not accepted it, while the lease is held.
    fn send_proposal(&mut self, now: Timestamp, actions: &mut Vec<PublisherAction>) {
        self.retry_at = now + RETRY_INTERVAL;
        let (Some(fence), Some(in_progress)) = (self.serving_fence(now), &self.in_progress) else { return };
        let missing = self.replicas.iter().filter(|at| !in_progress.accepted.contains(at));
        let accept = DistributionMessage::Accept { fence, proposal: in_progress.proposal.clone() };
        actions.extend(missing.map(|at| PublisherAction::Send(*at, accept.clone())));
    }

    /// Commits the proposed batch once a majority has accepted it.
    fn commit_if_accepted(&mut self, now: Timestamp, actions: &mut Vec<PublisherAction>) {
        let majority = self.majority();
        if self.serving_fence(now).is_none() {
            return;
        }
        if let Some(in_progress) =
            self.in_progress.take_if(|in_progress| in_progress.accepted.len() >= majority)
        {
            actions.push(PublisherAction::Commit(in_progress.proposal, in_progress.tickets));
        }
    }

    /// Proposes the next batch from the queue, unless a proposal is in progress.
    pub fn propose_next(
        &mut self,
        now: Timestamp,
        voter: &mut Voter,
        log: &Log,
        actions: &mut Vec<PublisherAction>,
    ) {
        let Some(fence) = self.serving_fence(now) else { return };
        if self.in_progress.is_some() || self.queue.is_empty() {
            return;
        }
        let (changes, tickets) = self.take_batch(log);
        if changes.is_empty() {
            actions.extend(tickets.into_iter().map(PublisherAction::AlreadyCommitted));
            return;
        }
        let proposal = Proposal { fence, after: log.version(), changes };
        self.propose(now, proposal, tickets, voter, log, actions);
    }

    /// Takes as many changes from the queue as fit into a batch, and skips those without effect.
    fn take_batch(&mut self, log: &Log) -> (Vec<Change>, Vec<u64>) {
        let mut batch = Batch::new(log);
        let mut tickets = vec![];
        while let Some(ticket) = self.queue.front_mut() {
            while let Some(change) = ticket.changes.front() {
                if !batch.add(change) {
                    return (batch.changes, tickets);
                }
                ticket.changes.pop_front();
                self.queued -= 1;
                ticket.proposed |= !batch.changes.is_empty();
            }
            tickets.extend(self.queue.pop_front().map(|ticket| ticket.ticket));
        }
        (batch.changes, tickets)
    }

    /// Whether this many more changes can be queued.
    pub fn has_room(&self, changes: usize) -> bool {
        self.queue.len() < MAX_TICKETS && self.queued + changes <= MAX_QUEUED_CHANGES
    }

    /// Queues changes that have passed the checks.
    pub fn publish(
        &mut self,
        now: Timestamp,
        ticket: u64,
        changes: Vec<Change>,
        voter: &mut Voter,
        log: &Log,
    ) -> Vec<PublisherAction> {
        let mut actions = vec![];
        self.queued += changes.len();
        self.queue.push_back(Ticket { ticket, changes: changes.into(), proposed: false });
        self.propose_next(now, voter, log, &mut actions);
        actions
    }

    /// Handles a message from another replica.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: DistributionMessage,
        voter: &mut Voter,
        log: &Log,
    ) -> Vec<PublisherAction> {
        let mut actions = vec![];
        let Some(held) = self.fence(now).filter(|_| self.replicas.contains(&from)) else { return actions };
        match message {
            DistributionMessage::Promise { fence, version, recovered, accepted } if fence == held => {
                if let Phase::Preparing { promises, .. } = &mut self.phase {
                    let accepted = accepted.filter(|(_, proposal)| super::voter::is_valid_batch(proposal));
                    promises.insert(from, ReplicaPromise { version, recovered, accepted });
                    self.evaluate_promises(now, voter, log, &mut actions);
                }
            }
            DistributionMessage::Accepted { fence, after } if fence == held => {
                if let Some(in_progress) =
                    self.in_progress.as_mut().filter(|batch| batch.proposal.after.sequence == after)
                {
                    in_progress.accepted.insert(from);
                    self.commit_if_accepted(now, &mut actions);
                }
            }
            DistributionMessage::Rejected { promised, .. } if promised > held => {
                actions = self.observe_fence(promised);
            }
            DistributionMessage::Rejected { .. } => {
                if let Some(in_progress) = &mut self.in_progress {
                    in_progress.behind.insert(from);
                }
            }
            _ => {}
        }
        actions
    }

    /// Handles the version that a replica has reported: one that has caught up since it rejected the proposed batch is
    /// sent it again.
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        version: Version,
    ) -> Option<PublisherAction> {
        let fence = self.serving_fence(now)?;
        let in_progress =
            self.in_progress.as_mut().filter(|in_progress| in_progress.proposal.after == version)?;
        let accept = DistributionMessage::Accept { fence, proposal: in_progress.proposal.clone() };
        in_progress.behind.remove(&from).then_some(PublisherAction::Send(from, accept))
    }

    /// Handles the timeout given by [`Publisher::next_timeout`]. `is_child` tells whether a replica follows this
    /// process.
    pub fn on_timeout(
        &mut self,
        now: Timestamp,
        voter: &mut Voter,
        log: &Log,
        is_child: impl Fn(SocketAddr) -> bool,
    ) -> Vec<PublisherAction> {
        let mut actions = vec![];
        let Some(grant) = self.grant else { return actions };
        if grant.until <= now {
            self.step_down(&mut actions);
            self.grant = None;
            return actions;
        }
        match &self.phase {
            Phase::Preparing { .. } if self.retry_at <= now => {
                self.request_promises(now, &mut actions);
                self.evaluate_promises(now, voter, log, &mut actions);
            }
            Phase::CatchingUp { since, .. } if self.retry_at <= now => {
                self.retry_at = now + RETRY_INTERVAL;
                if now - *since >= CATCH_UP_TIMEOUT {
                    actions.push(PublisherAction::Follow(None));
                    self.prepare(now, voter, log, &mut actions);
                }
            }
            Phase::Serving => {
                if self.in_progress.is_some() && self.retry_at <= now {
                    self.send_proposal(now, &mut actions);
                }
                if self.announce_at <= now {
                    self.announce_at = now + ANNOUNCE_INTERVAL;
                    let unconnected = self.replicas.iter().filter(|at| !is_child(**at));
                    let prepare = DistributionMessage::Prepare { fence: grant.fence };
                    actions.extend(unconnected.map(|at| PublisherAction::Send(*at, prepare.clone())));
                }
            }
            _ => {}
        }
        actions
    }
}
