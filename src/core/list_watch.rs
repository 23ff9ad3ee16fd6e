//! Whether the source of the list of workers is in reach, as far as it is logged and counted.

use crate::interface::{Duration, Timestamp};

/// How the list has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListChange {
    /// It may be out of date from now on: workers are asked before they are sent anything.
    Unconfirmed,
    /// It is valid by itself again, after so long.
    Confirmed(Duration),
}

/// What is known of the list's source.
#[derive(Default)]
pub(super) struct ListWatch {
    /// Whether discovery is out of reach.
    pub(super) discovery_lost: bool,
    /// Whether the list comes from a domain, and discovery does not count.
    pub(super) is_distributed: bool,
    unconfirmed_since: Option<Timestamp>,
    has_been_confirmed: bool,
}

impl ListWatch {
    /// Whether workers are asked before they are sent anything.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    /// Takes in whether the list is valid by itself now. Every start begins with a list that is still to be confirmed:
    /// only what changes later is told.
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
