//! Zones that are unreachable as a whole. Their workers are not tried one by one.

use super::backoff::backoff;
use super::requests::Attempt;
use super::workers::{Worker, Workers};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Age from which a request in flight counts as unanswered.
const UNANSWERED_AFTER: Duration = Duration::millis(400);
/// Number of unanswered requests and broken connections since a zone was last seen that makes it unreachable.
const MIN_UNANSWERED: usize = 2;
/// Number of failures with which the backoff of a newly unreachable zone starts.
const INITIAL_FAILURES: u32 = 2;

/// A zone from which nothing has been received since `since`.
struct UnreachableZone {
    since: Timestamp,
    /// Until when the zone is skipped.
    until: Timestamp,
    failures: u32,
}

/// Signs of life of a zone, over all its workers.
#[derive(Default)]
struct ZoneActivity {
    last_seen: Timestamp,
    /// Requests and connections without an answer since `last_seen`.
    unanswered: usize,
}

/// A request that has been in flight for long, or a broken connection.
struct Unanswered {
    zone: ZoneId,
    at: Timestamp,
}

/// The currently unreachable zones.
#[derive(Default)]
pub struct UnreachableZones {
    zones: BTreeMap<ZoneId, UnreachableZone>,
    /// Workers whose connection broke and that were not seen since, as of the last update.
    broken_workers: BTreeSet<WorkerId>,
}

impl UnreachableZones {
    /// Returns whether workers of a zone are to be skipped.
    pub fn contains(&self, zone: ZoneId, now: Timestamp) -> bool {
        self.zones.get(&zone).is_some_and(|unreachable| unreachable.until > now)
    }

    /// Records a worker whose connection broke at `now`.
    pub fn record_break(&mut self, worker: &Worker, now: Timestamp) {
        if worker.health.broke_at == now {
            self.broken_workers.insert(worker.member.worker);
        }
    }

    /// Updates which zones are unreachable. The only zone of a fleet never is.
    pub fn update<'a>(
        &mut self,
        now: Timestamp,
        workers: &Workers,
        attempts: impl Iterator<Item = &'a Attempt>,
    ) {
        let unanswered = self.unanswered(now, workers, attempts);
        if self.zones.is_empty() && unanswered.len() < MIN_UNANSWERED {
            return;
        }
        let activity = zone_activity(workers, unanswered);
        self.zones.retain(|zone, unreachable| {
            activity.get(zone).is_some_and(|activity| activity.last_seen <= unreachable.since)
        });
        if activity.len() <= 1 {
            return;
        }
        for (zone, _) in activity.iter().filter(|(_, activity)| activity.unanswered >= MIN_UNANSWERED) {
            let first = UnreachableZone { since: now, until: now, failures: INITIAL_FAILURES };
            let unreachable = self.zones.entry(*zone).or_insert(first);
            if unreachable.until <= now {
                unreachable.until = backoff(now, unreachable.failures);
                unreachable.failures += 1;
            }
        }
    }

    fn unanswered<'a>(
        &mut self,
        now: Timestamp,
        workers: &Workers,
        attempts: impl Iterator<Item = &'a Attempt>,
    ) -> Vec<Unanswered> {
        let old = attempts.filter(|attempt| now - attempt.sent.at > UNANSWERED_AFTER);
        let mut unanswered: Vec<Unanswered> =
            old.map(|attempt| Unanswered { zone: attempt.sent.zone, at: attempt.sent.at }).collect();
        self.broken_workers.retain(|id| workers.get(*id).is_some_and(|worker| worker.health.is_broken()));
        let broken = self.broken_workers.iter().filter_map(|id| workers.get(*id));
        unanswered
            .extend(broken.map(|worker| Unanswered { zone: worker.member.zone, at: worker.health.broke_at }));
        unanswered
    }
}

fn zone_activity(workers: &Workers, unanswered: Vec<Unanswered>) -> BTreeMap<ZoneId, ZoneActivity> {
    let mut zones: BTreeMap<ZoneId, ZoneActivity> = BTreeMap::new();
    for (_, worker) in workers.iter() {
        let zone = zones.entry(worker.member.zone).or_default();
        zone.last_seen = zone.last_seen.max(worker.health.last_seen);
    }
    for Unanswered { zone, at } in unanswered {
        if let Some(zone) = zones.get_mut(&zone)
            && at > zone.last_seen
        {
            zone.unanswered += 1;
        }
    }
    zones
}
