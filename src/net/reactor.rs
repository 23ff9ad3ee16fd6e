//! The reactor: one poll, all connections, their timers. Connections are objects that it calls back.

use super::connection::{Connection, Context, ControlFlow};
use super::{BufferLimits, ClockReading, Link, Stream, SystemClock};
use crate::core::Core;
use crate::fleet::FleetNode;
use crate::fleet::distribution::DistributionNode;
use crate::interface::{Duration, Timestamp};
use crate::request::{AttemptId, CloseCause};
use mio::net::{TcpListener, UnixListener};
use mio::{Events, Poll, Token};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// What woke the reactor beside connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    /// A client has come in at the listener of this number.
    Client(usize),
    /// The pipe of this number has something.
    Pipe(usize),
    /// The UDP socket of this number has something.
    Datagram(usize),
}

struct Entry {
    link: Link,
    connection: Box<dyn Connection>,
    due: Option<Timestamp>,
    finishing: bool,
    shut: bool,
    /// Bytes that have come and were thrown away since the connection is to end.
    wasted: usize,
}

impl Entry {
    /// Writes what the system takes; true once nothing waits.
    fn flush(&mut self, context: &mut Context) -> io::Result<bool> {
        if self.link.none_written() {
            self.connection.before_first_byte(&mut self.link, context);
        }
        self.link.flush()
    }

    /// A dial that has come up is told to the connection.
    fn open_if_connected(&mut self, context: &mut Context) -> ControlFlow {
        if self.link.up {
            return ControlFlow::Continue;
        }
        match self.link.stream.connected() {
            Ok(true) => self.link.up = true,
            Ok(false) => return ControlFlow::Continue,
            Err(_) => return ControlFlow::Close,
        }
        self.connection.opened(&mut self.link, context)
    }

    /// Writes what waits; the connection may put more in line once all has gone.
    fn write_waiting(&mut self, context: &mut Context) -> io::Result<ControlFlow> {
        if self.link.unwritten_bytes() == 0 || !self.flush(context)? {
            return Ok(ControlFlow::Continue);
        }
        Ok(self.connection.flushed(&mut self.link, context))
    }

    /// Reads until the socket has no more, for it tells of input only once; in turns with the connection's own work
    /// and with other connections.
    fn read_all(&mut self, mut flow: ControlFlow, context: &mut Context) -> ControlFlow {
        let mut taken = 0;
        loop {
            let held = self.link.input.len();
            let filled = self.link.fill(context.clock);
            // What had come whole before it broke counts, whatever the break is called.
            self.link.peer_closed |= filled.is_err();
            let more = self.link.input.len() - held;
            taken += more;
            if self.finishing {
                self.wasted += self.link.input.len();
                self.link.input.clear();
                if self.wasted > WASTE {
                    self.link.set_close_cause(CloseCause::Unreadable);
                    return ControlFlow::Close;
                }
            } else if more > 0 || self.link.peer_closed {
                flow = flow.and(self.connection.received(&mut self.link, context));
            }
            let Ok(all) = filled else {
                self.link.set_close_cause(CloseCause::Broken);
                return ControlFlow::Close;
            };
            if all || flow != ControlFlow::Continue || self.link.is_input_paused() {
                return flow;
            }
            if taken > TURN {
                self.link.hold();
                return flow;
            }
        }
    }
}

pub(super) enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

/// Bytes taken from one connection in one turn of the loop, and those still taken from one that is to end: a
/// sender at full speed must not keep the others waiting, nor the processor busy with what nobody wants.
const TURN: usize = 256 << 10;
const WASTE: usize = 1 << 20;
/// The longest wait of a poll while there are connections: what a poll tells of came after the one before it had begun, and
/// where the kernel does not tell when, that is all that is known.
const MAX_WAIT: Duration = Duration::millis(30);
/// Events that one poll tells of.
const EVENTS: usize = 1024;
/// Output that a connection may always have waiting.
const CLOGGED: usize = 64 << 10;

pub(super) const PIPES: usize = 1 << 8;
pub(super) const SOCKETS: usize = 1 << 9;
const FIRST: usize = 1 << 10;

