//! Schedules the pages of children that are catching up: a bounded number of children in turn, under one rate limit.

use crate::interface::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of children that catch up at a time; the others wait, so that some finish early rather than all late.
/// With a window of 16 pages each, they have about a megabyte in flight: enough for a round trip of 100 ms at ten
/// megabytes per second.
pub const MAX_CATCHING_UP: usize = 64;
/// The token bucket holds at most this fraction of a second's bytes (50 ms), which limits the burst after a pause.
const BURSTS_PER_SECOND: u64 = 20;
/// Smallest burst limit in bytes: a few pages, however low the rate is.
const MIN_BURST_BYTES: u64 = 16_384;
/// Sending resumes once this fraction of a second's bytes (5 ms) is available.
const QUANTA_PER_SECOND: u64 = 200;

/// The state of a child in the catch-up queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueState {
    /// It is not catching up.
    Idle,
    /// It waits for a catch-up slot or for its next page, under this queue number.
    Queued(u64),
    /// It gets no more pages until it has acknowledged some.
    Blocked,
}

/// The queue of children that are catching up, with a token bucket that limits the bytes sent to them.
#[derive(Debug)]
pub struct Pacing {
    bytes_per_second: u64,
    /// Bytes that may be sent now; negative after more was sent than was available.
    tokens: i64,
    refilled_at: Timestamp,
    /// Children that wait for a catch-up slot, by queue number.
    waiting: BTreeMap<u64, SocketAddr>,
    /// Children that get pages in turn, by queue number.
    active: BTreeMap<u64, SocketAddr>,
    /// Number of children that are blocked; each occupies a catch-up slot.
    blocked: usize,
    last_number: u64,
}

impl Pacing {
    /// Creates an empty queue with a rate limit in bytes per second.
    pub fn new(now: Timestamp, bytes_per_second: u64) -> Pacing {
        let bytes_per_second = bytes_per_second.clamp(1, 1 << 40);
        let mut pacing = Pacing {
            bytes_per_second,
            tokens: 0,
            refilled_at: now,
            waiting: BTreeMap::new(),
            active: BTreeMap::new(),
            blocked: 0,
            last_number: 0,
        };
        pacing.tokens = pacing.burst();
        pacing
    }

    /// The capacity of the token bucket, in bytes.
    fn burst(&self) -> i64 {
        (self.bytes_per_second / BURSTS_PER_SECOND).max(MIN_BURST_BYTES) as i64
    }

    /// The bytes that must be available before sending resumes.
    fn quantum(&self) -> i64 {
        (self.bytes_per_second / QUANTA_PER_SECOND).clamp(1, MIN_BURST_BYTES) as i64
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = u128::from((now - self.refilled_at).0);
        let gained = u128::from(self.bytes_per_second) * passed / 1_000_000_000;
        if gained > 0 {
            // Carry over the fraction of a byte.
            self.refilled_at = self.refilled_at
                + Duration((gained * 1_000_000_000 / u128::from(self.bytes_per_second)) as u64);
            let gained = i64::try_from(gained).unwrap_or(i64::MAX);
            self.tokens = self.tokens.saturating_add(gained).min(self.burst());
        }
    }

    /// Charges bytes that were sent to the token bucket.
    pub fn charge(&mut self, now: Timestamp, bytes: usize) {
        self.refill(now);
        self.tokens = self.tokens.saturating_sub(bytes as i64);
    }

    /// When the next page may be sent; `None` if no child is waiting for one.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let has_work = !self.active.is_empty() || !self.waiting.is_empty() && self.has_room();
        let missing = u128::from((self.quantum() - self.tokens).max(0) as u64);
        let pause = (missing * 1_000_000_000).div_ceil(u128::from(self.bytes_per_second));
        has_work.then(|| self.refilled_at + Duration(u64::try_from(pause).unwrap_or(u64::MAX)))
    }

    fn has_room(&self) -> bool {
        self.active.len() + self.blocked < MAX_CATCHING_UP
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Queues a child behind all that wait for a catch-up slot.
    pub fn enqueue(&mut self, child: SocketAddr) -> QueueState {
        let number = self.next_number();
        self.waiting.insert(number, child);
        QueueState::Queued(number)
    }

    /// Lets a blocked child get pages again, after the others that are catching up.
    pub fn unblock(&mut self, child: SocketAddr) -> QueueState {
        self.blocked -= 1;
        self.requeue(child)
    }

    /// Queues a child for its next page, behind all others that are catching up.
    pub fn requeue(&mut self, child: SocketAddr) -> QueueState {
        let number = self.next_number();
        self.active.insert(number, child);
        QueueState::Queued(number)
    }

    /// Blocks the child that [`Pacing::next_child`] returned last until it acknowledges a page.
    pub fn block(&mut self) -> QueueState {
        self.blocked += 1;
        QueueState::Blocked
    }

    /// Removes a child that has caught up or is gone from the queue.
    pub fn remove(&mut self, queue_state: QueueState) -> QueueState {
        match queue_state {
            QueueState::Idle => {}
            QueueState::Queued(number) => {
                self.waiting.remove(&number);
                self.active.remove(&number);
            }
            QueueState::Blocked => self.blocked -= 1,
        }
        QueueState::Idle
    }

    /// Takes the child that gets the next page out of the queue, if the rate limit allows a page. The caller then
    /// assigns the child its new queue state.
    pub fn next_child(&mut self, now: Timestamp) -> Option<SocketAddr> {
        self.refill(now);
        if self.tokens <= 0 {
            return None;
        }
        while self.has_room() {
            let Some((number, child)) = self.waiting.pop_first() else { break };
            self.active.insert(number, child);
        }
        self.active.pop_first().map(|(_, child)| child)
    }
}
