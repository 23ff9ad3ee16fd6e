//! The reactor: one poll that drives all connections and their timers through callbacks.

mod entry;
mod input;

use super::connection::{Connection, Context, ControlFlow};
use super::{BufferLimits, ClockReading, Link, MIN_OUTPUT_BYTES, OutputPressure, Stream, SystemClock};
use crate::core::Core;
use crate::fleet::FleetNode;
use crate::fleet::distribution::DistributionNode;
use crate::interface::{Duration, Timestamp};
use crate::request::{AttemptId, CloseCause};
use entry::{Entry, ReadBudget};
use mio::net::{TcpListener, UnixListener};
use mio::{Events, Poll, Token};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// A readiness event for anything other than a connection, returned to the reactor's caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    /// The listener with this number has a pending connection.
    Client(usize),
    /// The pipe with this number is readable.
    Pipe(usize),
    /// The UDP socket with this number is readable.
    Datagram(usize),
}

pub(super) enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

/// Longest wait of a poll while there are connections. Input that a poll reports arrived after the previous poll
/// started; without a kernel timestamp, nothing more precise is known.
const MAX_POLL_WAIT: Duration = Duration::millis(30);
/// Events that one poll reports.
const MAX_EVENTS_PER_POLL: usize = 1024;
/// The unwritten output of all connections is under [`OutputPressure::High`] above this fraction of its limit, and under
/// [`OutputPressure::Critical`] above the other one.
const HIGH_PRESSURE: f64 = 2.0 / 3.0;
const CRITICAL_PRESSURE: f64 = 5.0 / 6.0;

/// Poll tokens: listeners start at 0, pipes, datagram sockets and connections at these.
pub(super) const FIRST_PIPE_TOKEN: usize = 1 << 8;
pub(super) const FIRST_SOCKET_TOKEN: usize = 1 << 9;
const FIRST_CONNECTION_TOKEN: usize = 1 << 10;

/// Polls listeners, pipes, datagram sockets and connections, and calls connections back.
pub struct Reactor {
    pub(super) poll: Poll,
    events: Events,
    clock: SystemClock,
    pub(super) listeners: Vec<Option<Listener>>,
    pub(super) pipes: Vec<mio::net::UnixStream>,
    pub(super) sockets: Vec<Option<mio::net::UdpSocket>>,
    entries: HashMap<Token, Entry>,
    next_token: usize,
    timers: BTreeSet<(Timestamp, Token)>,
    /// Connections with messages left from an earlier turn.
    unhandled: BTreeSet<Token>,
    /// Connections on which an attempt may be writable.
    writable: BTreeSet<Token>,
    /// The connection on which an attempt was written last; the others have their turn before it has another.
    last_written: Token,
    read_budget: ReadBudget,
    /// Whether the last poll reported no event and no message was left from earlier turns.
    last_poll_empty: bool,
    /// Start of the last poll that reported all ready sources: whatever it did not report had not arrived by then.
    polled_at: ClockReading,
    /// Start of the poll before the last: whatever the last poll reported had not arrived by then.
    arrival_bound: ClockReading,
    /// Unwritten bytes of all connections.
    unwritten_total: usize,
    /// Above this number of unwritten bytes, a connection that adds to them is closed if its peer does not read.
    pub max_unwritten_bytes: usize,
    /// Memory of the partly received requests of all connections.
    partial_input_total: usize,
    /// Above this number of bytes, partly received requests are given up.
    pub max_partial_input_bytes: usize,
    /// Passed to callbacks as [`Context::ready`]; false while the scheduler is not ready.
    pub ready: bool,
    /// Passed to callbacks as [`Context::active`]; false while another daemon is the active one.
    pub active: bool,
    /// Passed to callbacks as [`Context::accepting`]; false while another process accepts the clients.
    pub accepting: bool,
    /// Passed to callbacks as [`Context::fleet`]; `None` without a fleet.
    pub fleet: Option<Rc<RefCell<FleetNode>>>,
    /// Passed to callbacks as [`Context::distribution`]; `None` without a domain.
    pub distribution: Option<Rc<RefCell<DistributionNode>>>,
}

