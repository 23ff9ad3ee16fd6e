//! One process of a fleet, without sockets and without a clock: combines membership, leases, gossip and load shedding.

mod absence;
mod held_leases;
mod interface;
mod lease_ids;
mod lease_preference;
mod outgoing;
mod status;

pub use interface::{FleetConfig, FleetInput, FleetOutput};
pub use outgoing::SentTotals;
pub use status::{FleetStatus, LeaseStatus, StandingGrant};

use super::gossip::{self, GossipEntry, GossipStore, GossipTopic, GossipUpdate};
use super::lease::{LeaseGrant, LeaseId, LeaseMessage, LeaseNode};
use super::membership::{Identity, Membership, MembershipChange, MembershipConfig};
use super::message::{self, Datagram, DatagramError};
use super::mix;
use super::overload::{AdmissionGate, Controller, Demand, OverloadController};
use crate::interface::{Duration, Task, Timestamp};
use absence::Absence;
use held_leases::HeldLeases;
use lease_ids::{lease_of, task_part_of};
use lease_preference::LeasePreference;
use outgoing::{GOSSIP_INTERVAL, Outgoing, Sender};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Largest number of members to which the controller itself sends each admission level, four times a second; in larger
/// fleets gossip spreads it.
const MAX_DIRECT_LEVEL_RECEIVERS: usize = 64;
/// Membership periods from the start until leases are ranked: by then the other members are known.
const PERIODS_BEFORE_RANKING: u64 = 2;

/// One process of a fleet: a state machine driven by inputs and the time.
pub struct FleetNode {
    config: FleetConfig,
    lease_node: LeaseNode,
    membership: Membership,
    gossip: GossipStore,
    controller: OverloadController,
    /// The admission level that is in force here.
    admission: AdmissionGate,
    rng: SmallRng,
    /// The leases last reported as held.
    held: HeldLeases,
    preference: LeasePreference,
    absence: Absence,
    next_gossip: Timestamp,
    /// Whether this process has left the fleet. From then on it handles and sends nothing.
    left: bool,
    sent: SentTotals,
}

impl FleetNode {
    /// A process that has just started.
    pub fn new(now: Timestamp, config: FleetConfig) -> FleetNode {
        let process = config.process;
        let reachable =
            |(index, at): (&u32, &SocketAddr)| (*index, *config.address_overrides.get(index).unwrap_or(at));
        let contacts = config.acceptors.iter().map(reachable).collect();
        let membership_config = MembershipConfig { delay: config.delay, size: config.size, contacts };
        let first_ranking_at = now + Duration(membership_config.period().0 * PERIODS_BEFORE_RANKING);
        let identity = Identity { process, generation: config.generation, turn: 0, at: config.address };
        FleetNode {
            lease_node: LeaseNode::new(process, now, config.fence_floor, &config.lease),
            membership: Membership::new(now, identity, mix(config.seed, 1), membership_config),
            gossip: GossipStore::default(),
            controller: OverloadController::default(),
            admission: AdmissionGate::default(),
            rng: SmallRng::seed_from_u64(mix(config.seed, 2)),
            held: HeldLeases::default(),
            preference: LeasePreference::new(first_ranking_at),
            absence: Absence::new(now, config.size, process.index, config.lease.term),
            next_gossip: now + GOSSIP_INTERVAL,
            left: false,
            sent: SentTotals::default(),
            config,
        }
    }

