//! Checks invariants on what the stand-ins observed. Times are those of the rig, and results don't depend on thread
//! scheduling: an action counts as later than another only if a round that began after the other was read found it
//! not yet arrived.

use super::Moment;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A violated rule, with the details.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// What violated it, with ids and times.
    pub what: String,
}

/// An action that needs a lease, as encoded in the request id of a probe or a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeasedAction {
    /// The task: 0 for probes, 1 for load renewals.
    pub task: u8,
    /// The part of the task.
    pub part: u16,
    /// The fence of the lease.
    pub fence: u64,
}

impl LeasedAction {
    /// Parses `probe-17-2.40` and `load-17-2.40`; ids without a fence need no lease.
    pub fn read(rid: &str) -> Option<LeasedAction> {
        let mut words = rid.split('-');
        let task = match words.next()? {
            "probe" => 0,
            "load" => 1,
            _ => return None,
        };
        let (part, fence) = words.nth(1)?.split_once('.')?;
        Some(LeasedAction { task, part: part.parse().ok()?, fence: fence.parse().ok()? })
    }
}

/// The rate at which a scheduler may request loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadRateLimit {
    /// Load requests allowed in a span regardless of calls.
    pub free: f64,
    /// Additional load requests allowed per call.
    pub share: f64,
    /// Length of the span, in nanoseconds.
    pub span: Moment,
}

#[derive(Default)]
struct LoadHistory {
    /// By call id: when it was sent, and when it ended.
    calls: BTreeMap<u64, (Moment, Option<Moment>)>,
    /// For each load request: the latest time at which it was certainly not yet sent, and when it was read.
    load_requests: VecDeque<(Moment, Moment)>,
}

/// A call as its client and the workers saw it.
struct CallRecord {
    sent: Moment,
    /// Whether it must not run twice.
    fragile: bool,
    /// When its client cancelled it or disconnected.
    gone: Option<Moment>,
    /// Attempts that were received completely: the worker, and whether it reported that the attempt never ran.
    attempts: Vec<(usize, bool)>,
}

/// The call's id encoded in the request id of its attempts, and whether its client had sent it a second time.
fn parse_attempt_id(rid: &str) -> Option<(u64, bool)> {
    let number = u64::from_str_radix(rid, 16).ok().filter(|_| rid.len() == 16)?;
    Some((number >> 1, number & 1 == 1))
}

/// Longest time after its client has gone in which an attempt may still begin, including the duration of the rig's
/// rounds, in nanoseconds.
const MAX_SEND_AFTER_CLIENT_GONE: Moment = 150_000_000;
/// Tolerated excess of the remaining time reported to a worker.
const TIME_LEFT_SLACK_MS: u64 = 150;

/// The history of calls, attempts and loads, and the violations found in it.
pub struct Audit {
    load_limit: LoadRateLimit,
    /// How long clients wait, in milliseconds.
    allow_ms: u64,
    calls: BTreeMap<u64, CallRecord>,
    /// For each task and part: which scheduler acted under each fence, and when its first action was read.
    actions: BTreeMap<(u8, u16), BTreeMap<u64, (usize, Moment)>>,
    called_functions: BTreeSet<String>,
    load_histories: BTreeMap<usize, LoadHistory>,
    /// Violations found.
    pub violations: Vec<Violation>,
    /// Actions under leases, by scheduler.
    pub action_counts: BTreeMap<usize, u64>,
}

/// Limits the report when one violation recurs.
const MAX_VIOLATIONS: usize = 20;

impl Audit {
    /// Creates an audit with an empty history.
    pub fn new(load_limit: LoadRateLimit, allow_ms: u64) -> Audit {
        Audit {
            load_limit,
            allow_ms,
            calls: BTreeMap::new(),
            actions: BTreeMap::new(),
            called_functions: BTreeSet::new(),
            load_histories: BTreeMap::new(),
            violations: vec![],
            action_counts: BTreeMap::new(),
        }
    }

