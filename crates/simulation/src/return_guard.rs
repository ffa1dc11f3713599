//! Slow start of a destination after an outage: its reduced capacity, and the overload that makes it fail.

use std::collections::VecDeque;
use std::time::Duration;

/// How a destination warms up after an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Return {
    /// Share of the capacity available at the end of the outage, 0 to 1.
    pub cold: f64,
    /// Time from the end of the outage until the whole capacity is available.
    pub warm: Duration,
    /// The destination fails at a load above this multiple of its current capacity.
    pub multiple: f64,
    /// Window over which the load is measured.
    pub fall: Duration,
    /// Tolerance for random arrivals: with this value c and N expected calls, c * sqrt(N) + c further calls are allowed.
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
    /// The available share of the capacity at this time after the outage; it rises linearly from `cold` to 1.
    pub fn share(&self, elapsed: Duration) -> f64 {
        let warm = self.warm.as_secs_f64().max(1e-9);
        (self.cold + (1.0 - self.cold) * elapsed.as_secs_f64() / warm).min(1.0)
    }

    /// The number of calls allowed in the window that ends at this time after the outage; `capacity` is in calls per second
    /// when warm.
    pub fn budget(&self, elapsed: Duration, capacity: f64) -> f64 {
        let expected = self.multiple * self.share(elapsed) * capacity * self.fall.as_secs_f64();
        expected + self.slack * expected.sqrt() + self.slack
    }
}

/// The cost of a call, in calls of one message: each message after the first adds `item_cost`.
pub(crate) fn call_weight(messages: usize, item_cost: f64) -> f64 {
    1.0 + item_cost * (messages as f64 - 1.0)
}

#[derive(Clone, Copy, Debug)]
struct WeightedCall {
    at: Duration,
    weight: f64,
}

/// Measures the load on a destination that warms up, and detects the overload that makes it fail.
#[derive(Clone, Debug, Default)]
pub struct OverloadGuard {
    /// End of the outage after which the load is being measured.
    recovered_at: Option<Duration>,
    /// Calls within the current window.
    calls: VecDeque<WeightedCall>,
    total_weight: f64,
    has_failed: bool,
}

impl OverloadGuard {
    /// Counts a call of this weight at `now`; returns true if the call makes the destination fail. `recovered_at` is the end
    /// of the latest outage, `capacity` is in calls per second when warm.
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
        let fails_now = overloaded && !self.has_failed;
        self.has_failed |= overloaded;
        fails_now
    }

    /// Whether the destination has failed under overload. The failure is permanent.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }
}
