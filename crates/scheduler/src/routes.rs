//! Routes: a destination, or one endpoint of it where endpoints are separate routes. A route has one window, health, demand
//! and token bucket.
//!
//! The cost of a tick depends on the routes in use or changed, however many are listed.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};
use std::time::Duration;

use crate::api::{DestinationId, Kind, Rules, Settings, Time};
use crate::demand::DemandEstimator;
use crate::health::{Health, HealthState};
use crate::indices::{EndpointIndex, RouteIndex};
use crate::round_trip::{CallTimes, RoundTripEstimator};
use crate::slots::insert_reusing;
use crate::slow_start::slow_start_rate;
use crate::token_bucket::TokenBucket;
use crate::window::Window;

/// Pending messages are tried again after this time; every other wake-up is computed.
pub(crate) const RETEST_INTERVAL: Duration = Duration::from_millis(500);
/// Share of a limit that all senders together aim at: reports are noisy.
const LIMIT_SHARE: f64 = 0.95;
/// Each rejection in a row lengthens the time between calls by this share of it ...
const OVERLOAD_SLOWDOWN: f64 = 0.5;
/// ... for this many rejections at most.
const MAX_SLOWDOWN_STEPS: u32 = 4;
/// Without a limit, a route that rejected a call is sent this multiple of the sender's own demand.
const UNLIMITED_DEMAND_MULTIPLE: f64 = 2.0;
/// The lowest demand, in messages a second, that the time between draws is computed from.
const MIN_DRAW_RATE: f64 = 0.1;

/// One route (a proxy, in the terms of the window's paper).
#[derive(Debug)]
pub(crate) struct Route {
    pub(crate) destination: DestinationId,
    pub(crate) kind: Kind,
    /// Indices of its endpoints.
    pub(crate) endpoints: Vec<EndpointIndex>,
    pub(crate) window: Window,
    /// The window when a call was last served in service; it returns after an outage.
    pub(crate) proven_window: Window,
    pub(crate) health: Health,
    pub(crate) demand: DemandEstimator,
    pub(crate) token_bucket: TokenBucket,
    /// Calls in flight.
    pub(crate) in_flight: u32,
    /// No call before this: a Retry-After wait.
    pub(crate) blocked_until: Time,
    /// Calls rejected for overload since the last one served.
    pub(crate) consecutive_overloads: u32,
    /// When a connection failed last, if no call was served since.
    pub(crate) connect_failed_at: Option<Time>,
    /// One for each class.
    pub(crate) round_trips: Vec<RoundTripEstimator>,
    /// No further draw for a probabilistic call before this.
    pub(crate) next_draw_at: Time,
    pub(crate) window_cut_at: Time,
    /// A draw for a probabilistic call was won; it waits for a slot.
    pub(crate) draw_won: bool,
    /// A call was sent there.
    pub(crate) used: bool,
    /// Messages pending and not in flight, as of this tick.
    pub(crate) backlog: usize,
}

