//! The daemon's side of the discovery stream: when to connect, and how its events are applied.

use super::Daemon;
use crate::backend::Endpoint;
use crate::discovery::{self, DiscoveryConnection, ReceivedEvents, WatchEvent};
use crate::interface::{ListKind, Member, State, Timestamp};
use crate::net::BufferLimits;
use crate::start_times::Clocks;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Discovery events whose checksums are kept for an upgrade.
const MAX_EVENT_SUMS: usize = 256;

impl Daemon {
    /// Reports to the core whether the list of workers follows a source that may become unreachable.
    pub(super) fn set_list_source(&mut self) {
        let checkers: BTreeSet<_> = self.checkers.iter().map(|member| member.worker).collect();
        let follows = self.config.discovery.is_some() || self.operator.subscribes();
        self.core.set_list_source(self.reactor.now(), follows, checkers);
    }

    /// Applies the received events, and connects to discovery when an attempt is due.
    pub(super) fn advance_discovery(&mut self, now: Timestamp) {
        loop {
            let Some(event) = self.received_events.borrow_mut().events.pop_front() else { break };
            self.event_sums.push_back((event.offset, event.sum()));
            self.event_sums.drain(..self.event_sums.len().saturating_sub(MAX_EVENT_SUMS));
            self.apply_event(now, event);
        }
        let Some(address) = self.config.discovery else { return self.next_discovery_attempt = None };
        if std::mem::take(&mut self.received_events.borrow_mut().down) {
            let failures = self.received_events.borrow().failures;
            self.next_discovery_attempt = Some(now + discovery::backoff(failures, &mut self.rng));
        }
        if self.next_discovery_attempt.is_none_or(|at| at > now) {
            return;
        }
        self.next_discovery_attempt = None;
        self.discovery_connection = None;
        let connection = Box::new(DiscoveryConnection::new(self.received_events.clone(), now));
        let stream = self.reactor.connect(address);
        let connected = stream.ok().and_then(|stream| {
            self.reactor.add(
                stream,
                connection,
                false,
                BufferLimits { input: discovery::MAX_FRAME_BYTES + 4, output: 4096 },
                &mut self.core,
            )
        });
        if connected.is_none() {
            let mut received = self.received_events.borrow_mut();
            (received.down, received.failures) = (false, received.failures + 1);
            self.next_discovery_attempt = Some(now + discovery::backoff(received.failures, &mut self.rng));
        }
        self.discovery_connection = connected;
    }

    /// Applies an event to the list of workers, unless the list comes from the domain.
    pub(super) fn apply_event(&mut self, now: Timestamp, mut event: WatchEvent) {
        if self.list_is_distributed() {
            return;
        }
        if event.kind == ListKind::Full {
            let listed: BTreeSet<_> = event.entries.iter().map(|entry| entry.member.worker).collect();
            let checkers: BTreeSet<_> = self.checkers.iter().map(|member| member.worker).collect();
            self.pool.retain(|worker| listed.contains(&worker) || checkers.contains(&worker));
            self.start_times.retain(|worker| listed.contains(&worker));
        }
        for entry in &mut event.entries {
            self.update_worker(now, &mut entry.member, entry.address);
        }
        let mut members: Vec<Member> = event.entries.into_iter().map(|entry| entry.member).collect();
        if event.kind == ListKind::Full {
            members.extend(&self.checkers);
        }
        let changed =
            (event.kind == ListKind::Delta).then(|| members.iter().map(|member| member.worker).collect());
        self.core.members(now, event.kind, members);
        self.source_changed(changed);
    }

    /// Adds, changes or removes a worker as the list says, and converts its start from Unix time to the scheduler's own
    /// time.
    pub(super) fn update_worker(&mut self, now: Timestamp, member: &mut Member, address: SocketAddr) {
        if member.state == State::Gone {
            self.start_times.remove(member.worker);
            return self.pool.remove(member.worker);
        }
        let clocks = Clocks { own: now, wall: self.reactor.wall() };
        member.started = if self.known_list_applied {
            self.start_times.reported_now(clocks, member.worker, member.started)
        } else {
            self.start_times.reported_at_start(clocks, member.worker, member.started)
        };
        self.pool.set_endpoint(member.worker, Endpoint::Tcp(address), member.started);
    }

    /// Moves to discovery's new address at once: closes the old connection and subscribes from the last event on. The
    /// state is a new one, so that the end of the old connection does not count as a failure of the new one.
    pub(super) fn change_discovery_address(&mut self, now: Timestamp) {
        let (offset, events) = {
            let mut old = self.received_events.borrow_mut();
            (old.offset, std::mem::take(&mut old.events))
        };
        self.received_events =
            Rc::new(RefCell::new(ReceivedEvents { events, offset, down: true, ..ReceivedEvents::default() }));
        if let Some(id) = self.discovery_connection.take() {
            self.reactor.close_replaced(id, &mut self.core);
        }
        self.next_discovery_attempt = Some(now);
    }
}
