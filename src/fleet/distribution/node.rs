//! One process's part in the distribution, without sockets or a clock.

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
use super::voter::{Voter, is_batch};
use super::wire::{DistributionMessage, Interest, Page, Proposal};
use crate::interface::{DISCOVERY_HEARTBEAT_ALLOWANCE, Duration, Timestamp};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// See the module's page.
pub struct DistributionNode {
    config: DistributionConfig,
    check: Box<dyn ChangeCheck>,
    log: Log,
    follower: Follower,
    children: Children,
    voter: Voter,
    publisher: Publisher,
    counters: DistributionCounters,
    /// When the publisher's own list was last known to be complete; none where nothing tells.
    source_confirmed_at: Option<Timestamp>,
}

impl DistributionNode {
    /// A process that has just started.
    pub fn new(now: Timestamp, config: DistributionConfig, check: Box<dyn ChangeCheck>) -> DistributionNode {
        let DistributionConfig { role, own_address, ref interest, ref parents, ref replicas, seed, .. } =
            config;
        let interest = if role == Role::Subscriber { interest.clone().in_order() } else { Interest::All };
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

    /// When [`DistributionInput::Timer`] is to be given.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        [self.follower.next_timeout(), self.publisher.next_timeout(), self.children.next_timeout()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes in what has happened.
    pub fn handle(&mut self, now: Timestamp, event: DistributionInput) -> Vec<DistributionOutput> {
        let mut out = vec![];
        match event {
            DistributionInput::Received { from, messages } if from != self.config.own_address => {
                messages.iter().for_each(|message| self.receive(now, from, message.clone(), &mut out));
            }
            DistributionInput::Received { .. } | DistributionInput::Timer => {}
            DistributionInput::Lease(grant) if self.config.role == Role::Replica => {
                let actions = self.publisher.lease(now, grant, &mut self.voter, &self.log);
                self.carry_out(now, actions, &mut out);
            }
            DistributionInput::Lease(_) => {}
            DistributionInput::Publish { ticket, changes } => self.publish(now, ticket, changes, &mut out),
        }
        self.on_timeout(now, &mut out);
        out
    }

    fn on_timeout(&mut self, now: Timestamp, out: &mut Vec<DistributionOutput>) {
        let passed = |due: Option<Timestamp>| due.is_some_and(|due| due <= now);
        if passed(self.publisher.next_timeout()) {
            let follows = |at| self.children.contains(at);
            let actions = self.publisher.on_timeout(now, &mut self.voter, &self.log, follows);
            self.carry_out(now, actions, out);
        }
        if self.publisher.serves(now).is_some() {
            self.follower.refresh(now - self.source_age(now));
        }
        if passed(self.follower.next_timeout()) {
            self.follower.on_timeout(now, &self.log, &mut self.counters, out);
        }
        if passed(self.children.next_timeout()) {
            let (children, source, counters) = self.serving(now);
            children.on_timeout(now, &source, counters, out);
        }
    }

    /// The children, and what they are served from.
    fn serving(&mut self, now: Timestamp) -> (&mut Children, Source<'_>, &mut DistributionCounters) {
        let age_ms = self.age(now).map_or(Page::NEVER, |age| {
            u32::try_from(age.0.div_ceil(1_000_000)).unwrap_or(Page::NEVER).min(Page::NEVER - 1)
        });
        let publishes = self.publisher.serves(now).unwrap_or(0);
        (&mut self.children, Source { log: &self.log, age_ms, publishes }, &mut self.counters)
    }

    /// The publisher's own list was complete at that time, as its discovery said.
    pub fn confirm_source(&mut self, at: Timestamp) {
        self.source_confirmed_at = Some(at);
    }

    /// When the installed version was last known to be the domain's newest.
    pub fn up_to_date_at(&self) -> Option<Timestamp> {
        self.follower.up_to_date_at()
    }

    /// How much older than usual the publisher's own list is: a publisher whose discovery is out of reach publishes nothing
    /// new, and those who follow it are to know.
    fn source_age(&self, now: Timestamp) -> Duration {
        let age = self.source_confirmed_at.map_or(Duration(0), |at| now - at);
        Duration(age.0.saturating_sub(DISCOVERY_HEARTBEAT_ALLOWANCE.0))
    }

    fn age(&self, now: Timestamp) -> Option<Duration> {
        match self.publisher.serves(now) {
            Some(_) => Some(self.source_age(now)),
            None => self.follower.up_to_date_at().map(|at| now - at),
        }
    }

    // ---- What others say

    fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: DistributionMessage,
        out: &mut Vec<DistributionOutput>,
    ) {
        let from_replica = self.config.replicas.contains(&from);
        let votes = self.config.role == Role::Replica && from_replica;
        match message {
            DistributionMessage::Report(report) if self.config.role != Role::Subscriber => {
                let actions = self.publisher.reported(now, from, report.version).into_iter().collect();
                self.carry_out(now, actions, out);
                // Children keep what they have until a parent has all of the domain's first state.
                if self.log.is_complete() || from_replica {
                    let (children, source, counters) = self.serving(now);
                    children.report(now, from, report, &source, counters, out);
                }
            }
            DistributionMessage::Page(page) => self.page(now, from, page, out),
            DistributionMessage::Prepare { fence } if votes => {
                let answer = self.voter.prepare(fence, &self.log);
                out.push(DistributionOutput::Send(from, answer));
                self.received_from_publisher(now, from, fence, out);
            }
            DistributionMessage::Accept { fence, proposal }
                if votes && is_batch(&proposal) && proposal.fence <= fence =>
            {
                if let Some(batch) = self.voter.implied(fence, &proposal, &self.log) {
                    self.follower.overtaken();
                    self.commit(now, batch, vec![], out);
                }
                let answer = self.voter.accept(fence, proposal, &self.log);
                out.push(DistributionOutput::Send(from, answer));
                self.received_from_publisher(now, from, fence, out);
            }
            DistributionMessage::Promise { .. }
            | DistributionMessage::Accepted { .. }
            | DistributionMessage::Rejected { .. }
                if votes =>
            {
                let actions = self.publisher.receive(now, from, message, &mut self.voter, &self.log);
                self.carry_out(now, actions, out);
            }
            _ => self.counters.odd += 1,
        }
    }

