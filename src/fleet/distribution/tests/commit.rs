//! Replicas and publishers: a committed batch stays, whichever replica publishes.

use super::*;

fn domain(replicas: usize) -> Domain {
    let mut domain = Domain::new(3, replicas, 0, vec![Interest::All]);
    let publisher = domain.replicas[0];
    domain.elect(publisher, 600_000);
    domain.run_ms(1_000);
    domain.publish(publisher, vec![class("a", "1"), completion()]);
    domain.run_ms(2_000);
    domain.assert_converged(publisher);
    domain
}

#[test]
fn a_single_replica_publishes_alone() {
    let mut domain = Domain::new(3, 1, 0, vec![Interest::All]);
    let publisher = domain.replicas[0];
    let early = domain.publish(publisher, vec![completion()]);
    assert_eq!(domain.outcome(publisher, early), Some(Err(PublishError::NotPublisher)));
    domain.elect(publisher, 600_000);
    let ticket =
        domain.publish(publisher, (0..500).map(|id| worker(id, 0, 1)).chain([completion()]).collect());
    domain.run_ms(3_000);
    assert!(matches!(domain.outcome(publisher, ticket), Some(Ok(Version { sequence: 501, .. }))));
    domain.assert_converged(publisher);
}

#[test]
fn a_publisher_without_a_majority_commits_nothing_and_the_next_one_does() {
    let mut domain = domain(3);
    let (old, next) = (domain.replicas[0], domain.replicas[1]);
    let before = domain.version(old);
    domain.net.set_links(move |from, to| {
        (from == old || to == old).then_some(Link { cut: true, ..Link::default() })
    });
    let lost = domain.publish(old, vec![class("a", "lost")]);
    domain.run_ms(1_000);
    assert_eq!(domain.version(old), before);
    domain.elect(next, 600_000);
    domain.run_ms(200);
    let ticket = domain.publish(next, vec![class("a", "2")]);
    domain.run_ms(200);
    assert!(matches!(domain.outcome(next, ticket), Some(Ok(_))));
    // The old publisher is reachable again before its lease expires, and learns that it was superseded.
    domain.net.set_links(|_, _| None);
    domain.run_ms(3_000);
    assert_eq!(domain.outcome(old, lost), Some(Err(PublishError::Superseded)));
    assert_eq!(domain.status(old).publisher, None);
    domain.assert_converged(next);
    assert_eq!(domain.records(old)[&Key::Class("a".into())], Value::Class("2".into()));
}

#[test]
fn a_batch_accepted_by_a_majority_survives_its_publisher_with_its_version() {
    let mut domain = domain(3);
    let [old, accepting, cut_off] = domain.replicas[..] else { panic!() };
    // The other replica accepts, but its answer is lost, so that no process knows of the majority.
    domain.net.set_links(move |from, to| {
        let cut = to == old && from == accepting || from == cut_off || to == cut_off;
        cut.then_some(Link { cut: true, ..Link::default() })
    });
    let fence = domain.fence;
    let ticket = domain.publish(old, vec![class("a", "2")]);
    domain.run_ms(100);
    assert_eq!(domain.outcome(old, ticket), None);
    domain.net.kill(old);
    domain.net.set_links(|_, _| None);
    domain.elect(cut_off, 600_000);
    domain.run_ms(3_000);
    assert_eq!(domain.version(cut_off), Version { fence, sequence: 3 }, "the batch keeps its version");
    domain.publish(cut_off, vec![class("b", "1")]);
    domain.run_ms(2_000);
    domain.assert_converged(cut_off);
    assert_eq!(domain.version(cut_off), Version { fence: domain.fence, sequence: 4 });
    assert_eq!(domain.records(cut_off)[&Key::Class("a".into())], Value::Class("2".into()));
    domain.start(old);
    domain.run_ms(3_000);
    domain.assert_converged(cut_off);
}

