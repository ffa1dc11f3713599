//! What a sender has learned of its destinations, to be told to others and recalled after a restart. What is recalled only
//! ever makes a sender more careful than one that has just started, until the destination itself has answered.

use serde::{Deserialize, Serialize};

use super::*;

/// The first calls to a destination are spread over so many gaps of this sender's part of the limit: all senders together
/// then come at a quarter of it, so one that was lowered to that meanwhile is not overrun.
const FIRST_GAPS: f64 = 4.0;
/// Where the part is so small that this would take longer than so many seconds, over these, or over one gap: nobody comes
/// faster than its part, but what is held must not age for it.
const FIRST_MOST: f64 = 5.0;

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
    /// The limit that an answer told, in calls a second for all senders together; infinite where it told that there is none.
    pub limit: Option<f64>,
    /// The end of a Retry-After wait.
    pub blocked_until: Option<Time>,
    /// How it was.
    pub state: Option<ObservedHealth>,
}

/// How a destination was seen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObservedHealth {
    /// It served.
    Up,
    /// It was out.
    Down,
    /// It is back since then, and cold.
    WarmingUp(Time),
}

impl Scheduler {
    /// What this sender has learned by its own calls.
    pub fn learned_state(&self) -> Vec<LearnedState> {
        let mut all = Vec::new();
        for destination in self.routes.learned_destinations() {
            for &l in self
                .routes_by_destination
                .get(&destination)
                .into_iter()
                .flatten()
            {
                let route = &self.routes[l];
                let used = route
                    .endpoints
                    .iter()
                    .map(|&e| &self.endpoints[e])
                    .filter(|e| e.uses > 0);
                let blocked_until = Some(route.blocked_until).filter(|t| *t > self.now);
                let Some(at) = used.map(|e| e.last_answer.max(route.cut_at)).max() else {
                    // A wait that was only recalled, or told by an endpoint that has gone, holds all the same: it is told on
                    // alone, since nothing else of this destination is known by own calls.
                    let (route_id, at) = (self.route_id(l), self.now);
                    let wait = |end| LearnedState {
                        destination: destination.0,
                        route_id,
                        at,
                        window: None,
                        limit: None,
                        blocked_until: Some(end),
                        state: None,
                    };
                    all.extend(blocked_until.map(wait));
                    continue;
                };
                let state = match route.health.mode {
                    HealthState::Up => ObservedHealth::Up,
                    HealthState::Down { .. } => ObservedHealth::Down,
                    HealthState::WarmingUp { since } => ObservedHealth::WarmingUp(since),
                };
                all.push(LearnedState {
                    destination: destination.0,
                    route_id: self.route_id(l),
                    at,
                    window: Some(route.window.size()),
                    limit: route.demand.reported_limit,
                    blocked_until,
                    state: Some(state),
                });
            }
        }
        all
    }

    /// Takes up what is still fit for use, where no call of this sender has shown better, and spreads the first calls to
    /// each destination. Tells when the last of these may go.
    pub fn restore(&mut self, now: Time, learned_state: &[LearnedState]) -> Time {
        self.now = self.now.max(now);
        let (now, mut last) = (self.now, self.now);
        let known: BTreeMap<(u64, Option<&str>), &LearnedState> = learned_state
            .iter()
            .map(|k| ((k.destination, k.route_id.as_deref()), k))
            .collect();
        let endpoint_count: Vec<(u64, usize)> = self
            .routes_by_destination
            .iter()
            .flat_map(|(destination, routes)| routes.iter().map(|&l| (destination.0, l)))
            .collect();
        for (destination, l) in endpoint_count {
            let route_id = self.route_id(l);
            let (senders, rules) = (self.settings.instances, self.settings.rules);
            let (chance, jitter) = (self.rng.f64(), self.jitter());
            let untried = self.routes[l]
                .endpoints
                .iter()
                .all(|&e| self.endpoints[e].uses == 0);
            let route = &mut self.routes[l];
            if let Some(known) = known.get(&(destination, route_id.as_deref())) {
                // A wait holds whoever was told it.
                route.blocked_until = route
                    .blocked_until
                    .max(known.blocked_until.unwrap_or_default());
                if untried {
                    route.take(known, now, &rules, jitter);
                }
            }
            if !untried {
                continue;
            }
            let gap = 1.0 / route.allowed_rate(now, &rules, senders);
            if gap > 0.0 && gap.is_finite() && route.token_bucket.calls >= PACE_DEPTH {
                let spread = (FIRST_GAPS * gap).min(FIRST_MOST.max(gap));
                // So much is missing in the bucket that it lets the first one go at a time drawn from all of the spread.
                route.token_bucket = TokenBucket {
                    calls: 1.0 - spread * chance / gap,
                    at: now,
                    rate: 1.0 / gap,
                };
                last = last.max(route.token_bucket.next());
            }
        }
        last
    }

    /// Goes on where another process for this very sender has stopped just now: nothing of it is old, and no other sender
    /// does the same at this moment. Gives back what is of destinations that are not listed yet and must still be heeded.
    pub fn inherit(&mut self, now: Time, learned_state: Vec<LearnedState>) -> Vec<LearnedState> {
        self.now = self.now.max(now);
        let mut endpoint_count: BTreeMap<(u64, Option<String>), usize> = BTreeMap::new();
        for (destination, routes) in &self.routes_by_destination {
            endpoint_count.extend(
                routes
                    .iter()
                    .map(|&l| ((destination.0, self.route_id(l)), l)),
            );
        }
        let mut left = Vec::new();
        for known in learned_state {
            let Some(&l) = endpoint_count.get(&(known.destination, known.route_id.clone())) else {
                left.extend(
                    Some(known).filter(|k| k.blocked_until.is_some_and(|end| end > self.now)),
                );
                continue;
            };
            let (jitter, rules) = (self.jitter(), self.settings.rules);
            let route = &mut self.routes[l];
            route.blocked_until = route
                .blocked_until
                .max(known.blocked_until.unwrap_or_default());
            route.take(&known, self.now, &rules, jitter);
            route.window.size = known
                .window
                .unwrap_or(route.window.size)
                .clamp(FLOOR, route.window.cap);
            route.proven_window = route.window.clone();
        }
        left
    }

    /// The endpoint that stands for a route, where routes are apart.
    fn route_id(&self, route: usize) -> Option<String> {
        let route = &self.routes[route];
        let first = route.endpoints.first().filter(|_| route.kind.apart)?;
        Some(self.endpoints[*first].id.0.clone())
    }
}

impl Route {
    fn take(&mut self, known: &LearnedState, now: Time, rules: &Rules, jitter: f64) {
        if let Some(window) = known.window {
            self.window.size = self.window.size.min(window).max(FLOOR);
            self.proven_window = self.window.clone();
        }
        if self.demand.reported_limit.is_none() {
            self.demand.reported_limit = known.limit;
        }
        match known.state {
            Some(ObservedHealth::Down) if self.health.mode == HealthState::Up => {
                self.health.mode = HealthState::Down {
                    next: now + TRIAL_FIRST.mul_f64(jitter),
                    step: 0,
                };
            }
            Some(ObservedHealth::WarmingUp(since))
                if self.health.mode == HealthState::Up && now - since < rules.cold =>
            {
                self.health.mode = HealthState::WarmingUp { since };
            }
            _ => {}
        }
    }
}
