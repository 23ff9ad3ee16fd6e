//! Upgrades: what the daemon does as the old and as the new process of its scheduler.

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

/// Descriptors that a process needs in addition to those it holds when a newer process starts.
const SPARE_DESCRIPTORS: usize = 8;
/// Interval between attempts to take over the old process's sockets and addresses.
const ENDPOINT_RETRY_INTERVAL: Duration = Duration::millis(100);
/// Interval between attempts to save the configuration after a write has failed.
const SAVE_RETRY_INTERVAL: Duration = Duration::millis(500);
/// Maximum number of connections at the upgrade socket.
const MAX_PEERS: usize = 4;

/// The state of this process among the processes of its scheduler: there is one, except during an upgrade.
pub(super) struct Upgrade {
    pub(super) machine: HandoverState,
    queue: Rc<RefCell<InputQueue>>,
    /// The upgrade socket, where a newer process connects.
    socket_path: PathBuf,
    /// The listener of the upgrade socket, once this process serves.
    listener: Option<(usize, SocketFile)>,
    /// The file in which the last valid configuration is saved for the next process.
    saved_config: PathBuf,
    /// When to try again to take over the old process's sockets and addresses.
    endpoints_retry_at: Option<Timestamp>,
    /// The failures that have been logged.
    warned: BTreeSet<&'static str>,
    /// When to try again to save the configuration.
    save_retry_at: Option<Timestamp>,
    /// The connections at the upgrade socket.
    peers: Vec<u64>,
    /// How many processes share the limits.
    process_count: usize,
    /// Descriptors that this process's connections may use while there is another process.
    descriptor_cap: Option<usize>,
    /// Descriptors that the older process keeps, as it has just reported; 0 if it has reported none.
    held_descriptors: usize,
    /// Why this process must not start.
    pub(super) failed: Option<HandoverError>,
}

impl Upgrade {
    /// The state of a process that has just started on a passed listener.
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

    /// Logs a failure once, although the operation is retried.
    fn warn_once(&mut self, what: &'static str, why: &io::Error) {
        if self.warned.insert(what) {
            warn!(%why, "{what}");
        }
    }
}

impl Daemon {
    /// Descriptors that this process's connections may use: all except those that are reserved and those that another
    /// process of this scheduler holds.
    pub(super) fn descriptors(&self) -> usize {
        let all = descriptors(&self.config);
        self.upgrade.as_ref().and_then(|upgrade| upgrade.descriptor_cap).unwrap_or(all)
    }

    /// Adapts the limits to the number of processes that share them. The older process closes idle connections and
    /// keeps the others; the newer one may use the remaining descriptors.
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

    /// Applies the configured limits on connections and memory.
    pub(super) fn apply_limits(&mut self) {
        let process_count = self.upgrade.as_ref().map_or(1, |upgrade| upgrade.process_count);
        let (limits, connect) = worker_limits(&self.config);
        self.pool.configure(limits, connect, self.descriptors());
        limit_memory(&self.config, process_count, &mut self.core, &mut self.reactor);
    }

    /// Whether this is the listener of the upgrade socket.
    pub(super) fn is_handover_listener(&self, listener: usize) -> bool {
        let own = self.upgrade.as_ref().and_then(|upgrade| upgrade.listener.as_ref());
        own.is_some_and(|(number, _)| *number == listener)
    }

    /// Adds a connection at the upgrade socket, or closes it if there are [`MAX_PEERS`] already.
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

    /// Passes an input and all queued ones to the handover's state machine, and executes its outputs.
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

