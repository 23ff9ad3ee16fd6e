//! The daemon as a process of its distribution domain: sends and receives the datagrams of its [`DistributionNode`],
//! and applies the installed versions.

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

/// Interval between attempts to bind the domain's address while the old process has it.
const BIND_RETRY_INTERVAL: Duration = Duration::millis(50);

/// This process's membership of its domain, and what it has received from there. The latter is kept when another
/// process joins in its place, as at an upgrade.
pub(super) struct Distribution {
    /// The node, while this process has joined the domain.
    joined: Option<DomainNode>,
    /// When to try again to bind the address, which the old process may still have.
    retry_at: Option<Timestamp>,
    /// The classes received from the domain.
    classes: Rc<RefCell<Classes>>,
    /// The list of workers comes from the domain, so that those of the file and of discovery are ignored.
    pub(super) has_list: bool,
}

/// The node of a process that has joined its domain.
struct DomainNode {
    node: Rc<RefCell<DistributionNode>>,
    socket: usize,
    role: Role,
    /// Hash of the domain's name, which identifies it in datagrams.
    domain: u64,
    process: Process,
    /// Whether a version has been installed since this process joined.
    installed: bool,
    /// When the list was last known to be up to date, as last reported to the core.
    list_confirmed_at: Option<Timestamp>,
    /// What a replica publishes; `None` for the other roles.
    publisher: Option<Publisher>,
}

impl Distribution {
    /// The state of a process that has not joined yet.
    pub(super) fn new(config: &Config) -> Distribution {
        let classes = Rc::new(RefCell::new(Classes::new(config)));
        Distribution { joined: None, retry_at: None, classes, has_list: false }
    }

