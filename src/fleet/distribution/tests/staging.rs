//! Staging of pages that arrive in any order, repeatedly, or from two parents, while the parent's version advances.

use super::*;
use crate::fleet::distribution::log::Log;
use crate::fleet::distribution::stage::Staging;
use proptest::prelude::*;

const START_TIME: Timestamp = Timestamp(1_000_000_000_000);

/// The pages of a catch-up; one that starts at 0 is a snapshot.
pub(super) fn pages(log: &Log, interest: &Interest, start: u64, from: u64) -> Vec<Page> {
    let (mut after, mut pages) = (from, vec![]);
    while after < log.version().sequence {
        let begun = if start == 0 && from == 0 { log.version().sequence } else { 0 };
        let part = log.part(interest, after, begun);
        pages.push(Page {
            start,
            after,
            upto: part.upto,
            head: log.version(),
            since: log.epoch_start(),
            digest: log.digest_of(interest),
            publishes: 0,
            age_ms: 0,
            changes: part.changes,
            steps: part.steps,
        });
        after = part.upto;
    }
    pages
}

/// The sequence that the stage started from, and its position.
fn start_and_position(staging: &Staging) -> Option<(u64, u64)> {
    staging.progress().map(|progress| (progress.start, progress.upto))
}

pub(super) fn parent_log(workers: u64) -> Log {
    let mut log = Log::default();
    log.commit(1, (0..workers).map(|id| worker(id, (id % 3) as u8, 1)).chain([class("a", "1")]));
    log
}

/// Receives all pages, and installs each complete version. Returns whether all of them were consistent.
fn receive_all(staging: &mut Staging, child: &mut Log, pages: impl IntoIterator<Item = Page>) -> bool {
    for page in pages {
        if page.head <= child.version() {
            continue;
        }
        staging.add_page(START_TIME, child.version().sequence, page);
        while let Some(complete) = staging.complete_version(child) {
            if !complete.is_consistent {
                return false;
            }
            let next = staging.install(child);
            if let Some(page) = next.filter(|page| page.head > child.version()) {
                staging.add_page(START_TIME, child.version().sequence, page);
            }
        }
    }
    true
}

#[test]
fn a_snapshot_replaces_the_records() {
    let log = parent_log(200);
    let mut child = Log::default();
    child.commit(1, [worker(999, 0, 1), worker(3, 1, 8)]);
    let mut staging = Staging::default();
    let pages = pages(&log, &zone_interest(&[0]), 0, 0);
    assert!(pages.len() > 1);
    assert!(receive_all(&mut staging, &mut child, pages));
    assert_eq!(child.version(), log.version());
    assert_eq!(child.digest(), log.digest_of(&zone_interest(&[0])));
    assert_eq!(child.floor(&Interest::All), log.version().sequence, "earlier removals are not known");
}

#[test]
fn a_wrong_digest_is_not_installed() {
    let log = parent_log(50);
    let mut pages = pages(&log, &Interest::All, 0, 0);
    let last = pages.last_mut().unwrap();
    last.changes.pop();
    let (mut staging, mut child) = (Staging::default(), Log::default());
    assert!(!receive_all(&mut staging, &mut child, pages));
    assert_eq!(child.version(), Version::default());
}

#[test]
fn buffered_early_pages_are_bounded() {
    let log = parent_log(5_000);
    let pages = pages(&log, &Interest::All, 0, 0);
    assert!(pages.len() > 40);
    let (mut staging, mut child) = (Staging::default(), Log::default());
    receive_all(&mut staging, &mut child, pages[1..].iter().cloned());
    assert_eq!(staging.progress(), None);
    receive_all(&mut staging, &mut child, pages[..1].to_vec());
    let kept = crate::fleet::distribution::stage::WINDOW_PAGES as u64;
    assert_eq!(start_and_position(&staging), Some((0, pages[kept as usize].upto)));
}

#[test]
fn a_parent_that_starts_over_is_accepted_once_the_stage_has_stalled() {
    let log = parent_log(500);
    let pages = pages(&log, &Interest::All, 0, 0);
    let (mut staging, child) = (Staging::default(), Log::default());
    for page in &pages[..5] {
        staging.add_page(START_TIME, child.version().sequence, page.clone());
    }
    let before = staging.progress();
    staging.add_page(START_TIME + Duration::millis(199), 0, pages[0].clone());
    assert_eq!(staging.progress(), before, "a late page");
    staging.add_page(START_TIME + Duration::millis(200), 0, pages[0].clone());
    assert_eq!(start_and_position(&staging), Some((0, pages[0].upto)));
}

