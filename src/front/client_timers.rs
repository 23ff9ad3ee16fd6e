//! The time limits of a client's connection, the same on both fronts.
//!
//! A limit counts only while it is the client's turn. A client whose input has not been read, or that is still reading
//! what was sent to it, is not late: [`Link::accountable_since`] and [`Link::last_output_progress`] say since when it
//! could have taken its next step.

use super::{LINGER_TIMEOUT, MESSAGE_TIMEOUT, STALLED_OUTPUT_TIMEOUT};
use crate::interface::{Duration, Timestamp};
use crate::net::Link;
use crate::request::CloseCause;

/// What a client is late with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    /// The rest of a message that has begun.
    Message,
    /// Its next request: nothing is open on the connection.
    Idle,
    /// Reading its answers, of which it has taken nothing for a while.
    Stalled,
    /// Reading the last output of a connection that is finishing.
    Finish,
}

impl Lateness {
    /// The cause with which the connection closes, if the lateness itself closes it.
    pub(super) fn close_cause(self) -> Option<CloseCause> {
        match self {
            Lateness::Idle => Some(CloseCause::Idle),
            Lateness::Stalled => Some(CloseCause::Clogged),
            Lateness::Message | Lateness::Finish => None,
        }
    }
}

/// When a client last acted, and what it has begun.
#[derive(Debug)]
pub(super) struct ClientTimers {
    /// When the last complete message was received or the last answer queued.
    pub(super) last_activity: Timestamp,
    /// When the incomplete message began.
    pub(super) message_started: Option<Timestamp>,
    /// When the connection began to finish.
    finish_started: Option<Timestamp>,
}

impl ClientTimers {
    /// The timers of a newly accepted connection.
    pub(super) fn new(now: Timestamp) -> ClientTimers {
        ClientTimers { last_activity: now, message_started: None, finish_started: None }
    }

    /// Records what has been received. What follows a complete message has only just started to arrive.
    pub(super) fn record_input(&mut self, now: Timestamp, incomplete: bool, completed: bool) {
        self.message_started = incomplete.then(|| self.message_started.filter(|_| !completed).unwrap_or(now));
    }

    /// The connection begins to finish: no more input is processed.
    pub(super) fn begin_finish(&mut self, now: Timestamp) {
        self.finish_started = Some(now);
        self.message_started = None;
    }

    /// Whether the connection is finishing.
    pub(super) fn is_finishing(&self) -> bool {
        self.finish_started.is_some()
    }

    /// When the client is late next, and with what. `idle_timeout` is the time that it has for its next request, or `None`
    /// while requests are open.
    pub(super) fn next(&self, idle_timeout: Option<Duration>, link: &Link) -> Option<(Timestamp, Lateness)> {
        if let Some(started) = self.finish_started {
            let since = started.max(link.last_output_progress());
            let limit = if link.unwritten_bytes() > 0 { STALLED_OUTPUT_TIMEOUT } else { LINGER_TIMEOUT };
            return Some((since + limit, Lateness::Finish));
        }
        self.message_limit(link)
            .into_iter()
            .chain(self.idle_limit(idle_timeout, link))
            .min_by_key(|(at, _)| *at)
    }

    /// What the client is late with now.
    pub(super) fn lateness(
        &self,
        now: Timestamp,
        idle_timeout: Option<Duration>,
        link: &Link,
    ) -> Option<Lateness> {
        self.next(idle_timeout, link).filter(|(at, _)| *at <= now).map(|(_, lateness)| lateness)
    }

    fn message_limit(&self, link: &Link) -> Option<(Timestamp, Lateness)> {
        let since = self.message_started?.max(link.accountable_since()?);
        Some((since + MESSAGE_TIMEOUT, Lateness::Message))
    }

    fn idle_limit(&self, idle_timeout: Option<Duration>, link: &Link) -> Option<(Timestamp, Lateness)> {
        let idle_timeout = idle_timeout?;
        let since = self.last_activity.max(link.last_output_progress());
        if link.unwritten_bytes() > 0 {
            return Some((since + STALLED_OUTPUT_TIMEOUT, Lateness::Stalled));
        }
        self.message_started.is_none().then_some((since + idle_timeout, Lateness::Idle))
    }
}
