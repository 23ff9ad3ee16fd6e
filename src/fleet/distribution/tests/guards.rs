//! What a process must not do however much it was asked to: each test is of one guard that no day of faults shows by itself.

use super::staging::{pages, parent};
use super::*;
use crate::fleet::distribution::log::Log;
use crate::fleet::distribution::voter::Voter;

const START_TIME: Timestamp = Timestamp(1_000_000_000_000);

/// A replica that was just started may have accepted something that it has forgotten: it accepts nothing more before it
/// has heard a serving publisher out.
#[test]
fn a_replica_that_has_not_recovered_accepts_nothing() {
    let (mut voter, log) = (Voter::default(), Log::default());
    let proposal = Proposal { fence: 1, after: Version::default(), changes: vec![class("a", "1")] };
    assert!(matches!(voter.prepare(1, &log), DistributionMessage::Promise { recovered: false, .. }));
    assert!(matches!(voter.accept(1, proposal.clone(), &log), DistributionMessage::Rejected { .. }));
    voter.mark_recovered();
    assert!(matches!(voter.accept(1, proposal, &log), DistributionMessage::Accepted { .. }));
}

/// A child brings a state into force only if its digest is its parent's.
#[test]
fn a_state_whose_digest_is_another_does_not_come_into_force() {
    let at = |last: u8| SocketAddr::from(([127, 0, 0, last], 9_000));
    let config = || DistributionConfig {
        role: Role::Subscriber,
        own_address: at(1),
        interest: Interest::All,
        parents: vec![at(2)],
        replicas: vec![],
        catch_up_bytes_per_second: 1 << 20,
        seed: 1,
    };
    for right in [true, false] {
        let mut node = DistributionNode::new(START_TIME, config(), Box::new(RejectsClass("never")));
        node.handle(START_TIME, DistributionInput::Timer);
        let mut messages: Vec<DistributionMessage> = vec![];
        for mut page in pages(&parent(3), &Interest::All, 0, 0) {
            page.digest ^= u64::from(!right);
            messages.push(DistributionMessage::Page(page));
        }
        let out = node.handle(START_TIME, DistributionInput::Received { from: at(2), messages: &messages });
        let installed = out.iter().any(|output| matches!(output, DistributionOutput::Installed { .. }));
        let status = node.status(START_TIME);
        assert_eq!(
            (installed, status.records > 0, status.counters.mismatches),
            (right, right, u64::from(!right))
        );
    }
}
