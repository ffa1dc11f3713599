//! Routes. A route is a destination, or one endpoint of it if endpoints are separate routes, and has its own window, health,
//! demand estimate and token bucket.
//!
//! The cost of a tick depends on the number of active routes, not on how many are listed.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};
use std::time::Duration;

use crate::api::{DestinationId, DestinationKind, Rules, Settings, Time};
use crate::demand::DemandEstimator;
use crate::health::{Health, HealthState};
use crate::indices::{EndpointIndex, RouteIndex};
use crate::round_trip::{CallTimes, RoundTripEstimator};
use crate::slots::insert_reusing;
use crate::slow_start::slow_start_rate;
use crate::token_bucket::TokenBucket;
use crate::window::Window;

/// Maximum time until a pending message is considered for dispatch again, in case no earlier time can be derived from the state
/// of its routes. Also the minimum time between the draws of [`Route::draw_call`].
pub(crate) const RETEST_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of a limit that all senders together aim at, since reports are noisy.
const LIMIT_SHARE: f64 = 0.95;
/// Increase of the time between calls for each consecutive rejection, as a fraction of the time without rejections.
const OVERLOAD_SLOWDOWN: f64 = 0.5;
/// Maximum number of consecutive rejections that lengthen the time between calls.
const MAX_SLOWDOWN_STEPS: u32 = 4;
/// Rate of calls to a route without a limit that rejected a call, as a multiple of the sender's own demand.
const UNLIMITED_DEMAND_MULTIPLE: f64 = 2.0;
/// Lower bound of the demand from which the time between the draws of [`Route::draw_call`] is computed, in messages a second.
const MIN_DRAW_RATE: f64 = 0.1;

/// What limits, health and Retry-After waits apply to: a destination, or one of its endpoints. The paper that [`crate::window`]
/// implements calls it a proxy.
#[derive(Debug)]
pub(crate) struct Route {
    pub(crate) destination: DestinationId,
    pub(crate) kind: DestinationKind,
    pub(crate) endpoints: Vec<EndpointIndex>,
    pub(crate) window: Window,
    /// The window when a call was last served outside an outage or slow start. Restored after an outage.
    pub(crate) proven_window: Window,
    pub(crate) health: Health,
    pub(crate) demand: DemandEstimator,
    pub(crate) token_bucket: TokenBucket,
    /// Number of calls in flight.
    pub(crate) in_flight: u32,
    /// End of a Retry-After wait, during which no call is sent.
    pub(crate) blocked_until: Time,
    /// Calls rejected because of overload since the last one served.
    pub(crate) consecutive_overloads: u32,
    /// When opening a connection last failed, if no call was served since.
    pub(crate) connect_failed_at: Option<Time>,
    /// One estimator for each message class.
    pub(crate) round_trips: Vec<RoundTripEstimator>,
    /// Earliest time of the next draw: see [`Route::draw_call`].
    pub(crate) next_draw_at: Time,
    /// When the window was last reduced.
    pub(crate) window_reduced_at: Time,
    /// Whether a draw allowed a call that was not sent yet. Set in each tick while the window is at least one.
    pub(crate) call_drawn: bool,
    /// Whether a call was ever sent on this route.
    pub(crate) was_called: bool,
    /// Pending messages of the destination that have no attempt in flight, counted at the start of this tick's dispatch.
    pub(crate) backlog: usize,
}

impl Route {
    /// A new route, without endpoints.
    pub(crate) fn new(
        destination: DestinationId,
        kind: DestinationKind,
        demand: DemandEstimator,
        now: Time,
        settings: &Settings,
    ) -> Route {
        let window = Window::new(settings.slots);
        Route {
            destination,
            kind,
            endpoints: Vec::new(),
            proven_window: window.clone(),
            window,
            health: Health::default(),
            demand,
            token_bucket: TokenBucket::new(now),
            in_flight: 0,
            blocked_until: Time::default(),
            consecutive_overloads: 0,
            connect_failed_at: None,
            round_trips: vec![RoundTripEstimator::default(); settings.classes.len()],
            next_draw_at: now,
            window_reduced_at: now,
            call_drawn: false,
            was_called: false,
            backlog: 0,
        }
    }

    /// The expected times of a call of a class.
    pub(crate) fn call_times(&self, class: usize, settings: &Settings) -> CallTimes {
        self.round_trips[class].call_times(settings.classes[class].latency_objective)
    }

