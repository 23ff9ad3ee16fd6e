//! A simulated distribution domain in virtual time: replicas, relays and subscribers run the production state machine
//! on a network with injected faults, and the domain acts as the lease service. The [`Ledger`] checks every process
//! at every step: versions never decrease, only committed versions are installed, and a version always has the same
//! records.

mod links;
mod measure;
#[cfg(test)]
mod tests;

pub use measure::{Propagation, TrafficRate};

use crate::hollow::{HollowNode, elapsed};
use crate::ledger::{Ledger, topic_of};
use crate::network::{Link, Network};
use links::Links;
use mintgate::fleet::distribution::{
    Change, ChangeCheck, DistributionConfig, DistributionInput, Interest, Key, PublishError, Role, Topic,
    Value, Version, WorkerRecord,
};
use mintgate::fleet::lease::LeaseGrant;
use mintgate::fleet::{Process, message};
use mintgate::{Duration, Timestamp, ZoneId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// How often the lease is renewed or reassigned.
const LEASE_TICK: Duration = Duration(250_000_000);
/// Changes of the initial list that are published in one batch.
const INITIAL_BATCH_CHANGES: usize = 300;
/// How long publishing the initial list may take.
const LIST_TIMEOUT: Duration = Duration(300_000_000_000);
/// Name of the domain.
const DOMAIN_NAME: &str = "lab";

/// Sizes and properties of a domain.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Control processes that hold the replicated log.
    pub replicas: usize,
    /// Control processes that serve children.
    pub relays: usize,
    /// Schedulers.
    pub subscribers: usize,
    /// Regions; process `n` of a role is in region `n % regions`.
    pub regions: usize,
    /// Zones of the workers. Subscriber `n` subscribes to zone `n % zones` and the zones that follow it.
    pub zones: usize,
    /// Zones that a subscriber subscribes to.
    pub zones_per_subscriber: usize,
    /// Workers, distributed evenly over the zones.
    pub workers: usize,
    /// Classes.
    pub classes: usize,
    /// Links inside a region.
    pub link: Link,
    /// Links between regions.
    pub inter_region_link: Link,
    /// Bandwidth that a control process uses for catch-up.
    pub catch_up_bytes_per_second: u64,
    /// How long a lease lasts without renewal.
    pub term: Duration,
    /// Roles that accept every change unchecked.
    pub unchecked_roles: Vec<Role>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        let inter_region_link =
            Link { delay: Duration::millis(15), jitter: Duration::millis(5), ..Link::default() };
        Plan {
            replicas: 3,
            relays: 4,
            subscribers: 40,
            regions: 1,
            zones: 4,
            zones_per_subscriber: 1,
            workers: 200,
            classes: 3,
            link: Link::default(),
            inter_region_link,
            catch_up_bytes_per_second: 2_000_000,
            term: Duration::millis(2_000),
            unchecked_roles: vec![],
            seed: 1,
        }
    }
}

/// The content check of the simulated processes: a worker must have a weight, and a class must be a JSON object.
pub struct LabCheck {
    /// Accepts every change.
    pub accept_all: bool,
}

impl ChangeCheck for LabCheck {
    fn check(&self, changes: &[Change]) -> Result<(), String> {
        let invalid = |change: &&Change| match &change.value {
            Some(Value::Worker(worker)) => worker.weight_milli == 0,
            Some(Value::Class(text)) => !text.starts_with('{'),
            Some(Value::Complete) | None => false,
        };
        match changes.iter().find(invalid).filter(|_| !self.accept_all) {
            Some(change) => Err(format!("{:?} is invalid", change.key)),
            None => Ok(()),
        }
    }
}

/// The state of the publish lease at the lease service.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    automatic: bool,
    holder: Option<usize>,
    fence: u64,
    until: Timestamp,
}

/// A simulated domain.
pub struct Domain {
    plan: Plan,
    network: Network<HollowNode>,
    ledger: Rc<RefCell<Ledger>>,
    links: Rc<RefCell<Links>>,
    rng: SmallRng,
    lease: Lease,
    next_lease_tick: Timestamp,
    /// The last fence under which each replica held the lease since its start.
    fences: BTreeMap<usize, u64>,
    suspended: BTreeSet<SocketAddr>,
    starts: u64,
    tickets: u64,
    /// The content of the publisher's source.
    workers: BTreeMap<u64, WorkerRecord>,
    classes: BTreeMap<String, String>,
    modifications: u32,
    peaks: measure::Peaks,
}

/// The address of a process by its number: replicas come first, then relays, then subscribers.
fn address_of(number: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x7f00_0001 + number as u32), 9_300))
}

