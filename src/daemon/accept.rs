//! Connections that come in, at any listener: the clients', the second front's, the second address and the upgrade socket
//! of an upgrade.
//!
//! The system tells once that somebody waits at a listener, so whoever stops taking them before it says that there are no
//! more has to come back by itself. [`Daemon::accept`] is the one place that does either.

use super::Daemon;
use crate::front::frames::{self, FrameConnection};
use crate::front::jsonrpc::RpcConnection;
use crate::interface::{Duration, Timestamp};
use crate::net::{ClockReading, Stream};
use crate::ops::{self, MgmtConnection};
use rustix::io::Errno;
use std::io;
use tracing::warn;

/// Connections taken at one listener in one turn of the loop: a flood of them must not keep requests waiting.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// How soon a listener is asked again where the system did not hand out a connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::millis(20);

/// A listener that is to be asked again.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAccept {
    /// When.
    pub(super) due: Timestamp,
    /// Since when somebody may wait there.
    since: ClockReading,
}

/// What a failed `accept` is about.
#[derive(Debug, PartialEq, Eq)]
enum AcceptFailure {
    /// The connection that was next, or a signal: the one behind it can be had.
    Connection,
    /// Descriptors or memory are short.
    NoRoom,
    /// Something else, which may pass.
    Other,
}

impl AcceptFailure {
    /// As accept(2) tells them apart.
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
    /// Takes those that wait at a listener, until the system has no more of them, or arranges to come back.
    pub(super) fn accept(&mut self, listener: usize) {
        if listener == self.listener.0 && !self.listener.1 {
            return;
        }
        let mut pause = ACCEPT_RETRY_INTERVAL;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.reactor.accept(listener) {
                Ok(Some(stream)) => {
                    // There are more, in all likelihood; where every request fails there may be none.
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

    /// Comes back to a listener after a while. Those that wait there may have done so since it was asked first.
    fn schedule_accept(&mut self, listener: usize, pause: Duration) {
        let now = self.reactor.now();
        let (due, since) = (now + pause, self.reactor.arrival_bound());
        self.pending_accepts.insert(listener, PendingAccept { due, since });
    }

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

    /// Asks those listeners again whose time has come.
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

    fn admit(&mut self, listener: usize, stream: Stream) {
        if self.mgmt == Some(listener) {
            return self.accept_operator(stream);
        }
        if self.is_handover_listener(listener) {
            return self.admit_peer(stream);
        }
        // Clients hold a third of the descriptors at most; what workers need is kept free.
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

    /// Operators at the second address come in whatever clients do, for their descriptors are reserved. Where all
    /// places are taken, whoever came first and has completed nothing yet makes room.
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
            ops::LIMITS,
            &mut self.core,
        ));
    }

    fn admit_rpc(&mut self, now: Timestamp, stream: Stream) {
        let Some(front) = &self.operator.jsonrpc else { return };
        let reactor = &mut self.reactor;
        self.rpc_clients.retain(|id| reactor.inspect(*id, |_| ()).is_some());
        if self.rpc_clients.len() >= front.max_clients {
            // The one that has held its place longest without anything open makes room, if there is one.
            let idle = |id: &u64| Some((reactor.inspect(*id, |connection| connection.idle_since())??, *id));
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
