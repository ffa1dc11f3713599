//! [`LearnedStateCache`]: what was learned of destinations before the start, by this sender or by others: the latest of
//! each route, for as long as it is recent enough.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scheduler::api::DestinationId;
use cranehill_scheduler::{LearnedState, Time};

/// The longest `Retry-After` time that is believed; the wire has no longer one.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(86_400);
/// Routes cached at most, to bound the memory.
const MAX_CACHED_ROUTES: usize = 4096;

/// Until which age learned state is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The age of a window of concurrent calls.
    pub window: Duration,
    /// The age of a rate limit.
    pub limit: Duration,
    /// The age of a destination's health.
    pub state: Duration,
    /// How far in the future state may have been learned: the clocks of members differ.
    pub ahead: Duration,
}

/// Identifies a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteKey {
    destination: DestinationId,
    /// Where a destination has several routes.
    route_id: Option<String>,
}

impl RouteKey {
    /// The route that learned state is about.
    pub(crate) fn of(learned_state: &LearnedState) -> RouteKey {
        RouteKey {
            destination: DestinationId(learned_state.destination),
            route_id: learned_state.route_id.clone(),
        }
    }
}

/// Learned state by route.
#[derive(Clone, Debug)]
pub struct LearnedStateCache {
    bounds: Bounds,
    routes: BTreeMap<RouteKey, LearnedState>,
}

impl LearnedStateCache {
    /// An empty cache.
    pub fn new(bounds: Bounds) -> LearnedStateCache {
        LearnedStateCache {
            bounds,
            routes: BTreeMap::new(),
        }
    }

    /// Adds learned state. Of two states of a route the later one counts, and of two `Retry-After` times the one that
    /// ends later. State from the future and values that make no sense are ignored.
    pub fn merge(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        for mut learned in learned_state {
            if learned.at > now + self.bounds.ahead {
                continue;
            }
            learned.window = learned.window.filter(is_positive);
            learned.limit = learned.limit.filter(is_positive);
            learned.blocked_until = learned
                .blocked_until
                .filter(|until| *until <= now + MAX_RETRY_AFTER);
            self.merge_route(learned);
        }
    }

    fn merge_route(&mut self, learned: LearnedState) {
        let key = RouteKey::of(&learned);
        let Some(known) = self.routes.get_mut(&key) else {
            if self.routes.len() < MAX_CACHED_ROUTES {
                self.routes.insert(key, learned);
            }
            return;
        };
        let blocked_until = known.blocked_until.max(learned.blocked_until);
        if learned.at > known.at {
            *known = learned;
        }
        known.blocked_until = blocked_until;
    }

    /// What is recent enough to be used now. Routes of which nothing is are left out.
    pub fn usable(&self, now: Time) -> Vec<LearnedState> {
        self.routes
            .values()
            .filter_map(|learned| self.usable_part(now, learned))
            .collect()
    }

    /// The part of a route's state that is recent enough.
    fn usable_part(&self, now: Time, learned: &LearnedState) -> Option<LearnedState> {
        let age = now - learned.at;
        let mut usable = learned.clone();
        usable.window = usable.window.filter(|_| age <= self.bounds.window);
        usable.limit = usable.limit.filter(|_| age <= self.bounds.limit);
        usable.state = usable.state.filter(|_| age <= self.bounds.state);
        usable.blocked_until = usable.blocked_until.filter(|until| *until > now);
        let is_of_use = usable.window.is_some()
            || usable.limit.is_some()
            || usable.state.is_some()
            || usable.blocked_until.is_some();
        is_of_use.then_some(usable)
    }
}

/// False for NaN as well.
fn is_positive(value: &f64) -> bool {
    *value > 0.0
}
