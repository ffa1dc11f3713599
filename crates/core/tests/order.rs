//! Random histories of a class that keeps its order: hand-ins, ends of attempts, answers to reports, and processes that end at any
//! moment and are followed by another. Judged by what goes out, not by what the reducer holds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{
    AttemptOutcome, Core, Effect, Input, Listing, Message, Origin, Persisted, Record,
};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry, Status};
use cranehill_scheduler::profile::Profile;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Class 0 may be repeated, class 1 must not be, class 2 keeps no order.
const SETTINGS: &str = r#"{"classes":[
{"aim":4000000000,"deadline":9000000000,"dedupScope":"all","effect":"keyed","byArrival":true,"lateShare":0.4,"name":"notice","window":9000000000,"worth":1.0},
{"aim":4000000000,"deadline":9000000000,"effect":"unsafe","byArrival":true,"lateShare":0.4,"name":"order","worth":1.0},
{"aim":4000000000,"deadline":9000000000,"effect":"safe","lateShare":0.4,"name":"preview","worth":1.0}],
"familyInfo":{"callsOut":8,"kindApart":[false],"losesWorth":"linear","perCall":[20]},"membershipMode":"push","models":["bulk-host"],"nInstances":1,
"policyLimits":{"attemptsCap":8,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":12,"probes":false,"retryAfter":true},
"rules":{"cold":900000000,"coldFrom":0.9,"fall":3000000000,"fallMultiple":9.0,"graceToAnswer":20000000,"keyQuiet":100000000},
"tenants":[],"tick":5000000,"weightKind":"none","zone":0,"zones":["a"]}"#;
const ACCOUNTS: u64 = 3;
const KEY_REST_MS: u64 = 100;
const START: u64 = 1_000_000_000_000;
const LEFT_MS: u64 = 9000;
const STATUSES: [Status; 6] = [
    Status::Served,
    Status::Served,
    Status::Overloaded,
    Status::Error,
    Status::TimedOut,
    Status::Reset,
];

/// Milliseconds to pass, what happens, and a free number.
type Step = (u64, u8, u64);

#[derive(Debug)]
struct ModelMessage {
    /// Place among all that were submitted.
    place: usize,
    key: Option<String>,
    class: usize,
}

/// A sender's processes, one after the other, with their journal and what they have sent.
struct World {
    core: Core,
    seed: u64,
    /// Restarts hand the backlog over by steps.
    by_steps: bool,
    ms: u64,
    journal: Vec<Record>,
    messages: BTreeMap<String, ModelMessage>,
    submitted: usize,
    in_flight: BTreeMap<String, u32>,
    /// By key: the latest place that was ever sent, and until when the key rests for others than this message.
    sent: BTreeMap<String, usize>,
    rests: BTreeMap<String, (u64, Option<String>)>,
    /// Final reports that nobody has answered.
    reports: BTreeSet<String>,
    sends: usize,
    restarts: usize,
}

fn settings() -> cranehill_scheduler::api::Settings {
    let profile: Profile = serde_json::from_str(SETTINGS).expect("settings");
    profile.into_settings().expect("settings")
}

fn recovery_settings() -> cranehill_recovery::Settings {
    let ms = Duration::from_millis;
    let bounds = cranehill_recovery::Bounds {
        window: ms(9000),
        limit: ms(9000),
        state: ms(9000),
        ahead: ms(500),
    };
    cranehill_recovery::Settings {
        bounds,
        ask: ms(100),
        alone: ms(200),
        remember: ms(1000),
    }
}

impl World {
    fn new(by_steps: bool) -> World {
        let core = Core::new(settings(), 1, Time(START)).expect("settings");
        let mut world = World {
            core,
            seed: 1,
            by_steps,
            ms: 0,
            journal: Vec::new(),
            messages: BTreeMap::new(),
            submitted: 0,
            in_flight: BTreeMap::new(),
            sent: BTreeMap::new(),
            rests: BTreeMap::new(),
            reports: BTreeSet::new(),
            sends: 0,
            restarts: 0,
        };
        world.list();
        world
    }

    fn list(&mut self) {
        let endpoint = |name: &str| Listing {
            entry: Entry {
                endpoint: EndpointId(name.into()),
                destination: DestinationId(7),
                condition: Condition::Ready,
                zone: 0,
                kind: 0,
                rate: 0.0,
            },
            address: "127.0.0.1:1".into(),
        };
        let list = vec![endpoint("a"), endpoint("b")];
        self.step(Input::EndpointsChanged { whole: true, list });
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        self.core.step(Time(START + self.ms * 1_000_000), input)
    }

