//! Upgrades: what the daemon does as an old and as a new process of its scheduler.

use super::{Daemon, RESERVED_DESCRIPTORS, Router, descriptors, limit_memory, worker_limits};
use crate::backend::Endpoint;
use crate::config::{self, Config, ConfigError, Operator, Sources};
use crate::discovery::{self, WatchEvent};
use crate::front::socket::{self, SocketFile};
use crate::handover::message::{self, Message, TransferredState, TransferredWorker};
use crate::handover::{
    self, HandoverError, HandoverInput, HandoverOutput, HandoverState, InputQueue, PeerConnection,
};
use crate::interface::{Duration, ListKind, Member, Timestamp, WorkerId};
use crate::net::{ClockReading, ControlFlow, Stream, is_transient, retry_while_transient};
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::rc::Rc;
use tracing::{info, warn};

/// Descriptors that a process goes on needing beside those it holds when another comes.
const SPARE_DESCRIPTORS: usize = 8;
/// How soon the old process's places are tried again that could not be had.
const ENDPOINT_RETRY_INTERVAL: Duration = Duration::millis(100);
/// How soon the configuration is written again where the folder did not take it.
const SAVE_RETRY_INTERVAL: Duration = Duration::millis(500);
/// Connections that may stand at the upgrade socket.
const MAX_PEERS: usize = 4;

/// The processes of this scheduler that run at a time: one, but for upgrades.
pub(super) struct Upgrade {
    pub(super) machine: HandoverState,
    queue: Rc<RefCell<InputQueue>>,
    /// Where they meet; the listener there, once this one serves.
    socket_path: PathBuf,
    listener: Option<(usize, SocketFile)>,
    /// Where the last good configuration is kept for the next one.
    saved_config: PathBuf,
    /// When to try again to take the old process's places.
    endpoints_retry_at: Option<Timestamp>,
    /// What was said to be missing.
    warned: BTreeSet<&'static str>,
    /// When to try again to keep it.
    save_retry_at: Option<Timestamp>,
    peers: Vec<u64>,
    /// How many share the limits; meanwhile, the descriptors that connections of this one may take.
    process_count: usize,
    descriptor_cap: Option<usize>,
    /// Descriptors that the older one goes on holding, as it has just said.
    held_descriptors: usize,
    /// Why this one must not start.
    pub(super) failed: Option<HandoverError>,
}

impl Upgrade {
    /// A process that has just started on a passed listener.
    pub(super) fn new(name: &str) -> Upgrade {
        Upgrade {
            machine: HandoverState::new(name),
            queue: Rc::default(),
            socket_path: handover_socket_path(name),
            saved_config: saved_config_path(name),
            endpoints_retry_at: None,
            warned: BTreeSet::new(),
            save_retry_at: None,
            listener: None,
            peers: vec![],
            process_count: 1,
            descriptor_cap: None,
            held_descriptors: 0,
            failed: None,
        }
    }

    /// Tells the log what cannot be had, which is tried again and again.
    fn warn_once(&mut self, what: &'static str, why: &io::Error) {
        if self.warned.insert(what) {
            warn!(%why, "{what}");
        }
    }
}

impl Daemon {
    /// Descriptors that connections of this process may take: all but what is reserved, and what another
    /// process of this scheduler holds.
    pub(super) fn descriptors(&self) -> usize {
        let all = descriptors(&self.config);
        self.upgrade.as_ref().and_then(|upgrade| upgrade.descriptor_cap).unwrap_or(all)
    }

    /// So many processes share the limits now. The older one gives back what lies idle and keeps what it has;
    /// the younger one may take the rest.
    fn set_process_count(&mut self, process_count: usize) {
        let all = descriptors(&self.config);
        let Some(upgrade) = &mut self.upgrade else { return };
        let held = std::mem::take(&mut upgrade.held_descriptors);
        upgrade.process_count = process_count;
        self.core.yield_loads(upgrade.machine.state_was_sent());
        upgrade.descriptor_cap = match (process_count, held) {
            (1, _) => None,
            (_, 0) => {
                while self.reactor.count() > all / 2 && self.reactor.close_longest_idle(&mut self.core) {}
                let least = self.reactor.count() + SPARE_DESCRIPTORS;
                Some(upgrade.descriptor_cap.map_or(least, |cap| cap.min(least)))
            }
            (_, held) => Some(all.saturating_sub(held + RESERVED_DESCRIPTORS).max(all / 4)),
        };
        self.apply_limits();
    }

