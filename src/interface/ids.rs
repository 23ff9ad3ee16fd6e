//! Ids, timestamps and durations.

use std::ops::{Add, Sub};

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A worker; its id is the same at every scheduler and survives a restart of its process.
    WorkerId(u64);
    /// A function (or model) that a worker can load.
    FunctionId(u64);
    /// A request as submitted by its client; a retry of the client gets a new id.
    RequestId(u32);
    /// Index of a class in [`Settings::classes`](super::Settings::classes).
    ClassId(u16);
    /// Index of a tenant in [`Settings::tenants`](super::Settings::tenants).
    TenantId(u16);
    /// A zone; traffic between zones may have a price.
    ZoneId(u8);
    /// A small group of workers that deduplicate the same keys.
    CellId(u16);
    /// Index of a kind of worker in [`Loading::memory_mb`](super::Loading::memory_mb).
    KindId(u8);
    /// A point in time, in nanoseconds of the caller's monotonic clock.
    Timestamp(u64);
    /// A duration in nanoseconds.
    Duration(u64);
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Add<Duration> for Duration {
    type Output = Duration;
    fn add(self, duration: Duration) -> Duration {
        Duration(self.0.saturating_add(duration.0))
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;
    /// Zero if `earlier` is later than `self`.
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Duration {
    /// A duration of this many milliseconds.
    pub const fn millis(ms: u64) -> Duration {
        Duration(ms * 1_000_000)
    }

    /// The duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The duration in whole milliseconds, rounded down.
    pub const fn whole_millis(self) -> u64 {
        self.0 / 1_000_000
    }

    /// The duration times a factor; zero if the factor is negative or NaN, saturating if it is too large.
    pub fn times(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }
}
