//! A process of a distribution domain without sockets or a clock: the production [`DistributionNode`] behind the
//! production datagram codec, so that the counted bytes are real. It reports every version it installs to the
//! [`Ledger`].

use crate::ledger::Ledger;
use crate::network::{Outgoing, Process};
use mintgate::fleet::distribution::{
    self, DistributionConfig, DistributionInput, DistributionMessage, DistributionNode, DistributionOutput,
    Interest, Role, Version,
};
use mintgate::fleet::lease::LeaseGrant;
use mintgate::fleet::{self, message};
use mintgate::{Duration, Timestamp};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// A simulated process of a distribution domain, with its measurements.
pub struct HollowNode {
    node: DistributionNode,
    at: SocketAddr,
    role: Role,
    interest: Interest,
    process: fleet::Process,
    fleet: u64,
    grant: Option<LeaseGrant>,
    ledger: Rc<RefCell<Ledger>>,
    version: Version,
    installs: Vec<(Timestamp, Version)>,
    refusals: Vec<(Timestamp, Version, String)>,
    parents: Vec<(Timestamp, Option<SocketAddr>)>,
    pages: u64,
    changes: u64,
    busy_time: std::time::Duration,
}

impl HollowNode {
    /// Creates a process that starts now.
    pub fn new(
        now: Timestamp,
        fleet: u64,
        process: fleet::Process,
        config: DistributionConfig,
        check: Box<dyn distribution::ChangeCheck>,
        ledger: Rc<RefCell<Ledger>>,
    ) -> HollowNode {
        let started = Instant::now();
        HollowNode {
            at: config.own_address,
            role: config.role,
            interest: config.interest.clone(),
            process,
            fleet,
            grant: None,
            ledger,
            version: Version::default(),
            installs: vec![],
            refusals: vec![],
            parents: vec![],
            pages: 0,
            changes: 0,
            node: DistributionNode::new(now, config, check),
            busy_time: started.elapsed(),
        }
    }

    /// The production state machine.
    pub fn node(&self) -> &DistributionNode {
        &self.node
    }

    /// The role in the domain.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The topics that it subscribes to.
    pub fn interest(&self) -> &Interest {
        &self.interest
    }

    /// Installed versions in ascending order, and when each was installed.
    pub fn installs(&self) -> &[(Timestamp, Version)] {
        &self.installs
    }

    /// When this version or a later one was installed.
    pub fn in_force(&self, version: Version) -> Option<Timestamp> {
        let first = self.installs.partition_point(|(_, installed)| *installed < version);
        self.installs.get(first).map(|(at, _)| *at)
    }

    /// Versions that failed the checks here, and why.
    pub fn refusals(&self) -> &[(Timestamp, Version, String)] {
        &self.refusals
    }

    /// The parents that it has used, and since when.
    pub fn parents(&self) -> &[(Timestamp, Option<SocketAddr>)] {
        &self.parents
    }

    /// Received pages that contained changes.
    pub fn pages(&self) -> u64 {
        self.pages
    }

    /// Installed changes; a change installed twice counts twice.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Wall time spent in the state machine and the codec. It influences nothing in the simulation.
    pub fn busy_time(&self) -> std::time::Duration {
        self.busy_time
    }

