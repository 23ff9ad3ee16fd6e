//! Sockets: the process's clock, buffered TCP and Unix streams, and the reactor that drives connections.

mod arrivals;
mod clock;
mod connection;
pub mod inherit;
mod momentary;
mod output;
mod reactor;
mod receive;
mod sockets;

pub use clock::{ClockReading, SystemClock};
pub use connection::{Connection, Context, ControlFlow};
pub use momentary::{is_transient, retry_while_transient};
pub use reactor::{Reactor, Wakeup};
pub use sockets::MAX_DATAGRAMS_PER_TURN;

use crate::interface::Timestamp;
use crate::request::CloseCause;
use arrivals::Arrivals;
use mio::event::Source;
use mio::net::{TcpStream, UnixStream};
use mio::{Interest, Registry, Token};
use output::OutputQueue;
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// A TCP or Unix stream.
#[derive(Debug)]
pub enum Stream {
    /// A TCP stream.
    Tcp(TcpStream),
    /// A Unix stream.
    Unix(UnixStream),
}

impl Stream {
    fn source(&mut self) -> &mut dyn Source {
        match self {
            Stream::Tcp(stream) => stream,
            Stream::Unix(stream) => stream,
        }
    }

    /// Reads available bytes, up to the buffer's size. Returns their number and, if the kernel supplies it, the Unix
    /// time at which the last of them was received.
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

    /// Shuts down the write half.
    fn shutdown_write(&self) {
        let _ = match self {
            Stream::Tcp(stream) => stream.shutdown(Shutdown::Write),
            Stream::Unix(stream) => stream.shutdown(Shutdown::Write),
        };
    }

    /// Whether a non-blocking connect has succeeded.
    ///
    /// # Errors
    /// The connect has failed.
    fn is_connected(&mut self) -> io::Result<bool> {
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

/// Bytes read from a socket in one call.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Memory for input that a connection keeps while it has no input.
const KEPT_INPUT_BYTES: usize = 1 << 10;
/// Input up to this size takes no more memory than its bytes. Longer input grows by doubling, so that it is not copied for
/// each read.
const MAX_EXACT_INPUT_BYTES: usize = 128 << 10;

/// Limits in bytes on the two buffers of a connection.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// Bytes read and not yet consumed.
    pub input: usize,
    /// Bytes waiting to be written.
    pub output: usize,
}

/// Unwritten output that a connection may have at any time, however much all connections together have.
const MIN_OUTPUT_BYTES: usize = 64 << 10;
/// Longest message that counts as short: an answer without a body.
const MAX_SHORT_MESSAGE_BYTES: usize = 1 << 10;

/// How much unwritten output all connections together have, compared with the memory for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutputPressure {
    /// There is memory left.
    #[default]
    None,
    /// The memory is used up: only connections with little unwritten output may add to it.
    High,
    /// The reserve beyond it is used up as well: only short messages may be added.
    Critical,
}

/// A stream with an input and an output buffer. Reading pauses while either buffer is over its limit.
///
/// The peer has time limits for its next step, for example to complete a message. They count from
/// [`Link::accountable_since`], because a peer that this process does not read, or that is still reading what was sent
/// to it, is not late.
#[derive(Debug)]
pub struct Link {
    stream: Stream,
    token: Token,
    interest: Option<Interest>,
    /// Bytes read and not yet consumed.
    pub input: Vec<u8>,
    output: OutputQueue,
    connected: bool,
    /// The peer has closed its write half.
    pub peer_closed: bool,
    limits: BufferLimits,
    /// Reading stopped before the socket was empty, so the stream must be registered again to be reported.
    rest_unread: bool,
    /// A write has failed: nothing more can be written, but there may be unread input.
    write_failed: bool,
    /// Why the connection is to be closed; the first cause set is kept.
    cause: Option<CloseCause>,
    arrivals: Arrivals,
    /// Messages that may be unwritten without a pause in reading, whatever their size.
    allowed_messages: usize,
    /// Whether the peer has taken output since [`Link::note_progress`] was last called.
    output_taken: bool,
    /// When the peer last took output, or the connection was created.
    last_output_progress: Timestamp,
    /// When the input had last been read to its end after some had been left unread.
    caught_up_at: Timestamp,
    /// How much unwritten output all connections together have.
    output_pressure: OutputPressure,
    /// Bytes of answers that the connection holds back until others are there.
    held_output: usize,
    /// Whether complete messages are left in the input for a later turn.
    messages_left: bool,
}

