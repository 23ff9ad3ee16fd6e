//! Shutdown: what the daemon still accepts and answers after SIGTERM, and when the process exits.

use super::Daemon;
use crate::fleet::FleetInput;
use crate::handover::HandoverInput;
use crate::interface::{Duration, Timestamp};
use crate::vrrp::Event;
use tracing::info;

/// New clients still connect for this long after SIGTERM. The process does not exit before, unless SIGKILL may come
/// sooner.
const DRAIN_TIME: Duration = Duration::millis(1_200);
/// The process never exits before this: by the protocol, requests on open connections arrive until 0.6 s after SIGTERM.
const MIN_DRAIN_TIME: Duration = Duration::millis(650);
/// When connections opened after SIGTERM are asked to leave, and new requests are refused at once: SIGKILL may come a
/// longest deadline after this, and requests that are unanswered then are lost.
const REJECT_AFTER: Duration = Duration::millis(700);
/// How long after [`DRAIN_TIME`], and after clients last read a part of their answers, answers may remain unread: SIGKILL
/// comes 3.7 s after SIGTERM, or later.
const UNREAD_ANSWER_TIMEOUT: Duration = Duration::millis(2_200);
/// How long after SIGTERM the rest of a partly received request is waited for, if a newer process accepts the clients.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::millis(3_000);
/// SIGKILL comes no earlier than this, plus the longest deadline, after SIGTERM.
const KILL_AFTER_DEADLINE: Duration = Duration::millis(700);
/// Longer deadlines count as this one in the time of SIGKILL.
const MAX_KILL_DEADLINE: Duration = Duration::millis(3_000);
/// The process exits at least this long before SIGKILL.
const KILL_MARGIN: Duration = Duration::millis(250);

/// The times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShutdownTimes {
    since: Timestamp,
    /// From this time new requests are refused at once.
    reject_at: Timestamp,
    /// From this time the process exits as soon as nothing is outstanding.
    end_at: Timestamp,
    /// The process stops waiting at this time for clients that do not read their answers.
    give_up_at: Timestamp,
}

impl ShutdownTimes {
    /// The times of a shutdown that begins now, when requests have at most this deadline.
    pub(super) fn new(now: Timestamp, longest_deadline: Duration) -> ShutdownTimes {
        let before_kill = longest_deadline.min(MAX_KILL_DEADLINE).0 + KILL_AFTER_DEADLINE.0 - KILL_MARGIN.0;
        let drain_time = DRAIN_TIME.min(Duration(before_kill)).max(MIN_DRAIN_TIME);
        ShutdownTimes {
            since: now,
            reject_at: now + REJECT_AFTER,
            end_at: now + drain_time,
            give_up_at: now + DRAIN_TIME + UNREAD_ANSWER_TIMEOUT,
        }
    }

    /// The next of these times.
    fn next(&self, now: Timestamp) -> Option<Timestamp> {
        let mut times = [self.reject_at, self.end_at, self.give_up_at];
        times.sort_unstable();
        times.into_iter().find(|at| *at > now)
    }
}

impl Daemon {
    /// Handles SIGTERM: the daemon is no longer ready and asks its clients to leave, but still accepts and answers
    /// requests.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        info!(name = %self.config.name, outstanding = self.core.outstanding(), "ending");
        let deadlines = self.config.site.settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(MAX_KILL_DEADLINE);
        self.shutdown = Some(ShutdownTimes::new(self.reactor.now(), longest_deadline));
        self.reactor.ready = false;
        self.handle_handover(HandoverInput::ShutdownRequested);
        self.handle_vrrp(Event::Shutdown);
        self.handle_fleet(FleetInput::Leave);
        self.join_or_leave_distribution(false);
        self.send_leave_to_all();
    }

    /// Asks the clients of all connections to leave.
    fn send_leave_to_all(&mut self) {
        for id in self.reactor.ids() {
            self.reactor.with_connection(id, &mut self.core, |connection, link, context| {
                connection.send_leave(link, context)
            });
        }
    }

    /// When the next step of the shutdown is due.
    pub(super) fn next_shutdown_step(&self) -> Option<Timestamp> {
        self.shutdown?.next(self.reactor.now())
    }

    /// Whether the process no longer waits for outstanding input and output.
    pub(super) fn shutdown_overdue(&self) -> bool {
        let Some(times) = self.shutdown else { return false };
        let last_read = self.reactor.last_output_progress();
        let reading_until = last_read.map(|at| at + UNREAD_ANSWER_TIMEOUT);
        reading_until.into_iter().fold(times.give_up_at, Timestamp::max) <= self.reactor.now()
    }

    /// Whether a newer process accepts the clients.
    fn newer_process_accepts(&self) -> bool {
        self.upgrade.as_ref().is_some_and(|upgrade| upgrade.machine.yielded())
    }

    /// Refuses new requests once [`ShutdownTimes::reject_at`] is reached.
    pub(super) fn advance_shutdown(&mut self) {
        let Some(times) = self.shutdown else { return };
        if self.reactor.now() >= times.reject_at && !self.notified_late_clients {
            self.notified_late_clients = true;
            self.send_leave_to_all();
        }
        if self.reactor.now() >= times.give_up_at {
            self.reactor.write_waiting_output(&mut self.core);
        }
        self.core.rejecting_new = self.notified_late_clients && !self.newer_process_accepts();
    }

    /// Whether the shutdown is complete: nothing is outstanding, so the process may exit.
    pub(super) fn may_exit(&self) -> bool {
        let Some(times) = self.shutdown else { return false };
        let now = self.reactor.now();
        let written = !self.reactor.has_unwritten_output() || self.shutdown_overdue();
        let reading = self.newer_process_accepts()
            && self.reactor.may_receive_request()
            && now < times.since + PARTIAL_REQUEST_TIMEOUT;
        let accepted = self.pending_accepts.is_empty() || self.shutdown_overdue();
        now >= times.end_at && self.core.outstanding() == 0 && written && accepted && !reading
    }
}

#[cfg(test)]
mod tests;
