//! Whether the source of the list of workers is reachable, for the log and the counters.

use crate::interface::{Duration, Timestamp};

/// A change of the list's validity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListChange {
    /// The list may be outdated from now on: workers are probed before they are sent work.
    Unconfirmed,
    /// The list is valid by itself again, after this time.
    Confirmed(Duration),
}

/// State of the list's source.
#[derive(Default)]
pub(super) struct ListWatch {
    /// Whether discovery is unreachable.
    pub(super) discovery_lost: bool,
    /// Whether the list comes from a domain, so that discovery is ignored.
    pub(super) is_distributed: bool,
    unconfirmed_since: Option<Timestamp>,
    has_been_confirmed: bool,
}

impl ListWatch {
    /// Whether workers are probed before they are sent work.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    /// Records whether the list is valid by itself now and returns what changed. The list is always unconfirmed at the
    /// start of the process, so that first period is not reported.
    pub(super) fn observe(&mut self, now: Timestamp, valid: bool) -> Option<ListChange> {
        if valid == self.unconfirmed_since.is_none() {
            return None;
        }
        let is_start = !self.has_been_confirmed;
        let change = match self.unconfirmed_since.take() {
            Some(since) => {
                self.has_been_confirmed = true;
                ListChange::Confirmed(now - since)
            }
            None => {
                self.unconfirmed_since = Some(now);
                ListChange::Unconfirmed
            }
        };
        (!is_start).then_some(change)
    }
}
