//! A token bucket for this sender's quota of a limit that all senders share.
//!
//! The window alone does not keep many senders within a shared limit: each gets too few rejections to adapt, and together they
//! use up the limit with rejected calls.

use std::time::Duration;

use crate::api::Time;

/// Depth of a bucket, in tokens.
const DEPTH: f64 = 2.0;
/// Maximum rate for computing a refill, in calls a second, since an infinite rate times a duration of zero is NaN.
const MAX_REFILL_RATE: f64 = 1e9;
/// Minimum rate for computing the wait for a token, in calls a second.
const MIN_WAIT_RATE: f64 = 1e-3;
/// Maximum wait for a token, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// A token bucket; each call takes one token.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
    /// Tokens a second; infinite for no limit.
    rate: f64,
}

impl TokenBucket {
    /// A full bucket with an infinite rate.
    pub(crate) fn new(now: Time) -> TokenBucket {
        TokenBucket {
            tokens: DEPTH,
            refilled_at: now,
            rate: f64::INFINITY,
        }
    }

    /// A bucket that gets one token per `gap`, the first one complete after `delay`; both in seconds.
    pub(crate) fn with_first_token_after(now: Time, gap: f64, delay: f64) -> TokenBucket {
        TokenBucket {
            tokens: 1.0 - delay / gap,
            refilled_at: now,
            rate: 1.0 / gap,
        }
    }

    /// Adds tokens for the time since the last refill, at `rate` tokens a second, and stores the rate.
    pub(crate) fn refill(&mut self, now: Time, rate: f64) {
        let passed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate.min(MAX_REFILL_RATE) * passed).min(DEPTH);
        self.refilled_at = self.refilled_at.max(now);
        self.rate = rate;
    }

    /// Adds no tokens before `until` and reduces the present ones to `tokens`. Callers choose `tokens` at random, so that senders
    /// whose waits end together do not resume together.
    pub(crate) fn pause(&mut self, until: Time, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
        self.skip_until(until);
    }

    /// Adds no tokens for the time before `until`.
    pub(crate) fn skip_until(&mut self, until: Time) {
        self.refilled_at = self.refilled_at.max(until);
    }

    /// Whether a call may be sent now.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0 || self.rate.is_infinite()
    }

    /// Whether the bucket is full.
    pub(crate) fn is_full(&self) -> bool {
        self.tokens >= DEPTH
    }

    /// Takes a token for a call. The number of tokens can become negative, down to -1.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-1.0);
    }

    /// Adds tokens as needed for one call now.
    pub(crate) fn ensure_token(&mut self) {
        self.tokens = self.tokens.max(1.0);
    }

    /// Removes all tokens.
    pub(crate) fn clear(&mut self) {
        self.tokens = 0.0;
    }

    /// When the bucket has a whole token; never more than [`MAX_WAIT_SECONDS`] after the last refill.
    pub(crate) fn next_token_at(&self) -> Time {
        let wait = (1.0 - self.tokens) / self.rate.max(MIN_WAIT_RATE);
        self.refilled_at + Duration::from_secs_f64(wait.clamp(0.0, MAX_WAIT_SECONDS))
    }
}