    /// Passes an event to the state machine and carries out its outputs.
    pub fn handle(&mut self, now: Timestamp, event: DistributionInput) -> Outgoing {
        if let DistributionInput::Lease(grant) = &event {
            self.grant = *grant;
        }
        let started = Instant::now();
        let outputs = self.node.handle(now, event);
        self.busy_time += started.elapsed();
        let mut outgoing = vec![];
        let last = outputs.iter().rposition(|output| matches!(output, DistributionOutput::Installed { .. }));
        for (number, output) in outputs.into_iter().enumerate() {
            match output {
                DistributionOutput::Send(to, message) => {
                    let started = Instant::now();
                    outgoing.push((to, self.encode(to, message)));
                    self.busy_time += started.elapsed();
                }
                DistributionOutput::Installed { version, changes } => {
                    self.record_installed(now, version, &changes, last == Some(number));
                }
                DistributionOutput::Refused { version, why } => self.refusals.push((now, version, why)),
                DistributionOutput::Published { ticket, version } => {
                    self.ledger.borrow_mut().published(now, ticket, Ok(version));
                }
                DistributionOutput::NotPublished { ticket, why } => {
                    self.ledger.borrow_mut().published(now, ticket, Err(why));
                }
                DistributionOutput::Parent(parent) => self.parents.push((now, parent)),
            }
        }
        let version = self.node.version();
        if version != self.version {
            // Installed without a change, for example another fence of the same state.
            self.record_installed(now, version, &[], true);
        }
        outgoing
    }

    fn encode(&self, to: SocketAddr, message: DistributionMessage) -> Vec<u8> {
        let mut ledger = self.ledger.borrow_mut();
        if let DistributionMessage::Accepted { fence, after } = &message {
            ledger.accepted(self.at, *fence, *after);
        }
        let bytes = distribution::datagram(self.fleet, self.process, std::slice::from_ref(&message));
        if bytes.len() > message::LARGEST {
            ledger.record_violation(format!("{} sent a datagram of {} bytes", self.at, bytes.len()));
        }
        ledger.sent(self.at, to, bytes.len());
        bytes
    }

    fn record_installed(
        &mut self,
        now: Timestamp,
        version: Version,
        changes: &[distribution::Change],
        last: bool,
    ) {
        let mut ledger = self.ledger.borrow_mut();
        if version < self.version {
            ledger.record_violation(format!("{} went back from {:?} to {version:?}", self.at, self.version));
        }
        if let Some(change) = changes.iter().find(|change| !self.interest.covers(change.topic)) {
            ledger
                .record_violation(format!("{} installed {change:?}, which is outside its interest", self.at));
        }
        // A replica that holds the lease, or believes that it does, commits. An unfinished batch of its predecessor
        // keeps the predecessor's fence.
        if let Some(grant) = self.grant.filter(|_| self.role == Role::Replica) {
            let node = last.then_some(&self.node);
            ledger.committed(self.at, grant.fence, self.version, version, changes, node);
        }
        let digest = last.then(|| self.node.digest());
        ledger.installed(self.at, self.role, &self.interest, version, digest);
        self.version = version;
        self.changes += changes.len() as u64;
        self.installs.push((now, version));
    }

    /// Checks invariants of received messages, independently of how the state machine handles them.
    fn check_received(&mut self, messages: &[DistributionMessage]) {
        for message in messages {
            let DistributionMessage::Page(page) = message else { continue };
            self.pages += u64::from(!page.changes.is_empty());
            if let Some(change) = page.changes.iter().find(|change| !self.interest.covers(change.topic)) {
                self.ledger.borrow_mut().record_violation(format!(
                    "{} was sent {change:?}, which is outside its interest",
                    self.at
                ));
            }
        }
    }
}

impl Process for HollowNode {
    fn next_timeout(&self) -> Option<Timestamp> {
        self.node.next_timeout()
    }

    fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) -> Outgoing {
        let started = Instant::now();
        let read = message::read(self.fleet, bytes);
        self.busy_time += started.elapsed();
        let Ok(datagram) = read else { return vec![] };
        self.check_received(&datagram.distribution);
        self.handle(now, DistributionInput::Received { from, messages: &datagram.distribution })
    }

    fn on_timer(&mut self, now: Timestamp) -> Outgoing {
        self.handle(now, DistributionInput::Timer)
    }
}

/// The time from `since` to `at`; zero if `at` is earlier.
pub(crate) fn elapsed(since: Timestamp, at: Timestamp) -> Duration {
    Duration(at.0.saturating_sub(since.0))
}
