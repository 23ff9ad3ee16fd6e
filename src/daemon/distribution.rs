//! The daemon in its domain: the node's datagrams and clock, and what a version that was installed puts in force.

mod classes;
mod publisher;

use super::Daemon;
use crate::config::{self, Config};
use crate::fleet::distribution::{
    self, Change, ChangeCheck, DistributionConfig, DistributionInput, DistributionNode, DistributionOutput,
    Interest, Key, Role, Topic, Value, Version, WorkerRecord,
};
use crate::fleet::message::{self, LARGEST};
use crate::fleet::{Process, lease::LeaseGrant};
use crate::interface::{Duration, ListKind, Member, State, Timestamp, WorkerId, ZoneId};
use crate::net::{MAX_DATAGRAMS_PER_TURN, Reactor, is_transient};
use classes::{ClassCheck, Classes, NoCheck};
use publisher::{Next, Publisher};
use serde_json::Value as Json;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tracing::{error, info, warn};

/// Interval between attempts to bind the domain's address, while the old process has it.
const BIND_RETRY_INTERVAL: Duration = Duration::millis(50);

/// What this process is in its domain, and what it has from there. The latter stays when the joined goes to another
/// process, as at an upgrade.
pub(super) struct Distribution {
    joined: Option<DomainNode>,
    /// When to try again to take the address over from the old process.
    retry_at: Option<Timestamp>,
    classes: Rc<RefCell<Classes>>,
    /// The list of workers came from the domain: what the file and discovery say counts no longer.
    pub(super) provides_list: bool,
}

/// A process's joined in its domain.
struct DomainNode {
    node: Rc<RefCell<DistributionNode>>,
    socket: usize,
    role: Role,
    /// Stands for the domain's name in datagrams.
    domain: u64,
    process: Process,
    /// Whether anything was installed since this joined was taken.
    installed: bool,
    /// When the list was last known to be up to date, as the core knows it.
    list_confirmed_at: Option<Timestamp>,
    /// Of a replica.
    publisher: Option<Publisher>,
}

impl Distribution {
    /// One that has no joined yet.
    pub(super) fn new(config: &Config) -> Distribution {
        let classes = Rc::new(RefCell::new(Classes::new(config)));
        Distribution { joined: None, retry_at: None, classes, provides_list: false }
    }

    /// Takes this process's joined.
    pub(super) fn join(
        &mut self,
        setting: &config::Distribution,
        config: &Config,
        reactor: &mut Reactor,
    ) -> io::Result<()> {
        let (socket, at) = reactor.bind_datagram_socket(setting.bind)?;
        let now = reactor.now();
        let seed = super::fleet::draw(config.seed, now.0);
        let role = match setting.role {
            config::Role::Subscriber => Role::Subscriber,
            config::Role::Relay => Role::Relay,
            config::Role::Replica => Role::Replica,
        };
        let setting_name = setting.name.clone();
        let setting = DistributionConfig {
            role,
            own_address: at,
            interest: interest(setting.zones.as_deref(), &config.site.zones),
            parents: setting.parents.clone(),
            replicas: setting.replicas.clone(),
            catch_up_bytes_per_second: setting.catch_up_bytes_per_second,
            seed,
        };
        self.classes.borrow_mut().expect_snapshot();
        let check: Box<dyn ChangeCheck> = match role {
            // It hands on what schedulers judge for themselves.
            Role::Relay => Box::new(NoCheck),
            Role::Subscriber | Role::Replica => Box::new(ClassCheck(self.classes.clone())),
        };
        let node = Rc::new(RefCell::new(DistributionNode::new(now, setting, check)));
        reactor.distribution = Some(node.clone());
        self.joined = Some(DomainNode {
            node,
            socket,
            role,
            domain: message::fleet(&setting_name, &[]),
            process: Process { index: config.site.settings.index, incarnation: seed },
            installed: false,
            list_confirmed_at: None,
            publisher: (role == Role::Replica).then(Publisher::default),
        });
        Ok(())
    }
}

/// The topics of a subscriber's zones, in order.
fn interest(zones: Option<&[String]>, all: &[String]) -> Interest {
    let Some(zones) = zones else { return Interest::All };
    let index = |zone: &String| all.iter().position(|known| known == zone);
    let topics: BTreeSet<Topic> =
        zones.iter().filter_map(index).map(|index| Topic::workers_of(ZoneId(index as u8))).collect();
    Interest::Topics(topics.into_iter().collect())
}

/// The classes of a configuration by their names, as they are distributed.
fn classes_of(config: &Config) -> BTreeMap<Key, Value> {
    let class = |class: &Json| {
        Some((Key::Class(class["name"].as_str()?.to_owned()), Value::Class(class.to_string())))
    };
    config.classes().iter().filter_map(class).collect()
}

