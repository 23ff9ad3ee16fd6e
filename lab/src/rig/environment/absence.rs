//! When schedulers were away or stopped, and when the rig itself came late.

use super::Moment;

/// When something may rightly have been left undone.
pub(super) struct Absence {
    /// From when to when each scheduler was gone, or on its way.
    pub(super) away: Vec<Vec<(Moment, Option<Moment>)>>,
    /// From when to when each was stopped, and the time after that in which it catches up.
    pub(super) stopped: Vec<Vec<(Moment, Option<Moment>)>>,
    /// When a round last came late.
    pub(super) stalled: Moment,
}

impl Absence {
    /// Whether a scheduler was gone or stopped at some time, or may have been kept waiting for a processor.
    pub(super) fn was_away(&self, n: usize, from: Moment, to: Moment) -> bool {
        self.came_late(from) || overlap(&self.stopped[n], from, to) || self.was_gone(n, from, to)
    }

    /// Whether it was gone at some time.
    pub(super) fn was_gone(&self, n: usize, from: Moment, to: Moment) -> bool {
        overlap(&self.away[n], from, to)
    }

    /// Whether it cannot have acted by now on what came then: it is stopped, or has just been continued. A stop that was over
    /// before is no excuse.
    pub(super) fn is_unable(&self, n: usize, from: Moment, now: Moment) -> bool {
        self.came_late(from) || overlap(&self.stopped[n], now, now)
    }

    /// Whether the rig itself came late since then.
    fn came_late(&self, since: Moment) -> bool {
        self.stalled >= since.max(1)
    }

    /// Whether it is gone.
    pub(super) fn is_away(&self, n: usize) -> bool {
        self.away[n].iter().any(|(_, until)| until.is_none())
    }
}

/// Whether any of these spans has a moment between two others.
fn overlap(spans: &[(Moment, Option<Moment>)], from: Moment, to: Moment) -> bool {
    spans.iter().any(|(since, until)| *since <= to && until.is_none_or(|until| until >= from))
}

#[cfg(test)]
mod tests;
