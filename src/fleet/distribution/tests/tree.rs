//! Nodes of all roles: live changes, snapshots, and parents that fail.

use super::*;

fn first_state(workers: u64) -> Vec<Change> {
    let workers = (0..workers).map(|id| worker(id, (id % 4) as u8, 1_000));
    workers.chain([class("gold", "{}"), completion()]).collect()
}

fn small_domain() -> Domain {
    let interests =
        (0..8).map(|n| zone_interest(&[n % 4])).chain([Interest::All, zone_interest(&[1, 3])]).collect();
    let mut domain = Domain::new(1, 3, 2, interests);
    let publisher = domain.replicas[0];
    domain.elect(publisher, 600_000);
    domain.run_ms(100);
    let ticket = domain.publish(publisher, first_state(200));
    domain.run_ms(5_000);
    assert!(matches!(domain.outcome(publisher, ticket), Some(Ok(_))));
    domain.assert_converged(publisher);
    domain
}

#[test]
fn all_processes_install_the_first_state_and_each_change() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    for round in 0..20 {
        let changes =
            vec![worker(round, (round % 4) as u8, 5), removal(100 + round, ((100 + round) % 4) as u8)];
        domain.publish(publisher, changes);
        domain.run_ms(50);
    }
    domain.run_ms(1_000);
    domain.assert_converged(publisher);
    for at in domain.all() {
        domain.assert_outputs_match_records(at);
        assert_eq!(domain.status(at).counters.mismatches, 0, "{at}");
    }
}

#[test]
fn a_change_is_sent_at_once_to_interested_subscribers_only() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    let before: Vec<u64> = domain.relays.iter().map(|at| domain.status(*at).counters.pages).collect();
    domain.publish(publisher, vec![worker(0, 0, 7)]);
    domain.run_ms(20);
    for at in domain.subscribers.clone() {
        let wants = domain.interests[&at].covers(Topic::workers_of(ZoneId(0)));
        assert_eq!(domain.version(at) == domain.version(publisher), wants, "{at}");
    }
    let after: Vec<u64> = domain.relays.iter().map(|at| domain.status(*at).counters.pages).collect();
    let pages: u64 = after.iter().sum::<u64>() - before.iter().sum::<u64>();
    assert_eq!(pages, 3, "two subscribers of the zone, and one of all topics");
    domain.run_ms(1_000);
    domain.assert_converged(publisher);
}

/// A publisher whose discovery is unreachable publishes nothing new. That its version is the newest then does not mean
/// that the worker list is current, so its followers must learn how old the list is.
#[test]
fn an_outage_of_the_publishers_discovery_shows_in_the_age_at_all_subscribers() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    for _ in 0..10 {
        domain.net.with_process(publisher, |host, now| {
            host.node.confirm_source(Timestamp(now.0));
            vec![]
        });
        domain.run_ms(1_000);
    }
    let ages = |domain: &Domain| -> Vec<Duration> {
        let age = |at: &SocketAddr| domain.status(*at).age.expect("the age is known");
        domain.subscribers.iter().map(age).collect()
    };
    assert!(ages(&domain).iter().all(|age| *age < Duration::millis(2_000)), "{:?}", ages(&domain));
    domain.run_ms(8_000);
    assert!(ages(&domain).iter().all(|age| *age > Duration::millis(7_000)), "{:?}", ages(&domain));
    domain.net.with_process(publisher, |host, now| {
        host.node.confirm_source(Timestamp(now.0));
        vec![]
    });
    domain.run_ms(2_000);
    assert!(ages(&domain).iter().all(|age| *age < Duration::millis(3_000)), "{:?}", ages(&domain));
}

#[test]
fn a_worker_that_moves_to_another_zone_is_removed_from_the_first() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    domain.publish(publisher, vec![worker(0, 1, 7), worker(4, 2, 7), worker(4, 3, 7)]);
    domain.run_ms(1_000);
    domain.assert_converged(publisher);
    domain.all().into_iter().for_each(|at| domain.assert_outputs_match_records(at));
}

