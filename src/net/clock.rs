//! The process's clock, which no step of the wall clock moves.

use crate::interface::{Duration, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The process's clock: Unix time at its creation plus the time elapsed since, so that a step of the wall clock moves no
/// deadline.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    base: Timestamp,
    start: StartTime,
}

/// A reading of the process's clock together with the wall clock's offset from it.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Time by the process's clock.
    pub process_time: Timestamp,
    /// Nanoseconds by which the wall clock is ahead of the process's clock; `None` if unknown.
    pub wall_ahead: Option<i64>,
}

impl ClockReading {
    /// Earlier than any other reading, with an unknown offset.
    pub const UNKNOWN: ClockReading = ClockReading { process_time: Timestamp(0), wall_ahead: None };
}

/// The clock that measures the time elapsed since the start.
#[derive(Clone, Copy, Debug)]
enum StartTime {
    /// A monotonic clock, which may stop while the machine is suspended.
    Monotonic(Instant),
    /// The boot-time clock, which includes suspended time; the time since boot at the start.
    Boot(Duration),
}

impl SystemClock {
    /// Creates a clock that starts at the system's current time.
    pub fn new() -> SystemClock {
        SystemClock { base: SystemClock::unix_now(), start: StartTime::Monotonic(Instant::now()) }
    }

    /// As [`SystemClock::new`], but includes time during which the machine is suspended, as leases require.
    pub fn including_suspend() -> SystemClock {
        SystemClock { base: SystemClock::unix_now(), start: StartTime::Boot(SystemClock::time_since_boot()) }
    }

    fn unix_now() -> Timestamp {
        Timestamp(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64)
    }

    fn time_since_boot() -> Duration {
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration(at.tv_sec as u64 * 1_000_000_000 + at.tv_nsec as u64)
    }

    /// The wall clock's current Unix time. It may be stepped at any time, so it is only compared with points in time
    /// that come from outside the process.
    pub fn wall(&self) -> Timestamp {
        SystemClock::unix_now()
    }

    /// Reads both clocks. The process's clock is read first: if the process is suspended between the two reads, a Unix
    /// time converted with this reading comes out too early, never too late.
    pub fn reading(&self) -> ClockReading {
        let process_time = self.now();
        ClockReading {
            process_time,
            wall_ahead: Some(self.wall().0.wrapping_sub(process_time.0).cast_signed()),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        let elapsed = match self.start {
            StartTime::Monotonic(start) => Duration(start.elapsed().as_nanos() as u64),
            StartTime::Boot(start) => Duration(SystemClock::time_since_boot().0.saturating_sub(start.0)),
        };
        self.base + elapsed
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}
