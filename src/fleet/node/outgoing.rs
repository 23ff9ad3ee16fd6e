//! What a process sends: lease and membership messages, bundled into datagrams, and gossip.

use super::{FleetNode, FleetOutput};
use crate::fleet::Process;
use crate::fleet::gossip::GossipEntry;
use crate::fleet::lease::{Destination, LeaseEnvelope, LeaseId, LeaseMessage, LeaseOutput};
use crate::fleet::membership::{IdentityQuery, MembershipOutput};
use crate::fleet::message::{self, Datagram};
use crate::interface::{Duration, Timestamp};
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Interval between rounds of gossip.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::millis(250);
/// Number of members to which one round of gossip is sent.
const GOSSIP_FANOUT: u32 = 2;

/// Traffic sent since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTotals {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their bytes, without headers of IP and UDP.
    pub bytes: u64,
}

/// The sender of the datagram that is being handled. Answers go to this address.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender {
    pub process: Process,
    pub address: SocketAddr,
}

/// Messages that result from one input, not yet bundled into datagrams.
#[derive(Debug, Default)]
pub(super) struct Outgoing {
    pub leases: LeaseOutput,
    pub membership: MembershipOutput,
    pub sender: Option<Sender>,
}

impl FleetNode {
    /// The address of a process. An address that the operator has configured takes precedence over the announced one.
    pub(super) fn address(&self, index: u32) -> Option<SocketAddr> {
        let announced = || self.membership.members().get(&index).map(|identity| identity.at);
        self.configured_address(index).or_else(announced)
    }

    fn configured_address(&self, index: u32) -> Option<SocketAddr> {
        let overridden = self.config.address_overrides.get(&index);
        overridden.or_else(|| self.config.acceptors.get(&index)).copied()
    }

    /// Sends all messages; lease messages to one address share datagrams.
    pub(super) fn send_all(&mut self, outgoing: Outgoing, out: &mut Vec<FleetOutput>) {
        self.send_lease_messages(outgoing.leases, outgoing.sender, out);
        self.send_identity_queries(outgoing.membership.identity_queries, outgoing.sender, out);
        for (to, packet) in outgoing.membership.packets {
            let address = self.configured_address(to.process.index).unwrap_or(to.at);
            self.send_datagram(address, Datagram { swim: packet, ..self.empty_datagram() }, out);
        }
    }

    fn send_lease_messages(
        &mut self,
        messages: LeaseOutput,
        sender: Option<Sender>,
        out: &mut Vec<FleetOutput>,
    ) {
        let mut bundles: BTreeMap<SocketAddr, Vec<(LeaseId, LeaseMessage)>> = BTreeMap::new();
        for LeaseEnvelope { to, lease, message } in messages {
            let address = match to {
                Destination::Acceptor(index) => self.address(index),
                Destination::Process(process) => {
                    sender.filter(|sender| sender.process == process).map(|sender| sender.address)
                }
            };
            if let Some(address) = address {
                bundles.entry(address).or_default().push((lease, message));
            }
        }
        for (address, bundle) in bundles {
            for leases in bundle.chunks(message::LEASES) {
                let datagram = Datagram { leases: leases.to_vec(), ..self.empty_datagram() };
                self.send_datagram(address, datagram, out);
            }
        }
    }

    fn send_identity_queries(
        &mut self,
        queries: Vec<(u32, IdentityQuery)>,
        sender: Option<Sender>,
        out: &mut Vec<FleetOutput>,
    ) {
        for (index, query) in queries {
            let address = match query {
                IdentityQuery::Ask => self.address(index),
                IdentityQuery::Known(..) => {
                    sender.filter(|sender| sender.process.index == index).map(|sender| sender.address)
                }
            };
            if let Some(address) = address {
                self.send_datagram(address, Datagram { who: Some(query), ..self.empty_datagram() }, out);
            }
        }
    }

    /// Sends one gossip entry directly to these processes, without the delay of gossip rounds: a control loop that takes
    /// several rounds would overshoot.
    pub(super) fn send_directly(&mut self, to: Vec<u32>, entry: GossipEntry, out: &mut Vec<FleetOutput>) {
        let addresses: Vec<SocketAddr> = to.into_iter().filter_map(|index| self.address(index)).collect();
        for address in addresses {
            self.send_datagram(address, Datagram { gossip: vec![entry], ..self.empty_datagram() }, out);
        }
    }

    /// Sends one round of gossip, if it is due.
    pub(super) fn gossip_if_due(&mut self, now: Timestamp, out: &mut Vec<FleetOutput>) {
        if self.next_gossip > now || self.left {
            return;
        }
        self.next_gossip = now + GOSSIP_INTERVAL;
        let members: Vec<u32> = self.members().collect();
        if members.is_empty() {
            return;
        }
        let entries: Vec<GossipEntry> = self.gossip.entries_to_send(now, members.len(), GOSSIP_FANOUT);
        if entries.is_empty() {
            return;
        }
        let chosen: Vec<u32> = members.sample(&mut self.rng, GOSSIP_FANOUT as usize).copied().collect();
        for index in chosen {
            if let Some(address) = self.address(index) {
                let datagram = Datagram { gossip: entries.clone(), ..self.empty_datagram() };
                self.send_datagram(address, datagram, out);
            }
        }
    }

    fn empty_datagram(&self) -> Datagram {
        Datagram::empty(self.config.process)
    }

    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    fn send_datagram(&mut self, to: SocketAddr, datagram: Datagram, out: &mut Vec<FleetOutput>) {
        let bytes = message::write(self.config.fleet_hash, &datagram);
        self.sent.datagrams += 1;
        self.sent.bytes += bytes.len() as u64;
        out.push(FleetOutput::Send(to, bytes));
    }
}