    /// Executes an output of the handover; returns an input if that has failed.
    fn execute_handover_output(&mut self, now: Timestamp, output: HandoverOutput) -> Option<HandoverInput> {
        let upgrade = self.upgrade.as_mut()?;
        match output {
            HandoverOutput::Connect => {
                let stream = match self.reactor.connect_unix(&upgrade.socket_path) {
                    Ok(stream) => stream,
                    // A temporary lack of descriptors must not lose the old process's state.
                    Err(e) if is_transient(&e) => return Some(HandoverInput::ConnectFailed),
                    // No process listens there, or the path is not valid for a socket.
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

    /// Sends a message to a process at the upgrade socket.
    fn send_to_peer(&mut self, peer: u64, message: &Message) {
        let bytes = message::write(message);
        self.reactor.with_connection(peer, &mut self.core, |_, link, _| {
            link.enqueue(&bytes);
            ControlFlow::Continue
        });
    }

    /// Takes over what the old process still has: the upgrade socket, the JSON-RPC front's socket file and the virtual
    /// router's address. Schedules a retry for those that are not available yet.
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

    /// Accepts the clients that have waited at the listener if there is no older process. No process has accepted
    /// clients until now, so the time that they have waited is unknown, and their requests count as late.
    fn accept_waiting_clients(&mut self) {
        if self.upgrade.as_ref().is_some_and(|upgrade| !upgrade.machine.has_older_process()) {
            self.reactor.lower_arrival_bound(ClockReading::UNKNOWN);
            self.accept(self.listener.0);
        }
    }

    /// Retries [`Daemon::take_endpoints`] when that is due.
    pub(super) fn retry_take_endpoints(&mut self) {
        let now = self.reactor.now();
        if self.endpoints_timeout().is_some_and(|at| at <= now) {
            self.take_endpoints(now);
        }
    }

    /// When [`Daemon::retry_take_endpoints`] is due.
    pub(super) fn endpoints_timeout(&self) -> Option<Timestamp> {
        self.upgrade.as_ref()?.endpoints_retry_at
    }

    /// Binds the upgrade socket. Without it the next process cannot connect, and starts without this one's state.
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

    /// Binds the JSON-RPC front's socket file, which the old process has had until now. The old process still answers
    /// its own clients.
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

    /// Saves the configuration in use, in case the next process starts while the configured file is invalid.
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

    /// Retries [`Daemon::save_config`] after a write has failed, when that is due.
    pub(super) fn retry_save_config(&mut self) {
        let now = self.reactor.now();
        if self.save_timeout().is_some_and(|at| at <= now) {
            self.save_config();
        }
    }

    /// When [`Daemon::retry_save_config`] is due.
    pub(super) fn save_timeout(&self) -> Option<Timestamp> {
        self.upgrade.as_ref()?.save_retry_at
    }

    /// Starts the virtual router, whose address is free once the old process has exited. The active router has to be
    /// reachable at the JSON-RPC front's socket file, so that file is taken over first.
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

    /// Opens or closes the clients' listener, and joins or leaves the fleet and the domain with it.
    fn set_accepting(&mut self, open: bool) {
        if self.listener.1 != open && self.reactor.set_accepting(self.listener.0, open).is_ok() {
            self.listener.1 = open;
            self.reactor.accepting = open;
            self.join_or_leave_fleet(open);
            self.join_or_leave_distribution(open);
        }
    }

    /// The state that the newer process takes over.
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

    /// Takes over the old process's state. Its list is used if the checksums show that both follow the same discovery
    /// events and it has received more of them.
    fn take_over(&mut self, now: Timestamp, state: &TransferredState) {
        let state = &state.in_time_of(now);
        self.core.take_over(now, state);
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.held_descriptors = state.descriptors;
        }
        let offset = self.received_events.borrow().offset;
        let same = self.event_sums.back().is_some_and(|last| state.event_sums.contains(last));
        let ahead = same && state.offset > offset;
        // A distributed list is newer than any file's, and discovery's offsets do not apply to it.
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

    /// Takes over the workers' ages: the old process may have received their starts while the clock was right. If its
    /// list is used, so are the starts of the workers that are unknown here.
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

/// Reads the configuration and the operator's file. If the file is invalid or may not replace the configuration of the
/// process that serves now, its saved configuration is used: the program may be upgraded while a bad file is in place.
pub(super) fn read_config_or_saved(sources: &Sources, name: &str) -> Result<(Config, Operator), ConfigError> {
    let read = sources.read();
    let peer_serves = || retry_while_transient(|| UnixStream::connect(handover_socket_path(name))).is_ok();
    let saved = || {
        let text = std::fs::read(saved_config_path(name)).ok()?;
        let saved = config::read(&text).ok()?;
        Some(Config { text, ..saved })
    };
    let Some(saved) = sources.listen_fd.and_then(|_| saved()).filter(|_| peer_serves()) else { return read };
    read.and_then(|(new, operator)| config::check(&new, &saved).map(|()| (new, operator))).or_else(|why| {
        warn!(%why, "upgrade configuration of the old process");
        let operator = sources.operator()?;
        operator.check_site(&saved.site)?;
        Ok((Config { mgmt: sources.mgmt.or(saved.mgmt), ..saved }, operator))
    })
}

/// The file in which a scheduler's last valid configuration is saved.
fn saved_config_path(name: &str) -> PathBuf {
    handover_socket_path(name).with_extension("json")
}

/// The path of a scheduler's upgrade socket. It contains the name because schedulers may share the folder.
fn handover_socket_path(name: &str) -> PathBuf {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    std::env::temp_dir().join(format!("mintgate-{plain}.sock"))
}
