//! Gossip: observations, each with its age, that processes forward to each other.
//!
//! A received entry is sent on, so that it reaches the whole fleet within a few rounds, while the traffic of each
//! process is bounded. Ages are durations, since processes share no clock. The longest transit time of a link is added
//! to the age of each received entry, so that an entry is never considered younger than it is. Only the latest update
//! of a topic is stored, and none that is older than [`MAX_AGE`].

use super::overload::{AdmissionLevel, Demand};
use crate::interface::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest age of an update that is stored or sent.
pub const MAX_AGE: Duration = Duration::millis(10_000);
/// Largest number of stored topics; above it the oldest update is evicted.
const MAX_TOPICS: usize = 4_096;
/// Time after which an unchanged observation is sent again.
const UNCHANGED_RESEND_INTERVAL: Duration = Duration::millis(500);
/// How often a process sends each update, in addition to the binary logarithm of the fleet's size.
const EXTRA_TRANSMISSIONS: u32 = 3;
/// Largest number of entries in one datagram; an entry takes at most [`MAX_ENTRY_BYTES`] bytes.
pub const MAX_ENTRIES_PER_DATAGRAM: usize = 40;

/// The subject of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GossipTopic {
    /// A worker, by its id: whether it answers health checks.
    Worker(u64),
    /// A process, by its index: its demand.
    Process(u32),
    /// The fleet: its admission level.
    Fleet,
}

/// An observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GossipUpdate {
    /// Whether the worker answers health checks.
    Answers(bool),
    /// The demand at the process.
    Demand(Demand),
    /// The admission level of the fleet.
    AdmissionLevel(AdmissionLevel),
}

/// An update as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The subject.
    pub topic: GossipTopic,
    /// The observation itself.
    pub update: GossipUpdate,
    /// Age of the observation in milliseconds, rounded up.
    pub age_ms: u32,
}

/// Largest encoded entry in bytes, a demand: 6 for the topic, 5 for the age, 1 for the tag and 3 for each of six counts.
pub const MAX_ENTRY_BYTES: usize = 30;

impl GossipEntry {
    /// Whether the update is of the kind that belongs to the topic.
    pub fn matches_topic(&self) -> bool {
        matches!(
            (self.topic, self.update),
            (GossipTopic::Worker(_), GossipUpdate::Answers(_))
                | (GossipTopic::Process(_), GossipUpdate::Demand(_))
                | (GossipTopic::Fleet, GossipUpdate::AdmissionLevel(_))
        )
    }
}

#[derive(Clone, Copy, Debug)]
struct StoredUpdate {
    update: GossipUpdate,
    at: Timestamp,
    transmissions: u32,
}

/// The latest update of each topic.
#[derive(Clone, Debug, Default)]
pub struct GossipStore {
    stored: BTreeMap<GossipTopic, StoredUpdate>,
}

impl GossipStore {
    /// Stores an observation that this process has made.
    pub fn observe(&mut self, now: Timestamp, topic: GossipTopic, update: GossipUpdate) {
        self.store(now, topic, update, now);
    }

    /// Stores an entry received over a link with a transit time of at most `delay`. Returns the latest time at which the
    /// observation was made, or `None` if a later one is known or the entry is too old.
    pub fn receive(&mut self, now: Timestamp, entry: GossipEntry, delay: Duration) -> Option<Timestamp> {
        let age = Duration::millis(u64::from(entry.age_ms)).0.saturating_add(delay.0);
        if age > MAX_AGE.0 {
            return None;
        }
        self.store(now, entry.topic, entry.update, now - Duration(age))
    }

    fn store(
        &mut self,
        now: Timestamp,
        topic: GossipTopic,
        update: GossipUpdate,
        at: Timestamp,
    ) -> Option<Timestamp> {
        if let Some(stored) = self.stored.get_mut(&topic) {
            if at <= stored.at {
                return None;
            }
            // An unchanged observation is not sent again within a short time: otherwise every health check of a
            // worker would be.
            if stored.update != update || at - stored.at >= UNCHANGED_RESEND_INTERVAL {
                stored.transmissions = 0;
            }
            stored.update = update;
            stored.at = at;
            return Some(at);
        }
        if !self.make_room(now, at) {
            return None;
        }
        self.stored.insert(topic, StoredUpdate { update, at, transmissions: 0 });
        Some(at)
    }

    /// Makes room for another topic whose update was made at `at`, if necessary by evicting the oldest update. Returns
    /// whether there is room: nothing is evicted for an update that is not newer.
    fn make_room(&mut self, now: Timestamp, at: Timestamp) -> bool {
        if self.stored.len() < MAX_TOPICS {
            return true;
        }
        self.remove_expired(now);
        if self.stored.len() < MAX_TOPICS {
            return true;
        }
        let oldest = self.stored.iter().min_by_key(|(_, stored)| stored.at);
        let Some((topic, stored)) = oldest.map(|(topic, stored)| (*topic, *stored)) else { return true };
        let evicted = stored.at < at;
        if evicted {
            self.stored.remove(&topic);
        }
        evicted
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.stored.retain(|_, stored| now - stored.at <= MAX_AGE);
    }

    /// Takes the entries to send next to `receivers` out of `members`: those sent least often first, and among these the
    /// most recent first.
    pub fn entries_to_send(&mut self, now: Timestamp, members: usize, receivers: u32) -> Vec<GossipEntry> {
        self.remove_expired(now);
        let max_transmissions = EXTRA_TRANSMISSIONS + usize::BITS - members.leading_zeros();
        let pending = self.stored.iter().filter(|(_, stored)| stored.transmissions < max_transmissions);
        let mut order: Vec<(u32, Duration, GossipTopic)> =
            pending.map(|(topic, stored)| (stored.transmissions, now - stored.at, *topic)).collect();
        order.sort_unstable();
        order.truncate(MAX_ENTRIES_PER_DATAGRAM);
        order.into_iter().filter_map(|(_, age, topic)| self.entry(topic, age, receivers)).collect()
    }

    fn entry(&mut self, topic: GossipTopic, age: Duration, receivers: u32) -> Option<GossipEntry> {
        let stored = self.stored.get_mut(&topic)?;
        stored.transmissions += receivers;
        let age_ms = u32::try_from(age.0.div_ceil(1_000_000)).ok()?;
        Some(GossipEntry { topic, update: stored.update, age_ms })
    }

    /// The latest update of a topic and its time, unless it has expired.
    pub fn known(&self, now: Timestamp, topic: GossipTopic) -> Option<(GossipUpdate, Timestamp)> {
        self.stored
            .get(&topic)
            .filter(|stored| now - stored.at <= MAX_AGE)
            .map(|stored| (stored.update, stored.at))
    }

    /// Number of stored topics.
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Whether no topic is stored.
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }
}
