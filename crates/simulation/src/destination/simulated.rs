//! The model of a destination: it receives connections and calls, and determines the replies and their times.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use super::endpoint::Endpoint;
use super::reply::{Asked, Connect, DeliveryOutcome, Fell, Reply, Spoilt};
use super::spec::Spec;
use crate::fault::{Fault, State, latest_recovery};
use crate::limit::CallLimiter;
use crate::return_guard::{OverloadGuard, call_weight};
use crate::time::seconds;

/// Failures and rejections occupy no worker and are sent within this time.
const MAX_QUICK_REPLY: Duration = Duration::from_millis(4);
/// The shortest `Retry-After`, so that a stated wait is never 0.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// A load report and the time at which it was computed.
#[derive(Clone, Copy, Debug)]
struct CachedReport {
    computed_at: Duration,
    report: (f64, f64),
}

/// A simulated destination with its current state. All times are since the start of the scenario.
#[derive(Clone, Debug)]
pub struct SimulatedDestination {
    spec: Spec,
    endpoints: Vec<Endpoint>,
    /// One limiter for all endpoints, or one for each endpoint.
    limiters: Vec<CallLimiter>,
    guard: OverloadGuard,
    /// Latest load report, by index of the limiter.
    reports: BTreeMap<usize, CachedReport>,
    rng: ChaCha8Rng,
}

impl SimulatedDestination {
    /// Creates a destination; `faults` are listed by endpoint. `rng` must not be shared with other models, so that their draws
    /// do not change those of this one.
    pub fn new(spec: Spec, faults: Vec<Vec<Fault>>, rng: ChaCha8Rng) -> SimulatedDestination {
        let count = spec.endpoints.max(1);
        // Little's law: an endpoint's share of the capacity times the mean service time is the mean number of busy workers.
        let concurrency = spec.capacity * spec.pace.as_secs_f64() / count as f64;
        let workers = concurrency.ceil() as usize;
        let mut faults = faults.into_iter();
        let endpoints = (0..count)
            .map(|_| Endpoint::new(faults.next().unwrap_or_default(), workers))
            .collect();
        let limiters = vec![CallLimiter::new(spec.limit); if spec.shared { 1 } else { count }];
        SimulatedDestination {
            spec,
            endpoints,
            limiters,
            guard: OverloadGuard::default(),
            reports: BTreeMap::new(),
            rng,
        }
    }

    /// The properties of the destination.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Capacity at `now` in messages per second: 0 during an outage, and after a failure under overload.
    pub fn capacity(&self, now: Duration) -> f64 {
        if self.guard.has_failed() {
            return 0.0;
        }
        let each = self.spec.capacity / self.endpoints.len() as f64;
        let capacity = |endpoint: &Endpoint| {
            let state = endpoint.state(now);
            if state.is_down() {
                0.0
            } else {
                each * self.warm_share(endpoint, now) / state.slowdown.max(1e-9)
            }
        };
        self.endpoints.iter().map(capacity).sum()
    }

    /// The available share of an endpoint's capacity, 0 to 1: below 1 while it warms up.
    fn warm_share(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let recovered_at = latest_recovery(&endpoint.faults, now);
        recovered_at.map_or(1.0, |at| self.spec.back.share(now - at))
    }

    /// The end of the latest outage; `None` while any endpoint has an outage, or if some endpoint had none yet.
    pub fn back(&self, now: Duration) -> Option<Duration> {
        let mut latest = None;
        for endpoint in &self.endpoints {
            latest = latest.max(Some(latest_recovery(&endpoint.faults, now)?));
        }
        latest
    }

    /// The combined effect of the faults of an endpoint that are active at `now`.
    pub fn state(&self, endpoint: usize, now: Duration) -> State {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.map_or_else(|| State::of(&[], now), |endpoint| endpoint.state(now))
    }

