//! Checks that the ledger detects violations, and tests of propagation figures and links.

use super::*;
use crate::ledger::Ledger;
use mintgate::fleet::distribution::Interest;

const QUORUM_VOTES: usize = 2;

fn replicas() -> Vec<SocketAddr> {
    (0..3).map(address_of).collect()
}

fn change(worker: u64, weight_milli: u32) -> Change {
    worker_change(worker, WorkerRecord { weight_milli, ..first_record(worker, 2) })
}

fn version(fence: u64, sequence: u64) -> Version {
    Version { fence, sequence }
}

fn complete() -> Change {
    Change { topic: Topic::SETTINGS, key: Key::Complete, value: Some(Value::Complete) }
}

/// The digest that a process which holds these records has.
fn digest(changes: &[Change]) -> u64 {
    changes.iter().map(Change::hash).fold(0, u64::wrapping_add)
}

/// A ledger after a complete list of two workers was committed under fence 1 as sequence numbers 1 to 3.
fn ledger() -> Ledger {
    let mut ledger = Ledger::new(&replicas());
    let batch = [change(0, 1), change(1, 1), complete()];
    commit(&mut ledger, 0, version(0, 0), version(1, 3), &batch, QUORUM_VOTES);
    assert!(ledger.violations().is_empty(), "{:?}", ledger.violations());
    ledger
}

fn commit(
    ledger: &mut Ledger,
    publisher: usize,
    before: Version,
    version: Version,
    changes: &[Change],
    votes: usize,
) {
    for other in (0..3).filter(|other| *other != publisher).take(votes - 1) {
        ledger.accepted(address_of(other), version.fence, before.sequence);
    }
    ledger.committed(address_of(publisher), version.fence, before, version, changes, None);
}

#[track_caller]
fn assert_violation(ledger: &Ledger, text: &str) {
    let violations = ledger.violations();
    assert!(violations.len() == 1 && violations[0].contains(text), "{violations:?}");
}

#[test]
fn installing_uncommitted_records_is_a_violation() {
    let zone = Interest::Topics(vec![topic(0)]);
    let right = digest(&[change(0, 1), complete()]);
    let installed = |version, digest| {
        let mut ledger = ledger();
        ledger.installed(address_of(9), Role::Subscriber, &zone, version, Some(digest));
        ledger
    };
    assert!(installed(version(1, 3), right).violations().is_empty());
    assert_violation(&installed(version(1, 2), right), "never committed");
    assert_violation(&installed(version(2, 3), right), "never committed");
    assert_violation(&installed(version(1, 3), right.wrapping_add(1)), "other records");
    // It also covers the record of the other zone.
    assert_violation(
        &installed(version(1, 3), digest(&[change(0, 1), change(1, 1), complete()])),
        "other records",
    );
}

#[test]
fn installing_an_incomplete_version_at_a_child_is_a_violation() {
    let mut ledger = Ledger::new(&replicas());
    commit(&mut ledger, 0, version(0, 0), version(1, 1), &[change(0, 1)], QUORUM_VOTES);
    let all = digest(&[change(0, 1)]);
    ledger.installed(address_of(1), Role::Replica, &Interest::All, version(1, 1), Some(all));
    assert!(ledger.violations().is_empty());
    ledger.installed(address_of(5), Role::Relay, &Interest::All, version(1, 1), Some(all));
    assert_violation(&ledger, "incomplete");
}

#[test]
fn committing_without_a_majority_is_a_violation() {
    let mut alone = ledger();
    commit(&mut alone, 0, version(1, 3), version(1, 4), &[change(0, 2)], 1);
    assert_violation(&alone, "votes");
    // Votes under another fence or for another sequence number don't count.
    let mut other = ledger();
    other.accepted(address_of(1), 1, 2);
    other.accepted(address_of(1), 2, 3);
    commit(&mut other, 0, version(1, 3), version(1, 4), &[change(0, 2)], 1);
    assert_violation(&other, "votes");
}

