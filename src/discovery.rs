//! The discovery stream: its codec, and the connection that follows the list of workers.

use crate::interface::*;
use crate::net::{Connection, Context, ControlFlow, Link};
use crate::request::CloseCause;
use rand_core::RngCore;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;

/// Length of a frame's header: the event's offset and kind.
const FRAME_HEADER_BYTES: usize = 9;
/// Length of a worker's record.
const RECORD_BYTES: usize = 27;
/// Longest frame accepted, about 38,000 workers.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// A connection without a frame for this long is closed. Discovery sends at least an empty frame each second.
pub const SILENCE_TIMEOUT: Duration = Duration::millis(2_500);
/// A connection that is not established within this time is closed, and a new one is opened.
pub const CONNECT_TIMEOUT: Duration = Duration::millis(1_200);
/// First backoff before a new connection. It is short because changes of the list take effect whether or not this
/// scheduler has received them.
pub const FIRST_BACKOFF: Duration = Duration::millis(100);
/// How many times the backoff doubles.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// The backoff after `failures` consecutive failures: a random time between half and all of the full one, so that a
/// fleet that has lost discovery does not reconnect all at once.
pub fn backoff(failures: u32, rng: &mut impl RngCore) -> Duration {
    if failures == 0 {
        return Duration(0);
    }
    let full = Duration(FIRST_BACKOFF.0 << (failures - 1).min(MAX_BACKOFF_DOUBLINGS));
    full.times(0.5 + f64::from(rng.next_u32()) / f64::from(u32::MAX) / 2.0)
}

/// A worker as discovery lists it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The worker as the policy sees it, but its start is in Unix time, as the list has it.
    pub member: Member,
    /// Where it listens.
    pub address: SocketAddr,
}

/// An event of the discovery stream.
#[derive(Clone, Debug)]
pub struct WatchEvent {
    /// Its number in the stream.
    pub offset: u64,
    /// Whether it holds the complete list or changes.
    pub kind: ListKind,
    /// The workers.
    pub entries: Vec<Entry>,
}

impl WatchEvent {
    /// Checksum (FNV-1a) of its content, which is equal in two processes that have received the same event.
    pub fn sum(&self) -> u64 {
        let mut sum = 0xcbf2_9ce4_8422_2325u64;
        let mut add = |value: u64| {
            for byte in value.to_be_bytes() {
                sum = (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        add(u64::from(self.kind == ListKind::Full));
        for Entry { member, address } in &self.entries {
            let fields =
                [member.worker.0, u64::from(address.port()), member.state as u64, u64::from(member.zone.0)];
            fields.into_iter().chain(member.started.map(|at| at.0)).for_each(&mut add);
        }
        sum
    }
}

/// Why a frame of the discovery stream cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryError {
    /// Its length is out of range.
    Length,
    /// It ends within its header.
    CutShort,
    /// It is of an unknown kind.
    Kind,
    /// It ends within a worker's record.
    RecordCutShort,
    /// A worker is in an unknown state.
    State,
    /// Events are missing between it and the event before it.
    Skipped,
}

impl DiscoveryError {
    /// Its text in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            DiscoveryError::Length => "length out of range",
            DiscoveryError::CutShort => "cut short",
            DiscoveryError::Kind => "unknown kind",
            DiscoveryError::RecordCutShort => "a record is cut short",
            DiscoveryError::State => "unknown state",
            DiscoveryError::Skipped => "an event is left out",
        }
    }
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for DiscoveryError {}

/// Decodes the first frame of a buffer and returns its length in bytes. The event is `None` for an empty frame; the
/// result is `Ok(None)` for an incomplete one.
///
/// # Errors
/// The frame is malformed, so that the connection has to be closed.
pub fn read_frame(bytes: &[u8]) -> Result<Option<(Option<WatchEvent>, usize)>, DiscoveryError> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(FRAME_HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(DiscoveryError::Length);
    }
    let Some(rest) = bytes.get(4..4 + length) else { return Ok(None) };
    let offset = u64::from_be_bytes(rest[..8].try_into().map_err(|_| DiscoveryError::CutShort)?);
    let kind = match rest[8] {
        0 => return Ok(Some((None, 4 + length))),
        1 => ListKind::Full,
        2 => ListKind::Delta,
        _ => return Err(DiscoveryError::Kind),
    };
    let (records, left) = rest[FRAME_HEADER_BYTES..].as_chunks::<RECORD_BYTES>();
    if !left.is_empty() {
        return Err(DiscoveryError::RecordCutShort);
    }
    let entries = records.iter().map(read_record).collect::<Result<_, _>>()?;
    Ok(Some((Some(WatchEvent { offset, kind, entries }), 4 + length)))
}

/// Decodes a worker's record.
fn read_record(record: &[u8; RECORD_BYTES]) -> Result<Entry, DiscoveryError> {
    let u16_at = |at: usize| u16::from_be_bytes([record[at], record[at + 1]]);
    let u32_at = |at: usize| u32::from_be_bytes([record[at], record[at + 1], record[at + 2], record[at + 3]]);
    let state = match record[10] {
        0 => State::Ready,
        1 => State::Draining,
        2 => State::Gone,
        _ => return Err(DiscoveryError::State),
    };
    let started_ms = u64::from(u32_at(19)) << 32 | u64::from(u32_at(23));
    let member = Member {
        worker: WorkerId(u64::from(u32_at(0))),
        zone: ZoneId(record[11]),
        cell: CellId(u16_at(13)),
        state,
        weight: f64::from(u32_at(15)) / 1000.0,
        started: started_at(started_ms),
        kind: KindId(record[12]),
    };
    let port = u16_at(8);
    Ok(Entry { member, address: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(4)), port)) })
}

