//! Random histories keep the rules: one final answer each and before the deadline, one attempt out, attempts capped, nothing
//! to an endpoint that drains, nothing in a Retry-After wait, keys in turn. Late, unknown and repeated ids are among them.

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

#[derive(Default)]
struct Held {
    /// Number of the attempt that is out.
    out: Option<u32>,
    attempts: u32,
    key: Option<u64>,
    deadline: u64,
}

/// Step: milliseconds to pass, what happens, and a free number.
type Step = (u64, u8, u64);

/// The sender under test, with what it owes and what binds it.
struct World {
    bench: Bench,
    cap: u32,
    held: BTreeMap<String, Held>,
    line: Vec<(u64, String)>,
    blocked_until: u64,
    drained: Option<&'static str>,
    sends: usize,
}

impl World {
    /// Hands in events, forgets what they ended, and checks each action against the rules.
    fn at(&mut self, now: u64, events: Vec<Event>, ended: &[String]) -> Result<(), TestCaseError> {
        let actions = self.bench.at(now, events);
        self.held.retain(|id, _| !ended.contains(id));
        self.line.retain(|(_, id)| !ended.contains(id));
        for act in actions {
            match act {
                Action::Send { id, endpoint, .. } => {
                    let message = self.held.get_mut(&id.0);
                    prop_assert!(message.is_some(), "{id} is over");
                    let message = message.expect("held");
                    prop_assert!(message.out.is_none(), "{id} has two attempts out");
                    prop_assert!(message.attempts < self.cap, "{id} has too many attempts");
                    prop_assert!(now < message.deadline, "{id} is sent too late");
                    prop_assert!(
                        Some(endpoint.0.as_str()) != self.drained,
                        "{endpoint} drains"
                    );
                    prop_assert!(now >= self.blocked_until, "sent in a told wait");
                    if let Some(key) = message.key {
                        let first = self
                            .line
                            .iter()
                            .find(|(k, _)| *k == key)
                            .map(|(_, id)| id.as_str());
                        prop_assert_eq!(first, Some(id.0.as_str()), "out of turn");
                    }
                    message.out = Some(message.attempts);
                    message.attempts += 1;
                    self.sends += 1;
                }
                Action::Reject { id, .. } | Action::Fail(id) => {
                    let message = self.held.remove(&id.0);
                    prop_assert!(
                        message.is_some_and(|m| m.out.is_none() && now < m.deadline),
                        "{id} ended wrongly"
                    );
                    self.line.retain(|(_, l)| *l != id.0);
                }
                _ => {}
            }
        }
        let lost = self
            .held
            .iter()
            .find(|(_, m)| m.out.is_none() && m.deadline < now);
        prop_assert!(lost.is_none(), "lost: {:?}", lost.map(|(id, _)| id));
        Ok(())
    }
}

impl World {
    fn new() -> World {
        let entries = vec![
            entry("a", 1, Condition::Ready, 0),
            entry("b", 1, Condition::Ready, 0),
        ];
        World {
            bench: Bench::new(settings(), entries),
            cap: settings().attempts_cap,
            held: BTreeMap::new(),
            line: Vec::new(),
            blocked_until: 0,
            drained: None,
            sends: 0,
        }
    }

    /// Passes time in ticks. A client withdraws what is out at its deadline; the attempt still gets its outcome.
    fn pass_until(&mut self, now: u64) -> Result<(), TestCaseError> {
        while self.bench.ms + 5 < now {
            let tick = self.bench.ms + 5;
            let prior: Vec<(String, u32)> = self
                .held
                .iter()
                .filter(|(_, m)| m.deadline <= tick)
                .filter_map(|(id, m)| m.out.map(|attempt| (id.clone(), attempt)))
                .collect();
            let mut events = vec![Event::Wake];
            for (id, attempt) in &prior {
                events.push(Event::Cancelled(MessageId(id.clone())));
                events.push(outcome(id, *attempt, Status::TimedOut, 10));
            }
            let ended: Vec<String> = prior.into_iter().map(|(id, _)| id).collect();
            self.at(tick, events, &ended)?;
        }
        Ok(())
    }

    /// A new message, of a class and key by `n`.
    fn accept(&mut self, now: u64, i: usize, n: u64) -> Event {
        let (id, class) = (format!("m{i}"), n as usize % 3);
        let key = (class == 1).then_some(n % 2);
        self.line.extend(key.map(|key| (key, id.clone())));
        let event = accept(&id, class, key.map(|k| k.to_string()).as_deref(), 5000);
        self.held.insert(
            id,
            Held {
                key,
                deadline: now + 5000,
                ..Held::default()
            },
        );
        event
    }

    /// Ends an attempt that is out, chosen by `n`; the message too if it was served.
    fn end_attempt(&mut self, now: u64, n: u64, ended: &mut Vec<String>) -> Option<Event> {
        let busy: Vec<String> = self
            .held
            .iter()
            .filter(|(_, m)| m.out.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        if busy.is_empty() {
            return None;
        }
        let id = &busy[n as usize % busy.len()];
        let status = STATUSES[n as usize / 7 % STATUSES.len()];
        let message = self.held.get_mut(id).expect("busy");
        let attempt = message.out.take().expect("busy");
        ended.extend((status == Status::Served).then(|| id.clone()));
        let wait = if status == Status::Overloaded {
            n % 3 * 300
        } else {
            0
        };
        if wait == 0 {
            return Some(outcome(id, attempt, status, 10));
        }
        self.blocked_until = self.blocked_until.max(now + wait);
        Some(refused(id, attempt, wait))
    }

    /// One endpoint drains, the other is ready again.
    fn drain(&mut self, n: u64) -> Event {
        let (removed, other) = if n.is_multiple_of(2) {
            ("a", "b")
        } else {
            ("b", "a")
        };
        self.drained = Some(removed);
        Event::List {
            whole: false,
            entries: vec![
                entry(removed, 1, Condition::Draining, 0),
                entry(other, 1, Condition::Ready, 0),
            ],
        }
    }
}

fn play(steps: &[Step]) -> Result<usize, TestCaseError> {
    let mut w = World::new();
    for (i, &(pass, what, n)) in steps.iter().enumerate() {
        let now = w.bench.ms + pass;
        w.pass_until(now)?;
        let (mut events, mut ended) = (vec![Event::Wake], vec![]);
        match what {
            0..=3 => events.push(w.accept(now, i, n)),
            4..=8 => events.extend(w.end_attempt(now, n, &mut ended)),
            9 => events.push(outcome(&format!("m{}", n % 50), 9, Status::Served, 1)),
            10 => events.push(Event::Cancelled(MessageId("unknown".into()))),
            11 => events.push(w.drain(n)),
            _ => {}
        }
        w.at(now, events, &ended)?;
    }
    Ok(w.sends)
}

/// The same histories each time: the verdict must not depend on the run.
#[test]
fn random_histories_keep_the_rules() {
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
        sends.set(sends.get() + play(&steps)?);
        Ok(())
    });
    assert!(verdict.is_ok(), "{verdict:?}");
    assert!(
        sends.get() > 1000,
        "too little was sent to prove anything: {}",
        sends.get()
    );
}