    /// Whether calls of any class are slow: see [`RoundTripEstimator::is_slow`].
    pub(crate) fn is_slow(&self) -> bool {
        self.round_trips.iter().any(RoundTripEstimator::is_slow)
    }

    /// Blocks the route until `until`, unless it is already blocked for longer.
    pub(crate) fn block_until(&mut self, until: Time) {
        self.blocked_until = self.blocked_until.max(until);
    }

    /// Rate at which this sender may call the route, in calls a second. Consecutive rejections lower it, because an overload
    /// ends only when all senders together stay below the limit. In a slow start, the rate is within the sender's quota of the
    /// destination's present capacity.
    pub(crate) fn allowed_rate(&self, now: Time, rules: &Rules, instances: u32) -> f64 {
        let steps = f64::from(self.consecutive_overloads.min(MAX_SLOWDOWN_STEPS));
        let slowdown = 1.0 / (1.0 + OVERLOAD_SLOWDOWN * steps);
        let quota = |limit: f64| limit / f64::from(instances);
        let reported_quota = self.demand.reported_limit().map(quota);
        let listed_quota = quota(self.demand.listed_limit());
        if let HealthState::WarmingUp { since } = self.health.state() {
            // Without a reported limit, the sender's demand is capped by its quota of the listed limit.
            let quota = reported_quota
                .filter(|quota| quota.is_finite())
                .unwrap_or(self.demand.rate(now).min(listed_quota));
            return slow_start_rate(rules, now - since, quota) * slowdown;
        }
        let quota = reported_quota.unwrap_or(listed_quota);
        let rate = if quota.is_finite() {
            LIMIT_SHARE * quota
        } else if self.consecutive_overloads > 0 {
            UNLIMITED_DEMAND_MULTIPLE * self.demand.rate(now)
        } else {
            f64::INFINITY
        };
        slowdown * rate
    }

    /// Updates health, token bucket and draw at a tick, after the backlog was counted.
    pub(crate) fn update(&mut self, now: Time, settings: &Settings, rng: &mut fastrand::Rng) {
        let rules = &settings.rules;
        self.health.end_slow_start(now, rules.warm_up);
        let rate = self.allowed_rate(now, rules, settings.instances);
        self.token_bucket.refill(now, rate);
        match self.window.call_probability() {
            None => self.call_drawn = true,
            Some(probability) => self.draw_call(now, probability, rules, rng),
        }
    }

    /// For a window below one: draws whether a call may be sent, as in the paper that [`crate::window`] implements. An allowed
    /// call stays allowed until it is sent, even if no slot is free now.
    fn draw_call(&mut self, now: Time, probability: f64, rules: &Rules, rng: &mut fastrand::Rng) {
        let wanted = self.backlog > 0 && !self.call_drawn && self.in_flight == 0;
        if !wanted || now < self.next_draw_at.max(self.blocked_until) {
            return;
        }
        // The probability grows with the time since the window was reduced. Otherwise a sender with few calls would need
        // minutes until enough answers have enlarged the window to one call.
        let aged_probability =
            (now - self.window_reduced_at).as_secs_f64() / rules.warm_up.as_secs_f64().max(1.0);
        self.call_drawn = rng.f64() < probability.max(aged_probability);
        // The paper draws once for each arriving call, as each accepted message does here (`SchedulerState::on_accept`).
        // Further draws at the mean time between arrivals at most double the number of draws, independent of the number of
        // senders.
        let mean_gap = Duration::from_secs_f64(1.0 / self.demand.rate(now).max(MIN_DRAW_RATE));
        self.next_draw_at = now + mean_gap.max(RETEST_INTERVAL);
    }

    /// Whether further ticks do not change the route: no backlog, no slow start and a full token bucket.
    fn is_settled(&self) -> bool {
        let warming_up = matches!(self.health.state(), HealthState::WarmingUp { .. });
        self.backlog == 0 && !warming_up && self.token_bucket.is_full()
    }
}

/// All routes by index. [`RouteTable::active_mut`] skips settled routes (see [`Route::is_settled`]). A mutable borrow makes a
/// route active.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    slots: Vec<Route>,
    free: Vec<usize>,
    by_destination: BTreeMap<DestinationId, Vec<RouteIndex>>,
    active: BTreeSet<RouteIndex>,
    /// Includes every inactive route with learned state; may include others.
    learned: BTreeSet<RouteIndex>,
    /// Time of the latest tick, until which the token buckets of settled routes were full.
    settled_at: Time,
}

