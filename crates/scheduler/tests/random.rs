//! Checks invariants for random sequences of events: one final answer per message and before its deadline, one attempt in
//! flight, the maximum number of attempts, no call to a draining endpoint or in a Retry-After wait, and the order of messages
//! with the same ordering key. The events include late, unknown and repeated ids.

mod common;
use std::collections::BTreeMap;

use common::*;
use cranehill_scheduler::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STATUSES: [Status; 6] = [
    Status::Served,
    Status::Error,
    Status::Overloaded,
    Status::TimedOut,
    Status::NoConnection,
    Status::Reset,
];

/// What the test expects of a message without a final answer. Times are in milliseconds.
#[derive(Default)]
struct PendingMessage {
    /// Number of the attempt in flight.
    attempt_in_flight: Option<u32>,
    attempts: u32,
    key: Option<u64>,
    deadline: u64,
}

/// A step: milliseconds to pass before it, its kind, and a random number for its details.
type Step = (u64, u8, u64);

/// The scheduler under test, and a model of the state that the invariants depend on.
struct Model {
    sender: TestSender,
    attempts_cap: u32,
    pending: BTreeMap<String, PendingMessage>,
    /// Ordering key and id of messages without a final answer, in the order accepted.
    ordered: Vec<(u64, String)>,
    blocked_until: u64,
    draining: Option<&'static str>,
    sends: usize,
}

impl Model {
    /// Handles a batch of events, removes the messages that they complete (`ended`), and checks each action.
    fn handle_at(
        &mut self,
        now: u64,
        events: Vec<Event>,
        ended: &[String],
    ) -> Result<(), TestCaseError> {
        let actions = self.sender.handle_at(now, events);
        self.pending.retain(|id, _| !ended.contains(id));
        self.ordered.retain(|(_, id)| !ended.contains(id));
        for action in actions {
            match action {
                Action::Send { id, endpoint, .. } => {
                    let message = self.pending.get_mut(&id.0);
                    prop_assert!(message.is_some(), "{id} is sent after its final answer");
                    let message = message.expect("a pending message");
                    prop_assert!(
                        message.attempt_in_flight.is_none(),
                        "{id} has two attempts in flight"
                    );
                    prop_assert!(
                        message.attempts < self.attempts_cap,
                        "{id} has more than the maximum number of attempts"
                    );
                    prop_assert!(now < message.deadline, "{id} is sent after its deadline");
                    prop_assert!(
                        Some(endpoint.0.as_str()) != self.draining,
                        "{endpoint} is draining"
                    );
                    prop_assert!(now >= self.blocked_until, "sent in a Retry-After wait");
                    if let Some(key) = message.key {
                        let first = self
                            .ordered
                            .iter()
                            .find(|(k, _)| *k == key)
                            .map(|(_, id)| id.as_str());
                        prop_assert_eq!(first, Some(id.0.as_str()), "sent out of order");
                    }
                    message.attempt_in_flight = Some(message.attempts);
                    message.attempts += 1;
                    self.sends += 1;
                }
                Action::Reject { id, .. } | Action::Fail(id) => {
                    let message = self.pending.remove(&id.0);
                    prop_assert!(
                        message
                            .is_some_and(|message| message.attempt_in_flight.is_none()
                                && now < message.deadline),
                        "{id} gets a final answer twice, too late or during an attempt"
                    );
                    self.ordered.retain(|(_, l)| *l != id.0);
                }
                _ => {}
            }
        }
        let unanswered = self
            .pending
            .iter()
            .find(|(_, message)| message.attempt_in_flight.is_none() && message.deadline < now);
        prop_assert!(
            unanswered.is_none(),
            "no final answer by the deadline: {:?}",
            unanswered.map(|(id, _)| id)
        );
        Ok(())
    }
}

impl Model {
    fn new() -> Model {
        let entries = vec![
            entry("a", 1, Condition::Ready, 0),
            entry("b", 1, Condition::Ready, 0),
        ];
        Model {
            sender: TestSender::new(settings(), entries),
            attempts_cap: settings().max_attempts,
            pending: BTreeMap::new(),
            ordered: Vec::new(),
            blocked_until: 0,
            draining: None,
            sends: 0,
        }
    }

