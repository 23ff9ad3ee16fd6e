//! Simulated fleets under faults determined by seeds, so that a result can be reproduced.

use lab::processes::{Plan, simulate};
use mintgate::Duration;

/// Crashes, pauses, partitions, loss, delay and duplicates must never lead to two holders of a lease or to a fence that
/// does not increase; after the faults every lease has a holder and every process knows all members.
#[test]
fn no_lease_has_two_holders_under_any_fault() {
    let five = Plan::default();
    let nine = Plan { processes: 9, electors: 5, faults: 2.0, ..Plan::default() };
    let seven = Plan { processes: 7, electors: 7, faults: 3.0, ..Plan::default() };
    for (plan, seeds) in [(five, 0..300), (nine, 300..400), (seven, 400..450)] {
        for seed in seeds {
            let report = simulate(&plan, seed);
            assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
            assert!(
                report.leases_without_holder.is_empty(),
                "seed {seed}: {:?}",
                report.leases_without_holder
            );
            assert_eq!(report.members_known, plan.processes - 1, "seed {seed}");
            assert!(report.tenures > 0 && !report.faults.is_empty(), "seed {seed}");
        }
    }
}

/// Checks the audit itself: it must detect two holders when clocks drift three times as much as configured.
#[test]
fn the_audit_detects_clocks_beyond_their_configured_drift() {
    let plan = Plan { drift: 3.0, ..Plan::default() };
    assert!(
        (470..500)
            .any(|seed| simulate(&plan, seed).violations.iter().any(|rule| rule.contains("two holders")))
    );
}

/// The traffic of one process must not grow with the fleet.
#[test]
fn the_traffic_of_a_process_does_not_grow_with_the_fleet() {
    let calm = |processes| {
        let plan = Plan { processes, faults: 0.0, length: Duration::millis(20_000), ..Plan::default() };
        let report = simulate(&plan, 3);
        assert_eq!(report.members_known, processes - 1);
        (report.datagrams.1, report.bytes.1)
    };
    for processes in [3, 30, 100] {
        let (datagrams, bytes) = calm(processes);
        assert!(datagrams < 25.0 && bytes < 2_000.0, "{processes}: {datagrams} datagrams, {bytes} bytes");
    }
}
