//! What may go wrong at an endpoint, and what several faults at once come to.

use std::time::Duration;

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// The machine is silent: connections never come up, open ones say nothing, nothing is reset.
    Vanish,
    /// The process is dead: connections are refused, open ones are reset.
    Refuse,
    /// Connections come up and calls are read; nothing is ever answered.
    Silent,
    /// Every call is turned away as full.
    Closed,
    /// This share of the calls fails quickly; they may have been executed.
    Fail { share: f64 },
    /// This share of the answers is no proper HTTP.
    Spoil { share: f64 },
    /// Everything takes so many times as long.
    Slow { factor: f64 },
    /// The limit is so much of what it was, and is told so.
    Lower { factor: f64 },
    /// Connections that were idle for a time between these are closed without a word.
    CloseIdle { least: Duration, most: Duration },
}

/// A fault at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub kind: Kind,
    pub start: Duration,
    pub length: Duration,
}

impl Fault {
    pub fn end(&self) -> Duration {
        self.start.saturating_add(self.length)
    }

    pub fn is_on(&self, now: Duration) -> bool {
        (self.start..self.end()).contains(&now)
    }

    /// Whether the endpoint comes back cold from it: it was down, silent or shut, or most calls failed.
    pub fn is_outage(&self) -> bool {
        match self.kind {
            Kind::Vanish | Kind::Refuse | Kind::Silent | Kind::Closed => true,
            Kind::Fail { share } => share > 0.5,
            Kind::Spoil { .. }
            | Kind::Slow { .. }
            | Kind::Lower { .. }
            | Kind::CloseIdle { .. } => false,
        }
    }
}

/// What the faults that are on come to. The gravest decides whether there is an answer; slowness multiplies with all
/// that still answer, lowered limits with each other, and shares of calls that fail or spoil are independent of each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    pub vanished: bool,
    pub refusing: bool,
    pub silent: bool,
    /// Until when, if it is shut: the end of the last fault that shuts it.
    pub blocked_until: Option<Duration>,
    pub fail: f64,
    pub spoil: f64,
    pub slow: f64,
    /// Share of its limit that it keeps.
    pub lower: f64,
    /// The shortest span after which an idle connection may be closed, and the longest.
    pub close_idle: Option<(Duration, Duration)>,
}

impl State {
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
            match fault.kind {
                Kind::Vanish => state.vanished = true,
                Kind::Refuse => state.refusing = true,
                Kind::Silent => state.silent = true,
                Kind::Closed => state.blocked_until = state.blocked_until.max(Some(fault.end())),
                Kind::Fail { share } => state.fail = 1.0 - (1.0 - state.fail) * (1.0 - share),
                Kind::Spoil { share } => state.spoil = 1.0 - (1.0 - state.spoil) * (1.0 - share),
                Kind::Slow { factor } => state.slow *= factor.max(0.0),
                Kind::Lower { factor } => state.lower *= factor.clamp(0.0, 1.0),
                Kind::CloseIdle { least, most } => {
                    let (a, b) = state.close_idle.unwrap_or((least, most));
                    state.close_idle = Some((a.min(least), b.min(most)));
                }
            }
        }
        state
    }

    /// Nothing that is sent now is answered as it should be.
    pub fn is_down(&self) -> bool {
        self.vanished || self.refusing || self.silent || self.blocked_until.is_some()
    }
}

/// When the latest outage that has ended by `now` did so; `None` while one is on, or if there was none. Faults that
/// overlap or touch are one outage.
pub fn back_since(faults: &[Fault], now: Duration) -> Option<Duration> {
    let outages = || {
        faults
            .iter()
            .filter(|f| f.is_outage() && f.length > Duration::ZERO)
    };
    if outages().any(|f| f.is_on(now)) {
        return None;
    }
    outages().map(Fault::end).filter(|&end| end <= now).max()
}

/// The outage that is on at `now`, or the last one before: from the first fault's start to the last one's end.
pub fn outage_before(faults: &[Fault], now: Duration) -> Option<(Duration, Duration)> {
    let mut spans: Vec<(Duration, Duration)> = faults
        .iter()
        .filter(|f| f.is_outage() && f.length > Duration::ZERO && f.start <= now)
        .map(|f| (f.start, f.end()))
        .collect();
    spans.sort_unstable();
    let mut last: Option<(Duration, Duration)> = None;
    for (start, end) in spans {
        last = match last {
            Some((from, to)) if start <= to => Some((from, to.max(end))),
            _ => Some((start, end)),
        };
    }
    last
}
