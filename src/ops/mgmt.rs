//! A caller's connection at the second address.

use super::http::{self, Call, HEAD, No};
use crate::core::bans::Done;
use crate::interface::{Span, Time};
use crate::net::{Connection, Flow, Hub, Link};

/// Callers at a time; they live on descriptors that are reserved beside clients' and workers'.
pub const CALLERS: usize = 12;
/// Buffers of a caller's connection: a head, and an answer that waits.
pub const LIMITS: (usize, usize) = (HEAD + 1, 64 << 10);
/// A call must have come whole within this time, and its answer must be read within as long again.
const WHOLE: Span = Span::millis(2_000);

/// One call, then the end.
pub struct MgmtConnection {
    came: Time,
    answered: Option<Time>,
}

impl MgmtConnection {
    /// A connection that has just been accepted.
    pub fn new(now: Time) -> MgmtConnection {
        MgmtConnection { came: now, answered: None }
    }

    fn carry_out(call: Call, hub: &mut Hub) -> Result<String, No> {
        let done = match call {
            Call::Ready if hub.ready && hub.open && hub.core.places() => return Ok("ready\n".to_owned()),
            Call::Ready => return Err(No(503, "not ready")),
            Call::Figures => {
                let fleet = hub.fleet.as_ref().map(|fleet| fleet.borrow().status(hub.now));
                let fleet = fleet.map(|status| status.figures()).unwrap_or_default();
                let domain = hub.distribution.as_ref().map(|node| node.borrow().status(hub.now).figures());
                return Ok(hub.core.figures().to_string() + &fleet + &domain.unwrap_or_default());
            }
            Call::Fleet => {
                let fleet = hub.fleet.as_ref().map(|fleet| fleet.borrow().status(hub.now).to_string());
                let domain = hub.distribution.as_ref().map(|node| node.borrow().status(hub.now).to_string());
                let text: String = fleet.into_iter().chain(domain).collect();
                return Some(text).filter(|t| !t.is_empty()).ok_or(No(404, "this scheduler is in no fleet"));
            }
            Call::Exclude(worker) => hub.core.by_hand(hub.now, worker, true),
            Call::Include(worker) => hub.core.by_hand(hub.now, worker, false),
        };
        match done {
            Done::Changed | Done::Stood => Ok("done\n".to_owned()),
            Done::Unknown => Err(No(404, "nobody has this id")),
            Done::TooMany => Err(No(503, "too many are out by hand")),
        }
    }

    fn answer(&mut self, answer: Result<String, No>, link: &mut Link, hub: &Hub) -> Flow {
        match answer {
            Ok(text) => link.put(&http::answer(200, &text)),
            Err(No(status, why)) => link.put(&http::answer(status, &format!("{why}\n"))),
        }
        self.answered = Some(hub.now);
        Flow::Finish
    }
}

impl Connection for MgmtConnection {
    fn opened(&mut self, _link: &mut Link, _hub: &mut Hub) -> Flow {
        Flow::Go
    }

    fn received(&mut self, link: &mut Link, hub: &mut Hub) -> Flow {
        match http::read(&link.inbox) {
            Ok(None) if link.ended => Flow::Close,
            Ok(None) => Flow::Go,
            Ok(Some(call)) => {
                let answer = MgmtConnection::carry_out(call, hub);
                self.answer(answer, link, hub)
            }
            Err(no) => self.answer(Err(no), link, hub),
        }
    }

    fn due(&mut self, link: &mut Link, hub: &mut Hub) -> Flow {
        match self.answered {
            Some(_) => Flow::Close,
            None => self.answer(Err(No(408, "no whole call came")), link, hub),
        }
    }

    fn deadline(&self) -> Option<Time> {
        Some(self.answered.unwrap_or(self.came) + WHOLE)
    }

    fn closed(&mut self, _link: &Link, _hub: &mut Hub) {}
}