    pub(super) fn apply_limits(&mut self) {
        let process_count = self.upgrade.as_ref().map_or(1, |upgrade| upgrade.process_count);
        let (limits, connect) = worker_limits(&self.config);
        self.pool.configure(limits, connect, self.descriptors());
        limit_memory(&self.config, process_count, &mut self.core, &mut self.reactor);
    }

    pub(super) fn is_handover_listener(&self, listener: usize) -> bool {
        let own = self.upgrade.as_ref().and_then(|upgrade| upgrade.listener.as_ref());
        own.is_some_and(|(number, _)| *number == listener)
    }

    /// A process that comes to meet this one; one too many finds its connection closed.
    pub(super) fn admit_peer(&mut self, stream: Stream) {
        let Some(upgrade) = &mut self.upgrade else { return };
        upgrade.peers.retain(|id| self.reactor.inspect(*id, |_| ()).is_some());
        if upgrade.peers.len() >= MAX_PEERS {
            return;
        }
        let connection = Box::new(PeerConnection::new(upgrade.queue.clone(), false));
        let peer = self.reactor.add(stream, connection, true, handover::BUFFER_LIMITS, &mut self.core);
        upgrade.peers.extend(peer);
    }

    /// Tells the machine what has happened, and what waits for it, and does what it says.
    pub(super) fn handle_handover(&mut self, input: HandoverInput) {
        let mut inputs = VecDeque::from([input]);
        loop {
            let now = self.reactor.now();
            let Some(upgrade) = &mut self.upgrade else { return };
            inputs.append(&mut upgrade.queue.borrow_mut().inputs);
            let Some(input) = inputs.pop_front() else { return };
            for output in upgrade.machine.handle(now, input) {
                inputs.extend(self.execute_handover_output(now, output));
            }
        }
    }

    fn execute_handover_output(&mut self, now: Timestamp, output: HandoverOutput) -> Option<HandoverInput> {
        let upgrade = self.upgrade.as_mut()?;
        match output {
            HandoverOutput::Connect => {
                let stream = match self.reactor.connect_unix(&upgrade.socket_path) {
                    Ok(stream) => stream,
                    // What the old one knows must not be lost for a moment without sockets.
                    Err(e) if is_transient(&e) => return Some(HandoverInput::ConnectFailed),
                    // Nobody listens, or nobody can under such a name.
                    Err(_) => return Some(HandoverInput::NoPeer),
                };
                let connection = Box::new(PeerConnection::new(upgrade.queue.clone(), true));
                let added =
                    self.reactor.add(stream, connection, false, handover::BUFFER_LIMITS, &mut self.core);
                return added.is_none().then_some(HandoverInput::ConnectFailed);
            }
            HandoverOutput::Send(peer, message) => self.send_to_peer(peer, &message),
            HandoverOutput::SendState(peer) => {
                let state = self.transferred_state();
                self.send_to_peer(peer, &Message::State(Box::new(state)));
            }
            HandoverOutput::TakeOver(state) => self.take_over(now, &state),
            HandoverOutput::Serve => {
                self.take_handover_socket();
                self.set_accepting(true);
                self.begin_serving();
                self.accept_waiting_clients();
                self.take_endpoints(now);
                self.save_config();
            }
            HandoverOutput::SetListening(open) => {
                info!(listener = if open { "open" } else { "closed" }, "upgrade");
                self.set_accepting(open);
            }
            HandoverOutput::CordonChanged { worker, cordoned } => {
                self.core.cordon_changed_elsewhere(now, WorkerId(worker), cordoned);
            }
            HandoverOutput::SetProcessCount(process_count) => {
                self.set_process_count(process_count);
                self.take_endpoints(now);
            }
            HandoverOutput::Disconnect(peer, reason) => {
                warn!(why = reason.as_str(), "upgrade peer dropped");
                self.reactor.close_replaced(peer, &mut self.core);
            }
            HandoverOutput::Fail(error) => upgrade.failed = Some(error),
        }
        None
    }

    fn send_to_peer(&mut self, peer: u64, message: &Message) {
        let bytes = message::write(message);
        self.reactor.with_connection(peer, &mut self.core, |_, link, _| {
            link.enqueue(&bytes);
            ControlFlow::Continue
        });
    }

    /// Takes those of the old process's places that this one has not yet: where the next process meets it, the second
    /// front's socket file, and the virtual router. What cannot be had now is tried again.
    fn take_endpoints(&mut self, now: Timestamp) {
        if !self.upgrade.as_ref().is_some_and(|upgrade| upgrade.machine.serves()) {
            return;
        }
        self.take_handover_socket();
        self.take_second_front();
        self.take_router();
        let rpc = self.rpc.is_some() || self.operator.jsonrpc.is_none();
        let router = self.router.is_some() || self.operator.vrrp.is_none();
        if let Some(upgrade) = &mut self.upgrade {
            let all_taken = upgrade.listener.is_some() && rpc && router;
            upgrade.endpoints_retry_at = (!all_taken).then_some(now + ENDPOINT_RETRY_INTERVAL);
        }
    }

