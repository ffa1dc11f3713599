//! Shared helpers: a scheduler under test with its clock, and short constructors of settings and events.
#![allow(dead_code)]

use cranehill_scheduler::api::*;
use cranehill_scheduler::{Scheduler, Time};
use std::time::Duration;

/// A class with an objective of 1 s, a deadline of 10 s and a deduplication window of 5 s.
pub(crate) fn class(effect: Effect) -> Class {
    Class {
        latency_objective: Duration::from_secs(1),
        deadline: Duration::from_secs(10),
        effect,
        dedup: DedupScope::All,
        dedup_window: Duration::from_secs(5),
        in_order: false,
        priority_weight: 1.0,
        min_weight_share: 0.2,
    }
}

/// Classes: 0 safe, 1 idempotent and in order, 2 unsafe. Kinds: 0 one message per call, 1 five messages per call, 2 separate
/// routes.
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
            DestinationKind {
                max_messages_per_call: 1,
                separate_routes: false,
            },
            DestinationKind {
                max_messages_per_call: 5,
                separate_routes: false,
            },
            DestinationKind {
                max_messages_per_call: 1,
                separate_routes: true,
            },
        ],
        tenants: vec![],
        over_quota_factor: 0.1,
        decay: Decay::Linear,
        slots: 8,
        max_pending: 64,
        max_attempts: 4,
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(10),
        instances: 2,
        zone: 0,
        poll_endpoint_list: false,
        rates_listed: false,
        health_checks: true,
        retry_after: true,
        max_retry_after: Duration::from_secs(2),
        tick: Duration::from_millis(5),
        rules: Rules {
            initial_capacity: 0.2,
            warm_up: Duration::from_secs(12),
            overload_multiple: 2.0,
            overload_duration: Duration::from_secs(2),
            ordering_pause: Duration::from_millis(300),
            max_poll_interval: Duration::from_secs(10),
            answer_grace: Duration::from_millis(20),
        },
    }
}

/// An entry of the endpoint list, in zone 0 and without a rate.
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

/// A scheduler under test.
pub(crate) struct TestSender {
    pub(crate) scheduler: Scheduler,
    /// Time of the latest batch, in milliseconds.
    pub(crate) now_ms: u64,
}

impl TestSender {
    pub(crate) fn new(settings: Settings, entries: Vec<Entry>) -> TestSender {
        TestSender::with_seed(settings, entries, 1)
    }

    /// As `new`, with a given seed. Several senders need different seeds, so that their random draws differ.
    pub(crate) fn with_seed(settings: Settings, entries: Vec<Entry>, seed: u64) -> TestSender {
        let mut scheduler = Scheduler::new(settings, seed, Time(0)).expect("settings");
        scheduler.handle(
            Time(0),
            vec![Event::EndpointList {
                replaces_all: true,
                entries,
            }],
        );
        TestSender {
            scheduler,
            now_ms: 0,
        }
    }

    /// Handles a batch of events at a time in milliseconds.
    pub(crate) fn handle_at(&mut self, ms: u64, events: Vec<Event>) -> Vec<Action> {
        self.now_ms = ms;
        self.scheduler.handle(Time(ms * 1_000_000), events)
    }
}

/// A message to destination 1 is accepted.
pub(crate) fn accept(id: &str, class: usize, key: Option<&str>, time_left_ms: u64) -> Event {
    Event::Accept(AcceptedMessage {
        id: MessageId(id.into()),
        class,
        tenant: 0,
        ordering_key: key.map(|key| OrderingKey(key.into())),
        time_left: Duration::from_millis(time_left_ms),
        destination: DestinationId(1),
        prior: PriorAttempts::default(),
    })
}

/// An attempt finishes; the message is completed if it was served.
pub(crate) fn outcome(id: &str, attempt: u32, status: Status, took_ms: u64) -> Event {
    Event::Outcome(Outcome {
        id: MessageId(id.into()),
        attempt,
        status,
        completed: status == Status::Served,
        elapsed: Duration::from_millis(took_ms),
        retry_after: None,
        report: None,
    })
}

/// An attempt is rejected because of overload, with a Retry-After time.
pub(crate) fn rejected_with_retry_after(id: &str, attempt: u32, wait_ms: u64) -> Event {
    match outcome(id, attempt, Status::Overloaded, 10) {
        Event::Outcome(rejected) => Event::Outcome(Outcome {
            retry_after: Some(Duration::from_millis(wait_ms)),
            ..rejected
        }),
        other => other,
    }
}

/// The messages sent and their endpoints.
pub(crate) fn sent_messages(actions: &[Action]) -> Vec<(String, String)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { id, endpoint, .. } => Some((id.0.clone(), endpoint.0.clone())),
            _ => None,
        })
        .collect()
}

/// The final answers, as "reject ID" or "fail ID".
pub(crate) fn final_answers(actions: &[Action]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Reject { id, .. } => Some(format!("reject {id}")),
            Action::Fail(id) => Some(format!("fail {id}")),
            _ => None,
        })
        .collect()
}
