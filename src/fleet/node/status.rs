//! The state of a [`FleetNode`] as operators see it: as text and as figures.

use super::FleetNode;
use super::lease_ids::task_part_of;
use super::outgoing::SentTotals;
use crate::fleet::Process;
use crate::fleet::lease::acceptor::Acceptor;
use crate::fleet::lease::{LeaseGrant, LeaseId};
use crate::fleet::overload::AdmissionLevel;
use crate::interface::{Duration, Task, Timestamp};
use std::fmt;

/// The state of one process of the fleet.
#[derive(Clone, Debug)]
pub struct FleetStatus {
    /// This process.
    pub process: Process,
    /// Indices of the other members.
    pub members: Vec<u32>,
    /// Whether its acceptor votes; `None` if it is not an acceptor.
    pub votes: Option<bool>,
    /// The leases of all parts of all tasks.
    pub leases: Vec<LeaseStatus>,
    /// The admission level in force; `None` if no load is shed.
    pub level: Option<AdmissionLevel>,
    /// Traffic sent since the start.
    pub sent: SentTotals,
    /// Number of topics in the gossip store.
    pub gossip: usize,
    /// Whether it has left the fleet, or was replaced by another process with its index.
    pub left: bool,
}

/// The lease of a task's part, as one process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The task.
    pub task: Task,
    /// Its part.
    pub part: u16,
    /// The grant under which this process holds the lease.
    pub grant: Option<LeaseGrant>,
    /// What this process's own acceptor has granted.
    pub granted: Option<StandingGrant>,
}

/// A grant of this process's own acceptor that has not expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandingGrant {
    /// The holder.
    pub to: Process,
    /// Time until it expires.
    pub remaining: Duration,
}

impl FleetStatus {
    /// The status as figures, one per line.
    pub fn figures(&self) -> String {
        let held = self.leases.iter().filter_map(|lease| lease.grant);
        let (count, fence) = held.fold((0, 0), |(count, fence), grant| (count + 1, grant.fence.max(fence)));
        let lines = [
            ("fallbacks", self.unheld_leases()),
            ("members", self.members.len() as u64 + u64::from(!self.left)),
            ("votes", u64::from(self.votes == Some(true))),
            ("leases", count),
            ("fence", fence),
            ("shed", self.level.map_or(0, |level| level.shed())),
            ("news", self.gossip as u64),
            ("datagrams", self.sent.datagrams),
            ("bytes", self.sent.bytes),
        ];
        lines.iter().map(|(name, value)| format!("scheduler.fleet.{name}={value}\n")).collect()
    }

    /// Number of leases without a holder, whose tasks fall back or stop. Only an acceptor knows: 0 for other processes.
    fn unheld_leases(&self) -> u64 {
        if self.votes.is_none() {
            return 0;
        }
        let unheld = self.leases.iter().filter(|lease| lease.grant.is_none() && lease.granted.is_none());
        unheld.count() as u64
    }
}

impl fmt::Display for FleetStatus {
    /// One line for this process, one for the other members, and one for each part of a task.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let votes = match self.votes {
            _ if self.left => "left the fleet",
            None => "no elector",
            Some(true) => "votes",
            Some(false) => "does not vote yet",
        };
        writeln!(f, "process {} ({:016x}): {votes}", self.process.index, self.process.incarnation)?;
        writeln!(f, "others up: {}", self.members.iter().map(u32::to_string).collect::<Vec<_>>().join(" "))?;
        if let Some(level) = self.level {
            writeln!(f, "lets in {:?} of 255 by worth, fence {}", level.admit, level.fence)?;
        }
        self.leases.iter().try_for_each(|lease| writeln!(f, "{lease}"))
    }
}

impl fmt::Display for LeaseStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}:", self.task.name(), self.part)?;
        if let Some(grant) = self.grant {
            write!(f, " held here, fence {}", grant.fence)?;
        }
        if let Some(granted) = self.granted {
            write!(f, " granted to {}, {} ms left", granted.to.index, granted.remaining.0 / 1_000_000)?;
        }
        Ok(())
    }
}

impl FleetNode {
    /// The state of this process as operators see it.
    pub fn status(&self, now: Timestamp) -> FleetStatus {
        FleetStatus {
            process: self.config.process,
            members: self.members().collect(),
            votes: self.lease_node.acceptor().map(Acceptor::votes),
            leases: self.leases().into_iter().filter_map(|lease| self.lease_status(now, lease)).collect(),
            level: self.admission.level(now).filter(|level| level.admit != AdmissionLevel::ADMIT_ALL),
            sent: self.sent,
            gossip: self.gossip.len(),
            left: self.left,
        }
    }

    fn lease_status(&self, now: Timestamp, lease: LeaseId) -> Option<LeaseStatus> {
        let task_part = task_part_of(lease)?;
        let granted = self.lease_node.acceptor().and_then(|acceptor| acceptor.granted(now, lease));
        let granted =
            granted.map(|grant| StandingGrant { to: grant.ballot.process, remaining: grant.until - now });
        Some(LeaseStatus {
            task: task_part.task,
            part: task_part.part,
            grant: self.lease_node.holds(now, lease),
            granted,
        })
    }
}
