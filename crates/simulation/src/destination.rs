//! One destination: its endpoints, what it takes, how fast it is, and what comes back from it.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::fault::{Fault, State, back_since};
use crate::limit::{Allowance, Limit, seconds};
use crate::return_guard::{Guard, Return};

/// Quick failures and refusals are answered within this.
const QUICK: Duration = Duration::from_millis(4);

/// A destination as it is set up for a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    pub endpoints: usize,
    /// Its endpoints have one limit together; else each has its own.
    pub shared: bool,
    pub limit: Limit,
    /// Refused calls use the limit up too.
    pub charge_refused: bool,
    /// Messages a second that it can do when warm, over all its endpoints.
    pub capacity: f64,
    /// Calls that may wait at one endpoint for their turn.
    pub queue: usize,
    /// Mean time for one message, and its spread: the standard deviation over the mean (log-normal).
    pub pace: Duration,
    pub spread: f64,
    /// Connections that one endpoint takes, idle ones counted.
    pub connections: Option<usize>,
    /// Chance that a refusal tells how long to wait, and between which bounds if the limit does not say.
    pub sends_retry_after: f64,
    pub wait: (Duration, Duration),
    /// Messages that one call may hold, and what each after the first adds to its work.
    pub batch: usize,
    pub item_cost: f64,
    /// How often its reading of the limit is refreshed; `None` if answers have none.
    pub reports: Option<Duration>,
    pub back: Return,
}

impl Default for Spec {
    fn default() -> Spec {
        Spec {
            endpoints: 1,
            shared: true,
            limit: Limit::None,
            charge_refused: false,
            capacity: 10.0,
            queue: 16,
            pace: Duration::from_millis(300),
            spread: 0.4,
            connections: None,
            sends_retry_after: 0.8,
            wait: (Duration::from_millis(640), Duration::from_millis(1500)),
            batch: 1,
            item_cost: 0.1,
            reports: None,
            back: Return::default(),
        }
    }
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connect {
    Up,
    /// Reset at once.
    Refused,
    /// Never comes up.
    Nothing,
}

/// How an answer is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// No HTTP at all.
    Garbage,
    /// A head that promises more than comes, and then the end.
    CutOff,
    /// A head that never ends.
    Stalls,
    /// Bytes behind a whole answer.
    Trailing,
}

/// What one message of a call came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    Done,
    Failed,
    /// Never ran.
    Busy,
}

/// What comes back, and when.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// By message, in their order. `wait` is told with it.
    Answer {
        at: Duration,
        outcomes: Vec<DeliveryOutcome>,
        wait: Option<Duration>,
        report: Option<(f64, f64)>,
    },
    /// Bytes that are no answer; the call has been executed.
    Spoilt { at: Duration, how: Spoilt },
    /// The connection is reset; it may have been executed.
    Reset { at: Duration, executed: bool },
    /// Nothing, ever; it may be executed all the same.
    Nothing,
}

/// A call as it arrived whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    pub endpoint: usize,
    pub messages: usize,
}

/// Whether a destination has just been pushed over.
pub type Fell = bool;

#[derive(Clone, Debug, Default)]
struct Endpoint {
    faults: Vec<Fault>,
    connections: usize,
    /// When each of its workers is free.
    workers: Vec<Duration>,
    /// Starts of calls that wait for a worker.
    waiting: Vec<Duration>,
}

/// A destination in use.
#[derive(Clone, Debug)]
pub struct SimulatedDestination {
    spec: Spec,
    endpoints: Vec<Endpoint>,
    allowances: Vec<Allowance>,
    guard: Guard,
    /// The reading of each allowance, and when it was taken.
    readings: BTreeMap<usize, (Duration, (f64, f64))>,
    rng: ChaCha8Rng,
}

