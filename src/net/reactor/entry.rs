//! A connection as the reactor keeps it, and how much of its input is read in one turn of the event loop.

use super::super::Link;
use super::super::connection::{Connection, Context, ControlFlow};
use crate::interface::Timestamp;
use crate::request::CloseCause;
use std::io;

/// Bytes read from one connection in one turn of the event loop, so that a fast sender doesn't keep others waiting.
const MAX_BYTES_PER_TURN: usize = 256 << 10;
/// The same once [`MAX_TOTAL_BYTES_PER_TURN`] have been read.
pub(super) const MIN_BYTES_PER_TURN: usize = 16 << 10;
/// Bytes read from all connections in one turn before each gets less. What they cause is processed after the reading
/// and takes memory until then.
pub(super) const MAX_TOTAL_BYTES_PER_TURN: usize = 512 << 10;
/// Input discarded from a finishing connection before it is closed, so that its sender doesn't keep the processor busy.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// A connection with what the reactor keeps about it.
pub(super) struct Entry {
    pub(super) link: Link,
    pub(super) connection: Box<dyn Connection>,
    /// Time at which the connection is registered in the reactor's timers.
    pub(super) timer: Option<Timestamp>,
    /// The connection closes once its output is written and its peer has closed.
    pub(super) finishing: bool,
    /// The write half has been shut down.
    pub(super) write_shut: bool,
    /// Input bytes discarded since the connection started to finish.
    discarded: usize,
    /// Memory of a partly received request, as included in the reactor's total.
    pub(super) partial_input_bytes: usize,
}

impl Entry {
    /// The state of a connection that has just been added.
    pub(super) fn new(link: Link, connection: Box<dyn Connection>) -> Entry {
        Entry {
            link,
            connection,
            timer: None,
            finishing: false,
            write_shut: false,
            discarded: 0,
            partial_input_bytes: 0,
        }
    }

    /// When the connection is to be called back.
    pub(super) fn deadline(&self) -> Option<Timestamp> {
        self.connection.deadline().into_iter().chain(self.connection.peer_deadline(&self.link)).min()
    }

    /// Since when nothing is open on this connection and its peer has left no output unread; `None` while something is.
    pub(super) fn idle_since(&self) -> Option<Timestamp> {
        let nothing_left = self.link.unwritten_bytes() == 0 && !self.link.has_messages_left();
        let since = self.connection.idle_since().filter(|_| nothing_left)?;
        Some(since.max(self.link.last_output_progress()))
    }

    /// Begins to finish the connection if `finish`: no more input is processed.
    pub(super) fn finish_if(&mut self, finish: bool) {
        self.finishing |= finish;
        if self.finishing {
            self.link.leave_messages(false);
        }
    }

    /// Whether the peer waits for nothing more: it has closed its write half, and the rest of its input does not matter.
    pub(super) fn is_left(&self, peer_closed: bool) -> bool {
        peer_closed && !self.finishing && self.connection.ends_at_peer_close() && !self.link.is_drained()
    }

    /// Memory taken by a request of which a part has been received.
    pub(super) fn partial_input(&self) -> usize {
        if self.connection.has_partial_request() { self.link.input.capacity() } else { 0 }
    }

    /// Writes as much output as the socket takes; true once none is left.
    pub(super) fn flush(&mut self, context: &mut Context) -> io::Result<bool> {
        if self.link.none_written() {
            self.connection.before_first_byte(&mut self.link, context);
        }
        self.link.flush()
    }

    /// Notifies the connection once its connect has succeeded.
    pub(super) fn open_if_connected(&mut self, context: &mut Context) -> ControlFlow {
        if self.link.connected {
            return ControlFlow::Continue;
        }
        match self.link.stream.is_connected() {
            Ok(true) => self.link.connected = true,
            Ok(false) => return ControlFlow::Continue,
            Err(_) => return ControlFlow::Close,
        }
        self.connection.opened(&mut self.link, context)
    }

    /// Writes pending output; the connection may queue more once all of it has been written.
    pub(super) fn write_waiting(&mut self, context: &mut Context) -> io::Result<ControlFlow> {
        if self.link.unwritten_bytes() == 0 || !self.flush(context)? {
            return Ok(ControlFlow::Continue);
        }
        Ok(self.connection.flushed(&mut self.link, context))
    }

    /// Reads until the socket is empty, because input is reported only once. The connection processes each part before
    /// the next is read, and a limit per turn keeps other connections from waiting.
    pub(super) fn read_all(
        &mut self,
        mut flow: ControlFlow,
        budget: &mut ReadBudget,
        context: &mut Context,
    ) -> ControlFlow {
        if self.link.has_messages_left() && !self.finishing {
            flow = flow.and(self.connection.received(&mut self.link, context));
            if flow != ControlFlow::Continue || self.link.has_messages_left() {
                return flow;
            }
        }
        let limit = budget.connection_limit();
        let mut read = 0;
        loop {
            let before = self.link.input.len();
            // Complete messages that arrived before the connection broke are processed, whatever the error is.
            let filled = self.link.fill_input(limit - read, context.clock);
            self.link.peer_closed |= filled.is_err();
            let added = self.link.input.len() - before;
            read += added;
            budget.record(added);
            if self.finishing {
                self.link.leave_messages(false);
                self.discarded += self.link.input.len();
                self.link.drop_input();
                if self.discarded > MAX_DISCARDED_BYTES {
                    self.link.set_close_cause(CloseCause::Unreadable);
                    return ControlFlow::Close;
                }
            } else if added > 0 || self.link.peer_closed {
                flow = flow.and(self.connection.received(&mut self.link, context));
            }
            let Ok(drained) = filled else {
                self.link.set_close_cause(CloseCause::Broken);
                return ControlFlow::Close;
            };
            if drained || flow != ControlFlow::Continue || self.link.is_input_paused() {
                return flow;
            }
            if read >= limit {
                self.link.leave_rest_unread();
                return flow;
            }
        }
    }
}

/// The bytes that may still be read in one turn of the event loop.
#[derive(Default)]
pub(super) struct ReadBudget {
    /// Bytes read from all connections in this turn.
    read: usize,
}

impl ReadBudget {
    fn record(&mut self, bytes: usize) {
        self.read += bytes;
    }

    /// How much may be read from one connection now.
    fn connection_limit(&self) -> usize {
        let left = MAX_TOTAL_BYTES_PER_TURN.saturating_sub(self.read);
        left.clamp(MIN_BYTES_PER_TURN, MAX_BYTES_PER_TURN)
    }
}