    /// Nobody has taken clients until now, where no older process is there, and nobody can tell how long those at the listener
    /// have waited: what they have asked for counts as late.
    fn accept_waiting_clients(&mut self) {
        if self.upgrade.as_ref().is_some_and(|upgrade| !upgrade.machine.has_older_process()) {
            self.reactor.lower_arrival_bound(ClockReading::UNKNOWN);
            self.accept(self.listener.0);
        }
    }

    /// Tries again to take what could not be had.
    pub(super) fn retry_take_endpoints(&mut self) {
        let now = self.reactor.now();
        if self.endpoints_timeout().is_some_and(|at| at <= now) {
            self.take_endpoints(now);
        }
    }

    /// When [`Daemon::retry_take_endpoints`] has something to do.
    pub(super) fn endpoints_timeout(&self) -> Option<Timestamp> {
        self.upgrade.as_ref()?.endpoints_retry_at
    }

    /// Where the next process cannot meet this one, an upgrade has to do without what it knows.
    fn take_handover_socket(&mut self) {
        let Some(upgrade) = self.upgrade.as_mut().filter(|upgrade| upgrade.listener.is_none()) else {
            return;
        };
        let replaced = socket::replace(&upgrade.socket_path, 0o600);
        match replaced.and_then(|(listener, file)| Ok((self.reactor.listen_unix(listener)?, file))) {
            Ok(listener) => upgrade.listener = Some(listener),
            Err(e) => upgrade.warn_once("upgrade no socket", &e),
        }
    }

    /// The second front's socket file is the old process's until now. Its clients are answered there.
    fn take_second_front(&mut self) {
        let Some(front) = self.operator.jsonrpc.as_ref().filter(|_| self.rpc.is_none()) else { return };
        let replaced = socket::replace(&front.socket, front.mode);
        match replaced.and_then(|(listener, file)| Ok((self.reactor.listen_unix(listener)?, file))) {
            Ok(rpc) => self.rpc = Some(rpc),
            Err(e) => {
                if let Some(upgrade) = &mut self.upgrade {
                    upgrade.warn_once("upgrade no second front", &e);
                }
            }
        }
    }

    /// Keeps the configuration in use, in case another process starts while a broken file is in place.
    pub(super) fn save_config(&mut self) {
        let now = self.reactor.now();
        let Some(upgrade) = self.upgrade.as_mut().filter(|upgrade| upgrade.machine.serves()) else { return };
        let first = upgrade.save_retry_at.take().is_none();
        let text = &mut self.config.text;
        if text.is_empty() {
            return;
        }
        let new = upgrade.saved_config.with_extension("new");
        match std::fs::write(&new, &text).and_then(|()| std::fs::rename(&new, &upgrade.saved_config)) {
            Ok(()) => *text = vec![],
            Err(e) => {
                upgrade.save_retry_at = Some(now + SAVE_RETRY_INTERVAL);
                if first {
                    warn!(why = %e, "upgrade configuration not saved");
                }
            }
        }
    }

    /// Tries again to keep the configuration, where the folder did not take it.
    pub(super) fn retry_save_config(&mut self) {
        let now = self.reactor.now();
        if self.save_timeout().is_some_and(|at| at <= now) {
            self.save_config();
        }
    }

    /// When [`Daemon::retry_save_config`] has something to do.
    pub(super) fn save_timeout(&self) -> Option<Timestamp> {
        self.upgrade.as_ref()?.save_retry_at
    }

    /// The address of the virtual router is free once the old process has gone. Whoever is active has to be found at
    /// the second front's socket file, so that comes first.
    fn take_router(&mut self) {
        let serves = self.upgrade.as_ref().is_some_and(|upgrade| upgrade.machine.serves());
        let fronts = self.rpc.is_some() || self.operator.jsonrpc.is_none();
        let wanted = serves && fronts && self.router.is_none();
        let Some(setting) = self.operator.vrrp.clone().filter(|_| wanted) else {
            return;
        };
        match Router::new(&setting, &mut self.reactor) {
            Ok(router) => {
                self.router = Some(router);
                self.handle_vrrp(crate::vrrp::Event::Startup);
            }
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => {
                if let Some(upgrade) = &mut self.upgrade {
                    upgrade.warn_once("upgrade no vrrp", &e);
                }
            }
        }
    }