    /// Advances the time in ticks. A client cancels a message with an attempt in flight at its deadline, and the attempt still
    /// gets its outcome.
    fn pass_until(&mut self, now: u64) -> Result<(), TestCaseError> {
        while self.sender.now_ms + 5 < now {
            let tick = self.sender.now_ms + 5;
            let overdue: Vec<(String, u32)> = self
                .pending
                .iter()
                .filter(|(_, message)| message.deadline <= tick)
                .filter_map(|(id, message)| {
                    message
                        .attempt_in_flight
                        .map(|attempt| (id.clone(), attempt))
                })
                .collect();
            let mut events = vec![Event::TimerFired];
            for (id, attempt) in &overdue {
                events.push(Event::Cancelled(MessageId(id.clone())));
                events.push(outcome(id, *attempt, Status::TimedOut, 10));
            }
            let ended: Vec<String> = overdue.into_iter().map(|(id, _)| id).collect();
            self.handle_at(tick, events, &ended)?;
        }
        Ok(())
    }

    /// Accepts a new message, with a class and ordering key derived from `random_number`.
    fn accept(&mut self, now: u64, i: usize, random_number: u64) -> Event {
        let (id, class) = (format!("m{i}"), random_number as usize % 3);
        let key = (class == 1).then_some(random_number % 2);
        self.ordered.extend(key.map(|key| (key, id.clone())));
        let event = accept(&id, class, key.map(|k| k.to_string()).as_deref(), 5000);
        self.pending.insert(
            id,
            PendingMessage {
                key,
                deadline: now + 5000,
                ..PendingMessage::default()
            },
        );
        event
    }

    /// Ends an attempt in flight, chosen by `random_number`. Adds the message to `ended` if it was served.
    fn end_attempt(
        &mut self,
        now: u64,
        random_number: u64,
        ended: &mut Vec<String>,
    ) -> Option<Event> {
        let in_flight: Vec<String> = self
            .pending
            .iter()
            .filter(|(_, message)| message.attempt_in_flight.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        if in_flight.is_empty() {
            return None;
        }
        let id = &in_flight[random_number as usize % in_flight.len()];
        let status = STATUSES[random_number as usize / 7 % STATUSES.len()];
        let message = self.pending.get_mut(id).expect("a pending message");
        let attempt = message
            .attempt_in_flight
            .take()
            .expect("an attempt in flight");
        ended.extend((status == Status::Served).then(|| id.clone()));
        let wait = if status == Status::Overloaded {
            random_number % 3 * 300
        } else {
            0
        };
        if wait == 0 {
            return Some(outcome(id, attempt, status, 10));
        }
        self.blocked_until = self.blocked_until.max(now + wait);
        Some(rejected_with_retry_after(id, attempt, wait))
    }

    /// Makes one endpoint drain and the other ready again.
    fn drain(&mut self, random_number: u64) -> Event {
        let (draining, ready) = if random_number.is_multiple_of(2) {
            ("a", "b")
        } else {
            ("b", "a")
        };
        self.draining = Some(draining);
        Event::EndpointList {
            replaces_all: false,
            entries: vec![
                entry(draining, 1, Condition::Draining, 0),
                entry(ready, 1, Condition::Ready, 0),
            ],
        }
    }
}

/// Runs the steps and returns the number of messages sent.
fn run_steps(steps: &[Step]) -> Result<usize, TestCaseError> {
    let mut model = Model::new();
    for (i, &(pass_ms, kind, random_number)) in steps.iter().enumerate() {
        let now = model.sender.now_ms + pass_ms;
        model.pass_until(now)?;
        let (mut events, mut ended) = (vec![Event::TimerFired], vec![]);
        match kind {
            0..=3 => events.push(model.accept(now, i, random_number)),
            4..=8 => events.extend(model.end_attempt(now, random_number, &mut ended)),
            9 => events.push(outcome(
                &format!("m{}", random_number % 50),
                9,
                Status::Served,
                1,
            )),
            10 => events.push(Event::Cancelled(MessageId("unknown".into()))),
            11 => events.push(model.drain(random_number)),
            _ => {}
        }
        model.handle_at(now, events, &ended)?;
    }
    Ok(model.sends)
}

/// Uses a fixed seed, so that the result is the same in each run.
#[test]
fn random_events_violate_no_invariant() {
    let config = Config {
        cases: 90,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let sends = std::cell::Cell::new(0);
    let steps = prop::collection::vec((1u64..120, 0u8..14, 0u64..10_000), 1..300);
    let verdict = runner.run(&steps, |steps| {
        sends.set(sends.get() + run_steps(&steps)?);
        Ok(())
    });
    assert!(verdict.is_ok(), "{verdict:?}");
    assert!(
        sends.get() > 1000,
        "too few messages were sent for a meaningful check: {}",
        sends.get()
    );
}
