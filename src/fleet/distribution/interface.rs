//! What goes into a process's part in the distribution, and what comes out of it.

use super::record::{Change, Version};
use super::wire::{DistributionMessage, Interest};
use crate::fleet::lease::LeaseGrant;
use std::net::SocketAddr;

/// What a process is in its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes what it is interested in; serves nobody.
    Subscriber,
    /// Takes all, and serves children. No vote.
    Relay,
    /// Takes all, serves children, votes on batches, and publishes while it holds the lease.
    Replica,
}

/// What a process is set to.
#[derive(Clone, Debug)]
pub struct DistributionConfig {
    /// Its role.
    pub role: Role,
    /// Its own address, as the others know it.
    pub own_address: SocketAddr,
    /// What it wants. Relays and replicas want all, whatever is said here.
    pub interest: Interest,
    /// The processes that may feed it; replicas follow the publisher instead.
    pub parents: Vec<SocketAddr>,
    /// All replicas of the domain, including this process where it is one.
    pub replicas: Vec<SocketAddr>,
    /// Bytes of pages a second, over all children that are catching up.
    pub catch_up_bytes_per_second: u64,
    /// Decides the order of parents and all that is drawn.
    pub seed: u64,
}

/// Judges changes before they come into force.
pub trait ChangeCheck {
    /// Whether these changes may come into force on top of what is; all or none. Why not, else.
    ///
    /// # Errors
    /// What is wrong with the first change that cannot come into force.
    fn check(&self, changes: &[Change]) -> Result<(), String>;
}

/// What happens to a process.
#[derive(Debug)]
pub enum DistributionInput<'a> {
    /// Messages have come.
    Received {
        /// From where.
        from: SocketAddr,
        /// What was said.
        messages: &'a [DistributionMessage],
    },
    /// The time of [`DistributionNode::next_timeout`] has come.
    Timer,
    /// The publish lease is held from now on, or until later than before, or no longer.
    Lease(Option<LeaseGrant>),
    /// These changes are to be published.
    Publish {
        /// Names them in what comes of it.
        ticket: u64,
        /// The changes, in their order.
        changes: Vec<Change>,
    },
}

/// Why changes were not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// This process is not the publisher, or was none any more before the changes were proposed. None of the changes
    /// that had not been proposed stands.
    NotPublisher,
    /// They don't pass the checks.
    Invalid(String),
    /// The lease was lost before a batch of them was committed: whether it stands is not known here.
    Superseded,
    /// Too many changes wait already.
    TooMany,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum DistributionOutput {
    /// Send a message.
    Send(SocketAddr, DistributionMessage),
    /// A version is in force here.
    Installed {
        /// Which.
        version: Version,
        /// What differs from before, also after a snapshot: removals first.
        changes: Vec<Change>,
    },
    /// A version does not pass the check here; what was in force stays.
    Refused {
        /// Which.
        version: Version,
        /// The check's words.
        why: String,
    },
    /// All changes of a ticket are committed.
    Published {
        /// Which.
        ticket: u64,
        /// The version that has all of them.
        version: Version,
    },
    /// Changes were not published, or not known to be.
    NotPublished {
        /// Which.
        ticket: u64,
        /// Why.
        why: PublishError,
    },
    /// The process follows another parent from now on, or none.
    Parent(Option<SocketAddr>),
}
