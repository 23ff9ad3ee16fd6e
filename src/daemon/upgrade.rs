//! Upgrades: what the daemon does as an old and as a new process of its scheduler.

use super::{Daemon, RESERVED, Router, descriptors, limit_memory, worker_limits};
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
const SPARE: usize = 8;
/// How soon the old process's places are tried again that could not be had.
const PLACES_AGAIN: Duration = Duration::millis(100);
/// How soon the configuration is written again where the folder did not take it.
const KEEP_AGAIN: Duration = Duration::millis(500);
/// Connections that may stand at the upgrade socket.
const PEERS: usize = 4;

/// The processes of this scheduler that run at a time: one, but for upgrades.
pub(super) struct Upgrade {
    pub(super) machine: HandoverState,
    queue: Rc<RefCell<InputQueue>>,
    /// Where they meet; the listener there, once this one serves.
    path: PathBuf,
    listener: Option<(usize, SocketFile)>,
    /// Where the last good configuration is kept for the next one.
    kept: PathBuf,
    /// When to try again to take the old process's places.
    places_again: Option<Timestamp>,
    /// What was said to be missing.
    warned: BTreeSet<&'static str>,
    /// When to try again to keep it.
    keep_again: Option<Timestamp>,
    peers: Vec<u64>,
    /// How many share the limits; meanwhile, the descriptors that connections of this one may take.
    share: usize,
    cap: Option<usize>,
    /// Descriptors that the older one goes on holding, as it has just said.
    held: usize,
    /// Why this one must not start.
    pub(super) failed: Option<HandoverError>,
}

