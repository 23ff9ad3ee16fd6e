//! Arrival times of the bytes of a stream.
//!
//! A request's time limit counts from its arrival, which may be long before it is read: the event loop may be late, or
//! the whole process may have been suspended, and the duration of a poll shows neither. Two bounds are certain: bytes
//! read now arrived after the socket was last known to be empty, and before now. Between these bounds the kernel's
//! timestamp is used if there is one; otherwise the later bound if the two are close together, and the earlier one if
//! they are not.

use super::ClockReading;
use crate::interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// Bounds that are at most this far apart count as one point in time. It is well below the lateness that the platform
/// allows for a deadline sent to a worker.
const MAX_UNCERTAINTY: Duration = Duration::millis(80);
/// A larger change of the wall clock's offset from the process's clock means that the wall clock was stepped.
const MAX_CLOCK_DRIFT: Duration = Duration::millis(10);
/// Reads whose times are recorded separately for one connection; further ones are merged with the last.
const MAX_READS: usize = 64;

/// The bytes returned by one read.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Offset in the stream at which these bytes end.
    end: u64,
    /// Arrival time of the last byte.
    last: Timestamp,
    /// Assumed arrival time of the bytes before the last one.
    earlier: Timestamp,
}

/// Records the arrival times of one stream's unconsumed bytes.
#[derive(Debug)]
pub struct Arrivals {
    /// Bytes read next arrived after this moment.
    empty_at: ClockReading,
    /// Whether the last read emptied the socket.
    drained: bool,
    /// Total number of bytes read.
    read: u64,
    /// Reads with unconsumed bytes, oldest first.
    reads: VecDeque<Read>,
}

impl Arrivals {
    /// Creates the record of a stream of which nothing has been read and on which nothing had arrived by `empty_at`.
    pub fn new(empty_at: ClockReading) -> Arrivals {
        Arrivals { empty_at, drained: false, read: 0, reads: VecDeque::new() }
    }

    /// A poll that started at this moment reported no input.
    pub fn note_no_event(&mut self, at: ClockReading) {
        // Input that an earlier read left in the socket is not reported again.
        if self.drained {
            self.note_empty(at);
        }
    }

    /// A read that started at `started` has ended; `drained` if it emptied the socket.
    pub fn note_read_end(&mut self, started: ClockReading, drained: bool) {
        self.drained = drained;
        if drained {
            self.note_empty(started);
        }
    }

    /// Bytes that have not been read arrived after this moment.
    pub fn empty_at(&self) -> Timestamp {
        self.empty_at.process_time
    }

    /// Whether the last read emptied the socket.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    fn note_empty(&mut self, at: ClockReading) {
        if at.process_time > self.empty_at.process_time {
            self.empty_at = at;
        }
    }

    /// `count` bytes have been read by `now`, while `unused` bytes of earlier reads were not yet consumed. `timestamp` is the Unix
    /// time at which the kernel received the last of them, if known.
    pub fn note_bytes(
        &mut self,
        count: usize,
        timestamp: Option<Timestamp>,
        now: ClockReading,
        unused: usize,
    ) {
        let used = self.read - unused as u64;
        self.reads.retain(|read| read.end > used);
        let earliest = self.empty_at.process_time;
        let kernel_time = timestamp.and_then(|timestamp| self.to_process_time(timestamp, now));
        let last = kernel_time.unwrap_or_else(|| arrival_between(earliest, now.process_time));
        let earlier = arrival_between(earliest, last);
        self.read += count as u64;
        self.push_read(Read { end: self.read, last, earlier });
        // The bytes of a stream arrive in order.
        if kernel_time.is_some() {
            self.empty_at.process_time = last;
        }
    }

    fn push_read(&mut self, mut read: Read) {
        if self.reads.len() >= MAX_READS
            && let Some(newest) = self.reads.pop_back()
        {
            read.earlier = read.earlier.min(newest.earlier);
        }
        self.reads.push_back(read);
    }

    /// Converts a Unix time to the process's clock; `None` if the two clocks cannot be compared. The result may be too
    /// early, if the process was suspended between its reads of the two clocks, but never too late.
    fn to_process_time(&self, timestamp: Timestamp, now: ClockReading) -> Option<Timestamp> {
        let drift = now.wall_ahead?.abs_diff(self.empty_at.wall_ahead?);
        if drift > MAX_CLOCK_DRIFT.0 {
            return None;
        }
        let process_time = now.process_time.0.checked_add_signed(now.wall_ahead?)?.checked_sub(timestamp.0);
        let process_time = Timestamp(now.process_time.0.checked_sub(process_time?)?);
        Some(process_time.max(self.empty_at.process_time))
    }

    /// Arrival time of the byte that is followed by `unused` others among the bytes read.
    pub fn arrival_time(&self, unused: usize) -> Timestamp {
        let end = self.read - unused as u64;
        match self.reads.iter().find(|read| read.end >= end) {
            Some(read) if read.end == end => read.last,
            Some(read) => read.earlier,
            None => self.empty_at.process_time,
        }
    }
}

/// The assumed time of an arrival between these two points in time.
fn arrival_between(earliest: Timestamp, latest: Timestamp) -> Timestamp {
    if latest - earliest <= MAX_UNCERTAINTY { latest } else { earliest }
}

#[cfg(test)]
mod tests;