#[test]
fn a_publisher_that_is_behind_catches_up_before_it_publishes() {
    let mut domain = domain(3);
    let [old, other, behind] = domain.replicas[..] else { panic!() };
    domain.net.set_links(move |from, to| {
        (from == behind || to == behind).then_some(Link { cut: true, ..Link::default() })
    });
    for n in 0..300 {
        domain.publish(old, vec![class(&format!("c{n}"), &"x".repeat(200))]);
        domain.run_ms(5);
    }
    domain.run_ms(500);
    domain.net.kill(old);
    domain.net.set_links(|_, _| None);
    let ahead = domain.version(other);
    domain.elect(behind, 600_000);
    let ticket = domain.publish(behind, vec![class("a", "new")]);
    domain.run_ms(6_000);
    assert!(
        matches!(domain.outcome(behind, ticket), Some(Ok(version)) if version.sequence == ahead.sequence + 1)
    );
    domain.assert_converged(behind);
}

#[test]
fn a_replica_that_lost_its_state_does_not_count_until_it_has_caught_up() {
    let mut domain = domain(3);
    let [publisher, restarted, absent] = domain.replicas[..] else { panic!() };
    domain.net.kill(absent);
    domain.publish(publisher, vec![class("a", "kept")]);
    domain.run_ms(500);
    assert_eq!(domain.version(restarted), domain.version(publisher), "committed by two of three");
    let kept = domain.version(publisher);
    // The third replica starts without any state while the publisher cannot reach it, and gets the lease.
    domain.start(absent);
    domain.net.set_links(move |from, to| {
        let cut = from == publisher || to == publisher;
        cut.then_some(Link { cut: true, ..Link::default() })
    });
    domain.elect(absent, 600_000);
    domain.run_ms(300);
    assert_eq!(domain.status(absent).publisher, None, "one replica with its state is no majority");
    domain.net.set_links(|_, _| None);
    domain.run_ms(3_000);
    assert!(domain.status(absent).publisher.is_some());
    assert_eq!(domain.version(absent), kept);
    domain.assert_converged(absent);
}

/// Nothing that was acknowledged may be lost while a majority is alive, however long one of its replicas is
/// unreachable.
#[test]
fn one_replica_with_and_one_without_its_state_wait_for_the_third() {
    let mut domain = domain(3);
    let [publisher, restarted, lagging] = domain.replicas[..] else { panic!() };
    let cut = Link { cut: true, ..Link::default() };
    domain.net.set_links(move |from, to| (from == lagging || to == lagging).then_some(cut));
    let kept = domain.publish(publisher, vec![class("a", "kept")]);
    domain.run_ms(500);
    assert!(matches!(domain.outcome(publisher, kept), Some(Ok(_))));
    domain.start(restarted);
    domain.net.set_links(move |from, to| (from == publisher || to == publisher).then_some(cut));
    domain.elect(lagging, 600_000);
    domain.run_ms(60_000);
    assert_eq!(domain.status(lagging).publisher, None);
    domain.net.set_links(|_, _| None);
    domain.run_ms(3_000);
    assert_eq!(domain.records(lagging)[&Key::Class("a".into())], Value::Class("kept".into()));
    domain.assert_converged(lagging);
}

#[test]
fn when_a_majority_lost_its_state_the_wait_for_the_others_is_limited() {
    let mut domain = domain(3);
    let [gone, one, other] = domain.replicas[..] else { panic!() };
    domain.net.kill(gone);
    domain.start(one);
    domain.start(other);
    domain.elect(one, 600_000);
    domain.run_ms(4_000);
    assert_eq!(domain.status(one).publisher, None, "the third may still answer");
    domain.run_ms(2_000);
    assert!(domain.status(one).publisher.is_some());
    let ticket = domain.publish(one, vec![class("a", "anew"), completion()]);
    domain.run_ms(5_000);
    assert!(matches!(domain.outcome(one, ticket), Some(Ok(_))));
    domain.assert_converged(one);
}

