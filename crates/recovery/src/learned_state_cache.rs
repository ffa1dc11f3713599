//! [`LearnedStateCache`]: the latest learned state of each route that was received since the start, from an earlier
//! process of this sender or from other members. Each part is used until it reaches its maximum age.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scheduler::api::DestinationId;
use cranehill_scheduler::{LearnedState, Time};

/// Longer retry-after times are invalid and ignored: senders shorten those in answers to one day.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(86_400);
/// Maximum number of routes in the cache, which bounds its memory. Learned state of further routes is ignored.
const MAX_CACHED_ROUTES: usize = 4096;

/// Maximum ages at which the parts of learned state are used, and the tolerated clock difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxAges {
    /// Maximum age of a route's window (the number of calls that may be in flight).
    pub window: Duration,
    /// Maximum age of a rate limit.
    pub limit: Duration,
    /// Maximum age of a route's health (up, down or warming up).
    pub state: Duration,
    /// Tolerated clock difference between members: state whose time is further in the future is ignored.
    pub max_clock_difference: Duration,
}

/// Identifies a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteKey {
    destination: DestinationId,
    /// `None` if the destination has a single route.
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

/// The latest learned state of each route.
#[derive(Clone, Debug)]
pub struct LearnedStateCache {
    bounds: MaxAges,
    routes: BTreeMap<RouteKey, LearnedState>,
}

impl LearnedStateCache {
    /// Creates an empty cache.
    pub fn new(bounds: MaxAges) -> LearnedStateCache {
        LearnedStateCache {
            bounds,
            routes: BTreeMap::new(),
        }
    }

    /// Adds learned state. The cache keeps the latest state of each route, and of its retry-after times the one that
    /// ends last. Ignored are state that is further in the future than [`MaxAges::max_clock_difference`], windows and
    /// limits that are not positive, and retry-after times of more than a day.
    pub fn merge(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        for mut learned in learned_state {
            if learned.at > now + self.bounds.max_clock_difference {
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

    /// The parts of learned state that are recent enough to be used now. Routes without such a part are left out.
    pub fn usable(&self, now: Time) -> Vec<LearnedState> {
        self.routes
            .values()
            .filter_map(|learned| self.usable_part(now, learned))
            .collect()
    }

    /// The parts of a route's state that are recent enough; `None` if there is no such part.
    fn usable_part(&self, now: Time, learned: &LearnedState) -> Option<LearnedState> {
        let age = now - learned.at;
        let mut usable = learned.clone();
        usable.window = usable.window.filter(|_| age <= self.bounds.window);
        usable.limit = usable.limit.filter(|_| age <= self.bounds.limit);
        usable.state = usable.state.filter(|_| age <= self.bounds.state);
        usable.blocked_until = usable.blocked_until.filter(|until| *until > now);
        let has_usable_part = usable.window.is_some()
            || usable.limit.is_some()
            || usable.state.is_some()
            || usable.blocked_until.is_some();
        has_usable_part.then_some(usable)
    }
}

/// Whether the value is greater than 0; false for NaN.
fn is_positive(value: &f64) -> bool {
    *value > 0.0
}