impl Link {
    /// Creates a link over a stream on which nothing had arrived by `empty_at`.
    fn new(
        stream: Stream,
        token: Token,
        connected: bool,
        limits: BufferLimits,
        empty_at: ClockReading,
    ) -> Link {
        if let Stream::Tcp(stream) = &stream {
            receive::enable_timestamps(stream);
        }
        Link {
            stream,
            token,
            interest: None,
            input: Vec::new(),
            output: OutputQueue::default(),
            connected,
            peer_closed: false,
            limits,
            rest_unread: false,
            write_failed: false,
            cause: None,
            arrivals: Arrivals::new(empty_at),
            allowed_messages: 0,
            output_taken: false,
            last_output_progress: empty_at.process_time,
            caught_up_at: empty_at.process_time,
            output_pressure: OutputPressure::None,
            held_output: 0,
            messages_left: false,
        }
    }

    /// The connection's ID.
    pub fn id(&self) -> u64 {
        self.token.0 as u64
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Sets why the connection is to be closed; the first cause set is kept.
    pub fn set_close_cause(&mut self, cause: CloseCause) {
        self.cause.get_or_insert(cause);
    }

    /// Why the connection closes: the cause that was set, otherwise the one its state implies.
    pub fn close_cause(&self) -> CloseCause {
        match self.cause {
            Some(cause) => cause,
            None if self.write_failed => CloseCause::Broken,
            None if !self.connected => CloseCause::NotConnected,
            None if self.peer_closed => CloseCause::Ended,
            None => CloseCause::Finished,
        }
    }

    /// Bytes waiting to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.output.len()
    }

    /// Notes that the connection holds back this many more bytes of answers, which count as output.
    pub fn hold_output(&mut self, bytes: usize) {
        self.held_output += bytes;
    }

    /// Notes that the connection no longer holds back so many bytes of answers.
    pub fn release_output(&mut self, bytes: usize) {
        self.held_output -= bytes;
    }

    /// Bytes waiting to be written, with those that the connection holds back.
    fn buffered_output(&self) -> usize {
        self.unwritten_bytes() + self.held_output
    }

    /// Messages of which some bytes wait to be written.
    pub fn unwritten_messages(&self) -> usize {
        self.output.message_count()
    }

    /// Lets the peer leave so many messages unread, whatever their size, before reading pauses. A peer whose protocol
    /// limits its open requests to this number then never has its input left unread.
    pub fn allow_unwritten_messages(&mut self, count: usize) {
        self.allowed_messages = count;
    }

    /// Appends a message to the output buffer.
    pub fn enqueue(&mut self, message: &[u8]) {
        self.output.push(message);
    }

    /// Whether a message of this size may be added to the output, given what all connections together have.
    pub fn has_output_room(&self, message_bytes: usize) -> bool {
        let limit = match self.output_pressure {
            OutputPressure::None => return true,
            OutputPressure::High => MIN_OUTPUT_BYTES,
            OutputPressure::Critical => MAX_SHORT_MESSAGE_BYTES,
        };
        self.buffered_output() + message_bytes <= limit
    }

    /// Whether there is output of which no byte has been written to the socket.
    pub fn none_written(&self) -> bool {
        self.output.none_written()
    }

    /// Discards the unwritten output. Returns false if a part of it was already written: the peer then has half a
    /// message, and nothing more may be written.
    pub fn discard_output(&mut self) -> bool {
        self.output.discard()
    }

    /// When the peer last took output that had been waiting, or the connection was created.
    pub fn last_output_progress(&self) -> Timestamp {
        self.last_output_progress
    }

    /// The time from which the time limits for the peer's next input count: it has taken output and its input has been
    /// read to the end. `None` while input may be unread.
    pub fn accountable_since(&self) -> Option<Timestamp> {
        self.is_drained().then(|| self.caught_up_at.max(self.last_output_progress))
    }

    /// Whether the last read found the end of the input, and its complete messages have been handled.
    fn is_drained(&self) -> bool {
        self.arrivals.is_drained() && !self.messages_left
    }

    /// Sets whether complete messages are left in the input. They are handled in a later turn, once the peer does not leave
    /// too much output unread; nothing more is read before.
    pub fn leave_messages(&mut self, left: bool) {
        self.messages_left = left;
    }

    /// The earliest time at which a message that has not been handled may have arrived; `None` if there is none.
    fn unhandled_since(&self) -> Option<Timestamp> {
        if self.messages_left {
            return Some(self.arrival_time(self.input.len() - 1));
        }
        (!self.arrivals.is_drained()).then(|| self.arrivals.empty_at())
    }

