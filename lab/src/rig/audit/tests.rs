use super::super::SECOND;
use super::*;

fn new_audit() -> Audit {
    Audit::new(LoadRateLimit { free: 2.0, share: 0.5, span: SECOND }, 3_000)
}

fn act(fence: u64) -> LeasedAction {
    LeasedAction { task: 0, part: 2, fence }
}

#[test]
fn request_ids_with_fences_are_parsed() {
    assert_eq!(LeasedAction::read("probe-17-2.40"), Some(act(40)));
    assert_eq!(LeasedAction::read("load-17-2.40"), Some(LeasedAction { task: 1, ..act(40) }));
    for name in
        ["probe-17", "load-3", "", "probe", "9b1f03aa5c7e2d41", "probe-1-2", "probe-1-2.x", "halt-1-2.3"]
    {
        assert_eq!(LeasedAction::read(name), None, "{name}");
    }
}

/// Violates each rule once, since a check that cannot fail proves nothing.
#[test]
fn two_holders_of_one_lease_are_violations() {
    let mut audit = new_audit();
    audit.check_action(0, act(5), 0, 10);
    audit.check_action(1, act(6), 10, 20);
    audit.check_action(1, act(7), 20, 30);
    assert_eq!(audit.violations, []);
    audit.check_action(0, act(5), 25, 35);
    assert_eq!(audit.violations.len(), 1, "0 acts after 1 did under a later fence");
    audit.check_action(2, act(7), 40, 50);
    assert_eq!(audit.violations.last().unwrap().rule, "two holders of one fence");
    assert!(audit.actions[&(0, 2)].keys().eq(&[5, 6, 7]));
}

/// The order of actions read in the same round, or in consecutive ones, is unknown.
#[test]
fn actions_that_may_have_been_in_order_are_no_violation() {
    let mut audit = new_audit();
    audit.check_action(1, act(6), 0, 20);
    audit.check_action(0, act(5), 0, 20);
    audit.check_action(0, act(5), 20, 30);
    assert_eq!(audit.violations, []);
}

#[test]
fn loads_beyond_the_rate_limit_and_of_functions_not_called_are_violations() {
    let mut audit = new_audit();
    audit.record_call(0, 1, 7, "f", false);
    (0..3).for_each(|_| audit.check_load(0, 1, 1, "f"));
    assert_eq!(audit.violations, []);
    audit.check_load(0, 1, 1, "f");
    assert_eq!(audit.violations.pop().unwrap().rule, "more loads than the rate limit allows");
    audit.check_load(0, 1, 2, "g");
    assert_eq!(audit.violations.pop().unwrap().rule, "a load of a function that was not called");
}

/// Load requests read together after the rig was delayed may have been sent further apart than they appear, and a
/// call that waited counts at the time it was accepted.
#[test]
fn loads_that_may_have_been_within_the_rate_limit_are_no_violation() {
    let mut audit = new_audit();
    audit.record_call(0, 1, 7, "f", false);
    (0..3).for_each(|_| audit.check_load(0, 1, 1, "f"));
    (0..3).for_each(|_| audit.check_load(1, SECOND + 2, 1, "f"));
    assert_eq!(audit.violations, []);
    let mut audit = new_audit();
    (0..4).for_each(|id| audit.record_call(0, 1, id, "f", false));
    (0..5).for_each(|n| audit.check_load(9 * SECOND + n, 9 * SECOND + n + 1, 1, "f"));
    assert_eq!(audit.violations, []);
    (0..4).for_each(|id| audit.record_end(10 * SECOND, 1, id));
    (0..4).for_each(|n| audit.check_load(12 * SECOND + n, 12 * SECOND + n + 1, 1, "f"));
    assert_eq!(audit.violations.len(), 1, "none of these calls can have been accepted then");
}

/// The request id of a call's attempts.
fn name(id: u64) -> String {
    format!("{:016x}", id << 1)
}

fn rules(audit: &Audit) -> Vec<&'static str> {
    audit.violations.iter().map(|broken| broken.rule).collect()
}

#[test]
fn an_attempt_after_its_client_has_gone_is_a_violation() {
    let mut audit = new_audit();
    audit.record_call(0, 1, 7, "f", false);
    audit.record_client_gone(SECOND, 7);
    audit.check_attempt(SECOND + MAX_SEND_AFTER_CLIENT_GONE, 1, 2, &name(7), 1_000);
    assert_eq!(rules(&audit), Vec::<&str>::new(), "the attempt may have been sent in time");
    audit.check_attempt(SECOND + MAX_SEND_AFTER_CLIENT_GONE + 1, 1, 2, &name(7), 1_000);
    assert_eq!(rules(&audit), ["an attempt after its client had gone"]);
    audit.check_attempt(SECOND, 1, 2, "load-1", 1_000);
    assert_eq!(rules(&audit)[1..], ["an attempt of a call that no client made"]);
}

#[test]
fn a_remaining_time_that_is_too_long_is_a_violation() {
    let mut audit = new_audit();
    audit.record_call(0, 1, 7, "f", false);
    audit.check_attempt(SECOND, 1, 2, &name(7), 2_150);
    assert_eq!(rules(&audit), Vec::<&str>::new());
    audit.check_attempt(SECOND, 1, 2, &name(7), 2_151);
    assert_eq!(rules(&audit), ["a remaining time that is too long"]);
}

/// A call that must not run twice may be sent again or rejected only if no earlier attempt ran.
#[test]
fn retries_and_refusals_of_calls_that_may_have_run_are_violations() {
    let mut audit = new_audit();
    for (id, fragile) in [(7, true), (8, false)] {
        audit.record_call(0, 1, id, "f", fragile);
        audit.check_attempt(1, 1, 2, &name(id), 1_000);
        audit.record_never_ran(2, &name(id));
        audit.check_refusal(1, id);
        audit.check_attempt(2, 1, 3, &name(id), 1_000);
        assert_eq!(rules(&audit), Vec::<&str>::new(), "{id}");
    }
    audit.check_refusal(1, 8);
    audit.check_attempt(3, 1, 2, &name(8), 1_000);
    assert_eq!(rules(&audit), Vec::<&str>::new());
    audit.check_refusal(1, 7);
    audit.check_attempt(3, 1, 2, &name(7), 1_000);
    assert_eq!(
        rules(&audit),
        ["a refusal of a call that may have run", "a call that must not run twice was sent again"]
    );
}