/// Converts the start of a worker from Unix time in milliseconds; 0 means that it started long ago.
pub fn started_at(unix_ms: u64) -> Option<Timestamp> {
    (unix_ms > 0).then(|| Timestamp(unix_ms.saturating_mul(1_000_000)))
}

/// The state that the connections to discovery share with the daemon.
#[derive(Default)]
pub struct ReceivedEvents {
    /// Events in order, not yet applied.
    pub events: VecDeque<WatchEvent>,
    /// The last event's offset, from which a new connection continues.
    pub offset: u64,
    /// The last connection has ended, and no new attempt is scheduled yet.
    pub down: bool,
    /// Consecutive connections that ended without a frame.
    pub failures: u32,
    /// A frame was received from this discovery service, even an empty one.
    pub received_any: bool,
    /// The offset of the event before which events were missing, and which was requested again.
    pub skipped: Option<u64>,
    /// When the last frame arrived.
    pub last_frame: Option<Timestamp>,
    /// Since when discovery is unreachable: no frame was received since then.
    pub lost_since: Option<Timestamp>,
}

impl ReceivedEvents {
    /// Notes that a frame which arrived at `arrived` is read now.
    fn note_frame(&mut self, arrived: Timestamp, now: Timestamp) {
        self.failures = 0;
        self.received_any = true;
        self.last_frame = Some(arrived);
        if let Some(since) = self.lost_since.take() {
            tracing::info!(out_ms = (now - since).whole_millis(), offset = self.offset, "discovery back");
        }
    }

    /// Notes that a connection has ended. Returns whether discovery had been reachable until then.
    fn note_end(&mut self, now: Timestamp, cause: CloseCause) -> bool {
        self.down = true;
        self.failures += 1;
        if self.lost_since.is_some() || cause == CloseCause::Replaced {
            return false;
        }
        self.lost_since = Some(now);
        let age_ms = self.last_frame.map(|at| (now - at).whole_millis());
        tracing::warn!(why = ?cause, age_ms, offset = self.offset, "discovery lost");
        true
    }
}

/// A connection to discovery.
pub struct DiscoveryConnection {
    received_events: Rc<RefCell<ReceivedEvents>>,
    times_out_at: Timestamp,
}

impl DiscoveryConnection {
    /// A connection whose attempt starts at `now`.
    pub fn new(received_events: Rc<RefCell<ReceivedEvents>>, now: Timestamp) -> DiscoveryConnection {
        DiscoveryConnection { received_events, times_out_at: now + CONNECT_TIMEOUT }
    }

    /// Handles a frame. Its event is ignored unless it is newer than all before: a new connection may repeat some.
    fn handle_frame(
        &mut self,
        event: Option<WatchEvent>,
        arrived: Timestamp,
        now: Timestamp,
    ) -> Result<(), DiscoveryError> {
        let mut received = self.received_events.borrow_mut();
        self.times_out_at = now + SILENCE_TIMEOUT;
        received.note_frame(arrived, now);
        let Some(event) = event.filter(|event| event.offset > received.offset) else { return Ok(()) };
        // Events are missing: they are requested once more, on a new connection.
        let skips = event.kind == ListKind::Delta && event.offset > received.offset + 1;
        if skips && received.skipped.replace(event.offset) != Some(event.offset) {
            return Err(DiscoveryError::Skipped);
        }
        received.offset = event.offset;
        received.events.push_back(event);
        Ok(())
    }
}

/// Logs an unreadable frame and closes the connection.
fn close_unreadable(error: DiscoveryError, link: &mut Link, context: &mut Context) -> ControlFlow {
    context.core.counters().unreadable += 1;
    tracing::warn!(why = error.as_str(), "discovery unreadable");
    link.set_close_cause(CloseCause::Unreadable);
    ControlFlow::Close
}

impl Connection for DiscoveryConnection {
    fn kind(&self) -> &'static str {
        "bus"
    }

    fn opened(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.times_out_at = context.now + SILENCE_TIMEOUT;
        link.enqueue(&self.received_events.borrow().offset.to_be_bytes());
        context.core.discovery_resubscribed(context.now);
        ControlFlow::Continue
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        let mut read = 0;
        loop {
            match read_frame(&link.input[read..]) {
                Ok(None) => break,
                Ok(Some((event, size))) => {
                    read += size;
                    let arrived = link.arrival_time(link.input.len() - read);
                    if let Err(error) = self.handle_frame(event, arrived, context.now) {
                        return close_unreadable(error, link, context);
                    }
                }
                Err(error) => return close_unreadable(error, link, context),
            }
        }
        link.consume(read);
        if read > 0 {
            context.core.discovery_received(context.now, link.arrival_time(link.input.len()));
        }
        if link.peer_closed { ControlFlow::Close } else { ControlFlow::Continue }
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        if self.times_out_at <= context.now {
            tracing::warn!("discovery silent");
            link.set_close_cause(if link.is_connected() {
                CloseCause::Silent
            } else {
                CloseCause::NotConnected
            });
            return ControlFlow::Close;
        }
        ControlFlow::Continue
    }

    fn deadline(&self) -> Option<Timestamp> {
        Some(self.times_out_at)
    }

    fn closed(&mut self, link: &Link, context: &mut Context) {
        if self.received_events.borrow_mut().note_end(context.now, link.close_cause()) {
            context.core.discovery_lost();
        }
    }
}

#[cfg(test)]
mod tests;
