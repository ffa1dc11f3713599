//! The limit on the bytes that a member sends: a token bucket with a reserve.

use std::time::Duration;

use cranehill_scheduler::Time;

/// The fraction of the burst that bulk traffic leaves to gossip.
const BULK_RESERVE: f64 = 0.25;

/// The priority of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficClass {
    /// Gossip: sent while there are tokens.
    Gossip,
    /// Anti-entropy and lists of members: sent while there are more tokens than the reserve.
    Bulk,
}

/// A token bucket whose tokens are bytes. Probes, their answers, refutations, notifications of suspects and leaves are charged
/// without being limited, so the bucket may be overdrawn.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket; `burst` is how long unused tokens add up.
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

    /// Whether a packet of a class may be sent now.
    pub(crate) fn allows(&mut self, now: Time, class: TrafficClass) -> bool {
        self.refill(now);
        match class {
            TrafficClass::Gossip => self.tokens > 0.0,
            TrafficClass::Bulk => self.tokens > self.burst * BULK_RESERVE,
        }
    }

    /// Charges a packet that was sent. The bucket is overdrawn by at most one burst.
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
