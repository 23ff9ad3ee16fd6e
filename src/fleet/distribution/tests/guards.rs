//! Guards that the tests with random faults do not cover: each test is about one of them.

use super::staging::{pages, parent_log};
use super::*;
use crate::fleet::distribution::log::Log;
use crate::fleet::distribution::voter::Voter;

const START_TIME: Timestamp = Timestamp(1_000_000_000_000);

/// A replica that has just started may have lost what it accepted before. It must not accept anything until it has
/// caught up with an active publisher.
#[test]
fn a_replica_that_has_not_recovered_accepts_nothing() {
    let (mut voter, log) = (Voter::default(), Log::default());
    let proposal = Proposal { fence: 1, after: Version::default(), changes: vec![class("a", "1")] };
    assert!(matches!(voter.prepare(1, &log), DistributionMessage::Promise { recovered: false, .. }));
    assert!(matches!(voter.accept(1, proposal.clone(), &log), DistributionMessage::Rejected { .. }));
    voter.mark_recovered();
    assert!(matches!(voter.accept(1, proposal, &log), DistributionMessage::Accepted { .. }));
}

/// A child installs a state only if its digest is the parent's.
#[test]
fn a_state_with_a_wrong_digest_is_not_installed() {
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
    for matching in [true, false] {
        let mut node = DistributionNode::new(START_TIME, config(), Box::new(RejectsClass("never")));
        node.handle(START_TIME, DistributionInput::Timer);
        let mut messages: Vec<DistributionMessage> = vec![];
        for mut page in pages(&parent_log(3), &Interest::All, 0, 0) {
            page.digest ^= u64::from(!matching);
            messages.push(DistributionMessage::Page(page));
        }
        let outputs =
            node.handle(START_TIME, DistributionInput::Received { from: at(2), messages: &messages });
        let installed = outputs.iter().any(|output| matches!(output, DistributionOutput::Installed { .. }));
        let status = node.status(START_TIME);
        assert_eq!(
            (installed, status.records > 0, status.counters.mismatches),
            (matching, matching, u64::from(!matching))
        );
    }
}