#[test]
fn a_lost_lease_drops_all_tickets() {
    let mut domain = domain(3);
    let publisher = domain.replicas[0];
    for at in domain.replicas[1..].iter().copied() {
        domain.net.kill(at);
    }
    let proposed = domain.publish(publisher, vec![class("a", "2")]);
    let queued = domain.publish(publisher, vec![class("a", "3")]);
    let many = domain.publish(publisher, (0..200_000).map(|id| worker(id, 0, 1)).collect());
    assert_eq!(domain.outcome(publisher, many), Some(Err(PublishError::TooMany)));
    domain.lease(publisher, None);
    assert_eq!(domain.outcome(publisher, proposed), Some(Err(PublishError::Superseded)));
    assert_eq!(domain.outcome(publisher, queued), Some(Err(PublishError::NotPublisher)));
}

#[test]
fn an_expired_lease_is_not_used() {
    let mut domain = domain(3);
    let publisher = domain.replicas[0];
    domain.elect(publisher, 1_000);
    domain.run_ms(500);
    assert!(domain.status(publisher).publisher.is_some());
    domain.run_ms(501);
    let late = domain.publish(publisher, vec![class("a", "2")]);
    assert_eq!(domain.outcome(publisher, late), Some(Err(PublishError::NotPublisher)));
    assert_eq!(domain.status(publisher).publisher, None);
}

#[test]
fn only_replicas_vote_and_only_parents_send_pages() {
    let mut domain = domain(3);
    let (publisher, child, stranger) = (domain.replicas[0], domain.subscribers[0], address(200));
    let before = domain.version(publisher);
    for at in domain.replicas[1..].iter().copied() {
        domain.net.kill(at);
    }
    let ticket = domain.publish(publisher, vec![class("a", "2")]);
    let fence = domain.fence;
    let accepted = DistributionMessage::Accepted { fence, after: before.sequence };
    let overtaken = DistributionMessage::Prepare { fence: fence + 1_000 };
    let head = Version { fence: fence + 1_000, sequence: 1 };
    let changes = vec![class("a", "forged")];
    let digest = changes[0].hash();
    let page = DistributionMessage::Page(Page {
        start: 0,
        after: 0,
        upto: 1,
        head,
        since: 1,
        digest,
        publishes: 0,
        age_ms: 0,
        changes,
        steps: vec![1],
    });
    for (at, message) in
        [(publisher, accepted), (publisher, overtaken), (publisher, page.clone()), (child, page)]
    {
        let messages = [message];
        domain.net.with_process(at, |host, now| {
            host.handle(now, DistributionInput::Received { from: stranger, messages: &messages })
        });
    }
    domain.run_ms(100);
    assert_eq!(domain.outcome(publisher, ticket), None);
    assert!(domain.status(publisher).publisher.is_some());
    assert_eq!((domain.version(publisher), domain.version(child)), (before, before));
}

/// Reordered datagrams must not delay each batch until its retransmission.
#[test]
fn a_long_list_is_published_at_one_round_trip_per_batch() {
    for replicas in [3, 5] {
        let mut domain = domain(replicas);
        let publisher = domain.replicas[0];
        let committed = domain.status(publisher).counters.committed;
        let ticket = domain.publish(publisher, (0..5_000).map(|id| worker(id, 0, 1)).collect());
        let start = domain.net.now();
        while domain.outcome(publisher, ticket).is_none() {
            domain.run_ms(1);
            assert!((domain.net.now() - start).secs() < 60.0);
        }
        let batches = (domain.status(publisher).counters.committed - committed) as f64;
        let took = (domain.net.now() - start).secs() / batches;
        // A round trip takes 0.4 to 1 ms here, a retransmission 250 ms.
        assert!(batches > 50.0 && took < 0.005, "{replicas} replicas: {batches} batches of {took} s");
        domain.run_ms(5_000);
        domain.assert_converged(publisher);
    }
}
