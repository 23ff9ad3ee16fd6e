//! Sockets: the clock, buffered links over TCP or Unix streams, and the reactor that calls connections back.

mod arrivals;
mod connection;
pub mod inherit;
mod momentary;
mod reactor;
mod receive;
mod sockets;

pub use connection::{Connection, Context, ControlFlow};
pub use momentary::{is_transient, retry_while_transient};
pub use reactor::{Reactor, Wakeup};
pub use sockets::MAX_DATAGRAMS_PER_TURN;

use crate::interface::{Duration, Timestamp};
use crate::request::CloseCause;
use arrivals::Arrivals;
use mio::event::Source;
use mio::net::{TcpStream, UnixStream};
use mio::{Interest, Registry, Token};
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time at the start plus the time since, so that a set clock moves no deadline.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    base: Timestamp,
    start: Start,
}

/// The process's clock at one moment, and how far the wall clock was ahead of it.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The time by the process's clock.
    pub own: Timestamp,
    /// By how many nanoseconds the wall clock was ahead; none where that is not known.
    pub wall_ahead: Option<i64>,
}

impl ClockReading {
    /// Before anything that is known of.
    pub const UNKNOWN: ClockReading = ClockReading { own: Timestamp(0), wall_ahead: None };
}

/// What the time since the start is read from.
#[derive(Clone, Copy, Debug)]
enum Start {
    /// A clock that may stand still while the machine sleeps.
    Monotonic(Instant),
    /// One that counts that time too, from when the machine came up.
    Boot(Duration),
}

impl SystemClock {
    /// A clock that starts at the system's present time.
    pub fn new() -> SystemClock {
        SystemClock { base: SystemClock::unix(), start: Start::Monotonic(Instant::now()) }
    }

    /// The same, but time in which the machine was stopped counts, as leases need it.
    pub fn counting_sleep() -> SystemClock {
        SystemClock { base: SystemClock::unix(), start: Start::Boot(SystemClock::boot()) }
    }

    fn unix() -> Timestamp {
        Timestamp(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64)
    }

    fn boot() -> Duration {
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration(at.tv_sec as u64 * 1_000_000_000 + at.tv_nsec as u64)
    }

    /// Unix time as the wall clock shows it now. It may be stepped at any time: only points in time from outside are
    /// compared with it.
    pub fn wall(&self) -> Timestamp {
        SystemClock::unix()
    }

    /// The present time by both clocks. The process's clock is looked at first: whoever turns a point in Unix time into one
    /// of the process's clock by it gets one that is too early, if any, where the process is stopped in between.
    pub fn reading(&self) -> ClockReading {
        let own = self.now();
        ClockReading { own, wall_ahead: Some(self.wall().0.wrapping_sub(own.0).cast_signed()) }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        let since = match self.start {
            Start::Monotonic(start) => Duration(start.elapsed().as_nanos() as u64),
            Start::Boot(start) => Duration(SystemClock::boot().0.saturating_sub(start.0)),
        };
        self.base + since
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

/// A stream of either kind.
#[derive(Debug)]
pub enum Stream {
    /// Over TCP.
    Tcp(TcpStream),
    /// Over a Unix socket.
    Unix(UnixStream),
}

impl Stream {
    fn source(&mut self) -> &mut dyn Source {
        match self {
            Stream::Tcp(stream) => stream,
            Stream::Unix(stream) => stream,
        }
    }

    /// Reads what there is, up to the buffer's size; and when the last byte came, in Unix time, if the kernel tells.
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<(usize, Option<Timestamp>)> {
        match self {
            Stream::Tcp(stream) => receive::receive(stream, buffer),
            Stream::Unix(stream) => Ok((stream.read(buffer)?, None)),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.write(bytes),
            Stream::Unix(stream) => stream.write(bytes),
        }
    }

    /// Says that nothing more is written.
    fn shut(&self) {
        let _ = match self {
            Stream::Tcp(stream) => stream.shutdown(Shutdown::Write),
            Stream::Unix(stream) => stream.shutdown(Shutdown::Write),
        };
    }

    /// Whether a connect has come through; an error says that it never will.
    fn connected(&mut self) -> io::Result<bool> {
        let (error, peer) = match self {
            Stream::Tcp(stream) => (stream.take_error()?, stream.peer_addr().map(drop)),
            Stream::Unix(stream) => (stream.take_error()?, stream.peer_addr().map(drop)),
        };
        match (error, peer) {
            (Some(error), _) => Err(error),
            (None, Ok(())) => Ok(true),
            (None, Err(e)) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
            (None, Err(e)) => Err(e),
        }
    }
}

/// Bytes taken from a socket at a time.
const CHUNK: usize = 16 << 10;

/// How much the two buffers of a connection may hold.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// Bytes that have been read and not yet used.
    pub input: usize,
    /// Bytes that wait to be written.
    pub output: usize,
}

/// A stream with its two buffers. Input beyond its limit and output that nobody reads hold reading back.
#[derive(Debug)]
pub struct Link {
    stream: Stream,
    token: Token,
    interest: Option<Interest>,
    /// Read and not yet used.
    pub input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    up: bool,
    /// The other side has closed its half.
    pub peer_closed: bool,
    limits: BufferLimits,
    /// Reading stopped short of what the socket had: it must be asked anew.
    held: bool,
    /// A write has failed: nothing more goes out, but what has come may be unread.
    write_failed: bool,
    /// Why the connection is to end, as the first to know has said.
    cause: Option<CloseCause>,
    arrivals: Arrivals,
}

impl Link {
    /// A link over a stream on which nothing had come by `empty_at`.
    fn new(stream: Stream, token: Token, up: bool, limits: BufferLimits, empty_at: ClockReading) -> Link {
        if let Stream::Tcp(stream) = &stream {
            receive::enable_timestamps(stream);
        }
        let (input, output) = (Vec::new(), Vec::new());
        let (interest, sent, peer_closed) = (None, 0, false);
        let (held, write_failed) = (false, false);
        Link {
            stream,
            token,
            interest,
            input,
            output,
            sent,
            up,
            peer_closed,
            limits,
            held,
            write_failed,
            cause: None,
            arrivals: Arrivals::new(empty_at),
        }
    }