impl Route {
    /// A new route, without endpoints.
    pub(crate) fn new(
        destination: DestinationId,
        kind: Kind,
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
            window_cut_at: now,
            draw_won: false,
            used: false,
            backlog: 0,
        }
    }

    /// The expected times of a call of a class.
    pub(crate) fn call_times(&self, class: usize, settings: &Settings) -> CallTimes {
        self.round_trips[class].call_times(settings.classes[class].latency_objective)
    }

    /// Whether calls of any class take clearly longer than at the route's best.
    pub(crate) fn is_slow(&self) -> bool {
        self.round_trips.iter().any(RoundTripEstimator::is_slow)
    }

    /// Blocks the route until `until`, unless it is blocked for longer.
    pub(crate) fn block_until(&mut self, until: Time) {
        self.blocked_until = self.blocked_until.max(until);
    }

    /// Calls a second that this sender allows itself. Rejections in a row show that its quota is too high: what all senders
    /// send must fall below the limit before the overload ends. In a slow start a sender stays inside its quota of what the
    /// destination can serve, so that the other senders' quotas remain for them.
    pub(crate) fn allowed_rate(&self, now: Time, rules: &Rules, instances: u32) -> f64 {
        let steps = f64::from(self.consecutive_overloads.min(MAX_SLOWDOWN_STEPS));
        let slowdown = 1.0 / (1.0 + OVERLOAD_SLOWDOWN * steps);
        let quota = |limit: f64| limit / f64::from(instances);
        let reported_quota = self.demand.reported_limit().map(quota);
        let listed_quota = quota(self.demand.listed_limit());
        if let HealthState::WarmingUp { since } = self.health.state() {
            // Without a reported limit, a sender with more demand than its quota must not return at that rate.
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

    /// Brings the route up to date at a tick, after its backlog was counted.
    pub(crate) fn update(&mut self, now: Time, settings: &Settings, rng: &mut fastrand::Rng) {
        let rules = &settings.rules;
        self.health.end_slow_start(now, rules.cold);
        let rate = self.allowed_rate(now, rules, settings.instances);
        self.token_bucket.refill(now, rate);
        match self.window.chance() {
            None => self.draw_won = true,
            Some(probability) => self.draw_call(now, probability, rules, rng),
        }
    }

    /// The paper's probabilistic call: one draw for each arrival or retest. A draw that was won waits for a slot.
    fn draw_call(&mut self, now: Time, probability: f64, rules: &Rules, rng: &mut fastrand::Rng) {
        let wanted = self.backlog > 0 && !self.draw_won && self.in_flight == 0;
        if !wanted || now < self.next_draw_at.max(self.blocked_until) {
            return;
        }
        // The evidence that cut the window ages: a sender with few calls would need minutes of answers for a window of one.
        let aged = (now - self.window_cut_at).as_secs_f64() / rules.cold.as_secs_f64().max(1.0);
        self.draw_won = rng.f64() < probability.max(aged);
        // The paper draws once for each arriving call. Retests at most double that, however many senders there are.
        let mean_gap = Duration::from_secs_f64(1.0 / self.demand.rate(now).max(MIN_DRAW_RATE));
        self.next_draw_at = now + mean_gap.max(RETEST_INTERVAL);
    }

    /// Whether ticks leave it unchanged, until something else changes it.
    fn is_settled(&self) -> bool {
        let warming_up = matches!(self.health.state(), HealthState::WarmingUp { .. });
        self.backlog == 0 && !warming_up && self.token_bucket.is_full()
    }
}

/// All routes by index. Settled ones, idle with a full token bucket, are skipped by [`RouteTable::active_mut`]; a mutable
/// borrow makes a route active.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    slots: Vec<Route>,
    free: Vec<usize>,
    by_destination: BTreeMap<DestinationId, Vec<RouteIndex>>,
    active: BTreeSet<RouteIndex>,
    /// Every route with learned state is in here or active.
    learned: BTreeSet<RouteIndex>,
    /// The latest tick: until then, settled routes have had a full token bucket.
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
        if !route.endpoints.is_empty() || !route.kind.apart {
            return;
        }
        let destination = route.destination;
        if let Some(routes) = self.by_destination.get_mut(&destination) {
            routes.retain(|&index| index != route_index);
        }
        self.free.push(route_index.0);
    }

    /// Slots in use or free.
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

    /// Indices of all destinations' routes, by destination.
    pub(crate) fn indices(&self) -> impl Iterator<Item = RouteIndex> + '_ {
        self.by_destination.values().flatten().copied()
    }

    /// Counts a pending message for each route of its destination.
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

    /// The routes that a tick may change, by index.
    pub(crate) fn active_mut(&mut self) -> impl Iterator<Item = &mut Route> {
        let (mut rest, mut offset) = (self.slots.as_mut_slice(), 0);
        self.active.iter().filter_map(move |&index| {
            let (_, tail) = std::mem::take(&mut rest).split_at_mut(index.0 - offset);
            let (route, after) = tail.split_first_mut()?;
            (rest, offset) = (after, index.0 + 1);
            Some(route)
        })
    }

    /// A set of destinations that includes every one with learned state.
    pub(crate) fn learned_destinations(&self) -> BTreeSet<DestinationId> {
        self.learned
            .iter()
            .chain(&self.active)
            .map(|&index| self.slots[index.0].destination)
            .collect()
    }

    /// Ends a tick's update of the active routes: those that a further one would not change become inactive.
    pub(crate) fn settle(&mut self, now: Time) {
        let slots = &self.slots;
        let has_learned = |index: &RouteIndex| {
            let route = &slots[index.0];
            route.used || route.blocked_until > now
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
        // The ticks that skipped it would have left this.
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
