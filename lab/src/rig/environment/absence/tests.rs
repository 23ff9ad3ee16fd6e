use super::*;

fn absence(away: &[(Moment, Option<Moment>)], stopped: &[(Moment, Option<Moment>)]) -> Absence {
    Absence { absent: vec![away.to_vec()], stopped: vec![stopped.to_vec()], last_stall: 0 }
}

/// A scheduler that was stopped has to process what arrived meanwhile as soon as it runs again.
#[test]
fn a_stop_is_an_excuse_only_while_it_lasts() {
    let absence = absence(&[], &[(10, Some(20))]);
    assert!(absence.is_unable(0, 5, 15));
    assert!(absence.is_unable(0, 5, 20));
    assert!(!absence.is_unable(0, 5, 21));
    assert!(!absence.was_gone(0, 5, 21));
    assert!(absence.was_away(0, 5, 21), "the stop may have delayed what must not happen too late");
}

#[test]
fn a_kill_excuses_all_calls_open_then() {
    let absence = absence(&[(10, None)], &[]);
    assert!(absence.is_away(0));
    assert!(absence.was_gone(0, 5, 30));
    assert!(!absence.was_gone(0, 5, 9));
    assert!(!absence.is_unable(0, 5, 30));
}

#[test]
fn nothing_is_checked_from_before_a_stall_of_the_rig() {
    let absence = Absence { last_stall: 7, ..absence(&[], &[]) };
    assert!(absence.is_unable(0, 5, 9));
    assert!(!absence.is_unable(0, 8, 9));
}
