//! Ids, points in time and lengths of time.

use std::ops::{Add, Sub};

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A worker; the same at every scheduler, and kept when its process restarts.
    WorkerId(u64);
    /// A function (or model) that a worker can load.
    FunctionId(u64);
    /// A request as its client's try; never used twice.
    RequestId(u32);
    /// Place of a class in [`Settings::classes`](super::Settings::classes).
    ClassId(u16);
    /// Place of a tenant in [`Settings::tenants`](super::Settings::tenants).
    TenantId(u16);
    /// A zone: crossing from one to another may be priced.
    ZoneId(u8);
    /// A small group of workers that remember the same keys.
    CellId(u16);
    /// Place of a machine kind in [`Loading::memory_mb`](super::Loading::memory_mb).
    KindId(u8);
    /// A point in time, in nanoseconds of the caller's monotonic clock.
    Timestamp(u64);
    /// A length of time in nanoseconds.
    Duration(u64);
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Add<Duration> for Duration {
    type Output = Duration;
    fn add(self, span: Duration) -> Duration {
        Duration(self.0.saturating_add(span.0))
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;
    /// Zero when `earlier` is in fact later.
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl Duration {
    /// A span of so many milliseconds.
    pub const fn millis(ms: u64) -> Duration {
        Duration(ms * 1_000_000)
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The span in whole milliseconds.
    pub const fn whole_millis(self) -> u64 {
        self.0 / 1_000_000
    }

    /// The span times a factor; what is not a sensible figure becomes zero.
    pub fn times(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }
}
