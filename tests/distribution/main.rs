//! Failure and load tests of the distribution: complete domains of the actual nodes in virtual time, which exchange the
//! actual datagrams, with injected faults. `lab::domain` checks the invariants of every process at every step; each
//! test adds the expectations of its case. No result depends on the speed of the machine.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod content;
mod days;
mod failures;
mod load;

use lab::domain::{Domain, Plan};
use mintgate::Duration;
use mintgate::fleet::distribution::{Change, Role, Version};
use std::net::SocketAddr;

pub(crate) const SEEDS: [u64; 3] = [11, 12, 13];
pub(crate) const ONE_SECOND: Duration = Duration(1_000_000_000);

pub(crate) fn seconds(count: u64) -> Duration {
    Duration(count * ONE_SECOND.0)
}

/// Creates a domain in which the first list is installed everywhere.
pub(crate) fn filled_domain(plan: Plan) -> Domain {
    let seed = plan.seed;
    let mut domain = Domain::new(plan);
    domain.run(ONE_SECOND);
    domain.publish_all().unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    assert!(domain.settle(seconds(60)), "seed {seed}: the first list is not installed everywhere");
    domain
}

/// Asserts that all processes end up with the same records, and that no invariant was violated.
#[track_caller]
pub(crate) fn assert_converges(domain: &mut Domain, limit: Duration) {
    let seed = domain.plan().seed;
    let settled = domain.settle(limit);
    let broken = domain.audit();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(
        settled,
        "seed {seed}: not all processes have {:?}: {:?}",
        domain.ledger().head(),
        lagging_processes(domain)
    );
}

/// The operator status of processes that have not installed the last version.
pub(crate) fn lagging_processes(domain: &Domain) -> Vec<String> {
    let head = domain.ledger().head();
    let describe = |(role, index): (Role, usize)| {
        let status = domain.process(role, index)?.node().status(domain.now());
        let counters = status.counters;
        (status.version != head).then(|| format!("{role:?} {index}: {status} {counters:?}"))
    };
    domain.all().into_iter().filter_map(describe).take(8).collect()
}

#[track_caller]
pub(crate) fn publish_committed(domain: &mut Domain, changes: Vec<Change>) -> Version {
    let seed = domain.plan().seed;
    match domain.publish_now(changes) {
        Some(Ok(version)) => version,
        other => panic!("seed {seed}: not published: {other:?}"),
    }
}

pub(crate) fn versions(domain: &Domain) -> Vec<(SocketAddr, Version)> {
    domain.running(Role::Subscriber).map(|(at, process)| (at, process.node().version())).collect()
}

pub(crate) fn has_record(domain: &Domain, role: Role, index: usize, change: &Change) -> bool {
    let Some(process) = domain.process(role, index) else { return false };
    process.node().records().any(|(key, value)| *key == change.key && Some(value) == change.value.as_ref())
}

pub(crate) fn any_process_has(domain: &Domain, change: &Change) -> bool {
    domain.all().into_iter().any(|(role, index)| has_record(domain, role, index, change))
}

pub(crate) fn parent_of(domain: &Domain, role: Role, index: usize) -> Option<SocketAddr> {
    domain.process(role, index)?.node().status(domain.now()).parent
}

pub(crate) fn all_of(role: Role, indices: std::ops::Range<usize>) -> Vec<(Role, usize)> {
    indices.map(|index| (role, index)).collect()
}
