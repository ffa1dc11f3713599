//! What a sender remembers: plain records. Nothing here decides; `src/scheduler.rs` does.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::api::{
    Condition, DestinationId, EndpointId, Entry, Kind, MessageId, OrderingKey, Status, Time,
};
use crate::scheduler::{DemandEstimator, Health, RoundTripEstimator, TokenBucket, Window};

#[derive(Debug)]
pub struct Endpoint {
    pub id: EndpointId,
    pub destination: DestinationId,
    pub zone: u32,
    pub condition: Condition,
    pub route: usize,
    /// Its place in this sender's own order. Guards against an order that all senders share: where each has
    /// one call out, all would take the same endpoint of several and leave the others idle.
    pub rank: u64,
    /// Failed calls since the last one served.
    pub streak: u32,
    pub in_flight: u32,
    pub last_answer: Time,
    pub last_used: Option<Time>,
    /// Calls sent there, since it was first listed.
    pub uses: u32,
    pub kind: usize,
    pub since: Time,
    /// How long it had been idle when its latest call went.
    pub gap: Duration,
    /// Calls that may go although its zone was left; `None` where no zone is.
    pub bar: Option<f64>,
}

/// What the paper calls a proxy: a destination, or one route where routes are apart.
#[derive(Debug)]
pub struct Route {
    pub destination: DestinationId,
    pub kind: Kind,
    pub endpoints: Vec<usize>,
    pub window: Window,
    pub proven_window: Window,
    pub health: Health,
    pub demand: DemandEstimator,
    pub token_bucket: TokenBucket,
    pub in_flight: u32,
    /// No call before this: a Retry-After wait.
    pub blocked_until: Time,
    pub refused: u32,
    /// When a connection there failed last, and no call was served since.
    pub connect_failed_at: Option<Time>,
    pub rtt: Vec<RoundTripEstimator>,
    pub toss_at: Time,
    pub cut_at: Time,
    pub lucky: bool,
    /// A call has gone there.
    pub used: bool,
    /// Messages held, as of this batch.
    pub backlog: usize,
}

#[derive(Debug)]
pub struct Attempt {
    pub number: u32,
    pub endpoint: usize,
    pub call: u64,
    pub sent: Time,
}

/// One call on its way: several messages may share it.
#[derive(Debug)]
pub struct Call {
    pub endpoint: usize,
    pub class: usize,
    pub sent: Time,
    /// When the wait for it ends, for all that share it.
    pub until: Time,
    /// The wait must not end before this, for the sake of one of them.
    pub least: Time,
    pub messages: u32,
    pub waiting: u32,
    pub counted: bool,
}

#[derive(Debug)]
pub struct Message {
    pub id: MessageId,
    pub class: usize,
    pub ordering_key: Option<OrderingKey>,
    pub destination: DestinationId,
    pub over_share: bool,
    pub latency_objective_at: Time,
    pub deadline: Time,
    pub not_before: Time,
    pub attempts: u32,
    pub in_flight: Option<Attempt>,
    /// First send that may have taken effect, and where.
    pub possibly_executed: Option<(Time, Option<usize>)>,
    /// An answer that no further attempt can change: gone, or rejected as it is.
    pub verdict: Option<Status>,
    pub completed: bool,
}

/// Messages that share a key.
#[derive(Debug, Default)]
pub struct OrderedQueue {
    /// In the order taken.
    pub line: VecDeque<u64>,
    /// Until then only this message goes: an attempt may still run.
    pub rest_until: Time,
    pub rest_by: u64,
    /// Final reports under way. Until they are answered nothing goes.
    pub reports: u32,
}

impl Endpoint {
    /// `seed` is the sender's: with the id it decides the endpoint's rank there.
    pub fn new(entry: Entry, route: usize, now: Time, seed: u64) -> Endpoint {
        let mut hasher = DefaultHasher::new();
        (seed, &entry.endpoint).hash(&mut hasher);
        Endpoint {
            id: entry.endpoint,
            destination: entry.destination,
            zone: entry.zone,
            condition: entry.condition,
            route,
            rank: hasher.finish(),
            streak: 0,
            in_flight: 0,
            last_answer: now,
            last_used: None,
            uses: 0,
            kind: entry.kind,
            since: now,
            gap: Duration::ZERO,
            bar: None,
        }
    }

    /// Whether it is listed for new work, and its zone is open to it.
    pub fn takes(&self) -> bool {
        self.condition == Condition::Ready && self.bar.is_none_or(|calls| calls >= 1.0)
    }

    /// A call goes there.
    pub fn use_up(&mut self) {
        self.uses += 1;
        if let Some(calls) = &mut self.bar {
            *calls -= 1.0;
        }
    }

    /// How far it is: in the own zone nearest, but for one that a probe may go to, which goes there and nowhere else.
    pub fn distance(&self, zone: u32) -> u8 {
        match self.bar {
            Some(calls) if calls >= 1.0 => 0,
            _ => 1 + u8::from(self.zone != zone),
        }
    }
}

impl Route {
    pub fn new(
        destination: DestinationId,
        kind: Kind,
        window: Window,
        demand: DemandEstimator,
        now: Time,
        classes: usize,
    ) -> Route {
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
            refused: 0,
            connect_failed_at: None,
            rtt: vec![RoundTripEstimator::default(); classes],
            toss_at: now,
            cut_at: now,
            lucky: false,
            used: false,
            backlog: 0,
        }
    }
}
