//! Which changes are refused, and which processes receive which records.

use crate::*;
use lab::domain::{class_change, topic, worker_change};
use mintgate::fleet::distribution::{Key, PublishError, Value, WorkerRecord};

/// An invalid change: a worker of weight 0.
fn invalid_change(domain: &mut Domain, worker: u64) -> Change {
    let good = domain.modify_worker(worker);
    let Some(Value::Worker(record)) = good.value else { unreachable!("a worker's change") };
    worker_change(worker, WorkerRecord { weight_milli: 0, ..record })
}

#[test]
fn the_publisher_refuses_a_batch_with_an_invalid_change() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        let before = domain.ledger().head();
        let good = [domain.modify_worker(1), domain.modify_worker(2)];
        let wrong = invalid_change(&mut domain, 3);
        let batch = vec![good[0].clone(), wrong, good[1].clone()];
        assert!(
            matches!(domain.publish_now(batch), Some(Err(PublishError::Invalid(_)))),
            "seed {seed}: the publisher accepted it"
        );
        // A change whose key and topic don't belong together, between valid ones.
        let mismatched = Change { topic: topic(1), ..class_change("class-0", Some("{}".to_owned())) };
        let batch = vec![good[0].clone(), mismatched, good[1].clone()];
        assert!(matches!(domain.publish_now(batch), Some(Err(PublishError::Invalid(_)))), "seed {seed}");
        domain.run(seconds(2));
        assert_eq!(domain.ledger().head(), before, "seed {seed}");
        assert!(good.iter().all(|change| !any_process_has(&domain, change)), "seed {seed}");
        // The publisher continues to work.
        publish_committed(&mut domain, good.to_vec());
        assert_converges(&mut domain, seconds(5));
        assert!(has_record(&domain, Role::Replica, 0, &good[0]), "seed {seed}");
    }
}

#[test]
fn each_scheduler_refuses_a_version_with_an_invalid_change() {
    for seed in SEEDS {
        let unchecked_roles = vec![Role::Replica, Role::Relay];
        let mut domain = filled_domain(Plan { zones: 2, unchecked_roles, seed, ..Plan::default() });
        let good = [domain.modify_worker(2), domain.modify_worker(4)];
        let wrong = invalid_change(&mut domain, 6);
        let elsewhere = domain.modify_worker(1);
        let before = versions(&domain);
        let version =
            publish_committed(&mut domain, vec![good[0].clone(), wrong, good[1].clone(), elsewhere.clone()]);
        domain.run(seconds(5));
        for (index, (at, before)) in before.into_iter().enumerate() {
            let process = domain.process(Role::Subscriber, index).unwrap();
            let status = process.node().status(domain.now());
            if index % 2 == 1 {
                // It subscribes to the other zone, where all changes are valid.
                assert!(process.node().version() == version, "seed {seed}: {at}");
                assert!(has_record(&domain, Role::Subscriber, index, &elsewhere), "seed {seed}: {at}");
                continue;
            }
            assert_eq!(process.node().version(), before, "seed {seed}: {at}");
            assert!(
                good.iter().all(|change| !has_record(&domain, Role::Subscriber, index, change)),
                "seed {seed}"
            );
            assert!(
                process.refusals().iter().any(|(_, refused, _)| *refused == version),
                "seed {seed}: {at}"
            );
            assert!(status.refused.is_some_and(|refused| refused.version == version), "seed {seed}: {at}");
        }
        // A valid change of another record does not resolve the refusal; a valid version of the invalid record does.
        let other = domain.modify_worker(8);
        publish_committed(&mut domain, vec![other]);
        domain.run(seconds(2));
        assert!(!domain.all_have_head(), "seed {seed}: the invalid change was installed");
        let [_, _, load] = domain.measure(seconds(10));
        assert!(load.bytes_max < 15_000.0, "seed {seed}: a refused version is requested too often: {load:?}");
        let corrected = domain.modify_worker(6);
        publish_committed(&mut domain, vec![corrected.clone()]);
        assert_converges(&mut domain, seconds(5));
        for index in (0..40).step_by(2) {
            let status = domain.process(Role::Subscriber, index).unwrap().node().status(domain.now());
            assert_eq!(status.refused, None, "seed {seed}: subscriber {index}");
            for change in good.iter().chain([&corrected]) {
                assert!(has_record(&domain, Role::Subscriber, index, change), "seed {seed}: {change:?}");
            }
        }
    }
}

#[test]
fn a_scheduler_never_receives_the_records_of_another_zone() {
    for seed in SEEDS {
        let plan = Plan { zones: 5, zones_per_subscriber: 2, workers: 500, seed, ..Plan::default() };
        let mut domain = filled_domain(plan);
        // A worker moves from zone 0 to zone 1: it is removed there and set here, in one batch.
        let Some(Value::Worker(record)) = domain.modify_worker(10).value else {
            unreachable!("a worker's change")
        };
        let gone = Change { topic: topic(0), key: Key::Worker(10), value: None };
        let moved = worker_change(10, WorkerRecord { zone: 1, ..record });
        publish_committed(&mut domain, vec![gone, moved.clone()]);
        assert_converges(&mut domain, seconds(5));
        for index in 0..40 {
            let interest = domain.interest(index);
            let process = domain.process(Role::Subscriber, index).unwrap();
            let expected = domain.ledger().records_at(process.node().version(), &interest).unwrap();
            assert_eq!(process.node().records().count(), expected.len(), "seed {seed}");
            assert!(expected.len() > 200 && expected.len() < 210, "seed {seed}: {}", expected.len());
            let here = has_record(&domain, Role::Subscriber, index, &moved);
            assert_eq!(here, interest.covers(topic(1)), "seed {seed}: subscriber {index}");
            let old = process
                .node()
                .records()
                .any(|(key, value)| *key == Key::Worker(10) && lab::ledger::topic_of(value) == topic(0));
            assert!(!old, "seed {seed}: subscriber {index} has the worker in its old zone");
        }
    }
}