fn number_of(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => u32::from(*at.ip()).wrapping_sub(0x7f00_0001) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Domain {
    /// Creates a domain in which all processes have just started and nothing is published.
    pub fn new(plan: Plan) -> Domain {
        let links = Rc::new(RefCell::new(Links::new(plan.regions, plan.inter_region_link)));
        let mut network = Network::new(plan.seed, plan.link);
        let shared_links = links.clone();
        network.set_links(move |from, to| shared_links.borrow().link(from, to));
        let replicas: Vec<SocketAddr> = (0..plan.replicas).map(address_of).collect();
        let mut domain = Domain {
            ledger: Rc::new(RefCell::new(Ledger::new(&replicas))),
            links,
            rng: SmallRng::seed_from_u64(plan.seed ^ 0x646f_6d61_696e),
            lease: Lease { automatic: true, ..Lease::default() },
            next_lease_tick: network.now(),
            fences: BTreeMap::new(),
            suspended: BTreeSet::new(),
            starts: 0,
            tickets: 0,
            workers: (0..plan.workers as u64)
                .map(|worker| (worker, first_record(worker, plan.zones)))
                .collect(),
            classes: (0..plan.classes).map(|class| (format!("class-{class}"), "{}".to_owned())).collect(),
            modifications: 0,
            peaks: measure::Peaks::default(),
            network,
            plan,
        };
        for (role, index) in domain.all() {
            domain.start(role, index);
        }
        domain
    }

    /// Role and index of every process.
    pub fn all(&self) -> Vec<(Role, usize)> {
        let role_indices = |role, count| (0..count).map(move |index| (role, index));
        let plan = &self.plan;
        role_indices(Role::Replica, plan.replicas)
            .chain(role_indices(Role::Relay, plan.relays))
            .chain(role_indices(Role::Subscriber, plan.subscribers))
            .collect()
    }

    /// Role and index of every control process.
    pub fn control(&self) -> Vec<(Role, usize)> {
        self.all().into_iter().filter(|(role, _)| *role != Role::Subscriber).collect()
    }

    /// The plan that the domain was created with.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The current virtual time.
    pub fn now(&self) -> Timestamp {
        self.network.now()
    }

    /// The address of a process.
    pub fn address(&self, role: Role, index: usize) -> SocketAddr {
        address_of(match role {
            Role::Replica => index,
            Role::Relay => self.plan.replicas + index,
            Role::Subscriber => self.plan.replicas + self.plan.relays + index,
        })
    }

    /// A running process.
    pub fn process(&self, role: Role, index: usize) -> Option<&HollowNode> {
        self.network.process(self.address(role, index))
    }

    /// All running processes of a role.
    pub fn running(&self, role: Role) -> impl Iterator<Item = (SocketAddr, &HollowNode)> {
        self.network.processes().filter(move |(_, process)| process.role() == role)
    }

    /// The record of what was committed.
    pub fn ledger(&self) -> std::cell::Ref<'_, Ledger> {
        self.ledger.borrow()
    }

    /// Counts the traffic from one process to another from now on; see [`Ledger::link_traffic`].
    pub fn watch_link(&mut self, from: SocketAddr, to: SocketAddr) {
        self.ledger.borrow_mut().watch_link(from, to);
    }

    /// The topics that a subscriber subscribes to.
    pub fn interest(&self, index: usize) -> Interest {
        let zones = self.plan.zones;
        let mut topics: Vec<Topic> = (0..self.plan.zones_per_subscriber.min(zones))
            .map(|next| topic((index + next) % zones))
            .collect();
        topics.sort();
        Interest::Topics(topics)
    }

    fn parents(&self, role: Role) -> Vec<SocketAddr> {
        let replicas = (0..self.plan.replicas).map(|index| self.address(Role::Replica, index));
        let relays = (0..self.plan.relays).map(|index| self.address(Role::Relay, index));
        match role {
            Role::Subscriber if self.plan.relays >= 2 => relays.collect(),
            Role::Subscriber => relays.chain(replicas).collect(),
            Role::Relay | Role::Replica => replicas.collect(),
        }
    }

    /// Starts a process without state, replacing one that ran in its place.
    pub fn start(&mut self, role: Role, index: usize) {
        let at = self.address(role, index);
        self.starts += 1;
        let config = DistributionConfig {
            role,
            own_address: at,
            interest: if role == Role::Subscriber { self.interest(index) } else { Interest::All },
            parents: self.parents(role).into_iter().filter(|parent| *parent != at).collect(),
            replicas: (0..self.plan.replicas).map(address_of).collect(),
            catch_up_bytes_per_second: self.plan.catch_up_bytes_per_second,
            seed: self.rng.random(),
        };
        if role == Role::Replica && self.starts > self.plan.replicas as u64 {
            let mut ledger = self.ledger.borrow_mut();
            ledger.killed(at);
            ledger.started(at);
            self.fences.remove(&index);
        }
        self.suspended.remove(&at);
        let process = Process { index: number_of(at) as u32, incarnation: self.starts };
        let check = Box::new(LabCheck { accept_all: self.plan.unchecked_roles.contains(&role) });
        let fleet = message::fleet(DOMAIN_NAME, &[]);
        let node = HollowNode::new(self.now(), fleet, process, config, check, self.ledger.clone());
        self.network.start(at, node);
    }

    /// Kills a process. Its state is lost.
    pub fn kill(&mut self, role: Role, index: usize) {
        let at = self.address(role, index);
        self.suspended.remove(&at);
        if self.network.kill(at).is_some() && role == Role::Replica {
            self.ledger.borrow_mut().killed(at);
        }
    }

    /// Suspends a process as SIGSTOP does, or resumes it.
    pub fn set_suspended(&mut self, role: Role, index: usize, suspended: bool) {
        let at = self.address(role, index);
        if suspended {
            self.suspended.insert(at);
        } else {
            self.suspended.remove(&at);
        }
        self.network.set_suspended(at, suspended);
    }

    /// Partitions the network: processes reach only those on the same side. All unlisted processes reach each other.
    pub fn partition(&mut self, sides: &[Vec<(Role, usize)>]) {
        let mut side_of = BTreeMap::new();
        for (number, side) in sides.iter().enumerate() {
            side_of.extend(side.iter().map(|(role, index)| (self.address(*role, *index), number + 1)));
        }
        self.links.borrow_mut().sides = side_of.into_iter().collect();
    }

    /// Removes all partitions and link impairments.
    pub fn restore_links(&mut self) {
        let mut links = self.links.borrow_mut();
        *links = Links::new(links.regions, links.inter_region_link);
    }

    /// Sets one link, in one direction.
    pub fn set_link(&mut self, from: SocketAddr, to: SocketAddr, link: Link) {
        self.links.borrow_mut().pairs.insert((from, to), link);
    }

    /// Sets all links of a process, in both directions.
    pub fn set_links_of(&mut self, role: Role, index: usize, link: Link) {
        let at = self.address(role, index);
        self.links.borrow_mut().processes.insert(at, link);
    }

    /// Sets all links inside regions.
    pub fn set_all_links(&mut self, link: Link) {
        self.links.borrow_mut().all = Some(link);
    }

    /// Sets whether the domain manages the publish lease by itself, as it does initially. It then renews the lease of a
    /// holder that reaches a majority, and grants it to another replica once that lease has expired.
    pub fn set_lease_managed(&mut self, automatic: bool) {
        self.lease.automatic = automatic;
    }

    /// The replica that holds the publish lease according to the lease service.
    pub fn holder(&self) -> Option<usize> {
        self.lease.holder.filter(|_| self.now() < self.lease.until)
    }

    /// When the lease that was granted last expires, or expired.
    pub fn lease_until(&self) -> Timestamp {
        self.lease.until
    }

    /// The last fence that was granted.
    pub fn fence(&self) -> u64 {
        self.lease.fence
    }

    /// The last fence under which a replica held the lease since it started.
    pub fn fence_of(&self, index: usize) -> Option<u64> {
        self.fences.get(&index).copied()
    }

    /// Grants a replica the lease for `span`, under the next fence. The previous holder is not notified: a suspended or
    /// unreachable process keeps acting on its last notification.
    pub fn grant(&mut self, index: usize, span: Duration) -> u64 {
        self.lease.fence += 1;
        let until = self.now() + span;
        self.lease.holder = Some(index);
        self.lease.until = until;
        self.fences.insert(index, self.lease.fence);
        self.notify_lease(index, Some(LeaseGrant { fence: self.lease.fence, until }));
        self.lease.fence
    }

    /// Notifies a replica that it holds the lease, or that it doesn't, regardless of the lease service's state.
    pub fn notify_lease(&mut self, index: usize, grant: Option<LeaseGrant>) {
        let at = self.address(Role::Replica, index);
        self.network.with_process(at, |node, now| node.handle(now, DistributionInput::Lease(grant)));
    }

    fn is_running(&self, index: usize) -> bool {
        let at = self.address(Role::Replica, index);
        self.network.process(at).is_some() && !self.suspended.contains(&at)
    }

    fn reaches_majority(&self, index: usize) -> bool {
        let at = self.address(Role::Replica, index);
        let links = self.links.borrow();
        let reached = |other: &usize| {
            let other_at = address_of(*other);
            self.is_running(*other) && links.reaches(at, other_at) && links.reaches(other_at, at)
        };
        self.is_running(index) && 2 * (0..self.plan.replicas).filter(reached).count() > self.plan.replicas
    }

    fn tick_lease(&mut self) {
        let now = self.now();
        if !self.lease.automatic || now < self.next_lease_tick {
            return;
        }
        self.next_lease_tick = now + LEASE_TICK;
        let still_held = now < self.lease.until;
        if let Some(index) = self.lease.holder {
            // A restarted replica is another process and does not hold the lease of its predecessor.
            let is_same_process = self.fence_of(index) == Some(self.lease.fence);
            if still_held && is_same_process && self.reaches_majority(index) {
                self.lease.until = now + self.plan.term;
                let grant = LeaseGrant { fence: self.lease.fence, until: self.lease.until };
                return self.notify_lease(index, Some(grant));
            }
            if still_held {
                return;
            }
            if is_same_process && self.is_running(index) {
                self.notify_lease(index, None);
            }
        }
        let first = self.lease.holder.unwrap_or(0);
        let replicas = self.plan.replicas;
        let next = (0..replicas).map(|n| (first + n) % replicas).find(|index| self.reaches_majority(*index));
        self.lease.holder = None;
        if let Some(index) = next {
            self.grant(index, self.plan.term);
        }
    }

    /// Runs the domain for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        loop {
            self.tick_lease();
            let next_stop = if self.lease.automatic { self.next_lease_tick } else { end };
            let next = next_stop.min(self.peaks.due(self.now())).min(end);
            self.network.run_until(next);
            self.count_peaks();
            if next >= end {
                return;
            }
        }
    }

    /// Runs until the condition holds, checking it every `step`. Returns whether it held within the limit.
    pub fn run_until(&mut self, step: Duration, limit: Duration, holds: impl Fn(&Domain) -> bool) -> bool {
        let end = self.now() + limit;
        while !holds(self) {
            if self.now() >= end {
                return false;
            }
            self.run(step);
        }
        true
    }

    /// Submits changes to the replica that holds the lease. Returns the ticket for [`Domain::outcome`].
    pub fn publish(&mut self, changes: Vec<Change>) -> u64 {
        match self.holder() {
            Some(index) => self.publish_at(index, changes),
            None => {
                let ticket = self.record_request(changes);
                let now = self.now();
                self.ledger.borrow_mut().published(now, ticket, Err(PublishError::NotPublisher));
                ticket
            }
        }
    }

    /// Submits changes to this replica.
    pub fn publish_at(&mut self, index: usize, changes: Vec<Change>) -> u64 {
        let ticket = self.record_request(changes.clone());
        let at = self.address(Role::Replica, index);
        self.network
            .with_process(at, |node, now| node.handle(now, DistributionInput::Publish { ticket, changes }));
        ticket
    }

    fn record_request(&mut self, changes: Vec<Change>) -> u64 {
        self.tickets += 1;
        let now = self.now();
        self.ledger.borrow_mut().request(self.tickets, now, changes);
        self.tickets
    }

    /// The outcome of a publication, once it is known.
    pub fn outcome(&self, ticket: u64) -> Option<Result<Version, PublishError>> {
        let ledger = self.ledger.borrow();
        let (_, outcome) = ledger.publication(ticket)?.outcome.as_ref()?;
        Some(outcome.clone())
    }

    /// Publishes and runs until the outcome is known, for ten seconds at most.
    pub fn publish_now(&mut self, changes: Vec<Change>) -> Option<Result<Version, PublishError>> {
        let ticket = self.publish(changes);
        self.run_until(Duration::millis(1), Duration::millis(10_000), |domain| {
            domain.outcome(ticket).is_some()
        });
        self.outcome(ticket)
    }

    /// Publishes the content of the source, followed by the marker that it is complete.
    pub fn publish_all(&mut self) -> Result<Version, String> {
        let complete = Change { topic: Topic::SETTINGS, key: Key::Complete, value: Some(Value::Complete) };
        let classes = self.classes.iter().map(|(name, text)| class_change(name, Some(text.clone())));
        let workers = self.workers.iter().map(|(worker, record)| worker_change(*worker, *record));
        let all: Vec<Change> = classes.chain(workers).chain([complete]).collect();
        let end = self.now() + LIST_TIMEOUT;
        let mut last = Err("nothing to publish".to_owned());
        for chunk in all.chunks(INITIAL_BATCH_CHANGES) {
            loop {
                if self.now() >= end {
                    return Err(format!("not published within {} s: {last:?}", LIST_TIMEOUT.secs()));
                }
                match self.publish_now(chunk.to_vec()) {
                    Some(Ok(version)) => {
                        last = Ok(version);
                        break;
                    }
                    other => last = Err(format!("{other:?}")),
                }
                self.run(Duration::millis(100));
            }
        }
        last
    }

    /// Whether all running processes have installed the last committed version.
    pub fn all_have_head(&self) -> bool {
        let head = self.ledger.borrow().head();
        self.network.processes().all(|(_, process)| process.node().version() == head)
    }

    /// Runs until [`Domain::all_have_head`]. Returns whether that held within the limit.
    pub fn settle(&mut self, limit: Duration) -> bool {
        self.run_until(Duration::millis(100), limit, Domain::all_have_head)
    }

    /// Modifies `count` randomly chosen workers of the source and returns the changes.
    pub fn modify_workers(&mut self, count: usize) -> Vec<Change> {
        (0..count)
            .map(|_| {
                let worker = self.rng.random_range(0..self.plan.workers.max(1) as u64);
                self.modify_worker(worker)
            })
            .collect()
    }

    /// Modifies a worker of the source and returns the change.
    pub fn modify_worker(&mut self, worker: u64) -> Change {
        self.modifications += 1;
        let zones = self.plan.zones;
        let record = self.workers.entry(worker).or_insert_with(|| first_record(worker, zones));
        record.weight_milli = 1_000 + self.modifications;
        record.draining = !record.draining;
        worker_change(worker, *record)
    }

    /// Removes a worker from the source and returns the change.
    pub fn remove_worker(&mut self, worker: u64) -> Option<Change> {
        let record = self.workers.remove(&worker)?;
        Some(Change { topic: topic_of(&Value::Worker(record)), key: Key::Worker(worker), value: None })
    }

    /// Violations recorded so far, after comparing all records in force with the committed ones.
    pub fn audit(&mut self) -> Vec<String> {
        let mut ledger = self.ledger.borrow_mut();
        measure::compare_records(&self.network, &mut ledger);
        let lost = ledger.lost_changes();
        ledger.violations().iter().cloned().chain(lost).collect()
    }

    /// How long after `since` a version was installed at the running subscribers that match the filter.
    pub fn propagation(
        &self,
        since: Timestamp,
        version: Version,
        of: impl Fn(SocketAddr, &HollowNode) -> bool,
    ) -> Propagation {
        let some = self.running(Role::Subscriber).filter(|(at, node)| of(*at, node));
        let spans = some.map(|(_, node)| node.in_force(version).map(|at| elapsed(since, at)));
        Propagation::new(spans.collect())
    }

    /// How long after its submission a publication was installed at the running subscribers that are interested in it.
    pub fn propagation_of(&self, ticket: u64) -> Option<Propagation> {
        let ledger = self.ledger.borrow();
        let publication = ledger.publication(ticket)?;
        let (_, Ok(version)) = publication.outcome.as_ref()? else { return None };
        let topics: BTreeSet<Topic> = publication.changes.iter().map(|change| change.topic).collect();
        Some(self.propagation(publication.at, *version, |_, node| {
            topics.iter().any(|topic| node.interest().covers(*topic))
        }))
    }
}

/// The topic of the workers of a zone.
pub fn topic(zone: usize) -> Topic {
    Topic::workers_of(ZoneId(zone as u8))
}

fn first_record(worker: u64, zones: usize) -> WorkerRecord {
    let address = SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + worker as u32), 7_000));
    let zone = (worker % zones.max(1) as u64) as u8;
    WorkerRecord {
        address,
        zone,
        cell: (worker / 1_000) as u16,
        kind: 0,
        draining: false,
        weight_milli: 1_000,
        started_ms: 0,
    }
}

/// The change that sets a worker's record.
pub fn worker_change(worker: u64, record: WorkerRecord) -> Change {
    let value = Value::Worker(record);
    Change { topic: topic_of(&value), key: Key::Worker(worker), value: Some(value) }
}

/// The change that sets or removes a class.
pub fn class_change(name: &str, text: Option<String>) -> Change {
    Change { topic: Topic::SETTINGS, key: Key::Class(name.to_owned()), value: text.map(Value::Class) }
}
