use super::*;
use crate::net::SystemClock;

/// A hundred schedulers with several connections each cost a worker more than the collisions of their requests do.
#[test]
fn connections_to_a_worker_are_divided_among_all_schedulers() {
    let shares = [0, 1, 3, 6, 48, 100, u32::MAX].map(Pool::connections_per_scheduler);
    assert_eq!(shares, [16, 16, 16, 8, 1, 1, 1]);
}

#[test]
fn a_write_period_begins_with_the_first_attempt_and_ends() {
    let reactor = Reactor::new(SystemClock::new()).unwrap();
    let mut period = WritePeriod::default();
    assert!(!period.is_over(&reactor));
    std::thread::sleep(std::time::Duration::from_nanos(MAX_WRITE_TIME.0));
    assert!(period.is_over(&reactor));
}
