//! A token bucket that limits the requests and loads that a worker is sent while it is warming up.

use crate::interface::Timestamp;

/// The tokens in the bucket and the time of the last refill. The number may be negative: the bucket of a warm
/// worker is not checked, but its tokens are still taken.
#[derive(Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`.
    pub fn new(tokens: f64, now: Timestamp) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Returns whether the bucket holds at least one token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one token, even if the bucket holds none.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds the tokens accrued since the last refill. The bucket holds no more than these, or one token if
    /// that is more.
    pub fn refill(&mut self, now: Timestamp, tokens_per_s: f64) {
        let accrued = tokens_per_s * (now - self.refilled_at).secs();
        self.tokens = (self.tokens + accrued).min(accrued.max(1.0));
        self.refilled_at = now;
    }
}
