//! One process of the distribution, without sockets or a clock.

use super::child::Source;
use super::children::Children;
use super::follower::Follower;
use super::interface::{
    ChangeCheck, DistributionConfig, DistributionInput, DistributionOutput, PublishError, Role,
};
use super::log::Log;
use super::page_context::{PageContext, PageOutcome};
use super::publisher::{Publisher, PublisherAction};
use super::record::{Change, Key, Topic, Value, Version};
use super::status::{DistributionCounters, DistributionStatus};
use super::voter::{Voter, is_valid_batch};
use super::wire::{DistributionMessage, Interest, Page, Proposal};
use crate::interface::{DISCOVERY_HEARTBEAT_ALLOWANCE, Duration, Timestamp};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// One process of the distribution in any role. Its embedder passes in messages and the time, and performs the outputs.
pub struct DistributionNode {
    config: DistributionConfig,
    check: Box<dyn ChangeCheck>,
    log: Log,
    follower: Follower,
    children: Children,
    voter: Voter,
    publisher: Publisher,
    counters: DistributionCounters,
    /// When the publisher's own list was last confirmed to be complete; `None` if its source confirms nothing.
    source_confirmed_at: Option<Timestamp>,
}

impl DistributionNode {
    /// Creates a process that has just started.
    pub fn new(now: Timestamp, config: DistributionConfig, check: Box<dyn ChangeCheck>) -> DistributionNode {
        let DistributionConfig { role, own_address, ref interest, ref parents, ref replicas, seed, .. } =
            config;
        let interest = if role == Role::Subscriber { interest.clone().normalized() } else { Interest::All };
        let parents = if role == Role::Replica { vec![] } else { parents.clone() };
        DistributionNode {
            follower: Follower::new(now, interest, parents, own_address, seed),
            children: Children::new(now, config.catch_up_bytes_per_second),
            voter: Voter::default(),
            publisher: Publisher::new(own_address, replicas),
            log: Log::default(),
            counters: DistributionCounters::default(),
            source_confirmed_at: None,
            check,
            config,
        }
    }

    /// When [`DistributionInput::Timer`] must be passed in.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        [self.follower.next_timeout(), self.publisher.next_timeout(), self.children.next_timeout()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles an input. Returns what to do, in order.
    pub fn handle(&mut self, now: Timestamp, event: DistributionInput) -> Vec<DistributionOutput> {
        let mut out = vec![];
        match event {
            DistributionInput::Received { from, messages } if from != self.config.own_address => {
                messages.iter().for_each(|message| self.receive(now, from, message.clone(), &mut out));
            }
            DistributionInput::Received { .. } | DistributionInput::Timer => {}
            DistributionInput::Lease(grant) if self.config.role == Role::Replica => {
                let actions = self.publisher.set_grant(now, grant, &mut self.voter, &self.log);
                self.execute(now, actions, &mut out);
            }
            DistributionInput::Lease(_) => {}
            DistributionInput::Publish { ticket, changes } => self.publish(now, ticket, changes, &mut out),
        }
        self.on_timeout(now, &mut out);
        out
    }

    fn on_timeout(&mut self, now: Timestamp, out: &mut Vec<DistributionOutput>) {
        let is_due = |timeout: Option<Timestamp>| timeout.is_some_and(|at| at <= now);
        if is_due(self.publisher.next_timeout()) {
            let is_child = |at| self.children.contains(at);
            let actions = self.publisher.on_timeout(now, &mut self.voter, &self.log, is_child);
            self.execute(now, actions, out);
        }
        if self.publisher.serving_fence(now).is_some() {
            self.follower.mark_up_to_date(now - self.excess_source_age(now));
        }
        if is_due(self.follower.next_timeout()) {
            self.follower.on_timeout(now, &self.log, &mut self.counters, out);
        }
        if is_due(self.children.next_timeout()) {
            let (children, source, counters) = self.children_and_source(now);
            children.on_timeout(now, &source, counters, out);
        }
    }

    /// The children, the source that they are served from, and the counters.
    fn children_and_source(
        &mut self,
        now: Timestamp,
    ) -> (&mut Children, Source<'_>, &mut DistributionCounters) {
        let age_ms = self.age(now).map_or(Page::NEVER, |age| {
            u32::try_from(age.0.div_ceil(1_000_000)).unwrap_or(Page::NEVER).min(Page::NEVER - 1)
        });
        let publishes = self.publisher.serving_fence(now).unwrap_or(0);
        (&mut self.children, Source { log: &self.log, age_ms, publishes }, &mut self.counters)
    }

