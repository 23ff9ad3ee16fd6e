//! Parents that are stale, that return, or that serve slow children or many at once.

use super::*;

const SECOND_MS: u64 = 1_000;

fn domain(subscribers: usize, workers: u64, rate: u64) -> Domain {
    let mut domain = Domain::with_rate(5, 3, 2, vec![zone_interest(&[0]); subscribers], rate);
    let publisher = domain.replicas[0];
    domain.elect(publisher, 10_000 * SECOND_MS);
    domain.run_ms(100);
    domain.publish(publisher, (0..workers).map(|id| worker(id, 0, 1)).chain([completion()]).collect());
    for _ in 0..60 {
        domain.run_ms(SECOND_MS);
        if domain.all().iter().all(|at| domain.version(*at) == domain.version(publisher)) {
            return domain;
        }
    }
    panic!("not all processes have the first state");
}

fn children_of(domain: &Domain, parent: SocketAddr) -> usize {
    domain.subscribers.iter().filter(|at| domain.status(**at).parent == Some(parent)).count()
}

#[test]
fn children_spread_over_parents_and_return_to_a_restarted_one() {
    let mut domain = domain(60, 20, CATCH_UP_BYTES_PER_SECOND);
    let publisher = domain.replicas[0];
    domain.run_ms(200 * SECOND_MS);
    let [one, other] = domain.relays[..] else { panic!() };
    let before = children_of(&domain, one);
    assert!((15..=45).contains(&before), "{before} of 60");
    domain.net.kill(one);
    domain.run_ms(3 * SECOND_MS);
    assert_eq!(children_of(&domain, other), 60);
    domain.start(one);
    domain.run_ms(200 * SECOND_MS);
    assert_eq!(children_of(&domain, one), before, "each child has its own preferred parent");
    let status = domain.status(one);
    assert_eq!((status.children, status.behind), (before, 0), "{status}");
    domain.assert_converged(publisher);
    let snapshots: u64 = domain.subscribers.iter().map(|at| domain.status(*at).counters.snapshots).sum();
    assert_eq!(snapshots, 60, "no child fetched another snapshot");
}

#[test]
fn a_parent_that_is_cut_off_from_the_replicas_is_left_for_another() {
    let mut domain = domain(20, 20, CATCH_UP_BYTES_PER_SECOND);
    let publisher = domain.replicas[0];
    let (stale, replicas) = (domain.relays[0], domain.replicas.clone());
    let cut = Link { cut: true, ..Link::default() };
    domain.net.set_links(move |from, to| {
        let between = |a, b| a == stale && replicas.contains(&b);
        (between(from, to) || between(to, from)).then_some(cut)
    });
    domain.publish(publisher, vec![worker(0, 0, 2)]);
    domain.run_ms(20 * SECOND_MS);
    assert!(domain.status(stale).age.unwrap() > Duration::millis(19_000));
    for at in domain.subscribers.clone() {
        assert_eq!(domain.version(at), domain.version(publisher), "{at}");
        assert!(domain.status(at).age.unwrap() < Duration::millis(2_500), "{}", domain.status(at));
    }
    assert_eq!(
        domain.records(stale).len(),
        domain.records(publisher).len(),
        "the stale parent keeps its records"
    );
}

#[test]
fn simultaneous_catch_ups_are_rate_limited_and_do_not_delay_changes() {
    let rate = 100_000;
    let mut domain = domain(40, 1_000, rate);
    let publisher = domain.replicas[0];
    domain.run_ms(10 * SECOND_MS);
    // Only one relay is left, and all but two of its children start without any state.
    domain.net.kill(domain.relays[1]);
    domain.run_ms(5 * SECOND_MS);
    let (relay, fresh) = (domain.relays[0], domain.subscribers[2..].to_vec());
    fresh.iter().for_each(|at| domain.start(*at));
    let start = domain.net.now();
    let sent = |domain: &Domain| domain.net.traffic(relay).bytes_sent;
    let (before, mut seconds) = (sent(&domain), 0);
    while fresh.iter().any(|at| domain.version(*at) != domain.version(publisher)) {
        domain.publish(publisher, vec![worker(seconds, 0, 7)]);
        domain.run_ms(50);
        for at in &domain.subscribers[..2] {
            assert_eq!(domain.version(*at), domain.version(publisher), "not delayed while others catch up");
        }
        domain.run_ms(SECOND_MS - 50);
        seconds += 1;
        assert!(seconds < 60);
    }
    let took = (domain.net.now() - start).secs();
    let bytes = (sent(&domain) - before) as f64;
    // Page headers, replies to reports and live changes are sent in addition to the rate-limited bytes.
    assert!(seconds > 5 && bytes < took * rate as f64 * 1.3 + 20_000.0, "{bytes} bytes in {took} s");
    domain.run_ms(2 * SECOND_MS);
    domain.assert_converged(publisher);
}