    /// When [`FleetInput::Timer`] is to be passed to [`FleetNode::handle`].
    pub fn next_timeout(&self) -> Option<Timestamp> {
        if self.left {
            return None;
        }
        let gossip_at = (!self.gossip.is_empty()).then_some(self.next_gossip);
        let timeouts = [
            self.lease_node.next_timeout(),
            self.membership.next_timeout(),
            self.preference.next_timeout(),
            gossip_at,
            self.absence.next_timeout(),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Handles an input and returns the resulting outputs, in order.
    pub fn handle(&mut self, now: Timestamp, input: FleetInput) -> Vec<FleetOutput> {
        let mut out = vec![];
        if self.left {
            return out;
        }
        let mut outgoing = Outgoing::default();
        match input {
            FleetInput::Datagram(bytes, from) => self.on_datagram(now, bytes, from, &mut outgoing, &mut out),
            FleetInput::Timer => {}
            FleetInput::Observed(topic, update) => self.gossip.observe(now, topic, update),
            FleetInput::Demand(demand) => self.on_demand(now, demand, &mut out),
            FleetInput::Leave => {
                self.release_all_leases(now, &mut outgoing.leases);
                self.membership.leave(now, &mut outgoing.membership);
                self.left = true;
            }
            FleetInput::HandOver => {
                self.release_all_leases(now, &mut outgoing.leases);
                self.left = true;
            }
        }
        if !self.left {
            self.on_timeout(now, &mut outgoing, &mut out);
        }
        self.report_lease_changes(now, &mut out);
        self.send_all(outgoing, &mut out);
        self.gossip_if_due(now, &mut out);
        out
    }

    fn on_timeout(&mut self, now: Timestamp, outgoing: &mut Outgoing, out: &mut Vec<FleetOutput>) {
        self.membership.on_timeout(now, &mut outgoing.membership);
        self.apply_membership_changes(now, outgoing, out);
        self.lease_node.on_timeout(now, &self.config.lease, &mut outgoing.leases);
        self.return_to_preferred(now, &mut outgoing.leases);
        if let Some(gone) = self.absence.on_timeout(now) {
            out.push(FleetOutput::Gone(gone));
        }
    }

    fn on_datagram(
        &mut self,
        now: Timestamp,
        bytes: &[u8],
        from: SocketAddr,
        outgoing: &mut Outgoing,
        out: &mut Vec<FleetOutput>,
    ) {
        let datagram = match message::read(self.config.fleet_hash, bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                out.push(FleetOutput::Dropped(from, error));
                return;
            }
        };
        let sender = Sender { process: datagram.from, address: from };
        outgoing.sender = Some(sender);
        if sender.process == self.config.process {
            return;
        }
        self.receive_lease_messages(now, sender, &datagram.leases, outgoing);
        self.receive_membership(now, sender, &datagram, outgoing, out);
        for entry in datagram.gossip {
            self.receive_gossip(now, from, entry, out);
        }
    }

    /// Handles lease messages. An acceptor's answers count only if they come from the address that the operator has
    /// configured for it.
    fn receive_lease_messages(
        &mut self,
        now: Timestamp,
        sender: Sender,
        messages: &[(LeaseId, LeaseMessage)],
        outgoing: &mut Outgoing,
    ) {
        let index = sender.process.index;
        let is_acceptor =
            self.config.acceptors.contains_key(&index) && self.address(index) == Some(sender.address);
        for (lease, message) in messages.iter().copied() {
            if task_part_of(lease).is_some() && (is_acceptor || !message.is_answer()) {
                let config = &self.config.lease;
                self.lease_node.handle(now, sender.process, lease, message, config, &mut outgoing.leases);
            }
        }
    }

    fn receive_membership(
        &mut self,
        now: Timestamp,
        sender: Sender,
        datagram: &Datagram,
        outgoing: &mut Outgoing,
        out: &mut Vec<FleetOutput>,
    ) {
        if let Some(query) = datagram.who {
            self.membership.handle_identity_query(now, sender.process, query, &mut outgoing.membership);
        }
        if datagram.swim.is_empty() {
            return;
        }
        if !self.membership.receive(now, &datagram.swim, &mut outgoing.membership) {
            out.push(FleetOutput::Dropped(sender.address, DatagramError::Malformed));
        }
        if let Some(answer) = self.membership.current_member_for(sender.process) {
            outgoing.membership.identity_queries.push((sender.process.index, answer));
        }
    }

    fn receive_gossip(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        entry: GossipEntry,
        out: &mut Vec<FleetOutput>,
    ) {
        if !entry.matches_topic() {
            out.push(FleetOutput::Dropped(from, DatagramError::Malformed));
            return;
        }
        let Some(at) = self.gossip.receive(now, entry, self.config.delay) else { return };
        match (entry.topic, entry.update) {
            (GossipTopic::Process(index), GossipUpdate::Demand(demand))
                if index != self.config.process.index =>
            {
                self.controller.receive(now, index, demand, at);
            }
            (GossipTopic::Fleet, GossipUpdate::AdmissionLevel(level))
                if self.config.shed_latency_objective.is_some() && self.admission.receive(level, at) =>
            {
                out.push(FleetOutput::AdmissionLevel(level, at));
            }
            (GossipTopic::Worker(_), _) => out.push(FleetOutput::Received(entry.topic, entry.update, at)),
            _ => {}
        }
    }

    /// Publishes this process's demand. The holder of [`Task::Shed`] computes the fleet's admission level from it.
    fn on_demand(&mut self, now: Timestamp, demand: Demand, out: &mut Vec<FleetOutput>) {
        let index = self.config.process.index;
        let Some(latency_objective) = self.config.shed_latency_objective else { return };
        self.gossip.observe(now, GossipTopic::Process(index), GossipUpdate::Demand(demand));
        self.controller.receive(now, index, demand, now);
        match self.lease_node.holds(now, lease_of(Task::Shed, 0)) {
            Some(grant) => self.update_admission_level(now, grant.fence, latency_objective, out),
            None => self.send_demand_to_controller(now, demand, out),
        }
    }

    fn send_demand_to_controller(&mut self, now: Timestamp, demand: Demand, out: &mut Vec<FleetOutput>) {
        let index = self.config.process.index;
        let controller = self.admission.level(now).map(|level| level.by).filter(|by| *by != index);
        let topic = GossipTopic::Process(index);
        let entry = GossipEntry { topic, update: GossipUpdate::Demand(demand), age_ms: 0 };
        self.send_directly(controller.into_iter().collect(), entry, out);
    }

    fn update_admission_level(
        &mut self,
        now: Timestamp,
        fence: u64,
        latency_objective: Duration,
        out: &mut Vec<FleetOutput>,
    ) {
        let controller = Controller { fence, index: self.config.process.index };
        let previous = self.admission.level(now);
        let level = self.controller.tick(now, controller, latency_objective, previous);
        self.admission.receive(level, now);
        self.gossip.observe(now, GossipTopic::Fleet, GossipUpdate::AdmissionLevel(level));
        out.push(FleetOutput::AdmissionLevel(level, now));
        let members: Vec<u32> = self.members().collect();
        if members.len() <= MAX_DIRECT_LEVEL_RECEIVERS {
            let update = GossipUpdate::AdmissionLevel(level);
            self.send_directly(members, GossipEntry { topic: GossipTopic::Fleet, update, age_ms: 0 }, out);
        }
    }

    fn apply_membership_changes(
        &mut self,
        now: Timestamp,
        outgoing: &mut Outgoing,
        out: &mut Vec<FleetOutput>,
    ) {
        for change in &outgoing.membership.changes {
            match change {
                MembershipChange::Up(member) => {
                    let index = member.process.index;
                    self.preference.member_up(now, index);
                    self.absence.member_up(index);
                    out.push(FleetOutput::Member(index, true));
                }
                MembershipChange::Down(member) => {
                    let index = member.process.index;
                    self.preference.member_down(now, index);
                    self.absence.member_down(now, index);
                    out.push(FleetOutput::Member(index, false));
                }
                MembershipChange::DuplicateIdentity => {
                    self.release_all_leases(now, &mut outgoing.leases);
                    self.left = true;
                    out.push(FleetOutput::DuplicateIdentity);
                }
            }
        }
        self.rank_leases_if_due(now, !outgoing.membership.changes.is_empty());
    }

    fn report_lease_changes(&mut self, now: Timestamp, out: &mut Vec<FleetOutput>) {
        let current: BTreeMap<LeaseId, LeaseGrant> = self.lease_node.held(now).collect();
        for change in self.held.update(now, current) {
            if let Some(task_part) = task_part_of(change.lease) {
                out.push(FleetOutput::LeaseChanged(task_part.task, task_part.part, change.grant));
            }
        }
    }

    /// The grant of the lease on a task's part, while this process holds it.
    pub fn holds(&self, now: Timestamp, task: Task, part: u16) -> Option<LeaseGrant> {
        self.lease_node.holds(now, lease_of(task, part)).filter(|_| !self.left)
    }

    /// Indices of the other members.
    pub fn members(&self) -> impl Iterator<Item = u32> + '_ {
        self.membership.members().keys().copied()
    }
}

const _: () = assert!(gossip::MAX_ENTRIES_PER_DATAGRAM * gossip::MAX_ENTRY_BYTES + 64 < message::LARGEST);
