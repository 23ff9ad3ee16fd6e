//! Tests of the distribution: single components, and nodes on a network in virtual time that exchange the actual
//! datagrams.

mod commit;
mod digest_forms;
mod guards;
mod log;
mod parents;
mod staging;
mod tree;
mod wire;

use super::*;
use crate::fleet::Process as ProcessId;
use crate::fleet::lease::LeaseGrant;
use crate::interface::{Duration, Timestamp, ZoneId};
use lab::network::{Link, Network, Outgoing, Process};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const FLEET_ID: u64 = 7;
const CATCH_UP_BYTES_PER_SECOND: u64 = 2_000_000;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n / 250) as u8, (n % 250) as u8 + 1], 9_300))
}

fn worker(id: u64, zone: u8, weight_milli: u32) -> Change {
    let record = WorkerRecord {
        address: SocketAddr::from(([10, zone, (id >> 8) as u8, id as u8], 7_000)),
        zone,
        cell: id as u16 % 64,
        kind: 1,
        draining: false,
        weight_milli,
        started_ms: 0,
    };
    Change {
        topic: Topic::workers_of(ZoneId(zone)),
        key: Key::Worker(id),
        value: Some(Value::Worker(record)),
    }
}

fn removal(id: u64, zone: u8) -> Change {
    Change { value: None, ..worker(id, zone, 0) }
}

fn class(name: &str, settings: &str) -> Change {
    Change {
        topic: Topic::SETTINGS,
        key: Key::Class(name.into()),
        value: Some(Value::Class(settings.into())),
    }
}

fn completion() -> Change {
    Change { topic: Topic::SETTINGS, key: Key::Complete, value: Some(Value::Complete) }
}

fn zone_interest(zones: &[u8]) -> Interest {
    Interest::Topics(zones.iter().map(|zone| Topic::workers_of(ZoneId(*zone))).collect())
}

