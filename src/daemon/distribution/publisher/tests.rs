use super::*;
use crate::fleet::distribution::WorkerRecord;

fn worker(zone: u8, draining: bool) -> Value {
    let address = "127.0.0.1:9000".parse().unwrap();
    Value::Worker(WorkerRecord {
        address,
        zone,
        cell: 0,
        kind: 0,
        draining,
        weight_milli: 1000,
        started_ms: 0,
    })
}

fn class(text: &str) -> Value {
    Value::Class(text.to_owned())
}

fn records(list: &[(Key, Value)]) -> BTreeMap<Key, Value> {
    list.iter().cloned().collect()
}

/// Applies changes to committed records, and checks that no record remains in two topics.
fn apply(committed: &BTreeMap<Key, Value>, changes: &[Change]) -> BTreeMap<Key, Value> {
    let mut all: BTreeMap<(Topic, Key), Value> =
        committed.iter().map(|(key, value)| ((topic(value), key.clone()), value.clone())).collect();
    for change in changes {
        let place = (change.topic, change.key.clone());
        match &change.value {
            Some(value) => drop(all.insert(place, value.clone())),
            None => drop(all.remove(&place)),
        }
    }
    let count = all.len();
    let all: BTreeMap<Key, Value> = all.into_iter().map(|((_, key), value)| (key, value)).collect();
    assert_eq!(all.len(), count, "a record is in two topics");
    all
}

#[test]
fn only_differences_are_published_and_a_moved_worker_has_one_record() {
    let name = |name: &str| Key::Class(name.to_owned());
    let committed = records(&[
        (Key::Complete, Value::Complete),
        (name("a"), class("1")),
        (name("b"), class("2")),
        (name("gone"), class("3")),
        (Key::Worker(1), worker(0, false)),
        (Key::Worker(2), worker(0, false)),
        (Key::Worker(3), worker(0, false)),
        (Key::Worker(4), worker(1, false)),
    ]);
    let source = records(&[
        (name("a"), class("1")),
        (name("b"), class("20")),
        (name("new"), class("4")),
        (Key::Worker(1), worker(0, false)),
        (Key::Worker(2), worker(0, true)),
        (Key::Worker(3), worker(1, false)),
        (Key::Worker(5), worker(0, false)),
    ]);
    let changes = difference(source.clone(), committed.iter());
    assert_eq!(changes.len(), 8, "b, gone, new, 2, 3 twice, 4, 5: {changes:?}");
    let is_worker = |change: &Change| matches!(change.key, Key::Worker(_));
    let first_worker = changes.iter().position(is_worker).unwrap();
    assert_eq!(first_worker, 2, "changed classes come first");
    let moved: Vec<_> = changes.iter().filter(|change| change.key == Key::Worker(3)).collect();
    assert!(moved[0].value.is_none() && moved[1].value.is_some());
    let mut expected = source.clone();
    expected.insert(Key::Complete, Value::Complete);
    assert_eq!(apply(&committed, &changes), expected);
    assert!(difference(source, expected.iter()).is_empty());
}

/// With the lease, the complete source is compared until nothing differs; after that only changed records are.
#[test]
fn one_ticket_is_in_flight_and_everything_is_compared_until_equal() {
    let mut publisher = Publisher::default();
    publisher.mark_changed([Key::Worker(9)]);
    assert!(!publisher.pending(), "without the lease changes are not kept");
    publisher.lease(Some(7));
    assert_eq!(publisher.next(), Next::CompareAll);
    let changes: Vec<Change> = (0..300)
        .map(|id| Change {
            topic: Topic::workers_of(ZoneId(0)),
            key: Key::Worker(id),
            value: Some(worker(0, false)),
        })
        .collect();
    publisher.compared(true, changes.clone());
    let Next::Publish(ticket, first) = publisher.next() else { panic!("expected the first chunk") };
    assert_eq!(
        (first.len(), publisher.next(), publisher.pending()),
        (MAX_CHANGES_PER_TICKET, Next::Nothing, false)
    );
    publisher.not_published(ticket, &PublishError::TooMany);
    let Next::Publish(again, same) = publisher.next() else { panic!("expected the first chunk again") };
    assert!(again > ticket && same == first);
    assert_eq!(publisher.published(ticket), None, "an old ticket");
    assert_eq!(publisher.published(again), Some(MAX_CHANGES_PER_TICKET));
    let Next::Publish(last, _) = publisher.next() else { panic!("expected the rest") };
    publisher.published(last);
    assert_eq!(publisher.next(), Next::CompareAll, "the records compared with may have been out of date");
    publisher.compared(true, vec![]);
    assert_eq!(publisher.next(), Next::Nothing);
    publisher.mark_changed([Key::Worker(4)]);
    assert_eq!(publisher.next(), Next::Compare(BTreeSet::from([Key::Worker(4)])));
    publisher.compared(false, changes[4..5].to_vec());
    let Next::Publish(ticket, _) = publisher.next() else { panic!("expected the change") };
    publisher.not_published(ticket, &PublishError::Superseded);
    assert_eq!(publisher.next(), Next::CompareAll, "the committed records are unknown");
    publisher.lease(None);
    assert!(!publisher.pending());
}

#[test]
fn a_rejected_change_is_not_retried_and_holds_back_the_complete_mark() {
    let mut publisher = Publisher::default();
    publisher.lease(Some(7));
    let class = Change { topic: Topic::SETTINGS, key: Key::Class("a".to_owned()), value: Some(class("{")) };
    publisher.compared(true, vec![class.clone()]);
    publisher.compared(true, vec![complete()]);
    let Next::Publish(ticket, changes) = publisher.next() else { panic!("expected the class") };
    assert_eq!(changes, [class]);
    publisher.not_published(ticket, &PublishError::Invalid("no class".to_owned()));
    assert_eq!(publisher.next(), Next::Nothing);
}