    /// The connection's own number.
    pub fn id(&self) -> u64 {
        self.token.0 as u64
    }

    /// Whether the connection stands.
    pub fn is_connected(&self) -> bool {
        self.up
    }

    /// Says why the connection is to end; the first word counts.
    pub fn set_close_cause(&mut self, cause: CloseCause) {
        self.cause.get_or_insert(cause);
    }

    /// Why it ends, as far as that is known.
    pub fn close_cause(&self) -> CloseCause {
        match self.cause {
            Some(cause) => cause,
            None if self.write_failed => CloseCause::Broken,
            None if !self.up => CloseCause::NotConnected,
            None if self.peer_closed => CloseCause::Ended,
            None => CloseCause::Finished,
        }
    }

    /// Bytes that wait to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.output.len() - self.sent
    }

    /// Puts bytes in line to be written.
    pub fn enqueue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Whether bytes wait to be written of which none has gone to the system.
    pub fn none_written(&self) -> bool {
        self.sent == 0 && !self.output.is_empty()
    }

    /// Takes back what waits to be written. False where a part of it has gone: the other side has half a message then,
    /// and nothing more may be written.
    pub fn discard_output(&mut self) -> bool {
        let whole = self.sent == 0;
        (self.output, self.sent) = (Vec::new(), 0);
        whole
    }

    /// When that byte of the input came which `unused` others follow: what others count from its coming counts from here.
    pub fn arrived(&self, unused: usize) -> Timestamp {
        self.arrivals.arrived(unused)
    }

    /// Drops the first bytes of the input, which have been used.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        // Hundreds of connections must not each keep the room of their largest message.
        if self.input.capacity() > CHUNK + 2 * self.input.len() {
            self.input.shrink_to(self.input.len());
        }
    }

    /// Whether input is held back until the other side reads what it is owed.
    pub fn is_input_paused(&self) -> bool {
        self.unwritten_bytes() > self.limits.output || self.input.len() > self.limits.input
    }

    /// Whether a write has failed.
    fn write_failed(&self) -> bool {
        self.write_failed
    }

    /// Writes what the system takes; true once nothing waits.
    ///
    /// # Errors
    /// The connection is broken; nothing more can be written to it.
    pub fn flush(&mut self) -> io::Result<bool> {
        let flushed = self.write_out();
        self.write_failed |= flushed.is_err();
        flushed
    }

    fn write_out(&mut self) -> io::Result<bool> {
        while self.up && self.sent < self.output.len() {
            match self.stream.write(&self.output[self.sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if self.sent == self.output.len() {
            self.output.clear();
            self.sent = 0;
            if self.output.capacity() > CHUNK {
                self.output.shrink_to(4096);
            }
        }
        Ok(self.unwritten_bytes() == 0 && self.up)
    }

    /// Leaves the rest in the socket for now; it is told of again.
    fn hold(&mut self) {
        self.held = true;
    }

    /// Reads what there is, up to the limit; true if the socket has no more for now.
    fn fill(&mut self, clock: SystemClock) -> io::Result<bool> {
        let begun = clock.reading();
        let filled = self.read_chunks(clock);
        self.arrivals.note_read_end(begun, matches!(filled, Ok(true)));
        filled
    }

    fn read_chunks(&mut self, clock: SystemClock) -> io::Result<bool> {
        let mut chunk = [0u8; CHUNK];
        loop {
            if self.peer_closed {
                return Ok(true);
            }
            if self.is_input_paused() {
                self.held = true;
                return Ok(false);
            }
            match self.stream.receive(&mut chunk) {
                Ok((0, _)) => self.peer_closed = true,
                Ok((count, stamp)) => {
                    self.arrivals.note_bytes(count, stamp, clock.reading(), self.input.len());
                    self.input.extend_from_slice(&chunk[..count]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(true),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Tells the system what is waited for now.
    fn register(&mut self, registry: &Registry) -> io::Result<()> {
        let wanted = match (self.up, self.unwritten_bytes() > 0) {
            (false, _) => Interest::WRITABLE,
            (true, true) => Interest::READABLE | Interest::WRITABLE,
            (true, false) => Interest::READABLE,
        };
        // Events come once a change. Input that was left in the socket is only told of again if asked for.
        let again = self.held && !self.is_input_paused();
        if self.interest == Some(wanted) && !again {
            return Ok(());
        }
        self.held &= !again;
        let (token, first) = (self.token, self.interest.is_none());
        self.interest = Some(wanted);
        if first {
            registry.register(self.stream.source(), token, wanted)
        } else {
            registry.reregister(self.stream.source(), token, wanted)
        }
    }
}

#[cfg(test)]
mod tests;
