//! Every decision of the library. The interface it speaks, settings, events and actions, is `src/api.rs`.
//!
//! Top to bottom: constants, the paper's window, round-trip times, health, the sender's state, its events,
//! and `dispatch`, the only place that sends, behind `may_send`, the one check for all rules.

use std::{collections::BTreeMap, time::Duration};

use crate::api::{
    AcceptedMessage, Action, Class, Condition, Decay, DedupScope, DestinationId, Effect,
    EndpointId, Entry, Event, Kind, MessageId, OrderingKey, Outcome, Rules, Settings,
    SettingsError, Status, Time,
};
use crate::state::{Attempt, Call, Endpoint, Message, OrderedQueue, Route};

mod capacity;
mod learned_state;
mod order;
mod routes;
mod zones;
pub use learned_state::{LearnedState, ObservedHealth};

/// W+ and W- of the paper (table IV): the loss outweighs many gains, so overload is left quickly.
const GROW: f64 = 0.1;
const CUT: f64 = 0.5;
/// C_max: answers for one step of growth.
const ANSWERS_PER_STEP: u32 = 2;
/// W_min: a chance call stays possible.
const FLOOR: f64 = 0.5;
/// The design page's bounds: no destination may take all slots, and a new one starts in the middle.
const CAP_SHARE: f64 = 0.75;
const START_SHARE: f64 = 0.5;
/// A slow destination, its mean time so many times its lowest, stays under so many times the free slots.
const SLOW: f64 = 1.5;
const SLOT_SHARE: usize = 2;
/// The design page's retest of held messages; every other wake-up is computed.
const RETEST: Duration = Duration::from_millis(500);
/// Failures in a row, with no success between, that mean an outage: one or two happen by chance.
const STREAK: u32 = 3;
/// Trials of a destination that is out: first pause and longest, doubling between.
const TRIAL_FIRST: Duration = Duration::from_millis(400);
const TRIAL_MOST: Duration = Duration::from_millis(1600);
/// Memory of a sender's demand, in seconds.
const DEMAND_MEMORY: f64 = 40.0;
/// The shortest idle time after which a connection is distrusted.
const IDLE_LEAST: Duration = Duration::from_millis(300);
/// A lost call's weight among those after an idle time, and the share that tells of dying connections.
const IDLE_GAIN: f64 = 0.1;
const IDLE_LOST: f64 = 0.25;
/// How long a failed connection tells that its kind of destination is short of connections.
const CONNECTION_SHORTAGE_PERIOD: Duration = Duration::from_secs(60);
/// Mean gap between calls, in idle times trusted, at which keeping a connection does not pay.
const IDLE_WORTH: u32 = 3;
/// Calls that a sender may save up of its part of a limit, and the share of a limit that all aim at: readings
/// are noisy. Each refusal in a row, so many at most, lengthens the gap between calls by half.
const PACE_DEPTH: f64 = 2.0;
const PACE_SHARE: f64 = 0.95;
const EASE: f64 = 0.5;
const EASE_MOST: u32 = 4;
/// Share of the rule's multiple that senders returning to a cold destination aim at.
const COLD_SHARE: f64 = 0.8;

/// The paper's window for one destination (section III.E). Pure: it knows nothing of time or messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    size: f64,
    cap: f64,
    answers: u32,
}

impl Window {
    /// A new destination's window, for a sender with so many slots.
    pub fn new(slots: u32) -> Window {
        let cap = (CAP_SHARE * f64::from(slots)).max(1.0);
        Window {
            size: (START_SHARE * f64::from(slots)).clamp(FLOOR, cap),
            cap,
            answers: 0,
        }
    }

    /// The window's size in calls.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// A call was answered, served or with an error.
    pub fn answered(&mut self) {
        self.answers += 1;
        if self.answers >= ANSWERS_PER_STEP {
            self.answers = 0;
            self.size = (self.size + GROW).min(self.cap);
        }
    }

    /// A call was refused, timed out, failed to connect or was reset.
    pub fn cut(&mut self) {
        self.answers = 0;
        self.size = (self.size - CUT).max(FLOOR);
    }

    /// Whether a further call may go: outstanding strictly below the window, and the cap kept whole.
    pub fn has_room(&self, outstanding: u32) -> bool {
        let after = f64::from(outstanding) + 1.0;
        f64::from(outstanding) < self.size && (outstanding == 0 || after <= self.cap)
    }

    /// Under one, with nothing outstanding, a call goes with this probability.
    pub fn chance(&self) -> Option<f64> {
        (self.size < 1.0).then_some(self.size)
    }
}

/// Round-trip times of one class at one destination, as TCP keeps them (RFC 6298).
#[derive(Clone, Debug, Default)]
pub(crate) struct RoundTripEstimator {
    mean: f64,
    dev: f64,
    /// The lowest mean so far: its pace when not loaded.
    base: f64,
    seen: bool,
    doubled: u32,
    doubled_at: Option<Time>,
}

impl RoundTripEstimator {
    fn sample(&mut self, took: f64) {
        if self.seen {
            self.dev += 0.25 * ((took - self.mean).abs() - self.dev);
            self.mean += 0.125 * (took - self.mean);
        } else {
            (self.mean, self.dev, self.base, self.seen) = (took, took / 2.0, took, true);
        }
        self.base = self.base.min(self.mean);
        self.doubled = 0;
    }

    /// Beyond this a call is overdue.
    fn late(&self) -> Option<f64> {
        self.seen.then_some(self.mean + 4.0 * self.dev)
    }
}

/// This sender's part of a destination's traffic, from the messages submitted. However thin, it is unbiased:
/// what all senders together take it for adds up to what the destination gets.
#[derive(Clone, Debug)]
pub(crate) struct DemandEstimator {
    count: f64,
    since: Time,
    at: Time,
    proven: f64,
    /// One over the routes of the destination.
    share: f64,
    /// For all senders together: the rate that the list tells, perhaps rough, and what an answer told.
    listed: f64,
    reported_limit: Option<f64>,
}

/// Share of a count remembered after a time.
fn left_after(time: Duration) -> f64 {
    (-time.as_secs_f64() / DEMAND_MEMORY).exp()
}

