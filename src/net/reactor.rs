//! The reactor: one poll, all connections, their timers. Connections are objects that it calls back.

use super::{Link, Stream, SystemClock};
use crate::call::{Answer, AttemptId, Job};
use crate::chain::End;
use crate::core::Core;
use crate::fleet::Machine;
use crate::fleet::distribution::Node;
use crate::interface::{Span, Time};
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Events, Interest, Poll, Token};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Whether a connection goes on after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It does.
    Go,
    /// Nothing more is read; it ends once what is owed has been written.
    Finish,
    /// It ends now.
    Close,
}

/// What a callback may use.
pub struct Hub<'a> {
    /// The scheduler.
    pub core: &'a mut Core,
    /// The time at which the callback began.
    pub now: Time,
    /// For what must know the time at the moment.
    pub clock: SystemClock,
    /// Whether new calls are taken.
    pub ready: bool,
    /// Whether this daemon takes new calls on fronts of its host; see [`crate::vrrp`].
    pub active: bool,
    /// Whether clients are taken from the door; see [`crate::handover`].
    pub open: bool,
    /// This process's place in its fleet, if it has one.
    pub fleet: Option<Rc<RefCell<Machine>>>,
    /// Its place in a domain, if it has one.
    pub distribution: Option<Rc<RefCell<Node>>>,
}

/// A connection as an object: the reactor calls it back with what happens to it.
pub trait Connection {
    /// The connection stands.
    fn opened(&mut self, link: &mut Link, hub: &mut Hub) -> Flow;
    /// There is new input in the link, or the other side has ended its half.
    fn received(&mut self, link: &mut Link, hub: &mut Hub) -> Flow;
    /// Everything put in line has been handed to the system.
    fn flushed(&mut self, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }
    /// Bytes that were put in line long ago are about to go out, and none of them has: they may be taken back.
    fn unsent(&mut self, _link: &mut Link, _hub: &mut Hub) {}
    /// The time told by [`Connection::deadline`] has come.
    fn due(&mut self, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }
    /// When to be called back; asked after every callback.
    fn deadline(&self) -> Option<Time> {
        None
    }
    /// The connection has ended, by whichever side. Called once.
    fn closed(&mut self, link: &Link, hub: &mut Hub);
    /// The final answer of a call that came in here.
    fn answer(&mut self, _stream: u64, _answer: &Answer, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }
    /// The one end of a chain that came in here.
    fn chain_ended(&mut self, _stream: u64, _end: &End, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }
    /// A job for the worker at the other end.
    fn job(&mut self, _job: Job, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }
    /// Whether a job could be given now: its reference is not open here and there is room.
    fn accepts(&self, _reference: Option<&str>) -> bool {
        false
    }
    /// How many calls are open here.
    fn load(&self) -> usize {
        0
    }
    /// No new call is wanted here any more.
    fn leave(&mut self, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }
    /// Whether a call is half read here.
    fn partial(&self) -> bool {
        false
    }
    /// Whether a call is half read here, or may still come because none has.
    fn begun(&self) -> bool {
        false
    }
    /// Since when nothing is open here, so that it may be closed to make room; none while something is.
    fn idle(&self) -> Option<Time> {
        None
    }
    /// The attempt that is next in line here and could be written now. It is written only by
    /// [`Connection::proceed`], once its client's connection has been read.
    fn next_attempt(&self, _link: &Link) -> Option<AttemptId> {
        None
    }
    /// Writes the attempt that is next in line, if it may still go.
    fn proceed(&mut self, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }
}

/// What woke the reactor beside connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
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
    due: Option<Time>,
    finishing: bool,
    shut: bool,
    /// Bytes that have come and were thrown away since the connection is to end.
    wasted: usize,
}

impl Entry {
    /// Writes what the system takes; true once nothing waits.
    fn flush(&mut self, hub: &mut Hub) -> io::Result<bool> {
        if self.link.untouched() {
            self.connection.unsent(&mut self.link, hub);
        }
        self.link.flush()
    }
}

enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

/// Bytes taken from one connection in one turn of the loop, and those still taken from one that is to end: a
/// sender at full speed must not keep the others waiting, nor the processor busy with what nobody wants.
const TURN: usize = 256 << 10;
const WASTE: usize = 1 << 20;
/// Output that a connection may always have waiting.
const CLOGGED: usize = 64 << 10;

