//! The limit on the bytes that a member sends: a token bucket with a reserve for gossip.

use std::time::Duration;

use cranehill_scheduler::Time;

/// The fraction of a full bucket that is reserved for gossip.
const BULK_RESERVE: f64 = 0.25;

/// The class of a packet that is subject to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficClass {
    /// Gossip and pages of sets: sent while there are any tokens.
    Gossip,
    /// Other anti-entropy messages and lists of members: sent while there are more tokens than the reserve.
    Bulk,
}

/// A token bucket whose tokens are bytes. Probes, their answers, refutations, notifications to suspects and leaves are charged
/// but not limited, so the number of tokens may become negative.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket, whose capacity is the tokens that accumulate in a time of `burst`.
    pub(crate) fn new(bytes_per_second: u32, burst: Duration, now: Time) -> TokenBucket {
        let bytes_per_second = f64::from(bytes_per_second);
        let burst = bytes_per_second * burst.as_secs_f64();
        TokenBucket {
            bytes_per_second,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Whether a packet of a class may be sent at `now`.
    pub(crate) fn allows(&mut self, now: Time, class: TrafficClass) -> bool {
        self.refill(now);
        match class {
            TrafficClass::Gossip => self.tokens > 0.0,
            TrafficClass::Bulk => self.tokens > self.burst * BULK_RESERVE,
        }
    }

    /// Charges a packet that was sent. The number of tokens doesn't fall below minus one capacity.
    pub(crate) fn charge(&mut self, now: Time, bytes: usize) {
        self.refill(now);
        self.tokens = (self.tokens - bytes as f64).max(-self.burst);
    }

    fn refill(&mut self, now: Time) {
        let gained = self.bytes_per_second * (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