/// See the module's page.
pub struct Reactor {
    pub(super) poll: Poll,
    events: Events,
    clock: SystemClock,
    pub(super) listeners: Vec<Option<Listener>>,
    pub(super) pipes: Vec<mio::net::UnixStream>,
    pub(super) sockets: Vec<Option<mio::net::UdpSocket>>,
    entries: HashMap<Token, Entry>,
    next: usize,
    timers: BTreeSet<(Timestamp, Token)>,
    /// Connections on which an attempt can be written.
    proceeding: BTreeSet<Token>,
    /// Whether the last poll found nothing.
    quiet: bool,
    /// When the last poll began that told of all there was: what it did not tell of had not come by then.
    polled_at: ClockReading,
    /// When the one before it began: what the last poll told of had not come by then.
    arrival_bound: ClockReading,
    /// Bytes that wait to be written, on all connections together.
    waiting: usize,
    /// Beyond so many of them a connection that adds to them is closed, if its other side reads nothing.
    pub max_unwritten_bytes: usize,
    /// Callbacks are handed this; false while the scheduler is not ready.
    pub ready: bool,
    /// Callbacks are handed this too; false while another daemon is the active one.
    pub active: bool,
    /// And this; false while another process takes the clients.
    pub accepting: bool,
    /// And this; none where there is no fleet.
    pub fleet: Option<Rc<RefCell<FleetNode>>>,
    /// And this; none where nothing is distributed.
    pub distribution: Option<Rc<RefCell<DistributionNode>>>,
}

impl Reactor {
    /// A reactor without connections.
    ///
    /// # Errors
    /// The system gives no poll.
    pub fn new(clock: SystemClock) -> io::Result<Reactor> {
        let now = clock.reading();
        Ok(Reactor {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS),
            clock,
            listeners: vec![],
            pipes: vec![],
            sockets: vec![],
            entries: HashMap::new(),
            next: FIRST,
            timers: BTreeSet::new(),
            proceeding: BTreeSet::new(),
            quiet: true,
            polled_at: now,
            arrival_bound: now,
            waiting: 0,
            max_unwritten_bytes: usize::MAX,
            ready: false,
            active: true,
            accepting: true,
            fleet: None,
            distribution: None,
        })
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Unix time by the wall clock; see [`SystemClock::wall`].
    pub fn wall(&self) -> Timestamp {
        self.clock.wall()
    }

    /// Connections that stand or are coming up.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Adds a connection; `up` if it stands already. Its id, or none where it broke at once.
    pub fn add(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        up: bool,
        limits: BufferLimits,
        core: &mut Core,
    ) -> Option<u64> {
        let token = Token(self.next);
        self.next += 1;
        // A client may have waited to be accepted for as long as its listener was not told of.
        let link = Link::new(stream, token, up, limits, self.arrival_bound);
        self.entries
            .insert(token, Entry { link, connection, due: None, finishing: false, shut: false, wasted: 0 });
        self.call(token, core, |entry, context| {
            if entry.link.up {
                entry.connection.opened(&mut entry.link, context)
            } else {
                ControlFlow::Continue
            }
        });
        // What has come by now came before this moment, and what comes later is told of when it comes.
        if up {
            self.catch_up(token.0 as u64, core);
        }
        self.entries.contains_key(&token).then_some(token.0 as u64)
    }

    /// What callbacks may use now.
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