impl Upgrade {
    /// A process that has just started on a passed listener.
    pub(super) fn new(name: &str) -> Upgrade {
        Upgrade {
            machine: HandoverState::new(name),
            queue: Rc::default(),
            path: meeting_place(name),
            kept: kept_place(name),
            places_again: None,
            warned: BTreeSet::new(),
            keep_again: None,
            listener: None,
            peers: vec![],
            share: 1,
            cap: None,
            held: 0,
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
        self.upgrade.as_ref().and_then(|upgrade| upgrade.cap).unwrap_or(all)
    }

    /// So many processes share the limits now. The older one gives back what lies idle and keeps what it has;
    /// the younger one may take the rest.
    fn share(&mut self, share: usize) {
        let all = descriptors(&self.config);
        let Some(upgrade) = &mut self.upgrade else { return };
        let held = std::mem::take(&mut upgrade.held);
        upgrade.share = share;
        self.core.yield_loads(upgrade.machine.state_was_sent());
        upgrade.cap = match (share, held) {
            (1, _) => None,
            (_, 0) => {
                while self.reactor.count() > all / 2 && self.reactor.close_longest_idle(&mut self.core) {}
                let least = self.reactor.count() + SPARE;
                Some(upgrade.cap.map_or(least, |cap| cap.min(least)))
            }
            (_, held) => Some(all.saturating_sub(held + RESERVED).max(all / 4)),
        };
        self.apply_limits();
    }

    pub(super) fn apply_limits(&mut self) {
        let share = self.upgrade.as_ref().map_or(1, |upgrade| upgrade.share);
        let (limits, connect) = worker_limits(&self.config);
        self.pool.configure(limits, connect, self.descriptors());
        limit_memory(&self.config, share, &mut self.core, &mut self.reactor);
    }

    pub(super) fn meets_at(&self, listener: usize) -> bool {
        let own = self.upgrade.as_ref().and_then(|upgrade| upgrade.listener.as_ref());
        own.is_some_and(|(number, _)| *number == listener)
    }

    /// A process that comes to meet this one; one too many finds its connection closed.
    pub(super) fn admit_peer(&mut self, stream: Stream) {
        let Some(upgrade) = &mut self.upgrade else { return };
        upgrade.peers.retain(|id| self.reactor.inspect(*id, |_| ()).is_some());
        if upgrade.peers.len() >= PEERS {
            return;
        }
        let connection = Box::new(PeerConnection::new(upgrade.queue.clone(), false));
        let peer = self.reactor.add(stream, connection, true, handover::BUFFER_LIMITS, &mut self.core);
        upgrade.peers.extend(peer);
    }

    /// Tells the machine what has happened, and what waits for it, and does what it says.
    pub(super) fn upgrade(&mut self, input: HandoverInput) {
        let mut inputs = VecDeque::from([input]);
        loop {
            let now = self.reactor.now();
            let Some(upgrade) = &mut self.upgrade else { return };
            inputs.append(&mut upgrade.queue.borrow_mut().inputs);
            let Some(input) = inputs.pop_front() else { return };
            for what in upgrade.machine.handle(now, input) {
                inputs.extend(self.do_upgrade(now, what));
            }
        }
    }

    fn do_upgrade(&mut self, now: Timestamp, what: HandoverOutput) -> Option<HandoverInput> {
        let upgrade = self.upgrade.as_mut()?;
        match what {
            HandoverOutput::Connect => {
                let stream = match self.reactor.connect_unix(&upgrade.path) {
                    Ok(stream) => stream,
                    // What the old one knows must not be lost for a moment without sockets.
                    Err(e) if is_transient(&e) => return Some(HandoverInput::ConnectFailed),
                    // Nobody listens, or nobody can under such a name.
                    Err(_) => return Some(HandoverInput::NoPeer),
                };
                let connection = Box::new(PeerConnection::new(upgrade.queue.clone(), true));
                let met =
                    self.reactor.add(stream, connection, false, handover::BUFFER_LIMITS, &mut self.core);
                return met.is_none().then_some(HandoverInput::ConnectFailed);
            }
            HandoverOutput::Send(peer, message) => self.send_to_peer(peer, &message),
            HandoverOutput::SendState(peer) => {
                let known = self.known();
                self.send_to_peer(peer, &Message::State(Box::new(known)));
            }
            HandoverOutput::TakeOver(known) => self.take_over(now, &known),
            HandoverOutput::Serve => {
                self.take_meeting_place();
                self.set_accepting(true);
                self.open();
                self.accept_waiting_clients();
                self.take_places(now);
                self.keep();
            }
            HandoverOutput::SetListening(open) => {
                info!(listener = if open { "open" } else { "closed" }, "upgrade");
                self.set_accepting(open);
            }
            HandoverOutput::CordonChanged { worker, cordoned } => {
                self.core.cordon_changed_elsewhere(now, WorkerId(worker), cordoned);
            }
            HandoverOutput::SetProcessCount(share) => {
                self.share(share);
                self.take_places(now);
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
    fn take_places(&mut self, now: Timestamp) {
        if !self.upgrade.as_ref().is_some_and(|upgrade| upgrade.machine.serves()) {
            return;
        }
        self.take_meeting_place();
        self.take_second_front();
        self.take_router();
        let rpc = self.rpc.is_some() || self.operator.jsonrpc.is_none();
        let router = self.router.is_some() || self.operator.vrrp.is_none();
        if let Some(upgrade) = &mut self.upgrade {
            let all = upgrade.listener.is_some() && rpc && router;
            upgrade.places_again = (!all).then_some(now + PLACES_AGAIN);
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
    pub(super) fn take_places_late(&mut self) {
        let now = self.reactor.now();
        if self.paths_timeout().is_some_and(|at| at <= now) {
            self.take_places(now);
        }
    }

    /// When [`Daemon::take_places_late`] has something to do.
    pub(super) fn paths_timeout(&self) -> Option<Timestamp> {
        self.upgrade.as_ref()?.places_again
    }

    /// Where the next process cannot meet this one, an upgrade has to do without what it knows.
    fn take_meeting_place(&mut self) {
        let Some(upgrade) = self.upgrade.as_mut().filter(|upgrade| upgrade.listener.is_none()) else {
            return;
        };
        let taken = socket::replace(&upgrade.path, 0o600);
        match taken.and_then(|(listener, file)| Ok((self.reactor.listen_unix(listener)?, file))) {
            Ok(listener) => upgrade.listener = Some(listener),
            Err(e) => upgrade.warn_once("upgrade no socket", &e),
        }
    }

    /// The second front's socket file is the old process's until now. Its clients are answered there.
    fn take_second_front(&mut self) {
        let Some(front) = self.operator.jsonrpc.as_ref().filter(|_| self.rpc.is_none()) else { return };
        let taken = socket::replace(&front.socket, front.mode);
        match taken.and_then(|(listener, file)| Ok((self.reactor.listen_unix(listener)?, file))) {
            Ok(rpc) => self.rpc = Some(rpc),
            Err(e) => {
                if let Some(upgrade) = &mut self.upgrade {
                    upgrade.warn_once("upgrade no second front", &e);
                }
            }
        }
    }

    /// Keeps the configuration in use, in case another process starts while a broken file is in place.
    pub(super) fn keep(&mut self) {
        let now = self.reactor.now();
        let Some(upgrade) = self.upgrade.as_mut().filter(|upgrade| upgrade.machine.serves()) else { return };
        let first = upgrade.keep_again.take().is_none();
        let text = &mut self.config.text;
        if text.is_empty() {
            return;
        }
        let new = upgrade.kept.with_extension("new");
        match std::fs::write(&new, &text).and_then(|()| std::fs::rename(&new, &upgrade.kept)) {
            Ok(()) => *text = vec![],
            Err(e) => {
                upgrade.keep_again = Some(now + KEEP_AGAIN);
                if first {
                    warn!(why = %e, "upgrade configuration not saved");
                }
            }
        }
    }

    /// Tries again to keep the configuration, where the folder did not take it.
    pub(super) fn keep_late(&mut self) {
        let now = self.reactor.now();
        if self.save_timeout().is_some_and(|at| at <= now) {
            self.keep();
        }
    }

    /// When [`Daemon::keep_late`] has something to do.
    pub(super) fn save_timeout(&self) -> Option<Timestamp> {
        self.upgrade.as_ref()?.keep_again
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
                self.vrrp(crate::vrrp::Event::Startup);
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
            self.give_fleet(open);
            self.give_distribution(open);
        }
    }

    fn known(&self) -> TransferredState {
        let now = self.reactor.now();
        let line = |member: &Member| {
            let worker = member.worker;
            let reported = Member { started: self.starts.reported(worker), ..*member };
            Some(TransferredWorker::of(&reported, self.pool.address(worker)?, self.starts.age(now, worker)))
        };
        TransferredState {
            version: message::VERSION,
            now: Some(now.0),
            name: self.config.name.clone(),
            offset: self.received_events.borrow().offset,
            workers: self.core.list().filter_map(line).collect(),
            event_sums: self.sums.iter().copied().collect(),
            descriptors: self.descriptors(),
            ..self.core.transferred_state()
        }
    }

    /// The old one's list is used where discovery's numbers mean the same to both, and it has heard as much.
    fn take_over(&mut self, now: Timestamp, known: &TransferredState) {
        let known = &known.in_time_of(now);
        self.core.take_over(now, known);
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.held = known.descriptors;
        }
        let offset = self.received_events.borrow().offset;
        let same = self.sums.back().is_some_and(|last| known.event_sums.contains(last));
        let ahead = same && known.offset > offset;
        // A list that was distributed is newer than any file's, and discovery's numbers say nothing of it.
        let taken = ahead || self.distribution.is_some() && !known.workers.is_empty();
        self.take_starts_over(now, known, taken);
        if taken {
            let entry = |line: &TransferredWorker| discovery::Entry {
                member: line.member(),
                address: line.address(),
            };
            let entries = known.workers.iter().map(entry).collect();
            if ahead {
                self.received_events.borrow_mut().offset = known.offset;
            }
            self.learn(now, WatchEvent { offset: known.offset, kind: ListKind::Full, entries });
        }
        info!(offset = known.offset, out = known.cordoned.len(), "upgrade took over");
    }

    /// Workers are as old as the old process has them: it may have heard of their starts by a clock that was right. Where
    /// its list is taken, so are the starts of those that were not known here.
    fn take_starts_over(&mut self, now: Timestamp, known: &TransferredState, list_taken: bool) {
        let mut changed = vec![];
        for line in &known.workers {
            let worker = line.member().worker;
            let Some((reported, age)) = line.start() else { continue };
            let here = self.starts.reported(worker);
            if here == Some(reported) || here.is_none() && list_taken {
                self.starts.take_over(now, worker, reported, age);
            }
            let Some(member) = self.core.listed(worker).filter(|_| here == Some(reported)) else { continue };
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
pub(super) fn fall_back(sources: &Sources, name: &str) -> Result<(Config, Operator), ConfigError> {
    let read = sources.read();
    let serves = || retry_while_transient(|| UnixStream::connect(meeting_place(name))).is_ok();
    let kept = || {
        let text = std::fs::read(kept_place(name)).ok()?;
        let kept = config::read(&text).ok()?;
        Some(Config { text, ..kept })
    };
    let Some(kept) = sources.passed.and_then(|_| kept()).filter(|_| serves()) else { return read };
    read.and_then(|(new, operator)| config::check(&new, &kept).map(|()| (new, operator))).or_else(|why| {
        warn!(%why, "upgrade configuration of the old process");
        let operator = sources.operator()?;
        operator.fits(&kept.site)?;
        Ok((Config { mgmt: sources.mgmt.or(kept.mgmt), ..kept }, operator))
    })
}

fn kept_place(name: &str) -> PathBuf {
    meeting_place(name).with_extension("json")
}

/// Where the processes of this scheduler meet. The name is part of the path, for folders may be shared.
fn meeting_place(name: &str) -> PathBuf {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    std::env::temp_dir().join(format!("mintgate-{plain}.sock"))
}
