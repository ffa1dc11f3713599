//! Random histories of message classes with ordering keys: submissions, finished attempts, acknowledged reports, and
//! restarts at any moment. The order is checked by the calls that are sent, not by the state of the reducer.

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

/// Attempts of class 0 may be repeated, those of class 1 must not be; class 2 has no ordering keys.
const SETTINGS: &str = r#"{"classes":[
{"aim":4000000000,"deadline":9000000000,"dedupScope":"all","effect":"keyed","byArrival":true,"lateShare":0.4,"name":"notice","window":9000000000,"worth":1.0},
{"aim":4000000000,"deadline":9000000000,"effect":"unsafe","byArrival":true,"lateShare":0.4,"name":"order","worth":1.0},
{"aim":4000000000,"deadline":9000000000,"effect":"safe","lateShare":0.4,"name":"preview","worth":1.0}],
"familyInfo":{"callsOut":8,"kindApart":[false],"losesWorth":"linear","perCall":[20]},"membershipMode":"push","models":["bulk-host"],"nInstances":1,
"policyLimits":{"attemptsCap":8,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":12,"probes":false,"retryAfter":true},
"rules":{"cold":900000000,"coldFrom":0.9,"fall":3000000000,"fallMultiple":9.0,"graceToAnswer":20000000,"keyQuiet":100000000},
"tenants":[],"tick":5000000,"weightKind":"none","zone":0,"zones":["a"]}"#;
const ACCOUNTS: u64 = 3;
const KEY_QUIET_MS: u64 = 100;
const START: u64 = 1_000_000_000_000;
const TIME_TO_DEADLINE_MS: u64 = 9000;
const STATUSES: [Status; 6] = [
    Status::Served,
    Status::Served,
    Status::Overloaded,
    Status::Error,
    Status::TimedOut,
    Status::Reset,
];

/// Milliseconds before the action, the action, and a number that selects its details.
type Step = (u64, u8, u64);

#[derive(Debug)]
struct ModelMessage {
    /// Position among all submitted messages.
    position: usize,
    key: Option<String>,
    class: usize,
}

/// The successive processes of one sender, with their journal and the calls that they have sent.
struct SenderWorld {
    core: Core,
    seed: u64,
    /// Whether recovery is enabled at a restart, which hands recovered messages over gradually.
    with_recovery: bool,
    ms: u64,
    journal: Vec<Record>,
    messages: BTreeMap<String, ModelMessage>,
    submitted: usize,
    /// Numbers of the attempts in flight, by message id.
    in_flight: BTreeMap<String, u32>,
    /// By ordering key: the highest position that was ever sent.
    sent: BTreeMap<String, usize>,
    /// By ordering key: until when no message may be sent, except the given one.
    quiet_until: BTreeMap<String, (u64, Option<String>)>,
    /// Ids of messages with an unacknowledged final report.
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
    let bounds = cranehill_recovery::MaxAges {
        window: ms(9000),
        limit: ms(9000),
        state: ms(9000),
        max_clock_difference: ms(500),
    };
    cranehill_recovery::Settings {
        bounds,
        request_interval: ms(100),
        peer_timeout: ms(200),
        persist_interval: ms(1000),
    }
}

impl SenderWorld {
    fn new(with_recovery: bool) -> SenderWorld {
        let core = Core::new(settings(), 1, Time(START)).expect("settings");
        let mut world = SenderWorld {
            core,
            seed: 1,
            with_recovery,
            ms: 0,
            journal: Vec::new(),
            messages: BTreeMap::new(),
            submitted: 0,
            in_flight: BTreeMap::new(),
            sent: BTreeMap::new(),
            quiet_until: BTreeMap::new(),
            reports: BTreeSet::new(),
            sends: 0,
            restarts: 0,
        };
        world.send_endpoint_list();
        world
    }

