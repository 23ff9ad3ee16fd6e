//! The rules must find what they look for.

use super::*;
use crate::ledger::Ledger;
use mintgate::fleet::distribution::Interest;

const QUORUM: usize = 2;

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

/// The digest over these records, as a process that holds them has it.
fn digest(changes: &[Change]) -> u64 {
    changes.iter().map(Change::hash).fold(0, u64::wrapping_add)
}

/// A ledger after a whole list of two workers under fence 1: sequences 1 to 3.
fn ledger() -> Ledger {
    let mut ledger = Ledger::new(&replicas());
    let batch = [change(0, 1), change(1, 1), complete()];
    commit(&mut ledger, 0, version(0, 0), version(1, 3), &batch, QUORUM);
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
fn finds(ledger: &Ledger, words: &str) {
    let broken = ledger.violations();
    assert!(broken.len() == 1 && broken[0].contains(words), "{broken:?}");
}

#[test]
fn what_is_in_force_must_be_what_was_committed() {
    let zone = Interest::Topics(vec![topic(0)]);
    let right = digest(&[change(0, 1), complete()]);
    let installed = |version, digest| {
        let mut ledger = ledger();
        ledger.installed(address_of(9), Role::Subscriber, &zone, version, Some(digest));
        ledger
    };
    assert!(installed(version(1, 3), right).violations().is_empty());
    finds(&installed(version(1, 2), right), "never committed");
    finds(&installed(version(2, 3), right), "never committed");
    finds(&installed(version(1, 3), right.wrapping_add(1)), "other records");
    // The other zone's record too.
    finds(&installed(version(1, 3), digest(&[change(0, 1), change(1, 1), complete()])), "other records");
}

#[test]
fn a_child_must_not_take_what_is_not_whole() {
    let mut ledger = Ledger::new(&replicas());
    commit(&mut ledger, 0, version(0, 0), version(1, 1), &[change(0, 1)], QUORUM);
    let all = digest(&[change(0, 1)]);
    ledger.installed(address_of(1), Role::Replica, &Interest::All, version(1, 1), Some(all));
    assert!(ledger.violations().is_empty());
    ledger.installed(address_of(5), Role::Relay, &Interest::All, version(1, 1), Some(all));
    finds(&ledger, "not whole");
}

#[test]
fn a_commit_needs_a_majority() {
    let mut alone = ledger();
    commit(&mut alone, 0, version(1, 3), version(1, 4), &[change(0, 2)], 1);
    finds(&alone, "votes");
    // Votes under another fence or for another place don't count.
    let mut other = ledger();
    other.accepted(address_of(1), 1, 2);
    other.accepted(address_of(1), 2, 3);
    commit(&mut other, 0, version(1, 3), version(1, 4), &[change(0, 2)], 1);
    finds(&other, "votes");
}

#[test]
fn two_batches_in_one_place_are_a_fork() {
    let mut ledger = ledger();
    commit(&mut ledger, 0, version(1, 3), version(1, 4), &[change(0, 2)], QUORUM);
    commit(&mut ledger, 1, version(1, 3), version(2, 5), &[change(0, 3), change(1, 3)], QUORUM);
    finds(&ledger, "though");
    assert_eq!(ledger.histories(), 1);
}

#[test]
fn what_a_lost_majority_knew_may_begin_anew() {
    let mut ledger = ledger();
    ledger.killed(address_of(0));
    ledger.started(address_of(0));
    assert!(!ledger.is_established(address_of(0)));
    // Known again: the majority never went.
    let all = digest(&[change(0, 1), change(1, 1), complete()]);
    ledger.installed(address_of(0), Role::Replica, &Interest::All, version(1, 3), Some(all));
    assert!(ledger.is_established(address_of(0)));
    ledger.killed(address_of(1));
    commit(&mut ledger, 2, version(0, 0), version(2, 4), &[change(0, 2)], QUORUM);
    finds(&ledger, "though");
    // Two of three gone at a time: nothing can be held against those that begin anew.
    let mut ledger = self::ledger();
    ledger.killed(address_of(0));
    ledger.killed(address_of(1));
    commit(&mut ledger, 2, version(0, 0), version(2, 4), &[change(0, 2)], QUORUM);
    assert!(ledger.violations().is_empty(), "{:?}", ledger.violations());
}

#[test]
fn what_was_acknowledged_must_stand() {
    let mut ledger = ledger();
    let now = Timestamp(1);
    ledger.request(1, now, vec![change(0, 2)]);
    ledger.request(2, now, vec![change(1, 2)]);
    commit(&mut ledger, 0, version(1, 3), version(1, 4), &[change(0, 2)], QUORUM);
    ledger.published(now, 1, Ok(version(1, 4)));
    assert!(ledger.lost_changes().is_empty(), "{:?}", ledger.lost_changes());
    // Said to be in a version that doesn't have it.
    ledger.published(now, 2, Ok(version(1, 4)));
    assert_eq!(ledger.lost_changes().len(), 1, "{:?}", ledger.lost_changes());
    ledger.published(now, 2, Err(PublishError::TooMany));
    finds(&ledger, "came to");
    ledger.request(3, now, vec![change(1, 3)]);
    ledger.published(now, 3, Ok(version(1, 9)));
    assert!(ledger.violations()[1].contains("not committed"), "{:?}", ledger.violations());
}

#[test]
fn a_reach_tells_ranks_and_who_is_missing() {
    let spans = (1..=200).map(|n| Some(Duration(n))).chain([None]).collect();
    let reach = Propagation::new(spans);
    assert_eq!((reach.of, reach.missing), (201, 1));
    assert_eq!(
        (reach.median, reach.percentile_99, reach.last),
        (Duration(100), Duration(198), Duration(200))
    );
    assert_eq!(Propagation::new(vec![]).of, 0);
}

#[test]
fn sides_and_ill_links_are_as_they_were_set() {
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
