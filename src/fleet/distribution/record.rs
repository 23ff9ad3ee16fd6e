//! The distributed data: records identified by topic and key, and changes to them.

use crate::interface::{CellId, KindId, Member, State, Timestamp, WorkerId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest encoded change, in bytes: a change fits into one datagram.
pub const LARGEST_CHANGE: usize = 1_000;

/// A group of records that a process can subscribe to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Topic(pub u16);

impl Topic {
    /// Class settings.
    pub const SETTINGS: Topic = Topic(0);

    /// The workers of a zone.
    pub const fn workers_of(zone: ZoneId) -> Topic {
        Topic(1 + zone.0 as u16)
    }
}

/// A committed version of a domain. The sequence counts changes without gaps; the fence is that of the lease under
/// which the version was committed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The publisher's fence.
    pub fence: u64,
    /// Number of changes since the domain was created.
    pub sequence: u64,
}

/// Identifies a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// Marks the domain's first state as complete. Until this record exists, nothing is served to children.
    Complete,
    /// A worker, by its id.
    Worker(u64),
    /// A class of requests, by its name.
    Class(String),
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Value {
    /// The value of [`Key::Complete`].
    Complete,
    /// The value of [`Key::Worker`].
    Worker(WorkerRecord),
    /// The value of [`Key::Class`]: the class as JSON, in the form of the settings.
    Class(String),
}

/// A worker of the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u8,
    /// Its cell: the group of workers that detect repeats of the same key together.
    pub cell: u16,
    /// Its kind of machine.
    pub kind: u8,
    /// Whether it finishes its current requests and takes no new ones.
    pub draining: bool,
    /// Its relative size, in thousandths.
    pub weight_milli: u32,
    /// When it last started, as a Unix time in milliseconds; 0 if that was long ago.
    pub started_ms: u64,
}

impl WorkerRecord {
    /// The record of a member of the worker list; `None` for a worker that is gone.
    pub fn of(member: &Member, address: SocketAddr) -> Option<WorkerRecord> {
        (member.state != State::Gone).then(|| WorkerRecord {
            address,
            zone: member.zone.0,
            cell: member.cell.0,
            kind: member.kind.0,
            draining: member.state == State::Draining,
            weight_milli: (member.weight * 1000.0).round().clamp(0.0, f64::from(u32::MAX)) as u32,
            started_ms: member.started.map_or(0, |at| at.0 / 1_000_000),
        })
    }

    /// The member of the worker list that this record describes.
    pub fn member(&self, worker: u64) -> Member {
        Member {
            worker: WorkerId(worker),
            zone: ZoneId(self.zone),
            cell: CellId(self.cell),
            state: if self.draining { State::Draining } else { State::Ready },
            weight: f64::from(self.weight_milli) / 1000.0,
            started: (self.started_ms > 0).then(|| Timestamp(self.started_ms.saturating_mul(1_000_000))),
            kind: KindId(self.kind),
        }
    }
}

/// A change to one record, which is set or, without a value, removed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The topic of the record.
    pub topic: Topic,
    /// The key of the record.
    pub key: Key,
    /// The new value; `None` to remove the record.
    pub value: Option<Value>,
}

impl Change {
    /// Whether key, topic and value belong together, and the change fits into a datagram.
    pub fn is_well_formed(&self) -> bool {
        let kinds = match (&self.key, &self.value) {
            (Key::Complete, Some(Value::Complete)) => self.topic == Topic::SETTINGS,
            (Key::Worker(_), Some(Value::Worker(worker))) => {
                self.topic == Topic::workers_of(ZoneId(worker.zone))
            }
            (Key::Worker(_), None) => self.topic != Topic::SETTINGS,
            (Key::Class(_), Some(Value::Class(_)) | None) => self.topic == Topic::SETTINGS,
            _ => false,
        };
        kinds && self.size() <= LARGEST_CHANGE
    }

    /// The encoded size in bytes; `usize::MAX` if the change cannot be encoded.
    pub fn size(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |bytes| bytes.len())
    }

    /// A hash of the record for digests, which is the same at every process.
    pub fn hash(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for byte in bytes {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        crate::fleet::mix(hash, 0)
    }
}