    fn set_accepting(&mut self, open: bool) {
        if self.listener.1 != open && self.reactor.set_accepting(self.listener.0, open).is_ok() {
            self.listener.1 = open;
            self.reactor.accepting = open;
            self.join_or_leave_fleet(open);
            self.join_or_leave_distribution(open);
        }
    }

    fn transferred_state(&self) -> TransferredState {
        let now = self.reactor.now();
        let transferred = |member: &Member| {
            let worker = member.worker;
            let reported = Member { started: self.start_times.reported(worker), ..*member };
            Some(TransferredWorker::of(
                &reported,
                self.pool.address(worker)?,
                self.start_times.age(now, worker),
            ))
        };
        TransferredState {
            version: message::VERSION,
            now: Some(now.0),
            name: self.config.name.clone(),
            offset: self.received_events.borrow().offset,
            workers: self.core.list().filter_map(transferred).collect(),
            event_sums: self.event_sums.iter().copied().collect(),
            descriptors: self.descriptors(),
            ..self.core.transferred_state()
        }
    }

    /// The old one's list is used where discovery's numbers mean the same to both, and it has heard as much.
    fn take_over(&mut self, now: Timestamp, state: &TransferredState) {
        let state = &state.in_time_of(now);
        self.core.take_over(now, state);
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.held_descriptors = state.descriptors;
        }
        let offset = self.received_events.borrow().offset;
        let same = self.event_sums.back().is_some_and(|last| state.event_sums.contains(last));
        let ahead = same && state.offset > offset;
        // A list that was distributed is newer than any file's, and discovery's numbers say nothing of it.
        let taken = ahead || self.distribution.is_some() && !state.workers.is_empty();
        self.take_over_start_times(now, state, taken);
        if taken {
            let entry = |transferred: &TransferredWorker| discovery::Entry {
                member: transferred.member(),
                address: transferred.address(),
            };
            let entries = state.workers.iter().map(entry).collect();
            if ahead {
                self.received_events.borrow_mut().offset = state.offset;
            }
            self.apply_event(now, WatchEvent { offset: state.offset, kind: ListKind::Full, entries });
        }
        info!(offset = state.offset, out = state.cordoned.len(), "upgrade took over");
    }

    /// Workers are as old as the old process has them: it may have heard of their starts by a clock that was right. Where
    /// its list is taken, so are the starts of those that were not known here.
    fn take_over_start_times(&mut self, now: Timestamp, state: &TransferredState, list_taken: bool) {
        let mut changed = vec![];
        for transferred in &state.workers {
            let worker = transferred.member().worker;
            let Some((reported, age)) = transferred.start() else { continue };
            let known = self.start_times.reported(worker);
            if known == Some(reported) || known.is_none() && list_taken {
                self.start_times.take_over(now, worker, reported, age);
            }
            let Some(member) = self.core.listed(worker).filter(|_| known == Some(reported)) else { continue };
            let member = Member { started: Some(now - age), ..*member };
            if let Some(address) = self.pool.address(worker) {
                self.pool.set_endpoint(worker, Endpoint::Tcp(address), member.started);
            }
            changed.push(member);
        }
        if !changed.is_empty() {
            self.core.members(now, ListKind::Delta, changed);
        }
    }
}

/// What to start with where the process that serves now has a configuration that the file must not replace: a
/// new version may come while a broken one is in place.
pub(super) fn read_config_or_saved(sources: &Sources, name: &str) -> Result<(Config, Operator), ConfigError> {
    let read = sources.read();
    let old_process_serves =
        || retry_while_transient(|| UnixStream::connect(handover_socket_path(name))).is_ok();
    let saved = || {
        let text = std::fs::read(saved_config_path(name)).ok()?;
        let saved = config::read(&text).ok()?;
        Some(Config { text, ..saved })
    };
    let Some(saved) = sources.passed.and_then(|_| saved()).filter(|_| old_process_serves()) else {
        return read;
    };
    read.and_then(|(new, operator)| config::check(&new, &saved).map(|()| (new, operator))).or_else(|why| {
        warn!(%why, "upgrade configuration of the old process");
        let operator = sources.operator()?;
        operator.fits(&saved.site)?;
        Ok((Config { mgmt: sources.mgmt.or(saved.mgmt), ..saved }, operator))
    })
}

fn saved_config_path(name: &str) -> PathBuf {
    handover_socket_path(name).with_extension("json")
}

/// Where the processes of this scheduler meet. The name is part of the path, for folders may be shared.
fn handover_socket_path(name: &str) -> PathBuf {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    std::env::temp_dir().join(format!("mintgate-{plain}.sock"))
}
