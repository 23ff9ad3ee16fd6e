//! The state that one process of a scheduler hands over to the next.

use crate::interface::{CellId, Duration, KindId, Member, State, Timestamp, WorkerId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The old process's state. Timestamps are nanoseconds of its own clock, except the starts of workers, which are Unix
/// time as discovery lists them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferredState {
    /// Version of its messages.
    pub version: u32,
    /// Its own time when this was sent; absent if its version does not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub now: Option<u64>,
    /// The scheduler's name.
    pub name: String,
    /// Offset of the last discovery event.
    pub offset: u64,
    /// The workers as discovery lists them.
    #[serde(rename = "list")]
    pub workers: Vec<TransferredWorker>,
    /// Offsets of the last events, each with a checksum: where checksums agree, an offset means the same event to both
    /// processes.
    #[serde(rename = "events")]
    pub event_sums: Vec<(u64, u64)>,
    /// Workers that operators have cordoned.
    #[serde(rename = "out")]
    pub cordoned: Vec<u64>,
    /// Workers that were uncordoned, and when.
    #[serde(rename = "back")]
    pub uncordoned_at: Vec<(u64, u64)>,
    /// When load requests were written, for those in the window of the rate limit.
    #[serde(rename = "orders")]
    pub load_times: Vec<u64>,
    /// When requests arrived, for those in the window of the rate limit.
    #[serde(rename = "taken")]
    pub accept_times: Vec<u64>,
    /// Functions that clients have recently called.
    #[serde(rename = "called")]
    pub called_functions: Vec<u64>,
    /// References of requests that must not run again, and when these requests ended, or their deadlines while they are open.
    #[serde(default, rename = "used", skip_serializing_if = "Vec::is_empty")]
    pub used_references: Vec<(u64, u64)>,
    /// File descriptors that it keeps open.
    pub descriptors: usize,
}

/// A worker of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredWorker {
    id: u64,
    address: SocketAddr,
    zone: u8,
    kind: u8,
    cell: u16,
    draining: bool,
    weight: f64,
    started: Option<u64>,
    /// How long ago it started, in nanoseconds, as measured by the old process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    age: Option<u64>,
}

impl TransferredState {
    /// The same state with timestamps converted to the clock of a process at which it is `now`. The clocks of the two
    /// processes may differ, since the system's clock may have been stepped between their starts.
    pub fn in_time_of(&self, now: Timestamp) -> TransferredState {
        let Some(sent_at) = self.now.map(Timestamp) else { return self.clone() };
        let converted = |at: u64| (now - (sent_at - Timestamp(at))).0;
        let mut state = self.clone();
        state.load_times.iter_mut().chain(&mut state.accept_times).for_each(|at| *at = converted(*at));
        let pairs = state.uncordoned_at.iter_mut().chain(&mut state.used_references);
        pairs.for_each(|(_, at)| *at = converted(*at));
        state.now = Some(now.0);
        state
    }
}

impl TransferredWorker {
    /// A worker with its address; its start must be in Unix time.
    pub fn of(member: &Member, address: SocketAddr, age: Option<Duration>) -> TransferredWorker {
        TransferredWorker {
            id: member.worker.0,
            address,
            zone: member.zone.0,
            kind: member.kind.0,
            cell: member.cell.0,
            draining: member.state != State::Ready,
            weight: member.weight,
            started: member.started.map(|at| at.0),
            age: age.map(|age| age.0),
        }
    }

    /// The worker's entry in the list.
    pub fn member(&self) -> Member {
        Member {
            worker: WorkerId(self.id),
            zone: ZoneId(self.zone),
            cell: CellId(self.cell),
            state: if self.draining { State::Draining } else { State::Ready },
            weight: self.weight,
            started: self.started.map(Timestamp),
            kind: KindId(self.kind),
        }
    }

    /// Its start in Unix time and its age, if both are known.
    pub fn start(&self) -> Option<(Timestamp, Duration)> {
        Some((Timestamp(self.started?), Duration(self.age?)))
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
