//! The interface between the reactor and a connection: the callbacks and what they may use.

use super::{Link, SystemClock};
use crate::chain::End;
use crate::core::Core;
use crate::fleet::FleetNode;
use crate::fleet::distribution::DistributionNode;
use crate::interface::Timestamp;
use crate::request::{Answer, AttemptId, Job};
use std::cell::RefCell;
use std::rc::Rc;

/// Whether a connection stays open after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFlow {
    /// It stays open.
    Continue,
    /// No more input is processed; it closes once the output has been written and the peer has closed its half.
    Finish,
    /// It closes now.
    Close,
}

impl ControlFlow {
    /// The stricter of the two.
    pub fn and(self, other: ControlFlow) -> ControlFlow {
        match (self, other) {
            (ControlFlow::Close, _) | (_, ControlFlow::Close) => ControlFlow::Close,
            (ControlFlow::Finish, _) | (_, ControlFlow::Finish) => ControlFlow::Finish,
            _ => ControlFlow::Continue,
        }
    }
}

/// What a connection's callback may use.
pub struct Context<'a> {
    /// The scheduler.
    pub core: &'a mut Core,
    /// The time at which the callback started.
    pub now: Timestamp,
    /// The clock, for checks that need the time at the moment they are made.
    pub clock: SystemClock,
    /// Whether the scheduler is ready for new requests.
    pub ready: bool,
    /// Whether this daemon is the host's active one and accepts new requests on its fronts; see [`crate::vrrp`].
    pub active: bool,
    /// Whether clients are accepted from the listener; see [`crate::handover`].
    pub accepting: bool,
    /// This process's fleet node, if it is a member of a fleet.
    pub fleet: Option<Rc<RefCell<FleetNode>>>,
    /// This process's distribution node, if it is part of a domain.
    pub distribution: Option<Rc<RefCell<DistributionNode>>>,
}

/// A connection, called back by the reactor when something happens to it.
pub trait Connection {
    /// The kind of peer, for the log.
    fn kind(&self) -> &'static str;
    /// The connection is established.
    fn opened(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow;
    /// There is new input in the link, or the peer has closed its write half.
    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow;
    /// All output has been written to the socket.
    fn flushed(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Output that may have been queued a while ago is about to be written, and no byte of it has been: it may still be
    /// discarded.
    fn before_first_byte(&mut self, _link: &mut Link, _context: &mut Context) {}
    /// The time returned by [`Connection::deadline`] has been reached.
    fn on_timeout(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// When the time ends that the peer has for its next step; [`Connection::on_timeout`] is called then as well. Queried
    /// after every callback, so it may follow from the progress that the link has made.
    fn peer_deadline(&self, _link: &Link) -> Option<Timestamp> {
        None
    }
    /// When to call [`Connection::on_timeout`]; queried after every callback.
    fn deadline(&self) -> Option<Timestamp> {
        None
    }
    /// The connection has been closed, by either side. Called once.
    fn closed(&mut self, link: &Link, context: &mut Context);
    /// Delivers the final answer to a request that was received on this connection.
    fn answer(
        &mut self,
        _stream: u64,
        _answer: &Answer,
        _link: &mut Link,
        _context: &mut Context,
    ) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Delivers the result of a chain that was received on this connection.
    fn chain_ended(
        &mut self,
        _stream: u64,
        _end: &End,
        _link: &mut Link,
        _context: &mut Context,
    ) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Queues a job for the worker at the other end.
    fn submit_job(&mut self, _job: Job, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Whether a job could be queued now: its reference is not in use on this connection and there is room.
    fn can_accept(&self, _reference: Option<&str>) -> bool {
        false
    }
    /// Whether a peer that has closed its write half waits for nothing more, so that what it had sent before and has not been
    /// read may be dropped.
    fn ends_at_peer_close(&self) -> bool {
        false
    }
    /// Number of requests open on this connection.
    fn open_requests(&self) -> usize {
        0
    }
    /// Whether this attempt is queued or open on this connection.
    fn has_attempt(&self, _attempt: AttemptId) -> bool {
        false
    }
    /// Asks the client to send no new request on this connection, if its protocol has a message for that.
    fn send_leave(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Whether a part of a request has been received.
    fn has_partial_request(&self) -> bool {
        false
    }
    /// When the request of which a part has been received began to arrive.
    fn partial_request_since(&self) -> Option<Timestamp> {
        None
    }
    /// Gives up the request of which a part has been received, because the memory for such parts is used up, and frees its
    /// input.
    fn drop_partial_request(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Close
    }
    /// Whether a part of a request has been received, or a first request may still arrive.
    fn may_receive_request(&self) -> bool {
        false
    }
    /// Since when nothing is open on this connection, so that it may be closed to free a descriptor; `None` while
    /// something is open.
    fn idle_since(&self) -> Option<Timestamp> {
        None
    }
    /// The attempt at the head of the queue, if it could be written now. Only [`Connection::write_next_attempt`] writes
    /// it, after its client's connection has been read.
    fn next_attempt(&self, _link: &Link) -> Option<AttemptId> {
        None
    }
    /// Writes the attempt at the head of the queue, if it may still be sent.
    fn write_next_attempt(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
}