    /// Whether complete messages are left in the input.
    pub fn has_messages_left(&self) -> bool {
        self.messages_left
    }

    /// Records that the peer has taken output since the last call, if it has.
    fn note_progress(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.output_taken) {
            self.last_output_progress = now;
        }
    }

    /// When the input byte that is followed by `unused` others arrived. Deadlines relative to a message's arrival count
    /// from this time.
    pub fn arrival_time(&self, unused: usize) -> Timestamp {
        self.arrivals.arrival_time(unused)
    }

    /// Drops the first `count` bytes of the input.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        // Hundreds of connections must not each keep the capacity of their largest message.
        if self.input.capacity() > KEPT_INPUT_BYTES + 2 * self.input.len() {
            self.input.shrink_to_fit();
        }
    }

    /// Drops the whole input with its memory.
    pub fn drop_input(&mut self) {
        self.input = Vec::new();
    }

    /// Appends to the input, without the spare memory that a growing vector would take: a connection may wait long for the
    /// rest of a message.
    fn append_input(&mut self, bytes: &[u8]) {
        let new_length = self.input.len() + bytes.len();
        if new_length <= MAX_EXACT_INPUT_BYTES {
            self.input.reserve_exact(bytes.len());
        }
        self.input.extend_from_slice(bytes);
    }

    /// Whether reading is paused, because the peer does not read its output, or the input buffer is full or has messages
    /// that are to be handled first.
    pub fn is_input_paused(&self) -> bool {
        self.is_output_unread() || self.messages_left || self.input.len() > self.limits.input
    }

    /// Whether the peer leaves more output unread than it may.
    pub fn is_output_unread(&self) -> bool {
        self.unwritten_bytes() > self.limits.output && self.unwritten_messages() > self.allowed_messages
    }

    /// Whether a write has failed.
    fn write_failed(&self) -> bool {
        self.write_failed
    }

    /// Writes as much output as the socket takes; true once none is left.
    ///
    /// # Errors
    /// The write failed; nothing more can be written to this connection.
    pub fn flush(&mut self) -> io::Result<bool> {
        let flushed = self.write_out();
        self.write_failed |= flushed.is_err();
        flushed
    }

    fn write_out(&mut self) -> io::Result<bool> {
        if !self.connected {
            return Ok(false);
        }
        let stream = &mut self.stream;
        let written = self.output.write_to(|bytes| stream.write(bytes))?;
        self.output_taken |= written > 0;
        Ok(self.unwritten_bytes() == 0)
    }

    /// Leaves the remaining input in the socket; registering again has the poll report it.
    fn leave_rest_unread(&mut self) {
        self.rest_unread = true;
    }

    /// Reads available input up to the buffer's limit, and no further chunk after `most` bytes; true if the socket is empty.
    fn fill_input(&mut self, most: usize, clock: SystemClock) -> io::Result<bool> {
        let started = clock.reading();
        let was_drained = self.arrivals.is_drained();
        let filled = self.read_chunks(most, clock);
        self.arrivals.note_read_end(started, matches!(filled, Ok(true)));
        if self.arrivals.is_drained() && !was_drained {
            self.caught_up_at = clock.now();
        }
        filled
    }

    fn read_chunks(&mut self, most: usize, clock: SystemClock) -> io::Result<bool> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let before = self.input.len();
        loop {
            if self.peer_closed {
                return Ok(true);
            }
            if self.is_input_paused() || self.input.len() - before >= most {
                self.rest_unread = true;
                return Ok(false);
            }
            match self.stream.receive(&mut chunk) {
                Ok((0, _)) => self.peer_closed = true,
                Ok((count, timestamp)) => {
                    self.arrivals.note_bytes(count, timestamp, clock.reading(), self.input.len());
                    self.append_input(&chunk[..count]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(true),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Updates the poll registration to the events that are needed now.
    fn register(&mut self, registry: &Registry) -> io::Result<()> {
        let wanted = match (self.connected, self.unwritten_bytes() > 0) {
            (false, _) => Interest::WRITABLE,
            (true, true) => Interest::READABLE | Interest::WRITABLE,
            (true, false) => Interest::READABLE,
        };
        // Events are edge-triggered: input left in the socket is reported again only after a new registration.
        let rearm = self.rest_unread && !self.is_input_paused();
        if self.interest == Some(wanted) && !rearm {
            return Ok(());
        }
        self.rest_unread &= !rearm;
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