impl SimulatedDestination {
    /// `faults` by endpoint. The generator is the destination's own: what others do does not change its draws.
    pub fn new(spec: Spec, faults: Vec<Vec<Fault>>, rng: ChaCha8Rng) -> SimulatedDestination {
        let count = spec.endpoints.max(1);
        // So many calls at once that a whole endpoint's share of the capacity is done at the mean pace.
        let at_once = spec.capacity * spec.pace.as_secs_f64() / count as f64;
        let workers = (at_once.ceil() as usize).max(1);
        let mut faults = faults.into_iter();
        let endpoints = (0..count)
            .map(|_| Endpoint {
                faults: faults.next().unwrap_or_default(),
                workers: vec![Duration::ZERO; workers],
                ..Endpoint::default()
            })
            .collect();
        let allowances = vec![Allowance::new(spec.limit); if spec.shared { 1 } else { count }];
        SimulatedDestination {
            spec,
            endpoints,
            allowances,
            guard: Guard::default(),
            readings: BTreeMap::new(),
            rng,
        }
    }

    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Messages a second that it can do at `now`; 0 while down and once it has fallen over.
    pub fn capacity(&self, now: Duration) -> f64 {
        if self.guard.fallen() {
            return 0.0;
        }
        let count = self.endpoints.len() as f64;
        let each = self.spec.capacity / count;
        let at = |e: &Endpoint| {
            let state = State::of(&e.faults, now);
            if state.is_down() {
                0.0
            } else {
                each * self.share(e, now) / state.slow.max(1e-9)
            }
        };
        self.endpoints.iter().map(at).sum()
    }

    fn share(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        back_since(&endpoint.faults, now).map_or(1.0, |back| self.spec.back.share(now - back))
    }

    /// Since when it is back from an outage that took all of its endpoints; `None` before and during one.
    pub fn back(&self, now: Duration) -> Option<Duration> {
        let mut latest = None;
        for endpoint in &self.endpoints {
            latest = latest.max(Some(back_since(&endpoint.faults, now)?));
        }
        latest
    }

    pub fn state(&self, endpoint: usize, now: Duration) -> State {
        State::of(self.endpoints.get(endpoint).map_or(&[], |e| &e.faults), now)
    }

    pub fn fallen(&self) -> bool {
        self.guard.fallen()
    }

    /// A connection is opened; unless it is [`Connect::Up`] it does not count.
    pub fn connect(&mut self, now: Duration, endpoint: usize) -> Connect {
        let state = self.state(endpoint, now);
        let fallen = self.guard.fallen();
        let Some(at) = self.endpoints.get_mut(endpoint) else {
            return Connect::Refused;
        };
        if state.vanished {
            return Connect::Nothing;
        }
        if state.refusing
            || fallen
            || self
                .spec
                .connections
                .is_some_and(|most| at.connections >= most)
        {
            return Connect::Refused;
        }
        at.connections += 1;
        Connect::Up
    }

    /// A connection that was up is gone.
    pub fn disconnect(&mut self, endpoint: usize) {
        if let Some(at) = self.endpoints.get_mut(endpoint) {
            at.connections = at.connections.saturating_sub(1);
        }
    }

    /// After how long a connection that is idle from `now` on is closed without a word, if it is.
    pub fn idle_patience(&mut self, now: Duration, endpoint: usize) -> Option<Duration> {
        let (least, most) = self.state(endpoint, now).close_idle?;
        Some(between(&mut self.rng, least, most))
    }

    /// A call has arrived whole: what comes back, and whether the destination has been pushed over by it.
    pub fn call(&mut self, now: Duration, asked: Asked) -> (Reply, Fell) {
        let count = asked.messages.max(1);
        let state = self.state(asked.endpoint, now);
        if state.vanished || state.silent {
            return (Reply::Nothing, false);
        }
        if state.refusing || self.guard.fallen() || asked.endpoint >= self.endpoints.len() {
            return (
                Reply::Reset {
                    at: now,
                    executed: false,
                },
                false,
            );
        }
        // Whatever becomes of it, it is load on a destination that has come back.
        let back = self.back(now);
        let weight = weight(count, self.spec.item_cost);
        let fell = self
            .guard
            .sent(&self.spec.back, now, back, weight, self.spec.capacity);
        if fell {
            return (
                Reply::Reset {
                    at: now,
                    executed: false,
                },
                true,
            );
        }
        (self.answer(now, asked.endpoint, count, &state), false)
    }