#[test]
fn changes_without_effect_create_no_version() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    let before = domain.version(publisher);
    let ticket = domain.publish(publisher, first_state(200));
    let gone = domain.publish(publisher, vec![removal(9_999, 0)]);
    assert_eq!(domain.outcome(publisher, ticket), Some(Ok(before)));
    assert_eq!(domain.outcome(publisher, gone), Some(Ok(before)));
}

#[test]
fn children_of_a_dead_parent_continue_with_another_without_a_snapshot() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    let snapshots: u64 = domain.subscribers.iter().map(|at| domain.status(*at).counters.snapshots).sum();
    domain.net.kill(domain.relays[0]);
    domain.publish(publisher, vec![worker(0, 0, 9), worker(1, 1, 9), worker(2, 2, 9), worker(3, 3, 9)]);
    domain.run_ms(2_500);
    domain.assert_converged(publisher);
    let after: u64 = domain.subscribers.iter().map(|at| domain.status(*at).counters.snapshots).sum();
    assert_eq!(after, snapshots, "they continue from what they have");
}

#[test]
fn a_restarted_process_fetches_one_snapshot() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    for at in [domain.subscribers[0], domain.relays[1], domain.replicas[2]] {
        domain.start(at);
    }
    domain.run_ms(5_000);
    domain.assert_converged(publisher);
    for at in [domain.subscribers[0], domain.relays[1], domain.replicas[2]] {
        assert_eq!(domain.status(at).counters.snapshots, 1, "{at}");
        domain.assert_outputs_match_records(at);
    }
}

#[test]
fn without_any_parent_the_last_state_stays_and_its_age_is_shown() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    let at = domain.subscribers[0];
    let (version, records) = (domain.version(at), domain.records(at));
    for at in [&domain.replicas[..], &domain.relays].concat() {
        domain.net.kill(at);
    }
    domain.run_ms(60_000);
    assert_eq!((domain.version(at), domain.records(at)), (version, records.clone()));
    let status = domain.status(at);
    assert!(status.parent.is_none() && status.age.unwrap() > Duration::millis(59_000), "{status}");
    // All control processes start without any state; the source now differs by one worker.
    for at in [&domain.replicas[..], &domain.relays].concat() {
        domain.start(at);
    }
    domain.run_ms(3_000);
    assert_eq!(domain.records(at), records, "nothing is served before the first state is complete");
    domain.elect(publisher, 600_000);
    domain.run_ms(1_000);
    let changed = first_state(200).into_iter().chain([worker(0, 0, 77)]).collect();
    domain.publish(publisher, changed);
    domain.run_ms(10_000);
    domain.assert_converged(publisher);
    // Subscribers with the same records adopt the version without a snapshot.
    let of_zone_1 = domain.subscribers[1];
    assert_eq!(domain.status(of_zone_1).counters.snapshots, 1, "only the first one");
    domain.subscribers.iter().for_each(|at| domain.assert_outputs_match_records(*at));
    assert!(domain.status(at).age.unwrap() < Duration::millis(1_500));
}

#[test]
fn a_scheduler_that_refuses_a_version_keeps_its_state_and_installs_a_later_one() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    let at = domain.subscribers[0];
    domain.start_with(at, Box::new(RejectsClass("odd")));
    domain.run_ms(2_000);
    let before = domain.records(at);
    domain.publish(publisher, vec![worker(0, 0, 3), class("gold", "odd")]);
    domain.run_ms(3_000);
    assert_eq!(domain.records(at), before, "a version is installed completely or not at all");
    let status = domain.status(at);
    let RefusedVersion { version: refused, why } = status.refused.clone().unwrap();
    assert_eq!((refused, why.as_str()), (domain.version(publisher), "odd is not allowed"));
    assert_eq!(status.counters.refused, 1, "the check ran once");
    domain.publish(publisher, vec![worker(4, 0, 3)]);
    domain.run_ms(1_000);
    assert_eq!(
        (domain.records(at), domain.status(at).counters.refused),
        (before, 2),
        "the later version is still invalid"
    );
    domain.publish(publisher, vec![class("gold", "fine")]);
    domain.run_ms(1_000);
    domain.assert_converged(publisher);
    domain.assert_outputs_match_records(at);
    assert!(domain.status(at).refused.is_none());
}

