//! The children of a parent, and the pages sent to them.
//!
//! A child that is up to date is sent each change of its interest at once; the others learn from the reply to their
//! next report that there was no change for them. A child that lacks a single page gets it as that reply; one that
//! lacks more is queued ([`super::pacing`]). State is kept per address, is bounded, and is freed when a child is
//! silent.

use super::child::{CHILD_TIMEOUT, Child, ChildState, Source};
use super::interface::DistributionOutput;
use super::pacing::{Pacing, QueueState};
use super::record::Topic;
use super::stage::WINDOW_PAGES;
use super::status::DistributionCounters;
use super::wire::{ChildReport, Interest};
use crate::interface::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of children of one parent. The domain is designed for 18,000 schedulers.
pub const MAX_CHILDREN: usize = 20_000;
/// Maximum number of topics in the interest of a child: one for each possible zone, and a margin.
const MAX_TOPICS: usize = 300;
/// A child that is up to date is sent a heartbeat in reply to a report only if it was sent nothing for this time.
/// Shorter than the interval between reports.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::millis(250);

/// The children of this process.
#[derive(Debug)]
pub struct Children {
    by_address: BTreeMap<SocketAddr, Child>,
    /// Children by the topics of their interest, except those in `all`.
    by_topic: BTreeMap<Topic, BTreeSet<SocketAddr>>,
    /// Children whose interest is the whole domain.
    all: BTreeSet<SocketAddr>,
    timers: BTreeSet<(Timestamp, SocketAddr)>,
    pacing: Pacing,
}

impl Children {
    /// Creates an empty set of children. The rate limit applies to the pages of all children that are catching up
    /// together.
    pub fn new(now: Timestamp, catch_up_bytes_per_second: u64) -> Children {
        Children {
            by_address: BTreeMap::new(),
            by_topic: BTreeMap::new(),
            all: BTreeSet::new(),
            timers: BTreeSet::new(),
            pacing: Pacing::new(now, catch_up_bytes_per_second),
        }
    }

    /// Number of children.
    pub fn len(&self) -> usize {
        self.by_address.len()
    }

    /// Whether the process with this address is a child.
    pub fn contains(&self, child: SocketAddr) -> bool {
        self.by_address.contains_key(&child)
    }

    /// Number of children that are not known to have everything that was committed.
    pub fn behind(&self) -> usize {
        let behind = |child: &&Child| {
            !child.state_known || child.queue_state != QueueState::Idle || !child.unacknowledged.is_empty()
        };
        self.by_address.values().filter(behind).count()
    }