    fn answer(&mut self, now: Duration, endpoint: usize, count: usize, state: &State) -> Reply {
        if let Some(opens) = state.blocked_until {
            return self.refusal(now, endpoint, count, Some(opens));
        }
        let which = if self.spec.shared { 0 } else { endpoint };
        self.allowances[which].lower(now, state.lower);
        if let Err(full) = self.allowances[which].take(now, self.spec.charge_refused) {
            return self.refusal(now, endpoint, count, Some(full.again));
        }
        if self.rng.random_bool(state.fail.clamp(0.0, 1.0)) {
            let at = quick(&mut self.rng, now);
            return self.with_report(
                now,
                endpoint,
                at,
                vec![DeliveryOutcome::Failed; count],
                None,
            );
        }
        let work = self.work(now, endpoint, count, state);
        let at = &mut self.endpoints[endpoint];
        at.waiting.retain(|&start| start > now);
        let free = at
            .workers
            .iter()
            .enumerate()
            .min_by_key(|(_, t)| **t)
            .map(|(n, &t)| (n, t));
        let Some((worker, free)) = free else {
            return Reply::Nothing;
        };
        let start = free.max(now);
        if start > now && at.waiting.len() >= self.spec.queue {
            return self.refusal(now, endpoint, count, None);
        }
        if start > now {
            at.waiting.push(start);
        }
        let done = start.saturating_add(work);
        at.workers[worker] = done;
        if self.rng.random_bool(state.spoil.clamp(0.0, 1.0)) {
            let how = match self.rng.random_range(0..4u8) {
                0 => Spoilt::Garbage,
                1 => Spoilt::CutOff,
                2 => Spoilt::Stalls,
                _ => Spoilt::Trailing,
            };
            return Reply::Spoilt { at: done, how };
        }
        self.with_report(
            now,
            endpoint,
            done,
            vec![DeliveryOutcome::Done; count],
            None,
        )
    }

    /// How long the call takes once it is begun: log-normal about the mean, longer when slow, cold or with many items.
    fn work(&mut self, now: Duration, endpoint: usize, count: usize, state: &State) -> Duration {
        let spread = self.spec.spread.max(0.0);
        let draw = LogNormal::from_mean_cv(1.0, spread).map_or(1.0, |d| d.sample(&mut self.rng));
        let items = weight(count, self.spec.item_cost);
        let share = self.share(&self.endpoints[endpoint], now).max(1e-3);
        seconds(self.spec.pace.as_secs_f64() * draw * items * state.slow / share)
    }

    fn refusal(
        &mut self,
        now: Duration,
        endpoint: usize,
        count: usize,
        again: Option<Duration>,
    ) -> Reply {
        let notifies = self
            .rng
            .random_bool(self.spec.sends_retry_after.clamp(0.0, 1.0));
        let (least, most) = self.spec.wait;
        let drawn = between(&mut self.rng, least, most);
        let wait = notifies.then(|| {
            again
                .map_or(drawn, |t| t.saturating_sub(now))
                .max(Duration::from_millis(1))
        });
        let at = quick(&mut self.rng, now);
        self.with_report(now, endpoint, at, vec![DeliveryOutcome::Busy; count], wait)
    }

    fn with_report(
        &mut self,
        now: Duration,
        endpoint: usize,
        at: Duration,
        outcomes: Vec<DeliveryOutcome>,
        wait: Option<Duration>,
    ) -> Reply {
        let which = if self.spec.shared { 0 } else { endpoint };
        let report = self.spec.reports.map(|every| {
            let known = self
                .readings
                .get(&which)
                .filter(|(taken, _)| now.saturating_sub(*taken) < every);
            match known {
                Some(&(_, reading)) => reading,
                None => {
                    let reading = self.allowances[which].reading(now);
                    self.readings.insert(which, (now, reading));
                    reading
                }
            }
        });
        Reply::Answer {
            at,
            outcomes,
            wait,
            report,
        }
    }
}

/// What a call of so many messages weighs: each further one adds a little.
fn weight(messages: usize, item_cost: f64) -> f64 {
    1.0 + item_cost * (messages as f64 - 1.0)
}

fn quick(rng: &mut impl Rng, now: Duration) -> Duration {
    now + between(rng, QUICK / 4, QUICK)
}

fn between(rng: &mut impl Rng, least: Duration, most: Duration) -> Duration {
    if most <= least {
        return least;
    }
    let span = (most - least).as_nanos().min(u128::from(u64::MAX)) as u64;
    least + Duration::from_nanos(rng.random_range(0..=span))
}
