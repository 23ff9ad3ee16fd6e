//! Runs scenarios with real processes, each with one seed: no rule may be violated. How soon anything happens is
//! reported but not checked; `lab rehearse NAME --seeds N` runs more seeds.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot continue fails at once, and is read from top to bottom"
)]

use lab::rig::environment::{self, Options};
use lab::rig::report::Report;
use lab::rig::scenario::Scenario;

fn run(name: &str) -> Report {
    let program = env!("CARGO_BIN_EXE_lab").into();
    let options = Options { program, seed: 5, progress: false, logs: None };
    let report = environment::run_scenario(name, Scenario::find(name).unwrap(), options).unwrap();
    assert!(report.broken.is_empty(), "{}", report.table());
    assert!(
        report.seconds.iter().map(|second| second[0]).sum::<u64>() > 0,
        "no call was served: {}",
        report.table()
    );
    report
}

/// Each part was held under at least two fences, in increasing order: after the fault it was granted again.
fn assert_parts_are_granted_again(report: &Report) {
    for part in ["probe 0", "probe 1", "renew 0", "renew 1"] {
        let fences: Vec<u64> =
            report.held.iter().filter(|held| held.of == part).map(|held| held.fence).collect();
        assert!(fences.len() > 1 && fences.is_sorted(), "{part}: {fences:?}");
    }
}

#[test]
fn a_crash_during_a_short_day() {
    assert_parts_are_granted_again(&run("short-day"));
}

#[test]
fn the_holder_is_killed_repeatedly() {
    assert_parts_are_granted_again(&run("holder-killed"));
}

#[test]
fn the_holder_is_stopped_beyond_its_term_and_continued() {
    assert_parts_are_granted_again(&run("holder-stopped"));
}

#[test]
fn the_holder_is_cut_off_from_peers_but_not_from_workers() {
    assert_parts_are_granted_again(&run("holder-cut"));
}

#[test]
fn links_are_cut_in_one_direction() {
    assert_parts_are_granted_again(&run("one-way"));
}

#[test]
fn the_majority_changes_while_links_flap() {
    run("flapping");
}

#[test]
fn an_elector_is_restarted_within_a_term() {
    run("elector-restarted");
}

#[test]
fn two_of_three_are_killed() {
    assert_parts_are_granted_again(&run("two-killed"));
}

#[test]
fn all_are_restarted_at_once() {
    assert_parts_are_granted_again(&run("all-restarted"));
}

#[test]
fn the_holder_is_upgraded_and_shut_down() {
    assert_parts_are_granted_again(&run("planned"));
}

#[test]
fn faults_of_all_kinds_overlap() {
    run("rough");
}

#[test]
fn a_third_and_then_most_are_killed_under_overload() {
    run("overload-killed");
}

#[test]
fn links_are_slow_lossy_and_cut_and_a_process_stops_under_overload() {
    run("overload-links");
}

#[test]
fn workers_and_the_store_fail() {
    run("boxes");
}