fn version_text(version: Version) -> String {
    format!("{}.{}", version.fence, version.sequence)
}

impl Daemon {
    fn joined(&self) -> Option<&DomainNode> {
        self.distribution.as_ref()?.joined.as_ref()
    }

    fn publisher(&mut self) -> Option<&mut Publisher> {
        self.distribution.as_mut()?.joined.as_mut()?.publisher.as_mut()
    }

    /// The joined in the domain is that of the process that takes the clients, as that in the fleet is.
    pub(super) fn join_or_leave_distribution(&mut self, open: bool) {
        let Some(distribution) = &mut self.distribution else { return };
        if !open && let Some(joined) = distribution.joined.take() {
            self.reactor.close_datagram_socket(joined.socket);
            self.reactor.distribution = None;
            distribution.retry_at = None;
        }
        if open && distribution.joined.is_none() {
            distribution.retry_at = Some(self.reactor.now());
        }
    }

    /// Tries to take the address in the domain, for as long as another process has it.
    pub(super) fn retry_join_distribution(&mut self) {
        let now = self.reactor.now();
        let (Some(distribution), Some(setting)) = (&mut self.distribution, &self.operator.distribution)
        else {
            return;
        };
        if distribution.retry_at.is_none_or(|at| at > now) || self.shutdown.is_some() {
            return;
        }
        distribution.retry_at = None;
        match distribution.join(setting, &self.config, &mut self.reactor) {
            Ok(()) => self.handle_distribution(DistributionInput::Timer),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse || is_transient(&e) => {
                distribution.retry_at = Some(now + BIND_RETRY_INTERVAL);
            }
            Err(why) => warn!(%why, "upgrade no distribution"),
        }
    }

    /// When the distribution is to be handled next.
    pub(super) fn distribution_timeout(&self) -> Option<Timestamp> {
        let due = self.joined().and_then(|joined| joined.node.borrow().next_timeout());
        due.into_iter().chain(self.distribution.as_ref().and_then(|distribution| distribution.retry_at)).min()
    }

    pub(super) fn is_distribution_socket(&self, socket: usize) -> bool {
        self.joined().is_some_and(|joined| joined.socket == socket)
    }

    /// Receives pending datagrams.
    pub(super) fn receive_distribution_datagrams(&mut self) {
        let mut bytes = [0; LARGEST + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some((socket, domain)) = self.joined().map(|joined| (joined.socket, joined.domain)) else {
                return;
            };
            let Some((size, from)) = self.reactor.receive_datagram(socket, &mut bytes) else { return };
            match distribution::read(domain, &bytes[..size]) {
                Ok((_, messages)) => {
                    self.handle_distribution(DistributionInput::Received { from, messages: &messages });
                }
                Err(why) => {
                    self.core.counters().distribution_dropped += 1;
                    if self.core.may_log(self.reactor.now()) {
                        warn!(%from, ?why, "distribution dropped");
                    }
                }
            }
        }
        if let Some(joined) = self.joined() {
            self.reactor.resume_receiving(joined.socket);
        }
    }

    /// The publish lease is held, held for longer, or held no longer.
    pub(super) fn set_publish_lease(&mut self, grant: Option<LeaseGrant>) {
        let Some(publisher) = self.publisher() else { return };
        publisher.lease(grant.map(|grant| grant.fence));
        self.handle_distribution(DistributionInput::Lease(grant));
    }

    /// Passes an input to the node, and carries out its outputs.
    pub(super) fn handle_distribution(&mut self, input: DistributionInput) {
        let now = self.reactor.now();
        let Some(joined) = self.joined() else { return };
        if matches!(input, DistributionInput::Timer)
            && joined.node.borrow().next_timeout().is_none_or(|at| at > now)
        {
            return;
        }
        let (socket, domain, process) = (joined.socket, joined.domain, joined.process);
        let outputs = joined.node.borrow_mut().handle(now, input);
        for output in outputs {
            match output {
                DistributionOutput::Send(to, message) => {
                    let bytes = distribution::datagram(domain, process, &[message]);
                    self.reactor.send_datagram(socket, &bytes, to);
                }
                DistributionOutput::Installed { version, changes } => self.install(now, version, &changes),
                DistributionOutput::Refused { version, why } => {
                    warn!(version = version_text(version), why, "distribution refused");
                }
                DistributionOutput::Parent(parent) => {
                    info!(at = parent.map(tracing::field::display), "distribution parent");
                }
                DistributionOutput::Published { ticket, version } => {
                    if let Some(changes) = self.publisher().and_then(|publisher| publisher.published(ticket))
                    {
                        info!(version = version_text(version), changes, "distribution published");
                    }
                }
                DistributionOutput::NotPublished { ticket, why } => {
                    let Some(publisher) = self.publisher() else { continue };
                    publisher.not_published(ticket, &why);
                    warn!(?why, "distribution not published");
                    self.core.counters().unpublished += 1;
                }
            }
        }
        self.publish();
    }

