//! A whole distribution domain in virtual time: replicas, relays and subscribers run the shipped machine on a network
//! that fails as it is told to, and the domain plays the lease service. The [`Ledger`] holds every process at every step to
//! the rules: no version goes back, nothing is in force that was not committed, the same version is the same records.

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

/// How often the lease is renewed and looked after.
const LEASE_TICK: Duration = Duration(250_000_000);
/// Changes of the first list that are given to the publisher at a time.
const FILL_CHUNK: usize = 300;
/// The longest that the first list may take to be published.
const FILL_LIMIT: Duration = Duration(300_000_000_000);
/// Name of the domain.
const NAME: &str = "lab";

/// What a domain is like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Control processes that hold the log.
    pub replicas: usize,
    /// Control processes that serve children.
    pub relays: usize,
    /// Schedulers.
    pub subscribers: usize,
    /// Regions; process `n` of a role is in region `n % regions`.
    pub regions: usize,
    /// Zones of the workers; subscriber `n` wants the workers of zone `n % zones` and of the next ones.
    pub zones: usize,
    /// Zones that a subscriber wants.
    pub zones_per_subscriber: usize,
    /// Workers, spread evenly over the zones.
    pub workers: usize,
    /// Classes.
    pub classes: usize,
    /// Links inside a region.
    pub link: Link,
    /// Links between regions.
    pub inter_region_link: Link,
    /// What a control process spends on catch-ups.
    pub catch_up_bytes_per_second: u64,
    /// For how long a lease is held without being renewed.
    pub term: Duration,
    /// Roles whose check lets everything pass.
    pub unchecked_roles: Vec<Role>,
    /// Everything that is drawn comes from it.
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

/// The check of the lab's processes: a worker has a weight, and a class is a JSON object.
pub struct LabCheck {
    /// Everything passes.
    pub accept_all: bool,
}

impl ChangeCheck for LabCheck {
    fn check(&self, changes: &[Change]) -> Result<(), String> {
        let bad = |change: &&Change| match &change.value {
            Some(Value::Worker(worker)) => worker.weight_milli == 0,
            Some(Value::Class(text)) => !text.starts_with('{'),
            Some(Value::Complete) | None => false,
        };
        match changes.iter().find(bad).filter(|_| !self.accept_all) {
            Some(change) => Err(format!("{:?} has no meaning", change.key)),
            None => Ok(()),
        }
    }
}

/// Who publishes, as the domain's lease service has it.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    automatic: bool,
    holder: Option<usize>,
    fence: u64,
    until: Timestamp,
}

/// See the module's page.
pub struct Domain {
    plan: Plan,
    network: Network<HollowNode>,
    ledger: Rc<RefCell<Ledger>>,
    links: Rc<RefCell<Links>>,
    rng: SmallRng,
    lease: Lease,
    next_tick: Timestamp,
    /// The last fence that each replica held since it started.
    fences: BTreeMap<usize, u64>,
    stopped: BTreeSet<SocketAddr>,
    starts: u64,
    tickets: u64,
    /// What the publisher's source holds.
    workers: BTreeMap<u64, WorkerRecord>,
    classes: BTreeMap<String, String>,
    touched: u32,
    peaks: measure::Peaks,
}

