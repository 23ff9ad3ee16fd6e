//! Whether workers still take work while discovery is unreachable. A worker that the list has as ready may
//! have begun to drain since, and after some time its drain counts as received, whether the update arrived or
//! not.
//!
//! The list is valid for a while after the last message from discovery. After that, a worker is sent new work
//! only if it has shown recently that it takes work, by its answer to a health check or by serving a request.
//! Work for any other worker waits for a health check.

use crate::interface::*;
use std::collections::BTreeSet;

/// Share of the drain grace for which an answer is valid, from the time when the worker was asked. The rest
/// covers the transit of a message to the worker and delays of the event loop.
const CONFIRMATION_LIFETIME_SHARE: f64 = 0.8;
/// Lower bound of the time for which an answer is valid: half of the tolerance that the platform adds to
/// every limit.
const MIN_CONFIRMATION_LIFETIME: Duration = Duration::millis(25);
/// Time after which a change of the list counts as received at the latest, by the protocol. Where no health
/// checks are allowed, answers are valid for this much longer.
const MAX_LIST_CHANGE_DELAY: Duration = Duration::millis(7000);
/// Consecutive rejections after which a worker gets a health check even while the list is valid. A full
/// worker accepts some requests between those that it rejects.
const REJECTIONS_BEFORE_CHECK: u32 = 3;
/// Minimum time before a worker that takes no work, or does not answer, is checked again.
const RECHECK_INTERVAL: Duration = Duration::millis(1000);

/// What is known of one worker's readiness.
#[derive(Default)]
pub struct Readiness {
    /// Send time of the last health check or request whose answer showed that the worker takes work.
    confirmed_at: Option<Timestamp>,
    /// Whether the worker has said since that it takes no work, or could not be reached. If it comes back, it
    /// is a new process.
    unavailable: bool,
    /// The worker is sent nothing before this time.
    avoided_until: Timestamp,
    /// Requests and loads that it rejected since it last accepted one, or was last checked because of
    /// rejections.
    rejections: u32,
}

impl Readiness {
    /// Returns whether the worker is sent nothing now, because it takes no work or did not answer.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        self.avoided_until > now
    }

    /// Returns whether the worker takes no work, or is unreachable.
    pub fn is_unavailable(&self) -> bool {
        self.unavailable
    }

    /// Returns whether the worker has shown within `lifetime` that it takes work.
    pub fn is_confirmed(&self, now: Timestamp, lifetime: Duration) -> bool {
        !self.unavailable && self.confirmed_at.is_some_and(|at| now <= at + lifetime)
    }

    /// Records that the worker accepted work, or said that it does, in answer to a message sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Timestamp) {
        if !self.unavailable {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
            self.rejections = 0;
        }
    }

    /// Records the rejection of a request or load. Returns whether the worker should get a health check.
    pub fn record_rejection(&mut self) -> bool {
        self.rejections += 1;
        if self.rejections < REJECTIONS_BEFORE_CHECK {
            return false;
        }
        self.rejections = 0;
        true
    }

    /// Discards the last confirmation: the worker is checked before it is sent anything.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Records that the worker takes no work, or is unreachable.
    pub fn mark_unavailable(&mut self, now: Timestamp) {
        self.clear_confirmation();
        self.unavailable = true;
        self.avoid(now);
    }

    /// Keeps work from the worker for [`RECHECK_INTERVAL`].
    pub fn avoid(&mut self, now: Timestamp) {
        self.avoided_until = now + RECHECK_INTERVAL;
    }

    /// Records that the list has the same process again, in any state.
    pub fn mark_listed(&mut self) {
        self.unavailable = false;
        self.avoided_until = Timestamp(0);
    }
}

/// Returns how long an answer is valid under these settings.
pub fn confirmation_lifetime(settings: &Settings) -> Duration {
    let share = settings.rules.drain_grace.times(CONFIRMATION_LIFETIME_SHARE).max(MIN_CONFIRMATION_LIFETIME);
    if settings.limits.may_probe { share } else { Duration(share.0 + MAX_LIST_CHANGE_DELAY.0) }
}

/// Returns how long the list is valid by itself after a message from its source. Where health checks are
/// allowed, workers are checked only once a heartbeat is overdue. Where they are not, the next change that
/// the source would have sent counts as received within this time.
fn list_lifetime(settings: &Settings) -> Duration {
    let lifetime = confirmation_lifetime(settings);
    if settings.limits.may_probe { Duration(lifetime.0 + DISCOVERY_HEARTBEAT_ALLOWANCE.0) } else { lifetime }
}

/// Validity of the list of workers by itself.
#[derive(Default)]
pub struct ListValidity {
    /// End of the validity; `None` where the list has no source that changes it.
    valid_until: Option<Timestamp>,
    /// Workers that are not on the list of that source.
    fixed: BTreeSet<WorkerId>,
}

impl ListValidity {
    /// Applies a change of the list's source.
    pub fn observe(&mut self, now: Timestamp, source: ListSource, settings: &Settings) {
        let lifetime = confirmation_lifetime(settings);
        match source {
            ListSource::Followed { fixed } => {
                // The list that the process started with may be old.
                let first = if settings.limits.may_probe { Timestamp(0) } else { now + lifetime };
                self.valid_until.get_or_insert(first);
                self.fixed = fixed;
            }
            ListSource::Fixed => *self = ListValidity::default(),
            ListSource::Received { at } => self.extend(at + list_lifetime(settings)),
            ListSource::Confirmed { at } => {
                // The publisher's own last message from discovery may be older, by up to the heartbeat
                // allowance.
                let earliest = Timestamp(at.0.saturating_sub(DISCOVERY_HEARTBEAT_ALLOWANCE.0));
                let counts_from = if settings.limits.may_probe { at } else { earliest };
                self.extend(counts_from + list_lifetime(settings));
            }
            // Changes that the source would have sent count as received from the moment it is asked again.
            ListSource::Resubscribed => {
                self.valid_until = self.valid_until.map(|before| before.min(now + lifetime));
            }
        }
    }

    fn extend(&mut self, until: Timestamp) {
        self.valid_until = self.valid_until.map(|before| before.max(until));
    }

    /// Returns whether the list has a source that covers this worker.
    pub fn applies_to(&self, worker: WorkerId) -> bool {
        self.valid_until.is_some() && !self.fixed.contains(&worker)
    }

    /// Returns whether the list is valid at `now`.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_none_or(|until| now <= until)
    }
}