impl DemandEstimator {
    pub(crate) fn new(now: Time) -> DemandEstimator {
        let none = f64::INFINITY;
        DemandEstimator {
            count: 0.0,
            since: now,
            at: now,
            proven: none,
            listed: none,
            reported_limit: None,
            share: 1.0,
        }
    }

    fn add(&mut self, now: Time, share: f64) {
        self.count = self.count * left_after(now - self.at) + share;
        (self.at, self.share) = (now, share);
    }

    /// Messages a second, no more than when something was last served: bursts lift only what is asked for.
    fn rate(&self, now: Time) -> f64 {
        self.asked(now).min(self.proven)
    }

    /// Time between calls at this part of what is accepted return; `rules.cold` at most over all routes.
    fn cold_gap(&self, now: Time, rules: &Rules) -> Duration {
        let gap = 1.0 / (rules.fall_multiple * rules.cold_from * self.rate(now)).max(1e-3);
        Duration::from_secs_f64(gap.min(rules.cold.as_secs_f64() / self.share))
    }

    fn asked(&self, now: Time) -> f64 {
        let known = 1.0 - left_after(now - self.since + Duration::from_secs(1));
        self.count * left_after(now - self.at) / (DEMAND_MEMORY * known)
    }
}

/// This sender's part of a limit that all senders share, as a token bucket. Guards against many senders that
/// all run into it: each sees too little to learn by refusals, and all pay for them with the limit.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    calls: f64,
    at: Time,
    rate: f64,
}

impl TokenBucket {
    pub(crate) fn new(now: Time) -> TokenBucket {
        TokenBucket {
            calls: PACE_DEPTH,
            at: now,
            rate: f64::INFINITY,
        }
    }

    /// Adds what has come since, and goes on at so many calls a second.
    fn refill(&mut self, now: Time, rate: f64) {
        self.calls = (self.calls + rate.min(1e9) * (now - self.at).as_secs_f64()).min(PACE_DEPTH);
        (self.at, self.rate) = (self.at.max(now), rate);
    }

    /// Nothing comes until then, and the next call within one gap after: who waited together return spread.
    fn rest(&mut self, until: Time, part: f64) {
        self.calls = self.calls.min(part);
        self.at = self.at.max(until);
    }

    /// When the next call is ready.
    fn next(&self) -> Time {
        self.at
            + Duration::from_secs_f64(((1.0 - self.calls) / self.rate.max(1e-3)).clamp(0.0, 60.0))
    }
}

impl Route {
    /// Calls a second that this sender lets itself make. Refusals in a row tell that its part is too much:
    /// what all send must fall below the limit before it is left. Who returns to a cold destination stays
    /// inside its part of what that can do, so that the other senders' parts are left to them.
    fn allowed_rate(&self, now: Time, rules: &Rules, senders: u32) -> f64 {
        let eased = 1.0 / (1.0 + EASE * f64::from(self.refused.min(EASE_MOST)));
        let part = |limit: f64| limit / f64::from(senders);
        let (reported_limit, listed) = (
            self.demand.reported_limit.map(part),
            part(self.demand.listed),
        );
        let limit = reported_limit.unwrap_or(listed);
        let HealthState::WarmingUp { since } = self.health.mode else {
            // Where there is no limit, who was refused goes on at the pace of its own messages.
            let own = if self.refused > 0 {
                2.0 * self.demand.rate(now)
            } else {
                f64::INFINITY
            };
            return eased
                * if limit.is_finite() {
                    PACE_SHARE * limit
                } else {
                    own
                };
        };
        let warm = (now - since).as_secs_f64() / rules.cold.as_secs_f64().max(1e-9);
        let present = rules.cold_from + (1.0 - rules.cold_from) * warm.min(1.0);
        // Without a limit told, who is asked for more than a destination takes must not return at that pace.
        let part = reported_limit
            .filter(|part| part.is_finite())
            .unwrap_or(self.demand.rate(now).min(listed));
        COLD_SHARE * rules.fall_multiple * present * part * eased
    }
}

/// What a call's end says of its destination's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthSignal {
    Success,
    Failure,
    Overload,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// The window alone decides.
    #[default]
    Up,
    /// Out: one trial at a time, from `next` on.
    Down { next: Time, step: u32 },
    /// Back since: a slow start inside the cold budget.
    WarmingUp { since: Time },
}

/// Health apart from load: guards against outages of any kind, which the paper's window takes for load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    mode: HealthState,
    streak: u32,
    refused_since: Option<Time>,
}

impl Health {
    /// Takes in how a call ended; true if an outage has just ended.
    fn record(
        &mut self,
        now: Time,
        signal: HealthSignal,
        rules: &Rules,
        gap: Duration,
        jitter: f64,
    ) -> bool {
        match signal {
            HealthSignal::Success => {
                (self.streak, self.refused_since) = (0, None);
                if let HealthState::Down { .. } = self.mode {
                    self.mode = HealthState::WarmingUp { since: now };
                    return true;
                }
            }
            HealthSignal::Failure => self.streak += 1,
            // Refusals are load, until they alone come for longer than any limit's span: then it is shut.
            HealthSignal::Overload => {
                let since = *self.refused_since.get_or_insert(now);
                if now - since > span(rules) {
                    self.streak += 1;
                }
            }
        }
        let step = match self.mode {
            HealthState::Up if self.streak >= STREAK => 0,
            HealthState::WarmingUp { .. } if self.streak >= 2 => 0,
            HealthState::Down { step, .. } => step + 1,
            HealthState::Up | HealthState::WarmingUp { .. } => return false,
        };
        let usual = (TRIAL_FIRST * (1 << step.min(4))).min(TRIAL_MOST);
        let pause = usual.max(gap).mul_f64(jitter);
        self.mode = HealthState::Down {
            next: now + pause,
            step,
        };
        false
    }
}

/// Puts a record into a spare place, or a new one, and tells which.
fn place<T>(all: &mut Vec<T>, spare: &mut Vec<usize>, fresh: T) -> usize {
    let at = spare.pop().unwrap_or(all.len());
    match all.get_mut(at) {
        Some(taken) => *taken = fresh,
        None => all.push(fresh),
    }
    at
}

/// The longest span of a limit: refusals and Retry-After waits beyond it mean an outage.
fn span(rules: &Rules) -> Duration {
    rules.fall.max(Duration::from_secs(2))
}

