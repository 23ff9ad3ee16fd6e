//! A process of a distribution domain without sockets or a clock: the shipped [`DistributionNode`] behind the shipped datagram codec,
//! so that the bytes counted are real. Whatever comes into force at it is told to the [`Ledger`].

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

/// See the module's page.
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
    /// A process that starts now.
    pub fn new(
        now: Timestamp,
        fleet: u64,
        process: fleet::Process,
        setting: DistributionConfig,
        check: Box<dyn distribution::ChangeCheck>,
        ledger: Rc<RefCell<Ledger>>,
    ) -> HollowNode {
        let begun = Instant::now();
        HollowNode {
            at: setting.own_address,
            role: setting.role,
            interest: setting.interest.clone(),
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
            node: DistributionNode::new(now, setting, check),
            busy_time: begun.elapsed(),
        }
    }

    /// The shipped machine.
    pub fn node(&self) -> &DistributionNode {
        &self.node
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// What it wants.
    pub fn interest(&self) -> &Interest {
        &self.interest
    }

    /// What came into force here, and when; versions rise.
    pub fn installs(&self) -> &[(Timestamp, Version)] {
        &self.installs
    }

    /// When this version or a later one came into force here.
    pub fn in_force(&self, version: Version) -> Option<Timestamp> {
        let first = self.installs.partition_point(|(_, installed)| *installed < version);
        self.installs.get(first).map(|(at, _)| *at)
    }

    /// Versions that did not pass the checks here, and why.
    pub fn refusals(&self) -> &[(Timestamp, Version, String)] {
        &self.refusals
    }

    /// Parents that were followed, and since when.
    pub fn parents(&self) -> &[(Timestamp, Option<SocketAddr>)] {
        &self.parents
    }

    /// Pages with changes that have come.
    pub fn pages(&self) -> u64 {
        self.pages
    }

    /// Changes that came into force here, each time that they did.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Time in the machine's own calls and in the codec, by this computer's clock. It decides nothing.
    pub fn busy_time(&self) -> std::time::Duration {
        self.busy_time
    }

    /// Has the machine take in an event, and does what it says.
    pub fn handle(&mut self, now: Timestamp, event: DistributionInput) -> Outgoing {
        if let DistributionInput::Lease(grant) = &event {
            self.grant = *grant;
        }
        let begun = Instant::now();
        let outputs = self.node.handle(now, event);
        self.busy_time += begun.elapsed();
        let mut outgoing = vec![];
        let last = outputs.iter().rposition(|output| matches!(output, DistributionOutput::Installed { .. }));
        for (number, output) in outputs.into_iter().enumerate() {
            match output {
                DistributionOutput::Send(to, message) => {
                    let begun = Instant::now();
                    outgoing.push((to, self.encode(to, message)));
                    self.busy_time += begun.elapsed();
                }
                DistributionOutput::Installed { version, changes } => {
                    self.installed(now, version, &changes, last == Some(number));
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
            // Taken over without a change, such as another fence of the same state.
            self.installed(now, version, &[], true);
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

    fn installed(&mut self, now: Timestamp, version: Version, changes: &[distribution::Change], last: bool) {
        let mut ledger = self.ledger.borrow_mut();
        if version < self.version {
            ledger.record_violation(format!("{} went back from {:?} to {version:?}", self.at, self.version));
        }
        if let Some(change) = changes.iter().find(|change| !self.interest.covers(change.topic)) {
            ledger.record_violation(format!("{} has {change:?} in force, which it did not want", self.at));
        }
        // Whoever holds the lease, or believes it, commits; an open batch of a publisher before it keeps that one's fence.
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

    /// Rules that what comes must keep whatever the machine makes of it.
    fn watch(&mut self, messages: &[DistributionMessage]) {
        for message in messages {
            let DistributionMessage::Page(page) = message else { continue };
            self.pages += u64::from(!page.changes.is_empty());
            if let Some(change) = page.changes.iter().find(|change| !self.interest.covers(change.topic)) {
                self.ledger
                    .borrow_mut()
                    .record_violation(format!("{} was sent {change:?}, which it did not want", self.at));
            }
        }
    }
}

impl Process for HollowNode {
    fn next_timeout(&self) -> Option<Timestamp> {
        self.node.next_timeout()
    }

    fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) -> Outgoing {
        let begun = Instant::now();
        let read = message::read(self.fleet, bytes);
        self.busy_time += begun.elapsed();
        let Ok(datagram) = read else { return vec![] };
        self.watch(&datagram.distribution);
        self.handle(now, DistributionInput::Received { from, messages: &datagram.distribution })
    }

    fn on_timer(&mut self, now: Timestamp) -> Outgoing {
        self.handle(now, DistributionInput::Timer)
    }
}

/// How long after `since`; 0 where it was before.
pub(crate) fn elapsed(since: Timestamp, at: Timestamp) -> Duration {
    Duration(at.0.saturating_sub(since.0))
}
