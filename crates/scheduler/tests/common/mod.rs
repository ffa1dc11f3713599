//! A sender under test, its clock and short ways to say what happens.
#![allow(dead_code)]

use cranehill_scheduler::api::*;
use cranehill_scheduler::{Scheduler, Time};
use std::time::Duration;

pub(crate) fn class(effect: Effect) -> Class {
    Class {
        latency_objective: Duration::from_secs(1),
        deadline: Duration::from_secs(10),
        effect,
        dedup: DedupScope::All,
        window: Duration::from_secs(5),
        in_order: false,
        priority_weight: 1.0,
        late_share: 0.2,
    }
}

/// Classes: 0 safe, 1 keyed and in order, 2 unsafe.
pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Safe),
            Class {
                in_order: true,
                ..class(Effect::Idempotent)
            },
            class(Effect::Unsafe),
        ],
        kinds: vec![
            Kind {
                per_call: 1,
                apart: false,
            },
            Kind {
                per_call: 5,
                apart: false,
            },
            Kind {
                per_call: 1,
                apart: true,
            },
        ],
        tenants: vec![],
        over_share_worth: 0.1,
        decay: Decay::Linear,
        slots: 8,
        max_pending: 64,
        attempts_cap: 4,
        connect_timeout: Duration::from_secs(1),
        conn_idle: Duration::from_secs(10),
        instances: 2,
        zone: 0,
        ask_for_list: false,
        rates_listed: false,
        probes: true,
        retry_after: true,
        max_retry_after: Duration::from_secs(2),
        tick: Duration::from_millis(5),
        rules: Rules {
            cold_from: 0.2,
            cold: Duration::from_secs(12),
            fall_multiple: 2.0,
            fall: Duration::from_secs(2),
            key_quiet: Duration::from_millis(300),
            must_ask_in: Duration::from_secs(10),
            grace_to_answer: Duration::from_millis(20),
        },
    }
}

pub(crate) fn entry(endpoint: &str, destination: u64, condition: Condition, kind: usize) -> Entry {
    Entry {
        endpoint: EndpointId(endpoint.into()),
        destination: DestinationId(destination),
        condition,
        zone: 0,
        kind,
        rate: 0.0,
    }
}

pub(crate) struct Bench {
    pub(crate) sender: Scheduler,
    pub(crate) ms: u64,
}

impl Bench {
    pub(crate) fn new(settings: Settings, entries: Vec<Entry>) -> Bench {
        Bench::seeded(settings, entries, 1)
    }

    /// One of several senders, which must not all draw the same.
    pub(crate) fn seeded(settings: Settings, entries: Vec<Entry>, seed: u64) -> Bench {
        let mut sender = Scheduler::new(settings, seed, Time(0)).expect("settings");
        sender.handle(
            Time(0),
            vec![Event::List {
                whole: true,
                entries,
            }],
        );
        Bench { sender, ms: 0 }
    }

    pub(crate) fn at(&mut self, ms: u64, events: Vec<Event>) -> Vec<Action> {
        self.ms = ms;
        self.sender.handle(Time(ms * 1_000_000), events)
    }
}

pub(crate) fn accept(id: &str, class: usize, key: Option<&str>, left_ms: u64) -> Event {
    Event::Accept(AcceptedMessage {
        id: MessageId(id.into()),
        class,
        tenant: 0,
        ordering_key: key.map(|k| OrderingKey(k.into())),
        time_left: Duration::from_millis(left_ms),
        destination: DestinationId(1),
        prior: PriorAttempts::default(),
    })
}

pub(crate) fn outcome(id: &str, attempt: u32, status: Status, took_ms: u64) -> Event {
    Event::Outcome(Outcome {
        id: MessageId(id.into()),
        attempt,
        status,
        completed: status == Status::Served,
        took: Duration::from_millis(took_ms),
        wait: None,
        report: None,
    })
}

pub(crate) fn refused(id: &str, attempt: u32, wait_ms: u64) -> Event {
    match outcome(id, attempt, Status::Overloaded, 10) {
        Event::Outcome(o) => Event::Outcome(Outcome {
            wait: Some(Duration::from_millis(wait_ms)),
            ..o
        }),
        other => other,
    }
}

/// The messages sent, with their endpoints.
pub(crate) fn sends(actions: &[Action]) -> Vec<(String, String)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { id, endpoint, .. } => Some((id.0.clone(), endpoint.0.clone())),
            _ => None,
        })
        .collect()
}

pub(crate) fn finals(actions: &[Action]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Reject { id, .. } => Some(format!("refuse {id}")),
            Action::Fail(id) => Some(format!("fail {id}")),
            _ => None,
        })
        .collect()
}
