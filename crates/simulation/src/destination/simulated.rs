//! A simulated destination.

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

/// Failures and rejections take no work, and are sent within this.
const MAX_QUICK_REPLY: Duration = Duration::from_millis(4);
/// The shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// A load report, and when it was read.
#[derive(Clone, Copy, Debug)]
struct CachedReport {
    read_at: Duration,
    report: (f64, f64),
}

/// A destination in use. Times are since the start of the scenario.
#[derive(Clone, Debug)]
pub struct SimulatedDestination {
    spec: Spec,
    endpoints: Vec<Endpoint>,
    /// One for all endpoints, or one for each.
    limiters: Vec<CallLimiter>,
    guard: OverloadGuard,
    /// By index of the allowance.
    reports: BTreeMap<usize, CachedReport>,
    rng: ChaCha8Rng,
}

impl SimulatedDestination {
    /// A destination with these faults, by endpoint. The generator is its own, so that nothing else changes its draws.
    pub fn new(spec: Spec, faults: Vec<Vec<Fault>>, rng: ChaCha8Rng) -> SimulatedDestination {
        let count = spec.endpoints.max(1);
        // As many workers as use an endpoint's part of the capacity up at the mean pace.
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

    /// What it was set up with.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Messages a second that it can execute at `now`: 0 while down and once it has failed under overload.
    pub fn capacity(&self, now: Duration) -> f64 {
        if self.guard.fallen() {
            return 0.0;
        }
        let each = self.spec.capacity / self.endpoints.len() as f64;
        let capacity = |endpoint: &Endpoint| {
            let state = endpoint.state(now);
            if state.is_down() {
                0.0
            } else {
                each * self.warm_share(endpoint, now) / state.slow.max(1e-9)
            }
        };
        self.endpoints.iter().map(capacity).sum()
    }

    /// The part of its capacity that an endpoint has while it warms up.
    fn warm_share(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let recovered_at = latest_recovery(&endpoint.faults, now);
        recovered_at.map_or(1.0, |at| self.spec.back.share(now - at))
    }

    /// The end of the latest outage of all its endpoints; `None` during one, or if there was none.
    pub fn back(&self, now: Duration) -> Option<Duration> {
        let mut latest = None;
        for endpoint in &self.endpoints {
            latest = latest.max(Some(latest_recovery(&endpoint.faults, now)?));
        }
        latest
    }

    /// The faults of an endpoint that are on at `now`, combined.
    pub fn state(&self, endpoint: usize, now: Duration) -> State {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.map_or_else(|| State::of(&[], now), |endpoint| endpoint.state(now))
    }

    /// Whether it has failed under overload; it stays so.
    pub fn fallen(&self) -> bool {
        self.guard.fallen()
    }

    /// A connection to an endpoint is opened; it counts if it is [`Connect::Up`].
    pub fn connect(&mut self, now: Duration, endpoint: usize) -> Connect {
        let fallen = self.guard.fallen();
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return Connect::Refused;
        };
        let state = endpoint.state(now);
        if state.vanished {
            return Connect::Nothing;
        }
        let max_connections = self.spec.connections;
        let is_full = max_connections.is_some_and(|max| endpoint.connections >= max);
        if state.refusing || fallen || is_full {
            return Connect::Refused;
        }
        endpoint.connections += 1;
        Connect::Up
    }

    /// A connection to an endpoint that was up is closed.
    pub fn disconnect(&mut self, endpoint: usize) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.connections = endpoint.connections.saturating_sub(1);
        }
    }

    /// How long a connection may be idle from `now` on before the endpoint closes it, if it does.
    pub fn idle_patience(&mut self, now: Duration, endpoint: usize) -> Option<Duration> {
        let (least, most) = self.state(endpoint, now).close_idle?;
        Some(between(&mut self.rng, least, most))
    }

    /// A call has arrived whole: the reply to it, and whether it made the destination fail under overload.
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
        if state.refusing || self.guard.fallen() || asked.endpoint >= self.endpoints.len() {
            return (reset, false);
        }
        // Also a call that is rejected is load on a destination that warms up.
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
        limiter.lower(now, state.lower);
        if let Err(full) = limiter.admit(now, self.spec.charge_refused) {
            return self.rejection(now, endpoint, messages, Some(full.retry_at));
        }
        if self.rng.random_bool(state.fail.clamp(0.0, 1.0)) {
            let at = quick_reply_at(&mut self.rng, now);
            let outcomes = vec![DeliveryOutcome::Failed; messages];
            return self.answer(now, endpoint, at, outcomes, None);
        }
        let work = self.work(now, endpoint, messages, state);
        let max_queued = self.spec.queue;
        let Some(done_at) = self.endpoints[endpoint].assign(now, work, max_queued) else {
            return self.rejection(now, endpoint, messages, None);
        };
        if self.rng.random_bool(state.spoil.clamp(0.0, 1.0)) {
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

    /// How long a worker needs for a call: log-normal about the mean, longer when slow, warming up or with many messages.
    fn work(&mut self, now: Duration, endpoint: usize, messages: usize, state: &State) -> Duration {
        let spread = self.spec.spread.max(0.0);
        let draw = LogNormal::from_mean_cv(1.0, spread).map_or(1.0, |d| d.sample(&mut self.rng));
        let weight = call_weight(messages, self.spec.item_cost);
        let warm_share = self.warm_share(&self.endpoints[endpoint], now).max(1e-3);
        seconds(self.spec.pace.as_secs_f64() * draw * weight * state.slow / warm_share)
    }

    /// A rejection of a call that may be repeated from `retry_at` on, if that is known.
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

    /// The load report of an endpoint, read again once it is as old as `refresh`.
    fn load_report(&mut self, now: Duration, endpoint: usize, refresh: Duration) -> (f64, f64) {
        let limiter = self.limiter_index(endpoint);
        if let Some(cached) = self.reports.get(&limiter)
            && now.saturating_sub(cached.read_at) < refresh
        {
            return cached.report;
        }
        let report = self.limiters[limiter].load_report(now);
        let read_at = now;
        self.reports
            .insert(limiter, CachedReport { read_at, report });
        report
    }

    fn limiter_index(&self, endpoint: usize) -> usize {
        if self.spec.shared { 0 } else { endpoint }
    }
}

/// When a reply that takes no work is sent.
fn quick_reply_at(rng: &mut impl Rng, now: Duration) -> Duration {
    now + between(rng, MAX_QUICK_REPLY / 4, MAX_QUICK_REPLY)
}

/// A duration drawn evenly between two.
fn between(rng: &mut impl Rng, least: Duration, most: Duration) -> Duration {
    if most <= least {
        return least;
    }
    let span = (most - least).as_nanos().min(u128::from(u64::MAX)) as u64;
    least + Duration::from_nanos(rng.random_range(0..=span))
}