/// The number of a process of any role: replicas come first, then relays, then subscribers.
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
    /// A domain whose processes have all just started, with nothing published.
    pub fn new(plan: Plan) -> Domain {
        let links = Rc::new(RefCell::new(Links::new(plan.regions, plan.inter_region_link)));
        let mut network = Network::new(plan.seed, plan.link);
        let table = links.clone();
        network.set_links(move |from, to| table.borrow().link(from, to));
        let replicas: Vec<SocketAddr> = (0..plan.replicas).map(address_of).collect();
        let mut domain = Domain {
            ledger: Rc::new(RefCell::new(Ledger::new(&replicas))),
            links,
            rng: SmallRng::seed_from_u64(plan.seed ^ 0x646f_6d61_696e),
            lease: Lease { automatic: true, ..Lease::default() },
            next_tick: network.now(),
            fences: BTreeMap::new(),
            stopped: BTreeSet::new(),
            starts: 0,
            tickets: 0,
            workers: (0..plan.workers as u64)
                .map(|worker| (worker, first_record(worker, plan.zones)))
                .collect(),
            classes: (0..plan.classes).map(|class| (format!("class-{class}"), "{}".to_owned())).collect(),
            touched: 0,
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
        let each = |role, count| (0..count).map(move |index| (role, index));
        let plan = &self.plan;
        each(Role::Replica, plan.replicas)
            .chain(each(Role::Relay, plan.relays))
            .chain(each(Role::Subscriber, plan.subscribers))
            .collect()
    }

    /// Role and index of every control process.
    pub fn control(&self) -> Vec<(Role, usize)> {
        self.all().into_iter().filter(|(role, _)| *role != Role::Subscriber).collect()
    }

    /// What the domain is like.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.network.now()
    }

    /// Where a process listens.
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

    /// What was committed.
    pub fn ledger(&self) -> std::cell::Ref<'_, Ledger> {
        self.ledger.borrow()
    }

    /// Counts what goes from one process to another from now on; see [`Ledger::link_traffic`].
    pub fn watch_link(&mut self, from: SocketAddr, to: SocketAddr) {
        self.ledger.borrow_mut().watch_link(from, to);
    }

    /// The topics that a subscriber wants.
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

    /// Starts a process with nothing; one that ran in its place is gone.
    pub fn start(&mut self, role: Role, index: usize) {
        let at = self.address(role, index);
        self.starts += 1;
        let setting = DistributionConfig {
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
        self.stopped.remove(&at);
        let process = Process { index: number_of(at) as u32, incarnation: self.starts };
        let check = Box::new(LabCheck { accept_all: self.plan.unchecked_roles.contains(&role) });
        let fleet = message::fleet(NAME, &[]);
        let node = HollowNode::new(self.now(), fleet, process, setting, check, self.ledger.clone());
        self.network.start(at, node);
    }

    /// Kills a process; what it knew is lost.
    pub fn kill(&mut self, role: Role, index: usize) {
        let at = self.address(role, index);
        self.stopped.remove(&at);
        if self.network.kill(at).is_some() && role == Role::Replica {
            self.ledger.borrow_mut().killed(at);
        }
    }

    /// Stops a process as SIGSTOP does, or continues it.
    pub fn set_suspended(&mut self, role: Role, index: usize, stopped: bool) {
        let at = self.address(role, index);
        if stopped {
            self.stopped.insert(at);
        } else {
            self.stopped.remove(&at);
        }
        self.network.set_suspended(at, stopped);
    }

    /// From now on processes reach only those that are named together with them; all that are not named reach each other.
    pub fn partition(&mut self, sides: &[Vec<(Role, usize)>]) {
        let mut table = BTreeMap::new();
        for (number, side) in sides.iter().enumerate() {
            table.extend(side.iter().map(|(role, index)| (self.address(*role, *index), number + 1)));
        }
        self.links.borrow_mut().sides = table.into_iter().collect();
    }

    /// All processes reach each other again, and no link is ill.
    pub fn restore_links(&mut self) {
        let mut links = self.links.borrow_mut();
        *links = Links::new(links.regions, links.inter_region_link);
    }

    /// One link from now on, in one direction.
    pub fn set_link(&mut self, from: SocketAddr, to: SocketAddr, link: Link) {
        self.links.borrow_mut().pairs.insert((from, to), link);
    }

    /// All links of a process from now on, in both directions.
    pub fn set_links_of(&mut self, role: Role, index: usize, link: Link) {
        let at = self.address(role, index);
        self.links.borrow_mut().processes.insert(at, link);
    }

    /// All links inside regions from now on.
    pub fn set_all_links(&mut self, link: Link) {
        self.links.borrow_mut().all = Some(link);
    }

    /// Whether the domain looks after the publish lease by itself, as it does at first: one holder, which can reach a
    /// majority, and another a term after that ended.
    pub fn set_lease_managed(&mut self, automatic: bool) {
        self.lease.automatic = automatic;
    }

    /// The replica that holds the publish lease, as the lease service has it.
    pub fn holder(&self) -> Option<usize> {
        self.lease.holder.filter(|_| self.now() < self.lease.until)
    }

    /// When the lease that was given out last ends, or ended.
    pub fn lease_until(&self) -> Timestamp {
        self.lease.until
    }

    /// The last fence that was given out.
    pub fn fence(&self) -> u64 {
        self.lease.fence
    }

    /// The last fence under which a replica held the lease since it started.
    pub fn fence_of(&self, index: usize) -> Option<u64> {
        self.fences.get(&index).copied()
    }

    /// Gives a replica the lease for so long, under the next fence. Whoever held it before isn't told: a process that is
    /// stopped or that the lease service can't reach goes on believing what it was told last.
    pub fn grant(&mut self, index: usize, span: Duration) -> u64 {
        self.lease.fence += 1;
        let until = self.now() + span;
        self.lease.holder = Some(index);
        self.lease.until = until;
        self.fences.insert(index, self.lease.fence);
        self.notify_lease(index, Some(LeaseGrant { fence: self.lease.fence, until }));
        self.lease.fence
    }

    /// Has a replica believe that it holds the lease, or that it doesn't, whatever the lease service has.
    pub fn notify_lease(&mut self, index: usize, grant: Option<LeaseGrant>) {
        let at = self.address(Role::Replica, index);
        self.network.with_process(at, |node, now| node.handle(now, DistributionInput::Lease(grant)));
    }

    fn up(&self, index: usize) -> bool {
        let at = self.address(Role::Replica, index);
        self.network.process(at).is_some() && !self.stopped.contains(&at)
    }

    fn reaches_majority(&self, index: usize) -> bool {
        let at = self.address(Role::Replica, index);
        let links = self.links.borrow();
        let reached = |other: &usize| {
            let other_at = address_of(*other);
            self.up(*other) && links.reaches(at, other_at) && links.reaches(other_at, at)
        };
        self.up(index) && 2 * (0..self.plan.replicas).filter(reached).count() > self.plan.replicas
    }

    fn tick_lease(&mut self) {
        let now = self.now();
        if !self.lease.automatic || now < self.next_tick {
            return;
        }
        self.next_tick = now + LEASE_TICK;
        let held = now < self.lease.until;
        if let Some(index) = self.lease.holder {
            // One that started again is another process: it does not hold what the one before it held.
            let same = self.fence_of(index) == Some(self.lease.fence);
            if held && same && self.reaches_majority(index) {
                self.lease.until = now + self.plan.term;
                let grant = LeaseGrant { fence: self.lease.fence, until: self.lease.until };
                return self.notify_lease(index, Some(grant));
            }
            if held {
                return;
            }
            if same && self.up(index) {
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

    /// Plays for so long.
    pub fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        loop {
            self.tick_lease();
            let tick = if self.lease.automatic { self.next_tick } else { end };
            let next = tick.min(self.peaks.due(self.now())).min(end);
            self.network.run_until(next);
            self.count_peaks();
            if next >= end {
                return;
            }
        }
    }

    /// Plays until this holds, looking every `step`; says whether it came to hold within the limit.
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

    /// Gives changes to the replica that holds the lease; the ticket under which [`Domain::outcome`] tells what came of it.
    pub fn publish(&mut self, changes: Vec<Change>) -> u64 {
        match self.holder() {
            Some(index) => self.publish_at(index, changes),
            None => {
                let ticket = self.ask(changes);
                let now = self.now();
                self.ledger.borrow_mut().published(now, ticket, Err(PublishError::NotPublisher));
                ticket
            }
        }
    }

    /// Gives changes to this replica.
    pub fn publish_at(&mut self, index: usize, changes: Vec<Change>) -> u64 {
        let ticket = self.ask(changes.clone());
        let at = self.address(Role::Replica, index);
        self.network
            .with_process(at, |node, now| node.handle(now, DistributionInput::Publish { ticket, changes }));
        ticket
    }

    fn ask(&mut self, changes: Vec<Change>) -> u64 {
        self.tickets += 1;
        let now = self.now();
        self.ledger.borrow_mut().request(self.tickets, now, changes);
        self.tickets
    }

    /// What came of a publication, once it is known.
    pub fn outcome(&self, ticket: u64) -> Option<Result<Version, PublishError>> {
        let ledger = self.ledger.borrow();
        let (_, outcome) = ledger.publication(ticket)?.outcome.as_ref()?;
        Some(outcome.clone())
    }

    /// Publishes and plays until it is known what came of it, for ten seconds at most.
    pub fn publish_now(&mut self, changes: Vec<Change>) -> Option<Result<Version, PublishError>> {
        let ticket = self.publish(changes);
        self.run_until(Duration::millis(1), Duration::millis(10_000), |domain| {
            domain.outcome(ticket).is_some()
        });
        self.outcome(ticket)
    }

    /// Publishes all that the source holds, and then that it is whole.
    pub fn publish_all(&mut self) -> Result<Version, String> {
        let complete = Change { topic: Topic::SETTINGS, key: Key::Complete, value: Some(Value::Complete) };
        let classes = self.classes.iter().map(|(name, text)| class_change(name, Some(text.clone())));
        let workers = self.workers.iter().map(|(worker, record)| worker_change(*worker, *record));
        let all: Vec<Change> = classes.chain(workers).chain([complete]).collect();
        let end = self.now() + FILL_LIMIT;
        let mut last = Err("nothing to publish".to_owned());
        for chunk in all.chunks(FILL_CHUNK) {
            loop {
                if self.now() >= end {
                    return Err(format!("not published within {} s: {last:?}", FILL_LIMIT.secs()));
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

    /// Whether all running processes have the last committed version in force.
    pub fn all_have_head(&self) -> bool {
        let head = self.ledger.borrow().head();
        self.network.processes().all(|(_, process)| process.node().version() == head)
    }

    /// Plays until [`Domain::all_have_head`], and says whether that came within the limit.
    pub fn settle(&mut self, limit: Duration) -> bool {
        self.run_until(Duration::millis(100), limit, Domain::all_have_head)
    }

    /// New content for so many workers of the source, drawn.
    pub fn modify_workers(&mut self, count: usize) -> Vec<Change> {
        (0..count)
            .map(|_| {
                let worker = self.rng.random_range(0..self.plan.workers.max(1) as u64);
                self.modify_worker(worker)
            })
            .collect()
    }

    /// New content for a worker of the source.
    pub fn modify_worker(&mut self, worker: u64) -> Change {
        self.touched += 1;
        let zones = self.plan.zones;
        let record = self.workers.entry(worker).or_insert_with(|| first_record(worker, zones));
        record.weight_milli = 1_000 + self.touched;
        record.draining = !record.draining;
        worker_change(worker, *record)
    }

    /// Takes a worker off the source.
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

    /// How long after `since` a version was in force at the running subscribers that pass.
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

    /// How long after it was asked for a publication was in force at the running subscribers that it is of interest to.
    pub fn propagation_of(&self, ticket: u64) -> Option<Propagation> {
        let ledger = self.ledger.borrow();
        let asked = ledger.publication(ticket)?;
        let (_, Ok(version)) = asked.outcome.as_ref()? else { return None };
        let topics: BTreeSet<Topic> = asked.changes.iter().map(|change| change.topic).collect();
        Some(self.propagation(asked.at, *version, |_, node| {
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

/// A worker's record, set.
pub fn worker_change(worker: u64, record: WorkerRecord) -> Change {
    let value = Value::Worker(record);
    Change { topic: topic_of(&value), key: Key::Worker(worker), value: Some(value) }
}

/// A class, set or removed.
pub fn class_change(name: &str, text: Option<String>) -> Change {
    Change { topic: Topic::SETTINGS, key: Key::Class(name.to_owned()), value: text.map(Value::Class) }
}
