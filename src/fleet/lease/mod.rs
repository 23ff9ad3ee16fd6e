//! Leases by PaxosLease (Trencseni, Gazso, Reinhardt 2012), which need no disk: they decide which process performs a
//! task for the whole fleet.
//!
//! A fixed set of acceptors grants leases; membership never changes its quorum. Each process uses only its own clock,
//! which must keep running while the process or its host is suspended, and whose rate error is bounded.
//! The invariants, and where each is maintained:
//!
//! - an acceptor with a valid grant makes no promise to another process ([`acceptor`]);
//! - an acceptor grants for a full term from the receipt of the request; a holder counts a term that
//!   is shorter by the possible clock drift, from before its request was sent ([`LeaseConfig::holder_term`],
//!   [`proposer`]);
//! - a grant counts only for the round of requests that it answers ([`proposer`]);
//! - an acceptor that has just started knows no earlier grants, so it votes only after a grace period of the longest
//!   term, and after it has received the highest counters from others ([`acceptor`]);
//! - a fence is the counter of the ballot that won, and a ballot wins only above all that a majority has promised.

pub mod acceptor;
#[cfg(test)]
mod model;
mod node;
pub mod proposer;

pub use node::{Destination, LeaseEnvelope, LeaseNode, LeaseOutput};

use super::Process;
use crate::interface::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

/// Number of backoff steps in a term.
const BACKOFF_STEPS_PER_TERM: u64 = 16;

/// Identifies a lease: the exclusive right to perform a task, or a part of one, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u16);

/// The ballot number of a proposal, unique among all proposals for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Ballots with higher counters supersede those with lower ones.
    pub counter: u64,
    /// The proposing process.
    pub process: Process,
}

/// Messages between processes about one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// To an acceptor: request for a promise.
    Prepare(Ballot),
    /// From an acceptor: promised, as no other process holds the lease and no higher ballot was promised.
    Promise(Ballot),
    /// From an acceptor: another process holds the lease, for at most this many nanoseconds.
    Held(Ballot, u64),
    /// From an acceptor: a ballot with this counter was promised or granted.
    Behind(Ballot, u64),
    /// To an acceptor: request for a grant of one term, with the number of the round of requests.
    Propose(Ballot, u32),
    /// From an acceptor: granted, with the number of the round that this answers.
    Granted(Ballot, u32),
    /// To an acceptor: the sender no longer uses any grant of this ballot or of an earlier one.
    Release(Ballot),
    /// To a candidate for the lease: its holder has released it. Only a hint.
    Free,
    /// To an acceptor, from one that has just started: request for its highest counter.
    Ask,
    /// From an acceptor: its highest counter, and whether it votes.
    Floor(u64, bool),
}

impl LeaseMessage {
    /// Whether this is an answer of an acceptor.
    pub fn is_answer(&self) -> bool {
        use LeaseMessage::{Behind, Floor, Granted, Held, Promise};
        matches!(self, Promise(_) | Held(..) | Behind(..) | Granted(..) | Floor(..))
    }
}

/// The grant under which this process holds a lease: while `now < until` no other process holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrant {
    /// Fencing token, higher than that of every earlier holder.
    pub fence: u64,
    /// When it expires, by the holder's own clock.
    pub until: Timestamp,
}

/// Lease parameters, on which all processes of a fleet agree.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Indices of the acceptors (the operators' `electors`).
    pub acceptors: Vec<u32>,
    /// Number of grants that make a process the holder.
    pub quorum: usize,
    /// Length of a grant, by the clock of the acceptor.
    pub term: Duration,
    /// Length of a grant by the clock of the holder, from before its request was sent.
    pub holder_term: Duration,
    /// Time after its start in which an acceptor does not vote: at least the longest term ever configured.
    pub grace_period: Duration,
    /// Number of voting acceptors whose counters a restarted acceptor must know before it votes.
    pub recovery_quorum: usize,
    /// Unit of backoff, both between attempts of one process and between candidates of successive ranks.
    pub backoff_step: Duration,
    /// A guard that is switched off to show that the model checker finds the fault that it prevents.
    #[cfg(test)]
    pub disabled_guard: Option<DisabledGuard>,
}

/// Guards that tests can switch off, in addition to those that are values of the configuration.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DisabledGuard {
    /// With the guard off, the holder counts its term from the majority's answers.
    CountsFromAnswers,
    /// With the guard off, any grant of the ballot counts for the latest round.
    AnyRound,
    /// With the guard off, an acceptor promises although it has a valid grant to another process.
    PromisesOthers,
    /// With the guard off, a release ends any grant to its sender, also a later one.
    AnyRelease,
}

impl LeaseConfig {
    /// Parameters for leases of `term`, for clocks whose rate error is at most `drift_ppm` millionths, and for acceptors
    /// that have never granted a lease for longer than `longest`.
    pub fn new(acceptors: Vec<u32>, term: Duration, longest: Duration, drift_ppm: u64) -> LeaseConfig {
        let quorum = acceptors.len() / 2 + 1;
        let drift = u128::from(drift_ppm.min(500_000));
        let slow = 1_000_000 - drift;
        let fast = 1_000_000 + drift;
        // The holder's clock may be the slowest and an acceptor's the fastest.
        let holder_term = Duration((u128::from(term.0) * slow / fast) as u64);
        // The holder of an earlier grant counts by its own clock; that of the restarted acceptor may be faster.
        let grace_period = Duration((u128::from(longest.0) * fast).div_ceil(slow) as u64);
        let backoff_step = Duration(term.0 / BACKOFF_STEPS_PER_TERM);
        LeaseConfig {
            acceptors,
            quorum,
            term,
            holder_term,
            grace_period,
            recovery_quorum: quorum,
            backoff_step,
            #[cfg(test)]
            disabled_guard: None,
        }
    }

    #[cfg(test)]
    fn is_disabled(&self, guard: DisabledGuard) -> bool {
        self.disabled_guard == Some(guard)
    }
}