/// An older page must not undo a later change of a record, and overlapping pages must not leave a record out of the
/// index from which the child serves its own children.
#[test]
fn overlapping_pages_of_two_versions_yield_complete_snapshots() {
    let mut log = parent_log(600);
    let old = pages(&log, &Interest::All, 0, 0);
    assert!(old.len() > 6);
    log.commit(1, (0..40).map(|id| worker(7 * id, (7 * id % 3) as u8, 99)).chain([removal(1, 1)]));
    let new = pages(&log, &Interest::All, 0, 0);
    for cut in 1..6 {
        // The rest is sent again from the acknowledged sequence, with other page boundaries.
        let again = pages(&log, &Interest::All, 0, old[cut - 1].after + 3);
        let (mut staging, mut child) = (Staging::default(), Log::default());
        let mixed = old[..cut].iter().chain(&again).chain(&old[cut..]).cloned();
        assert!(receive_all(&mut staging, &mut child, mixed.collect::<Vec<_>>()), "cut at {cut}");
        assert_eq!((child.version(), child.digest()), (log.version(), log.digest()), "cut at {cut}");
        let mut grandchild = Log::default();
        assert!(receive_all(&mut Staging::default(), &mut grandchild, pages(&child, &Interest::All, 0, 0)));
        assert_eq!(grandchild.digest(), log.digest());
        assert_eq!(pages(&child, &Interest::All, 0, 0), new, "it serves the same pages as its parent");
        // After a page of the later version was applied, the stage does not return to the earlier one.
        let (mut staging, mut child) = (Staging::default(), Log::default());
        let mixed = new[..cut].iter().chain(&old[cut..]).chain(&new[cut..]).cloned();
        assert!(receive_all(&mut staging, &mut child, mixed.collect::<Vec<_>>()), "cut at {cut}");
        assert_eq!((child.version(), child.digest()), (log.version(), log.digest()), "cut at {cut}");
    }
}

#[test]
fn pages_of_two_histories_are_not_installed() {
    let log = parent_log(300);
    let mut other = Log::default();
    // The same records, with sequences in another order.
    other.commit(1, [class("a", "1")].into_iter().chain((0..300).map(|id| worker(id, (id % 3) as u8, 1))));
    let (one, two) = (pages(&log, &Interest::All, 0, 0), pages(&other, &Interest::All, 0, 0));
    let (mut staging, mut child) = (Staging::default(), Log::default());
    let mixed = one[..2].iter().chain(&two[1..]).cloned();
    assert!(!receive_all(&mut staging, &mut child, mixed.collect::<Vec<_>>()));
    assert_eq!(child.version(), Version::default());
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// The pages of a snapshot and then of changes, reordered within a window of pages, and some of them repeated.
    #[test]
    fn any_order_within_the_window_leads_to_the_same_records(
        workers in 1u64..300,
        later in prop::collection::vec((0u64..300, 0u8..3, any::<bool>()), 0..60),
        swaps in prop::collection::vec((0usize..40, 0usize..12), 0..40),
        repeats in prop::collection::vec(0usize..40, 0..10),
        of in prop::collection::btree_set(0u8..3, 0..3),
    ) {
        let interest = zone_interest(&of.into_iter().collect::<Vec<_>>());
        let mut log = parent_log(workers);
        let mut sent = pages(&log, &interest, 0, 0);
        let mut base = log.version().sequence;
        for (id, zone, stays) in later {
            log.commit(2, [if stays { worker(id, zone, 5) } else { removal(id, zone) }]);
            sent.extend(pages(&log, &interest, base, base));
            base = log.version().sequence;
        }
        for (at, by) in swaps {
            if at + by < sent.len() {
                sent.swap(at, at + by);
            }
        }
        for at in repeats {
            if at < sent.len() {
                let page = sent[at].clone();
                sent.insert(at, page);
            }
        }
        let (mut staging, mut child) = (Staging::default(), Log::default());
        // The parent sends pages that were dropped for their order again, from the child's position on.
        let mut rounds = 0;
        while child.version() != log.version() {
            prop_assert!(receive_all(&mut staging, &mut child, std::mem::take(&mut sent)), "a digest did not match");
            let version = child.version().sequence;
            let (start, from) = start_and_position(&staging).unwrap_or((version, version));
            sent = pages(&log, &interest, start, from);
            rounds += 1;
            prop_assert!(rounds < 200, "the catch-up does not finish");
        }
        prop_assert_eq!(child.digest(), log.digest_of(&interest));
    }

    /// The first pages of a catch-up come from one parent, the rest from another one with a later version.
    #[test]
    fn another_parent_continues_where_the_first_stopped(
        workers in 50u64..400,
        later in prop::collection::vec((0u64..400, 0u8..3, any::<bool>()), 0..60),
        stop in 0usize..20,
        snapshot in any::<bool>(),
    ) {
        let mut log = parent_log(workers);
        let mut child = Log::default();
        if !snapshot {
            let (mut staging, first) = (Staging::default(), pages(&log, &Interest::All, 0, 0));
            prop_assert!(receive_all(&mut staging, &mut child, first));
            log.commit(1, (0..workers).map(|id| worker(id, (id % 3) as u8, 2)));
        }
        let start = child.version().sequence;
        let mut staging = Staging::default();
        let first: Vec<Page> = pages(&log, &Interest::All, start, start).into_iter().take(stop).collect();
        prop_assert!(receive_all(&mut staging, &mut child, first));
        if child.version() == log.version() {
            return Ok(());
        }
        for (id, zone, stays) in later {
            log.commit(1, [if stays { worker(id, zone, 5) } else { removal(id, zone) }]);
        }
        staging.change_parent(START_TIME);
        let (start, from) = start_and_position(&staging).unwrap_or((start, start));
        let rest = pages(&log, &Interest::All, start, from);
        prop_assert!(receive_all(&mut staging, &mut child, rest), "a digest did not match");
        prop_assert_eq!(child.version(), log.version());
    }
}
