//! The state that a parent keeps of one child: what it has acknowledged, which pages were sent, and what is sent next.

use super::interface::DistributionOutput;
use super::log::{Log, Part};
use super::pacing::QueueState;
use super::record::Version;
use super::status::DistributionCounters;
use super::wire::{ChildReport, DistributionMessage, Interest, Page, Progress};
use crate::interface::{Duration, Timestamp};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A child that is silent for this long is removed: six report intervals.
pub const CHILD_TIMEOUT: Duration = Duration::millis(3_000);
/// Unacknowledged pages are sent again after this time, which doubles with each attempt.
const RESEND_TIMEOUT: Duration = Duration::millis(250);
/// Maximum number of times that [`RESEND_TIMEOUT`] is doubled.
const MAX_RESEND_DOUBLINGS: u32 = 3;

/// What a parent serves its children from.
pub struct Source<'a> {
    /// The committed records.
    pub log: &'a Log,
    /// Time since the log was last known to be up to date, in milliseconds; [`Page::NEVER`] if it never was.
    pub age_ms: u32,
    /// The fence under which this process publishes; 0 if it is not the publisher.
    pub publishes: u64,
}

/// A snapshot that is being sent to a child.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot {
    /// The sequence of the version of its first page. The child has no records that were removed before it.
    pub begun: u64,
    /// Whether all of it was sent; pages that follow contain changes.
    pub sent: bool,
}

/// A child of this process, as the parent sees it.
#[derive(Debug)]
pub struct Child {
    pub interest: Interest,
    pub last_seen: Timestamp,
    /// When its entry in the timer queue expires.
    pub timer_at: Timestamp,
    pub acknowledged: u64,
    pub acknowledged_at: Timestamp,
    pub sent: u64,
    pub sent_at: Timestamp,
    /// The last sequence of each page that was sent and not acknowledged yet.
    pub unacknowledged: VecDeque<u64>,
    /// When the oldest unacknowledged page is sent again.
    pub resend_at: Timestamp,
    pub resends: u32,
    pub snapshot: Option<Snapshot>,
    pub queue_state: QueueState,
    /// Whether the state of the child is known.
    pub state_known: bool,
}

/// The state of a child according to its report, compared with the log of the parent.
#[derive(Debug, PartialEq, Eq)]
pub enum ChildState {
    /// It has all changes up to this sequence.
    UpTo(u64),
    /// It is receiving a snapshot whose first page was sent at version `begun` of the parent, and has the pages up to
    /// `upto`.
    Snapshot { begun: u64, upto: u64 },
    /// It has the same records under another version history.
    SameRecords,
    /// It has a later version than the parent.
    Ahead,
}

impl Child {
    /// Creates a child whose state is not known yet.
    pub fn new(now: Timestamp, interest: Interest) -> Child {
        Child {
            interest,
            last_seen: now,
            timer_at: now + CHILD_TIMEOUT,
            acknowledged: 0,
            acknowledged_at: now,
            sent: 0,
            sent_at: Timestamp(0),
            unacknowledged: VecDeque::new(),
            resend_at: now,
            resends: 0,
            snapshot: None,
            queue_state: QueueState::Idle,
            state_known: false,
        }
    }

    /// Determines the state of the child from its report.
    pub fn state(&self, log: &Log, report: &ChildReport) -> ChildState {
        let head = log.version();
        let floor = log.floor(&self.interest);
        match report.staged {
            Some(Progress { start: 0, begun, upto }) if upto <= head.sequence && floor <= begun.max(upto) => {
                return ChildState::Snapshot { begun, upto };
            }
            Some(Progress { start, upto, .. }) if start > 0 => {
                let follows = log.contains_version(report.version) && start == report.version.sequence;
                if follows && (start..=head.sequence).contains(&upto) && floor <= upto {
                    return ChildState::UpTo(upto);
                }
            }
            _ => {}
        }
        let Version { sequence, .. } = report.version;
        let same = report.digest == log.digest_of(&self.interest);
        let differs = report.version == head && !same;
        if sequence > 0 && log.contains_version(report.version) && floor <= sequence && !differs {
            return ChildState::UpTo(sequence);
        }
        if report.version > head {
            return ChildState::Ahead;
        }
        let begun = head.sequence;
        if sequence > 0 && same { ChildState::SameRecords } else { ChildState::Snapshot { begun, upto: 0 } }
    }