    /// Calls a connection back, with panics caught: they end this connection alone.
    fn call(
        &mut self,
        token: Token,
        core: &mut Core,
        what: impl FnOnce(&mut Entry, &mut Context) -> ControlFlow,
    ) {
        let context = &mut self.context(core);
        let Some(entry) = self.entries.get_mut(&token) else { return };
        let before = entry.link.unwritten_bytes();
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let mut flow = what(entry, context);
            // What was put in line goes out at once; a connection may put more whenever all has gone.
            while flow != ControlFlow::Close && entry.link.up && entry.link.unwritten_bytes() > 0 {
                match entry.flush(context) {
                    Ok(true) => flow = flow.and(entry.connection.flushed(&mut entry.link, context)),
                    Ok(false) => break,
                    Err(_) => flow = ControlFlow::Close,
                }
            }
            // The other side may have said something before it went, which lies unread.
            if entry.link.write_failed() {
                entry.read_all(ControlFlow::Continue, context);
                flow = ControlFlow::Close;
            }
            flow
        }));
        let flow = flow.unwrap_or_else(|_| {
            context.core.counters().panics += 1;
            tracing::error!("panic connection={} closed", token.0);
            entry.link.set_close_cause(CloseCause::Fault);
            ControlFlow::Close
        });
        let after = entry.link.unwritten_bytes();
        self.waiting = (self.waiting + after).saturating_sub(before);
        // Memory is bounded, and so is what those who do not read may hold of it.
        let clogged = self.waiting > self.max_unwritten_bytes && after > before && after > CLOGGED;
        let flow = if clogged { ControlFlow::Close } else { flow };
        if clogged {
            entry.link.set_close_cause(CloseCause::Clogged);
        }
        entry.finishing |= flow == ControlFlow::Finish;
        // Closed with input unread, the system would throw away what the other side has not read yet: this
        // half is shut, and the rest waits for the other side's end or the connection's own deadline.
        if entry.finishing && entry.link.unwritten_bytes() == 0 && !std::mem::replace(&mut entry.shut, true) {
            entry.link.stream.shut();
        }
        let done = flow == ControlFlow::Close || entry.shut && entry.link.peer_closed;
        if done || entry.link.register(self.poll.registry()).is_err() {
            return self.close(token, context.core);
        }
        if entry.connection.next_attempt(&entry.link).is_some() {
            self.proceeding.insert(token);
        }
        let due = entry.connection.deadline();
        if due != entry.due {
            if let Some(at) = entry.due.take() {
                self.timers.remove(&(at, token));
            }
            if let Some(at) = due {
                self.timers.insert((at, token));
            }
            entry.due = due;
        }
    }

    fn close(&mut self, token: Token, core: &mut Core) {
        let Some(mut entry) = self.entries.remove(&token) else { return };
        self.waiting = self.waiting.saturating_sub(entry.link.unwritten_bytes());
        if let Some(at) = entry.due {
            self.timers.remove(&(at, token));
        }
        let (cause, kind, connection) = (entry.link.close_cause(), entry.connection.kind(), token.0);
        core.counters().close(cause);
        tracing::debug!(connection, kind, ?cause, "closed");
        let context = &mut self.context(core);
        let closed = catch_unwind(AssertUnwindSafe(|| entry.connection.closed(&entry.link, context)));
        if closed.is_err() {
            context.core.counters().panics += 1;
        }
        let _ = self.poll.registry().deregister(entry.link.stream.source());
    }

    /// Ends a connection from outside.
    pub fn close_replaced(&mut self, id: u64, core: &mut Core) {
        self.close_for(Token(id as usize), CloseCause::Replaced, core);
    }

    fn close_for(&mut self, token: Token, cause: CloseCause, core: &mut Core) {
        if let Some(entry) = self.entries.get_mut(&token) {
            entry.link.set_close_cause(cause);
        }
        self.close(token, core);
    }

    /// Gives a connection something to do; false if it has gone.
    pub fn with_connection(
        &mut self,
        id: u64,
        core: &mut Core,
        what: impl FnOnce(&mut dyn Connection, &mut Link, &mut Context) -> ControlFlow,
    ) -> bool {
        let token = Token(id as usize);
        let there = self.entries.contains_key(&token);
        self.call(token, core, |entry, context| what(entry.connection.as_mut(), &mut entry.link, context));
        there
    }

    /// Looks at a connection.
    pub fn inspect<T>(&self, id: u64, at: impl FnOnce(&dyn Connection) -> T) -> Option<T> {
        self.entries.get(&Token(id as usize)).map(|entry| at(entry.connection.as_ref()))
    }

    /// All connections.
    pub fn ids(&self) -> Vec<u64> {
        self.entries.keys().map(|token| token.0 as u64).collect()
    }

    /// Whether a request is half read on any connection, or may still come on a new one.
    pub fn may_receive_request(&self) -> bool {
        self.entries.values().any(|entry| entry.connection.may_receive_request())
    }

    /// Whether any connection still has something to write.
    pub fn has_unwritten_output(&self) -> bool {
        self.entries.values().any(|entry| entry.link.up && entry.link.unwritten_bytes() > 0)
    }

    /// Waits until something happens or `until` comes, calls connections back, and returns the rest.
    ///
    /// # Errors
    /// The wait failed for another reason than a signal.
    pub fn poll_once(&mut self, until: Option<Timestamp>, core: &mut Core) -> io::Result<Vec<Wakeup>> {
        let due = self.timers.first().map(|(at, _)| *at).into_iter().chain(until).min();
        let begun = self.clock.reading();
        // Rounded up, so that a timer is not asked for a little early again and again.
        let rest = due.map(|at| Duration((at - begun.own).0 + 50_000));
        let rest = if self.entries.is_empty() {
            rest
        } else {
            Some(rest.map_or(MAX_WAIT, |rest| rest.min(MAX_WAIT)))
        };
        self.quiet = false;
        let polled =
            self.poll.poll(&mut self.events, rest.map(|rest| std::time::Duration::from_nanos(rest.0)));
        match polled {
            // It has told of nothing: what has come meanwhile is found by the next one.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(vec![]),
            other => other?,
        }
        let mut signals = Vec::new();
        let ready: Vec<_> = self
            .events
            .iter()
            .map(|e| (e.token(), e.is_readable() || e.is_error(), e.is_read_closed()))
            .collect();
        self.arrival_bound = self.polled_at;
        if ready.len() < EVENTS {
            self.polled_at = begun;
        }
        self.quiet = ready.is_empty();
        for (token, readable, ended) in ready {
            match token.0 {
                number if number < PIPES => signals.push(Wakeup::Client(number)),
                number if (SOCKETS..FIRST).contains(&number) => {
                    signals.push(Wakeup::Datagram(number - SOCKETS));
                }
                number if number < FIRST => {
                    self.empty(number - PIPES);
                    signals.push(Wakeup::Pipe(number - PIPES));
                }
                // Whose input is held back would not be heard to close: who reads nothing and writes nothing
                // more has gone.
                _ if ended && self.entries.get(&token).is_some_and(|entry| entry.link.is_input_paused()) => {
                    self.close_for(token, CloseCause::Ended, core);
                }
                _ => self.happened(token, readable || ended, self.arrival_bound, core),
            }
        }
        let now = self.clock.now();
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            if let Some(entry) = self.entries.get_mut(&token) {
                entry.due = None;
            }
            // What came before the time was up counts, also where this loop is late to read it.
            self.catch_up(token.0 as u64, core);
            let due = |entry: &mut Entry, context: &mut Context| match entry.connection.deadline() {
                Some(at) if at <= context.now => entry.connection.on_timeout(&mut entry.link, context),
                _ => ControlFlow::Continue,
            };
            self.call(token, core, due);
        }
        Ok(signals)
    }

    /// What this turn's poll told of had not come by then.
    pub fn arrival_bound(&self) -> ClockReading {
        self.arrival_bound
    }

    /// What comes in for the rest of this turn may have waited since then.
    pub fn lower_arrival_bound(&mut self, since: ClockReading) {
        if since.own < self.arrival_bound.own {
            self.arrival_bound = since;
        }
    }

    /// Reads what has come on a connection, without waiting for the poll to tell of it.
    pub fn catch_up(&mut self, id: u64, core: &mut Core) {
        let token = Token(id as usize);
        if self.entries.get(&token).is_some_and(|entry| entry.link.up) {
            self.happened(token, true, self.polled_at, core);
        }
    }

    /// The next connection on which an attempt can be written, and the attempt.
    pub fn next_attempt(&mut self) -> Option<(u64, AttemptId)> {
        while let Some(token) = self.proceeding.pop_first() {
            let Some(entry) = self.entries.get(&token) else { continue };
            if let Some(attempt) = entry.connection.next_attempt(&entry.link) {
                return Some((token.0 as u64, attempt));
            }
        }
        None
    }

    /// Whether the last turn found nothing that had come.
    pub fn last_poll_was_empty(&self) -> bool {
        self.quiet
    }

    fn empty(&mut self, pipe: usize) {
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

    /// Something may be done on a connection, on which nothing had come by `empty_at` that was not read.
    fn happened(&mut self, token: Token, readable: bool, empty_at: ClockReading, core: &mut Core) {
        self.call(token, core, |entry, context| {
            entry.link.arrivals.note_nothing_told(empty_at);
            let opened = entry.open_if_connected(context);
            if opened != ControlFlow::Continue || !entry.link.up {
                return opened;
            }
            let Ok(flow) = entry.write_waiting(context) else { return ControlFlow::Close };
            if readable { entry.read_all(flow, context) } else { flow }
        });
    }

    /// Closes the connection that has had nothing open for longest, if there is one: whoever will use it again
    /// has most likely done so before. One on which something has come that is still to be read is not idle, and one
    /// with half a request goes after all others.
    pub fn close_longest_idle(&mut self, core: &mut Core) -> bool {
        for _ in 0..self.entries.len() {
            let rank = |entry: &Entry| {
                Some((entry.connection.has_partial_request(), entry.connection.idle_since()?))
            };
            let idle = self.entries.iter().filter_map(|(token, entry)| Some((rank(entry)?, *token)));
            let Some((before, token)) = idle.min() else { return false };
            self.catch_up(token.0 as u64, core);
            if self.entries.get(&token).and_then(rank) == Some(before) {
                self.close_for(token, CloseCause::MadeRoom, core);
            }
            // Gone by itself makes room as well.
            if !self.entries.contains_key(&token) {
                return true;
            }
        }
        false
    }

    /// A span as the reactor's own absolute time.
    pub fn after(&self, span: Duration) -> Timestamp {
        self.now() + span
    }
}

#[cfg(test)]
mod tests;
