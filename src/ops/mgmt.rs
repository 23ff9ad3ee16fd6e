//! An operator's connection at the second address.

use super::http::{self, HttpError, MAX_HEAD_BYTES, OperatorRequest};
use crate::core::cordons::CordonResult;
use crate::interface::{Duration, Timestamp};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};

/// Most operator connections at a time. Their descriptors are reserved apart from those of clients and workers.
pub const OPERATOR_CONNECTIONS: usize = 12;
/// Buffer sizes of an operator's connection: a request's head, and a response that has not been sent.
pub const OPERATOR_BUFFER_LIMITS: BufferLimits = BufferLimits { input: MAX_HEAD_BYTES + 1, output: 64 << 10 };
/// How long a request may take to arrive completely, and its response to be read by the operator.
const REQUEST_TIMEOUT: Duration = Duration::millis(2_000);

/// An operator's connection: it serves one request and closes.
pub struct MgmtConnection {
    arrived_at: Timestamp,
    answered: Option<Timestamp>,
}

impl MgmtConnection {
    /// A connection that has just been accepted.
    pub fn new(now: Timestamp) -> MgmtConnection {
        MgmtConnection { arrived_at: now, answered: None }
    }

    fn carry_out(request: OperatorRequest, context: &mut Context) -> Result<String, HttpError> {
        let result = match request {
            OperatorRequest::Ready if context.ready && context.accepting && context.core.places() => {
                return Ok("ready\n".to_owned());
            }
            OperatorRequest::Ready => return Err(HttpError(503, "not ready")),
            OperatorRequest::Figures => {
                let fleet = context.fleet.as_ref().map(|fleet| fleet.borrow().status(context.now));
                let fleet = fleet.map(|status| status.figures()).unwrap_or_default();
                let domain =
                    context.distribution.as_ref().map(|node| node.borrow().status(context.now).figures());
                return Ok(context.core.figures().to_string() + &fleet + &domain.unwrap_or_default());
            }
            OperatorRequest::Fleet => {
                let fleet =
                    context.fleet.as_ref().map(|fleet| fleet.borrow().status(context.now).to_string());
                let domain =
                    context.distribution.as_ref().map(|node| node.borrow().status(context.now).to_string());
                let text: String = fleet.into_iter().chain(domain).collect();
                let known = Some(text).filter(|text| !text.is_empty());
                return known.ok_or(HttpError(404, "this scheduler is in no fleet"));
            }
            OperatorRequest::Exclude(worker) => context.core.cordon(context.now, worker),
            OperatorRequest::Include(worker) => context.core.uncordon(context.now, worker),
        };
        match result {
            CordonResult::Changed | CordonResult::Unchanged => Ok("done\n".to_owned()),
            CordonResult::Unknown => Err(HttpError(404, "nobody has this id")),
            CordonResult::TooMany => Err(HttpError(503, "too many are out by hand")),
        }
    }

    fn answer(
        &mut self,
        answer: Result<String, HttpError>,
        link: &mut Link,
        context: &Context,
    ) -> ControlFlow {
        match answer {
            Ok(text) => link.enqueue(&http::answer(200, &text)),
            Err(HttpError(status, why)) => link.enqueue(&http::answer(status, &format!("{why}\n"))),
        }
        self.answered = Some(context.now);
        ControlFlow::Finish
    }
}

impl Connection for MgmtConnection {
    fn kind(&self) -> &'static str {
        "operator"
    }

    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        match http::read(&link.input) {
            Ok(None) if link.peer_closed => ControlFlow::Close,
            Ok(None) => ControlFlow::Continue,
            Ok(Some(request)) => {
                let answer = MgmtConnection::carry_out(request, context);
                self.answer(answer, link, context)
            }
            Err(error) => self.answer(Err(error), link, context),
        }
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        match self.answered {
            Some(_) => ControlFlow::Close,
            None => self.answer(Err(HttpError(408, "no whole call came")), link, context),
        }
    }

    fn deadline(&self) -> Option<Timestamp> {
        Some(self.answered.unwrap_or(self.arrived_at) + REQUEST_TIMEOUT)
    }

    fn closed(&mut self, _link: &Link, _context: &mut Context) {}
}
