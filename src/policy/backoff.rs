//! Exponential backoff after failures.

use super::rendezvous::mix;
use crate::interface::{Duration, Timestamp};

/// Pause after the first failure: a failed load, a lost worker or an unreachable zone.
const INITIAL_PAUSE: Duration = Duration::millis(400);
/// How often the pause doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// Returns when to try again after `failures` failures before this one. The pause is jittered by up to a
/// quarter in either direction, by a hash of the time, so that schedulers do not retry together.
pub fn backoff(now: Timestamp, failures: u32) -> Timestamp {
    now + Duration(INITIAL_PAUSE.0 << failures.min(MAX_DOUBLINGS))
        .times(0.75 + mix(now.0) as f64 / u64::MAX as f64 / 2.0)
}
