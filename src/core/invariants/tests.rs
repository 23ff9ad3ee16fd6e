use super::*;
use crate::core::Command;
use crate::request::{IncomingRequest, Owner, Reply};

const SITE_SETTINGS: &str = r#"{"fleetSize": 1, "index": 0, "tickNs": 2000000, "classes": [
    {"name": "safe", "deadlineNs": 3000000000, "effect": "retryable", "objectiveNs": 1000000000},
    {"name": "keyed", "deadlineNs": 3000000000, "effect": "dedup", "group": "all",
     "repeatWindowNs": 500000000, "objectiveNs": 1000000000},
    {"name": "unsafe", "deadlineNs": 3000000000, "effect": "fragile", "objectiveNs": 1000000000}],
  "bounds": {"mostTries": 9, "mayCancel": true},
  "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
  "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "mayOrder": true, "loadSpanNs": 0}}"#;

fn at(ms: u64) -> Timestamp {
    Timestamp(1_000_000_000_000 + ms * 1_000_000)
}

/// A scheduler with one worker and one open request, whose first attempt has not been written.
fn with_request(class: &str) -> (Core, AttemptId) {
    let mut core = Core::new(crate::settings::read_site(SITE_SETTINGS.as_bytes()).unwrap(), 7);
    let member = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
    core.members(at(0), ListKind::Full, vec![member]);
    let incoming = IncomingRequest {
        owner: Owner { connection: 1, stream: 1 },
        reference: "9b1f03aa5c7e2d41".to_owned(),
        class: class.to_owned(),
        function: FunctionId(9),
        key: None,
        memory_mb: 100.0,
        concurrency: 2.0,
        load_time: None,
        deadline: at(3_000),
        body: vec![],
    };
    core.submit(at(0), incoming);
    let attempt = std::iter::from_fn(|| core.next_command()).find_map(|command| match command {
        Command::Send { attempt, .. } => Some(attempt),
        _ => None,
    });
    (core, attempt.expect("an attempt is sent"))
}

/// Asserts that only this invariant was violated, this many times.
#[track_caller]
fn assert_only(core: &Core, violation: Violation, times: u64) {
    assert_eq!(
        (core.violations().of(violation), core.violations().total()),
        (times, times),
        "{}",
        core.violations()
    );
    assert_eq!(core.figures().violations, times);
}

#[test]
fn each_violation_has_its_own_name_and_index() {
    let names: std::collections::BTreeSet<_> =
        Violation::ALL.iter().map(|violation| violation.name()).collect();
    assert_eq!(names.len(), Violation::ALL.len());
    for (index, violation) in Violation::ALL.into_iter().enumerate() {
        assert_eq!(violation as usize, index);
    }
}

#[test]
fn a_normal_request_violates_nothing() {
    let (mut core, attempt) = with_request("unsafe");
    assert!(core.may_write(at(1), attempt));
    core.written(at(1), attempt);
    core.attempt_ended(at(2), attempt, Ok(Reply::Ok(vec![])));
    assert_eq!(core.violations(), &Violations::default());
    assert!(!core.figures().to_string().contains("violations"));
}

#[test]
fn an_unchecked_attempt_is_detected() {
    let (mut core, attempt) = with_request("safe");
    core.written(at(1), attempt);
    assert_only(&core, Violation::SentUnchecked, 1);
    assert!(core.figures().to_string().contains("scheduler.violations=1\n"));
}

#[test]
fn an_attempt_written_after_its_deadline_is_detected() {
    let (mut core, attempt) = with_request("safe");
    assert!(core.may_write(at(1), attempt));
    core.written(at(3_001), attempt);
    assert_only(&core, Violation::SentLate, 1);
}

#[test]
fn an_attempt_whose_client_has_left_is_detected() {
    let (mut core, attempt) = with_request("safe");
    assert!(core.may_write(at(1), attempt));
    // As if a withdrawal had failed to cancel the attempt.
    core.remove_request(attempt.request);
    core.written(at(2), attempt);
    assert_eq!(core.violations().of(Violation::SentAfterEnd), 1);
}

/// A request that may have run is not written again, or not later than its class allows.
#[test]
fn a_forbidden_retry_is_detected() {
    for (class, later, expected) in
        [("safe", 2_000, 0), ("keyed", 400, 0), ("keyed", 501, 1), ("unsafe", 2, 1)]
    {
        let (mut core, first) = with_request(class);
        assert!(core.may_write(at(1), first));
        core.written(at(1), first);
        // The first attempt has ended, and the next one is written without a check.
        let mut attempt = core.attempts.remove(&first).unwrap();
        core.counters.reset += 1;
        (attempt.allowed, attempt.written) = (true, None);
        let second = AttemptId { number: first.number + 1, ..first };
        core.attempts.insert(second, attempt);
        core.counters.attempts += 1;
        core.written(at(later), second);
        assert_only(&core, Violation::Repeated, expected);
    }
}

#[test]
fn two_attempts_in_flight_are_detected() {
    let (mut core, first) = with_request("safe");
    assert!(core.may_write(at(1), first));
    core.written(at(1), first);
    let copy = core.attempts.get(&first).map(|attempt| crate::core::command::Attempt {
        worker: attempt.worker,
        worker_started: attempt.worker_started,
        class: attempt.class,
        decided_at: attempt.decided_at,
        deadline: attempt.deadline,
        written: None,
        allowed: true,
    });
    let second = AttemptId { number: first.number + 1, ..first };
    core.attempts.insert(second, copy.unwrap());
    core.written(at(2), second);
    assert_only(&core, Violation::SecondAttempt, 1);
}

#[test]
fn an_unchecked_load_request_is_detected() {
    let (mut core, _) = with_request("safe");
    let load = Action::Load { worker: WorkerId(1), function: FunctionId(9), instances: 1, part: None };
    core.carry_out(at(1), &load);
    core.carry_out(at(1), &load);
    let loads: Vec<LoadId> = core.loads.open.keys().copied().collect();
    assert!(core.may_write_load(at(1), loads[0]));
    for load in loads {
        core.load_ended(at(2), load, Ok(crate::request::LoadResult { status: Status::Ok, instances: 1 }));
    }
    assert_only(&core, Violation::LoadUnchecked, 1);
}

/// Totals are checked after every event; a difference is reported when it arises, and again when it changes.
#[test]
fn totals_that_do_not_match_are_detected() {
    type Corrupt = fn(&mut Core);
    let cases: [(Violation, Corrupt); 4] = [
        (Violation::Requests, |core| core.counters.taken += 1),
        (Violation::Attempts, |core| core.counters.cancelled += 1),
        (Violation::Loads, |core| core.counters.orders_begun += 1),
        (Violation::Tables, |core| core.requests.clear_references()),
    ];
    for (violation, corrupt) in cases {
        let (mut core, _) = with_request("safe");
        corrupt(&mut core);
        core.on_timeout(at(1));
        core.on_timeout(at(2));
        assert_only(&core, violation, 1);
    }
}
