use super::*;

const WORKER: WorkerId = WorkerId(1);

/// Calls and news in any order: what counts is the last call by hand, and an id that nobody has gets a no.
#[test]
fn a_ban_holds_until_the_call_back() {
    let mut cordons = Cordons::default();
    let line = |state, started| Member { worker: WORKER, state, started, ..Member::default() };
    assert_eq!(cordons.cordon(WORKER, false), CordonResult::Unknown);
    assert_eq!(cordons.uncordon(Timestamp(1), WORKER, false), CordonResult::Unknown);
    assert_eq!(cordons.uncordon(Timestamp(1), WORKER, true), CordonResult::Unchanged, "it was never out");
    assert_eq!(
        cordons.applied_to(line(State::Ready, None)),
        line(State::Ready, None),
        "nor has it come back"
    );
    assert_eq!(cordons.cordon(WORKER, true), CordonResult::Changed);
    assert_eq!(cordons.cordon(WORKER, true), CordonResult::Unchanged);
    cordons.forget_gone(|_| false);
    assert_eq!(cordons.cordon(WORKER, false), CordonResult::Unchanged, "gone from the list, and still out");
    let again = line(State::Ready, Some(Timestamp(5)));
    assert_eq!(cordons.applied_to(again).state, State::Draining, "listed anew, and still out");
    assert_eq!(cordons.applied_to(line(State::Gone, None)).state, State::Gone);
    assert_eq!(
        cordons.uncordon(Timestamp(9), WORKER, false),
        CordonResult::Changed,
        "one call back for two out"
    );
    assert_eq!(cordons.uncordon(Timestamp(10), WORKER, true), CordonResult::Unchanged);
    assert_eq!(
        cordons.applied_to(again),
        line(State::Ready, Some(Timestamp(9))),
        "cold from the call back on"
    );
    assert_eq!(cordons.applied_to(line(State::Ready, Some(Timestamp(12)))).started, Some(Timestamp(12)));
    cordons.forget_gone(|_| false);
    assert_eq!(cordons.applied_to(again), again, "what came after it was gone is told by the bus");
}

#[test]
fn bans_are_bounded() {
    let mut cordons = Cordons::default();
    let done: Vec<CordonResult> =
        (0..=MAX_CORDONED as u64).map(|id| cordons.cordon(WorkerId(id), true)).collect();
    assert_eq!((done[0], done[MAX_CORDONED]), (CordonResult::Changed, CordonResult::TooMany));
    assert_eq!(cordons.cordoned().count(), MAX_CORDONED);
}
