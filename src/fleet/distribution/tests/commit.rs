//! Replicas and publishers: what is committed stays, whoever publishes.

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
fn one_replica_publishes_by_itself() {
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
    // The old one comes back before its lease is over, and is replayed that it is overtaken.
    domain.net.set_links(|_, _| None);
    domain.run_ms(3_000);
    assert_eq!(domain.outcome(old, lost), Some(Err(PublishError::Superseded)));
    assert_eq!(domain.status(old).publisher, None);
    domain.assert_converged(next);
    assert_eq!(domain.records(old)[&Key::Class("a".into())], Value::Class("2".into()));
}

#[test]
fn a_batch_that_a_majority_accepted_survives_its_publisher_under_its_own_version() {
    let mut domain = domain(3);
    let [old, heard, deaf] = domain.replicas[..] else { panic!() };
    // The other replica accepts, and its answer is lost: nobody knows of a majority.
    domain.net.set_links(move |from, to| {
        let cut = to == old && from == heard || from == deaf || to == deaf;
        cut.then_some(Link { cut: true, ..Link::default() })
    });
    let fence = domain.fence;
    let ticket = domain.publish(old, vec![class("a", "2")]);
    domain.run_ms(100);
    assert_eq!(domain.outcome(old, ticket), None);
    domain.net.kill(old);
    domain.net.set_links(|_, _| None);
    domain.elect(deaf, 600_000);
    domain.run_ms(3_000);
    assert_eq!(domain.version(deaf), Version { fence, sequence: 3 }, "one batch, one version");
    domain.publish(deaf, vec![class("b", "1")]);
    domain.run_ms(2_000);
    domain.assert_converged(deaf);
    assert_eq!(domain.version(deaf), Version { fence: domain.fence, sequence: 4 });
    assert_eq!(domain.records(deaf)[&Key::Class("a".into())], Value::Class("2".into()));
    domain.start(old);
    domain.run_ms(3_000);
    domain.assert_converged(deaf);
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
fn a_replica_that_forgot_does_not_count_until_it_has_caught_up() {
    let mut domain = domain(3);
    let [publisher, forgot, away] = domain.replicas[..] else { panic!() };
    domain.net.kill(away);
    domain.publish(publisher, vec![class("a", "kept")]);
    domain.run_ms(500);
    assert_eq!(domain.version(forgot), domain.version(publisher), "by two of three");
    let kept = domain.version(publisher);
    // The third comes back knowing nothing while the others' word does not reach it, and gets the lease.
    domain.start(away);
    domain.net.set_links(move |from, to| {
        let cut = from == publisher || to == publisher;
        cut.then_some(Link { cut: true, ..Link::default() })
    });
    domain.elect(away, 600_000);
    domain.run_ms(300);
    assert_eq!(domain.status(away).publisher, None, "one that remembers is no majority");
    domain.net.set_links(|_, _| None);
    domain.run_ms(3_000);
    assert!(domain.status(away).publisher.is_some());
    assert_eq!(domain.version(away), kept);
    domain.assert_converged(away);
}

/// Nothing that was acknowledged may be lost while a majority lives, however long one of it is out of reach.
#[test]
fn one_that_remembers_and_one_that_forgot_wait_for_the_third() {
    let mut domain = domain(3);
    let [publisher, forgot, lags] = domain.replicas[..] else { panic!() };
    let cut = Link { cut: true, ..Link::default() };
    domain.net.set_links(move |from, to| (from == lags || to == lags).then_some(cut));
    let kept = domain.publish(publisher, vec![class("a", "kept")]);
    domain.run_ms(500);
    assert!(matches!(domain.outcome(publisher, kept), Some(Ok(_))));
    domain.start(forgot);
    domain.net.set_links(move |from, to| (from == publisher || to == publisher).then_some(cut));
    domain.elect(lags, 600_000);
    domain.run_ms(60_000);
    assert_eq!(domain.status(lags).publisher, None);
    domain.net.set_links(|_, _| None);
    domain.run_ms(3_000);
    assert_eq!(domain.records(lags)[&Key::Class("a".into())], Value::Class("kept".into()));
    domain.assert_converged(lags);
}

#[test]
fn when_a_majority_has_forgotten_the_others_are_not_waited_for_for_ever() {
    let mut domain = domain(3);
    let [gone, one, other] = domain.replicas[..] else { panic!() };
    domain.net.kill(gone);
    domain.start(one);
    domain.start(other);
    domain.elect(one, 600_000);
    domain.run_ms(4_000);
    assert_eq!(domain.status(one).publisher, None, "the third may answer yet");
    domain.run_ms(2_000);
    assert!(domain.status(one).publisher.is_some());
    let ticket = domain.publish(one, vec![class("a", "anew"), completion()]);
    domain.run_ms(5_000);
    assert!(matches!(domain.outcome(one, ticket), Some(Ok(_))));
    domain.assert_converged(one);
}

#[test]
fn a_lost_lease_ends_what_waits() {
    let mut domain = domain(3);
    let publisher = domain.replicas[0];
    for at in domain.replicas[1..].iter().copied() {
        domain.net.kill(at);
    }
    let begun = domain.publish(publisher, vec![class("a", "2")]);
    let waits = domain.publish(publisher, vec![class("a", "3")]);
    let many = domain.publish(publisher, (0..200_000).map(|id| worker(id, 0, 1)).collect());
    assert_eq!(domain.outcome(publisher, many), Some(Err(PublishError::TooMany)));
    domain.lease(publisher, None);
    assert_eq!(domain.outcome(publisher, begun), Some(Err(PublishError::Superseded)));
    assert_eq!(domain.outcome(publisher, waits), Some(Err(PublishError::NotPublisher)));
}

#[test]
fn a_lease_that_runs_out_is_not_used() {
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
fn only_replicas_vote_and_only_parents_feed() {
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
        domain.net.act(at, |host, now| {
            host.handle(now, DistributionInput::Received { from: stranger, messages: &messages })
        });
    }
    domain.run_ms(100);
    assert_eq!(domain.outcome(publisher, ticket), None);
    assert!(domain.status(publisher).publisher.is_some());
    assert_eq!((domain.version(publisher), domain.version(child)), (before, before));
}

/// Reordered datagrams must not have each batch wait until it is sent again.
#[test]
fn a_long_list_is_published_in_round_trips() {
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
        // A round trip takes 0.4 to 1 ms here, and sending again 250.
        assert!(batches > 50.0 && took < 0.005, "{replicas} replicas: {batches} batches of {took} s");
        domain.run_ms(5_000);
        domain.assert_converged(publisher);
    }
}
