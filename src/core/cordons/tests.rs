use super::*;

const WORKER: WorkerId = WorkerId(1);

/// Cordons and list changes in any order: the operator's last call counts, and an id that is not listed is rejected.
#[test]
fn a_cordon_holds_until_it_is_undone() {
    let mut cordons = Cordons::default();
    let member = |state, started| Member { worker: WORKER, state, started, ..Member::default() };
    assert_eq!(cordons.cordon(WORKER, false), CordonResult::Unknown);
    assert_eq!(cordons.uncordon(Timestamp(1), WORKER, false), CordonResult::Unknown);
    assert_eq!(
        cordons.uncordon(Timestamp(1), WORKER, true),
        CordonResult::Unchanged,
        "it was never cordoned"
    );
    assert_eq!(
        cordons.applied_to(member(State::Ready, None)),
        member(State::Ready, None),
        "nor was it uncordoned"
    );
    assert_eq!(cordons.cordon(WORKER, true), CordonResult::Changed);
    assert_eq!(cordons.cordon(WORKER, true), CordonResult::Unchanged);
    cordons.forget_gone(|_| false);
    assert_eq!(
        cordons.cordon(WORKER, false),
        CordonResult::Unchanged,
        "removed from the list, but still cordoned"
    );
    let relisted = member(State::Ready, Some(Timestamp(5)));
    assert_eq!(cordons.applied_to(relisted).state, State::Draining, "listed again, but still cordoned");
    assert_eq!(cordons.applied_to(member(State::Gone, None)).state, State::Gone);
    assert_eq!(
        cordons.uncordon(Timestamp(9), WORKER, false),
        CordonResult::Changed,
        "one uncordon undoes two cordons"
    );
    assert_eq!(cordons.uncordon(Timestamp(10), WORKER, true), CordonResult::Unchanged);
    assert_eq!(
        cordons.applied_to(relisted),
        member(State::Ready, Some(Timestamp(9))),
        "it counts as started when it was uncordoned"
    );
    assert_eq!(cordons.applied_to(member(State::Ready, Some(Timestamp(12)))).started, Some(Timestamp(12)));
    cordons.forget_gone(|_| false);
    assert_eq!(
        cordons.applied_to(relisted),
        relisted,
        "once it has been removed from the list, discovery's start time counts"
    );
}

#[test]
fn the_number_of_cordons_is_bounded() {
    let mut cordons = Cordons::default();
    let results: Vec<CordonResult> =
        (0..=MAX_CORDONED as u64).map(|id| cordons.cordon(WorkerId(id), true)).collect();
    assert_eq!((results[0], results[MAX_CORDONED]), (CordonResult::Changed, CordonResult::TooMany));
    assert_eq!(cordons.cordoned().count(), MAX_CORDONED);
}
