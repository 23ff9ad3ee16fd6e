//! Slow start: limits what recently started workers are sent, so that all schedulers together do not overload
//! them.

use super::workers::{Worker, Workers};
use crate::interface::*;
use std::collections::BTreeSet;

/// Returns whether a worker is still warming up after its start.
pub fn is_warming_up(member: &Member, rules: &Rules, now: Timestamp) -> bool {
    member.started.is_some_and(|started| now - started < rules.cold_span)
}

/// Returns whether a worker may be sent one more request or load: it has warmed up, or its budget holds a
/// token.
pub fn has_budget(worker: &Worker, rules: &Rules, now: Timestamp) -> bool {
    !is_warming_up(&worker.member, rules, now) || worker.slow_start.has_token()
}

/// Returns the share of its capacity that a worker is assumed to have, by the rules.
fn capacity_share(member: &Member, rules: &Rules, now: Timestamp) -> f64 {
    let started = member.started.filter(|started| now - *started < rules.cold_span);
    let age = started.map_or(1.0, |started| (now - started).secs() / rules.cold_span.secs());
    rules.cold_from + (1.0 - rules.cold_from) * age.min(1.0)
}

/// The workers that may be warming up.
#[derive(Default)]
pub struct SlowStart {
    warming_up: BTreeSet<WorkerId>,
}

impl SlowStart {
    /// Adds a worker that may be warming up.
    pub fn add(&mut self, worker: WorkerId) {
        self.warming_up.insert(worker);
    }

    /// Adds several workers that may be warming up.
    pub fn add_all(&mut self, workers: impl Iterator<Item = WorkerId>) {
        self.warming_up.extend(workers);
    }

    /// Refills the budgets by the rate at which a warm worker serves this scheduler's requests. An overload
    /// does not raise that rate, so the budgets of all schedulers add up to no more than one worker's own.
    pub fn refill(&mut self, now: Timestamp, rules: &Rules, workers: &mut Workers, served_per_s: f64) {
        if self.warming_up.is_empty() {
            return;
        }
        let ready = workers.iter().filter(|(_, worker)| worker.member.state == State::Ready);
        let capacity: f64 = ready.map(|(_, worker)| capacity_share(&worker.member, rules, now)).sum();
        let rate = served_per_s / capacity.max(1.0) * rules.fall_multiple;
        self.warming_up.retain(|id| {
            let Some(worker) = workers.get_mut(*id) else { return false };
            worker.slow_start.refill(now, rate * capacity_share(&worker.member, rules, now));
            is_warming_up(&worker.member, rules, now)
        });
    }
}
