use super::super::SECOND;
use super::*;

fn audit() -> Audit {
    Audit::new(Ration { free: 2.0, share: 0.5, span: SECOND }, 3_000)
}

fn act(fence: u64) -> Act {
    Act { task: 0, part: 2, fence }
}

#[test]
fn names_with_fences_are_read() {
    assert_eq!(Act::read("probe-17-2.40"), Some(act(40)));
    assert_eq!(Act::read("load-17-2.40"), Some(Act { task: 1, ..act(40) }));
    for name in
        ["probe-17", "load-3", "", "probe", "9b1f03aa5c7e2d41", "probe-1-2", "probe-1-2.x", "halt-1-2.3"]
    {
        assert_eq!(Act::read(name), None, "{name}");
    }
}

/// A check that cannot fail proves nothing: each rule is broken once.
#[test]
fn two_holders_are_found() {
    let mut found = audit();
    found.act(0, act(5), 0, 10);
    found.act(1, act(6), 10, 20);
    found.act(1, act(7), 20, 30);
    assert_eq!(found.broken, []);
    found.act(0, act(5), 25, 35);
    assert_eq!(found.broken.len(), 1, "0 acts after 1 has under a later fence");
    found.act(2, act(7), 40, 50);
    assert_eq!(found.broken.last().unwrap().rule, "two holders of one fence");
    assert!(found.acts[&(0, 2)].keys().eq(&[5, 6, 7]));
}

/// Read in one round, or one after the other: nobody knows which was first.
#[test]
fn acts_that_may_have_been_in_order_are_no_fault() {
    let mut found = audit();
    found.act(1, act(6), 0, 20);
    found.act(0, act(5), 0, 20);
    found.act(0, act(5), 20, 30);
    assert_eq!(found.broken, []);
}

#[test]
fn loads_beyond_the_ration_and_of_what_nobody_called_are_found() {
    let mut found = audit();
    found.call(0, 1, 7, "f", false);
    (0..3).for_each(|_| found.order(0, 1, 1, "f"));
    assert_eq!(found.broken, []);
    found.order(0, 1, 1, "f");
    assert_eq!(found.broken.pop().unwrap().rule, "more loads than the ration");
    found.order(0, 1, 2, "g");
    assert_eq!(found.broken.pop().unwrap().rule, "a load of what nobody has called");
}

/// Read together after the rig had waited for long, orders may lie further apart than they seem; and a call that
/// waited counts when it was taken.
#[test]
fn loads_that_may_have_been_within_the_ration_are_no_fault() {
    let mut found = audit();
    found.call(0, 1, 7, "f", false);
    (0..3).for_each(|_| found.order(0, 1, 1, "f"));
    (0..3).for_each(|_| found.order(1, SECOND + 2, 1, "f"));
    assert_eq!(found.broken, []);
    let mut found = audit();
    (0..4).for_each(|id| found.call(0, 1, id, "f", false));
    (0..5).for_each(|n| found.order(9 * SECOND + n, 9 * SECOND + n + 1, 1, "f"));
    assert_eq!(found.broken, []);
    (0..4).for_each(|id| found.ended(10 * SECOND, 1, id));
    (0..4).for_each(|n| found.order(12 * SECOND + n, 12 * SECOND + n + 1, 1, "f"));
    assert_eq!(found.broken.len(), 1, "none of these calls can have been taken then");
}

/// The name of an attempt of a call.
fn name(id: u64) -> String {
    format!("{:016x}", id << 1)
}

fn rules(found: &Audit) -> Vec<&'static str> {
    found.broken.iter().map(|broken| broken.rule).collect()
}

#[test]
fn an_attempt_after_its_client_has_gone_is_found() {
    let mut found = audit();
    found.call(0, 1, 7, "f", false);
    found.gone(SECOND, 7);
    found.attempt(SECOND + GONE, 1, 2, &name(7), 1_000);
    assert_eq!(rules(&found), Vec::<&str>::new(), "it may have come in time");
    found.attempt(SECOND + GONE + 1, 1, 2, &name(7), 1_000);
    assert_eq!(rules(&found), ["an attempt after its client had gone"]);
    found.attempt(SECOND, 1, 2, "load-1", 1_000);
    assert_eq!(rules(&found)[1..], ["a call that no client has made"]);
}

#[test]
fn a_time_left_that_is_too_long_is_found() {
    let mut found = audit();
    found.call(0, 1, 7, "f", false);
    found.attempt(SECOND, 1, 2, &name(7), 2_150);
    assert_eq!(rules(&found), Vec::<&str>::new());
    found.attempt(SECOND, 1, 2, &name(7), 2_151);
    assert_eq!(rules(&found), ["a time left that is too long"]);
}

/// What must not run twice is sent again only where no attempt before it has run, and refused only then.
#[test]
fn repeats_and_refusals_of_what_may_have_run_are_found() {
    let mut found = audit();
    for (id, fragile) in [(7, true), (8, false)] {
        found.call(0, 1, id, "f", fragile);
        found.attempt(1, 1, 2, &name(id), 1_000);
        found.never_ran(2, &name(id));
        found.refused(1, id);
        found.attempt(2, 1, 3, &name(id), 1_000);
        assert_eq!(rules(&found), Vec::<&str>::new(), "{id}");
    }
    found.refused(1, 8);
    found.attempt(3, 1, 2, &name(8), 1_000);
    assert_eq!(rules(&found), Vec::<&str>::new());
    found.refused(1, 7);
    found.attempt(3, 1, 2, &name(7), 1_000);
    assert_eq!(
        rules(&found),
        ["a refusal of what may have run", "a call that must not run twice was sent again"]
    );
}