/// Rejects changes that contain a class with these settings.
struct RejectsClass(&'static str);

impl ChangeCheck for RejectsClass {
    fn check(&self, changes: &[Change]) -> Result<(), String> {
        let bad = changes.iter().any(|change| change.value == Some(Value::Class(self.0.into())));
        if bad { Err(format!("{} is not allowed", self.0)) } else { Ok(()) }
    }
}

/// A node as a process of the simulated network, which sends and receives datagrams.
struct Host {
    node: DistributionNode,
    index: u32,
    /// All outputs except messages, with the time of each.
    outputs: Vec<(Timestamp, DistributionOutput)>,
}

impl Host {
    fn handle(&mut self, now: lab::network::Timestamp, event: DistributionInput) -> Outgoing {
        let now = Timestamp(now.0);
        let process = ProcessId { index: self.index, incarnation: 1 };
        let mut sent = vec![];
        for output in self.node.handle(now, event) {
            match output {
                DistributionOutput::Send(to, message) => {
                    let bytes = datagram(FLEET_ID, process, &[message]);
                    assert!(bytes.len() <= crate::fleet::message::LARGEST, "{}", bytes.len());
                    sent.push((to, bytes));
                }
                other => self.outputs.push((now, other)),
            }
        }
        sent
    }
}

impl Process for Host {
    fn next_timeout(&self) -> Option<lab::network::Timestamp> {
        self.node.next_timeout().map(|due| lab::network::Timestamp(due.0))
    }

    fn on_datagram(&mut self, now: lab::network::Timestamp, from: SocketAddr, bytes: &[u8]) -> Outgoing {
        let Ok((_, messages)) = read(FLEET_ID, bytes) else { return vec![] };
        self.handle(now, DistributionInput::Received { from, messages: &messages })
    }

    fn on_timer(&mut self, now: lab::network::Timestamp) -> Outgoing {
        self.handle(now, DistributionInput::Timer)
    }
}

/// A domain: replicas from address number 0 on, relays from 10 on, subscribers from 20 on.
struct Domain {
    net: Network<Host>,
    replicas: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    subscribers: Vec<SocketAddr>,
    interests: BTreeMap<SocketAddr, Interest>,
    fence: u64,
    ticket: u64,
    rate: u64,
}

impl Domain {
    fn new(seed: u64, replicas: usize, relays: usize, subscribers: Vec<Interest>) -> Domain {
        Domain::with_rate(seed, replicas, relays, subscribers, CATCH_UP_BYTES_PER_SECOND)
    }

    /// Creates a domain whose parents send catch-up pages at this rate, in bytes per second.
    fn with_rate(seed: u64, replicas: usize, relays: usize, subscribers: Vec<Interest>, rate: u64) -> Domain {
        let replicas: Vec<SocketAddr> = (0..replicas).map(address).collect();
        let relays: Vec<SocketAddr> = (0..relays).map(|n| address(10 + n)).collect();
        let interests: BTreeMap<SocketAddr, Interest> =
            subscribers.into_iter().enumerate().map(|(n, interest)| (address(20 + n), interest)).collect();
        let subscribers = interests.keys().copied().collect();
        let net = Network::new(seed, Link::default());
        let mut domain = Domain { net, replicas, relays, subscribers, interests, fence: 0, ticket: 0, rate };
        domain.all().into_iter().for_each(|at| domain.start(at));
        domain
    }

    fn all(&self) -> Vec<SocketAddr> {
        [&self.replicas[..], &self.relays, &self.subscribers].concat()
    }

    fn config(&self, at: SocketAddr) -> DistributionConfig {
        let (role, parents) = if self.replicas.contains(&at) {
            (Role::Replica, vec![])
        } else if self.relays.contains(&at) {
            (Role::Relay, self.replicas.clone())
        } else if self.relays.is_empty() {
            (Role::Subscriber, self.replicas.clone())
        } else {
            (Role::Subscriber, self.relays.clone())
        };
        DistributionConfig {
            role,
            own_address: at,
            interest: self.interests.get(&at).cloned().unwrap_or(Interest::All),
            parents,
            replicas: self.replicas.clone(),
            catch_up_bytes_per_second: self.rate,
            seed: 1,
        }
    }

    /// Starts a process without any state.
    fn start(&mut self, at: SocketAddr) {
        self.start_with(at, Box::new(RejectsClass("bad")));
    }

    fn start_with(&mut self, at: SocketAddr, check: Box<dyn ChangeCheck>) {
        let node = DistributionNode::new(Timestamp(self.net.now().0), self.config(at), check);
        let index = self.all().iter().position(|other| *other == at).unwrap() as u32;
        self.net.start(at, Host { node, index, outputs: vec![] });
    }

    fn run_ms(&mut self, ms: u64) {
        let end = self.net.now() + lab::network::Duration::millis(ms);
        self.net.run_until(end);
    }

    fn lease(&mut self, at: SocketAddr, grant: Option<LeaseGrant>) {
        self.net.with_process(at, |host, now| host.handle(now, DistributionInput::Lease(grant)));
    }

    /// Grants a replica the lease for this time, under a higher fence than all before.
    fn elect(&mut self, at: SocketAddr, ms: u64) -> u64 {
        self.fence += 10;
        let grant =
            LeaseGrant { fence: self.fence, until: Timestamp(self.net.now().0) + Duration::millis(ms) };
        self.lease(at, Some(grant));
        self.fence
    }

    fn publish(&mut self, at: SocketAddr, changes: Vec<Change>) -> u64 {
        self.ticket += 1;
        let ticket = self.ticket;
        self.net
            .with_process(at, |host, now| host.handle(now, DistributionInput::Publish { ticket, changes }));
        ticket
    }

    fn host(&self, at: SocketAddr) -> &Host {
        self.net.process(at).expect("the process is running")
    }

    fn version(&self, at: SocketAddr) -> Version {
        self.host(at).node.version()
    }

    fn status(&self, at: SocketAddr) -> DistributionStatus {
        self.host(at).node.status(Timestamp(self.net.now().0))
    }

    fn records(&self, at: SocketAddr) -> BTreeMap<Key, Value> {
        self.host(at).node.records().map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// The outcome of a ticket.
    fn outcome(&self, at: SocketAddr, ticket: u64) -> Option<Result<Version, PublishError>> {
        self.host(at).outputs.iter().find_map(|(_, output)| match output {
            DistributionOutput::Published { ticket: of, version } if *of == ticket => Some(Ok(*version)),
            DistributionOutput::NotPublished { ticket: of, why } if *of == ticket => Some(Err(why.clone())),
            _ => None,
        })
    }

    /// Asserts that all running processes have the publisher's version, and exactly its records of their interest.
    fn assert_converged(&self, publisher: SocketAddr) {
        let version = self.version(publisher);
        for at in self.all().into_iter().filter(|at| self.net.process(*at).is_some()) {
            assert_eq!(self.version(at), version, "{at}: {}", self.status(at));
            let interest = self.interests.get(&at).cloned().unwrap_or(Interest::All);
            let wanted: BTreeMap<Key, Value> = self
                .records(publisher)
                .into_iter()
                .filter(|(_, value)| match value {
                    Value::Worker(worker) => interest.covers(Topic::workers_of(ZoneId(worker.zone))),
                    _ => true,
                })
                .collect();
            assert_eq!(self.records(at), wanted, "{at}");
        }
    }

    /// Asserts that the reported changes, applied one after another, lead to the installed records.
    fn assert_outputs_match_records(&self, at: SocketAddr) {
        let mut replayed: BTreeMap<Key, Value> = BTreeMap::new();
        for (_, output) in &self.host(at).outputs {
            let DistributionOutput::Installed { changes, .. } = output else { continue };
            for change in changes {
                match &change.value {
                    Some(value) => drop(replayed.insert(change.key.clone(), value.clone())),
                    None => drop(replayed.remove(&change.key)),
                }
            }
        }
        assert_eq!(replayed, self.records(at), "{at}");
    }
}
