use super::*;
use proptest::prelude::*;

const HOUR_MS: u64 = 3_600_000;
const BASE_MS: u64 = 1_000 * HOUR_MS;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

fn clocks(own_ms: u64, wall_ms: u64) -> Clocks {
    Clocks { own: at(own_ms), wall: at(wall_ms) }
}

#[test]
fn a_start_reported_again_keeps_its_time() {
    let mut starts = StartTimes::default();
    let first = starts.reported_now(clocks(BASE_MS, BASE_MS), WorkerId(1), Some(at(BASE_MS - 5)));
    assert_eq!(first, Some(at(BASE_MS)), "the first age equals the bound on the clocks' error");
    let again =
        starts.reported_now(clocks(BASE_MS + 9_000, BASE_MS - HOUR_MS), WorkerId(1), Some(at(BASE_MS - 5)));
    assert_eq!((again, starts.reported(WorkerId(1))), (first, Some(at(BASE_MS - 5))));
    let next =
        starts.reported_now(clocks(BASE_MS + 9_000, BASE_MS + 9_000), WorkerId(1), Some(at(BASE_MS + 8_000)));
    assert_eq!(next, Some(at(BASE_MS + 8_005)), "a different start is converted anew");
    assert_eq!(starts.reported_now(clocks(BASE_MS, BASE_MS), WorkerId(1), None), None);
    assert_eq!(starts.age(at(BASE_MS), WorkerId(1)), None);
}

#[test]
fn starts_of_the_first_list_are_taken_uncorrected() {
    let mut starts = StartTimes::default();
    let old = starts.reported_at_start(clocks(BASE_MS, BASE_MS), WorkerId(1), Some(at(BASE_MS - 60_000)));
    assert_eq!(old, Some(at(BASE_MS - 60_000)));
    let ahead = starts.reported_at_start(clocks(BASE_MS, BASE_MS), WorkerId(2), Some(at(BASE_MS + HOUR_MS)));
    assert_eq!(ahead, Some(at(BASE_MS)), "a start in the future counts as now");
    assert_eq!(starts.age(at(BASE_MS + 7), WorkerId(2)), Some(Duration::millis(7)));
}

#[test]
fn removed_workers_are_forgotten() {
    let mut starts = StartTimes::default();
    for worker in 1..=3 {
        starts.reported_now(clocks(BASE_MS, BASE_MS), WorkerId(worker), Some(at(BASE_MS)));
    }
    starts.remove(WorkerId(1));
    starts.retain(|worker| worker != WorkerId(2));
    assert_eq!(starts.starts.keys().copied().collect::<Vec<_>>(), [WorkerId(3)]);
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// Starts are reported with delays, while all clocks of the site, or this machine's alone, are stepped before and
    /// after the process starts. No worker is ever considered older than it is. If no clock was stepped, it is
    /// considered younger by at most the shortest delay of a report.
    #[test]
    fn a_worker_is_never_considered_older_than_it_is(
        first in -2 * HOUR_MS as i64..2 * HOUR_MS as i64,
        events in prop::collection::vec((0u64..20_000, 0u64..7_000, -2 * HOUR_MS as i64..2 * HOUR_MS as i64, any::<bool>(), 0u8..4), 1..40),
    ) {
        let (mut site_offset, mut wall_offset) = (0i64, first);
        let mut starts = StartTimes::default();
        let mut shortest_delay = u64::MAX;
        let mut now = BASE_MS;
        let mut stepped = first != 0;
        for (worker, (pause, delay, step, all, kind)) in events.into_iter().enumerate() {
            now += pause;
            // One in four reports follows a step of the clocks.
            if kind == 0 {
                wall_offset += step;
                site_offset += if all { step } else { 0 };
                stepped = true;
            }
            let shifted = |offset: i64, real: u64| (real as i64 + offset) as u64;
            let reported = at(shifted(site_offset, now - delay));
            let clocks = clocks(shifted(first, now), shifted(wall_offset, now));
            let own = starts.reported_now(clocks, WorkerId(worker as u64), Some(reported)).unwrap();
            let age = (clocks.own - own).0 / 1_000_000;
            shortest_delay = shortest_delay.min(delay);
            // A difference between the steps of the site's clocks and of this machine's cannot be detected.
            let undetectable = site_offset != 0 && wall_offset - first != site_offset;
            prop_assert!(undetectable || age <= delay, "{age} ms for {delay} ms");
            prop_assert!(stepped || age == delay - shortest_delay);
        }
    }
}
