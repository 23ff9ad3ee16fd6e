//! The acceptor side of a replica: its promises and the accepted batch. None of this is stored on disk. A replica that
//! has just started promises, but does not accept, and its promises count in full only after it has caught up with an
//! active publisher.

use super::log::Log;
use super::record::Version;
use super::wire::{DistributionMessage, PAGE_BYTES, Proposal};

/// The promises and the accepted batch of one replica.
#[derive(Debug, Default)]
pub struct Voter {
    promised: u64,
    accepted: Option<(u64, Proposal)>,
    recovered: bool,
}

/// Whether a proposal is valid: not empty, all changes well-formed, and small enough for a datagram.
pub fn is_valid_batch(proposal: &Proposal) -> bool {
    let bytes: usize = proposal.changes.iter().map(|change| change.size().min(PAGE_BYTES + 1)).sum();
    let well_formed = proposal.changes.iter().all(super::record::Change::is_well_formed);
    well_formed && !proposal.changes.is_empty() && bytes <= PAGE_BYTES
}

impl Voter {
    /// The highest fence that was promised.
    pub fn promised(&self) -> u64 {
        self.promised
    }

    /// Marks the replica as recovered: it has caught up with an active publisher, or is one.
    pub fn mark_recovered(&mut self) {
        self.recovered = true;
    }

    /// Replies to a request for a promise.
    pub fn prepare(&mut self, fence: u64, log: &Log) -> DistributionMessage {
        if fence < self.promised {
            return self.rejection(log);
        }
        self.promised = fence;
        self.discard_superseded(log);
        let (version, recovered) = (log.version(), self.recovered);
        DistributionMessage::Promise { fence, version, recovered, accepted: self.accepted.clone() }
    }

    /// Replies to a proposed batch, which is accepted only if it directly follows the committed version.
    pub fn accept(&mut self, fence: u64, proposal: Proposal, log: &Log) -> DistributionMessage {
        if fence < self.promised {
            return self.rejection(log);
        }
        self.promised = fence;
        if !self.recovered || proposal.after != log.version() {
            return self.rejection(log);
        }
        let after = proposal.after.sequence;
        self.accepted = Some((fence, proposal));
        DistributionMessage::Accepted { fence, after }
    }

    /// Takes the accepted batch if a proposal implies that it is committed: the same publisher, under the same fence,
    /// proposes the batch that directly follows it.
    pub fn take_implied_commit(&mut self, fence: u64, next: &Proposal, log: &Log) -> Option<Proposal> {
        let implied = self.accepted.take_if(|(accepted, proposal)| {
            let sequence = proposal.after.sequence + proposal.changes.len() as u64;
            let version = Version { fence: proposal.fence, sequence };
            *accepted == fence && proposal.after == log.version() && next.after == version
        });
        implied.map(|(_, proposal)| proposal)
    }

    /// Discards the accepted batch once it is committed or another one was committed in its place.
    pub fn discard_superseded(&mut self, log: &Log) {
        self.accepted.take_if(|(_, proposal)| proposal.after != log.version());
    }

    fn rejection(&self, log: &Log) -> DistributionMessage {
        DistributionMessage::Rejected { promised: self.promised, version: log.version() }
    }
}
