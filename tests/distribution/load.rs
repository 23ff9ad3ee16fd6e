//! Many restarts at once, bursts of changes, slow and dead processes: their cost, and whom they delay.

use crate::*;
use lab::network::Link;
use mintgate::Timestamp;

/// The bytes that a control process may send per second while others catch up: its catch-up rate plus a burst of a
/// quarter of it, and two replies of 100 bytes per second for each child.
fn peak_limit(domain: &Domain, children: usize) -> u64 {
    domain.plan().catch_up_bytes_per_second * 5 / 4 + children as u64 * 200
}

#[track_caller]
fn assert_peaks_below(domain: &Domain, peak_limit: u64) {
    let seed = domain.plan().seed;
    for (at, bytes) in domain.peaks() {
        assert!(
            *bytes <= peak_limit,
            "seed {seed}: {at} sent {bytes} bytes in a second, {peak_limit} are allowed"
        );
    }
}

#[test]
fn catch_ups_of_a_third_of_the_schedulers_are_rate_limited_and_do_not_delay_the_others() {
    for seed in SEEDS {
        let plan = Plan {
            subscribers: 300,
            workers: 4_000,
            catch_up_bytes_per_second: 200_000,
            seed,
            ..Plan::default()
        };
        let mut domain = filled_domain(plan);
        domain.run(seconds(2));
        domain.reset_peaks();
        for index in (0..300).step_by(3) {
            domain.start(Role::Subscriber, index);
        }
        let asked = domain.now();
        domain.run(Duration::millis(700));
        let change = domain.modify_workers(4);
        let since = domain.now();
        let version = publish_committed(&mut domain, change);
        assert!(!domain.all_have_head(), "seed {seed}: the catch-up was over too soon to test anything");
        assert_converges(&mut domain, seconds(60));
        assert_peaks_below(&domain, peak_limit(&domain, 300));
        let restarted =
            |at: SocketAddr| (0..300).step_by(3).any(|n| domain.address(Role::Subscriber, n) == at);
        let others = domain.propagation(since, version, |at, _| !restarted(at));
        assert!(others.missing == 0 && others.last < ONE_SECOND, "seed {seed}: {others:?}");
        let all = domain.propagation(asked, version, |_, _| true);
        assert!(all.missing == 0 && all.last < seconds(20), "seed {seed}: {all:?}");
    }
}

#[test]
fn nine_hundred_schedulers_catch_up_at_once() {
    for seed in SEEDS {
        let plan = Plan {
            relays: 6,
            subscribers: 900,
            workers: 2_000,
            catch_up_bytes_per_second: 500_000,
            seed,
            ..Plan::default()
        };
        let mut domain = filled_domain(plan);
        for index in 0..900 {
            domain.kill(Role::Subscriber, index);
        }
        domain.run(seconds(10));
        domain.reset_peaks();
        for index in 0..900 {
            domain.start(Role::Subscriber, index);
        }
        let since = domain.now();
        assert_converges(&mut domain, seconds(60));
        let head = domain.ledger().head();
        let reach = domain.propagation(since, head, |_, _| true);
        assert!(reach.of == 900 && reach.missing == 0 && reach.last < seconds(30), "seed {seed}: {reach:?}");
        assert_peaks_below(&domain, peak_limit(&domain, 900));
        // The complete list is sent once; hardly any page is sent again.
        let pages: Vec<u64> = domain.running(Role::Subscriber).map(|(_, process)| process.pages()).collect();
        let (least, sum) = (pages.iter().min().unwrap(), pages.iter().sum::<u64>());
        assert!(
            sum * 4 <= least * 900 * 5,
            "seed {seed}: {least} pages are a complete list, {sum} were sent"
        );
        // The subscribers spread over the relays.
        for index in 0..6 {
            let children = domain.process(Role::Relay, index).unwrap().node().status(domain.now()).children;
            assert!((75..=300).contains(&children), "seed {seed}: relay {index} has {children} children");
        }
    }
}

#[test]
fn a_change_of_all_workers_of_a_zone_is_installed_in_time() {
    for seed in SEEDS {
        // A zone of the size designed for: 46,000 workers in 20 zones.
        let plan = Plan { replicas: 5, subscribers: 100, workers: 4_600, zones: 2, seed, ..Plan::default() };
        let mut domain = filled_domain(plan);
        let changes: Vec<Change> = (0..4_600).step_by(2).map(|worker| domain.modify_worker(worker)).collect();
        let ticket = domain.publish(changes);
        domain.run(seconds(10));
        let reach = domain.propagation_of(ticket);
        let in_time = |reach: &lab::domain::Propagation| reach.missing == 0 && reach.last < seconds(6);
        assert!(reach.as_ref().is_some_and(in_time), "seed {seed}: {reach:?}");
        assert_converges(&mut domain, seconds(5));
    }
}

#[test]
fn a_burst_of_ten_times_the_mean_rate_is_installed_in_time() {
    for seed in SEEDS {
        let mut domain = filled_domain(Plan { subscribers: 200, workers: 1_000, seed, ..Plan::default() });
        // 67,000 changes per day are 0.78 per second.
        let mut tickets = vec![];
        let mut longest = 0.0_f64;
        for _ in 0..60 {
            for _ in 0..8 {
                let change = domain.modify_workers(1);
                tickets.push(domain.publish(change));
                domain.run(Duration::millis(128 - seed % 5));
            }
            let [_, _, subscribers] = domain.measure(Duration::millis(20));
            longest = longest.max(subscribers.bytes_max);
        }
        let [_, _, calm] = domain.measure(seconds(10));
        assert!(calm.bytes_max < 2_000.0, "seed {seed}: {calm:?}");
        assert_converges(&mut domain, seconds(5));
        for ticket in tickets {
            let reach = domain.propagation_of(ticket);
            let in_time = |reach: &lab::domain::Propagation| {
                reach.missing == 0 && reach.percentile_99 < ONE_SECOND && reach.last < seconds(6)
            };
            assert!(reach.as_ref().is_some_and(in_time), "seed {seed}: {reach:?}");
        }
    }
}

