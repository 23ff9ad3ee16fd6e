use super::*;

const WALL_AHEAD: i64 = 7_000_000_000;

fn ms(ms: u64) -> Timestamp {
    Timestamp(1_000_000_000_000 + ms * 1_000_000)
}

fn reading(at: u64) -> ClockReading {
    ClockReading { process_time: ms(at), wall_ahead: Some(WALL_AHEAD) }
}

/// The Unix time at this millisecond of the process's clock.
fn stamp(at: u64) -> Option<Timestamp> {
    Some(Timestamp(ms(at).0 + WALL_AHEAD as u64))
}

/// A stream whose socket was last known to be empty at this millisecond.
fn empty_at(at: u64) -> Arrivals {
    let mut arrivals = Arrivals::new(reading(0));
    arrivals.note_read_end(reading(at), true);
    arrivals
}

#[test]
fn the_kernel_timestamp_is_used_however_late_the_read_is() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(1_400));
}

/// The kernel's timestamp is that of the last byte; those before it have none.
#[test]
fn bytes_before_the_last_one_of_a_late_read_count_from_when_the_socket_was_empty() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(4), ms(0));
    // With bounds that are close together, the later one counts.
    let mut arrivals = empty_at(1_380);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(4), ms(1_400));
}

#[test]
fn a_late_read_without_a_kernel_timestamp_counts_from_when_the_socket_was_empty() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(0));
    let mut arrivals = empty_at(1_450);
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(1_500));
}

#[test]
fn bytes_of_a_later_read_arrive_after_those_of_the_earlier_one() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    arrivals.note_bytes(10, stamp(1_450), reading(1_500), 10);
    assert_eq!(arrivals.arrival_time(10), ms(1_400));
    assert_eq!(arrivals.arrival_time(5), ms(1_450), "between two times that are close together");
    assert_eq!(arrivals.arrival_time(0), ms(1_450));
}

/// A poll that reports nothing raises the lower bound, unless a read left input in the socket, which polls don't report
/// again.
#[test]
fn a_poll_without_events_does_not_prove_that_a_socket_left_unread_is_empty() {
    let mut arrivals = empty_at(0);
    arrivals.note_no_event(reading(1_450));
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(1_500));
    let mut arrivals = empty_at(0);
    arrivals.note_read_end(reading(10), false);
    arrivals.note_no_event(reading(1_450));
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(0));
    // The kernel's timestamp is used all the same.
    arrivals.note_bytes(10, stamp(1_300), reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(1_300));
}

/// A kernel timestamp cannot be converted across a step of the wall clock, in either direction.
#[test]
fn after_a_step_of_the_wall_clock_the_earlier_bound_counts() {
    for step in [-3_600_000_000_000, -500_000_000, 500_000_000, 3_600_000_000_000] {
        let mut arrivals = empty_at(0);
        let now = ClockReading { process_time: ms(1_500), wall_ahead: Some(WALL_AHEAD + step) };
        arrivals.note_bytes(10, stamp(1_400), now, 0);
        assert_eq!(arrivals.arrival_time(0), ms(0), "stepped by {step} ns");
    }
    // A timestamp outside the bounds was taken by a different clock.
    let mut arrivals = empty_at(1_000);
    arrivals.note_bytes(10, stamp(900), reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(1_000));
    let mut arrivals = empty_at(1_000);
    arrivals.note_bytes(10, stamp(1_600), reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), ms(1_000));
}

#[test]
fn a_timestamp_without_a_known_clock_offset_is_ignored() {
    let mut arrivals = Arrivals::new(ClockReading::UNKNOWN);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrival_time(0), Timestamp(0));
}

/// A peer that sends single bytes uses bounded memory, and its bytes never count as later than they arrived.
#[test]
fn many_small_reads_are_recorded_separately_up_to_a_limit() {
    let mut arrivals = empty_at(0);
    for at in 1..=1_000 {
        arrivals.note_bytes(1, stamp(at * 100), reading(at * 100 + 1), at as usize - 1);
    }
    assert_eq!(arrivals.reads.len(), MAX_READS);
    assert_eq!(arrivals.arrival_time(0), ms(100_000));
    assert_eq!(arrivals.arrival_time(999), ms(100));
    let merged = arrivals.arrival_time(10);
    assert!(merged <= ms(99_000), "{merged:?}");
}