/// One sender: it holds messages and decides when and where each goes.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    seed: u64,
    rng: fastrand::Rng,
    now: Time,
    actions: Vec<Action>,
    endpoints: Vec<Endpoint>,
    /// Places of endpoints, and of routes, that have gone: taken by new ones.
    spare: Vec<usize>,
    free_routes: Vec<usize>,
    by_id: BTreeMap<EndpointId, usize>,
    /// Those of them that have left the list and are not forgotten yet.
    removed: BTreeMap<EndpointId, usize>,
    routes: routes::RouteTable,
    routes_by_destination: BTreeMap<DestinationId, Vec<usize>>,
    messages: BTreeMap<u64, Message>,
    ids: BTreeMap<MessageId, u64>,
    ordered_queues: BTreeMap<OrderingKey, OrderedQueue>,
    /// Final answers are reported, and the reports answered: see `order`.
    confirms_reports: bool,
    keys_rest_until: Time,
    calls: BTreeMap<u64, Call>,
    /// Tokens of each tenant's share, as of the last batch.
    tokens: Vec<f64>,
    last_number: u64,
    next_wakeup: Option<Time>,
    ask_at: Option<Time>,
    asks_failed: u32,
    /// A connection idle for longer is closed before use.
    idle_limit: Duration,
    /// For each kind of destination: its endpoints are short of connections until then.
    connection_shortage: Vec<Time>,
    /// Recent share of calls lost among those sent after an idle time.
    idle_lost: f64,
}