#[test]
fn the_publisher_refuses_an_invalid_change_with_its_whole_batch() {
    let mut domain = small_domain();
    let publisher = domain.replicas[0];
    let before = domain.version(publisher);
    let bad = domain.publish(publisher, vec![worker(0, 0, 3), class("gold", "bad"), worker(1, 1, 3)]);
    let why = Err(PublishError::Invalid("bad is not allowed".into()));
    assert_eq!(domain.outcome(publisher, bad), Some(why));
    let malformed =
        domain.publish(publisher, vec![worker(0, 0, 3), Change { topic: Topic(9), ..worker(1, 1, 3) }]);
    assert!(matches!(domain.outcome(publisher, malformed), Some(Err(PublishError::Invalid(_)))));
    domain.run_ms(1_000);
    assert_eq!(domain.version(publisher), before);
}

#[test]
fn lost_repeated_and_corrupt_datagrams_only_cause_delays() {
    for seed in 0..10 {
        let interests = (0..6).map(|n| zone_interest(&[n % 4])).collect();
        let mut domain = Domain::new(seed, 3, 2, interests);
        let bad = Link {
            loss: 0.15,
            duplicate: 0.1,
            corrupt: 0.05,
            jitter: lab::network::Duration::millis(30),
            ..Link::default()
        };
        domain.net.set_links(move |_, _| Some(bad));
        let publisher = domain.replicas[1];
        domain.elect(publisher, 600_000);
        domain.run_ms(2_000);
        domain.publish(publisher, first_state(400));
        domain.run_ms(20_000);
        for round in 0..50 {
            domain.publish(
                publisher,
                vec![worker(round, (round % 4) as u8, 5), removal(round + 100, (round % 4) as u8)],
            );
            domain.run_ms(100);
        }
        domain.net.set_links(|_, _| None);
        domain.run_ms(5_000);
        domain.assert_converged(publisher);
        for at in domain.all() {
            domain.assert_outputs_match_records(at);
            assert_eq!(domain.status(at).counters.mismatches, 0, "seed {seed}, {at}");
        }
    }
}

#[test]
fn after_a_parent_dies_during_a_snapshot_another_one_continues_it() {
    let mut domain = Domain::with_rate(1, 3, 2, vec![Interest::All], 100_000);
    let publisher = domain.replicas[0];
    domain.elect(publisher, 600_000);
    domain.run_ms(100);
    domain.publish(publisher, first_state(4_000));
    domain.run_ms(20_000);
    domain.assert_converged(publisher);
    let at = domain.subscribers[0];
    domain.start(at);
    domain.run_ms(500);
    let parent = domain.status(at).parent.expect("the catch-up has started");
    assert_eq!(domain.version(at), Version::default(), "the catch-up is not complete");
    let survivor = if parent == domain.relays[0] { domain.relays[1] } else { domain.relays[0] };
    let (sent, before) = (domain.status(parent).counters.pages, domain.status(survivor).counters.pages);
    domain.net.kill(parent);
    domain.run_ms(5_000);
    domain.assert_converged(publisher);
    domain.assert_outputs_match_records(at);
    assert_eq!(domain.status(at).counters.mismatches, 0);
    let rest = domain.status(survivor).counters.pages - before;
    // An uninterrupted catch-up shows how many pages a complete snapshot takes.
    domain.start(at);
    domain.run_ms(5_000);
    domain.assert_converged(publisher);
    let snapshot_pages = domain.status(survivor).counters.pages - before - rest;
    let window = 16;
    assert!(
        sent > 30 && rest + sent <= snapshot_pages + window,
        "{sent} and {rest} pages, and {snapshot_pages} without interruption"
    );
}
