//! A destination that comes back cold: what it can do then, and when it is pushed over.

use std::collections::VecDeque;
use std::time::Duration;

/// The figures of the rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Return {
    /// Share of its capacity with which it comes back.
    pub cold: f64,
    /// How long it takes to be warm.
    pub warm: Duration,
    /// More than so many times what it can do, for so long, and it falls over.
    pub multiple: f64,
    pub fall: Duration,
    /// Beyond the expected count N, `slack` times the root of N and `slack` more are put down to chance.
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
    /// Share of the capacity that is there so long after the outage: it rises evenly.
    pub fn share(&self, since: Duration) -> f64 {
        let warm = self.warm.as_secs_f64().max(1e-9);
        (self.cold + (1.0 - self.cold) * since.as_secs_f64() / warm).min(1.0)
    }

    /// What may be sent in the span that ends so long after the outage, at so many messages a second when warm.
    pub fn budget(&self, since: Duration, capacity: f64) -> f64 {
        let expected = self.multiple * self.share(since) * capacity * self.fall.as_secs_f64();
        expected + self.slack * expected.sqrt() + self.slack
    }
}

/// Counts what is sent to one destination that has come back.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    /// The end of the outage that is being watched.
    back: Option<Duration>,
    sent: VecDeque<(Duration, f64)>,
    total: f64,
    fallen: bool,
}

impl Guard {
    /// Notes so many messages sent at `now` to a destination that is back since then; true if that pushes it over.
    pub fn sent(
        &mut self,
        set: &Return,
        now: Duration,
        back: Option<Duration>,
        messages: f64,
        capacity: f64,
    ) -> bool {
        if self.back != back {
            (self.back, self.total) = (back, 0.0);
            self.sent.clear();
        }
        let Some(back) = back.filter(|&b| now.saturating_sub(b) < set.warm) else {
            return false;
        };
        self.sent.push_back((now, messages));
        self.total += messages;
        while let Some(&(at, old)) = self.sent.front()
            && now.saturating_sub(at) >= set.fall
        {
            self.sent.pop_front();
            self.total -= old;
        }
        let over = self.total > set.budget(now - back, capacity);
        let first = over && !self.fallen;
        self.fallen |= over;
        first
    }

    pub fn fallen(&self) -> bool {
        self.fallen
    }
}
