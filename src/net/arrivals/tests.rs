use super::*;

const WALL_AHEAD: i64 = 7_000_000_000;

fn ms(ms: u64) -> Timestamp {
    Timestamp(1_000_000_000_000 + ms * 1_000_000)
}

fn reading(at: u64) -> ClockReading {
    ClockReading { own: ms(at), wall_ahead: Some(WALL_AHEAD) }
}

/// Unix time at that millisecond of the process's clock.
fn stamp(at: u64) -> Option<Timestamp> {
    Some(Timestamp(ms(at).0 + WALL_AHEAD as u64))
}

/// A stream whose socket was seen to be empty then, and not since.
fn empty_at(at: u64) -> Arrivals {
    let mut arrivals = Arrivals::new(reading(0));
    arrivals.note_read_end(reading(at), true);
    arrivals
}

#[test]
fn the_kernels_time_counts_however_late_the_read_is() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(1_400));
}

/// Of the bytes before the last one the kernel tells nothing.
#[test]
fn what_came_before_the_last_byte_of_a_read_counts_from_the_last_look() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrived(4), ms(0));
    // While the process is prompt that is no matter.
    let mut arrivals = empty_at(1_380);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrived(4), ms(1_400));
}

#[test]
fn without_the_kernels_time_a_late_read_counts_from_the_last_look() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(0));
    let mut arrivals = empty_at(1_450);
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(1_500));
}

#[test]
fn bytes_of_a_later_read_came_after_those_of_the_one_before() {
    let mut arrivals = empty_at(0);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    arrivals.note_bytes(10, stamp(1_450), reading(1_500), 10);
    assert_eq!(arrivals.arrived(10), ms(1_400));
    assert_eq!(arrivals.arrived(5), ms(1_450), "between two that are near");
    assert_eq!(arrivals.arrived(0), ms(1_450));
}

/// A poll that tells of nothing raises the lower bound, unless something was left that it does not tell of again.
#[test]
fn a_poll_tells_nothing_of_what_was_left_unread() {
    let mut arrivals = empty_at(0);
    arrivals.note_nothing_told(reading(1_450));
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(1_500));
    let mut arrivals = empty_at(0);
    arrivals.note_read_end(reading(10), false);
    arrivals.note_nothing_told(reading(1_450));
    arrivals.note_bytes(10, None, reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(0));
    // The kernel tells when it came all the same.
    arrivals.note_bytes(10, stamp(1_300), reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(1_300));
}

/// Points in Unix time mean nothing across a step of the wall clock, in whichever direction.
#[test]
fn a_step_of_the_wall_clock_makes_nothing_later_than_the_bounds() {
    for step in [-3_600_000_000_000, -500_000_000, 500_000_000, 3_600_000_000_000] {
        let mut arrivals = empty_at(0);
        let now = ClockReading { own: ms(1_500), wall_ahead: Some(WALL_AHEAD + step) };
        arrivals.note_bytes(10, stamp(1_400), now, 0);
        assert_eq!(arrivals.arrived(0), ms(0), "stepped by {step} ns");
    }
    // One that came before the last look, or will come, was taken by another clock.
    let mut arrivals = empty_at(1_000);
    arrivals.note_bytes(10, stamp(900), reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(1_000));
    let mut arrivals = empty_at(1_000);
    arrivals.note_bytes(10, stamp(1_600), reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), ms(1_000));
}

#[test]
fn a_time_that_cannot_be_compared_does_not_count() {
    let mut arrivals = Arrivals::new(ClockReading::UNKNOWN);
    arrivals.note_bytes(10, stamp(1_400), reading(1_500), 0);
    assert_eq!(arrivals.arrived(0), Timestamp(0));
}

/// A peer that sends single bytes holds no more memory than others, and gains no time.
#[test]
fn many_small_reads_are_told_apart_up_to_a_bound() {
    let mut arrivals = empty_at(0);
    for at in 1..=1_000 {
        arrivals.note_bytes(1, stamp(at * 100), reading(at * 100 + 1), at as usize - 1);
    }
    assert_eq!(arrivals.reads.len(), MAX_READS);
    assert_eq!(arrivals.arrived(0), ms(100_000));
    assert_eq!(arrivals.arrived(999), ms(100));
    let merged = arrivals.arrived(10);
    assert!(merged <= ms(99_000), "{merged:?}");
}