impl Scheduler {
    /// A sender just started. It knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Scheduler, SettingsError> {
        let none = [settings.instances, settings.slots, settings.attempts_cap].contains(&0)
            || settings.max_pending == 0;
        if none || settings.classes.is_empty() {
            return Err(SettingsError(
                "senders, classes, slots, messages held, attempts must be above zero",
            ));
        }
        let ask_at = settings.ask_for_list.then_some(now);
        let (idle_limit, connection_shortage) =
            (settings.conn_idle, vec![now; settings.kinds.len()]);
        Ok(Scheduler {
            tokens: settings.tenants.iter().map(|t| t.quota_rps).collect(),
            settings,
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now,
            actions: Vec::new(),
            endpoints: Vec::new(),
            spare: Vec::new(),
            free_routes: Vec::new(),
            by_id: BTreeMap::new(),
            removed: BTreeMap::new(),
            routes: Default::default(),
            routes_by_destination: BTreeMap::new(),
            messages: BTreeMap::new(),
            ids: BTreeMap::new(),
            ordered_queues: BTreeMap::new(),
            confirms_reports: false,
            keys_rest_until: now,
            calls: BTreeMap::new(),
            last_number: 0,
            next_wakeup: None,
            ask_at,
            asks_failed: 0,
            idle_limit,
            idle_lost: 0.0,
            connection_shortage,
        })
    }

    /// Takes a batch of events that all happen at `now`, and returns what to do, in order.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        let passed = (now - self.now).as_secs_f64();
        self.now = self.now.max(now);
        for (tokens, tenant) in self.tokens.iter_mut().zip(&self.settings.tenants) {
            let part = tenant.quota_rps / f64::from(self.settings.instances);
            *tokens = (*tokens + part * passed).min((2.0 * part).max(1.0));
        }
        for event in events {
            self.on_event(event);
        }
        if self.ask_at.take_if(|t| *t <= self.now).is_some() {
            self.actions.push(Action::Subscribe);
        }
        self.expire_unreachable();
        self.dispatch();
        self.shed_excess();
        self.schedule_wakeup();
        std::mem::take(&mut self.actions)
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::List { whole, entries } => self.on_list(whole, entries),
            Event::ListFailed => {
                // Asking again at once would add to what broke it; the rule leaves several such pauses.
                self.asks_failed += 1;
                let pause = Duration::from_millis(300) * (1 << self.asks_failed.min(4));
                let pause = pause
                    .min(self.settings.rules.must_ask_in / 2)
                    .mul_f64(self.jitter());
                self.ask_at = self.settings.ask_for_list.then_some(self.now + pause);
            }
            Event::Accept(taken) => self.on_accept(taken),
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::Cancelled(id) => {
                if let Some(&number) = self.ids.get(&id) {
                    self.close(number);
                }
            }
            Event::HealthChecked { endpoint, status } => {
                if let Some(&e) = self.by_id.get(&endpoint) {
                    self.record_health_signal(e, status);
                }
            }
            Event::SenderCount(senders) => self.settings.instances = senders.max(1),
            Event::Wake => {
                // Callers may round a timer down: a wake within a tick of the time meant is the one meant.
                if self
                    .next_wakeup
                    .is_some_and(|t| t <= self.now + self.settings.tick)
                {
                    self.next_wakeup = None;
                }
            }
        }
    }

    fn on_list(&mut self, whole: bool, entries: Vec<Entry>) {
        self.asks_failed = 0;
        if whole {
            self.endpoints
                .iter_mut()
                .for_each(|e| e.condition = Condition::Removed);
            self.removed = self.by_id.clone();
        }
        for entry in entries {
            if let Some(&e) = self.by_id.get(&entry.endpoint) {
                self.endpoints[e].condition = entry.condition;
                self.endpoints[e].zone = entry.zone;
                match entry.condition {
                    Condition::Removed => self.removed.insert(entry.endpoint, e),
                    Condition::Ready | Condition::Draining => self.removed.remove(&entry.endpoint),
                };
                continue;
            }
            if entry.condition == Condition::Removed {
                continue;
            }
            let kind = self
                .settings
                .kinds
                .get(entry.kind)
                .copied()
                .unwrap_or(Kind {
                    per_call: 1,
                    apart: false,
                });
            let routes = self
                .routes_by_destination
                .entry(entry.destination)
                .or_default();
            let route = match routes.first() {
                Some(&route) if !kind.apart => route,
                sibling => {
                    let demand = sibling.map_or(DemandEstimator::new(self.now), |&l| {
                        self.routes[l].demand.clone()
                    });
                    let (window, classes) = (
                        Window::new(self.settings.slots),
                        self.settings.classes.len(),
                    );
                    let fresh =
                        Route::new(entry.destination, kind, window, demand, self.now, classes);
                    let route = self.routes.place(&mut self.free_routes, fresh);
                    routes.push(route);
                    route
                }
            };
            // What failed was another: a new endpoint need not wait for the next trial.
            if let HealthState::Down { next, .. } = &mut self.routes[route].health.mode {
                *next = self.now;
            }
            if self.settings.rates_listed && entry.rate > 0.0 {
                self.routes[route].demand.listed = entry.rate;
            }
            let id = entry.endpoint.clone();
            let fresh = Endpoint::new(entry, route, self.now, self.seed);
            let index = place(&mut self.endpoints, &mut self.spare, fresh);
            self.routes[route].endpoints.push(index);
            self.by_id.insert(id, index);
        }
        self.forget_removed();
    }

    fn on_accept(&mut self, taken: AcceptedMessage) {
        let AcceptedMessage {
            id,
            class,
            tenant,
            ordering_key,
            time_left: left,
            destination,
            prior,
        } = taken;
        if class >= self.settings.classes.len() || self.ids.contains_key(&id) {
            return;
        }
        let over_share = self.tokens.get_mut(tenant).is_some_and(|t| {
            let completed = *t < 1.0;
            *t = (*t - 1.0).max(0.0);
            completed
        });
        let number = self.number();
        let ordering_key = ordering_key.filter(|_| self.settings.classes[class].in_order);
        let spec = &self.settings.classes[class];
        let passed = spec.deadline.saturating_sub(left);
        if let Some(ordering_key) = &ordering_key {
            self.ordered_queues
                .entry(ordering_key.clone())
                .or_default()
                .line
                .push_back(number);
        }
        // Each route apart counts its part only: the whole at each would sum to a multiple of the traffic.
        let routes = self.listed(destination);
        let part = 1.0 / routes.len().max(1) as f64;
        for route in routes {
            let route = &mut self.routes[route];
            route.toss_at = self.now;
            route.demand.add(self.now, part);
            // What a restart found came over the time passed since; as new demand it would be a burst
            // that never was.
            if prior.restored {
                route.demand.since = route
                    .demand
                    .since
                    .min(Time(self.now.0.saturating_sub(passed.as_nanos() as u64)));
            }
            // As the paper under a window of one: where a sender seldom calls, half of its messages are tried
            // as they come, out or not. All senders together then push less than their fresh traffic.
            let rate = route.demand.rate(self.now);
            let open = self.now >= route.blocked_until;
            if open && rate * TRIAL_MOST.as_secs_f64() < 1.0 && self.rng.f64() < FLOOR * part {
                if route.demand.reported_limit.is_none_or(f64::is_infinite) {
                    route.token_bucket.calls = route.token_bucket.calls.max(1.0);
                }
                if let HealthState::Down { next, .. } = &mut route.health.mode {
                    *next = self.now;
                }
            }
        }
        self.ids.insert(id.clone(), number);
        let message = Message {
            id,
            class,
            ordering_key,
            destination,
            over_share,
            latency_objective_at: self.now + spec.latency_objective.saturating_sub(passed),
            deadline: self.now + left,
            not_before: self.now,
            attempts: prior.attempts,
            in_flight: None,
            // An earlier process's attempt keeps its age, so that no repeat leaves its window.
            possibly_executed: prior.possibly_executed.map(|(ago, at)| {
                (
                    Time(self.now.0.saturating_sub(ago.as_nanos() as u64)),
                    self.by_id.get(&at).copied(),
                )
            }),
            verdict: None,
            completed: false,
        };
        self.messages.insert(number, message);
    }

    fn on_outcome(&mut self, outcome: Outcome) {
        let Outcome {
            id,
            attempt,
            status,
            completed,
            took,
            wait,
            report,
        } = outcome;
        let Some(&number) = self.ids.get(&id) else {
            return;
        };
        let now = self.now;
        let jitter = self.jitter();
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        let Some(in_flight) = message.in_flight.take_if(|o| o.number == attempt) else {
            return;
        };
        let class = message.class;
        let route = self.endpoints[in_flight.endpoint].route;
        // Who could not be reached and soon answers is short of connections: an outage would have gone on.
        let connect_failed_at = self.routes[route]
            .connect_failed_at
            .take_if(|_| status == Status::Served);
        if connect_failed_at.is_some_and(|at| now - at < TRIAL_MOST)
            && let Some(connection_shortage) = self
                .connection_shortage
                .get_mut(self.endpoints[in_flight.endpoint].kind)
        {
            *connection_shortage = now + CONNECTION_SHORTAGE_PERIOD;
        }
        let first = self.end_call(&in_flight);
        if let Some(wait) = wait {
            let route = &mut self.routes[route];
            route.blocked_until = route.blocked_until.max(now + wait + self.settings.tick);
        }
        if let Some(report) = report.filter(|r| r.limit >= 0.0 && r.left.is_finite()) {
            self.routes[route].demand.reported_limit = Some(if report.limit > 0.0 {
                report.limit
            } else {
                f64::INFINITY
            });
        }
        // A client's short patience ends a call before its usual time: that says nothing of the destination.
        let overdue = self.times(&self.routes[route], class).1;
        let cut_short = status == Status::TimedOut && took.as_secs_f64() < overdue;
        if first && !cut_short {
            match status {
                Status::Served
                | Status::Error
                | Status::Spoilt
                | Status::RecipientRemoved
                | Status::PermanentError => {
                    self.routes[route].rtt[class].sample(took.as_secs_f64());
                    self.endpoints[in_flight.endpoint].last_answer = now;
                }
                Status::NoConnection => self.routes[route].connect_failed_at = Some(now),
                // Once for all that were out together: only a call sent since tells of more.
                Status::TimedOut => {
                    let rtt = &mut self.routes[route].rtt[class];
                    if rtt.doubled_at.is_none_or(|at| in_flight.sent >= at) {
                        (rtt.doubled, rtt.doubled_at) = (rtt.doubled + 1, Some(now));
                    }
                }
                Status::Overloaded => {
                    self.endpoints[in_flight.endpoint].last_answer = now;
                    // Senders refused together, or told the same end of a wait, must not return together.
                    let route = &mut self.routes[route];
                    route.refused += 1;
                    route
                        .token_bucket
                        .rest(route.blocked_until.max(now), self.rng.f64());
                }
                Status::Reset | Status::Dropped | Status::Cancelled | Status::NotSent => {}
            }
            self.record_idle_loss(in_flight.endpoint, status);
            self.record_health_signal(in_flight.endpoint, status);
        }
        // A wait longer than any limit's span tells of an outage: who was told returns as after one.
        if wait.is_some_and(|w| w > span(&self.settings.rules)) {
            let route = &mut self.routes[route];
            let next = route.blocked_until
                + route
                    .demand
                    .cold_gap(now, &self.settings.rules)
                    .mul_f64(jitter);
            route.health.mode = HealthState::Down { next, step: 0 };
        }
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        if !status.not_executed() {
            message
                .possibly_executed
                .get_or_insert((in_flight.sent, Some(in_flight.endpoint)));
        }
        if matches!(
            status,
            Status::TimedOut | Status::Reset | Status::Dropped | Status::Cancelled
        ) && let Some(line) = message
            .ordering_key
            .as_ref()
            .and_then(|k| self.ordered_queues.get_mut(k))
        {
            (line.rest_until, line.rest_by) = (now + self.settings.rules.key_quiet, number);
        }
        if completed || message.completed || status == Status::Served {
            return self.close(number);
        }
        if matches!(status, Status::RecipientRemoved | Status::PermanentError) {
            message.verdict = Some(status);
        }
        let pause = match status {
            Status::Error | Status::Spoilt | Status::Reset | Status::NotSent => {
                0.05 * f64::from(1u32 << message.attempts.min(5))
            }
            _ => 0.0,
        };
        message.not_before = now + Duration::from_secs_f64(pause * jitter);
    }

    /// Guards against connections that die unseen while idle: once a fair part of calls after an idle time is
    /// lost at endpoints that did not fail before, the idle time trusted is halved and longer idle ones are
    /// closed before use. Outages alone seldom reach that part.
    fn record_idle_loss(&mut self, e: usize, status: Status) {
        let endpoint = &self.endpoints[e];
        let lost = match status {
            Status::TimedOut | Status::Reset | Status::Dropped => true,
            Status::Served
            | Status::Error
            | Status::Spoilt
            | Status::RecipientRemoved
            | Status::PermanentError => false,
            Status::Overloaded | Status::NoConnection | Status::Cancelled | Status::NotSent => {
                return;
            }
        };
        if endpoint.gap <= IDLE_LEAST || endpoint.streak > 0 {
            return;
        }
        self.idle_lost += IDLE_GAIN * (f64::from(u8::from(lost)) - self.idle_lost);
        if lost && self.idle_lost > IDLE_LOST {
            self.idle_limit = self.idle_limit.min(endpoint.gap / 2).max(IDLE_LEAST);
            if endpoint.in_flight == 0 {
                self.actions.push(Action::CloseIdle(endpoint.id.clone()));
            }
        }
    }

    /// One message of a call is back; true for the first of them, which speaks for the call.
    fn end_call(&mut self, in_flight: &Attempt) -> bool {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&in_flight.call) else {
            return false;
        };
        call.waiting -= 1;
        let first = !std::mem::replace(&mut call.counted, true);
        if call.waiting == 0 {
            let endpoint = &mut self.endpoints[call.endpoint];
            endpoint.in_flight -= 1;
            self.routes[endpoint.route].in_flight -= 1;
            // Idle connections count where an endpoint takes few: one that would hardly be used again is
            // closed; where they crowd, all senders together keep no more than one would.
            let gap = (now - endpoint.since + self.settings.conn_idle) / endpoint.uses.max(1);
            let connection_shortage = self
                .connection_shortage
                .get(endpoint.kind)
                .is_some_and(|&t| now < t);
            let sharers = if connection_shortage {
                self.settings.instances
            } else {
                1
            };
            if endpoint.in_flight == 0 && gap * sharers > self.idle_limit * IDLE_WORTH {
                self.actions.push(Action::CloseIdle(endpoint.id.clone()));
            }
            self.calls.remove(&in_flight.call);
        }
        first
    }

    /// A call's or probe's end, for the window (load) and for health (outage).
    fn record_health_signal(&mut self, endpoint: usize, status: Status) {
        let (now, jitter, rules) = (self.now, self.jitter(), self.settings.rules);
        let endpoint = &mut self.endpoints[endpoint];
        let route = &mut self.routes[endpoint.route];
        // Nothing is sent during a Retry-After wait: what is served then was sent before, and ends no outage.
        let early =
            now < route.blocked_until && matches!(route.health.mode, HealthState::Down { .. });
        let signal = match status {
            Status::Served if early => return route.window.answered(),
            Status::Served => HealthSignal::Success,
            Status::Overloaded => HealthSignal::Overload,
            Status::Error | Status::TimedOut | Status::NoConnection | Status::Reset => {
                HealthSignal::Failure
            }
            // An answer about one message only, or spoilt on its way: it is neither better nor worse.
            Status::RecipientRemoved | Status::PermanentError | Status::Spoilt => {
                return route.window.answered();
            }
            Status::Cancelled | Status::Dropped | Status::NotSent => return,
        };
        if matches!(status, Status::Served | Status::Error) {
            route.window.answered();
        } else {
            route.window.cut();
            route.cut_at = now;
        }
        endpoint.streak = if signal == HealthSignal::Success {
            0
        } else {
            endpoint.streak + u32::from(signal == HealthSignal::Failure)
        };
        let back = route.health.record(
            now,
            signal,
            &rules,
            route.demand.cold_gap(now, &rules),
            jitter,
        );
        if signal == HealthSignal::Success {
            route.refused = 0;
            route.demand.proven = route.demand.asked(now);
            // Climbing back by tenths would age what is held: the proven window returns at once, and the
            // cold budget, not the window, holds the calls down.
            if back {
                route.window = route.proven_window.clone();
                route.token_bucket.calls = 0.0;
            } else if route.health.mode == HealthState::Up {
                route.proven_window = route.window.clone();
            }
        }
    }

    /// Nothing more is owed for this message. Its place in its key's line stays until its attempt is back.
    fn close(&mut self, number: u64) {
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        message.completed = true;
        if message.in_flight.is_some() {
            return;
        }
        if let Some(message) = self.messages.remove(&number) {
            self.ids.remove(&message.id);
            if let Some(line) = message
                .ordering_key
                .as_ref()
                .and_then(|k| self.ordered_queues.get_mut(k))
            {
                line.line.retain(|&n| n != number);
            }
        }
    }

    /// The final answer for a message given up on: refused where another try is harmless, else failed.
    fn give_up(&mut self, number: u64) {
        let Some(m) = self.messages.get(&number) else {
            return;
        };
        let class = &self.settings.classes[m.class];
        let (id, verdict) = (m.id.clone(), m.verdict);
        let after = (self.settings.retry_after && verdict.is_none())
            .then_some(self.settings.max_retry_after / 2);
        // Who is told to come again comes to any endpoint, after that wait.
        let anywhere = class.effect == Effect::Safe || class.dedup == DedupScope::All;
        let inside = self.harmless(m, self.now + after.unwrap_or_default());
        let refused = (m.possibly_executed.is_none() || anywhere)
            && inside
            && verdict != Some(Status::PermanentError);
        self.actions.push(if refused {
            Action::Reject { id, after }
        } else {
            Action::Fail(id)
        });
        self.hold_for_report(number);
        self.close(number);
    }

    /// Ends at once what can't be delivered any more.
    fn expire_unreachable(&mut self) {
        let (now, margin) = (self.now, self.settings.tick * 2);
        let ends = |m: &Message| m.deadline <= now + margin || !self.may_repeat(m);
        let pending = self
            .messages
            .iter()
            .filter(|(_, m)| m.in_flight.is_none() && !m.completed && ends(m));
        let unreachable: Vec<u64> = pending.map(|(&n, _)| n).collect();
        unreachable.into_iter().for_each(|n| self.give_up(n));
        self.forget_keys();
    }

    /// Ends the least worthy of what overflows, once all that may go has gone: one destination's backlog must
    /// not turn away what others would take at once.
    fn shed_excess(&mut self) {
        let excess = self.messages.len().saturating_sub(self.max_pending());
        if excess > 0 {
            let pending = self
                .messages
                .iter()
                .filter(|(_, m)| m.in_flight.is_none() && !m.completed);
            let mut order: Vec<(f64, u64)> = pending
                .map(|(&n, m)| (self.priority_weight(m, self.now), n))
                .collect();
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            order
                .into_iter()
                .take(excess)
                .for_each(|(_, n)| self.give_up(n));
        }
    }

    /// Whether a further attempt keeps the rules, wherever it goes.
    fn may_repeat(&self, m: &Message) -> bool {
        m.attempts < self.settings.attempts_cap && m.verdict.is_none() && self.harmless(m, self.now)
    }

    /// Until when this message may come to its destination though it may have been executed, if not at any time.
    fn repeats_until(&self, m: &Message) -> Option<Time> {
        let (class, (sent, _)) = (&self.settings.classes[m.class], m.possibly_executed?);
        match class.effect {
            Effect::Safe => None,
            Effect::Idempotent => Some(sent + class.window),
            Effect::Unsafe => Some(sent),
        }
    }

    fn harmless(&self, m: &Message, at: Time) -> bool {
        self.repeats_until(m).is_none_or(|until| at < until)
    }

    /// What a message earns if it is answered at `at`.
    fn priority_weight(&self, m: &Message, at: Time) -> f64 {
        let class = &self.settings.classes[m.class];
        if at >= m.deadline {
            return 0.0;
        }
        let late = (at - m.latency_objective_at).as_secs_f64();
        let share = match self.settings.decay {
            Decay::Linear => {
                let span = class
                    .deadline
                    .saturating_sub(class.latency_objective)
                    .as_secs_f64()
                    .max(1e-9);
                1.0 - (1.0 - class.late_share) * (late / span)
            }
            Decay::Halving => 0.5f64.powf(late / class.latency_objective.as_secs_f64().max(1e-9)),
        };
        let full = class.priority_weight
            * if m.over_share {
                self.settings.over_share_worth
            } else {
                1.0
            };
        full * share.clamp(class.late_share.min(1.0), 1.0)
    }

    /// Usual time of a call of this class, and the time beyond which it is overdue.
    fn times(&self, route: &Route, class: usize) -> (f64, f64) {
        let latency_objective = self.settings.classes[class].latency_objective.as_secs_f64();
        let rtt = &route.rtt[class];
        rtt.late()
            .map_or((latency_objective / 4.0, latency_objective), |late| {
                (rtt.mean, late.max(latency_objective / 8.0))
            })
    }

    /// Time-out of an attempt: generous beyond overdue, doubled after each time-out (as RFC 6298 does), so
    /// that neither a hang nor a lost answer holds slots for whole deadlines. An unsafe call timed out is
    /// lost, so there it is far beyond both what was ever seen and what still earns full worth.
    fn timeout(&self, m: &Message, route: &Route) -> Duration {
        let class = &self.settings.classes[m.class];
        let doubled = f64::from(1u32 << route.rtt[m.class].doubled.min(4));
        let usual = 2.0 * self.times(route, m.class).1 * doubled;
        let unsafely = (2.0 * usual).max(2.0 * class.latency_objective.as_secs_f64());
        let time = if class.effect == Effect::Unsafe {
            unsafely
        } else {
            usual
        };
        Duration::from_secs_f64(time).min(m.deadline - self.now)
    }

    /// A call that waits beyond its time, with no answer since it was sent, is a sign before any time-out:
    /// nothing is added to it, but for a repeatable trial now and then, since one lost answer proves little.
    /// Guards against hangs, silent endpoints and stalls alike.
    fn suspect(&self, e: usize, repeatable: bool) -> bool {
        let endpoint = &self.endpoints[e];
        self.calls.values().any(|c| {
            let late = Duration::from_secs_f64(self.times(&self.routes[endpoint.route], c.class).1);
            let trial = repeatable && endpoint.last_used.is_none_or(|t| self.now - t > 4 * late);
            c.endpoint == e && endpoint.last_answer <= c.sent && self.now - c.sent > late && !trial
        })
    }

    /// The one check before every send: may this message go to this endpoint now, as a call of its own or
    /// (`joining`) as a further message in a call of this batch?
    fn may_send(&self, number: u64, m: &Message, e: usize, joining: bool) -> bool {
        let now = self.now;
        let endpoint = &self.endpoints[e];
        let route = &self.routes[endpoint.route];
        let class: &Class = &self.settings.classes[m.class];
        // No message lost, no effect twice, attempts capped, never two at once.
        if m.completed
            || m.in_flight.is_some()
            || m.deadline <= now
            || now < m.not_before
            || !self.may_repeat(m)
        {
            return false;
        }
        // A repeat that may be one goes only where it is dropped.
        let dropped = |first: Option<usize>| match class.dedup {
            DedupScope::All => true,
            DedupScope::Zone => first.is_some_and(|f| self.endpoints[f].zone == endpoint.zone),
            DedupScope::Endpoint => first == Some(e),
        };
        if class.effect == Effect::Idempotent
            && m.possibly_executed
                .is_some_and(|(_, first)| !dropped(first))
        {
            return false;
        }
        // Drains kept, waits heeded.
        if !endpoint.takes() || now < route.blocked_until {
            return false;
        }
        // Order kept: the head of its key's line, after any rest.
        if !self.in_turn(number, m) {
            return false;
        }
        // While out, one trial at a time.
        let capacity = route.window.has_room(route.in_flight)
            && (route.lucky || route.window.chance().is_none());
        let open = match route.health.mode {
            HealthState::Down { next, .. } => now >= next && route.in_flight == 0,
            HealthState::Up | HealthState::WarmingUp { .. } => {
                capacity
                    && (route.token_bucket.calls >= 1.0 || route.token_bucket.rate.is_infinite())
            }
        };
        let free = (self.settings.slots as usize).saturating_sub(self.calls.len());
        let slow = route.rtt.iter().any(|r| r.seen && r.mean > SLOW * r.base);
        // Slots run short together where one destination is slow: who has many must leave some to the rest
        // (the dynamic threshold of shared buffers), so that no backlog of one starves the others.
        joining
            || free > 0
            // Nagle's rule: where a call takes many messages, small ones beside it only take scarce slots.
            && (route.backlog >= route.kind.per_call as usize || endpoint.in_flight == 0 || free > self.calls.len())
            && (!slow || (route.in_flight as usize) < SLOT_SHARE * free)
            && open
            && !self.suspect(e, class.effect != Effect::Unsafe)
    }

    /// Sends what may go, most urgent worth for its slot first. The only place that sends.
    fn dispatch(&mut self) {
        let now = self.now;
        self.routes.active_mut().for_each(|l| l.backlog = 0);
        for m in self.messages.values().filter(|m| m.in_flight.is_none()) {
            for &route in self
                .routes_by_destination
                .get(&m.destination)
                .into_iter()
                .flatten()
            {
                self.routes[route].backlog += 1;
            }
        }
        for route in self.routes.active_mut() {
            // A slow start that is over.
            if matches!(route.health.mode, HealthState::WarmingUp { since } if now - since >= self.settings.rules.cold)
            {
                route.health.mode = HealthState::Up;
            }
            let rate = route.allowed_rate(now, &self.settings.rules, self.settings.instances);
            route.token_bucket.refill(now, rate);
            let chance = route.window.chance();
            route.lucky |= chance.is_none();
            // The paper's fractional call: one toss for each arrival or retest; a toss won waits for a slot.
            if let Some(chance) =
                chance.filter(|_| route.backlog > 0 && !route.lucky && route.in_flight == 0)
                && now >= route.toss_at.max(route.blocked_until)
            {
                // What cut the window ages: a rare sender would need minutes of answers to climb back to one.
                let aged = (now - route.cut_at).as_secs_f64()
                    / self.settings.rules.cold.as_secs_f64().max(1.0);
                route.lucky = self.rng.f64() < chance.max(aged);
                // The paper tosses once for each call that comes. Retests double that, however many senders.
                let mean = Duration::from_secs_f64(1.0 / route.demand.rate(now).max(0.1));
                route.toss_at = now + mean.max(RETEST);
            }
        }
        self.routes.settle(now);
        let ready = self
            .messages
            .iter()
            .filter(|(_, m)| m.in_flight.is_none() && now >= m.not_before);
        let mut order: Vec<(f64, u64)> = ready.map(|(&n, m)| (self.urgency(m), n)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut open: BTreeMap<usize, u64> = BTreeMap::new();
        for (_, number) in order {
            if let Some(e) = self.choose(number, &open) {
                self.send(number, e, &mut open);
            }
        }
    }

    /// What is lost, for each second of a slot, if this message waits as long as its destination's backlog.
    fn urgency(&self, m: &Message) -> f64 {
        // Of routes apart, the one with the shortest time is meant.
        let routes = self
            .routes_by_destination
            .get(&m.destination)
            .into_iter()
            .flatten()
            .map(|&l| &self.routes[l]);
        let timed = routes.map(|route| (self.times(route, m.class).0, route));
        let Some((usual, route)) = timed.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return 0.0;
        };
        // A call that carries many costs each of them only its part of the slot.
        let sharing = route.backlog.clamp(1, route.kind.per_call.max(1) as usize);
        let served = route.demand.rate(self.now).max(0.5);
        let wait = (route.backlog as f64 / served).clamp(0.5, 10.0);
        let soon = self.now + Duration::from_secs_f64(usual);
        let (first, last) = (
            self.priority_weight(m, soon),
            self.priority_weight(m, soon + Duration::from_secs_f64(wait)),
        );
        (first - last + 0.01 * first) * sharing as f64 / usual.max(1e-3)
    }

    /// The best endpoint that admits the message: an open call of this batch, then one without fresh
    /// failures, in the own zone, with least in flight, then by this sender's own order.
    fn choose(&self, number: u64, open: &BTreeMap<usize, u64>) -> Option<usize> {
        let m = self.messages.get(&number)?;
        let routes = self.routes_by_destination.get(&m.destination)?;
        routes
            .iter()
            .flat_map(|&l| self.routes[l].endpoints.iter().copied())
            .filter(|e| self.may_send(number, m, *e, self.joins(m, *e, open)))
            .min_by_key(|&e| {
                let endpoint = &self.endpoints[e];
                let far = endpoint.distance(self.settings.zone);
                // Of several that failed, the one that failed least: an outage need not be all of them's.
                let failed = if self.is_ejected(endpoint) {
                    endpoint.streak
                } else {
                    0
                };
                (
                    !self.joins(m, e, open),
                    failed,
                    far,
                    endpoint.in_flight,
                    endpoint.rank,
                    e,
                )
            })
    }

    /// Whether an endpoint's failures still speak against it. They age: one that failed is tried now and
    /// then though others would do, or it would be left out for good.
    fn is_ejected(&self, endpoint: &Endpoint) -> bool {
        let pause = TRIAL_FIRST * (1 << endpoint.streak.min(4));
        endpoint.streak > 0 && endpoint.last_used.is_none_or(|t| self.now - t < pause)
    }

    /// A destination's routes that still have an endpoint in the list.
    fn listed(&self, destination: DestinationId) -> Vec<usize> {
        let there = |&e: &usize| self.endpoints[e].condition != Condition::Removed;
        let routes = self
            .routes_by_destination
            .get(&destination)
            .into_iter()
            .flatten()
            .copied();
        routes
            .filter(|&l| self.routes[l].endpoints.iter().any(there))
            .collect()
    }

    /// Whether a message may share this batch's call. A call has one wait, within the time of each and no
    /// shorter than each needs: one that ran out alone would leave open what the answer says of the rest.
    fn joins(&self, m: &Message, e: usize, open: &BTreeMap<usize, u64>) -> bool {
        let Some(call) = open.get(&e).and_then(|c| self.calls.get(c)) else {
            return false;
        };
        let route = &self.routes[self.endpoints[e].route];
        let until = call.until.min(self.now + self.timeout(m, route));
        call.messages < route.kind.per_call && call.least.max(self.least(m, route)) <= until
    }

    /// The shortest wait that a call with it may have: what may not be repeated is lost by a shorter one.
    fn least(&self, m: &Message, route: &Route) -> Time {
        let unsafely = self.settings.classes[m.class].effect == Effect::Unsafe;
        let usual = Duration::from_secs_f64(self.times(route, m.class).0);
        self.now
            + if unsafely {
                self.timeout(m, route)
            } else {
                usual
            }
    }

    fn send(&mut self, number: u64, e: usize, open: &mut BTreeMap<usize, u64>) {
        let now = self.now;
        let fresh = self.number();
        let Some(m) = self.messages.get(&number) else {
            return;
        };
        let (joining, route, class) = (self.joins(m, e, open), self.endpoints[e].route, m.class);
        let timeout = self.timeout(m, &self.routes[route]);
        let (until, least) = (now + timeout, self.least(m, &self.routes[route]));
        let write_within = self.repeats_until(m).map(|until| until - now);
        let call = if joining { open[&e] } else { fresh };
        if let Some(call) = self.calls.get_mut(&call) {
            (call.messages, call.waiting) = (call.messages + 1, call.waiting + 1);
            (call.until, call.least) = (call.until.min(until), call.least.max(least));
        } else {
            let (endpoint, sent, waiting, counted) = (e, now, 1, false);
            let new = Call {
                endpoint,
                class,
                sent,
                until,
                least,
                messages: 1,
                waiting,
                counted,
            };
            self.calls.insert(call, new);
            open.insert(e, call);
            let endpoint = &mut self.endpoints[e];
            let route = &mut self.routes[route];
            endpoint.gap = endpoint
                .last_used
                .map_or(Duration::ZERO, |t| now - t.max(endpoint.last_answer));
            if endpoint.in_flight == 0 && endpoint.gap > self.idle_limit {
                self.actions.push(Action::CloseIdle(endpoint.id.clone()));
                endpoint.gap = Duration::ZERO;
            }
            endpoint.in_flight += 1;
            endpoint.last_used = Some(now);
            endpoint.use_up();
            route.in_flight += 1;
            (route.lucky, route.used) = (false, true);
            route.token_bucket.calls = (route.token_bucket.calls - 1.0).max(-1.0);
        }
        if let Some(m) = self.messages.get_mut(&number) {
            m.in_flight = Some(Attempt {
                number: m.attempts,
                endpoint: e,
                call,
                sent: now,
            });
            m.attempts += 1;
            let (id, endpoint) = (m.id.clone(), self.endpoints[e].id.clone());
            self.actions.push(Action::Send {
                id,
                endpoint,
                timeout,
                call,
                write_within,
            });
        }
    }

    /// Sets the timer for the next moment at which something held could move or must end.
    fn schedule_wakeup(&mut self) {
        let now = self.now;
        let mut next = self.ask_at;
        let mut consider = |t: Time| next = Some(next.map_or(t, |n| n.min(t)));
        for m in self.messages.values().filter(|m| m.in_flight.is_none()) {
            consider(
                (now + RETEST).min(Time(
                    m.deadline
                        .0
                        .saturating_sub(2 * self.settings.tick.as_nanos() as u64),
                )),
            );
            let gates = self
                .routes_by_destination
                .get(&m.destination)
                .into_iter()
                .flatten()
                .map(|&l| &self.routes[l]);
            let ordered_queues = m
                .ordering_key
                .as_ref()
                .and_then(|k| self.ordered_queues.get(k))
                .map(|k| k.rest_until.max(self.keys_rest_until));
            let opens = gates.flat_map(|route| {
                let trial = if let HealthState::Down { next, .. } = route.health.mode {
                    next
                } else {
                    now
                };
                [route.blocked_until, trial, route.token_bucket.next()]
            });
            opens
                .chain(ordered_queues)
                .chain([m.not_before])
                .filter(|&t| t > now)
                .for_each(&mut consider);
        }
        if let Some(next) = next.map(|t| t.max(now + self.settings.tick))
            && self.next_wakeup.is_none_or(|t| t <= now || t > next)
        {
            self.next_wakeup = Some(next);
            self.actions.push(Action::Timer(next - now));
        }
    }

    /// Endpoints and routes that there is room for: what a long day must not let grow.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len().max(self.routes.len())
    }

    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A factor around one, so that senders struck together don't act together.
    fn jitter(&mut self) -> f64 {
        0.75 + 0.5 * self.rng.f64()
    }
}
