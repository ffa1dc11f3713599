//! A token bucket for this sender's quota of a limit that all senders share.
//!
//! It protects against many senders that all exceed a limit: each sees too few rejections to learn from them, and all of
//! them together pay for them with the limit.

use std::time::Duration;

use crate::api::Time;

/// Calls that can be saved up at most.
const DEPTH: f64 = 2.0;
/// Rates are bounded by this many calls a second, so that an infinite one times no time is not NaN.
const MAX_REFILL_RATE: f64 = 1e9;
/// The lowest rate that a wait is computed from, in calls a second.
const MIN_WAIT_RATE: f64 = 1e-3;
/// The longest wait for a token, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Tokens for calls, one each.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
    /// Tokens a second; infinite for no limit.
    rate: f64,
}

impl TokenBucket {
    /// A full bucket without a limit.
    pub(crate) fn new(now: Time) -> TokenBucket {
        TokenBucket {
            tokens: DEPTH,
            refilled_at: now,
            rate: f64::INFINITY,
        }
    }

    /// A bucket with one token for each `gap`, whose first token is complete after `delay`; both in seconds.
    pub(crate) fn with_first_token_after(now: Time, gap: f64, delay: f64) -> TokenBucket {
        TokenBucket {
            tokens: 1.0 - delay / gap,
            refilled_at: now,
            rate: 1.0 / gap,
        }
    }

    /// Adds the tokens of the time passed, and sets the rate from now on, both at `rate` tokens a second.
    pub(crate) fn refill(&mut self, now: Time, rate: f64) {
        let passed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate.min(MAX_REFILL_RATE) * passed).min(DEPTH);
        self.refilled_at = self.refilled_at.max(now);
        self.rate = rate;
    }

    /// Adds no tokens before `until`, and keeps `tokens` at most. Callers draw `tokens` at random, so that senders that
    /// waited together do not resume together.
    pub(crate) fn pause(&mut self, until: Time, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
        self.skip_until(until);
    }

    /// Adds no tokens for the time before `until`.
    pub(crate) fn skip_until(&mut self, until: Time) {
        self.refilled_at = self.refilled_at.max(until);
    }

    /// Whether a call may be sent.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0 || self.rate.is_infinite()
    }

    /// Whether no more tokens can be saved up.
    pub(crate) fn is_full(&self) -> bool {
        self.tokens >= DEPTH
    }

    /// Takes a token for a call; a call sent without one leaves a debt of one token at most.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-1.0);
    }

    /// Ensures that one call may be sent now.
    pub(crate) fn ensure_token(&mut self) {
        self.tokens = self.tokens.max(1.0);
    }

    /// Removes all tokens.
    pub(crate) fn drain(&mut self) {
        self.tokens = 0.0;
    }

    /// When the next token is complete.
    pub(crate) fn next_token_at(&self) -> Time {
        let wait = (1.0 - self.tokens) / self.rate.max(MIN_WAIT_RATE);
        self.refilled_at + Duration::from_secs_f64(wait.clamp(0.0, MAX_WAIT_SECONDS))
    }
}