#[test]
fn committing_two_batches_after_the_same_sequence_is_a_violation() {
    let mut ledger = ledger();
    commit(&mut ledger, 0, version(1, 3), version(1, 4), &[change(0, 2)], QUORUM_VOTES);
    commit(&mut ledger, 1, version(1, 3), version(2, 5), &[change(0, 3), change(1, 3)], QUORUM_VOTES);
    assert_violation(&ledger, "though");
    assert_eq!(ledger.histories(), 1);
}

#[test]
fn a_new_history_may_begin_only_after_a_majority_lost_its_state() {
    let mut ledger = ledger();
    ledger.killed(address_of(0));
    ledger.started(address_of(0));
    assert!(!ledger.is_established(address_of(0)));
    // It has recovered, and the majority was never lost.
    let all = digest(&[change(0, 1), change(1, 1), complete()]);
    ledger.installed(address_of(0), Role::Replica, &Interest::All, version(1, 3), Some(all));
    assert!(ledger.is_established(address_of(0)));
    ledger.killed(address_of(1));
    commit(&mut ledger, 2, version(0, 0), version(2, 4), &[change(0, 2)], QUORUM_VOTES);
    assert_violation(&ledger, "though");
    // Two of three lost their state at the same time: starting a new history is no violation.
    let mut ledger = self::ledger();
    ledger.killed(address_of(0));
    ledger.killed(address_of(1));
    commit(&mut ledger, 2, version(0, 0), version(2, 4), &[change(0, 2)], QUORUM_VOTES);
    assert!(ledger.violations().is_empty(), "{:?}", ledger.violations());
}

#[test]
fn losing_an_acknowledged_change_is_detected() {
    let mut ledger = ledger();
    let now = Timestamp(1);
    ledger.request(1, now, vec![change(0, 2)]);
    ledger.request(2, now, vec![change(1, 2)]);
    commit(&mut ledger, 0, version(1, 3), version(1, 4), &[change(0, 2)], QUORUM_VOTES);
    ledger.published(now, 1, Ok(version(1, 4)));
    assert!(ledger.lost_changes().is_empty(), "{:?}", ledger.lost_changes());
    // The acknowledged version does not contain the change.
    ledger.published(now, 2, Ok(version(1, 4)));
    assert_eq!(ledger.lost_changes().len(), 1, "{:?}", ledger.lost_changes());
    ledger.published(now, 2, Err(PublishError::TooMany));
    assert_violation(&ledger, "two outcomes");
    ledger.request(3, now, vec![change(1, 3)]);
    ledger.published(now, 3, Ok(version(1, 9)));
    assert!(ledger.violations()[1].contains("not committed"), "{:?}", ledger.violations());
}

#[test]
fn propagation_reports_percentiles_and_missing_processes() {
    let spans = (1..=200).map(|n| Some(Duration(n))).chain([None]).collect();
    let propagation = Propagation::new(spans);
    assert_eq!((propagation.of, propagation.missing), (201, 1));
    assert_eq!(
        (propagation.median, propagation.percentile_99, propagation.last),
        (Duration(100), Duration(198), Duration(200))
    );
    assert_eq!(Propagation::new(vec![]).of, 0);
}

#[test]
fn partitions_and_impaired_links_override_the_default() {
    let inter_region_link = Link { delay: Duration::millis(15), ..Link::default() };
    let mut links = Links::new(2, inter_region_link);
    let [one, two, three] = [address_of(0), address_of(1), address_of(2)];
    assert_eq!((links.link(one, two), links.link(one, three)), (Some(inter_region_link), None));
    links.processes.insert(three, Link { loss: 0.5, ..inter_region_link });
    assert_eq!(links.link(one, three), Some(Link { loss: 0.5, ..inter_region_link }));
    links.pairs.insert((one, three), Link { loss: 0.7, ..inter_region_link });
    assert_eq!(links.link(one, three).map(|link| link.loss), Some(0.7));
    assert_eq!(links.link(three, one).map(|link| link.loss), Some(0.5));
    links.sides.insert(one, 1);
    assert!(links.link(one, three).is_some_and(|link| link.cut));
    assert!(links.link(three, one).is_some_and(|link| link.cut));
    assert!(!links.link(two, three).is_some_and(|link| link.cut));
}