    /// Handles an acknowledgement up to a sequence; `begun` is given for that of a snapshot. Reports may arrive out of
    /// order: one with a lower sequence is ignored unless no progress was acknowledged for [`RESEND_TIMEOUT`].
    pub fn acknowledge(
        &mut self,
        now: Timestamp,
        upto: u64,
        begun: Option<u64>,
        counters: &mut DistributionCounters,
    ) {
        let snapshot = begun.is_some();
        let goes_back = upto < self.acknowledged || snapshot && self.snapshot.is_none();
        if self.state_known && goes_back && now - self.acknowledged_at < RESEND_TIMEOUT {
            return;
        }
        // Changes that follow a snapshot may be in flight before the snapshot is acknowledged.
        let continues =
            self.snapshot.is_some() == snapshot || self.snapshot.is_some_and(|snapshot| snapshot.sent);
        if !self.state_known || goes_back || !continues {
            self.snapshot = begun.map(|begun| Snapshot { begun, sent: false });
            counters.snapshots_served += u64::from(upto == 0 && begun.is_some_and(|begun| begun > 0));
            self.rewind_to(upto);
            self.acknowledged_at = now;
            self.resends = 0;
            self.state_known = true;
        } else if upto > self.acknowledged || self.snapshot.is_some() != snapshot {
            self.snapshot = self.snapshot.filter(|_| snapshot);
            self.acknowledged = upto;
            self.acknowledged_at = now;
            self.unacknowledged.retain(|end| *end > upto);
            self.sent = self.sent.max(upto);
            self.resends = 0;
            self.resend_at = now + RESEND_TIMEOUT;
        }
        if self.unacknowledged.is_empty() && self.sent > self.acknowledged {
            self.rewind_to(self.acknowledged);
        }
    }

    /// Discards all sending progress after this sequence, so that everything after it is sent again.
    pub fn rewind_to(&mut self, upto: u64) {
        self.acknowledged = upto;
        self.sent = upto;
        self.unacknowledged.clear();
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.sent = false;
        }
    }

    /// The part of the log to send next.
    pub fn next_part(&self, log: &Log) -> Part {
        let removed_after =
            self.snapshot.filter(|snapshot| !snapshot.sent).map_or(0, |snapshot| snapshot.begun);
        log.part(&self.interest, self.sent, removed_after)
    }

    fn page(&self, part: Part, source: &Source) -> Page {
        let in_snapshot = self.snapshot.is_some_and(|snapshot| !snapshot.sent);
        Page {
            start: if in_snapshot { 0 } else { self.sent },
            after: self.sent,
            upto: part.upto,
            head: source.log.version(),
            since: source.log.epoch_start(),
            digest: source.log.digest_of(&self.interest),
            publishes: source.publishes,
            age_ms: source.age_ms,
            changes: part.changes,
            steps: part.steps,
        }
    }

    /// Sends a page with this part of the log.
    pub fn send(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        part: Part,
        source: &Source,
        out: &mut Vec<DistributionOutput>,
    ) {
        let page = self.page(part, source);
        // A page without changes is not acknowledged on its own: the next report shows whether it was received.
        if !page.changes.is_empty() {
            if self.unacknowledged.is_empty() {
                self.resend_at = now + Duration(RESEND_TIMEOUT.0 << self.resends.min(MAX_RESEND_DOUBLINGS));
            }
            self.unacknowledged.push_back(page.upto);
        }
        self.sent = page.upto;
        self.sent_at = now;
        if let Some(snapshot) = self.snapshot.as_mut().filter(|_| page.upto > 0) {
            snapshot.sent |= page.upto == page.head.sequence;
        }
        out.push(DistributionOutput::Send(to, DistributionMessage::Page(page)));
    }

    /// Sends a page without changes, as a heartbeat that carries the version of the parent.
    pub fn send_heartbeat(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        source: &Source,
        out: &mut Vec<DistributionOutput>,
    ) {
        let head = source.log.version().sequence;
        let at = if self.state_known { self.sent } else { head };
        let part = Part { upto: at, ..Part::default() };
        let page = self.page(part, source);
        let start = if self.state_known { page.start } else { at };
        let page = Page { start, after: at, ..page };
        self.sent_at = now;
        out.push(DistributionOutput::Send(to, DistributionMessage::Page(page)));
    }

    /// When the child must be removed or its pages must be sent again.
    pub fn next_timeout(&self) -> Timestamp {
        let removal = self.last_seen + CHILD_TIMEOUT;
        if self.unacknowledged.is_empty() { removal } else { removal.min(self.resend_at) }
    }
}
