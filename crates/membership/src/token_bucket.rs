//! The bound on bytes that a member sends: a token bucket with a reserve for what can't wait.

use std::time::Duration;

use cranehill_scheduler::Time;

/// What a packet is for, as far as its pace goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Probes, their answers, refutations, messages to suspects and of leaving: never held back, always charged.
    Urgent,
    /// Gossip.
    Gossip,
    /// Exchanges of state and lists of members: only while there is more than the reserve.
    Bulk,
}

/// Tokens are bytes.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Time,
}

/// Share of the burst that bulk leaves to gossip.
const RESERVE: f64 = 0.25;

impl TokenBucket {
    /// `rate`: bytes a second; `burst`: how long may be saved up.
    pub fn new(rate: u32, burst: Duration, now: Time) -> TokenBucket {
        let rate = f64::from(rate);
        let burst = rate * burst.as_secs_f64();
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            filled: now,
        }
    }

    fn fill(&mut self, now: Time) {
        let gained = self.rate * (now - self.filled).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = self.filled.max(now);
    }

    /// Whether packets of a class may be made now.
    pub fn allows(&mut self, now: Time, class: TrafficClass) -> bool {
        self.fill(now);
        match class {
            TrafficClass::Urgent => true,
            TrafficClass::Gossip => self.tokens > 0.0,
            TrafficClass::Bulk => self.tokens > self.burst * RESERVE,
        }
    }

    /// A packet was sent. What urgent ones overdraw is paid back, up to one burst.
    pub fn charge(&mut self, now: Time, bytes: usize) {
        self.fill(now);
        self.tokens = (self.tokens - bytes as f64).max(-self.burst);
    }
}
