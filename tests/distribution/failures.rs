//! Failures of processes, links and regions.

use crate::*;
use lab::network::Link;
use mintgate::fleet::lease::LeaseGrant;

#[test]
fn a_parent_killed_in_mid_snapshot_leaves_its_children_consistent() {
    for seed in SEEDS {
        let plan =
            Plan { workers: 4_000, zones: 2, catch_up_bytes_per_second: 100_000, seed, ..Plan::default() };
        let mut domain = filled_domain(plan);
        let subscribers = all_of(Role::Subscriber, 0..40);
        for (role, index) in &subscribers {
            domain.start(*role, *index);
        }
        domain.run(Duration::millis(1_000 + 100 * (seed % 7)));
        let victim = domain.address(Role::Relay, 0);
        let interrupted: Vec<usize> = (0..40)
            .filter(|index| parent_of(&domain, Role::Subscriber, *index) == Some(victim))
            .filter(|index| {
                let process = domain.process(Role::Subscriber, *index).unwrap();
                process.pages() > 2 && process.installs().is_empty()
            })
            .collect();
        assert!(interrupted.len() >= 3, "seed {seed}: {} children were in mid-snapshot", interrupted.len());
        domain.kill(Role::Relay, 0);
        let change = domain.modify_workers(1);
        publish_committed(&mut domain, change);
        assert_converges(&mut domain, seconds(60));
        let install_count =
            |index: &usize| domain.process(Role::Subscriber, *index).unwrap().installs().len();
        assert!(interrupted.iter().all(|index| install_count(index) >= 1), "seed {seed}");
    }
}

#[test]
fn children_keep_their_state_while_all_control_processes_are_down_and_restart_empty() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        let change = domain.modify_workers(3);
        publish_committed(&mut domain, change);
        assert_converges(&mut domain, seconds(5));
        let before = versions(&domain);
        for (role, index) in domain.control() {
            domain.kill(role, index);
        }
        domain.run(seconds(60));
        assert_eq!(versions(&domain), before, "seed {seed}");
        for (_, process) in domain.running(Role::Subscriber) {
            let age = process.node().status(domain.now()).age;
            assert!(age.is_some_and(|age| age >= seconds(55)), "seed {seed}: the age shown is {age:?}");
        }
        for (role, index) in domain.control() {
            domain.start(role, index);
        }
        domain.run(seconds(10));
        assert_eq!(
            versions(&domain),
            before,
            "seed {seed}: something was installed from parents without state"
        );
        let changes = |domain: &Domain| -> Vec<u64> {
            domain.running(Role::Subscriber).map(|(_, process)| process.changes()).collect()
        };
        let counted = changes(&domain);
        let moved = domain.modify_worker(5);
        domain.publish_all().unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        assert_converges(&mut domain, seconds(60));
        assert_eq!(domain.ledger().histories(), 2, "seed {seed}");
        for (index, (now, before)) in changes(&domain).into_iter().zip(counted).enumerate() {
            // Only the difference is installed, although the complete list was sent.
            let wanted = u64::from(domain.interest(index).covers(moved.topic));
            assert_eq!(now - before, wanted, "seed {seed}: at subscriber {index}");
            let status = domain.process(Role::Subscriber, index).unwrap().node().status(domain.now());
            assert!(status.age.is_some_and(|age| age < seconds(3)), "seed {seed}: {:?}", status.age);
        }
    }
}