    /// When [`Children::on_timeout`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _)| *at).into_iter().chain(self.pacing.next_timeout()).min()
    }

    /// Handles a report. A sender that is not a child yet becomes one.
    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        report: ChildReport,
        source: &Source,
        counters: &mut DistributionCounters,
        out: &mut Vec<DistributionOutput>,
    ) {
        if !self.register(now, from, &report.interest, counters) {
            return;
        }
        let Some(child) = self.by_address.get_mut(&from) else { return };
        child.last_seen = now;
        let before = child.acknowledged;
        match child.state(source.log, &report) {
            ChildState::UpTo(upto) => child.acknowledge(now, upto, None, counters),
            ChildState::Snapshot { begun, upto } => child.acknowledge(now, upto, Some(begun), counters),
            state => {
                counters.ahead += u64::from(state == ChildState::Ahead);
                // The heartbeat makes a child with the same records and another history adopt this version.
                child.state_known = false;
                child.unacknowledged.clear();
                child.queue_state = self.pacing.remove(child.queue_state);
                child.send_heartbeat(now, from, source, out);
                self.schedule_timer(from);
                return;
            }
        }
        if child.queue_state == QueueState::Blocked
            && (child.acknowledged != before || child.unacknowledged.len() < WINDOW_PAGES)
        {
            child.queue_state = self.pacing.unblock(from);
        }
        self.respond(now, from, source, counters, out);
        self.send_queued(now, source, counters, out);
    }

    /// Adds a child or replaces its interest. Returns whether the sender is a child now.
    fn register(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        interest: &Interest,
        counters: &mut DistributionCounters,
    ) -> bool {
        if let Some(child) = self.by_address.get(&from) {
            if child.interest == *interest {
                return true;
            }
            self.remove(from);
        }
        let ordered = match interest {
            Interest::All => true,
            Interest::Topics(topics) => topics.len() <= MAX_TOPICS && topics.is_sorted_by(|a, b| a < b),
        };
        if !ordered {
            counters.odd += 1;
            return false;
        }
        if self.by_address.len() >= MAX_CHILDREN {
            counters.turned_away += 1;
            return false;
        }
        match interest {
            Interest::All => {
                self.all.insert(from);
            }
            Interest::Topics(topics) => {
                for topic in topics.iter().chain([&Topic::SETTINGS]) {
                    self.by_topic.entry(*topic).or_default().insert(from);
                }
            }
        }
        let child = Child::new(now, interest.clone());
        self.timers.insert((child.timer_at, from));
        self.by_address.insert(from, child);
        true
    }

    fn remove(&mut self, address: SocketAddr) {
        let Some(child) = self.by_address.remove(&address) else { return };
        self.pacing.remove(child.queue_state);
        self.timers.remove(&(child.timer_at, address));
        match child.interest {
            Interest::All => {
                self.all.remove(&address);
            }
            Interest::Topics(topics) => {
                for topic in topics.into_iter().chain([Topic::SETTINGS]) {
                    let Some(interested) = self.by_topic.get_mut(&topic) else { continue };
                    interested.remove(&address);
                    if interested.is_empty() {
                        self.by_topic.remove(&topic);
                    }
                }
            }
        }
    }

    /// Replies to a report: sends the missing page, queues a child that lacks more than one page, or sends a heartbeat
    /// if nothing is missing.
    fn respond(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        source: &Source,
        counters: &mut DistributionCounters,
        out: &mut Vec<DistributionOutput>,
    ) {
        let Some(child) = self.by_address.get_mut(&address) else { return };
        let is_behind = child.queue_state == QueueState::Idle && child.sent < source.log.version().sequence;
        if is_behind && child.unacknowledged.len() < WINDOW_PAGES {
            let part = child.next_part(source.log);
            if part.upto == source.log.version().sequence {
                counters.pages += 1;
                self.pacing.charge(now, part.bytes);
                child.send(now, address, part, source, out);
            } else {
                child.queue_state = self.pacing.enqueue(address);
            }
        }
        if now - child.sent_at >= MIN_HEARTBEAT_INTERVAL {
            child.send_heartbeat(now, address, source, out);
        }
        self.schedule_timer(address);
    }

    /// Sends changes to the records of these topics at once to the up-to-date children that are interested.
    pub fn push_changes(
        &mut self,
        now: Timestamp,
        topics: &BTreeSet<Topic>,
        source: &Source,
        counters: &mut DistributionCounters,
        out: &mut Vec<DistributionOutput>,
    ) {
        let interested = topics.iter().filter_map(|topic| self.by_topic.get(topic)).flatten();
        let recipients: BTreeSet<SocketAddr> = interested.chain(&self.all).copied().collect();
        for address in recipients {
            let Some(child) = self.by_address.get_mut(&address) else { continue };
            if !child.state_known
                || child.queue_state != QueueState::Idle
                || child.unacknowledged.len() >= WINDOW_PAGES
            {
                continue;
            }
            let part = child.next_part(source.log);
            if part.upto == source.log.version().sequence {
                counters.pages += 1;
                child.send(now, address, part, source, out);
            } else {
                child.queue_state = self.pacing.enqueue(address);
            }
            self.schedule_timer(address);
        }
        self.send_queued(now, source, counters, out);
    }

    /// Marks the state of all children as unknown until their next reports, after the log was replaced.
    pub fn mark_all_unknown(&mut self) {
        for child in self.by_address.values_mut() {
            child.queue_state = self.pacing.remove(child.queue_state);
            child.unacknowledged.clear();
            child.state_known = false;
        }
    }

    /// Handles the timeout given by [`Children::next_timeout`].
    pub fn on_timeout(
        &mut self,
        now: Timestamp,
        source: &Source,
        counters: &mut DistributionCounters,
        out: &mut Vec<DistributionOutput>,
    ) {
        while let Some((at, address)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, address));
            self.on_child_timeout(now, address, source, counters, out);
        }
        self.send_queued(now, source, counters, out);
    }

    fn on_child_timeout(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        source: &Source,
        counters: &mut DistributionCounters,
        out: &mut Vec<DistributionOutput>,
    ) {
        let Some(child) = self.by_address.get_mut(&address) else { return };
        if now - child.last_seen >= CHILD_TIMEOUT {
            self.remove(address);
            return;
        }
        if !child.unacknowledged.is_empty() && child.resend_at <= now {
            counters.resent += 1;
            child.resends += 1;
            child.rewind_to(child.acknowledged);
            if child.queue_state != QueueState::Idle {
                // A child that does not acknowledge must not delay others, so it is queued behind them.
                self.pacing.remove(child.queue_state);
                child.queue_state = self.pacing.enqueue(address);
            }
            self.respond(now, address, source, counters, out);
        }
        if let Some(child) = self.by_address.get_mut(&address) {
            child.timer_at = child.next_timeout().max(now + Duration(1));
            self.timers.insert((child.timer_at, address));
        }
    }

    /// Moves the timer of a child forward to its next timeout, if that is earlier.
    fn schedule_timer(&mut self, address: SocketAddr) {
        let Some(child) = self.by_address.get_mut(&address) else { return };
        let deadline = child.next_timeout();
        if deadline < child.timer_at {
            self.timers.remove(&(child.timer_at, address));
            child.timer_at = deadline;
            self.timers.insert((deadline, address));
        }
    }

    /// Sends pages to queued children, as far as the rate limit allows.
    fn send_queued(
        &mut self,
        now: Timestamp,
        source: &Source,
        counters: &mut DistributionCounters,
        out: &mut Vec<DistributionOutput>,
    ) {
        while let Some(address) = self.pacing.next_child(now) {
            let Some(child) = self.by_address.get_mut(&address) else { continue };
            child.queue_state = QueueState::Idle;
            if child.unacknowledged.len() >= WINDOW_PAGES {
                child.queue_state = self.pacing.block();
                continue;
            }
            let part = child.next_part(source.log);
            counters.pages += 1;
            self.pacing.charge(now, part.bytes);
            child.send(now, address, part, source, out);
            if child.sent < source.log.version().sequence {
                child.queue_state = self.pacing.requeue(address);
            }
            self.schedule_timer(address);
        }
    }
}
