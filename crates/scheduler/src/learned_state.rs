//! Learned state: the window, limit, health and Retry-After wait of each route, as a sender observed them. Other senders and
//! restarted processes restore it.
//!
//! Restored state never makes a sender send more than one that starts without learned state, until the destination answers.
//! State handed over by another process of the same sender ([`SchedulerState::restore_handed_over`]) may also enlarge the
//! window.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api::{DestinationId, Rules, Time};
use crate::health::{HealthState, MIN_PROBE_PAUSE};
use crate::indices::RouteIndex;
use crate::routes::Route;
use crate::state::SchedulerState;
use crate::token_bucket::TokenBucket;

/// Period over which senders spread their first calls, as a multiple of the mean time between calls at a sender's quota. All
/// senders together then send first calls at a quarter of the limit, in case it was reduced to that meanwhile.
const FIRST_CALL_GAPS: f64 = 4.0;
/// Maximum of that period, in seconds, so that pending messages are not delayed for long. The period is never shorter than one
/// mean time between calls, so that no sender exceeds its quota.
const MAX_FIRST_CALL_SPREAD_SECONDS: f64 = 5.0;

/// Learned state of one destination, or of one endpoint if endpoints are separate routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Id of the destination, as in [`DestinationId`].
    pub destination: u64,
    /// Id of the endpoint if endpoints are separate routes, else `None`.
    pub route_id: Option<String>,
    /// When the destination last answered or a call to it failed. Gives the age of all fields but `blocked_until`.
    pub at: Time,
    /// Size of the window, in calls; `None` if the sender made no call.
    pub window: Option<f64>,
    /// The most recently reported limit, in calls a second for all senders together: infinite if an answer reported no limit,
    /// `None` without a report.
    pub limit: Option<f64>,
    /// When the route's current Retry-After wait ends; `None` without a wait.
    pub blocked_until: Option<Time>,
    /// Health of the route; `None` if the sender made no call.
    pub state: Option<ObservedHealth>,
}

/// Health of a destination, as observed by a sender.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObservedHealth {
    /// Neither in an outage nor in a slow start.
    Up,
    /// In an outage: the destination does not serve calls.
    Down,
    /// In the slow start after an outage that ended at this time.
    WarmingUp(Time),
}

impl From<HealthState> for ObservedHealth {
    fn from(state: HealthState) -> ObservedHealth {
        match state {
            HealthState::Up => ObservedHealth::Up,
            HealthState::Down { .. } => ObservedHealth::Down,
            HealthState::WarmingUp { since } => ObservedHealth::WarmingUp(since),
        }
    }
}

/// Identifies a route between processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RouteKey {
    destination: u64,
    /// Id of the endpoint if endpoints are separate routes.
    route_id: Option<String>,
}

impl LearnedState {
    fn route_key(&self) -> RouteKey {
        RouteKey {
            destination: self.destination,
            route_id: self.route_id.clone(),
        }
    }
}

impl SchedulerState {
    /// Learned state of the routes that this process has called, and of those with a Retry-After wait.
    pub(crate) fn learned_state(&self) -> Vec<LearnedState> {
        let mut learned = Vec::new();
        for destination in self.routes.learned_destinations() {
            let routes = self.routes.of_destination(destination).iter();
            learned
                .extend(routes.filter_map(|&route| self.learned_route_state(destination, route)));
        }
        learned
    }

    fn learned_route_state(
        &self,
        destination: DestinationId,
        route_index: RouteIndex,
    ) -> Option<LearnedState> {
        let route = &self.routes[route_index];
        let blocked_until = Some(route.blocked_until).filter(|until| *until > self.now);
        // A failed or rejected call reduces the window, so `window_reduced_at` is the time of the last one.
        let last_contact = route
            .endpoints
            .iter()
            .map(|&index| &self.endpoints[index])
            .filter(|endpoint| endpoint.calls_sent > 0)
            .map(|endpoint| endpoint.last_answer_at.max(route.window_reduced_at))
            .max();
        // A route that this process has not called can still have a Retry-After wait: a restored one, or one sent by an
        // endpoint that is removed by now. Nothing else is known of such a route.
        if last_contact.is_none() && blocked_until.is_none() {
            return None;
        }
        let called = last_contact.is_some();
        Some(LearnedState {
            destination: destination.0,
            route_id: self.route_id(route_index),
            at: last_contact.unwrap_or(self.now),
            window: called.then_some(route.window.size()),
            limit: route.demand.reported_limit().filter(|_| called),
            blocked_until,
            state: called.then_some(route.health.state().into()),
        })
    }