#[test]
fn a_batch_of_a_publisher_in_the_minority_is_never_committed() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { replicas: 5, seed, ..Plan::default() });
        domain.set_lease_managed(false);
        let old = domain.holder().unwrap();
        let (companion, new) = ((old + 1) % 5, (old + 2) % 5);
        let fence = domain.fence();
        // The lease service has failed: both replicas believe that they hold the lease until the end of the test.
        domain.notify_lease(old, Some(LeaseGrant { fence, until: domain.now() + seconds(3_600) }));
        let mut side = vec![(Role::Replica, old), (Role::Replica, companion)];
        side.extend(all_of(Role::Relay, 0..2));
        side.extend(all_of(Role::Subscriber, 0..20));
        domain.partition(&[side]);
        let lost = domain.modify_worker(1);
        let refused = domain.publish_at(old, vec![lost.clone()]);
        domain.run(seconds(3));
        domain.grant(new, seconds(3_600));
        let committed = domain.modify_worker(1);
        let ticket = domain.publish_at(new, vec![committed.clone()]);
        domain.run(seconds(10));
        assert!(matches!(domain.outcome(ticket), Some(Ok(_))), "seed {seed}: {:?}", domain.outcome(ticket));
        assert!(!matches!(domain.outcome(refused), Some(Ok(_))), "seed {seed}");
        assert!(!any_process_has(&domain, &lost), "seed {seed}");
        domain.restore_links();
        // The old publisher keeps trying.
        let late = domain.modify_worker(2);
        let late_ticket = domain.publish_at(old, vec![late.clone()]);
        domain.run(seconds(10));
        for ticket in [refused, late_ticket] {
            assert!(
                matches!(domain.outcome(ticket), Some(Err(_))),
                "seed {seed}: {:?}",
                domain.outcome(ticket)
            );
        }
        assert!(!any_process_has(&domain, &lost) && !any_process_has(&domain, &late), "seed {seed}");
        let next = domain.modify_worker(3);
        let ticket = domain.publish_at(new, vec![next]);
        domain.run(seconds(2));
        assert!(matches!(domain.outcome(ticket), Some(Ok(_))), "seed {seed}: {:?}", domain.outcome(ticket));
        assert_converges(&mut domain, seconds(10));
        assert!((0..5).all(|index| has_record(&domain, Role::Replica, index, &committed)), "seed {seed}");
    }
}

#[test]
fn of_two_publishers_that_reach_the_same_replica_only_the_later_one_commits() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        domain.set_lease_managed(false);
        let old = domain.holder().unwrap();
        let new = (old + 1) % 3;
        let fence = domain.fence();
        // Both believe that they hold the lease, and cannot reach each other: only the third replica can reject one of
        // them.
        domain.notify_lease(old, Some(LeaseGrant { fence, until: domain.now() + seconds(3_600) }));
        let (one, other) = (domain.address(Role::Replica, old), domain.address(Role::Replica, new));
        let cut = Link { cut: true, ..Link::default() };
        domain.set_link(one, other, cut);
        domain.set_link(other, one, cut);
        domain.grant(new, seconds(3_600));
        domain.run(Duration::millis(5));
        let (mut refused, mut committed) = (vec![], vec![]);
        for round in 0..40 {
            let (wrong, right) = (domain.modify_worker(2 * round), domain.modify_worker(2 * round));
            if round % 2 == 0 {
                refused.push((domain.publish_at(old, vec![wrong.clone()]), wrong));
                domain.run(Duration(100_000 * (round % 7)));
                committed.push(domain.publish_at(new, vec![right]));
            } else {
                committed.push(domain.publish_at(new, vec![right]));
                domain.run(Duration(100_000 * (round % 7)));
                refused.push((domain.publish_at(old, vec![wrong.clone()]), wrong));
            }
            domain.run(Duration::millis(20 + 30 * (round % 3)));
        }
        domain.run(seconds(2));
        for (ticket, change) in &refused {
            assert!(
                !matches!(domain.outcome(*ticket), Some(Ok(_))),
                "seed {seed}: the superseded publisher committed it"
            );
            assert!(!any_process_has(&domain, change), "seed {seed}: {change:?} is installed");
        }
        for ticket in committed {
            assert!(
                matches!(domain.outcome(ticket), Some(Ok(_))),
                "seed {seed}: {:?}",
                domain.outcome(ticket)
            );
        }
        domain.restore_links();
        assert_converges(&mut domain, seconds(10));
    }
}

#[test]
fn a_batch_accepted_by_a_majority_is_committed_though_its_publisher_was_suspended() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        domain.set_lease_managed(false);
        let old = domain.holder().unwrap();
        let new = (old + 1) % 3;
        let open = domain.modify_worker(1);
        let ticket = domain.publish_at(old, vec![open.clone()]);
        // The other two replicas accept the batch, but the publisher does not know yet.
        domain.set_suspended(Role::Replica, old, true);
        domain.run(seconds(3));
        assert_eq!(domain.outcome(ticket), None, "seed {seed}");
        domain.grant(new, seconds(3_600));
        let next = domain.modify_worker(2);
        let next_ticket = domain.publish_at(new, vec![next.clone()]);
        domain.run(seconds(5));
        assert!(matches!(domain.outcome(next_ticket), Some(Ok(_))), "seed {seed}");
        for change in [&open, &next] {
            assert!(has_record(&domain, Role::Replica, new, change), "seed {seed}: {change:?} was accepted");
        }
        domain.set_suspended(Role::Replica, old, false);
        domain.run(seconds(1));
        domain.notify_lease(old, None);
        assert_converges(&mut domain, seconds(10));
        assert!(domain.outcome(ticket).is_some(), "seed {seed}: the old publisher never reported an outcome");
    }
}

