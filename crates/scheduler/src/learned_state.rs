//! What a sender has learned of its destinations, for other senders and for itself after a restart.
//!
//! Restored state only ever makes a sender more careful than one that has just started, until the destination itself has
//! answered.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api::{DestinationId, Rules, Time};
use crate::health::{HealthState, MIN_PROBE_PAUSE};
use crate::indices::RouteIndex;
use crate::routes::Route;
use crate::state::SchedulerState;
use crate::token_bucket::TokenBucket;

/// The first calls to a destination are spread over this many gaps between calls at this sender's quota. All senders together
/// then send at a quarter of the limit, so that a limit lowered meanwhile to that is kept.
const FIRST_CALL_GAPS: f64 = 4.0;
/// Where the quota is so small that this would take longer than this many seconds, the spread is this or one gap, whichever is
/// longer: no sender exceeds its quota, but pending messages must not age for the spread.
const MAX_FIRST_CALL_SPREAD_SECONDS: f64 = 5.0;

/// What was learned of one destination, or of one route to it where routes are apart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// The destination.
    pub destination: u64,
    /// The endpoint, where routes are apart.
    pub route_id: Option<String>,
    /// When it last answered, or failed to: the age of all but the wait.
    pub at: Time,
    /// The window, in calls.
    pub window: Option<f64>,
    /// The limit that an answer reported, in calls a second for all senders together; infinite where an answer reported that
    /// there is none.
    pub limit: Option<f64>,
    /// The end of a Retry-After wait.
    pub blocked_until: Option<Time>,
    /// Its health.
    pub state: Option<ObservedHealth>,
}

/// Health of a destination as a sender's calls have shown it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObservedHealth {
    /// It served.
    Up,
    /// It was in an outage.
    Down,
    /// It returned from an outage at this time and was in its slow start.
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
    /// The endpoint, where routes are apart.
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
    /// What this sender has learned by its own calls, and waits that it must keep.
    pub(crate) fn learned_state(&self) -> Vec<LearnedState> {
        let mut learned = Vec::new();
        for destination in self.routes.learned_destinations() {
            let routes = self.routes.of_destination(destination).iter();
            learned.extend(routes.filter_map(|&route| self.learned_of_route(destination, route)));
        }
        learned
    }

    fn learned_of_route(
        &self,
        destination: DestinationId,
        route_index: RouteIndex,
    ) -> Option<LearnedState> {
        let route = &self.routes[route_index];
        let blocked_until = Some(route.blocked_until).filter(|until| *until > self.now);
        let last_contact = route
            .endpoints
            .iter()
            .map(|&index| &self.endpoints[index])
            .filter(|endpoint| endpoint.calls_sent > 0)
            .map(|endpoint| endpoint.last_answer.max(route.window_cut_at))
            .max();
        // A wait that was restored, or stated by an endpoint since removed, is still in force. It is passed on alone, since
        // nothing else of this route is known by own calls.
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

    /// Takes over learned state of the listed routes, except where own calls have shown better, and spreads the first calls to
    /// each route. Returns when the last of these may be sent.
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

    /// Restores one route; returns when its first call may be sent, if that is spread.
    fn restore_route(
        &mut self,
        route_index: RouteIndex,
        learned: Option<&LearnedState>,
    ) -> Option<Time> {
        let spread_share = self.rng.f64();
        let jitter = self.jitter();
        let (now, rules) = (self.now, &self.settings.rules);
        let untried = self.routes[route_index]
            .endpoints
            .iter()
            .all(|&index| self.endpoints[index].calls_sent == 0);
        let route = &mut self.routes[route_index];
        if let Some(learned) = learned {
            // A wait binds every sender that knows of it.
            route.block_until(learned.blocked_until.unwrap_or_default());
            if untried {
                route.restore(learned, now, rules, jitter);
            }
        }
        if !untried {
            return None;
        }
        let gap = 1.0 / route.allowed_rate(now, rules, self.settings.instances);
        if gap <= 0.0 || !gap.is_finite() || !route.token_bucket.is_full() {
            return None;
        }
        // The first call is sent at a random time within the spread.
        let spread = (FIRST_CALL_GAPS * gap).min(MAX_FIRST_CALL_SPREAD_SECONDS.max(gap));
        route.token_bucket = TokenBucket::with_first_token_after(now, gap, spread * spread_share);
        Some(route.token_bucket.next_token_at())
    }

    /// Continues for another process of this sender that has stopped just now: none of its state is old, and no other sender
    /// does the same at this moment. Returns what concerns destinations that are not listed yet and must still be kept.
    pub(crate) fn inherit(
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
        route.window.resume_at(size);
        route.proven_window = route.window.clone();
    }

    fn route_key(&self, route_index: RouteIndex) -> RouteKey {
        RouteKey {
            destination: self.routes[route_index].destination.0,
            route_id: self.route_id(route_index),
        }
    }

    /// The id of a separate route's endpoint.
    fn route_id(&self, route_index: RouteIndex) -> Option<String> {
        let route = &self.routes[route_index];
        let endpoint = route.endpoints.first().filter(|_| route.kind.apart)?;
        Some(self.endpoints[*endpoint].id.0.clone())
    }
}

impl Route {
    /// Takes over learned state, where it makes this sender more careful.
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
            Some(ObservedHealth::WarmingUp(since)) if now - since < rules.cold => {
                self.health.mark_warming_up(since);
            }
            Some(ObservedHealth::WarmingUp(_) | ObservedHealth::Up) | None => {}
        }
    }
}