    /// A whole turn. `dies`: the process ends with its records written and nothing of the rest let out.
    fn turn(&mut self, dies: bool) -> Result<(), TestCaseError> {
        let effects = self.step(Input::TickEnded);
        for effect in effects {
            match effect {
                Effect::Persist(records) => {
                    self.journal.extend(records);
                    if dies {
                        return Ok(());
                    }
                    let effects = self.step(Input::Persisted(Persisted::All));
                    self.carry_out(effects)?;
                }
                other => self.carry_out(vec![other])?,
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, effects: Vec<Effect>) -> Result<(), TestCaseError> {
        for effect in effects {
            match effect {
                Effect::Call { attempts, .. } => {
                    for attempt in attempts {
                        self.check_send(&attempt.id)?;
                        self.in_flight.insert(attempt.id, attempt.number);
                        self.sends += 1;
                    }
                }
                Effect::SendFinalReport { id, .. } => {
                    self.reports.insert(id);
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn key_of(&self, id: &str) -> Option<String> {
        self.messages.get(id).and_then(|m| m.key.clone())
    }

    fn check_send(&mut self, id: &str) -> Result<(), TestCaseError> {
        let Some(key) = self.key_of(id) else {
            return Ok(());
        };
        let place = self.messages[id].place;
        let other = self
            .in_flight
            .keys()
            .find(|other| self.key_of(other).as_deref() == Some(&key));
        prop_assert!(
            other.is_none(),
            "{id} goes while {other:?} of the same key is in flight"
        );
        let latest = self.sent.get(&key).copied().unwrap_or(0);
        prop_assert!(place >= latest, "{id} goes after a later one of its key");
        let earlier = |other: &&String| {
            let other = self.messages.get(*other);
            other.is_some_and(|m| m.key.as_deref() == Some(&key) && m.place < place)
        };
        let reported = self.reports.iter().find(earlier);
        prop_assert!(
            reported.is_none(),
            "{id} goes before the report of {reported:?} is answered"
        );
        if let Some((until, by)) = self.rests.get(&key) {
            let rested = self.ms >= *until || by.as_deref() == Some(id);
            prop_assert!(
                rested,
                "{id} goes at {} ms, its key rests until {until}",
                self.ms
            );
        }
        self.sent.insert(key, place);
        Ok(())
    }

    /// A message of a class, about one of three accounts where the class keeps its order. Tells its id.
    fn hand_in(&mut self, class: usize, account: u64, left_ms: u64) -> String {
        let key = (class < 2).then(|| format!("account-{}", account % ACCOUNTS));
        self.submitted += 1;
        let place = self.submitted;
        // Ids are in no order that means anything.
        let id = format!(
            "{:016x}",
            (place as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        self.messages.insert(
            id.clone(),
            ModelMessage {
                place,
                key: key.clone(),
                class,
            },
        );
        self.step(Input::Submitted(Message {
            id: id.clone(),
            class,
            tenant: 0,
            destination: 7,
            key: None,
            ordering_key: key,
            body: Arc::from(&b"body"[..]),
            left: Duration::from_millis(left_ms),
            spent: 0,
            envelope: None,
            from: Origin::Client(1),
        }));
        id
    }

    fn end(&mut self, id: String, attempt: u32, status: Status) {
        if matches!(status, Status::TimedOut | Status::Reset)
            && let Some(key) = self.key_of(&id)
        {
            self.rests
                .insert(key, (self.ms + KEY_REST_MS, Some(id.clone())));
        }
        let over = status == Status::Served;
        let took = Duration::from_millis(20);
        self.step(Input::AttemptsFinished(vec![AttemptOutcome {
            id,
            attempt,
            status,
            over,
            took,
            retry_after: None,
            report: None,
        }]));
    }

    /// The process is gone, and what it had in flight is cut off; another one reads the journal.
    fn restart(&mut self) -> Result<(), TestCaseError> {
        self.restarts += 1;
        self.seed += 1;
        for id in std::mem::take(&mut self.in_flight).into_keys() {
            if let Some(key) = self.key_of(&id) {
                // Its own repeat waits as well: nobody knows any more whose attempt it was.
                self.rests.insert(key, (self.ms + KEY_REST_MS, None));
            }
        }
        self.reports.clear();
        let known: BTreeSet<String> = self
            .journal
            .iter()
            .map(|record| record.id().to_owned())
            .collect();
        self.messages.retain(|id, _| known.contains(id));
        self.core =
            Core::new(settings(), self.seed, Time(START + self.ms * 1_000_000)).expect("settings");
        if self.by_steps {
            self.core.recover(recovery_settings());
        }
        self.list();
        let effects = self.step(Input::Recovered(self.journal.clone()));
        self.carry_out(effects)?;
        self.turn(false)
    }

    fn play(&mut self, steps: &[Step]) -> Result<(), TestCaseError> {
        for &(pass, what, n) in steps {
            let until = self.ms + pass;
            while self.ms + 5 < until {
                self.tick()?;
            }
            let flying: Vec<(String, u32)> = self
                .in_flight
                .iter()
                .map(|(i, a)| (i.clone(), *a))
                .collect();
            let reported: Vec<String> = self.reports.iter().cloned().collect();
            match what {
                // Up to three in one turn, some of them of one key.
                0..=4 => (0..=n % 3).for_each(|more| {
                    let (class, left_ms) = (
                        (n / 3 + more * (n / 27 % 2)) as usize % 3,
                        LEFT_MS - n % 4 * 2000,
                    );
                    self.hand_in(class, n / 9, left_ms);
                }),
                5..=9 if !flying.is_empty() => {
                    let (id, attempt) = flying[n as usize % flying.len()].clone();
                    self.in_flight.remove(&id);
                    self.end(id, attempt, STATUSES[n as usize / 7 % STATUSES.len()]);
                }
                10 | 11 if !reported.is_empty() => {
                    let id = reported[n as usize % reported.len()].clone();
                    self.reports.remove(&id);
                    self.step(Input::FinalReportsAcknowledged(vec![id]));
                }
                12 => {
                    self.turn(n % 2 == 0)?;
                    self.restart()?;
                }
                _ => {}
            }
            self.turn(false)?;
        }
        Ok(())
    }

    /// Five milliseconds pass. Attempts of which the time is over time out.
    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.ms += 5;
        self.step(Input::TimerFired);
        self.turn(false)
    }

    /// Everything is served and answered from now on: nothing may stay behind.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..(2 * LEFT_MS / 5) {
            for (id, attempt) in std::mem::take(&mut self.in_flight) {
                self.end(id, attempt, Status::Served);
            }
            let reports = std::mem::take(&mut self.reports);
            self.step(Input::FinalReportsAcknowledged(
                reports.into_iter().collect(),
            ));
            self.tick()?;
        }
        prop_assert_eq!(self.core.outstanding(), (0, 0), "something is stuck");
        Ok(())
    }

    /// After all is over each key goes on at once.
    fn goes_on(&mut self) -> Result<(), TestCaseError> {
        let ids: Vec<String> = (0..ACCOUNTS)
            .map(|account| self.hand_in(1, account, LEFT_MS))
            .collect();
        self.turn(false)?;
        for id in ids {
            prop_assert!(self.in_flight.contains_key(&id), "the key of {id} is stuck");
        }
        Ok(())
    }
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((1u64..90, 0u8..14, 0u64..10_000), 1..160)
}

#[test]
fn messages_of_one_ordering_key_are_sent_one_at_a_time_in_submission_order() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let (sends, restarts) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    let verdict = runner.run(&(any_steps(), any::<bool>()), |(steps, by_steps)| {
        let mut world = World::new(by_steps);
        world.play(&steps)?;
        world.drain()?;
        world.goes_on()?;
        sends.set(sends.get() + world.sends);
        restarts.set(restarts.get() + world.restarts);
        Ok(())
    });
    assert!(verdict.is_ok(), "{verdict:?}");
    println!("{} sends, {} restarts", sends.get(), restarts.get());
    assert!(
        sends.get() > 3000 && restarts.get() > 300,
        "too little to prove anything"
    );
}

/// More is found than the decisions have room for, and a later message of a key is due before an earlier one.
#[test]
fn a_backlog_beyond_the_bound_keeps_the_order_of_its_keys() {
    for by_steps in [false, true] {
        backlog_beyond_the_bound(World::new(by_steps));
    }
}

fn backlog_beyond_the_bound(mut world: World) {
    for place in 1..=60u64 {
        let id = format!("{:016x}", place.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let key = Some(format!("account-{}", place % 2));
        world.messages.insert(
            id.clone(),
            ModelMessage {
                place: place as usize,
                key: key.clone(),
                class: 1,
            },
        );
        world.journal.push(Record::Accepted {
            id,
            class: 1,
            tenant: 0,
            destination: 7,
            key: None,
            ordering_key: key,
            // The later it came, the sooner it is over.
            deadline: START + (9000 - 50 * place) * 1_000_000,
            at: START,
            body: Arc::from(&b"body"[..]),
        });
    }
    world.restart().expect("in order");
    world.drain().expect("in order");
    assert!(world.sends >= 20, "{} sent", world.sends);
    assert!(world.messages.values().all(|m| m.class == 1));
}