#[test]
fn a_stopped_child_does_not_delay_others() {
    let mut domain = domain(30, 2_000, 200_000);
    let publisher = domain.replicas[0];
    let slow = domain.subscribers[0];
    domain.start(slow);
    domain.run_ms(50);
    assert_eq!(domain.version(slow), Version::default(), "its snapshot is under way");
    domain.net.set_suspended(slow, true);
    for round in 0..10 {
        domain.publish(publisher, vec![worker(round, 0, 7)]);
        domain.run_ms(20);
        for at in &domain.subscribers[1..] {
            assert_eq!(domain.version(*at), domain.version(publisher), "{at}");
        }
        domain.run_ms(SECOND_MS);
    }
    let children: usize = domain.relays.iter().map(|at| domain.status(*at).children).sum();
    assert_eq!(children, 29, "the stopped child is removed");
    domain.net.set_suspended(slow, false);
    domain.run_ms(5 * SECOND_MS);
    domain.assert_converged(publisher);
    domain.assert_outputs_match_records(slow);
}

#[test]
fn a_region_cut_off_for_an_hour_receives_only_changes() {
    let mut domain = domain(6, 500, CATCH_UP_BYTES_PER_SECOND);
    let publisher = domain.replicas[0];
    let far = domain.subscribers[..3].to_vec();
    let cut = Link { cut: true, ..Link::default() };
    let region = far.clone();
    domain.net.set_links(move |from, to| (region.contains(&from) != region.contains(&to)).then_some(cut));
    for id in 0..600 {
        domain.publish(publisher, vec![if id % 3 == 0 { removal(id, 0) } else { worker(id, 0, 9) }]);
        domain.run_ms(6 * SECOND_MS);
    }
    let age = domain.status(far[0]).age.unwrap();
    assert!(age > Duration::millis(3_590_000), "{}", domain.status(far[0]));
    domain.net.set_links(|_, _| None);
    domain.run_ms(10 * SECOND_MS);
    domain.assert_converged(publisher);
    for at in far {
        assert_eq!(domain.status(at).counters.snapshots, 1, "only the first one");
        domain.assert_outputs_match_records(at);
    }
}

/// Pages that arrive out of order are acknowledged like others, so that the rate limit alone determines the duration of
/// a snapshot.
#[test]
fn a_large_snapshot_is_sent_at_the_configured_rate() {
    let rate = 400_000;
    let mut domain = domain(1, 20_000, rate);
    let (publisher, at) = (domain.replicas[0], domain.subscribers[0]);
    let relay = domain.status(at).parent.expect("the subscriber has a parent");
    domain.run_ms(5 * SECOND_MS);
    let before = domain.status(relay).counters;
    domain.start(at);
    let start = domain.net.now();
    while domain.version(at) != domain.version(publisher) {
        domain.run_ms(10);
        assert!((domain.net.now() - start).secs() < 30.0);
    }
    let took = (domain.net.now() - start).secs();
    let after = domain.relays.iter().map(|at| domain.status(*at).counters.pages).max().unwrap();
    let bytes = domain.net.traffic(at).bytes_received as f64;
    assert!(took < 1.3 * bytes / rate as f64 + 0.5, "{bytes} bytes in {took} s");
    assert!(domain.relays.iter().all(|at| domain.status(*at).counters.resent <= before.resent + 3));
    assert!(after > before.pages || domain.status(at).parent != Some(relay));
}

#[test]
fn a_child_keeps_its_version_under_a_parent_that_is_behind() {
    let mut domain = domain(10, 20, CATCH_UP_BYTES_PER_SECOND);
    let publisher = domain.replicas[0];
    let [ahead, behind] = domain.relays[..] else { panic!() };
    let (cut, replicas) = (Link { cut: true, ..Link::default() }, domain.replicas.clone());
    domain.net.set_links(move |from, to| {
        let between = |a, b| a == behind && replicas.contains(&b);
        (between(from, to) || between(to, from)).then_some(cut)
    });
    domain.publish(publisher, vec![worker(0, 0, 2), removal(1, 0)]);
    domain.run_ms(20 * SECOND_MS);
    domain.net.kill(ahead);
    domain.run_ms(30 * SECOND_MS);
    assert!(domain.version(behind) < domain.version(publisher));
    for at in domain.subscribers.clone() {
        assert_eq!(domain.version(at), domain.version(publisher), "{at}");
        assert_eq!(domain.status(at).parent, Some(behind), "a parent that is behind is better than none");
        assert!(domain.status(at).age.unwrap() > Duration::millis(28_000), "the age keeps growing");
    }
    assert!(domain.status(behind).counters.ahead > 0);
    domain.net.set_links(|_, _| None);
    domain.run_ms(10 * SECOND_MS);
    domain.assert_converged(publisher);
    for at in domain.subscribers.clone() {
        domain.assert_outputs_match_records(at);
        assert!(domain.status(at).age.unwrap() < Duration::millis(2_500), "{}", domain.status(at));
        assert_eq!(domain.status(at).counters.mismatches, 0, "{at}");
    }
}
