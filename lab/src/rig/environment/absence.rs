//! Records when schedulers were absent or stopped, and when the rig itself was delayed.

use super::Moment;

/// Periods in which schedulers may have left something undone.
pub(super) struct Absence {
    /// Periods in which each scheduler was down or restarting.
    pub(super) absent: Vec<Vec<(Moment, Option<Moment>)>>,
    /// Periods in which each was stopped, including the time after that in which it catches up.
    pub(super) stopped: Vec<Vec<(Moment, Option<Moment>)>>,
    /// When the last delayed round began.
    pub(super) last_stall: Moment,
}

impl Absence {
    /// Whether a scheduler was down or stopped at any time in this period, or may have waited for a processor.
    pub(super) fn was_away(&self, n: usize, from: Moment, to: Moment) -> bool {
        self.was_stalled(from) || any_overlap(&self.stopped[n], from, to) || self.was_gone(n, from, to)
    }

    /// Whether it was down at any time in this period.
    pub(super) fn was_gone(&self, n: usize, from: Moment, to: Moment) -> bool {
        any_overlap(&self.absent[n], from, to)
    }

    /// Whether it cannot have processed by now what arrived at `from`: it is stopped or has just been continued. A
    /// stop that ended earlier is no excuse.
    pub(super) fn is_unable(&self, n: usize, from: Moment, now: Moment) -> bool {
        self.was_stalled(from) || any_overlap(&self.stopped[n], now, now)
    }

    /// Whether the rig itself was delayed since then.
    fn was_stalled(&self, since: Moment) -> bool {
        self.last_stall >= since.max(1)
    }

    /// Whether it is down now.
    pub(super) fn is_away(&self, n: usize) -> bool {
        self.absent[n].iter().any(|(_, until)| until.is_none())
    }
}

/// Whether any of these periods overlaps the given one.
fn any_overlap(spans: &[(Moment, Option<Moment>)], from: Moment, to: Moment) -> bool {
    spans.iter().any(|(since, until)| *since <= to && until.is_none_or(|until| until >= from))
}

#[cfg(test)]
mod tests;
