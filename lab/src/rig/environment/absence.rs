//! When schedulers were away or stopped, and when the rig itself came late.

use super::Moment;

/// When something may rightly have been left undone.
pub(super) struct Absence {
    /// From when to when each scheduler was gone, stopped or on its way.
    pub(super) away: Vec<Vec<(Moment, Option<Moment>)>>,
    /// From when to when each was stopped: a part of the former.
    pub(super) stopped: Vec<Vec<(Moment, Option<Moment>)>>,
    /// When a round last came late.
    pub(super) stalled: Moment,
}

impl Absence {
    /// Whether a scheduler was gone or stopped at some time, or may have been kept waiting for a processor.
    pub(super) fn was_away(&self, n: usize, from: Moment, to: Moment) -> bool {
        self.was_stopped(n, from, to) || overlap(&self.away[n], from, to)
    }

    /// Whether it was stopped then, or may have been kept waiting for a processor.
    pub(super) fn was_stopped(&self, n: usize, from: Moment, to: Moment) -> bool {
        self.stalled >= from.max(1) || overlap(&self.stopped[n], from, to)
    }
}

/// Whether any of these spans has a moment between two others.
fn overlap(spans: &[(Moment, Option<Moment>)], from: Moment, to: Moment) -> bool {
    spans.iter().any(|(since, until)| *since <= to && until.is_none_or(|until| until >= from))
}
