//! Invariants, checked while the scheduler runs. A violation in spite of the code that prevents it is counted, logged
//! with the request's reference and shown in the figures. The checks make no decisions and take constant time.
//!
//! `docs/invariants.md` names for each invariant the code that prevents a violation, its check here and its tests.

use super::{AttemptId, Core, LoadId};
use crate::interface::*;
use crate::request::AttemptProgress;
use std::fmt;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The number of requests received differs from those answered, withdrawn and open together.
    Requests,
    /// The number of attempts started differs from those ended and open together.
    Attempts,
    /// The number of load requests started differs from those ended and open together.
    Loads,
    /// The tables of open requests differ in size.
    Tables,
    /// An attempt was written whose request had ended or whose client had left.
    SentAfterEnd,
    /// An attempt was written after its deadline.
    SentLate,
    /// An attempt was written that no check before the write had allowed.
    SentUnchecked,
    /// A request was written again after an attempt that may have run, and its class does not allow that, or not that
    /// late.
    Repeated,
    /// Two attempts of one request were in flight at once.
    SecondAttempt,
    /// A load request was written that no check before the write had allowed.
    LoadUnchecked,
}

impl Violation {
    /// All violations.
    pub const ALL: [Violation; 10] = [
        Violation::Requests,
        Violation::Attempts,
        Violation::Loads,
        Violation::Tables,
        Violation::SentAfterEnd,
        Violation::SentLate,
        Violation::SentUnchecked,
        Violation::Repeated,
        Violation::SecondAttempt,
        Violation::LoadUnchecked,
    ];

    /// Name in figures and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Violation::Requests => "calls",
            Violation::Attempts => "attempts",
            Violation::Loads => "orders",
            Violation::Tables => "tables",
            Violation::SentAfterEnd => "sent_after_end",
            Violation::SentLate => "sent_late",
            Violation::SentUnchecked => "sent_unasked",
            Violation::Repeated => "repeated",
            Violation::SecondAttempt => "second_copy",
            Violation::LoadUnchecked => "ordered_unasked",
        }
    }
}

/// Number of violations of each invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; Violation::ALL.len()]);

impl Violations {
    /// Number of violations of one invariant.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Number of violations of all invariants.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl fmt::Display for Violations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for violation in Violation::ALL {
            write!(f, " {}={}", violation.name(), self.of(violation))?;
        }
        Ok(())
    }
}

/// Sums that are checked: calls, attempts, load requests, and the two indices of the table of requests.
const CHECKED_TOTALS: usize = 5;

/// The violations found, and by how much each checked total differed at the last check.
#[derive(Default)]
pub(super) struct InvariantChecks {
    violations: Violations,
    differences: [u64; CHECKED_TOTALS],
}

impl Core {
    /// Counts a violation and logs it, within the same rate limit as log lines caused by clients.
    fn violated(&mut self, now: Timestamp, violation: Violation, reference: &str, detail: &str) {
        self.invariants.violations.0[violation as usize] += 1;
        if self.may_log(now) {
            tracing::error!(rule = violation.name(), reference, detail, "violation");
        }
    }

    /// The violations found so far.
    pub fn violations(&self) -> &Violations {
        &self.invariants.violations
    }

    /// Checks that everything that was started has ended or is open. Called when no events are queued.
    pub(super) fn check_totals(&mut self, now: Timestamp) {
        let counters = &self.counters;
        let answered = counters.served + counters.refused + counters.failed;
        let calls = (counters.taken, answered + counters.withdrawn + self.requests.len() as u64);
        let ends = [
            counters.ok,
            counters.error,
            counters.full,
            counters.timeout,
            counters.connect_failed,
            counters.reset,
            counters.cancelled,
            counters.moot,
            counters.miss,
        ];
        let attempts = (counters.attempts, ends.iter().sum::<u64>() + self.attempts.len() as u64);
        let loads = (counters.orders_begun, counters.orders_ended + self.loads.open.len() as u64);
        let open = self.requests.len();
        let totals: [_; CHECKED_TOTALS] = [
            (Violation::Requests, calls),
            (Violation::Attempts, attempts),
            (Violation::Loads, loads),
            (Violation::Tables, (open as u64, self.requests.owner_count() as u64)),
            (Violation::Tables, (open as u64, self.requests.reference_count() as u64)),
        ];
        for (index, (violation, (started, ended))) in totals.into_iter().enumerate() {
            // Reported once each time the difference changes, not at each following event.
            let difference = started.wrapping_sub(ended);
            let previous = std::mem::replace(&mut self.invariants.differences[index], difference);
            if previous != difference && difference != 0 {
                self.violated(now, violation, "", &format!("{started} started, {ended} ended or open"));
            }
        }
    }

    /// Checks an attempt that has been written completely: the write must have been allowed, now or a moment ago.
    pub(super) fn check_written(&mut self, now: Timestamp, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let allowed = attempt.allowed;
        let late = now > attempt.deadline;
        let Some(accepted) = self.requests.get(id.request) else {
            return self.violated(now, Violation::SentAfterEnd, "", &format!("{id:?}"));
        };
        let repeated = accepted.first_written.is_some_and(|first| match accepted.effect {
            Effect::Safe => false,
            Effect::Unsafe => true,
            Effect::Keyed { window, .. } => now >= first.at + window,
        });
        let attempts_of_request = AttemptId { request: id.request, number: 0 }..=AttemptId {
            request: id.request,
            number: u16::MAX,
        };
        let in_flight =
            self.attempts.range(attempts_of_request).filter(|(_, attempt)| attempt.written.is_some()).count();
        let checks = [
            (!allowed, Violation::SentUnchecked),
            (late, Violation::SentLate),
            (repeated, Violation::Repeated),
            (in_flight > 0, Violation::SecondAttempt),
        ];
        if !checks.iter().any(|(violated, _)| *violated) {
            return;
        }
        let reference = accepted.work.reference.clone();
        for (_, violation) in checks.into_iter().filter(|(violated, _)| *violated) {
            self.violated(now, violation, &reference, &format!("attempt {}", id.number));
        }
    }

    /// Checks a load request that has ended: if it was written, the write must have been allowed.
    pub(super) fn check_load(&mut self, now: Timestamp, id: LoadId, progress: AttemptProgress) {
        let Some(load) = self.loads.open.get(&id) else { return };
        let written = matches!(progress, AttemptProgress::Out | AttemptProgress::Answered);
        if written && !load.allowed {
            self.violated(
                now,
                Violation::LoadUnchecked,
                "",
                &format!("LoadId({}, {:?})", id.number, id.lease),
            );
        }
    }
}

#[cfg(test)]
mod tests;
