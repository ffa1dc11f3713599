//! Decides when idle connections are closed: those that may have broken unnoticed, and those that are hardly used again.

use std::time::Duration;

use crate::api::{Settings, Status, Time};
use crate::endpoints::Endpoint;

/// The shortest idle time after which a connection is distrusted.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(300);
/// Weight of one call in the average of calls lost after an idle time.
const LOSS_GAIN: f64 = 0.1;
/// Share of lost calls that shows that connections break while idle.
const MAX_LOSS_SHARE: f64 = 0.25;
/// How long a failed connection counts as evidence that its kind of destination is short of connections.
const SHORTAGE_PERIOD: Duration = Duration::from_secs(60);
/// A connection is not worth keeping where the mean time between calls exceeds the idle limit times this.
const MAX_GAP_MULTIPLE: u32 = 3;

/// What calls after an idle time have shown of connections.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    /// A connection idle for longer is closed before use.
    idle_limit: Duration,
    /// Recent share of calls lost among those sent after an idle time.
    loss_share: f64,
    /// For each kind of destination: its endpoints are short of connections until then.
    shortage_until: Vec<Time>,
}

impl IdleConnections {
    /// Before the first call.
    pub(crate) fn new(settings: &Settings, now: Time) -> IdleConnections {
        IdleConnections {
            idle_limit: settings.conn_idle,
            loss_share: 0.0,
            shortage_until: vec![now; settings.kinds.len()],
        }
    }

    /// Whether a connection idle for this time must be closed before use.
    pub(crate) fn is_distrusted(&self, idle: Duration) -> bool {
        idle > self.idle_limit
    }

    /// Records that endpoints of a kind are short of connections.
    pub(crate) fn record_shortage(&mut self, kind: usize, now: Time) {
        if let Some(shortage_until) = self.shortage_until.get_mut(kind) {
            *shortage_until = now + SHORTAGE_PERIOD;
        }
    }

    /// Records the outcome of a call; true if the endpoint's idle connections must be closed.
    ///
    /// Once a fair share of calls after an idle time is lost at endpoints that did not fail before, the idle limit is
    /// halved. Outages alone seldom reach that share.
    pub(crate) fn record_call(&mut self, endpoint: &Endpoint, status: Status) -> bool {
        let lost = match status {
            Status::TimedOut | Status::Reset | Status::Dropped => true,
            Status::Served
            | Status::Error
            | Status::Spoilt
            | Status::RecipientRemoved
            | Status::PermanentError => false,
            Status::Overloaded | Status::NoConnection | Status::Cancelled | Status::NotSent => {
                return false;
            }
        };
        if endpoint.idle_before_call <= MIN_IDLE_LIMIT || endpoint.consecutive_failures > 0 {
            return false;
        }
        self.loss_share += LOSS_GAIN * (f64::from(u8::from(lost)) - self.loss_share);
        if !lost || self.loss_share <= MAX_LOSS_SHARE {
            return false;
        }
        self.idle_limit = self
            .idle_limit
            .min(endpoint.idle_before_call / 2)
            .max(MIN_IDLE_LIMIT);
        endpoint.in_flight == 0
    }

    /// Whether an idle endpoint's connection is worth keeping: it will be used again soon. Where connections are short, all
    /// senders together keep no more than one would.
    pub(crate) fn is_worth_keeping(
        &self,
        endpoint: &Endpoint,
        settings: &Settings,
        now: Time,
    ) -> bool {
        let listed_for = now - endpoint.listed_at + settings.conn_idle;
        let mean_gap = listed_for / endpoint.calls_sent.max(1);
        let shortage = self
            .shortage_until
            .get(endpoint.kind)
            .is_some_and(|&until| now < until);
        let sharers = if shortage { settings.instances } else { 1 };
        mean_gap * sharers <= self.idle_limit * MAX_GAP_MULTIPLE
    }
}
