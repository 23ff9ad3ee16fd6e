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

/// A scheduler with one worker and one open request, whose first attempt has not gone out.
fn with_call(class: &str) -> (Core, AttemptId) {
    let mut core = Core::new(crate::settings::read_site(SITE_SETTINGS.as_bytes()).unwrap(), 7);
    let member = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
    core.members(at(0), ListKind::Full, vec![member]);
    let call = IncomingRequest {
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
    core.submit(at(0), call);
    let attempt = std::iter::from_fn(|| core.next_command()).find_map(|command| match command {
        Command::Send { attempt, .. } => Some(attempt),
        _ => None,
    });
    (core, attempt.expect("it is sent"))
}

/// Only this rule was seen broken, so often.
#[track_caller]
fn only(core: &Core, violation: Violation, times: u64) {
    assert_eq!(
        (core.violations().of(violation), core.violations().total()),
        (times, times),
        "{}",
        core.violations()
    );
    assert_eq!(core.figures().violations, times);
}

#[test]
fn each_violation_has_a_name_and_a_place_of_its_own() {
    let names: std::collections::BTreeSet<_> =
        Violation::ALL.iter().map(|violation| violation.name()).collect();
    assert_eq!(names.len(), Violation::ALL.len());
    for (place, violation) in Violation::ALL.into_iter().enumerate() {
        assert_eq!(violation as usize, place);
    }
}

#[test]
fn a_call_that_goes_as_it_should_breaks_nothing() {
    let (mut core, attempt) = with_call("unsafe");
    assert!(core.may_write(at(1), attempt));
    core.written(at(1), attempt);
    core.attempt_ended(at(2), attempt, Ok(Reply::Ok(vec![])));
    assert_eq!(core.violations(), &Violations::default());
    assert!(!core.figures().to_string().contains("violations"));
}

#[test]
fn an_attempt_that_passes_no_gate_is_seen() {
    let (mut core, attempt) = with_call("safe");
    core.written(at(1), attempt);
    only(&core, Violation::SentUnchecked, 1);
    assert!(core.figures().to_string().contains("scheduler.violations=1\n"));
}

#[test]
fn an_attempt_that_goes_out_after_its_time_is_seen() {
    let (mut core, attempt) = with_call("safe");
    assert!(core.may_write(at(1), attempt));
    core.written(at(3_001), attempt);
    only(&core, Violation::SentLate, 1);
}

#[test]
fn an_attempt_whose_client_has_gone_is_seen() {
    let (mut core, attempt) = with_call("safe");
    assert!(core.may_write(at(1), attempt));
    // As if the withdrawal had forgotten to call the attempt off.
    core.remove_request(attempt.request);
    core.written(at(2), attempt);
    assert_eq!(core.violations().of(Violation::SentAfterEnd), 1);
}

/// What may have run does not go out again, or not later than its class allows.
#[test]
fn a_repeat_against_the_rules_is_seen() {
    for (class, later, broken) in [("safe", 2_000, 0), ("keyed", 400, 0), ("keyed", 501, 1), ("unsafe", 2, 1)]
    {
        let (mut core, first) = with_call(class);
        assert!(core.may_write(at(1), first));
        core.written(at(1), first);
        // The first is out no longer, and the next goes past the gate.
        let mut attempt = core.attempts.remove(&first).unwrap();
        core.counters.reset += 1;
        (attempt.allowed, attempt.written) = (true, None);
        let second = AttemptId { number: first.number + 1, ..first };
        core.attempts.insert(second, attempt);
        core.counters.attempts += 1;
        core.written(at(later), second);
        only(&core, Violation::Repeated, broken);
    }
}

#[test]
fn two_attempts_at_once_are_seen() {
    let (mut core, first) = with_call("safe");
    assert!(core.may_write(at(1), first));
    core.written(at(1), first);
    let twin = core.attempts.get(&first).map(|attempt| crate::core::command::Attempt {
        worker: attempt.worker,
        class: attempt.class,
        decided_at: attempt.decided_at,
        deadline: attempt.deadline,
        written: None,
        allowed: true,
    });
    let second = AttemptId { number: first.number + 1, ..first };
    core.attempts.insert(second, twin.unwrap());
    core.written(at(2), second);
    only(&core, Violation::SecondAttempt, 1);
}

#[test]
fn an_order_that_passes_no_gate_is_seen() {
    let (mut core, _) = with_call("safe");
    let load = Action::Load { worker: WorkerId(1), function: FunctionId(9), instances: 1, part: None };
    core.carry_out(at(1), &load);
    core.carry_out(at(1), &load);
    let loads: Vec<LoadId> = core.loads.open.keys().copied().collect();
    assert!(core.may_write_load(at(1), loads[0]));
    for load in loads {
        core.load_ended(at(2), load, Ok(crate::request::LoadResult { status: Status::Ok, instances: 1 }));
    }
    only(&core, Violation::LoadUnchecked, 1);
}

/// Sums are looked at after every event; a difference is told when it comes up, and again when it becomes another one.
#[test]
fn sums_that_do_not_add_up_are_seen() {
    type Spoil = fn(&mut Core);
    let cases: [(Violation, Spoil); 4] = [
        (Violation::Requests, |core| core.counters.taken += 1),
        (Violation::Attempts, |core| core.counters.cancelled += 1),
        (Violation::Loads, |core| core.counters.orders_begun += 1),
        (Violation::Tables, |core| core.requests.clear_references()),
    ];
    for (violation, spoil) in cases {
        let (mut core, _) = with_call("safe");
        spoil(&mut core);
        core.on_timeout(at(1));
        core.on_timeout(at(2));
        only(&core, violation, 1);
    }
}
