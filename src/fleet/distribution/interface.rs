//! Inputs and outputs of a process of the distribution, and its configuration.

use super::record::{Change, Version};
use super::wire::{DistributionMessage, Interest};
use crate::fleet::lease::LeaseGrant;
use std::net::SocketAddr;

/// The role of a process in its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the records of its interest; serves no children.
    Subscriber,
    /// Receives all records, and serves children. Has no vote.
    Relay,
    /// Receives all records, serves children, votes on batches, and publishes while it holds the lease.
    Replica,
}

/// The configuration of a process.
#[derive(Clone, Debug)]
pub struct DistributionConfig {
    /// Its role.
    pub role: Role,
    /// The address of this process, as its peers know it.
    pub own_address: SocketAddr,
    /// The topics to receive. Ignored for relays and replicas, which receive all.
    pub interest: Interest,
    /// The possible parents of this process. Ignored for replicas, which follow the publisher.
    pub parents: Vec<SocketAddr>,
    /// All replicas of the domain, including this process if it is one.
    pub replicas: Vec<SocketAddr>,
    /// Rate limit for pages, over all children that are catching up together.
    pub catch_up_bytes_per_second: u64,
    /// Determines the order of parents, and seeds the random number generator.
    pub seed: u64,
}

/// Validates changes before they are installed.
pub trait ChangeCheck {
    /// Checks whether these changes may be installed together on top of the current records.
    ///
    /// # Errors
    /// The reason why the first invalid change cannot be installed. None of the changes is installed then.
    fn check(&self, changes: &[Change]) -> Result<(), String>;
}

/// An event that the process handles.
#[derive(Debug)]
pub enum DistributionInput<'a> {
    /// Messages were received.
    Received {
        /// The sender.
        from: SocketAddr,
        /// The messages, in order.
        messages: &'a [DistributionMessage],
    },
    /// The time given by [`super::DistributionNode::next_timeout`] has been reached.
    Timer,
    /// The publish lease was granted, renewed, or lost (`None`).
    Lease(Option<LeaseGrant>),
    /// Changes are to be published.
    Publish {
        /// Identifies the changes in the outputs that report their outcome.
        ticket: u64,
        /// The changes, in order.
        changes: Vec<Change>,
    },
}

/// Why changes were not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// This process is not the publisher, or lost that role before it had proposed all changes. None of the changes
    /// that had not been proposed is committed.
    NotPublisher,
    /// The changes don't pass the checks.
    Invalid(String),
    /// The lease was lost before a batch of them was known to be committed: it may be committed or not.
    Superseded,
    /// Too many changes are queued already.
    TooMany,
}

/// An action to perform, or an event to report.
#[derive(Clone, Debug, PartialEq)]
pub enum DistributionOutput {
    /// Send a message.
    Send(SocketAddr, DistributionMessage),
    /// A version was installed.
    Installed {
        /// The version.
        version: Version,
        /// The difference from the records before, also after a snapshot: removals first.
        changes: Vec<Change>,
    },
    /// A version does not pass the checks; the installed one stays.
    Refused {
        /// The version.
        version: Version,
        /// The reason given by the check.
        why: String,
    },
    /// All changes of a ticket are committed.
    Published {
        /// The ticket.
        ticket: u64,
        /// The version that contains all of them.
        version: Version,
    },
    /// Changes were not published, or it is not known whether they were.
    NotPublished {
        /// The ticket.
        ticket: u64,
        /// The reason.
        why: PublishError,
    },
    /// The process follows another parent from now on, or none.
    Parent(Option<SocketAddr>),
}
