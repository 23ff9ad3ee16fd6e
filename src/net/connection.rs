//! What a connection is to the reactor: an object with callbacks.

use super::{Link, SystemClock};
use crate::chain::End;
use crate::core::Core;
use crate::fleet::FleetNode;
use crate::fleet::distribution::DistributionNode;
use crate::interface::Timestamp;
use crate::request::{Answer, AttemptId, Job};
use std::cell::RefCell;
use std::rc::Rc;

/// Whether a connection goes on after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFlow {
    /// It does.
    Continue,
    /// Nothing more is read; it ends once what is owed has been written.
    Finish,
    /// It ends now.
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

/// What a callback may use.
pub struct Context<'a> {
    /// The scheduler.
    pub core: &'a mut Core,
    /// The time at which the callback began.
    pub now: Timestamp,
    /// For what must know the time at the moment.
    pub clock: SystemClock,
    /// Whether new requests are taken.
    pub ready: bool,
    /// Whether this daemon takes new requests on fronts of its host; see [`crate::vrrp`].
    pub active: bool,
    /// Whether clients are taken from the listener; see [`crate::handover`].
    pub accepting: bool,
    /// This process's place in its fleet, if it has one.
    pub fleet: Option<Rc<RefCell<FleetNode>>>,
    /// Its place in a domain, if it has one.
    pub distribution: Option<Rc<RefCell<DistributionNode>>>,
}

/// A connection as an object: the reactor calls it back with what happens to it.
pub trait Connection {
    /// What is at the other end, for the log.
    fn kind(&self) -> &'static str;
    /// The connection stands.
    fn opened(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow;
    /// There is new input in the link, or the other side has ended its half.
    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow;
    /// Everything put in line has been handed to the system.
    fn flushed(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Bytes that were put in line long ago are about to go out, and none of them has: they may be taken back.
    fn before_first_byte(&mut self, _link: &mut Link, _hub: &mut Context) {}
    /// The time told by [`Connection::deadline`] has come.
    fn on_timeout(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// When to be called back; asked after every callback.
    fn deadline(&self) -> Option<Timestamp> {
        None
    }
    /// The connection has ended, by whichever side. Called once.
    fn closed(&mut self, link: &Link, context: &mut Context);
    /// The final answer of a request that came in here.
    fn answer(
        &mut self,
        _stream: u64,
        _answer: &Answer,
        _link: &mut Link,
        _hub: &mut Context,
    ) -> ControlFlow {
        ControlFlow::Continue
    }
    /// The one end of a chain that came in here.
    fn chain_ended(&mut self, _stream: u64, _end: &End, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// A job for the worker at the other end.
    fn submit_job(&mut self, _job: Job, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Whether a job could be given now: its reference is not open here and there is room.
    fn can_accept(&self, _reference: Option<&str>) -> bool {
        false
    }
    /// How many requests are open here.
    fn open_requests(&self) -> usize {
        0
    }
    /// No new request is wanted here any more.
    fn send_leave(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    /// Whether a request is half read here.
    fn has_partial_request(&self) -> bool {
        false
    }
    /// Whether a request is half read here, or may still come because none has.
    fn may_receive_request(&self) -> bool {
        false
    }
    /// Since when nothing is open here, so that it may be closed to make room; none while something is.
    fn idle_since(&self) -> Option<Timestamp> {
        None
    }
    /// The attempt that is next in line here and could be written now. It is written only by
    /// [`Connection::write_next_attempt`], once its client's connection has been read.
    fn next_attempt(&self, _link: &Link) -> Option<AttemptId> {
        None
    }
    /// Writes the attempt that is next in line, if it may still go.
    fn write_next_attempt(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
}
