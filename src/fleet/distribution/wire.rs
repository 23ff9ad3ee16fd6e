//! The messages between processes of a domain. They travel in the fleet's datagrams ([`crate::fleet::message`]).

use super::record::{Change, Topic, Version};
use crate::fleet::Process;
use crate::fleet::message::{self, Datagram, DatagramError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum encoded size of the changes in one page or proposal, in bytes. Together with all headers they fit into a
/// datagram.
pub const PAGE_BYTES: usize = 1_150;

/// The topics that a process subscribes to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Interest {
    /// All topics of the domain.
    All,
    /// These topics, sorted and without duplicates.
    Topics(Vec<Topic>),
}

impl Interest {
    /// Sorts the topics and removes duplicates, as parents require.
    pub fn normalized(self) -> Interest {
        match self {
            Interest::All => Interest::All,
            Interest::Topics(topics) => {
                let topics: BTreeSet<Topic> = topics.into_iter().collect();
                Interest::Topics(topics.into_iter().collect())
            }
        }
    }

    /// Whether the interest includes a topic. Every interest includes [`Topic::SETTINGS`].
    pub fn covers(&self, topic: Topic) -> bool {
        match self {
            Interest::All => true,
            Interest::Topics(topics) => topic == Topic::SETTINGS || topics.contains(&topic),
        }
    }
}

/// The report of a child to its parent: a heartbeat that also acknowledges pages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChildReport {
    /// The topics to receive.
    pub interest: Interest,
    /// The installed version.
    pub version: Version,
    /// The digest over the installed records.
    pub digest: u64,
    /// The progress of a catch-up, if one is under way.
    pub staged: Option<Progress>,
}

/// The progress of a catch-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The sequence that it started from; 0 for a snapshot.
    pub start: u64,
    /// The sequence of the parent's version when it started. Of the records removed up to there, none was received.
    pub begun: u64,
    /// The sequence up to which pages were received without a gap.
    pub upto: u64,
}

/// A page from a parent to a child: the records of its interest whose last change lies in `(after, upto]`, in the order
/// of those changes. A page without changes states that there are none, and serves as a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The sequence that the catch-up started from. One that started from 0 is a snapshot, which replaces all records
    /// of the child.
    pub start: u64,
    /// The sequence that the page follows.
    pub after: u64,
    /// The last sequence that it covers.
    pub upto: u64,
    /// The parent's committed version. The catch-up is complete when `upto` has reached its sequence.
    pub head: Version,
    /// The first sequence that was committed under the head's fence, as far as the parent knows.
    pub since: u64,
    /// The digest over all records of the interest at `head`. The child can compare it with its own only at that
    /// version.
    pub digest: u64,
    /// The fence under which the parent currently publishes; 0 if it is not the publisher.
    pub publishes: u64,
    /// Time since the parent itself was last known to be up to date, in milliseconds; [`Page::NEVER`] if it never was.
    pub age_ms: u32,
    /// The changes.
    pub changes: Vec<Change>,
    /// The distance of each change's sequence from the previous one, or from `after` for the first change.
    pub steps: Vec<u64>,
}

impl Page {
    /// The age of a process that was never known to be up to date.
    pub const NEVER: u32 = u32::MAX;

    /// The sequence of each change; `None` if the steps are not valid.
    pub fn sequences(&self) -> Option<Vec<u64>> {
        let next = |at: &mut u64, step: &u64| {
            *at = at.checked_add(*step).filter(|sequence| *step > 0 && *sequence <= self.upto)?;
            Some(*at)
        };
        let sequences: Vec<u64> = self.steps.iter().scan(self.after, next).collect();
        (sequences.len() == self.changes.len() && self.steps.len() == self.changes.len()).then_some(sequences)
    }
}

/// A batch of changes that the publisher proposes to commit together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The fence under which it was first proposed. It becomes the fence of the version, even if a later publisher
    /// proposes the batch again, so that a batch has the same version whichever publisher commits it.
    pub fence: u64,
    /// The version that it follows: the publisher's committed one.
    pub after: Version,
    /// The changes, at least one. The sequence of the last one is `after.sequence` plus their number.
    pub changes: Vec<Change>,
}

/// A message between two processes of a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DistributionMessage {
    /// From a child to its parent.
    Report(ChildReport),
    /// From a parent to a child.
    Page(Page),
    /// From the holder of the lease to a replica: don't accept anything under a lower fence from now on.
    Prepare {
        /// The sender's fence.
        fence: u64,
    },
    /// From a replica: it promises, and states its committed version and the batch that it has accepted after it, if
    /// any.
    Promise {
        /// The fence that was promised.
        fence: u64,
        /// The replica's committed version.
        version: Version,
        /// Whether this replica has caught up with an active publisher since it started. One that has not may have lost
        /// what it accepted before, and its promise counts only if too few other replicas are left.
        recovered: bool,
        /// A batch that the replica accepted and does not know to be committed, with the fence of the publisher.
        accepted: Option<(u64, Proposal)>,
    },
    /// From the publisher to a replica: accept this batch.
    Accept {
        /// The sender's fence.
        fence: u64,
        /// The batch.
        proposal: Proposal,
    },
    /// From a replica: the batch was accepted.
    Accepted {
        /// The publisher's fence.
        fence: u64,
        /// The sequence that the batch follows.
        after: u64,
    },
    /// From a replica: it has promised a higher fence, or has not caught up with the proposal's `after` yet.
    Rejected {
        /// The highest fence that the replica has promised.
        promised: u64,
        /// The replica's committed version.
        version: Version,
    },
}

/// Encodes a datagram with these messages. Any single message fits.
pub fn datagram(fleet: u64, from: Process, messages: &[DistributionMessage]) -> Vec<u8> {
    let datagram = Datagram { distribution: messages.to_vec(), ..Datagram::empty(from) };
    message::write(fleet, &datagram)
}

/// Decodes a datagram into its sender and messages.
///
/// # Errors
/// The datagram is truncated or corrupt, or belongs to another protocol version or domain.
pub fn read(fleet: u64, bytes: &[u8]) -> Result<(Process, Vec<DistributionMessage>), DatagramError> {
    let datagram = message::read(fleet, bytes)?;
    Ok((datagram.from, datagram.distribution))
}
