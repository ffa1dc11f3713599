//! Faults of endpoints, and how several at once combine.

use std::time::Duration;

/// A destination of which more calls than this share fail counts as down, 0 to 1.
const MAX_FAILING_SHARE_UP: f64 = 0.5;

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// The machine is unreachable: connections are never established, open ones are silent, nothing is reset.
    Vanish,
    /// The process is dead: connections are refused, open ones are reset.
    Refuse,
    /// Connections are accepted and calls are read; nothing is ever answered.
    Silent,
    /// Every call is rejected as overloaded.
    Closed,
    /// Some calls fail quickly, and are possibly executed.
    Fail {
        /// Share of the calls, 0 to 1.
        share: f64,
    },
    /// Some replies are malformed HTTP.
    Spoil {
        /// Share of the replies, 0 to 1.
        share: f64,
    },
    /// Each call takes longer.
    Slow {
        /// How many times as long.
        factor: f64,
    },
    /// The limit is lower, and load reports say so.
    Lower {
        /// The part of the limit that remains, 0 to 1.
        factor: f64,
    },
    /// Idle connections are closed.
    CloseIdle {
        /// After at least this long.
        least: Duration,
        /// After at most this long.
        most: Duration,
    },
}

/// A fault at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What is wrong.
    pub kind: Kind,
    /// When it begins, since the start of the scenario.
    pub start: Duration,
    /// How long it lasts.
    pub length: Duration,
}

impl Fault {
    /// When it is over, since the start of the scenario.
    pub fn end(&self) -> Duration {
        self.start.saturating_add(self.length)
    }

    /// Whether it is on at `now`.
    pub fn is_on(&self, now: Duration) -> bool {
        (self.start..self.end()).contains(&now)
    }

    /// Whether the endpoint warms up after it: it was down, silent or rejected everything, or most calls failed.
    pub fn is_outage(&self) -> bool {
        match self.kind {
            Kind::Vanish | Kind::Refuse | Kind::Silent | Kind::Closed => true,
            Kind::Fail { share } => share > MAX_FAILING_SHARE_UP,
            Kind::Spoil { .. }
            | Kind::Slow { .. }
            | Kind::Lower { .. }
            | Kind::CloseIdle { .. } => false,
        }
    }
}

/// The faults of an endpoint that are on, combined.
///
/// The gravest decides whether there is a reply at all. Factors multiply, and the shares of calls that fail or are
/// malformed are independent of each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Unreachable.
    pub vanished: bool,
    /// Connections are refused.
    pub refusing: bool,
    /// Nothing is answered.
    pub silent: bool,
    /// Every call is rejected until the end of the last fault that does so.
    pub blocked_until: Option<Duration>,
    /// Share of the calls that fail, 0 to 1.
    pub fail: f64,
    /// Share of the replies that are malformed, 0 to 1.
    pub spoil: f64,
    /// How many times as long each call takes.
    pub slow: f64,
    /// The part of the limit that remains, 0 to 1.
    pub lower: f64,
    /// The shortest and the longest time after which an idle connection is closed.
    pub close_idle: Option<(Duration, Duration)>,
}

impl State {
    /// What these faults come to at `now`.
    pub fn of(faults: &[Fault], now: Duration) -> State {
        let mut state = State {
            vanished: false,
            refusing: false,
            silent: false,
            blocked_until: None,
            fail: 0.0,
            spoil: 0.0,
            slow: 1.0,
            lower: 1.0,
            close_idle: None,
        };
        for fault in faults.iter().filter(|f| f.is_on(now)) {
            state.add(fault);
        }
        state
    }

    fn add(&mut self, fault: &Fault) {
        match fault.kind {
            Kind::Vanish => self.vanished = true,
            Kind::Refuse => self.refusing = true,
            Kind::Silent => self.silent = true,
            Kind::Closed => self.blocked_until = self.blocked_until.max(Some(fault.end())),
            Kind::Fail { share } => self.fail = either(self.fail, share),
            Kind::Spoil { share } => self.spoil = either(self.spoil, share),
            Kind::Slow { factor } => self.slow *= factor.max(0.0),
            Kind::Lower { factor } => self.lower *= factor.clamp(0.0, 1.0),
            Kind::CloseIdle { least, most } => {
                let (other_least, other_most) = self.close_idle.unwrap_or((least, most));
                self.close_idle = Some((other_least.min(least), other_most.min(most)));
            }
        }
    }

    /// Whether nothing that is sent now is replied to as it should be.
    pub fn is_down(&self) -> bool {
        self.vanished || self.refusing || self.silent || self.blocked_until.is_some()
    }
}

/// The probability of at least one of two independent events.
fn either(one: f64, other: f64) -> f64 {
    1.0 - (1.0 - one) * (1.0 - other)
}

fn outages(faults: &[Fault]) -> impl Iterator<Item = &Fault> {
    faults
        .iter()
        .filter(|f| f.is_outage() && f.length > Duration::ZERO)
}

/// When the latest outage that has ended by `now` ended; `None` during one, or if there was none. Faults that overlap or
/// touch are one outage.
pub fn latest_recovery(faults: &[Fault], now: Duration) -> Option<Duration> {
    if outages(faults).any(|f| f.is_on(now)) {
        return None;
    }
    let ends = outages(faults).map(Fault::end);
    ends.filter(|&end| end <= now).max()
}

/// The outage that is on at `now`, or the latest one before: from the first fault's start to the last one's end.
pub fn latest_outage(faults: &[Fault], now: Duration) -> Option<(Duration, Duration)> {
    let begun = outages(faults).filter(|f| f.start <= now);
    let mut spans: Vec<(Duration, Duration)> = begun.map(|f| (f.start, f.end())).collect();
    spans.sort_unstable();
    let mut latest: Option<(Duration, Duration)> = None;
    for (start, end) in spans {
        latest = match latest {
            Some((first, last)) if start <= last => Some((first, last.max(end))),
            _ => Some((start, end)),
        };
    }
    latest
}
