//! Faults of endpoints, and the combined effect of overlapping faults.

use std::time::Duration;

/// A fault that fails more than this share of the calls (0 to 1) is an outage.
const OUTAGE_FAILING_SHARE: f64 = 0.5;

/// A kind of fault, with its parameters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// The machine is unreachable: new connections are never established, open ones receive nothing, and none is reset.
    Vanish,
    /// The process is not running: new connections are refused, and open ones are reset.
    Refuse,
    /// The process hangs: connections are accepted and calls are read, but never answered.
    Silent,
    /// Every call is rejected as overloaded.
    Closed,
    /// Some calls fail quickly and are possibly executed.
    Fail {
        /// Share of the calls that fail, 0 to 1.
        share: f64,
    },
    /// Some replies are malformed HTTP.
    Spoil {
        /// Share of the replies that are malformed, 0 to 1.
        share: f64,
    },
    /// The service time of each call is longer.
    Slow {
        /// Factor by which the service time is multiplied, at least 0.
        factor: f64,
    },
    /// The admission limit is lower; load reports contain the lower limit.
    Lower {
        /// Share of the limit that remains, 0 to 1.
        factor: f64,
    },
    /// Some replies arrive a second time shortly afterwards, also if the sender has sent its next call meanwhile.
    Repeat {
        /// Share of the replies that arrive twice, 0 to 1.
        share: f64,
        /// Shortest delay of the second copy.
        least: Duration,
        /// Longest delay of the second copy.
        most: Duration,
    },
    /// Idle connections are closed.
    CloseIdle {
        /// Shortest idle timeout.
        least: Duration,
        /// Longest idle timeout.
        most: Duration,
    },
}

/// A fault at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: Kind,
    /// When the fault begins, since the start of the scenario.
    pub start: Duration,
    /// Duration of the fault.
    pub length: Duration,
}

impl Fault {
    /// When the fault ends (exclusive), since the start of the scenario.
    pub fn end(&self) -> Duration {
        self.start.saturating_add(self.length)
    }

    /// Whether the fault is active at `now`.
    pub fn is_on(&self, now: Duration) -> bool {
        (self.start..self.end()).contains(&now)
    }

    /// Whether the fault is an outage, after which the endpoint warms up: the endpoint is down, answers nothing, rejects every
    /// call, or fails most calls.
    pub fn is_outage(&self) -> bool {
        match self.kind {
            Kind::Vanish | Kind::Refuse | Kind::Silent | Kind::Closed => true,
            Kind::Fail { share } => share > OUTAGE_FAILING_SHARE,
            Kind::Spoil { .. }
            | Kind::Slow { .. }
            | Kind::Lower { .. }
            | Kind::Repeat { .. }
            | Kind::CloseIdle { .. } => false,
        }
    }
}

/// The combined effect of the active faults of an endpoint.
///
/// Factors of overlapping faults multiply. Shares of failing calls or malformed replies combine as probabilities of
/// independent events. The order of the faults does not matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// The endpoint is unreachable.
    pub vanished: bool,
    /// New connections are refused, and open ones are reset.
    pub refusing: bool,
    /// Calls are never answered.
    pub silent: bool,
    /// Every call is rejected until then, the latest end of the faults [`Kind::Closed`]; `None` if there is no such fault.
    pub blocked_until: Option<Duration>,
    /// Share of the calls that fail, 0 to 1.
    pub failing_share: f64,
    /// Share of the replies that are malformed, 0 to 1.
    pub malformed_share: f64,
    /// Factor by which the service time of each call is multiplied.
    pub slowdown: f64,
    /// Share of the admission limit that remains, 0 to 1.
    pub lower: f64,
    /// Share of the replies that arrive twice, 0 to 1.
    pub repeated_share: f64,
    /// Shortest and longest delay of a reply's second copy; `None` if no reply arrives twice.
    pub repeat_delay: Option<(Duration, Duration)>,
    /// Shortest and longest timeout of idle connections; `None` if they stay open.
    pub close_idle: Option<(Duration, Duration)>,
}

impl State {
    /// Combines the faults that are active at `now`.
    pub fn of(faults: &[Fault], now: Duration) -> State {
        let mut state = State {
            vanished: false,
            refusing: false,
            silent: false,
            blocked_until: None,
            failing_share: 0.0,
            malformed_share: 0.0,
            slowdown: 1.0,
            lower: 1.0,
            repeated_share: 0.0,
            repeat_delay: None,
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
            Kind::Fail { share } => self.failing_share = either(self.failing_share, share),
            Kind::Spoil { share } => self.malformed_share = either(self.malformed_share, share),
            Kind::Slow { factor } => self.slowdown *= factor.max(0.0),
            Kind::Lower { factor } => self.lower *= factor.clamp(0.0, 1.0),
            Kind::Repeat { share, least, most } => {
                self.repeated_share = either(self.repeated_share, share);
                self.repeat_delay = Some(shortest(self.repeat_delay, least, most));
            }
            Kind::CloseIdle { least, most } => {
                self.close_idle = Some(shortest(self.close_idle, least, most));
            }
        }
    }

    /// Whether no call can succeed: the endpoint is unreachable, refuses connections, answers nothing or rejects every call.
    pub fn is_down(&self) -> bool {
        self.vanished || self.refusing || self.silent || self.blocked_until.is_some()
    }
}

/// The shorter bounds of two ranges of times; the new range alone if there is no other.
fn shortest(
    other: Option<(Duration, Duration)>,
    least: Duration,
    most: Duration,
) -> (Duration, Duration) {
    let (other_least, other_most) = other.unwrap_or((least, most));
    (other_least.min(least), other_most.min(most))
}

/// The probability of at least one of two independent events.
fn either(one: f64, other: f64) -> f64 {
    1.0 - (1.0 - one) * (1.0 - other)
}

/// The faults that are outages and have a duration.
fn outages(faults: &[Fault]) -> impl Iterator<Item = &Fault> {
    faults
        .iter()
        .filter(|f| f.is_outage() && f.length > Duration::ZERO)
}

/// The end of the latest outage that ended by `now`; `None` during an outage, or if there was none. Faults that overlap or
/// adjoin count as one outage.
pub fn latest_recovery(faults: &[Fault], now: Duration) -> Option<Duration> {
    if outages(faults).any(|f| f.is_on(now)) {
        return None;
    }
    let ends = outages(faults).map(Fault::end);
    ends.filter(|&end| end <= now).max()
}

/// Start and end of the current outage at `now`, or of the latest one before. Faults that overlap or adjoin and have begun
/// by `now` count as one outage.
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
