//! Fleets in virtual time, through faults that seeds draw: the verdict is the same on every run.

use lab::processes::{Plan, simulate};
use mintgate::Duration;

/// Crashes, pauses, cuts, losses, delays, repeats: never two holders of a lease, fences rise, and once all is well
/// again everything is held and everybody known.
#[test]
fn whatever_happens_nobody_holds_a_lease_beside_another() {
    let five = Plan::default();
    let nine = Plan { processes: 9, electors: 5, faults: 2.0, ..Plan::default() };
    let seven = Plan { processes: 7, electors: 7, faults: 3.0, ..Plan::default() };
    for (plan, seeds) in [(five, 0..300), (nine, 300..400), (seven, 400..450)] {
        for seed in seeds {
            let report = simulate(&plan, seed);
            assert!(report.broken.is_empty(), "seed {seed}: {:?}", report.broken);
            assert!(report.unheld.is_empty(), "seed {seed}: {:?}", report.unheld);
            assert_eq!(report.known, plan.processes - 1, "seed {seed}");
            assert!(report.tenures > 0 && !report.faults.is_empty(), "seed {seed}");
        }
    }
}

/// The audit must find what it looks for: clocks that are off by three times what processes are told.
#[test]
fn clocks_out_of_their_bound_are_found() {
    let plan = Plan { drift: 3.0, ..Plan::default() };
    assert!(
        (470..500).any(|seed| simulate(&plan, seed).broken.iter().any(|rule| rule.contains("two holders")))
    );
}

/// What one process sends a second does not grow with the fleet.
#[test]
fn a_large_fleet_costs_each_process_no_more() {
    let calm = |processes| {
        let plan = Plan { processes, faults: 0.0, length: Duration::millis(20_000), ..Plan::default() };
        let report = simulate(&plan, 3);
        assert_eq!(report.known, processes - 1);
        (report.datagrams.1, report.bytes.1)
    };
    for processes in [3, 30, 100] {
        let (datagrams, bytes) = calm(processes);
        assert!(datagrams < 25.0 && bytes < 2_000.0, "{processes}: {datagrams} datagrams, {bytes} bytes");
    }
}