    /// Another replica has said that it publishes: whoever has the highest fence is followed.
    fn received_from_publisher(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        fence: u64,
        out: &mut Vec<DistributionOutput>,
    ) {
        if fence < self.voter.promised() {
            return;
        }
        let actions = self.publisher.overtaken(fence);
        self.carry_out(now, actions, out);
        if self.publisher.fence(now).is_none() {
            self.follower.follow(now, Some(from), out);
        }
    }

    fn page(&mut self, now: Timestamp, from: SocketAddr, page: Page, out: &mut Vec<DistributionOutput>) {
        let (publishes, head) = (page.publishes, page.head);
        let check = (self.config.role == Role::Subscriber).then_some(&*self.check);
        let context = PageContext { log: &mut self.log, check, counters: &mut self.counters, out };
        let outcome = self.follower.receive(now, from, page, context);
        let followed = self.follower.parent() == Some(from);
        if followed && publishes > 0 && publishes >= self.voter.promised() && head == self.log.version() {
            self.voter.recover();
        }
        match outcome {
            PageOutcome::Nothing => return,
            PageOutcome::Changed(topics) => self.spread(now, &topics, out),
            PageOutcome::Replaced => self.children.reset(),
        }
        self.voter.committed(&self.log);
        let actions = self.publisher.moved(now, &mut self.voter, &self.log);
        self.carry_out(now, actions, out);
    }

    /// Sends changes of these topics on to children.
    fn spread(&mut self, now: Timestamp, topics: &BTreeSet<Topic>, out: &mut Vec<DistributionOutput>) {
        let complete = self.log.is_complete();
        let (children, source, counters) = self.serving(now);
        if complete || children.len() > 0 {
            children.changed(now, topics, &source, counters, out);
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
        } else if let Err(why) = self.judge(&changes) {
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
        self.carry_out(now, actions, out);
    }

    fn judge(&self, changes: &[Change]) -> Result<(), String> {
        if let Some(place) = changes.iter().position(|change| !change.is_well_formed()) {
            let key = &changes[place].key;
            return Err(format!("change {} of {} is malformed: {key:?}", place + 1, changes.len()));
        }
        self.check.check(changes)
    }

    fn carry_out(
        &mut self,
        now: Timestamp,
        actions: Vec<PublisherAction>,
        out: &mut Vec<DistributionOutput>,
    ) {
        let mut actions = VecDeque::from(actions);
        while let Some(want) = actions.pop_front() {
            match want {
                PublisherAction::Send(to, message) => out.push(DistributionOutput::Send(to, message)),
                PublisherAction::Follow(parent) => self.follower.follow(now, parent, out),
                PublisherAction::Commit(proposal, tickets) => {
                    self.commit(now, proposal, tickets, out);
                    let mut next = vec![];
                    self.publisher.next(now, &mut self.voter, &self.log, &mut next);
                    actions.extend(next);
                }
                PublisherAction::Stands(ticket) => {
                    out.push(DistributionOutput::Published { ticket, version: self.log.version() });
                }
                PublisherAction::Drop(ticket, begun) => {
                    let why = if begun { PublishError::Superseded } else { PublishError::NotPublisher };
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
        let (changes, _) = self.log.net(proposal.changes.clone());
        self.log.commit(proposal.fence, proposal.changes);
        self.voter.committed(&self.log);
        self.counters.installed += 1;
        if self.publisher.serves(now).is_some() {
            self.counters.committed += 1;
            self.follower.refresh(now);
        }
        let version = self.log.version();
        out.push(DistributionOutput::Installed { version, changes });
        out.extend(tickets.into_iter().map(|ticket| DistributionOutput::Published { ticket, version }));
        self.spread(now, &topics, out);
    }

    // ---- What is asked of it

    /// What is in force.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.log.records().map(|(_, key, value)| (key, value))
    }

    /// A record in force.
    pub fn record(&self, key: &Key) -> Option<&Value> {
        self.log.get(self.log.topic_of(key)?, key)
    }

    /// The fence under which it publishes, while it does.
    pub fn publishing_fence(&self, now: Timestamp) -> Option<u64> {
        self.publisher.serves(now)
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.log.version()
    }

    /// The digest over all records in force.
    pub fn digest(&self) -> u64 {
        self.log.digest()
    }

    /// What operators are shown.
    pub fn status(&self, now: Timestamp) -> DistributionStatus {
        DistributionStatus {
            role: self.config.role,
            version: self.log.version(),
            records: self.log.len(),
            parent: self.follower.parent(),
            age: self.age(now),
            children: self.children.len(),
            behind: self.children.behind(),
            publisher: self.publisher.serves(now),
            refused: self.follower.refused().cloned(),
            counters: self.counters,
        }
    }
}