    /// Whether the destination has failed under overload. The failure is permanent.
    pub fn has_failed(&self) -> bool {
        self.guard.has_failed()
    }

    /// Opens a connection to an endpoint. Each result [`Connect::Up`] needs a [`disconnect`](Self::disconnect) later.
    pub fn connect(&mut self, now: Duration, endpoint: usize) -> Connect {
        let has_failed = self.guard.has_failed();
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return Connect::Refused;
        };
        let state = endpoint.state(now);
        if state.vanished {
            return Connect::Nothing;
        }
        let max_connections = self.spec.connections;
        let is_full = max_connections.is_some_and(|max| endpoint.connections >= max);
        if state.refusing || has_failed || is_full {
            return Connect::Refused;
        }
        endpoint.connections += 1;
        Connect::Up
    }

    /// Closes an established connection to an endpoint.
    pub fn disconnect(&mut self, endpoint: usize) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.connections = endpoint.connections.saturating_sub(1);
        }
    }

    /// The idle timeout of a connection that becomes idle at `now`; `None` if the endpoint keeps idle connections open.
    pub fn idle_patience(&mut self, now: Duration, endpoint: usize) -> Option<Duration> {
        let (least, most) = self.state(endpoint, now).close_idle?;
        Some(between(&mut self.rng, least, most))
    }

    /// The delay after which the reply that an endpoint sends at `now` arrives a second time; `None` if it does not.
    pub fn second_copy_delay(&mut self, now: Duration, endpoint: usize) -> Option<Duration> {
        let state = self.state(endpoint, now);
        let (least, most) = state.repeat_delay?;
        let is_repeated = self.rng.random_bool(state.repeated_share.clamp(0.0, 1.0));
        is_repeated.then(|| between(&mut self.rng, least, most))
    }

    /// Processes a complete call; returns the reply, and whether the call made the destination fail under overload.
    pub fn call(&mut self, now: Duration, asked: Asked) -> (Reply, Fell) {
        let messages = asked.messages.max(1);
        let state = self.state(asked.endpoint, now);
        if state.vanished || state.silent {
            return (Reply::Nothing, false);
        }
        let reset = Reply::Reset {
            at: now,
            executed: false,
        };
        if state.refusing || self.guard.has_failed() || asked.endpoint >= self.endpoints.len() {
            return (reset, false);
        }
        // Rejected calls also count as load on a destination that warms up.
        let recovered_at = self.back(now);
        let weight = call_weight(messages, self.spec.item_cost);
        let ramp = &self.spec.back;
        let capacity = self.spec.capacity;
        if self
            .guard
            .record_call(ramp, now, recovered_at, weight, capacity)
        {
            return (reset, true);
        }
        (self.reply(now, asked.endpoint, messages, &state), false)
    }

    fn reply(&mut self, now: Duration, endpoint: usize, messages: usize, state: &State) -> Reply {
        if let Some(until) = state.blocked_until {
            return self.rejection(now, endpoint, messages, Some(until));
        }
        let limiter = self.limiter_index(endpoint);
        let limiter = &mut self.limiters[limiter];
        limiter.scale(now, state.lower);
        if let Err(reached) = limiter.admit(now, self.spec.charge_refused) {
            return self.rejection(now, endpoint, messages, Some(reached.retry_at));
        }
        if self.rng.random_bool(state.failing_share.clamp(0.0, 1.0)) {
            let at = quick_reply_at(&mut self.rng, now);
            let outcomes = vec![DeliveryOutcome::Failed; messages];
            return self.answer(now, endpoint, at, outcomes, None);
        }
        let work = self.service_time(now, endpoint, messages, state);
        let max_queued = self.spec.queue;
        let Some(done_at) = self.endpoints[endpoint].assign(now, work, max_queued) else {
            return self.rejection(now, endpoint, messages, None);
        };
        if self.rng.random_bool(state.malformed_share.clamp(0.0, 1.0)) {
            let how = self.malformation();
            return Reply::Spoilt { at: done_at, how };
        }
        let outcomes = vec![DeliveryOutcome::Done; messages];
        self.answer(now, endpoint, done_at, outcomes, None)
    }

    fn malformation(&mut self) -> Spoilt {
        match self.rng.random_range(0..4u8) {
            0 => Spoilt::Garbage,
            1 => Spoilt::CutOff,
            2 => Spoilt::Stalls,
            _ => Spoilt::Trailing,
        }
    }

    /// Draws the service time of a call from a log-normal distribution. Its mean grows with the number of messages and with
    /// the slowdown of the endpoint, and while the endpoint warms up.
    fn service_time(
        &mut self,
        now: Duration,
        endpoint: usize,
        messages: usize,
        state: &State,
    ) -> Duration {
        let spread = self.spec.spread.max(0.0);
        let draw = LogNormal::from_mean_cv(1.0, spread).map_or(1.0, |d| d.sample(&mut self.rng));
        let weight = call_weight(messages, self.spec.item_cost);
        let warm_share = self.warm_share(&self.endpoints[endpoint], now).max(1e-3);
        seconds(self.spec.pace.as_secs_f64() * draw * weight * state.slowdown / warm_share)
    }

    /// Rejects a call. `retry_at` is when the limit admits the next call, if the limit determines that.
    fn rejection(
        &mut self,
        now: Duration,
        endpoint: usize,
        messages: usize,
        retry_at: Option<Duration>,
    ) -> Reply {
        let probability = self.spec.sends_retry_after.clamp(0.0, 1.0);
        let has_retry_after = self.rng.random_bool(probability);
        let (least, most) = self.spec.wait;
        let drawn = between(&mut self.rng, least, most);
        let retry_after = retry_at.map_or(drawn, |at| at.saturating_sub(now));
        let retry_after = has_retry_after.then(|| retry_after.max(MIN_RETRY_AFTER));
        let at = quick_reply_at(&mut self.rng, now);
        let outcomes = vec![DeliveryOutcome::Busy; messages];
        self.answer(now, endpoint, at, outcomes, retry_after)
    }

    fn answer(
        &mut self,
        now: Duration,
        endpoint: usize,
        at: Duration,
        outcomes: Vec<DeliveryOutcome>,
        retry_after: Option<Duration>,
    ) -> Reply {
        let refresh = self.spec.reports;
        Reply::Answer {
            at,
            outcomes,
            wait: retry_after,
            report: refresh.map(|refresh| self.load_report(now, endpoint, refresh)),
        }
    }

    /// The load report of an endpoint, which is computed at most once in each interval `refresh`.
    fn load_report(&mut self, now: Duration, endpoint: usize, refresh: Duration) -> (f64, f64) {
        let limiter = self.limiter_index(endpoint);
        if let Some(cached) = self.reports.get(&limiter)
            && now.saturating_sub(cached.computed_at) < refresh
        {
            return cached.report;
        }
        let report = self.limiters[limiter].load_report(now);
        let computed_at = now;
        self.reports.insert(
            limiter,
            CachedReport {
                computed_at,
                report,
            },
        );
        report
    }

    fn limiter_index(&self, endpoint: usize) -> usize {
        if self.spec.shared { 0 } else { endpoint }
    }
}

/// Draws the time of a reply that needs no worker.
fn quick_reply_at(rng: &mut impl Rng, now: Duration) -> Duration {
    now + between(rng, MAX_QUICK_REPLY / 4, MAX_QUICK_REPLY)
}

/// Draws a duration from a uniform distribution, bounds included.
fn between(rng: &mut impl Rng, least: Duration, most: Duration) -> Duration {
    if most <= least {
        return least;
    }
    let span = (most - least).as_nanos().min(u128::from(u64::MAX)) as u64;
    least + Duration::from_nanos(rng.random_range(0..=span))
}