impl Reactor {
    /// Creates a reactor without connections.
    ///
    /// # Errors
    /// The poll cannot be created.
    pub fn new(clock: SystemClock) -> io::Result<Reactor> {
        let now = clock.reading();
        Ok(Reactor {
            poll: Poll::new()?,
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            clock,
            listeners: vec![],
            pipes: vec![],
            sockets: vec![],
            entries: HashMap::new(),
            next_token: FIRST_CONNECTION_TOKEN,
            timers: BTreeSet::new(),
            unhandled: BTreeSet::new(),
            writable: BTreeSet::new(),
            last_written: Token(0),
            read_budget: ReadBudget::default(),
            last_poll_empty: true,
            polled_at: now,
            arrival_bound: now,
            unwritten_total: 0,
            max_unwritten_bytes: usize::MAX,
            partial_input_total: 0,
            max_partial_input_bytes: usize::MAX,
            ready: false,
            active: true,
            accepting: true,
            fleet: None,
            distribution: None,
        })
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The wall clock's Unix time; see [`SystemClock::wall`].
    pub fn wall(&self) -> Timestamp {
        self.clock.wall()
    }

    /// Number of connections, including those being established.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Adds a connection; `connected` if it is already established. Returns its ID, or `None` if it was closed at once.
    pub fn add(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        connected: bool,
        limits: BufferLimits,
        core: &mut Core,
    ) -> Option<u64> {
        let token = Token(self.next_token);
        self.next_token += 1;
        // A client may have been waiting to be accepted, and sending, since before its listener was reported.
        let link = Link::new(stream, token, connected, limits, self.arrival_bound);
        self.entries.insert(token, Entry::new(link, connection));
        self.invoke(token, core, |entry, context| {
            if entry.link.connected {
                entry.connection.opened(&mut entry.link, context)
            } else {
                ControlFlow::Continue
            }
        });
        // Reads input that arrived before the registration; later input is reported by the poll.
        if connected {
            self.catch_up(token.0 as u64, core);
        }
        self.entries.contains_key(&token).then_some(token.0 as u64)
    }

    /// The context for callbacks made now.
    fn context<'a>(&self, core: &'a mut Core) -> Context<'a> {
        Context {
            core,
            now: self.clock.now(),
            clock: self.clock,
            ready: self.ready,
            active: self.active,
            accepting: self.accepting,
            fleet: self.fleet.clone(),
            distribution: self.distribution.clone(),
        }
    }

    /// Calls a connection back, writes its output, and updates its poll registration and timer, or closes it. A panic in the
    /// callback closes this connection alone.
    fn invoke(
        &mut self,
        token: Token,
        core: &mut Core,
        callback: impl FnOnce(&mut Entry, &mut Context) -> ControlFlow,
    ) {
        let context = &mut self.context(core);
        let pressure = self.output_pressure();
        let Some(entry) = self.entries.get_mut(&token) else { return };
        let before = entry.link.buffered_output();
        entry.link.output_pressure = pressure;
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let mut flow = callback(entry, context);
            // Output is written at once; the connection may queue more whenever all of it has been written.
            while flow != ControlFlow::Close && entry.link.connected && entry.link.unwritten_bytes() > 0 {
                match entry.flush(context) {
                    Ok(true) => flow = flow.and(entry.connection.flushed(&mut entry.link, context)),
                    Ok(false) => break,
                    Err(_) => flow = ControlFlow::Close,
                }
            }
            // The peer may have sent something before it closed that is still unread.
            if entry.link.write_failed() {
                entry.read_all(ControlFlow::Continue, &mut ReadBudget::default(), context);
                flow = ControlFlow::Close;
            }
            // Before a close, the connection withdraws what it has read.
            if flow != ControlFlow::Close {
                context.core.submit_enqueued(context.now);
            }
            flow
        }));
        let flow = flow.unwrap_or_else(|_| {
            context.core.counters().panics += 1;
            tracing::error!("panic connection={} closed", token.0);
            entry.link.set_close_cause(CloseCause::Fault);
            ControlFlow::Close
        });
        entry.link.note_progress(self.clock.now());
        let after = entry.link.buffered_output();
        self.unwritten_total = (self.unwritten_total + after).saturating_sub(before);
        // Bounds the memory held by output to peers that do not read.
        let clogged =
            self.unwritten_total > self.max_unwritten_bytes && after > before && after > MIN_OUTPUT_BYTES;
        let flow = if clogged { ControlFlow::Close } else { flow };
        if clogged {
            entry.link.set_close_cause(CloseCause::Clogged);
        }
        entry.finish_if(flow == ControlFlow::Finish);
        // If a socket is closed with unread input, the system discards output that the peer has not read yet. So only
        // the write half is shut down, and the close waits for the peer's close or the connection's deadline.
        if entry.finishing
            && entry.link.unwritten_bytes() == 0
            && !std::mem::replace(&mut entry.write_shut, true)
        {
            entry.link.stream.shutdown_write();
        }
        let done = flow == ControlFlow::Close || entry.write_shut && entry.link.peer_closed;
        if done || entry.link.register(self.poll.registry()).is_err() {
            return self.close(token, context.core);
        }
        if entry.connection.next_attempt(&entry.link).is_some() {
            self.writable.insert(token);
        }
        self.update_input(token);
        self.update_timer(token);
    }

    /// Registers the connection's next deadline.
    fn update_timer(&mut self, token: Token) {
        let Some(entry) = self.entries.get_mut(&token) else { return };
        let due = entry.deadline();
        if due == entry.timer {
            return;
        }
        if let Some(at) = std::mem::replace(&mut entry.timer, due) {
            self.timers.remove(&(at, token));
        }
        if let Some(at) = due {
            self.timers.insert((at, token));
        }
    }

    /// How much unwritten output there is, compared with the limit.
    fn output_pressure(&self) -> OutputPressure {
        let used = self.unwritten_total as f64 / self.max_unwritten_bytes as f64;
        if used > CRITICAL_PRESSURE {
            OutputPressure::Critical
        } else if used > HIGH_PRESSURE {
            OutputPressure::High
        } else {
            OutputPressure::None
        }
    }

    fn close(&mut self, token: Token, core: &mut Core) {
        let Some(mut entry) = self.entries.remove(&token) else { return };
        self.unwritten_total = self.unwritten_total.saturating_sub(entry.link.buffered_output());
        self.partial_input_total -= entry.partial_input_bytes;
        if let Some(at) = entry.timer {
            self.timers.remove(&(at, token));
        }
        let (cause, kind, connection) = (entry.link.close_cause(), entry.connection.kind(), token.0);
        core.counters().close(cause);
        let (unwritten, paused) = (entry.link.unwritten_bytes(), entry.link.is_input_paused());
        tracing::debug!(connection, kind, ?cause, unwritten, paused, "closed");
        let context = &mut self.context(core);
        let closed = catch_unwind(AssertUnwindSafe(|| entry.connection.closed(&entry.link, context)));
        if closed.is_err() {
            context.core.counters().panics += 1;
        }
        let _ = self.poll.registry().deregister(entry.link.stream.source());
    }

    /// Closes a connection that another one replaces.
    pub fn close_replaced(&mut self, id: u64, core: &mut Core) {
        self.close_for(Token(id as usize), CloseCause::Replaced, core);
    }

    fn close_for(&mut self, token: Token, cause: CloseCause, core: &mut Core) {
        if let Some(entry) = self.entries.get_mut(&token) {
            entry.link.set_close_cause(cause);
        }
        self.close(token, core);
    }

    /// Calls back a connection with a closure; false if the connection no longer exists.
    pub fn with_connection(
        &mut self,
        id: u64,
        core: &mut Core,
        callback: impl FnOnce(&mut dyn Connection, &mut Link, &mut Context) -> ControlFlow,
    ) -> bool {
        let token = Token(id as usize);
        let exists = self.entries.contains_key(&token);
        self.invoke(token, core, |entry, context| {
            callback(entry.connection.as_mut(), &mut entry.link, context)
        });
        exists
    }

    /// Reads something from a connection; `None` if it no longer exists.
    pub fn inspect<T>(&self, id: u64, look: impl FnOnce(&dyn Connection) -> T) -> Option<T> {
        self.entries.get(&Token(id as usize)).map(|entry| look(entry.connection.as_ref()))
    }

    /// Since when nothing has been open on a connection, nor unread by its peer; `None` while something is.
    pub fn idle_since(&self, id: u64) -> Option<Timestamp> {
        self.entries.get(&Token(id as usize))?.idle_since()
    }

    /// Writes as much waiting output as the sockets take. The poll reports room only once there is much of it.
    pub fn write_waiting_output(&mut self, core: &mut Core) {
        let waiting = |entry: &Entry| entry.link.connected && entry.link.unwritten_bytes() > 0;
        let tokens: Vec<Token> =
            self.entries.iter().filter(|(_, entry)| waiting(entry)).map(|(token, _)| *token).collect();
        for token in tokens {
            self.invoke(token, core, |_, _| ControlFlow::Continue);
        }
    }

    /// When the peer of any connection last took output that had been waiting for it.
    pub fn last_output_progress(&self) -> Option<Timestamp> {
        let waiting = self.entries.values().filter(|entry| entry.link.unwritten_bytes() > 0);
        waiting.map(|entry| entry.link.last_output_progress()).max()
    }

    /// IDs of all connections.
    pub fn ids(&self) -> Vec<u64> {
        self.entries.keys().map(|token| token.0 as u64).collect()
    }

    /// Whether a part of a request has been received on any connection, or a first one may still arrive on a new
    /// connection.
    pub fn may_receive_request(&self) -> bool {
        self.entries.values().any(|entry| entry.connection.may_receive_request())
    }

    /// Whether any established connection has unwritten output.
    pub fn has_unwritten_output(&self) -> bool {
        self.entries.values().any(|entry| entry.link.connected && entry.link.unwritten_bytes() > 0)
    }

    /// Waits for an event, or until `until`; calls connections and expired timers back, and returns the other events.
    ///
    /// # Errors
    /// The poll failed for a reason other than a signal.
    pub fn poll_once(&mut self, until: Option<Timestamp>, core: &mut Core) -> io::Result<Vec<Wakeup>> {
        let started = self.clock.reading();
        let timeout = self.poll_timeout(started.process_time, until);
        self.read_budget = ReadBudget::default();
        self.last_poll_empty = false;
        let polled = self
            .poll
            .poll(&mut self.events, timeout.map(|timeout| std::time::Duration::from_nanos(timeout.0)));
        match polled {
            // It reported no event; the next poll reports what has arrived meanwhile.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(vec![]),
            other => other?,
        }
        let mut wakeups = Vec::new();
        let ready: Vec<_> = self
            .events
            .iter()
            .map(|e| (e.token(), e.is_readable() || e.is_error(), e.is_read_closed()))
            .collect();
        self.arrival_bound = self.polled_at;
        if ready.len() < MAX_EVENTS_PER_POLL {
            self.polled_at = started;
        }
        let unhandled = std::mem::take(&mut self.unhandled);
        self.last_poll_empty = ready.is_empty() && unhandled.is_empty();
        for (token, readable, peer_closed) in ready {
            match token.0 {
                number if number < FIRST_PIPE_TOKEN => wakeups.push(Wakeup::Client(number)),
                number if (FIRST_SOCKET_TOKEN..FIRST_CONNECTION_TOKEN).contains(&number) => {
                    wakeups.push(Wakeup::Datagram(number - FIRST_SOCKET_TOKEN));
                }
                number if number < FIRST_CONNECTION_TOKEN => {
                    self.drain_pipe(number - FIRST_PIPE_TOKEN);
                    wakeups.push(Wakeup::Pipe(number - FIRST_PIPE_TOKEN));
                }
                _ => self.handle_connection_event(token, readable, peer_closed, core),
            }
        }
        for token in unhandled {
            self.handle_ready(token, true, self.arrival_bound, core);
        }
        let now = self.clock.now();
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            if let Some(entry) = self.entries.get_mut(&token) {
                entry.timer = None;
            }
            // Input that arrived before the timer expired counts, even if the event loop is late to read it.
            self.catch_up(token.0 as u64, core);
            let due = |entry: &mut Entry, context: &mut Context| match entry.deadline() {
                Some(at) if at <= context.now => entry.connection.on_timeout(&mut entry.link, context),
                _ => ControlFlow::Continue,
            };
            self.invoke(token, core, due);
        }
        Ok(wakeups)
    }

    fn handle_connection_event(&mut self, token: Token, readable: bool, peer_closed: bool, core: &mut Core) {
        // With input paused, the close would not be read from the stream. A peer that neither reads nor writes any more has
        // gone.
        if peer_closed && self.entries.get(&token).is_some_and(|entry| entry.link.is_input_paused()) {
            return self.close_for(token, CloseCause::Ended, core);
        }
        self.handle_ready(token, readable || peer_closed, self.arrival_bound, core);
        if self.entries.get(&token).is_some_and(|entry| entry.is_left(peer_closed)) {
            self.close_for(token, CloseCause::Ended, core);
        }
    }

    /// How long a poll that starts now may wait for an event.
    fn poll_timeout(&self, now: Timestamp, until: Option<Timestamp>) -> Option<Duration> {
        // Attempts that the last turn had no time to write, and messages that it left.
        if !self.writable.is_empty() || !self.unhandled.is_empty() {
            return Some(Duration(0));
        }
        let due = self.timers.first().map(|(at, _)| *at).into_iter().chain(until).min();
        // Rounded up, so that the poll doesn't return repeatedly just before a timer expires.
        let timeout = due.map(|at| Duration((at - now).0 + 50_000));
        if self.entries.is_empty() {
            return timeout;
        }
        Some(timeout.map_or(MAX_POLL_WAIT, |timeout| timeout.min(MAX_POLL_WAIT)))
    }

    /// Lower bound on the arrival of whatever this turn's poll reported: it had not arrived by then.
    pub fn arrival_bound(&self) -> ClockReading {
        self.arrival_bound
    }

    /// Lowers the arrival bound for the rest of this turn, because what is accepted now may have been waiting since
    /// then.
    pub fn lower_arrival_bound(&mut self, since: ClockReading) {
        if since.process_time < self.arrival_bound.process_time {
            self.arrival_bound = since;
        }
    }

    /// The next connection on which an attempt can be written, with the attempt.
    pub fn next_attempt(&mut self) -> Option<(u64, AttemptId)> {
        while let Some(token) = self.next_writable() {
            self.last_written = token;
            let Some(entry) = self.entries.get(&token) else { continue };
            if let Some(attempt) = entry.connection.next_attempt(&entry.link) {
                return Some((token.0 as u64, attempt));
            }
        }
        None
    }

    /// Removes and returns the connection after the last one in the round of those that may be writable.
    fn next_writable(&mut self) -> Option<Token> {
        let after_last = Token(self.last_written.0 + 1)..;
        let token = *self.writable.range(after_last).next().or(self.writable.first())?;
        self.writable.remove(&token);
        Some(token)
    }

    /// Whether the last poll reported no event and no message was left from earlier turns.
    pub fn last_poll_was_empty(&self) -> bool {
        self.last_poll_empty
    }

    fn drain_pipe(&mut self, pipe: usize) {
        let mut bytes = [0; 64];
        let Some(pipe) = self.pipes.get_mut(pipe) else { return };
        loop {
            match io::Read::read(pipe, &mut bytes) {
                Ok(size) if size > 0 => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// Handles a connection that may be ready, on which no unread input had arrived by `empty_at`.
    fn handle_ready(&mut self, token: Token, readable: bool, empty_at: ClockReading, core: &mut Core) {
        let mut budget = std::mem::take(&mut self.read_budget);
        self.invoke(token, core, |entry, context| {
            entry.link.arrivals.note_no_event(empty_at);
            let opened = entry.open_if_connected(context);
            if opened != ControlFlow::Continue || !entry.link.connected {
                return opened;
            }
            let Ok(flow) = entry.write_waiting(context) else { return ControlFlow::Close };
            if readable { entry.read_all(flow, &mut budget, context) } else { flow }
        });
        self.read_budget = budget;
        self.drop_partial_requests(core);
    }

    /// The time that is `span` from now.
    pub fn after(&self, span: Duration) -> Timestamp {
        self.now() + span
    }
}

#[cfg(test)]
mod tests;