    /// Adds a violation, up to the limit.
    pub fn add_violation(&mut self, rule: &'static str, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { rule, what });
        }
    }

    /// Checks an action under a lease. It was read at `now` and had not arrived by `since`.
    pub fn check_action(&mut self, scheduler: usize, action: LeasedAction, since: Moment, now: Moment) {
        *self.action_counts.entry(scheduler).or_default() += 1;
        let fences = self.actions.entry((action.task, action.part)).or_default();
        let (first, _) = *fences.entry(action.fence).or_insert((scheduler, now));
        let later = fences.range(action.fence + 1..).find(|(_, (_, at))| *at < since);
        let later = later.map(|(fence, (other, at))| (*fence, *other, *at));
        let ms = |at: Moment| at / 1_000_000;
        if first != scheduler {
            let what = format!("{action:?} by {first} and by {scheduler}, at {} ms", ms(now));
            self.add_violation("two holders of one fence", what);
        }
        if let Some((fence, other, at)) = later {
            let what = format!(
                "{action:?} by {scheduler} at {} to {} ms, after {other} had acted under {fence} at {} ms",
                ms(since),
                ms(now),
                ms(at)
            );
            self.add_violation("an action under a superseded fence", what);
        }
    }

    /// Records that a client called a function at a scheduler.
    pub fn record_call(&mut self, now: Moment, scheduler: usize, id: u64, function: &str, fragile: bool) {
        self.calls.insert(id, CallRecord { sent: now, fragile, gone: None, attempts: vec![] });
        self.called_functions.insert(function.to_owned());
        self.load_histories.entry(scheduler).or_default().calls.insert(id, (now, None));
    }

    /// Records that a call's client cancelled it or disconnected.
    pub fn record_client_gone(&mut self, now: Moment, id: u64) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.gone.get_or_insert(now);
        }
    }

    /// Checks a completely received attempt, which had not arrived by `since`.
    pub fn check_attempt(&mut self, since: Moment, scheduler: usize, worker: usize, rid: &str, ttl_ms: u64) {
        let known = parse_attempt_id(rid).and_then(|(id, resent)| Some((self.calls.get_mut(&id)?, resent)));
        let Some((call, resent)) = known else {
            return self
                .add_violation("an attempt of a call that no client made", format!("{rid} by {scheduler}"));
        };
        let at = since / 1_000_000;
        let waited_ms = since.saturating_sub(call.sent) / 1_000_000;
        let is_too_long = !resent && ttl_ms + waited_ms > self.allow_ms + TIME_LEFT_SLACK_MS;
        let gone = call.gone.filter(|gone| gone + MAX_SEND_AFTER_CLIENT_GONE < since);
        let repeated = call.fragile && call.attempts.iter().any(|(_, never_ran)| !never_ran);
        call.attempts.push((worker, false));
        let what =
            format!("{rid} by {scheduler} to {worker} at {at} ms, {waited_ms} ms after the call was made");
        if let Some(gone) = gone {
            self.add_violation(
                "an attempt after its client had gone",
                format!("{what}; client gone at {} ms", gone / 1_000_000),
            );
        }
        if is_too_long {
            self.add_violation("a remaining time that is too long", format!("{what}, with {ttl_ms} ms"));
        }
        if repeated {
            self.add_violation("a call that must not run twice was sent again", what);
        }
    }

    /// Records a worker's answer that an attempt never ran there.
    pub fn record_never_ran(&mut self, worker: usize, rid: &str) {
        let call = parse_attempt_id(rid).and_then(|(id, _)| self.calls.get_mut(&id));
        if let Some(attempt) = call.and_then(|call| call.attempts.iter_mut().rfind(|(at, _)| *at == worker)) {
            attempt.1 = true;
        }
    }

    /// Checks a rejection of a call, after which its client may retry at once.
    pub fn check_refusal(&mut self, scheduler: usize, id: u64) {
        let Some(call) = self.calls.get(&id).filter(|call| call.fragile) else { return };
        if call.attempts.iter().any(|(_, never_ran)| !never_ran) {
            self.add_violation("a refusal of a call that may have run", format!("call {id} by {scheduler}"));
        }
    }

    /// Records the end of a call, after which no scheduler can accept it.
    pub fn record_end(&mut self, now: Moment, scheduler: usize, id: u64) {
        if let Some((_, ended)) = self.load_histories.entry(scheduler).or_default().calls.get_mut(&id) {
            *ended = Some(now);
        }
    }

    /// Checks a load request, which was read at `now` and had not arrived by `since`. It counts the load requests
    /// that were certainly all sent within one span, against all calls that may have been accepted in that span, so a
    /// scheduler or a rig that waited for a processor doesn't cause a false violation.
    pub fn check_load(&mut self, since: Moment, now: Moment, scheduler: usize, function: &str) {
        if !self.called_functions.contains(function) {
            self.add_violation(
                "a load of a function that was not called",
                format!("{function} by {scheduler}"),
            );
        }
        let LoadRateLimit { free, share, span } = self.load_limit;
        let history = self.load_histories.entry(scheduler).or_default();
        history.load_requests.push_back((since, now));
        history.load_requests.retain(|(since, _)| *since + span >= now);
        // The span that ends with this request may have ended as early as `since`.
        history.calls.retain(|_, (_, ended)| ended.is_none_or(|at| at + span >= since));
        // The platform itself widens the limit like this for sockets.
        let limit = (free + share * history.calls.len() as f64) * 1.15 + 1.0;
        let load_requests = history.load_requests.len();
        let found = (load_requests as f64 > limit).then(|| {
            format!("{load_requests} load requests by {scheduler} for {limit:.1} at {} ms", now / 1_000_000)
        });
        if let Some(what) = found {
            self.add_violation("more loads than the rate limit allows", what);
        }
    }
}

#[cfg(test)]
mod tests;