    // ---- What comes into force

    /// A version is in force in the domain. Only a subscriber does what it says: the others serve, if they serve
    /// requests at all, by their own file and discovery.
    fn install(&mut self, now: Timestamp, version: Version, changes: &[Change]) {
        let Some(Distribution { joined: Some(joined), classes, .. }) = &mut self.distribution else { return };
        let first = !std::mem::replace(&mut joined.installed, true);
        let start = Instant::now();
        if joined.role == Role::Subscriber {
            let classes = classes.borrow_mut().install(changes);
            match classes {
                Ok(Some(config)) => self.use_classes(now, config),
                Ok(None) => {}
                Err(why) => error!(%why, "distribution classes not applied"),
            }
            self.install_workers(now, first, changes);
        }
        let applied_us = start.elapsed().as_micros() as u64;
        info!(version = version_text(version), changes = changes.len(), applied_us, "distribution installed");
    }

    fn use_classes(&mut self, now: Timestamp, mut config: Config) {
        self.keep_restart_only_settings(&mut config);
        self.config = config;
        self.core.replace_site(now, self.config.site.clone());
    }

    fn install_workers(&mut self, now: Timestamp, first: bool, changes: &[Change]) {
        let mut workers: BTreeMap<u64, Option<&WorkerRecord>> = BTreeMap::new();
        for change in changes {
            match (&change.key, &change.value) {
                (Key::Worker(id), Some(Value::Worker(record))) => {
                    workers.insert(*id, Some(record));
                }
                // A worker that has moved to another topic has a record there.
                (Key::Worker(id), _) => {
                    workers.entry(*id).or_insert(None);
                }
                _ => {}
            }
        }
        if workers.is_empty() {
            return;
        }
        // The first changes are the complete list, which replaces that of the file and of discovery.
        let kind = if first { ListKind::Full } else { ListKind::Delta };
        if first {
            let checkers: BTreeSet<_> = self.checkers.iter().map(|member| member.worker).collect();
            self.pool.retain(|worker| workers.contains_key(&worker.0) || checkers.contains(&worker));
            self.start_times.retain(|worker| workers.contains_key(&worker.0));
        }
        let mut members: Vec<Member> = Vec::with_capacity(workers.len());
        for (id, record) in workers {
            let worker = WorkerId(id);
            match record {
                Some(record) => {
                    let mut member = record.member(id);
                    self.update_worker(now, &mut member, record.address);
                    members.push(member);
                }
                None => {
                    self.start_times.remove(worker);
                    self.pool.remove(worker);
                    members.push(Member { worker, state: State::Gone, ..Member::default() });
                }
            }
        }
        if first {
            members.extend(&self.checkers);
        }
        if let Some(distribution) = &mut self.distribution {
            distribution.provides_list = true;
        }
        self.core.members(now, kind, members);
    }

    /// Tells the core how old the list is that came from the domain, and the domain how old this publisher's own is.
    pub(super) fn report_list_freshness(&mut self) {
        let now = self.reactor.now();
        let last_frame = self.received_events.borrow().last_frame;
        let Some(Distribution { joined: Some(joined), provides_list, .. }) = &mut self.distribution else {
            return;
        };
        if let Some(at) = last_frame {
            joined.node.borrow_mut().confirm_source(at);
        }
        let up_to_date_at = joined.node.borrow().up_to_date_at();
        if *provides_list && up_to_date_at > joined.list_confirmed_at {
            joined.list_confirmed_at = up_to_date_at;
            if let Some(at) = up_to_date_at {
                self.core.list_confirmed_by_domain(now, at);
            }
        }
    }

    /// Whether the list of workers is the domain's, so that nothing else counts for it.
    pub(super) fn list_is_distributed(&self) -> bool {
        self.distribution.as_ref().is_some_and(|distribution| distribution.provides_list)
    }

    // ---- New files

    /// A configuration as a file says it, and the same as it is to be used: classes that came from the domain stay
    /// above the file's. A replica refuses a class that would not fit into a datagram.
    pub(super) fn with_distributed_classes(&self, file: Config) -> Result<(Option<Config>, Config), String> {
        let Some(distribution) = &self.distribution else { return Ok((None, file)) };
        if self.operator.publishes() {
            for (key, value) in classes_of(&file) {
                let change = Change { topic: Topic::SETTINGS, key, value: Some(value) };
                if !change.is_well_formed() {
                    return Err(format!("configuration: {:?} is too long to be distributed", change.key));
                }
            }
        }
        let without_list = file.without_list();
        let used = distribution.classes.borrow().with_distributed(file)?;
        Ok((Some(without_list), used))
    }

