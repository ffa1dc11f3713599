//! Decides when idle connections are closed: because they may have broken unnoticed, or will not be reused soon.

use std::time::Duration;

use crate::api::{Settings, Status, Time};
use crate::endpoints::Endpoint;

/// Minimum of the idle limit, after which a connection is not reused.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(300);
/// Weight of one call in the moving average of calls lost after an idle time.
const LOSS_GAIN: f64 = 0.1;
/// Fraction of lost calls above which connections are assumed to break while idle.
const MAX_LOSS_SHARE: f64 = 0.25;
/// How long a connection shortage is assumed to last after it was detected.
const SHORTAGE_PERIOD: Duration = Duration::from_secs(60);
/// A connection is closed if the mean time between calls exceeds the idle limit times this.
const MAX_GAP_MULTIPLE: u32 = 3;

/// Statistics on idle connections, from calls sent after an idle time.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    /// A connection that was idle for longer is closed instead of reused.
    idle_limit: Duration,
    /// Moving average of the fraction of calls lost, among those sent after an idle time.
    loss_share: f64,
    /// For each destination kind: until when its endpoints are assumed to be short of connections.
    shortage_until: Vec<Time>,
}

impl IdleConnections {
    /// Statistics without any call.
    pub(crate) fn new(settings: &Settings, now: Time) -> IdleConnections {
        IdleConnections {
            idle_limit: settings.idle_timeout,
            loss_share: 0.0,
            shortage_until: vec![now; settings.kinds.len()],
        }
    }

    /// Whether a connection that was idle for this time must be closed instead of reused.
    pub(crate) fn is_idle_too_long(&self, idle: Duration) -> bool {
        idle > self.idle_limit
    }

    /// Records that endpoints of a kind are short of connections: they accept only few at a time.
    pub(crate) fn record_shortage(&mut self, kind: usize, now: Time) {
        if let Some(shortage_until) = self.shortage_until.get_mut(kind) {
            *shortage_until = now + SHORTAGE_PERIOD;
        }
    }

    /// Records the outcome of a call; true if the endpoint's idle connections must be closed.
    ///
    /// The idle limit is reduced to half of the endpoint's idle time when the fraction of lost calls, among those after an idle
    /// time to endpoints without preceding failures, exceeds [`MAX_LOSS_SHARE`]. Outages alone rarely reach that fraction.
    pub(crate) fn record_call(&mut self, endpoint: &Endpoint, status: Status) -> bool {
        let lost = match status {
            Status::TimedOut | Status::Reset | Status::IdleConnectionBroken => true,
            Status::Served
            | Status::Error
            | Status::Malformed
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

    /// Whether an idle endpoint's connection will probably be reused soon enough to keep it. In a connection shortage, all
    /// senders together keep about as many as one sender would otherwise.
    pub(crate) fn is_worth_keeping(
        &self,
        endpoint: &Endpoint,
        settings: &Settings,
        now: Time,
    ) -> bool {
        let listed_for = now - endpoint.listed_at + settings.idle_timeout;
        let mean_gap = listed_for / endpoint.calls_sent.max(1);
        let shortage = self
            .shortage_until
            .get(endpoint.kind)
            .is_some_and(|&until| now < until);
        let sharing_senders = if shortage { settings.instances } else { 1 };
        mean_gap * sharing_senders <= self.idle_limit * MAX_GAP_MULTIPLE
    }
}