#[test]
fn acknowledged_changes_survive_a_replica_without_state_and_a_lagging_one() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        domain.set_lease_managed(false);
        let old = domain.holder().unwrap();
        let (accepting, lagging) = ((old + 1) % 3, (old + 2) % 3);
        domain.grant(old, seconds(3));
        // One replica does not receive a change that the other two commit.
        domain.set_links_of(Role::Replica, lagging, Link { cut: true, ..Link::default() });
        let change = domain.modify_worker(1);
        publish_committed(&mut domain, vec![change.clone()]);
        // Then one of these two restarts without state, and the lagging one becomes the publisher, while the third one,
        // which has all changes and is alive, is slow to reply.
        domain.start(Role::Replica, accepting);
        domain.restore_links();
        let slow = Link { delay: Duration::millis(400), ..Link::default() };
        domain.set_links_of(Role::Replica, old, slow);
        domain.run(seconds(3));
        domain.notify_lease(old, None);
        domain.grant(lagging, seconds(3_600));
        let next = domain.modify_worker(2);
        let ticket = domain.publish_at(lagging, vec![next]);
        domain.run(seconds(10));
        domain.restore_links();
        assert!(matches!(domain.outcome(ticket), Some(Ok(_))), "seed {seed}: {:?}", domain.outcome(ticket));
        assert_converges(&mut domain, seconds(10));
        assert!(
            has_record(&domain, Role::Replica, lagging, &change),
            "seed {seed}: an acknowledged change is lost"
        );
    }
}

#[test]
fn a_lagging_publisher_waits_for_the_majority_that_is_alive() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        domain.set_lease_managed(false);
        let old = domain.holder().unwrap();
        let (accepting, lagging) = ((old + 1) % 3, (old + 2) % 3);
        domain.grant(old, seconds(3));
        let cut = Link { cut: true, ..Link::default() };
        domain.set_links_of(Role::Replica, lagging, cut);
        let change = domain.modify_worker(1);
        publish_committed(&mut domain, vec![change.clone()]);
        // As in the previous test, but the replica that has all changes is unreachable for half a minute. It is alive,
        // and so is the lagging one: together they are the majority without which nothing may be committed.
        domain.start(Role::Replica, accepting);
        domain.restore_links();
        domain.set_links_of(Role::Replica, old, cut);
        domain.run(seconds(3));
        domain.notify_lease(old, None);
        domain.grant(lagging, seconds(3_600));
        let next = domain.modify_worker(2);
        let ticket = domain.publish_at(lagging, vec![next]);
        domain.run(seconds(30));
        assert!(
            !matches!(domain.outcome(ticket), Some(Ok(_))),
            "seed {seed}: published by a lagging replica"
        );
        domain.restore_links();
        domain.run(seconds(5));
        let again = domain.modify_worker(3);
        let again = domain.publish_at(lagging, vec![again]);
        domain.run(seconds(5));
        assert!(matches!(domain.outcome(again), Some(Ok(_))), "seed {seed}: {:?}", domain.outcome(again));
        assert_converges(&mut domain, seconds(10));
        assert!(
            has_record(&domain, Role::Replica, lagging, &change),
            "seed {seed}: an acknowledged change is lost"
        );
    }
}

