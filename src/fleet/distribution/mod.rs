//! Distribution of the worker list and of class settings to all schedulers of a domain, as versioned changes.
//!
//! A domain has a few replicas, any number of relays and up to thousands of subscribers. The replica that holds the
//! publish lease proposes batches of changes; a batch is committed once a majority of the replicas has accepted it, and
//! only committed changes go down the tree: from replicas to relays and from relays to subscribers. Every process that
//! serves children keeps a compacted log, so that a child that is any number of versions behind gets each changed
//! record once, in rate-limited pages. `docs/distribution.md` describes the design, its bounds and the rejected
//! alternatives.
//!
//! [`DistributionNode`] is one process of the domain, without sockets or a clock: it takes messages and the time, and
//! returns [`DistributionOutput`]s.

mod batch;
mod child;
mod children;
mod follower;
mod interface;
mod log;
mod node;
mod pacing;
mod page_context;
mod parents;
mod publisher;
mod record;
mod stage;
mod status;
#[cfg(test)]
mod tests;
mod voter;
mod wire;

pub use interface::{
    ChangeCheck, DistributionConfig, DistributionInput, DistributionOutput, PublishError, Role,
};
pub use node::DistributionNode;
pub use record::{Change, Key, LARGEST_CHANGE, Topic, Value, Version, WorkerRecord};
pub use status::{DistributionCounters, DistributionStatus, RefusedVersion};
pub use wire::{
    ChildReport, DistributionMessage, Interest, PAGE_BYTES, Page, Progress, Proposal, datagram, read,
};