const PIPES: usize = 1 << 8;
const SOCKETS: usize = 1 << 9;
const FIRST: usize = 1 << 10;

/// See the module's page.
pub struct Reactor {
    poll: Poll,
    events: Events,
    clock: SystemClock,
    listeners: Vec<Option<Listener>>,
    pipes: Vec<mio::net::UnixStream>,
    sockets: Vec<Option<mio::net::UdpSocket>>,
    entries: HashMap<Token, Entry>,
    next: usize,
    timers: BTreeSet<(Time, Token)>,
    /// Connections on which an attempt can be written.
    proceeding: BTreeSet<Token>,
    /// Whether the last poll found nothing.
    quiet: bool,
    /// Bytes that wait to be written, on all connections together.
    waiting: usize,
    /// Beyond so many of them a connection that adds to them is closed, if its other side reads nothing.
    pub waiting_limit: usize,
    /// Callbacks are handed this; false while the scheduler is not ready.
    pub ready: bool,
    /// Callbacks are handed this too; false while another daemon is the active one.
    pub active: bool,
    /// And this; false while another process takes the clients.
    pub open: bool,
    /// And this; none where there is no fleet.
    pub fleet: Option<Rc<RefCell<Machine>>>,
    /// And this; none where nothing is distributed.
    pub distribution: Option<Rc<RefCell<Node>>>,
}

impl Reactor {
    /// A reactor without connections.
    pub fn new(clock: SystemClock) -> io::Result<Reactor> {
        Ok(Reactor {
            poll: Poll::new()?,
            events: Events::with_capacity(1024),
            clock,
            listeners: vec![],
            pipes: vec![],
            sockets: vec![],
            entries: HashMap::new(),
            next: FIRST,
            timers: BTreeSet::new(),
            proceeding: BTreeSet::new(),
            quiet: true,
            waiting: 0,
            waiting_limit: usize::MAX,
            ready: false,
            active: true,
            open: true,
            fleet: None,
            distribution: None,
        })
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Connections that stand or are coming up.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Listens on a TCP address; the listener's number, and the address with its port where any would do.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        Ok((self.add_listener(Listener::Tcp(listener))?, at))
    }