impl RouteTable {
    /// Adds a route to its destination and returns its index.
    pub(crate) fn insert(&mut self, route: Route) -> RouteIndex {
        let destination = route.destination;
        let index = RouteIndex(insert_reusing(&mut self.slots, &mut self.free, route));
        self.active.insert(index);
        self.by_destination
            .entry(destination)
            .or_default()
            .push(index);
        index
    }

    /// Removes an endpoint from its route, and a separate route that has no endpoint left.
    pub(crate) fn remove_endpoint(
        &mut self,
        route_index: RouteIndex,
        endpoint_index: EndpointIndex,
    ) {
        let route = &mut self[route_index];
        route.endpoints.retain(|&index| index != endpoint_index);
        if !route.endpoints.is_empty() || !route.kind.separate_routes {
            return;
        }
        let destination = route.destination;
        if let Some(routes) = self.by_destination.get_mut(&destination) {
            routes.retain(|&index| index != route_index);
        }
        self.free.push(route_index.0);
    }

    /// Number of entries in the table, including free ones.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Number of routes that the next tick updates.
    pub(crate) fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Indices of a destination's routes.
    pub(crate) fn of_destination(&self, destination: DestinationId) -> &[RouteIndex] {
        self.by_destination
            .get(&destination)
            .map_or(&[], Vec::as_slice)
    }

    /// Indices of all routes, ordered by destination.
    pub(crate) fn indices(&self) -> impl Iterator<Item = RouteIndex> + '_ {
        self.by_destination.values().flatten().copied()
    }

    /// Counts a pending message in the backlog of each route of its destination, and makes the routes active.
    pub(crate) fn add_backlog(&mut self, destination: DestinationId) {
        let RouteTable {
            slots,
            by_destination,
            active,
            settled_at,
            ..
        } = self;
        for &index in by_destination.get(&destination).into_iter().flatten() {
            activate(slots, active, *settled_at, index).backlog += 1;
        }
    }

    /// The active routes, which a tick may change, ordered by index.
    pub(crate) fn active_mut(&mut self) -> impl Iterator<Item = &mut Route> {
        // Splits the table at each active index, in ascending order. `offset` is the index of the first route in `rest`.
        let (mut rest, mut offset) = (self.slots.as_mut_slice(), 0);
        self.active.iter().filter_map(move |&index| {
            let (_, tail) = std::mem::take(&mut rest).split_at_mut(index.0 - offset);
            let (route, after) = tail.split_first_mut()?;
            (rest, offset) = (after, index.0 + 1);
            Some(route)
        })
    }

    /// Destinations of all routes with learned state. May include destinations without it.
    pub(crate) fn learned_destinations(&self) -> BTreeSet<DestinationId> {
        self.learned
            .iter()
            .chain(&self.active)
            .map(|&index| self.slots[index.0].destination)
            .collect()
    }

    /// Ends a tick's update: routes that a further tick would not change become inactive.
    pub(crate) fn settle(&mut self, now: Time) {
        let slots = &self.slots;
        let has_learned = |index: &RouteIndex| {
            let route = &slots[index.0];
            route.was_called || route.blocked_until > now
        };
        self.learned
            .extend(self.active.iter().copied().filter(has_learned));
        self.active.retain(|&index| !slots[index.0].is_settled());
        self.settled_at = now;
    }
}

/// Borrows a route mutably and makes it active.
fn activate<'a>(
    slots: &'a mut [Route],
    active: &mut BTreeSet<RouteIndex>,
    settled_at: Time,
    index: RouteIndex,
) -> &'a mut Route {
    let route = &mut slots[index.0];
    if active.insert(index) {
        // Ticks skipped while the bucket was full must not add tokens.
        route.token_bucket.skip_until(settled_at);
    }
    route
}

impl Index<RouteIndex> for RouteTable {
    type Output = Route;
    fn index(&self, index: RouteIndex) -> &Route {
        &self.slots[index.0]
    }
}

impl IndexMut<RouteIndex> for RouteTable {
    fn index_mut(&mut self, index: RouteIndex) -> &mut Route {
        activate(&mut self.slots, &mut self.active, self.settled_at, index)
    }
}