    /// Restores learned state of the listed routes and spreads the first calls to each over time: see
    /// [`Scheduler::restore`](crate::Scheduler::restore).
    pub(crate) fn restore(&mut self, now: Time, learned_state: &[LearnedState]) -> Time {
        self.advance_to(now);
        let learned_by_route: BTreeMap<RouteKey, &LearnedState> = learned_state
            .iter()
            .map(|learned| (learned.route_key(), learned))
            .collect();
        let route_indices: Vec<RouteIndex> = self.routes.indices().collect();
        let mut last_first_call = self.now;
        for route_index in route_indices {
            let learned = learned_by_route.get(&self.route_key(route_index)).copied();
            if let Some(first_call) = self.restore_route(route_index, learned) {
                last_first_call = last_first_call.max(first_call);
            }
        }
        last_first_call
    }

    /// Restores one route. Returns when its first call may be sent, or `None` if that is not delayed.
    fn restore_route(
        &mut self,
        route_index: RouteIndex,
        learned: Option<&LearnedState>,
    ) -> Option<Time> {
        let random_fraction = self.rng.f64();
        let jitter = self.jitter();
        let (now, rules) = (self.now, &self.settings.rules);
        let untried = self.routes[route_index]
            .endpoints
            .iter()
            .all(|&index| self.endpoints[index].calls_sent == 0);
        let route = &mut self.routes[route_index];
        if let Some(learned) = learned {
            // A Retry-After wait applies to all senders, whatever else this one has observed.
            route.block_until(learned.blocked_until.unwrap_or_default());
            if untried {
                route.restore(learned, now, rules, jitter);
            }
        }
        if !untried {
            return None;
        }
        // First calls are not spread without a rate limit, nor if the bucket is not full, as after an earlier restore, which
        // has set the time of the first call.
        let gap = 1.0 / route.allowed_rate(now, rules, self.settings.instances);
        if gap <= 0.0 || !gap.is_finite() || !route.token_bucket.is_full() {
            return None;
        }
        // The first call is sent at a random time within the spread.
        let spread = (FIRST_CALL_GAPS * gap).min(MAX_FIRST_CALL_SPREAD_SECONDS.max(gap));
        route.token_bucket =
            TokenBucket::with_first_token_after(now, gap, spread * random_fraction);
        Some(route.token_bucket.next_token_at())
    }

    /// Restores the state handed over by another process of this sender: see
    /// [`Scheduler::restore_handed_over`](crate::Scheduler::restore_handed_over).
    pub(crate) fn restore_handed_over(
        &mut self,
        now: Time,
        learned_state: Vec<LearnedState>,
    ) -> Vec<LearnedState> {
        self.advance_to(now);
        let routes: BTreeMap<RouteKey, RouteIndex> = self
            .routes
            .indices()
            .map(|index| (self.route_key(index), index))
            .collect();
        let mut unlisted = Vec::new();
        for learned in learned_state {
            if let Some(&route_index) = routes.get(&learned.route_key()) {
                self.inherit_route(route_index, &learned);
            } else if learned.blocked_until.is_some_and(|until| until > self.now) {
                unlisted.push(learned);
            }
        }
        unlisted
    }

    fn inherit_route(&mut self, route_index: RouteIndex, learned: &LearnedState) {
        let jitter = self.jitter();
        let route = &mut self.routes[route_index];
        route.block_until(learned.blocked_until.unwrap_or_default());
        route.restore(learned, self.now, &self.settings.rules, jitter);
        let size = learned.window.unwrap_or(route.window.size());
        route.window.set_size(size);
        route.proven_window = route.window.clone();
    }

    fn route_key(&self, route_index: RouteIndex) -> RouteKey {
        RouteKey {
            destination: self.routes[route_index].destination.0,
            route_id: self.route_id(route_index),
        }
    }

    /// Id of the endpoint of a separate route; `None` for a route that endpoints share.
    fn route_id(&self, route_index: RouteIndex) -> Option<String> {
        let route = &self.routes[route_index];
        let endpoint = route
            .endpoints
            .first()
            .filter(|_| route.kind.separate_routes)?;
        Some(self.endpoints[*endpoint].id.0.clone())
    }
}

impl Route {
    /// Restores the parts of the learned state that lower the rate of calls. An outage or slow start that this process has
    /// observed itself takes precedence over the learned health.
    fn restore(&mut self, learned: &LearnedState, now: Time, rules: &Rules, jitter: f64) {
        if let Some(size) = learned.window {
            self.window.lower_to(size);
            self.proven_window = self.window.clone();
        }
        self.demand.restore_reported_limit(learned.limit);
        if self.health.state() != HealthState::Up {
            return;
        }
        match learned.state {
            Some(ObservedHealth::Down) => {
                self.health.mark_down(now + MIN_PROBE_PAUSE.mul_f64(jitter));
            }
            Some(ObservedHealth::WarmingUp(since)) if now - since < rules.warm_up => {
                self.health.mark_warming_up(since);
            }
            Some(ObservedHealth::WarmingUp(_) | ObservedHealth::Up) | None => {}
        }
    }
}
