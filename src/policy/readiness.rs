//! Whether workers still take work while discovery is out of reach: one that the list has as ready may have
//! begun to drain since, and its drain counts as received some time later, whether it arrived or not.
//!
//! The list is valid for a while after discovery was last heard. From then on a worker is sent something new
//! only if it has shown lately that it takes work, by its answer to a health check or by serving a request.
//! What is to go to another waits until a health check has asked it.

use crate::interface::*;
use std::collections::BTreeSet;

/// Share of the drain grace for which an answer counts, from the moment at which the worker was asked. The
/// rest is for the way there and for late turns.
const CONFIRMED_SHARE: f64 = 0.8;
/// Least time for which an answer counts: half of what the platform adds to every limit.
const MIN_CONFIRMED: Duration = Duration::millis(25);
/// A change of the list counts as received this long after it was made at the latest, as the protocol has it.
/// Where no health checks are allowed, answers count for as long.
const RECEIVED_AT_THE_LATEST: Duration = Duration::millis(7000);
/// Rejections in a row after which a worker is asked why also while the list is valid: a full one takes some
/// requests between those that it rejects.
const REJECTIONS_UNTIL_ASKED: u32 = 3;
/// A worker that takes no work, or does not answer, is asked again after this time at the soonest.
const RECHECK_INTERVAL: Duration = Duration::millis(1000);

/// What is known of one worker's readiness.
#[derive(Default)]
pub struct Readiness {
    /// When the health check or request was sent that it answered last as a worker that takes work does.
    confirmed_at: Option<Timestamp>,
    /// It has said since that it takes no work, or could not be reached: what comes back is another process.
    away: bool,
    /// It is sent nothing before.
    avoided_until: Timestamp,
    /// Requests and loads that it has rejected since it last took one, or was asked why.
    rejections: u32,
}

impl Readiness {
    /// Whether it is sent nothing now, because it takes no work or did not answer.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        self.avoided_until > now
    }

    /// Whether it takes no work, or is not there.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// Whether it has shown within `lifetime` that it takes work.
    pub fn is_confirmed(&self, now: Timestamp, lifetime: Duration) -> bool {
        !self.away && self.confirmed_at.is_some_and(|at| now <= at + lifetime)
    }

    /// It took work, or said that it does, when it was asked at `sent_at`.
    pub fn confirm(&mut self, sent_at: Timestamp) {
        if !self.away {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
            self.rejections = 0;
        }
    }

    /// It rejected a request or load; whether it is to be asked why.
    pub fn note_rejection(&mut self) -> bool {
        self.rejections += 1;
        if self.rejections < REJECTIONS_UNTIL_ASKED {
            return false;
        }
        self.rejections = 0;
        true
    }

    /// What it showed counts no longer: it is asked before it is sent anything.
    pub fn mark_doubtful(&mut self) {
        self.confirmed_at = None;
    }

    /// It takes no work, or is not there.
    pub fn mark_away(&mut self, now: Timestamp) {
        self.mark_doubtful();
        self.away = true;
        self.avoid(now);
    }

    /// It is asked again after a while.
    pub fn avoid(&mut self, now: Timestamp) {
        self.avoided_until = now + RECHECK_INTERVAL;
    }

    /// The list has the same process anew, in whatever state.
    pub fn mark_listed(&mut self) {
        self.away = false;
        self.avoided_until = Timestamp(0);
    }
}

/// How long an answer counts under these settings.
pub fn confirmation_lifetime(settings: &Settings) -> Duration {
    let share = settings.rules.drain_grace.times(CONFIRMED_SHARE).max(MIN_CONFIRMED);
    if settings.limits.may_probe { share } else { Duration(share.0 + RECEIVED_AT_THE_LATEST.0) }
}

/// How long the list is valid by itself, from when its source was heard. Workers are asked only once a
/// heartbeat is overdue; where they cannot be, what the source would have told next counts as received with
/// no more delay than this.
fn list_lifetime(settings: &Settings) -> Duration {
    let lifetime = confirmation_lifetime(settings);
    if settings.limits.may_probe { Duration(lifetime.0 + DISCOVERY_HEARTBEAT_ALLOWANCE.0) } else { lifetime }
}

/// Until when the list of workers is valid by itself.
#[derive(Default)]
pub struct ListValidity {
    /// None where nothing changes the list but who gives it.
    valid_until: Option<Timestamp>,
    /// Workers that are not of that list.
    fixed: BTreeSet<WorkerId>,
}

impl ListValidity {
    /// Takes in what became of the list's source.
    pub fn observe(&mut self, now: Timestamp, source: ListSource, settings: &Settings) {
        let lifetime = confirmation_lifetime(settings);
        match source {
            ListSource::Followed { fixed } => {
                // The list that the process began with may be old.
                let first = if settings.limits.may_probe { Timestamp(0) } else { now + lifetime };
                self.valid_until.get_or_insert(first);
                self.fixed = fixed;
            }
            ListSource::Fixed => *self = ListValidity::default(),
            ListSource::Received { at } => self.extend(at + list_lifetime(settings)),
            ListSource::Confirmed { at } => {
                // Discovery itself may have been silent for longer, by as much as its heartbeat is allowed.
                let earliest = Timestamp(at.0.saturating_sub(DISCOVERY_HEARTBEAT_ALLOWANCE.0));
                let counts_from = if settings.limits.may_probe { at } else { earliest };
                self.extend(counts_from + list_lifetime(settings));
            }
            // What it would have told counts as received as soon as it is asked.
            ListSource::Resubscribed => {
                self.valid_until = self.valid_until.map(|before| before.min(now + lifetime));
            }
        }
    }

    fn extend(&mut self, until: Timestamp) {
        self.valid_until = self.valid_until.map(|before| before.max(until));
    }

    /// Whether the list has a source at all, for this worker.
    pub fn governs(&self, worker: WorkerId) -> bool {
        self.valid_until.is_some() && !self.fixed.contains(&worker)
    }

    /// Whether it is valid now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_none_or(|until| now <= until)
    }
}