    /// Binds the domain's address and joins.
    pub(super) fn join(
        &mut self,
        setting: &config::Distribution,
        config: &Config,
        reactor: &mut Reactor,
    ) -> io::Result<()> {
        let (socket, at) = reactor.bind_datagram_socket(setting.bind)?;
        let now = reactor.now();
        let seed = super::fleet::random_u64(config.seed, now.0);
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
            // A relay only forwards changes, which each scheduler checks itself.
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

/// The topics of a subscriber's zones, in order; all topics if no zones are set.
fn interest(zones: Option<&[String]>, all: &[String]) -> Interest {
    let Some(zones) = zones else { return Interest::All };
    let index = |zone: &String| all.iter().position(|known| known == zone);
    let topics: BTreeSet<Topic> =
        zones.iter().filter_map(index).map(|index| Topic::workers_of(ZoneId(index as u8))).collect();
    Interest::Topics(topics.into_iter().collect())
}

/// The classes of a configuration as distribution records, by name.
fn classes_of(config: &Config) -> BTreeMap<Key, Value> {
    let class = |class: &Json| {
        Some((Key::Class(class["name"].as_str()?.to_owned()), Value::Class(class.to_string())))
    };
    config.classes().iter().filter_map(class).collect()
}

/// A version as log lines show it.
fn version_text(version: Version) -> String {
    format!("{}.{}", version.fence, version.sequence)
}

impl Daemon {
    /// The node, while this process has joined the domain.
    fn joined(&self) -> Option<&DomainNode> {
        self.distribution.as_ref()?.joined.as_ref()
    }

    /// The publisher, while this process has joined the domain as a replica.
    fn publisher(&mut self) -> Option<&mut Publisher> {
        self.distribution.as_mut()?.joined.as_mut()?.publisher.as_mut()
    }

    /// Leaves or rejoins the domain at an upgrade: as in the fleet, the member is the process that accepts clients.
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

    /// Binds the domain's address and joins when that is due, or schedules a retry while another process has the
    /// address.
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

    /// When the distribution's next timer expires.
    pub(super) fn distribution_timeout(&self) -> Option<Timestamp> {
        let due = self.joined().and_then(|joined| joined.node.borrow().next_timeout());
        due.into_iter().chain(self.distribution.as_ref().and_then(|distribution| distribution.retry_at)).min()
    }

    /// Whether this is the domain's socket.
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

    /// Notes that the publish lease was acquired, renewed or lost.
    pub(super) fn set_publish_lease(&mut self, grant: Option<LeaseGrant>) {
        let Some(publisher) = self.publisher() else { return };
        publisher.lease(grant.map(|grant| grant.fence));
        self.handle_distribution(DistributionInput::Lease(grant));
    }

    /// Passes an input to the node and executes its outputs.
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

    // ---- Installed versions

    /// Applies a version of the domain if this process is a subscriber. Relays and replicas that serve requests do so
    /// by their own file and discovery.
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

    /// Replaces the configuration by one with other classes.
    fn use_classes(&mut self, now: Timestamp, mut config: Config) {
        self.keep_restart_only_settings(&mut config);
        self.config = config;
        self.core.replace_site(now, self.config.site.clone());
    }

    /// Applies the changes of workers to the list.
    fn install_workers(&mut self, now: Timestamp, first: bool, changes: &[Change]) {
        let mut workers: BTreeMap<u64, Option<&WorkerRecord>> = BTreeMap::new();
        for change in changes {
            match (&change.key, &change.value) {
                (Key::Worker(id), Some(Value::Worker(record))) => {
                    workers.insert(*id, Some(record));
                }
                // If the worker has moved to another topic, the record there counts.
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
            distribution.has_list = true;
        }
        self.core.members(now, kind, members);
    }

    /// Reports to the core how old the domain's list is, and to the domain how old this publisher's own list is.
    pub(super) fn report_list_freshness(&mut self) {
        let now = self.reactor.now();
        let last_frame = self.received_events.borrow().last_frame;
        let Some(Distribution { joined: Some(joined), has_list, .. }) = &mut self.distribution else {
            return;
        };
        if let Some(at) = last_frame {
            joined.node.borrow_mut().confirm_source(at);
        }
        let up_to_date_at = joined.node.borrow().up_to_date_at();
        if *has_list && up_to_date_at > joined.list_confirmed_at {
            joined.list_confirmed_at = up_to_date_at;
            if let Some(at) = up_to_date_at {
                self.core.list_confirmed_by_domain(now, at);
            }
        }
    }

    /// Whether the list of workers comes from the domain, so that other sources are ignored.
    pub(super) fn list_is_distributed(&self) -> bool {
        self.distribution.as_ref().is_some_and(|distribution| distribution.has_list)
    }

    // ---- Reloads

    /// Returns a file's configuration without its list, and the configuration to use, in which the domain's classes
    /// override the file's.
    ///
    /// # Errors
    /// The configuration is invalid with the domain's classes, or a replica's file has a class that does not fit into a
    /// datagram.
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
        let without_events = file.without_events();
        let used = distribution.classes.borrow().with_distributed(file)?;
        Ok((Some(without_events), used))
    }

    /// Notes that the configuration in use was replaced. `file` is that of its file, without the list.
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

    // ---- Publishing

    /// Notes that the source's records of these workers have changed, or those of any worker.
    pub(super) fn source_changed(&mut self, workers: Option<Vec<WorkerId>>) {
        let Some(publisher) = self.publisher() else { return };
        match workers {
            Some(workers) => publisher.mark_changed(workers.into_iter().map(|worker| Key::Worker(worker.0))),
            None => publisher.mark_all_changed(),
        }
        self.publish();
    }

    /// Publishes the pending changes if this process may do so now. One ticket is in flight at a time.
    fn publish(&mut self) {
        let Some(joined) = self.joined() else { return };
        let Some(publisher) = joined.publisher.as_ref().filter(|publisher| publisher.pending()) else {
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

    /// Why this process's source must not be published yet: after a start its list may still be empty.
    fn pause_reason(&self, node: &DistributionNode) -> Option<&'static str> {
        if self.config.discovery.is_some() && !self.received_events.borrow().received_any {
            return Some("nothing was received from discovery yet");
        }
        let list_is_empty = self.core.list().next().is_none();
        (list_is_empty && node.records().any(|(key, _)| matches!(key, Key::Worker(_))))
            .then_some("this process's list of workers is empty")
    }

    /// The changes that make the committed records equal to the complete source.
    fn compare_all(&self, node: &DistributionNode) -> Vec<Change> {
        let mut source = classes_of(&self.config);
        source.extend(self.core.list().filter_map(|member| self.worker_record(member)));
        let mut changes = publisher::difference(source, node.records());
        changes.extend(node.record(&Key::Complete).is_none().then(publisher::complete));
        changes
    }

    /// The changes that make the committed records of these keys equal to the source.
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

    /// The record of a worker on this process's list; `None` for a checker, which only this host can reach.
    fn worker_record(&self, member: &Member) -> Option<(Key, Value)> {
        let reported = Member { started: self.start_times.reported(member.worker), ..*member };
        let record = WorkerRecord::of(&reported, self.pool.address(member.worker)?)?;
        Some((Key::Worker(member.worker.0), Value::Worker(record)))
    }
}
