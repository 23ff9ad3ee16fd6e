//! The log compared with a plain map: parts for any interest from any position, removals, digests, epochs.

use super::*;
use crate::fleet::distribution::log::{Log, MAX_TOPIC_TOMBSTONES};
use proptest::prelude::*;

type Model = BTreeMap<(Topic, Key), Value>;

fn apply(model: &mut Model, change: &Change) {
    let name = (change.topic, change.key.clone());
    match &change.value {
        Some(value) => drop(model.insert(name, value.clone())),
        None => drop(model.remove(&name)),
    }
}

fn covered(model: &Model, interest: &Interest) -> Model {
    let of = |((topic, _), _): &(&(Topic, Key), &Value)| interest.covers(*topic);
    model.iter().filter(of).map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn digest(model: &Model) -> u64 {
    let hash = |((topic, key), value): (&(Topic, Key), &Value)| {
        Change { topic: *topic, key: key.clone(), value: Some(value.clone()) }.hash()
    };
    model.iter().map(hash).fold(0, u64::wrapping_add)
}

/// Applies all parts from a position on to a model.
fn follow(log: &Log, interest: &Interest, mut after: u64, removed_after: u64, mut model: Model) -> Model {
    while after < log.version().sequence {
        let part = log.part(interest, after, removed_after);
        assert!(part.upto > after && part.bytes <= PAGE_BYTES);
        assert_eq!(part.changes.len(), part.steps.len());
        assert!(
            part.steps.iter().all(|step| *step > 0) && part.steps.iter().sum::<u64>() <= part.upto - after
        );
        part.changes.iter().for_each(|change| apply(&mut model, change));
        after = part.upto;
    }
    model
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (0u64..30, 0u8..4, 0u32..5).prop_map(|(id, zone, weight)| worker(id, zone, weight)),
        3 => (0u64..30, 0u8..4).prop_map(|(id, zone)| removal(id, zone)),
        2 => (0u8..4, 0usize..900).prop_map(|(name, size)| class(&name.to_string(), &"x".repeat(size))),
        1 => (0u8..4).prop_map(|name| Change { value: None, ..class(&name.to_string(), "") }),
    ]
}