#[test]
fn a_region_cut_off_for_an_hour_changes_nothing_and_catches_up_by_changes() {
    for seed in SEEDS {
        let plan = Plan { replicas: 5, subscribers: 20, workers: 1_000, regions: 2, seed, ..Plan::default() };
        let mut domain = filled_domain(plan);
        // Region 1 contains the processes with odd numbers: replicas 1 and 3, and half of all others.
        let in_region_one = |(role, index): &(Role, usize)| {
            let first = match role {
                Role::Replica => 0,
                Role::Relay => 5,
                Role::Subscriber => 9,
            };
            (first + index) % 2 == 1
        };
        let side: Vec<(Role, usize)> = domain.all().into_iter().filter(in_region_one).collect();
        let subscriber = side.iter().find(|(role, _)| *role == Role::Subscriber).unwrap().1;
        domain.partition(std::slice::from_ref(&side));
        domain.run(seconds(5));
        let fence = domain.fence();
        let mut refused = vec![];
        for round in 0..12 {
            let mut changes = domain.modify_workers(2);
            changes.extend(domain.remove_worker(900 + round));
            let asked = domain.now();
            let version = publish_committed(&mut domain, changes);
            let minority = domain.modify_worker(round);
            // The replica in the minority tries to publish, both when it knows that it is no publisher and when it
            // believes that it is one.
            if round % 4 == 1 {
                domain.notify_lease(1, Some(LeaseGrant { fence, until: domain.now() + seconds(100) }));
            }
            refused.push((domain.publish_at(1, vec![minority.clone()]), minority));
            domain.run(seconds(100));
            domain.notify_lease(1, None);
            domain.run(seconds(200));
            let progress = domain.propagation(asked, version, |at, _| {
                side.iter().all(|(role, index)| domain.address(*role, *index) != at)
            });
            assert!(progress.missing == 0 && progress.last < seconds(6), "seed {seed}: {progress:?}");
        }
        let cut_off = domain.process(Role::Subscriber, subscriber).unwrap();
        let age = cut_off.node().status(domain.now()).age;
        assert!(age.is_some_and(|age| age > seconds(3_500)), "seed {seed}: the age shown is {age:?}");
        let pages = cut_off.pages();
        domain.restore_links();
        assert_converges(&mut domain, seconds(10));
        for (ticket, change) in refused {
            assert!(
                matches!(domain.outcome(ticket), Some(Err(_))),
                "seed {seed}: {:?}",
                domain.outcome(ticket)
            );
            assert!(!any_process_has(&domain, &change), "seed {seed}: {change:?} was refused");
        }
        // There are at most 36 changes in a zone of 250 workers: one or two pages rather than a complete list.
        let pages = domain.process(Role::Subscriber, subscriber).unwrap().pages() - pages;
        assert!((1..=3).contains(&pages), "seed {seed}: {pages} pages");
    }
}

#[test]
fn lost_repeated_reordered_corrupt_and_late_datagrams_only_cause_delays() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        for (loss, jitter, rounds) in [(0.1, 200, 150), (0.4, 50, 100), (0.05, 1_500, 100)] {
            let jitter = Duration::millis(jitter);
            domain.set_all_links(Link { loss, duplicate: 0.2, corrupt: 0.05, jitter, ..Link::default() });
            for _ in 0..rounds {
                let changes = domain.modify_workers(2);
                domain.publish(changes);
                domain.run(Duration::millis(200));
            }
        }
        domain.restore_links();
        assert_converges(&mut domain, seconds(15));
        // Each publication was committed, or reported as failed.
        let answered = (1..).map_while(|ticket| domain.ledger().publication(ticket).cloned());
        let (some, none): (Vec<_>, Vec<_>) = answered.partition(|asked| asked.outcome.is_some());
        assert!(none.is_empty(), "seed {seed}: {} publications have no outcome", none.len());
        let committed = some.iter().filter(|asked| matches!(asked.outcome, Some((_, Ok(_))))).count();
        assert!(
            committed * 10 >= some.len() * 9,
            "seed {seed}: {committed} of {} were published",
            some.len()
        );
    }
}

#[test]
fn a_process_suspended_for_ten_seconds_catches_up() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { seed, ..Plan::default() });
        let publisher = domain.holder().unwrap();
        for (role, index) in [(Role::Subscriber, 4), (Role::Relay, 1), (Role::Replica, publisher)] {
            domain.set_suspended(role, index, true);
            let mut asked = vec![];
            for _ in 0..20 {
                let changes = domain.modify_workers(2);
                asked.push(domain.publish(changes));
                domain.run(Duration::millis(500));
            }
            domain.set_suspended(role, index, false);
            assert_converges(&mut domain, seconds(5));
            let committed: Vec<u64> =
                asked.into_iter().filter(|ticket| matches!(domain.outcome(*ticket), Some(Ok(_)))).collect();
            // A publisher is replaced once its lease has expired.
            assert!(committed.len() >= if role == Role::Replica { 12 } else { 20 }, "seed {seed}: {role:?}");
            if role == Role::Subscriber {
                let stopped = domain.address(role, index);
                for ticket in committed {
                    let asked = domain.ledger().publication(ticket).cloned().unwrap();
                    let Some((_, Ok(version))) = asked.outcome else { continue };
                    let reach = domain.propagation(asked.at, version, |at, _| at != stopped);
                    assert!(reach.missing == 0 && reach.last < ONE_SECOND, "seed {seed}: {reach:?}");
                }
            }
        }
    }
}
