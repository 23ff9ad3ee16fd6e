use super::*;
use proptest::prelude::*;

const HOUR: u64 = 3_600_000;
const LIFE: u64 = 1_000 * HOUR;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

fn clocks(own_ms: u64, wall_ms: u64) -> Clocks {
    Clocks { own: at(own_ms), wall: at(wall_ms) }
}

#[test]
fn a_start_that_is_told_again_stays_where_it_is() {
    let mut starts = StartTimes::default();
    let first = starts.reported_now(clocks(LIFE, LIFE), WorkerId(1), Some(at(LIFE - 5)));
    assert_eq!(first, Some(at(LIFE)), "the first one is as old as the clocks may be off");
    let again = starts.reported_now(clocks(LIFE + 9_000, LIFE - HOUR), WorkerId(1), Some(at(LIFE - 5)));
    assert_eq!((again, starts.reported(WorkerId(1))), (first, Some(at(LIFE - 5))));
    let next = starts.reported_now(clocks(LIFE + 9_000, LIFE + 9_000), WorkerId(1), Some(at(LIFE + 8_000)));
    assert_eq!(next, Some(at(LIFE + 8_005)), "a new start is another one");
    assert_eq!(starts.reported_now(clocks(LIFE, LIFE), WorkerId(1), None), None);
    assert_eq!(starts.age(at(LIFE), WorkerId(1)), None);
}

#[test]
fn what_the_first_list_tells_counts_as_it_is_read() {
    let mut starts = StartTimes::default();
    let old = starts.begin_with(clocks(LIFE, LIFE), WorkerId(1), Some(at(LIFE - 60_000)));
    assert_eq!(old, Some(at(LIFE - 60_000)));
    let ahead = starts.begin_with(clocks(LIFE, LIFE), WorkerId(2), Some(at(LIFE + HOUR)));
    assert_eq!(ahead, Some(at(LIFE)), "nobody starts in the future");
    assert_eq!(starts.age(at(LIFE + 7), WorkerId(2)), Some(Duration::millis(7)));
}

#[test]
fn what_is_gone_is_forgotten() {
    let mut starts = StartTimes::default();
    for worker in 1..=3 {
        starts.reported_now(clocks(LIFE, LIFE), WorkerId(worker), Some(at(LIFE)));
    }
    starts.remove(WorkerId(1));
    starts.retain(|worker| worker != WorkerId(2));
    assert_eq!(starts.starts.keys().copied().collect::<Vec<_>>(), [WorkerId(3)]);
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// Starts are told late, and all clocks of the site or this machine's alone are stepped between them, before and after
    /// the process began: no worker is ever taken for older than it is. Where no clock was off, it is taken for younger by
    /// no more than the promptest word took.
    #[test]
    fn no_worker_is_taken_for_older_than_it_is(
        first in -2 * HOUR as i64..2 * HOUR as i64,
        events in prop::collection::vec((0u64..20_000, 0u64..7_000, -2 * HOUR as i64..2 * HOUR as i64, any::<bool>(), 0u8..4), 1..40),
    ) {
        let (mut outside, mut own_wall) = (0i64, first);
        let mut starts = StartTimes::default();
        let mut promptest = u64::MAX;
        let mut now = LIFE;
        let mut stepped = first != 0;
        for (worker, (pause, late, step, all, kind)) in events.into_iter().enumerate() {
            now += pause;
            // One in four words follows on a step.
            if kind == 0 {
                own_wall += step;
                outside += if all { step } else { 0 };
                stepped = true;
            }
            let off = |by: i64, real: u64| (real as i64 + by) as u64;
            let reported = at(off(outside, now - late));
            let clocks = clocks(off(first, now), off(own_wall, now));
            let own = starts.reported_now(clocks, WorkerId(worker as u64), Some(reported)).unwrap();
            let age = (clocks.own - own).0 / 1_000_000;
            promptest = promptest.min(late);
            // Where the site's clocks and this machine's own were stepped apart, nothing shows it.
            let hidden = outside != 0 && own_wall - first != outside;
            prop_assert!(hidden || age <= late, "{age} ms for {late} ms");
            prop_assert!(stepped || age == late - promptest);
        }
    }
}