/// Publishes thirty changes over 15 s while one subscriber is impaired. Returns how long each change took to reach the
/// last of the other subscribers, and the bytes sent to the impaired one.
fn run_with_impaired_reader(seed: u64, impair: impl Fn(&mut Domain)) -> (Vec<Duration>, u64) {
    let mut domain =
        filled_domain(Plan { subscribers: 100, workers: 1_000, zones: 1, seed, ..Plan::default() });
    let slow = domain.address(Role::Subscriber, 7);
    let relays: Vec<SocketAddr> = (0..4).map(|index| domain.address(Role::Relay, index)).collect();
    for relay in &relays {
        domain.watch_link(*relay, slow);
    }
    impair(&mut domain);
    let mut asked: Vec<(Timestamp, Version)> = vec![];
    for _ in 0..30 {
        let changes = domain.modify_workers(25);
        asked.push((domain.now(), publish_committed(&mut domain, changes)));
        domain.run(Duration::millis(500));
    }
    let bytes = relays.iter().map(|relay| domain.ledger().link_traffic(*relay, slow).1).sum();
    domain.run(seconds(2));
    let last = |(since, version): &(Timestamp, Version)| {
        let reach = domain.propagation(*since, *version, |at, _| at != slow);
        assert_eq!(reach.missing, 0, "seed {seed}");
        reach.last
    };
    let spans = asked.iter().map(last).collect();
    domain.restore_links();
    domain.set_suspended(Role::Subscriber, 7, false);
    assert_converges(&mut domain, seconds(20));
    (spans, bytes)
}

#[test]
fn one_slow_reader_does_not_delay_others() {
    for seed in SEEDS {
        let (calm, usual) = run_with_impaired_reader(seed, |_| {});
        let longest = |spans: &[Duration]| spans.iter().copied().max().unwrap_or_default();
        assert!(longest(&calm) < Duration::millis(100), "seed {seed}: {calm:?}");
        let stopped = |domain: &mut Domain| domain.set_suspended(Role::Subscriber, 7, true);
        let late = |domain: &mut Domain| {
            let link = Link { delay: Duration::millis(1_000), loss: 0.3, ..Link::default() };
            domain.set_links_of(Role::Subscriber, 7, link);
        };
        // Its messages arrive, but it receives none.
        let unreachable = |domain: &mut Domain| {
            for relay in 0..4 {
                let (from, to) = (domain.address(Role::Relay, relay), domain.address(Role::Subscriber, 7));
                domain.set_link(from, to, Link { cut: true, ..Link::default() });
            }
        };
        for (name, impair) in
            [("stopped", &stopped as &dyn Fn(&mut Domain)), ("late", &late), ("deaf", &unreachable)]
        {
            let (spans, bytes) = run_with_impaired_reader(seed, impair);
            assert!(
                longest(&spans).0 <= longest(&calm).0 + Duration::millis(20).0,
                "seed {seed}: {:?} with one reader {name}, {:?} without",
                longest(&spans),
                longest(&calm)
            );
            // A window of 16 pages, each sent again at most twice per second.
            let peak_limit = usual + 15 * 2 * 16 * 1_400;
            assert!(
                bytes < peak_limit,
                "seed {seed}: {bytes} bytes went to one reader that is {name}, {usual} usually"
            );
        }
    }
}

#[test]
fn changes_are_installed_in_time_with_one_in_four_control_processes_dead() {
    for seed in SEEDS {
        let plan = Plan { replicas: 3, relays: 5, subscribers: 300, workers: 1_000, seed, ..Plan::default() };
        let mut domain = filled_domain(plan);
        let publisher = domain.holder().unwrap();
        let change = domain.modify_workers(1);
        let before = domain.publish(change);
        domain.run(Duration(200_000));
        domain.kill(Role::Relay, seed as usize % 5);
        domain.run(seconds(5));
        let change = domain.modify_workers(1);
        domain.kill(Role::Replica, publisher);
        let while_electing = domain.publish(change.clone());
        domain.run_until(Duration::millis(10), seconds(10), |domain| {
            domain.holder().is_some_and(|holder| holder != publisher)
        });
        let again = domain.publish(change);
        domain.run(seconds(6));
        // Even changes published at the moment of a failure reach the last subscriber within 6 s.
        assert!(
            !matches!(domain.outcome(while_electing), Some(Ok(_))),
            "seed {seed}: a dead publisher reported a commit"
        );
        for ticket in [before, again] {
            let reach = domain.propagation_of(ticket);
            assert!(
                reach.as_ref().is_some_and(|reach| reach.missing == 0 && reach.last < seconds(6)),
                "seed {seed}: {reach:?}"
            );
        }
        // While both processes are dead, changes meet the normal target.
        let tickets: Vec<u64> = (0..40)
            .map(|_| {
                let change = domain.modify_workers(1);
                let ticket = domain.publish(change);
                domain.run(Duration::millis(700));
                ticket
            })
            .collect();
        domain.run(seconds(6));
        for ticket in tickets {
            let reach = domain.propagation_of(ticket);
            let in_time = |reach: &lab::domain::Propagation| {
                reach.missing == 0 && reach.percentile_99 < ONE_SECOND && reach.last < seconds(6)
            };
            assert!(reach.as_ref().is_some_and(in_time), "seed {seed}: {reach:?}");
        }
        assert_converges(&mut domain, seconds(5));
    }
}
