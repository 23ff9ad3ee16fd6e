//! A rate limit on log lines caused by clients: clients at full speed must not keep the scheduler busy writing its log
//! and waiting for the log's reader.

use crate::interface::{Duration, Timestamp};

/// Most log lines in a window.
const MAX_LINES_PER_WINDOW: u32 = 10;
/// Length of a window.
const WINDOW_DURATION: Duration = Duration::millis(1_000);

/// Counts the lines of the current window.
pub(super) struct LogLimiter {
    window_start: Timestamp,
    lines: u32,
}

impl Default for LogLimiter {
    fn default() -> LogLimiter {
        LogLimiter { window_start: Timestamp(0), lines: 0 }
    }
}

impl LogLimiter {
    /// Whether another line may be logged now; it counts in either case.
    pub(super) fn admits(&mut self, now: Timestamp) -> bool {
        if now - self.window_start >= WINDOW_DURATION {
            self.window_start = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_WINDOW
    }
}
