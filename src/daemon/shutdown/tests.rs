use super::*;

const START: Timestamp = Timestamp(1_000_000_000_000);

/// The process is gone before SIGKILL may come, and serves for as long as clients still come.
#[test]
fn short_deadlines_bring_the_end_before_the_earliest_kill() {
    let cases =
        [(50, 650), (250, 700), (450, 900), (750, 1_200), (1_000, 1_200), (3_000, 1_200), (60_000, 1_200)];
    for (deadline_ms, end_ms) in cases {
        let deadline = Duration::millis(deadline_ms);
        let times = ShutdownTimes::new(START, deadline);
        assert_eq!(times.end_at, START + Duration::millis(end_ms), "{deadline_ms} ms");
        let kill_at = START + deadline.min(MAX_KILL_DEADLINE) + KILL_AFTER_DEADLINE;
        assert!(times.end_at < kill_at);
    }
}

#[test]
fn each_step_is_waited_for() {
    let times = ShutdownTimes::new(START, Duration::millis(250));
    let mut steps = vec![];
    let mut now = START;
    while let Some(next) = times.next(now) {
        steps.push((next - START).whole_millis());
        now = next;
    }
    assert_eq!(steps, [700, 3_400], "the end and the refusals fall together");
    let times = ShutdownTimes::new(START, Duration::millis(60_000));
    assert_eq!(times.next(START), Some(START + REJECT_AFTER));
    assert_eq!(times.next(START + REJECT_AFTER), Some(START + DRAIN_TIME));
    assert_eq!(times.next(START + DRAIN_TIME + LAST_WRITE), None);
}