    /// A TCP socket that others may share: its number, and its address. Clients are taken from it once
    /// [`Reactor::take_from`] says so.
    pub fn listen_shared(&mut self, listener: std::net::TcpListener) -> io::Result<(usize, SocketAddr)> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener);
        let (number, at) = (self.listeners.len(), listener.local_addr()?);
        self.listeners.push(Some(Listener::Tcp(listener)));
        Ok((number, at))
    }

    /// Whether clients are taken from a listener. Those that come meanwhile wait in the system, where whoever
    /// shares the socket may take them.
    pub fn take_from(&mut self, listener: usize, taken: bool) -> io::Result<()> {
        let registry = self.poll.registry();
        match (self.listeners.get_mut(listener).and_then(Option::as_mut), taken) {
            (Some(Listener::Tcp(l)), true) => registry.register(l, Token(listener), Interest::READABLE),
            (Some(Listener::Tcp(l)), false) => registry.deregister(l),
            _ => Ok(()),
        }
    }

    /// Listens on a Unix socket that has been made; the listener's number.
    pub fn listen_unix(&mut self, listener: std::os::unix::net::UnixListener) -> io::Result<usize> {
        listener.set_nonblocking(true)?;
        self.add_listener(Listener::Unix(UnixListener::from_std(listener)))
    }

    fn add_listener(&mut self, mut listener: Listener) -> io::Result<usize> {
        let number = self.listeners.len();
        let registry = self.poll.registry();
        match &mut listener {
            Listener::Tcp(l) => registry.register(l, Token(number), Interest::READABLE)?,
            Listener::Unix(l) => registry.register(l, Token(number), Interest::READABLE)?,
        }
        self.listeners.push(Some(listener));
        Ok(number)
    }

    /// Listens there no longer.
    pub fn unlisten(&mut self, listener: usize) {
        let gone = self.listeners.get_mut(listener).and_then(Option::take);
        let _ = match gone {
            Some(Listener::Tcp(mut l)) => self.poll.registry().deregister(&mut l),
            Some(Listener::Unix(mut l)) => self.poll.registry().deregister(&mut l),
            None => Ok(()),
        };
    }

    /// Watches the reading end of a pipe; its number.
    pub fn watch(&mut self, pipe: StdUnixStream) -> io::Result<usize> {
        pipe.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(pipe);
        let number = self.pipes.len();
        self.poll.registry().register(&mut pipe, Token(PIPES + number), Interest::READABLE)?;
        self.pipes.push(pipe);
        Ok(number)
    }

    /// Hears datagrams at an address; the socket's number, and the address with its port.
    pub fn hear(&mut self, at: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let mut socket = mio::net::UdpSocket::bind(at)?;
        let (number, at) = (self.sockets.len(), socket.local_addr()?);
        self.poll.registry().register(&mut socket, Token(SOCKETS + number), Interest::READABLE)?;
        self.sockets.push(Some(socket));
        Ok((number, at))
    }

    /// Hears nothing there any more: its address is free for others.
    pub fn unhear(&mut self, socket: usize) {
        if let Some(mut socket) = self.sockets.get_mut(socket).and_then(Option::take) {
            let _ = self.poll.registry().deregister(&mut socket);
        }
    }

    /// The next datagram of a socket, with its sender and size, if there is one.
    pub fn datagram(&self, socket: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let socket = self.sockets.get(socket)?.as_ref()?;
        loop {
            match socket.recv_from(into) {
                Ok(taken) => return Some(taken),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // A peer that is down shows as an error of the socket; what else waits is still there.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::Interrupted) => {}
                Err(_) => return None,
            }
        }
    }

    /// Datagrams were left in a socket: it is to be told of again.
    pub fn hear_again(&mut self, socket: usize) {
        let token = Token(SOCKETS + socket);
        if let Some(Some(source)) = self.sockets.get_mut(socket) {
            let _ = self.poll.registry().reregister(source, token, Interest::READABLE);
        }
    }

    /// Sends a datagram; what the system does not take is lost, as datagrams may be.
    pub fn send_datagram(&self, socket: usize, bytes: &[u8], to: SocketAddr) {
        if let Some(Some(socket)) = self.sockets.get(socket) {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Takes the next client of a listener, if one waits.
    pub fn accept(&mut self, listener: usize) -> io::Result<Option<Stream>> {
        let taken = match &self.listeners[listener] {
            None => return Ok(None),
            Some(Listener::Tcp(l)) => l.accept().map(|(stream, _)| {
                let _ = stream.set_nodelay(true);
                Stream::Tcp(stream)
            }),
            Some(Listener::Unix(l)) => l.accept().map(|(stream, _)| Stream::Unix(stream)),
        };
        match taken {
            Ok(stream) => Ok(Some(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Begins a TCP connection.
    pub fn connect(&self, to: SocketAddr) -> io::Result<Stream> {
        let stream = TcpStream::connect(to)?;
        let _ = stream.set_nodelay(true);
        Ok(Stream::Tcp(stream))
    }

    /// Begins a connection to a Unix socket.
    pub fn connect_unix(&self, to: &Path) -> io::Result<Stream> {
        UnixStream::connect(to).map(Stream::Unix)
    }

    /// Adds a connection; `up` if it stands already. Its id, or none where it broke at once.
    pub fn add(
        &mut self,
        stream: Stream,
        connection: Box<dyn Connection>,
        up: bool,
        limits: (usize, usize),
        core: &mut Core,
    ) -> Option<u64> {
        let token = Token(self.next);
        self.next += 1;
        let link = Link::new(stream, token, up, limits);
        self.entries
            .insert(token, Entry { link, connection, due: None, finishing: false, shut: false, wasted: 0 });
        self.call(token, core, |entry, hub| match entry.link.up {
            true => entry.connection.opened(&mut entry.link, hub),
            false => Flow::Go,
        });
        self.entries.contains_key(&token).then_some(token.0 as u64)
    }

    /// What callbacks may use now.
    fn hub<'a>(&self, core: &'a mut Core) -> Hub<'a> {
        Hub {
            core,
            now: self.clock.now(),
            clock: self.clock,
            ready: self.ready,
            active: self.active,
            open: self.open,
            fleet: self.fleet.clone(),
            distribution: self.distribution.clone(),
        }
    }

    /// Calls a connection back, with panics caught: they end this connection alone.
    fn call(&mut self, token: Token, core: &mut Core, what: impl FnOnce(&mut Entry, &mut Hub) -> Flow) {
        let hub = &mut self.hub(core);
        let Some(entry) = self.entries.get_mut(&token) else { return };
        let before = entry.link.waiting();
        let flow = catch_unwind(AssertUnwindSafe(|| {
            let mut flow = what(entry, hub);
            // What was put in line goes out at once; a connection may put more whenever all has gone.
            while flow != Flow::Close && entry.link.up && entry.link.waiting() > 0 {
                match entry.flush(hub) {
                    Ok(true) => flow = flow.and(entry.connection.flushed(&mut entry.link, hub)),
                    Ok(false) => break,
                    Err(_) => flow = Flow::Close,
                }
            }
            flow
        }));
        let flow = flow.unwrap_or_else(|_| {
            hub.core.counters().panics += 1;
            tracing::error!("panic connection={} closed", token.0);
            Flow::Close
        });
        let after = entry.link.waiting();
        self.waiting = (self.waiting + after).saturating_sub(before);
        // Memory is bounded, and so is what those who do not read may hold of it.
        let clogged = self.waiting > self.waiting_limit && after > before && after > CLOGGED;
        let flow = if clogged { Flow::Close } else { flow };
        entry.finishing |= flow == Flow::Finish;
        // Closed with input unread, the system would throw away what the other side has not read yet: this
        // half is shut, and the rest waits for the other side's end or the connection's own deadline.
        if entry.finishing && entry.link.waiting() == 0 && !std::mem::replace(&mut entry.shut, true) {
            entry.link.stream.shut();
        }
        let done = flow == Flow::Close || entry.shut && entry.link.ended;
        if done || entry.link.register(self.poll.registry()).is_err() {
            return self.close(token, hub.core);
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
        self.waiting = self.waiting.saturating_sub(entry.link.waiting());
        if let Some(at) = entry.due {
            self.timers.remove(&(at, token));
        }
        let hub = &mut self.hub(core);
        let closed = catch_unwind(AssertUnwindSafe(|| entry.connection.closed(&entry.link, hub)));
        if closed.is_err() {
            hub.core.counters().panics += 1;
        }
        let _ = self.poll.registry().deregister(entry.link.stream.source());
    }

    /// Ends a connection from outside.
    pub fn end(&mut self, id: u64, core: &mut Core) {
        self.close(Token(id as usize), core);
    }

    /// Gives a connection something to do; false if it has gone.
    pub fn with(
        &mut self,
        id: u64,
        core: &mut Core,
        what: impl FnOnce(&mut dyn Connection, &mut Link, &mut Hub) -> Flow,
    ) -> bool {
        let token = Token(id as usize);
        let there = self.entries.contains_key(&token);
        self.call(token, core, |entry, hub| what(entry.connection.as_mut(), &mut entry.link, hub));
        there
    }

    /// Looks at a connection.
    pub fn look<T>(&self, id: u64, at: impl FnOnce(&dyn Connection) -> T) -> Option<T> {
        self.entries.get(&Token(id as usize)).map(|entry| at(entry.connection.as_ref()))
    }

    /// All connections.
    pub fn ids(&self) -> Vec<u64> {
        self.entries.keys().map(|token| token.0 as u64).collect()
    }

    /// Whether a call is half read on any connection, or may still come on a new one.
    pub fn begun(&self) -> bool {
        self.entries.values().any(|entry| entry.connection.begun())
    }

    /// Whether any connection still has something to write.
    pub fn unwritten(&self) -> bool {
        self.entries.values().any(|entry| entry.link.up && entry.link.waiting() > 0)
    }

    /// Waits until something happens or `until` comes, calls connections back, and returns the rest.
    pub fn turn(&mut self, until: Option<Time>, core: &mut Core) -> io::Result<Vec<Signal>> {
        let due = self.timers.first().map(|(at, _)| *at).into_iter().chain(until).min();
        // Rounded up, so that a timer is not asked for a little early again and again.
        let rest = due.map(|at| Duration::from_nanos((at - self.clock.now()).0 + 50_000));
        self.quiet = false;
        match self.poll.poll(&mut self.events, rest) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(vec![]),
            other => other?,
        }
        let mut signals = Vec::new();
        let ready: Vec<_> = self
            .events
            .iter()
            .map(|e| (e.token(), e.is_readable() || e.is_error(), e.is_read_closed()))
            .collect();
        self.quiet = ready.is_empty();
        for (token, readable, ended) in ready {
            match token.0 {
                number if number < PIPES => signals.push(Signal::Client(number)),
                number if (SOCKETS..FIRST).contains(&number) => {
                    signals.push(Signal::Datagram(number - SOCKETS))
                }
                number if number < FIRST => {
                    self.empty(number - PIPES);
                    signals.push(Signal::Pipe(number - PIPES));
                }
                // Whose input is held back would not be heard to close: who reads nothing and writes nothing
                // more has gone.
                _ if ended && self.entries.get(&token).is_some_and(|entry| entry.link.held_back()) => {
                    self.close(token, core);
                }
                _ => self.happened(token, readable || ended, core),
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
            let due = |entry: &mut Entry, hub: &mut Hub| match entry.connection.deadline() {
                Some(at) if at <= hub.now => entry.connection.due(&mut entry.link, hub),
                _ => Flow::Go,
            };
            self.call(token, core, due);
        }
        Ok(signals)
    }

    /// Reads what has come on a connection, without waiting for the poll to tell of it.
    pub fn catch_up(&mut self, id: u64, core: &mut Core) {
        let token = Token(id as usize);
        if self.entries.get(&token).is_some_and(|entry| entry.link.up) {
            self.happened(token, true, core);
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
    pub fn is_quiet(&self) -> bool {
        self.quiet
    }

    fn empty(&mut self, pipe: usize) {
        let mut bytes = [0; 64];
        while let Some(pipe) = self.pipes.get_mut(pipe)
            && matches!(io::Read::read(pipe, &mut bytes), Ok(n) if n > 0)
        {}
    }

    fn happened(&mut self, token: Token, readable: bool, core: &mut Core) {
        self.call(token, core, |entry, hub| {
            if !entry.link.up {
                let Entry { link, connection, .. } = entry;
                match link.stream.connected() {
                    Ok(true) => link.up = true,
                    Ok(false) => return Flow::Go,
                    Err(_) => return Flow::Close,
                }
                let flow = connection.opened(link, hub);
                if flow != Flow::Go {
                    return flow;
                }
            }
            let mut flow = Flow::Go;
            if entry.link.waiting() > 0 {
                match entry.flush(hub) {
                    Ok(true) => flow = entry.connection.flushed(&mut entry.link, hub),
                    Ok(false) => {}
                    Err(_) => return Flow::Close,
                }
            }
            if !readable {
                return flow;
            }
            let Entry { link, connection, finishing, wasted, .. } = entry;
            // Edge-triggered: read until the socket has no more, in turns with the connection's own work and
            // with other connections.
            let mut taken = 0;
            loop {
                let held = link.inbox.len();
                let all = match link.fill() {
                    Ok(all) => all,
                    Err(_) => return Flow::Close,
                };
                taken += link.inbox.len() - held;
                if *finishing {
                    *wasted += link.inbox.len();
                    link.inbox.clear();
                    if *wasted > WASTE {
                        return Flow::Close;
                    }
                } else if link.inbox.len() > held || link.ended {
                    flow = flow.and(connection.received(link, hub));
                }
                if all || flow != Flow::Go || link.held_back() {
                    return flow;
                }
                if taken > TURN {
                    link.hold();
                    return flow;
                }
            }
        });
    }

    /// Closes the connection that has had nothing open for longest, if there is one: whoever will use it again
    /// has most likely done so before. One on which something has come that is still to be read is not idle, and one
    /// with half a call goes after all others.
    pub fn shed_idle(&mut self, core: &mut Core) -> bool {
        for _ in 0..self.entries.len() {
            let rank = |entry: &Entry| Some((entry.connection.partial(), entry.connection.idle()?));
            let idle = self.entries.iter().filter_map(|(token, entry)| Some((rank(entry)?, *token)));
            let Some((before, token)) = idle.min() else { return false };
            self.catch_up(token.0 as u64, core);
            if self.entries.get(&token).and_then(rank) == Some(before) {
                self.close(token, core);
            }
            // Gone by itself makes room as well.
            if !self.entries.contains_key(&token) {
                return true;
            }
        }
        false
    }

    /// A span as the reactor's own absolute time.
    pub fn after(&self, span: Span) -> Time {
        self.now() + span
    }
}

impl Flow {
    /// The stricter of the two.
    pub fn and(self, other: Flow) -> Flow {
        match (self, other) {
            (Flow::Close, _) | (_, Flow::Close) => Flow::Close,
            (Flow::Finish, _) | (_, Flow::Finish) => Flow::Finish,
            _ => Flow::Go,
        }
    }
}

#[cfg(test)]
mod tests;
