//! Slow start of a destination after an outage: its reduced capacity, and the overload at which it fails.

use std::collections::VecDeque;
use std::time::Duration;

/// How a destination warms up after an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Return {
    /// The part of its capacity that it has at the end of the outage, 0 to 1.
    pub cold: f64,
    /// Time until it has its whole capacity.
    pub warm: Duration,
    /// It fails at more than this many times its present capacity.
    pub multiple: f64,
    /// Over how long the overload is measured.
    pub fall: Duration,
    /// Of N expected calls, this many times the root of N, and this many more, are put down to chance.
    pub slack: f64,
}

impl Default for Return {
    fn default() -> Return {
        Return {
            cold: 0.23,
            warm: Duration::from_millis(9100),
            multiple: 1.5,
            fall: Duration::from_secs(3),
            slack: 2.0,
        }
    }
}

impl Return {
    /// The part of the capacity that is there this long after the outage: it rises linearly to 1.
    pub fn share(&self, since: Duration) -> f64 {
        let warm = self.warm.as_secs_f64().max(1e-9);
        (self.cold + (1.0 - self.cold) * since.as_secs_f64() / warm).min(1.0)
    }

    /// The calls that are tolerated in the window that ends this long after the outage, given the calls a second when warm.
    pub fn budget(&self, since: Duration, capacity: f64) -> f64 {
        let expected = self.multiple * self.share(since) * capacity * self.fall.as_secs_f64();
        expected + self.slack * expected.sqrt() + self.slack
    }
}

/// What a call costs, in calls of one message: each message after the first adds `item_cost`.
pub(crate) fn call_weight(messages: usize, item_cost: f64) -> f64 {
    1.0 + item_cost * (messages as f64 - 1.0)
}

#[derive(Clone, Copy, Debug)]
struct WeightedCall {
    at: Duration,
    weight: f64,
}

/// Measures the load on one warming destination, and decides when it fails.
#[derive(Clone, Debug, Default)]
pub struct OverloadGuard {
    /// The end of the outage whose slow start is measured.
    recovered_at: Option<Duration>,
    /// Calls within the latest window.
    calls: VecDeque<WeightedCall>,
    total_weight: f64,
    fallen: bool,
}

impl OverloadGuard {
    /// Counts a call of this weight at `now` to a destination that has recovered at `recovered_at`, if it has; true if the
    /// call makes the destination fail.
    pub fn record_call(
        &mut self,
        ramp: &Return,
        now: Duration,
        recovered_at: Option<Duration>,
        weight: f64,
        capacity: f64,
    ) -> bool {
        if self.recovered_at != recovered_at {
            self.recovered_at = recovered_at;
            self.total_weight = 0.0;
            self.calls.clear();
        }
        let is_warming = |at: &Duration| now.saturating_sub(*at) < ramp.warm;
        let Some(recovered_at) = recovered_at.filter(is_warming) else {
            return false;
        };
        self.calls.push_back(WeightedCall { at: now, weight });
        self.total_weight += weight;
        while let Some(&call) = self.calls.front()
            && now.saturating_sub(call.at) >= ramp.fall
        {
            self.calls.pop_front();
            self.total_weight -= call.weight;
        }
        let overloaded = self.total_weight > ramp.budget(now - recovered_at, capacity);
        let falls = overloaded && !self.fallen;
        self.fallen |= overloaded;
        falls
    }

    /// Whether the destination has failed under overload; it stays so.
    pub fn fallen(&self) -> bool {
        self.fallen
    }
}