    fn send_endpoint_list(&mut self) {
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

    /// Ends a tick. If `crashes` is true, the process ends after its records are written, before any effect is carried
    /// out.
    fn end_tick(&mut self, crashes: bool) -> Result<(), TestCaseError> {
        let effects = self.step(Input::TickEnded);
        for effect in effects {
            match effect {
                Effect::Persist(records) => {
                    self.journal.extend(records);
                    if crashes {
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
        let position = self.messages[id].position;
        let other = self
            .in_flight
            .keys()
            .find(|other| self.key_of(other).as_deref() == Some(&key));
        prop_assert!(
            other.is_none(),
            "{id} is sent while {other:?} of the same key is in flight"
        );
        let latest = self.sent.get(&key).copied().unwrap_or(0);
        prop_assert!(
            position >= latest,
            "{id} is sent after a later message of its key"
        );
        let earlier = |other: &&String| {
            let other = self.messages.get(*other);
            other.is_some_and(|m| m.key.as_deref() == Some(&key) && m.position < position)
        };
        let reported = self.reports.iter().find(earlier);
        prop_assert!(
            reported.is_none(),
            "{id} is sent before the report of {reported:?} is acknowledged"
        );
        if let Some((until, by)) = self.quiet_until.get(&key) {
            let is_allowed = self.ms >= *until || by.as_deref() == Some(id);
            prop_assert!(
                is_allowed,
                "{id} is sent at {} ms, expected no call of its key until {until} ms",
                self.ms
            );
        }
        self.sent.insert(key, position);
        Ok(())
    }

    /// Submits a message of a class; its ordering key is one of three accounts if the class has ordering keys. Returns
    /// its id.
    fn submit(&mut self, class: usize, account: u64, deadline_ms: u64) -> String {
        let key = (class < 2).then(|| format!("account-{}", account % ACCOUNTS));
        self.submitted += 1;
        let position = self.submitted;
        // The order of the ids is unrelated to the order of submission.
        let id = format!(
            "{:016x}",
            (position as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        self.messages.insert(
            id.clone(),
            ModelMessage {
                position,
                key: key.clone(),
                class,
            },
        );
        self.step(Input::Submitted(Message {
            id: id.clone(),
            class,
            tenant: 0,
            destination: 7,
            idempotency_key: None,
            ordering_key: key,
            body: Arc::from(&b"body"[..]),
            time_left: Duration::from_millis(deadline_ms),
            attempts_used: 0,
            envelope: None,
            origin: Origin::Client(1),
        }));
        id
    }

    fn finish_attempt(&mut self, id: String, attempt: u32, status: Status) {
        if matches!(status, Status::TimedOut | Status::Reset)
            && let Some(key) = self.key_of(&id)
        {
            self.quiet_until
                .insert(key, (self.ms + KEY_QUIET_MS, Some(id.clone())));
        }
        let over = status == Status::Served;
        let took = Duration::from_millis(20);
        self.step(Input::AttemptsFinished(vec![AttemptOutcome {
            id,
            attempt,
            status,
            is_final: over,
            duration: took,
            retry_after: None,
            load_report: None,
        }]));
    }

    /// Restarts the sender: the attempts in flight are lost, and a new process recovers from the journal.
    fn restart(&mut self) -> Result<(), TestCaseError> {
        self.restarts += 1;
        self.seed += 1;
        for id in std::mem::take(&mut self.in_flight).into_keys() {
            if let Some(key) = self.key_of(&id) {
                // A repeat of the same message must wait as well: the new process does not know whose attempt it was.
                self.quiet_until.insert(key, (self.ms + KEY_QUIET_MS, None));
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
        if self.with_recovery {
            self.core.start_recovery(recovery_settings());
        }
        self.send_endpoint_list();
        let effects = self.step(Input::Recovered(self.journal.clone()));
        self.carry_out(effects)?;
        self.end_tick(false)
    }

    fn play(&mut self, steps: &[Step]) -> Result<(), TestCaseError> {
        for &(pause_ms, action, n) in steps {
            let until = self.ms + pause_ms;
            while self.ms + 5 < until {
                self.tick()?;
            }
            let in_flight: Vec<(String, u32)> = self
                .in_flight
                .iter()
                .map(|(i, a)| (i.clone(), *a))
                .collect();
            let reported: Vec<String> = self.reports.iter().cloned().collect();
            match action {
                // Up to three messages in one tick, some of them with the same key.
                0..=4 => (0..=n % 3).for_each(|index| {
                    let (class, deadline_ms) = (
                        (n / 3 + index * (n / 27 % 2)) as usize % 3,
                        TIME_TO_DEADLINE_MS - n % 4 * 2000,
                    );
                    self.submit(class, n / 9, deadline_ms);
                }),
                5..=9 if !in_flight.is_empty() => {
                    let (id, attempt) = in_flight[n as usize % in_flight.len()].clone();
                    self.in_flight.remove(&id);
                    self.finish_attempt(id, attempt, STATUSES[n as usize / 7 % STATUSES.len()]);
                }
                10 | 11 if !reported.is_empty() => {
                    let id = reported[n as usize % reported.len()].clone();
                    self.reports.remove(&id);
                    self.step(Input::FinalReportsAcknowledged(vec![id]));
                }
                12 => {
                    self.end_tick(n % 2 == 0)?;
                    self.restart()?;
                }
                _ => {}
            }
            self.end_tick(false)?;
        }
        Ok(())
    }

    /// Advances the time by five milliseconds, and runs a tick.
    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.ms += 5;
        self.step(Input::TimerFired);
        self.end_tick(false)
    }

    /// Serves all attempts and acknowledges all reports until nothing may remain outstanding.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..(2 * TIME_TO_DEADLINE_MS / 5) {
            for (id, attempt) in std::mem::take(&mut self.in_flight) {
                self.finish_attempt(id, attempt, Status::Served);
            }
            let reports = std::mem::take(&mut self.reports);
            self.step(Input::FinalReportsAcknowledged(
                reports.into_iter().collect(),
            ));
            self.tick()?;
        }
        prop_assert_eq!(
            self.core.pending_and_report_counts(),
            (0, 0),
            "messages or reports remain outstanding"
        );
        Ok(())
    }

    /// Checks that a new message of each key is sent at once, after all others have ended.
    fn check_keys_unblocked(&mut self) -> Result<(), TestCaseError> {
        let ids: Vec<String> = (0..ACCOUNTS)
            .map(|account| self.submit(1, account, TIME_TO_DEADLINE_MS))
            .collect();
        self.end_tick(false)?;
        for id in ids {
            prop_assert!(
                self.in_flight.contains_key(&id),
                "the ordering key of {id} is blocked"
            );
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
    let verdict = runner.run(&(any_steps(), any::<bool>()), |(steps, with_recovery)| {
        let mut world = SenderWorld::new(with_recovery);
        world.play(&steps)?;
        world.drain()?;
        world.check_keys_unblocked()?;
        sends.set(sends.get() + world.sends);
        restarts.set(restarts.get() + world.restarts);
        Ok(())
    });
    assert!(verdict.is_ok(), "{verdict:?}");
    println!("{} sends, {} restarts", sends.get(), restarts.get());
    assert!(
        sends.get() > 3000 && restarts.get() > 300,
        "too few sends or restarts for a meaningful run"
    );
}

/// Guards against a wrong order if more messages are recovered than the scheduler has capacity for, and a later message
/// of a key is due before an earlier one.
#[test]
fn a_backlog_beyond_the_bound_keeps_the_order_of_its_keys() {
    for with_recovery in [false, true] {
        backlog_beyond_the_bound(SenderWorld::new(with_recovery));
    }
}

fn backlog_beyond_the_bound(mut world: SenderWorld) {
    for position in 1..=60u64 {
        let id = format!("{:016x}", position.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let key = Some(format!("account-{}", position % 2));
        world.messages.insert(
            id.clone(),
            ModelMessage {
                position: position as usize,
                key: key.clone(),
                class: 1,
            },
        );
        world.journal.push(Record::Accepted {
            id,
            class: 1,
            tenant: 0,
            destination: 7,
            idempotency_key: None,
            ordering_key: key,
            // Later messages have earlier deadlines.
            deadline: START + (9000 - 50 * position) * 1_000_000,
            accepted_at: START,
            body: Arc::from(&b"body"[..]),
        });
    }
    world.restart().expect("in order");
    world.drain().expect("in order");
    assert!(world.sends >= 20, "{} sent", world.sends);
    assert!(world.messages.values().all(|m| m.class == 1));
}
