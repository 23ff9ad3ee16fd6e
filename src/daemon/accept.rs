//! Accepts connections at every listener: the clients', the JSON-RPC front's, the second address and the upgrade
//! socket.
//!
//! Readiness is edge-triggered: the system reports a listener once. If accepting stops before the system returns
//! `EAGAIN`, it has to be resumed without a further report. [`Daemon::accept`] is the only function that accepts, and
//! schedules the retry.

use super::Daemon;
use crate::front::frames::{self, FrameConnection};
use crate::front::jsonrpc::RpcConnection;
use crate::interface::{Duration, Timestamp};
use crate::net::{ClockReading, Stream};
use crate::ops::{self, MgmtConnection};
use rustix::io::Errno;
use std::io;
use tracing::warn;

/// Connections accepted at one listener in one turn of the loop, so that a flood of them does not delay requests.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// Interval before the next attempt at a listener after `accept` has failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::millis(20);

/// A retry at a listener at which connections may be waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAccept {
    /// When to accept again.
    pub(super) due: Timestamp,
    /// The earliest time at which a waiting connection may have arrived.
    since: ClockReading,
}

/// The kinds of failures of `accept`.
#[derive(Debug, PartialEq, Eq)]
enum AcceptFailure {
    /// The next connection failed, or a signal interrupted the call: the one after it can be accepted at once.
    Connection,
    /// Out of descriptors or memory.
    NoRoom,
    /// Any other error, which may be temporary.
    Other,
}

impl AcceptFailure {
    /// Classifies an error as accept(2) describes it.
    fn of(error: &io::Error) -> AcceptFailure {
        match Errno::from_io_error(error) {
            Some(
                Errno::CONNABORTED
                | Errno::INTR
                | Errno::PERM
                | Errno::NETDOWN
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
                | Errno::TIMEDOUT,
            ) => AcceptFailure::Connection,
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::NoRoom,
            _ => AcceptFailure::Other,
        }
    }
}

impl Daemon {
    /// Accepts the connections waiting at a listener until there are no more, or schedules a retry.
    pub(super) fn accept(&mut self, listener: usize) {
        if listener == self.listener.0 && !self.listener.1 {
            return;
        }
        let mut pause = ACCEPT_RETRY_INTERVAL;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.reactor.accept(listener) {
                Ok(Some(stream)) => {
                    // More connections are likely to wait; if every call fails, there may be none.
                    pause = Duration(0);
                    self.admit(listener, stream);
                }
                Ok(None) => return,
                Err(e) => match AcceptFailure::of(&e) {
                    AcceptFailure::Connection => {}
                    failure => return self.handle_accept_failure(listener, &failure, &e),
                },
            }
        }
        self.schedule_accept(listener, pause);
    }

    /// Schedules a retry at a listener. Connections that wait there may have arrived at any time since the first
    /// attempt.
    fn schedule_accept(&mut self, listener: usize, pause: Duration) {
        let now = self.reactor.now();
        let (due, since) = (now + pause, self.reactor.arrival_bound());
        self.pending_accepts.insert(listener, PendingAccept { due, since });
    }

    /// Schedules a retry after a failure, and frees a descriptor if none are left.
    fn handle_accept_failure(&mut self, listener: usize, failure: &AcceptFailure, error: &io::Error) {
        let now = self.reactor.now();
        self.schedule_accept(listener, ACCEPT_RETRY_INTERVAL);
        if self.core.may_log(now) {
            warn!(why = %error, "accept failed");
        }
        if *failure == AcceptFailure::NoRoom {
            self.reactor.close_longest_idle(&mut self.core);
        }
    }

    /// Accepts at the listeners whose retry is due.
    pub(super) fn retry_accepts(&mut self) {
        let now = self.reactor.now();
        let due = |(listener, pending): (&usize, &PendingAccept)| {
            (pending.due <= now).then_some((*listener, pending.since))
        };
        let due: Vec<(usize, ClockReading)> = self.pending_accepts.iter().filter_map(due).collect();
        for (listener, since) in due {
            self.pending_accepts.remove(&listener);
            self.reactor.lower_arrival_bound(since);
            self.accept(listener);
        }
    }

    /// Hands an accepted connection to the part that its listener belongs to.
    fn admit(&mut self, listener: usize, stream: Stream) {
        if self.mgmt == Some(listener) {
            return self.accept_operator(stream);
        }
        if self.is_handover_listener(listener) {
            return self.admit_peer(stream);
        }
        // Clients use at most a third of the descriptors; those that workers need stay free.
        let budget = self.descriptors();
        let room = self.reactor.count() < budget - budget / 8;
        if room || self.reactor.close_longest_idle(&mut self.core) {
            return self.admit_client(listener, stream);
        }
        if self.core.may_log(self.reactor.now()) {
            warn!(why = "no descriptors left", "accept dropped");
        }
    }

    fn admit_client(&mut self, listener: usize, stream: Stream) {
        let now = self.reactor.now();
        if self.rpc.as_ref().is_some_and(|(number, _)| *number == listener) {
            return self.admit_rpc(now, stream);
        }
        let connection = Box::new(FrameConnection::new(now));
        self.reactor.add(stream, connection, true, frames::BUFFER_LIMITS, &mut self.core);
    }

    /// Accepts an operator's connection regardless of the clients, as its descriptor is reserved. If the limit is
    /// reached, the oldest connection that has not completed its request is closed.
    fn accept_operator(&mut self, stream: Stream) {
        let reactor = &self.reactor;
        self.operator_connections.retain(|id| reactor.inspect(*id, |_| ()).is_some());
        if self.operator_connections.len() >= ops::OPERATOR_CONNECTIONS
            && let Some(first) = self.operator_connections.pop_front()
        {
            self.reactor.close_replaced(first, &mut self.core);
        }
        let connection = Box::new(MgmtConnection::new(self.reactor.now()));
        self.operator_connections.extend(self.reactor.add(
            stream,
            connection,
            true,
            ops::OPERATOR_BUFFER_LIMITS,
            &mut self.core,
        ));
    }

    /// Accepts a client of the JSON-RPC front, up to `max_clients`.
    fn admit_rpc(&mut self, now: Timestamp, stream: Stream) {
        let Some(front) = &self.operator.jsonrpc else { return };
        let reactor = &mut self.reactor;
        self.rpc_clients.retain(|id| reactor.inspect(*id, |_| ()).is_some());
        if self.rpc_clients.len() >= front.max_clients {
            // Closes the connection that has been idle longest, if any has no open request and no unread answer.
            let idle = |id: &u64| Some((reactor.idle_since(*id)?, *id));
            if let Some((_, id)) = self.rpc_clients.iter().filter_map(idle).min() {
                reactor.close_replaced(id, &mut self.core);
                self.rpc_clients.remove(&id);
            }
        }
        if self.rpc_clients.len() >= front.max_clients && !self.core.may_log(now) {
            return;
        }
        if self.rpc_clients.len() >= front.max_clients {
            return warn!(why = "max_clients", "accept dropped");
        }
        let connection = Box::new(RpcConnection::new(now, front.max_line));
        let limits = RpcConnection::buffer_limits(front.max_line);
        self.rpc_clients.extend(reactor.add(stream, connection, true, limits, &mut self.core));
    }
}

#[cfg(test)]
mod tests;
