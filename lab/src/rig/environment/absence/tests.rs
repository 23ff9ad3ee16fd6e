use super::*;

fn absence(away: &[(Moment, Option<Moment>)], stopped: &[(Moment, Option<Moment>)]) -> Absence {
    Absence { away: vec![away.to_vec()], stopped: vec![stopped.to_vec()], stalled: 0 }
}

/// A scheduler that was stopped for a while owes what came then as soon as it runs again.
#[test]
fn a_stop_excuses_only_for_as_long_as_it_lasts() {
    let absence = absence(&[], &[(10, Some(20))]);
    assert!(absence.is_unable(0, 5, 15));
    assert!(absence.is_unable(0, 5, 20));
    assert!(!absence.is_unable(0, 5, 21));
    assert!(!absence.was_gone(0, 5, 21));
    assert!(absence.was_away(0, 5, 21), "what must not happen too late may have been held up by it");
}

#[test]
fn a_kill_excuses_all_that_was_open_then() {
    let absence = absence(&[(10, None)], &[]);
    assert!(absence.is_away(0));
    assert!(absence.was_gone(0, 5, 30));
    assert!(!absence.was_gone(0, 5, 9));
    assert!(!absence.is_unable(0, 5, 30));
}

#[test]
fn a_rig_that_came_late_judges_nothing_of_that_time() {
    let absence = Absence { stalled: 7, ..absence(&[], &[]) };
    assert!(absence.is_unable(0, 5, 9));
    assert!(!absence.is_unable(0, 8, 9));
}