    /// Records that discovery confirmed the publisher's own list as complete at this time.
    pub fn confirm_source(&mut self, at: Timestamp) {
        self.source_confirmed_at = Some(at);
    }

    /// When the installed version was last known to be the newest of the domain.
    pub fn up_to_date_at(&self) -> Option<Timestamp> {
        self.follower.up_to_date_at()
    }

    /// By how much the publisher's own list is older than discovery's heartbeats allow. A publisher whose discovery is
    /// unreachable publishes nothing new, and its followers must be able to see that.
    fn excess_source_age(&self, now: Timestamp) -> Duration {
        let age = self.source_confirmed_at.map_or(Duration(0), |at| now - at);
        Duration(age.0.saturating_sub(DISCOVERY_HEARTBEAT_ALLOWANCE.0))
    }

    fn age(&self, now: Timestamp) -> Option<Duration> {
        match self.publisher.serving_fence(now) {
            Some(_) => Some(self.excess_source_age(now)),
            None => self.follower.up_to_date_at().map(|at| now - at),
        }
    }

    // ---- Messages

    fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: DistributionMessage,
        out: &mut Vec<DistributionOutput>,
    ) {
        let from_replica = self.config.replicas.contains(&from);
        let between_replicas = self.config.role == Role::Replica && from_replica;
        match message {
            DistributionMessage::Report(report) if self.config.role != Role::Subscriber => {
                let actions = self.publisher.handle_report(now, from, report.version).into_iter().collect();
                self.execute(now, actions, out);
                // Until a parent has the domain's complete first state, its children keep what they have.
                if self.log.is_complete() || from_replica {
                    let (children, source, counters) = self.children_and_source(now);
                    children.handle_report(now, from, report, &source, counters, out);
                }
            }
            DistributionMessage::Page(page) => self.handle_page(now, from, page, out),
            DistributionMessage::Prepare { fence } if between_replicas => {
                let answer = self.voter.prepare(fence, &self.log);
                out.push(DistributionOutput::Send(from, answer));
                self.follow_publisher(now, from, fence, out);
            }
            DistributionMessage::Accept { fence, proposal }
                if between_replicas && is_valid_batch(&proposal) && proposal.fence <= fence =>
            {
                if let Some(batch) = self.voter.take_implied_commit(fence, &proposal, &self.log) {
                    self.follower.discard_staged();
                    self.commit(now, batch, vec![], out);
                }
                let answer = self.voter.accept(fence, proposal, &self.log);
                out.push(DistributionOutput::Send(from, answer));
                self.follow_publisher(now, from, fence, out);
            }
            DistributionMessage::Promise { .. }
            | DistributionMessage::Accepted { .. }
            | DistributionMessage::Rejected { .. }
                if between_replicas =>
            {
                let actions = self.publisher.receive(now, from, message, &mut self.voter, &self.log);
                self.execute(now, actions, out);
            }
            _ => self.counters.odd += 1,
        }
    }

    /// Follows a replica that publishes under this fence, unless a higher one was promised.
    fn follow_publisher(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        fence: u64,
        out: &mut Vec<DistributionOutput>,
    ) {
        if fence < self.voter.promised() {
            return;
        }
        let actions = self.publisher.observe_fence(fence);
        self.execute(now, actions, out);
        if self.publisher.fence(now).is_none() {
            self.follower.follow(now, Some(from), out);
        }
    }

    fn handle_page(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        page: Page,
        out: &mut Vec<DistributionOutput>,
    ) {
        let (publishes, head) = (page.publishes, page.head);
        let check = (self.config.role == Role::Subscriber).then_some(&*self.check);
        let context = PageContext { log: &mut self.log, check, counters: &mut self.counters, out };
        let outcome = self.follower.receive(now, from, page, context);
        let followed = self.follower.parent() == Some(from);
        if followed && publishes > 0 && publishes >= self.voter.promised() && head == self.log.version() {
            self.voter.mark_recovered();
        }
        match outcome {
            PageOutcome::Nothing => return,
            PageOutcome::Changed(topics) => self.forward_changes(now, &topics, out),
            PageOutcome::Replaced => self.children.mark_all_unknown(),
        }
        self.voter.discard_superseded(&self.log);
        let actions = self.publisher.log_advanced(now, &mut self.voter, &self.log);
        self.execute(now, actions, out);
    }

    /// Forwards changes in these topics to the children.
    fn forward_changes(
        &mut self,
        now: Timestamp,
        topics: &BTreeSet<Topic>,
        out: &mut Vec<DistributionOutput>,
    ) {
        let complete = self.log.is_complete();
        let (children, source, counters) = self.children_and_source(now);
        if complete || children.len() > 0 {
            children.push_changes(now, topics, &source, counters, out);
        }
    }

    // ---- Publishing

    fn publish(
        &mut self,
        now: Timestamp,
        ticket: u64,
        changes: Vec<Change>,
        out: &mut Vec<DistributionOutput>,
    ) {
        let why = if self.publisher.fence(now).is_none() {
            Some(PublishError::NotPublisher)
        } else if let Err(why) = self.validate(&changes) {
            Some(PublishError::Invalid(why))
        } else if !self.publisher.has_room(changes.len()) {
            Some(PublishError::TooMany)
        } else {
            None
        };
        if let Some(why) = why {
            return out.push(DistributionOutput::NotPublished { ticket, why });
        }
        let actions = self.publisher.publish(now, ticket, changes, &mut self.voter, &self.log);
        self.execute(now, actions, out);
    }

    fn validate(&self, changes: &[Change]) -> Result<(), String> {
        if let Some(index) = changes.iter().position(|change| !change.is_well_formed()) {
            let key = &changes[index].key;
            return Err(format!("change {} of {} is malformed: {key:?}", index + 1, changes.len()));
        }
        self.check.check(changes)
    }

    fn execute(&mut self, now: Timestamp, actions: Vec<PublisherAction>, out: &mut Vec<DistributionOutput>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                PublisherAction::Send(to, message) => out.push(DistributionOutput::Send(to, message)),
                PublisherAction::Follow(parent) => self.follower.follow(now, parent, out),
                PublisherAction::Commit(proposal, tickets) => {
                    self.commit(now, proposal, tickets, out);
                    let mut next = vec![];
                    self.publisher.propose_next(now, &mut self.voter, &self.log, &mut next);
                    actions.extend(next);
                }
                PublisherAction::AlreadyCommitted(ticket) => {
                    out.push(DistributionOutput::Published { ticket, version: self.log.version() });
                }
                PublisherAction::DropTicket(ticket, proposed) => {
                    let why = if proposed { PublishError::Superseded } else { PublishError::NotPublisher };
                    out.push(DistributionOutput::NotPublished { ticket, why });
                }
            }
        }
    }

    fn commit(
        &mut self,
        now: Timestamp,
        proposal: Proposal,
        tickets: Vec<u64>,
        out: &mut Vec<DistributionOutput>,
    ) {
        if proposal.after != self.log.version() {
            return;
        }
        let topics = proposal.changes.iter().map(|change| change.topic).collect();
        let (changes, _) = self.log.net_changes(proposal.changes.clone());
        self.log.commit(proposal.fence, proposal.changes);
        self.voter.discard_superseded(&self.log);
        self.counters.installed += 1;
        if self.publisher.serving_fence(now).is_some() {
            self.counters.committed += 1;
            self.follower.mark_up_to_date(now);
        }
        let version = self.log.version();
        out.push(DistributionOutput::Installed { version, changes });
        out.extend(tickets.into_iter().map(|ticket| DistributionOutput::Published { ticket, version }));
        self.forward_changes(now, &topics, out);
    }

    // ---- Queries

    /// All installed records.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.log.records().map(|(_, key, value)| (key, value))
    }

    /// An installed record.
    pub fn record(&self, key: &Key) -> Option<&Value> {
        self.log.get(self.log.topic_of(key)?, key)
    }

    /// The fence under which this process publishes, while it is the publisher.
    pub fn publishing_fence(&self, now: Timestamp) -> Option<u64> {
        self.publisher.serving_fence(now)
    }

    /// The installed version.
    pub fn version(&self) -> Version {
        self.log.version()
    }

    /// The digest over all installed records.
    pub fn digest(&self) -> u64 {
        self.log.digest()
    }

    /// The status as shown to operators.
    pub fn status(&self, now: Timestamp) -> DistributionStatus {
        DistributionStatus {
            role: self.config.role,
            version: self.log.version(),
            records: self.log.len(),
            parent: self.follower.parent(),
            age: self.age(now),
            children: self.children.len(),
            behind: self.children.behind(),
            publisher: self.publisher.serving_fence(now),
            refused: self.follower.refused().cloned(),
            counters: self.counters,
        }
    }
}
