//! Applies the fleet's admission level to the requests of this process.

use super::{AdmissionLevel, REPORT_LIFETIME};
use crate::interface::{Duration, Timestamp};

/// Credit that admits one request: an admission level is given in fractions of it.
const ADMISSION_CREDIT: u32 = 255;

/// An admission level and when it was computed.
#[derive(Clone, Copy, Debug)]
struct TimedLevel {
    level: AdmissionLevel,
    at: Timestamp,
}

/// Admits or rejects requests by the fleet's latest admission level.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    latest: Option<TimedLevel>,
    /// Credit by rank: each request adds the fraction of its rank that is admitted.
    credit: [u32; super::RANK_COUNT],
    rejected: u32,
}

impl AdmissionGate {
    /// Adopts a level computed at `at`; returns whether it supersedes the known one. A level of an earlier controller never
    /// supersedes one of a later controller, nor an older level a newer one of the same controller.
    pub fn receive(&mut self, level: AdmissionLevel, at: Timestamp) -> bool {
        let supersedes = self.latest.is_none_or(|known| (level.fence, at) > (known.level.fence, known.at));
        if supersedes {
            self.latest = Some(TimedLevel { level, at });
        }
        supersedes
    }

    /// The level in force; `None` if there is none or it has expired.
    pub fn level(&self, now: Timestamp) -> Option<AdmissionLevel> {
        self.latest.filter(|known| now - known.at < REPORT_LIFETIME).map(|known| known.level)
    }

    /// Whether a request of this rank is admitted. The rank's fraction of all requests is admitted, spread evenly.
    pub fn admits(&mut self, now: Timestamp, rank: usize) -> bool {
        let Some(level) = self.level(now) else { return true };
        let credit = &mut self.credit[rank];
        *credit += u32::from(level.admit[rank]);
        let admitted = *credit >= ADMISSION_CREDIT;
        if admitted {
            *credit -= ADMISSION_CREDIT;
        }
        admitted
    }

    /// The `Retry-After` of a rejected client: between half of `longest` and all of it, different for successive clients,
    /// so that clients rejected together do not retry together.
    pub fn cooldown(&mut self, longest: Duration) -> Duration {
        self.rejected = self.rejected.wrapping_add(1);
        // Multiples of the golden ratio are spread evenly over [0, 1) for any number of clients.
        let fraction = (f64::from(self.rejected) * 0.618_033_988_749_895).fract();
        longest.times(0.5 + fraction / 2.0)
    }
}