fn interest() -> impl Strategy<Value = Interest> {
    prop_oneof![
        Just(Interest::All),
        prop::collection::btree_set(0u8..5, 0..4)
            .prop_map(|of| zone_interest(&of.into_iter().collect::<Vec<_>>())),
    ]
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// A version plus the parts after it gives the records and the digest of a plain map.
    #[test]
    fn parts_from_any_position_lead_to_the_same_records(
        batches in prop::collection::vec(prop::collection::vec(change(), 1..8), 1..40),
        interest in interest(),
    ) {
        let (mut log, mut model) = (Log::default(), Model::new());
        let mut versions = vec![(Version::default(), model.clone())];
        for (fence, batch) in batches.into_iter().enumerate() {
            batch.iter().for_each(|change| apply(&mut model, change));
            log.commit(1 + fence as u64 / 3, batch);
            versions.push((log.version(), model.clone()));
        }
        let wanted = covered(&model, &interest);
        prop_assert_eq!(log.digest_of(&interest), digest(&wanted));
        prop_assert_eq!(log.digest(), digest(&model));
        prop_assert_eq!(log.len(), model.len());
        prop_assert_eq!(log.records().count(), model.len());
        for (version, before) in versions {
            let before = covered(&before, &interest);
            prop_assert_eq!(&follow(&log, &interest, version.sequence, 0, before), &wanted);
            prop_assert_eq!(log.contains_version(version), version.sequence > 0);
            let other = Version { fence: version.fence + 50, ..version };
            prop_assert!(!log.contains_version(other));
        }
        // A snapshot needs no removals.
        let head = log.version().sequence;
        prop_assert_eq!(&follow(&log, &interest, 0, head, Model::new()), &wanted);
    }

    /// A log built from the parts of another one serves the same records, from each version that it includes.
    #[test]
    fn a_log_built_from_parts_serves_the_same_parts(
        batches in prop::collection::vec(prop::collection::vec(change(), 1..6), 2..30),
        stops in prop::collection::btree_set(1usize..30, 1..6),
        interest in interest(),
    ) {
        let (mut log, mut model, mut relay) = (Log::default(), Model::new(), Log::default());
        let mut versions = vec![];
        let mut at = 0;
        for (number, batch) in batches.into_iter().enumerate() {
            batch.iter().for_each(|change| apply(&mut model, change));
            log.commit(1 + number as u64 / 5, batch);
            if !stops.contains(&number) {
                continue;
            }
            while at < log.version().sequence {
                let part = log.part(&Interest::All, at, 0);
                let numbers = part.steps.iter().scan(at, |at, step| {
                    *at += step;
                    Some(*at)
                });
                let head = Version { sequence: part.upto, ..log.version() };
                relay.install(head, log.epoch_start(), numbers.zip(part.changes));
                at = part.upto;
            }
            prop_assert_eq!(relay.digest(), log.digest());
            versions.push((relay.version(), model.clone()));
        }
        let Some((_, last)) = versions.last().cloned() else { return Ok(()) };
        let wanted = covered(&last, &interest);
        for (version, before) in versions {
            let before = covered(&before, &interest);
            prop_assert!(relay.contains_version(version));
            prop_assert_eq!(&follow(&relay, &interest, version.sequence, 0, before), &wanted);
        }
    }

    /// The net effect of a batch, and the resulting digest, are known before the batch is applied.
    #[test]
    fn net_changes_are_the_difference(
        first in prop::collection::vec(change(), 0..30),
        then in prop::collection::vec(change(), 0..30),
    ) {
        let mut log = Log::default();
        log.commit(1, first);
        let (changes, digest) = log.net_changes(then.clone());
        let mut after = log.clone();
        after.commit(2, then);
        prop_assert_eq!(after.digest(), digest);
        let mut names: Vec<_> = changes.iter().map(|it| (it.topic, it.key.clone(), it.value.is_some())).collect();
        prop_assert!(names.is_sorted_by_key(|(.., set)| *set), "removals first");
        let by_difference = log.difference(&after);
        prop_assert_eq!(changes.len(), by_difference.len());
        prop_assert!(changes.iter().all(|change| by_difference.contains(change)));
        names.sort();
        names.dedup();
        prop_assert_eq!(names.len(), changes.len());
    }

    /// A rebased log has the same records under the sequences of another history.
    #[test]
    fn a_rebased_log_serves_the_same_records(first in prop::collection::vec(change(), 1..60), ahead in 0u64..1_000) {
        let (mut log, mut model) = (Log::default(), Model::new());
        first.iter().for_each(|change| apply(&mut model, change));
        log.commit(3, first);
        let head = Version { fence: 9, sequence: log.len() as u64 + ahead };
        log.rebase(head, 1);
        prop_assert_eq!(log.version(), head);
        prop_assert_eq!(log.digest(), digest(&model));
        prop_assert_eq!(log.floor(&Interest::All), head.sequence);
        prop_assert_eq!(follow(&log, &Interest::All, 0, head.sequence, Model::new()), model);
    }
}

#[test]
fn old_tombstones_are_dropped_up_to_the_floor() {
    let mut log = Log::default();
    let many = MAX_TOPIC_TOMBSTONES as u64 + 100;
    log.commit(1, (0..many).map(|id| worker(id, 0, 1)));
    log.commit(1, [worker(0, 1, 1)]);
    log.commit(1, (0..many).map(|id| removal(id, 0)));
    assert_eq!(log.len(), 1);
    assert_eq!(log.floor(&zone_interest(&[0])), many + 1 + 100, "the first hundred tombstones are dropped");
    assert_eq!(log.floor(&zone_interest(&[1])), 0, "other topics remember all of theirs");
    assert_eq!(log.floor(&Interest::All), many + 1 + 100);
    let part = log.part(&zone_interest(&[0]), 0, log.version().sequence);
    assert_eq!((part.changes.len(), part.upto), (0, log.version().sequence), "no record is left");
    assert_eq!(log.part(&zone_interest(&[0]), many + 101, 0).changes[0], removal(100, 0));
}

#[test]
fn epochs_are_bounded_and_versions_of_dropped_ones_are_unknown() {
    let mut log = Log::default();
    for fence in 1..=100 {
        log.commit(fence, [worker(fence, 0, 1)]);
    }
    assert!(!log.contains_version(Version { fence: 1, sequence: 1 }));
    assert!(log.contains_version(Version { fence: 50, sequence: 50 }));
    assert!(!log.contains_version(Version { fence: 50, sequence: 51 }));
    assert!(!log.contains_version(Version { fence: 100, sequence: 101 }), "not reached yet");
    assert_eq!(log.epoch_start(), 100);
}
