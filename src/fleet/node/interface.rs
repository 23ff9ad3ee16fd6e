//! Configuration, inputs and outputs of a [`super::FleetNode`].

use crate::fleet::Process;
use crate::fleet::gossip::{GossipTopic, GossipUpdate};
use crate::fleet::lease::{LeaseConfig, LeaseGrant};
use crate::fleet::message::DatagramError;
use crate::fleet::overload::{AdmissionLevel, Demand};
use crate::interface::{Duration, Task, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Configuration of one process of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This process.
    pub process: Process,
    /// Orders processes that share an index: the one with the higher generation is the member.
    pub generation: u64,
    /// The address on which this process receives datagrams.
    pub address: SocketAddr,
    /// Hash of the fleet's name and of the settings on which its processes must agree; see
    /// [`crate::fleet::message::fleet`].
    pub fleet_hash: u64,
    /// Addresses of the lease acceptors, by index (the operators' `electors`).
    pub acceptors: BTreeMap<u32, SocketAddr>,
    /// Processes that are reached at another address than the one they announce, by index.
    pub address_overrides: BTreeMap<u32, SocketAddr>,
    /// Terms and quorums of leases.
    pub lease: LeaseConfig,
    /// Longest transit time of a datagram on a healthy link.
    pub delay: Duration,
    /// Expected number of processes in the fleet.
    pub size: u32,
    /// Number of parts into which each partitioned task is divided.
    pub parts: u16,
    /// Latency objective of the fleet's load shedding; `None` if the fleet does not shed load together.
    pub shed_latency_objective: Option<Duration>,
    /// Whether this process is a candidate for the publish lease of its domain; see [`crate::fleet::distribution`].
    pub publishes: bool,
    /// Lower bound of new fences, for the case that a majority of the acceptors has lost its state at once.
    pub fence_floor: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// An input of a [`super::FleetNode`].
#[derive(Clone, Copy, Debug)]
pub enum FleetInput<'a> {
    /// A datagram and its source address. The time passed along must be read after the datagram was received.
    Datagram(&'a [u8], SocketAddr),
    /// The time of [`super::FleetNode::next_timeout`] has been reached.
    Timer,
    /// This process has made an observation that is to be gossiped.
    Observed(GossipTopic, GossipUpdate),
    /// Recent demand at this process; ignored unless the fleet sheds load together.
    Demand(Demand),
    /// Graceful shutdown: leases are released, and the other members are notified.
    Leave,
    /// Another process takes over this one's index: leases are released, and nothing is sent from now on.
    HandOver,
}

/// An action requested by a [`super::FleetNode`], or a change that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetOutput {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// The lease of a task's part is held under this grant, or is no longer held.
    LeaseChanged(Task, u16, Option<LeaseGrant>),
    /// An observation of another process, and the latest time at which it was made.
    Received(GossipTopic, GossipUpdate, Timestamp),
    /// The admission level of the fleet, and when it was computed.
    AdmissionLevel(AdmissionLevel, Timestamp),
    /// The process with this index has joined (`true`) or left (`false`).
    Member(u32, bool),
    /// The complete set of indices whose processes have been absent for so long that others take over their work.
    Gone(BTreeSet<u32>),
    /// Another process with this one's index is the member: this one has left the fleet.
    DuplicateIdentity,
    /// A datagram was dropped.
    Dropped(SocketAddr, DatagramError),
}