    /// The configuration in use is another one from now on: this is what its file says of it.
    pub(super) fn configuration_replaced(&mut self, file: Option<Config>, before: &Config) {
        let (Some(distribution), Some(mut file)) = (&self.distribution, file) else { return };
        self.keep_restart_only_settings(&mut file);
        distribution.classes.borrow_mut().replace(file);
        let (old, new) = (classes_of(before), classes_of(&self.config));
        let all_keys = old.keys().chain(new.keys());
        let changed: Vec<Key> = all_keys.filter(|key| old.get(key) != new.get(key)).cloned().collect();
        if let Some(publisher) = self.publisher() {
            publisher.mark_changed(changed);
        }
        self.publish();
    }

    // ---- What is published

    /// News of discovery or the file's list: these workers, or any.
    pub(super) fn source_changed(&mut self, workers: Option<Vec<WorkerId>>) {
        let Some(publisher) = self.publisher() else { return };
        match workers {
            Some(workers) => publisher.mark_changed(workers.into_iter().map(|worker| Key::Worker(worker.0))),
            None => publisher.mark_all_changed(),
        }
        self.publish();
    }

    /// Publishes what waits, if this process may now. One ticket at a time: the next goes when it is committed.
    fn publish(&mut self) {
        let Some(joined) = self.joined() else { return };
        let Some(publisher) = joined.publisher.as_ref().filter(|publisher| publisher.has_work()) else {
            return;
        };
        let node = joined.node.clone();
        let publishing_fence = node.borrow().publishing_fence(self.reactor.now());
        if publisher.fence.is_none() || publishing_fence != publisher.fence {
            return;
        }
        let pause_reason = self.pause_reason(&node.borrow());
        let Some(publisher) = self.publisher() else { return };
        if std::mem::replace(&mut publisher.pause_reason, pause_reason) != pause_reason
            && let Some(why) = pause_reason
        {
            warn!(why, "distribution paused");
        }
        if pause_reason.is_some() {
            return;
        }
        loop {
            let Some(publisher) = self.publisher() else { return };
            match publisher.next() {
                Next::Nothing => return,
                Next::CompareAll => {
                    let changes = self.compare_all(&node.borrow());
                    if let Some(publisher) = self.publisher() {
                        publisher.compared(true, changes);
                    }
                }
                Next::Compare(keys) => {
                    let changes = self.compare(&node.borrow(), &keys);
                    if let Some(publisher) = self.publisher() {
                        publisher.compared(false, changes);
                    }
                }
                Next::Publish(ticket, changes) => {
                    return self.handle_distribution(DistributionInput::Publish { ticket, changes });
                }
            }
        }
    }

    /// Why the own source is not to be published: one that was just started may not know of any worker yet.
    fn pause_reason(&self, node: &DistributionNode) -> Option<&'static str> {
        if self.config.discovery.is_some() && !self.received_events.borrow().received_any {
            return Some("the bus was not heard yet");
        }
        let list_is_empty = self.core.list().next().is_none();
        (list_is_empty && node.records().any(|(key, _)| matches!(key, Key::Worker(_))))
            .then_some("the own list is empty")
    }

    fn compare_all(&self, node: &DistributionNode) -> Vec<Change> {
        let mut source = classes_of(&self.config);
        source.extend(self.core.list().filter_map(|member| self.worker_record(member)));
        let mut changes = publisher::difference(source, node.records());
        changes.extend(node.record(&Key::Complete).is_none().then(publisher::complete));
        changes
    }

    fn compare(&self, node: &DistributionNode, keys: &BTreeSet<Key>) -> Vec<Change> {
        let any_class = keys.iter().any(|key| matches!(key, Key::Class(_)));
        let mut classes = if any_class { classes_of(&self.config) } else { BTreeMap::new() };
        let source = keys.iter().filter_map(|key| match key {
            Key::Worker(id) => self.worker_record(self.core.listed(WorkerId(*id))?),
            key => classes.remove_entry(key),
        });
        let committed = keys.iter().filter_map(|key| Some((key, node.record(key)?)));
        publisher::difference(source.collect(), committed)
    }

    /// The record of a line of the own list; none for a checker of this host.
    fn worker_record(&self, member: &Member) -> Option<(Key, Value)> {
        let reported = Member { started: self.start_times.reported(member.worker), ..*member };
        let record = WorkerRecord::of(&reported, self.pool.address(member.worker)?)?;
        Some((Key::Worker(member.worker.0), Value::Worker(record)))
    }
}
