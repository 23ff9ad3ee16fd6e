use super::*;

const SHUTDOWN_AT: Timestamp = Timestamp(1_000_000_000_000);

/// The process exits before SIGKILL may come, and serves for as long as clients still connect.
#[test]
fn short_deadlines_end_the_drain_before_the_earliest_sigkill() {
    let cases =
        [(50, 650), (250, 700), (450, 900), (750, 1_200), (1_000, 1_200), (3_000, 1_200), (60_000, 1_200)];
    for (deadline_ms, end_ms) in cases {
        let deadline = Duration::millis(deadline_ms);
        let times = ShutdownTimes::new(SHUTDOWN_AT, deadline);
        assert_eq!(times.end_at, SHUTDOWN_AT + Duration::millis(end_ms), "{deadline_ms} ms");
        let kill_at = SHUTDOWN_AT + deadline.min(MAX_KILL_DEADLINE) + KILL_AFTER_DEADLINE;
        assert!(times.end_at < kill_at);
    }
}

#[test]
fn next_returns_each_step_in_order() {
    let times = ShutdownTimes::new(SHUTDOWN_AT, Duration::millis(250));
    let mut steps = vec![];
    let mut now = SHUTDOWN_AT;
    while let Some(next) = times.next(now) {
        steps.push((next - SHUTDOWN_AT).whole_millis());
        now = next;
    }
    assert_eq!(steps, [700, 3_400], "rejection and the end of the drain coincide");
    let times = ShutdownTimes::new(SHUTDOWN_AT, Duration::millis(60_000));
    assert_eq!(times.next(SHUTDOWN_AT), Some(SHUTDOWN_AT + REJECT_AFTER));
    assert_eq!(times.next(SHUTDOWN_AT + REJECT_AFTER), Some(SHUTDOWN_AT + DRAIN_TIME));
    assert_eq!(times.next(SHUTDOWN_AT + DRAIN_TIME + UNREAD_ANSWER_TIMEOUT), None);
}
