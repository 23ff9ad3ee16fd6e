//! Unit tests of the parts of the policy.

use super::concurrency_limit::ConcurrencyLimit;
use super::latency::{ClassLatencies, Slowness};
use super::requests::SentTo;
use super::retry;
use super::token_bucket::TokenBucket;
use super::worker_health::WorkerHealth;
use crate::interface::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(0) + Duration::millis(ms)
}

#[test]
fn token_bucket_holds_at_most_one_refill() {
    let mut bucket = TokenBucket::new(0.5, at(0));
    assert!(!bucket.has_token());
    bucket.refill(at(1000), 3.0);
    for _ in 0..3 {
        assert!(bucket.has_token());
        bucket.take();
    }
    assert!(!bucket.has_token());
    bucket.refill(at(2000), 0.5);
    bucket.refill(at(4000), 0.5);
    assert!(bucket.has_token());
    bucket.take();
    assert!(!bucket.has_token());
}

#[test]
fn limit_grows_while_answers_are_in_time_and_shrinks_once_per_interval() {
    let mut limit = ConcurrencyLimit::new();
    assert!(limit.admits(7, 1.0) && !limit.admits(8, 1.0) && limit.admits(8, 1.5));
    for _ in 0..6 {
        limit.observe(at(1000), 0.1, 8);
    }
    assert!(limit.admits(8, 1.0) && limit.is_latency_low());
    limit.decrease(at(2000));
    limit.decrease(at(2100));
    assert!(limit.admits(6, 1.0) && !limit.admits(8, 1.0));
    for step in 0..100 {
        limit.decrease(at(3000 + step * 200));
    }
    assert!(limit.admits(0, 1.0) && !limit.admits(1, 1.0));
}

#[test]
fn slowness_halves_its_distance_from_one_in_four_seconds() {
    let mut slowness = Slowness::new();
    slowness.observe_in_flight(at(1_000_000), 1.5);
    assert_eq!(slowness.at(at(1_000_000)), 1.0);
    slowness.observe_in_flight(at(1_000_000), 5.0);
    assert!((slowness.at(at(1_000_000)) - 5.0).abs() < 1e-9);
    assert!((slowness.at(at(1_004_000)) - 3.0).abs() < 1e-9);
    slowness.observe_at_least(at(1_004_000), 2.0);
    assert!((slowness.at(at(1_004_000)) - 3.0).abs() < 1e-9);
}

fn class(latency_objective: Duration) -> Class {
    Class {
        latency_objective,
        deadline: Duration::millis(2500),
        priority_weight: 1.0,
        late_value: 0.1,
        effect: Effect::Safe,
        max_attempts: 5,
    }
}

#[test]
fn unchanged_class_keeps_its_mean_latency() {
    let old = [class(Duration::millis(400)), class(Duration::millis(800))];
    let new = [class(Duration::millis(400)), class(Duration::millis(400)), class(Duration::millis(800))];
    let mut latencies = ClassLatencies::new(&old);
    latencies.observe(0, 1.0);
    latencies.observe(1, 1.0);
    let learned = latencies.mean_s(0);
    assert!(learned > 0.1);
    latencies.configure(&old, &new);
    assert_eq!(latencies.means_s(), [learned, 0.1, 0.2]);
}

#[test]
fn worker_with_a_high_error_rate_is_ejected_temporarily() {
    let mut health = WorkerHealth::new(at(0));
    health.observe_outcome(at(1000), true);
    health.observe_outcome(at(1000), true);
    assert!(!health.is_ejected(at(1000)));
    health.observe_outcome(at(1000), true);
    assert!(health.is_ejected(at(1000)) && health.is_ejected(at(1299)) && !health.is_ejected(at(1500)));
}

#[test]
fn peer_report_counts_until_the_worker_answers_or_two_seconds_pass() {
    let mut health = WorkerHealth::new(at(0));
    health.observe_peer_check(false, at(1000));
    assert!(health.is_reported_silent(at(2999)) && !health.is_reported_silent(at(3000)));
    assert!(!health.has_too_many_unanswered_checks());
    health.mark_unanswered_check();
    assert!(health.has_too_many_unanswered_checks());
    health.mark_alive(at(1500));
    assert!(!health.is_reported_silent(at(1600)) && !health.has_too_many_unanswered_checks());
}

#[test]
fn request_that_may_have_run_is_repeated_as_its_effect_allows() {
    let window = Duration::millis(1000);
    let keyed = |group| Effect::Keyed { group, window };
    assert!(retry::may_repeat(Effect::Safe, at(0), at(99_999)));
    assert!(!retry::may_repeat(Effect::Unsafe, at(0), at(0)));
    assert!(retry::may_repeat(keyed(Group::All), at(0), at(899)));
    assert!(!retry::may_repeat(keyed(Group::All), at(0), at(900)));

    let first_run = SentTo { at: at(0), zone: ZoneId(1), cell: CellId(2) };
    let member = Member { zone: ZoneId(1), cell: CellId(3), ..Member::default() };
    assert!(retry::is_in_group(keyed(Group::All), first_run, &member));
    assert!(retry::is_in_group(keyed(Group::Zone), first_run, &member));
    assert!(!retry::is_in_group(keyed(Group::Cell), first_run, &member));
    assert!(!retry::is_window_over(keyed(Group::All), None, at(5000)));
    assert!(!retry::is_window_over(keyed(Group::All), Some(first_run), at(899)));
    assert!(retry::is_window_over(keyed(Group::All), Some(first_run), at(900)));

    assert!(retry::may_client_retry(Effect::Safe, true));
    assert!(retry::may_client_retry(keyed(Group::All), true));
    assert!(!retry::may_client_retry(keyed(Group::Zone), true));
    assert!(retry::may_client_retry(Effect::Unsafe, false));
    assert!(!retry::may_client_retry(Effect::Unsafe, true));
}
