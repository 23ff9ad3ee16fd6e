//! When the bytes of a stream came in.
//!
//! A request's time counts from when it came, which may be long before it is read: the loop may be late, and the whole
//! process may have been stopped. Neither shows in how long a poll took. What is certain are two bounds: what is read now
//! came after the last moment at which the socket was seen to be empty, and before now. Between them the kernel's timestamp
//! decides where there is one; without one, the later bound while both are close together, and the earlier one otherwise.

use super::ClockReading;
use crate::interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// Bounds that are no farther apart are as good as one point in time: well within what the platform allows a deadline that
/// is told to a worker to be late.
const MAX_UNCERTAINTY: Duration = Duration::millis(80);
/// The wall clock was stepped if it has moved against the process's clock by more.
const MAX_CLOCK_DRIFT: Duration = Duration::millis(10);
/// Reads of one connection that are told apart; later ones count as one with the last.
const MAX_READS: usize = 64;

/// Bytes that one read returned.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Bytes of the stream up to and with these.
    end: u64,
    /// When the last of them came.
    last: Timestamp,
    /// When those before the last one count as having come.
    others: Timestamp,
}

/// When the bytes of one stream came in.
#[derive(Debug)]
pub struct Arrivals {
    /// What is read next came after this moment.
    empty_at: ClockReading,
    /// Whether nothing was left in the socket by the last read.
    drained: bool,
    /// Bytes read so far.
    read: u64,
    /// Reads of which bytes are still unused, the oldest first.
    reads: VecDeque<Read>,
}

impl Arrivals {
    /// A stream of which nothing has been read, and on which nothing had come by then.
    pub fn new(empty_at: ClockReading) -> Arrivals {
        Arrivals { empty_at, drained: false, read: 0, reads: VecDeque::new() }
    }

    /// The system was asked at that moment whether anything had come, and told of nothing.
    pub fn note_nothing_told(&mut self, at: ClockReading) {
        // What an earlier read has left is not told of again.
        if self.drained {
            self.note_empty(at);
        }
    }

    /// A read that began at that moment ended; whether it left nothing in the socket.
    pub fn note_read_end(&mut self, begun: ClockReading, drained: bool) {
        self.drained = drained;
        if drained {
            self.note_empty(begun);
        }
    }

    fn note_empty(&mut self, at: ClockReading) {
        if at.own > self.empty_at.own {
            self.empty_at = at;
        }
    }

    /// Bytes were read by now. The kernel may have told when the last of them came, in Unix time; so many that were read
    /// before are still unused.
    pub fn note_bytes(&mut self, count: usize, stamp: Option<Timestamp>, now: ClockReading, unused: usize) {
        let used = self.read - unused as u64;
        self.reads.retain(|read| read.end > used);
        let earliest = self.empty_at.own;
        let stamped = stamp.and_then(|stamp| self.own_time(stamp, now));
        let last = stamped.unwrap_or_else(|| point_between(earliest, now.own));
        let others = point_between(earliest, last);
        self.read += count as u64;
        self.keep(Read { end: self.read, last, others });
        // Bytes of a stream come in their order.
        if stamped.is_some() {
            self.empty_at.own = last;
        }
    }

    fn keep(&mut self, mut read: Read) {
        if self.reads.len() >= MAX_READS
            && let Some(newest) = self.reads.pop_back()
        {
            read.others = read.others.min(newest.others);
        }
        self.reads.push_back(read);
    }

    /// A point in Unix time as the process's clock would have shown it; none where the two clocks cannot be compared. It may
    /// be too early, if the process was stopped between its two looks at the clocks, but not too late.
    fn own_time(&self, stamp: Timestamp, now: ClockReading) -> Option<Timestamp> {
        let drift = now.wall_ahead?.abs_diff(self.empty_at.wall_ahead?);
        if drift > MAX_CLOCK_DRIFT.0 {
            return None;
        }
        let own = now.own.0.checked_add_signed(now.wall_ahead?)?.checked_sub(stamp.0);
        let own = Timestamp(now.own.0.checked_sub(own?)?);
        Some(own.max(self.empty_at.own))
    }

    /// When that byte came which `unused` others follow of what has been read.
    pub fn arrived(&self, unused: usize) -> Timestamp {
        let end = self.read - unused as u64;
        match self.reads.iter().find(|read| read.end >= end) {
            Some(read) if read.end == end => read.last,
            Some(read) => read.others,
            None => self.empty_at.own,
        }
    }
}

/// What counts as the time of something that happened between these two.
fn point_between(earliest: Timestamp, latest: Timestamp) -> Timestamp {
    if latest - earliest <= MAX_UNCERTAINTY { latest } else { earliest }
}

#[cfg(test)]
mod tests;
