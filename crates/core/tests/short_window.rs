//! Restarts where repeats are dropped for 1 s only: nothing goes again outside of that, and nothing that could still go is lost.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{AttemptOutcome, Core, Effect, Input, Listing, Persisted, Record};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry, Status};
use cranehill_scheduler::profile::Profile;

const SETTINGS: &str = include_str!("settings.json");
/// Of its classes: keyed with a window, here of 1 s, and unsafe.
const KEYED: usize = 1;
const UNSAFE: usize = 2;
const WINDOW_MS: u64 = 1000;
const TAKEN_MS: u64 = 10_000;
/// The first attempt of those that may have been executed went out then.
const SENT_MS: u64 = 10_100;
/// A repeat that has less than this left when the process is there again may be too late: two ticks of the decisions.
const MARGIN_MS: u64 = 20;
/// From the journal's reading to the first turn: a start is busy with other things in between.
const START_MS: u64 = 40;
const DESTINATION: u64 = 7;
const SERVED_AFTER_MS: u64 = 10;

fn at(ms: u64) -> Time {
    Time(1_000_000_000_000 + ms * 1_000_000)
}

fn ms(time: Time) -> u64 {
    (time.0 - at(0).0) / 1_000_000
}

fn core(now: u64, by_steps: bool) -> Core {
    let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("JSON");
    settings["classes"][KEYED]["window"] = (WINDOW_MS * 1_000_000).into();
    settings["classes"][KEYED]["deadline"] = 8_000_000_000u64.into();
    settings["classes"][KEYED]["dedupScope"] = "all".into();
    settings["policyLimits"]["mostHeld"] = 64.into();
    let profile: Profile = serde_json::from_value(settings).expect("a profile");
    let mut core =
        Core::new(profile.into_settings().expect("settings"), now, at(now)).expect("settings");
    if by_steps {
        let span = Duration::from_secs;
        let bounds = cranehill_recovery::Bounds {
            window: span(10),
            limit: span(10),
            state: span(10),
            ahead: Duration::from_millis(500),
        };
        core.recover(cranehill_recovery::Settings {
            bounds,
            ask: span(1),
            alone: span(2),
            remember: span(1),
        });
    }
    let entry = Entry {
        endpoint: EndpointId("a".into()),
        destination: DestinationId(DESTINATION),
        condition: Condition::Ready,
        zone: 0,
        kind: 1,
        rate: 0.0,
    };
    core.step(
        at(now),
        Input::EndpointsChanged {
            whole: true,
            list: vec![Listing {
                entry,
                address: "127.0.0.1:1".into(),
            }],
        },
    );
    core
}

fn taken(id: &str, class: usize, deadline: u64) -> Record {
    Record::Accepted {
        id: id.into(),
        class,
        tenant: 0,
        destination: DESTINATION,
        key: None,
        ordering_key: None,
        deadline: at(deadline).0,
        at: at(TAKEN_MS).0,
        body: Arc::from(&b"body"[..]),
    }
}

fn sent(id: &str) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt: 0,
        endpoint: "a".into(),
        at: at(SENT_MS).0,
    }
}

/// What became of the messages of a restart.
#[derive(Default)]
struct Ends {
    /// When each went out first, and until when it had to be written.
    called: BTreeMap<String, (u64, Option<u64>)>,
    reported: BTreeSet<String>,
}

/// Plays the return of a process until nothing is owed; every call is served.
fn play(mut core: Core, mut now: u64, records: Vec<Record>) -> Ends {
    let mut ends = Ends::default();
    let mut answers: BTreeMap<u64, Vec<AttemptOutcome>> = BTreeMap::new();
    let mut effects = core.step(at(now), Input::Recovered(records));
    now += START_MS;
    let mut wake = now;
    while now < 40_000 {
        while let Some(due) = answers.first_entry().filter(|due| *due.key() <= now) {
            effects.extend(core.step(at(now), Input::AttemptsFinished(due.remove())));
        }
        core.step(at(now), Input::TimerFired);
        effects.extend(core.step(at(now), Input::TickEnded));
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Persist(_) => {
                    effects.extend(core.step(at(now), Input::Persisted(Persisted::All)));
                }
                Effect::SendFinalReport { id, .. } => {
                    effects.extend(
                        core.step(at(now), Input::FinalReportsAcknowledged(vec![id.clone()])),
                    );
                    ends.reported.insert(id);
                }
                Effect::WakeAt(time) => {
                    wake = if wake <= now {
                        ms(time)
                    } else {
                        wake.min(ms(time))
                    }
                }
                Effect::Call { attempts, .. } => {
                    let ended = attempts.into_iter().map(|a| {
                        ends.called
                            .entry(a.id.clone())
                            .or_insert((now, a.write_by.map(ms)));
                        AttemptOutcome {
                            id: a.id,
                            attempt: a.number,
                            status: Status::Served,
                            over: true,
                            took: Duration::from_millis(SERVED_AFTER_MS),
                            retry_after: None,
                            report: None,
                        }
                    });
                    answers
                        .entry(now + SERVED_AFTER_MS)
                        .or_default()
                        .extend(ended);
                }
                _ => {}
            }
        }
        if core.outstanding() == (0, 0) {
            return ends;
        }
        let due = answers.first_key_value().map_or(u64::MAX, |(due, _)| *due);
        now = wake.max(now + 1).min(due.max(now + 1));
    }
    panic!("still owed: {:?}", core.outstanding());
}

/// Restarts 0 to 1.5 s after an attempt that may have been executed, all at once and by steps, before a backlog of what was not tried.
#[test]
fn repeats_are_sent_inside_their_window_and_first_attempts_regardless() {
    for by_steps in [false, true] {
        for passed in (0..=1500).step_by(25) {
            let back = SENT_MS + passed;
            let mut records = Vec::new();
            for n in 0..12 {
                records.push(taken(&format!("untried{n:02}"), KEYED, 14_000 + 100 * n));
                records.push(taken(
                    &format!("untried-unsafe{n:02}"),
                    UNSAFE,
                    14_000 + 100 * n,
                ));
            }
            // Refused, so that it surely did not run: it is as good as new.
            records.extend([taken("refused", UNSAFE, 14_500), sent("refused")]);
            records.push(Record::AttemptFinished {
                id: "refused".into(),
                attempt: 0,
                not_executed: true,
            });
            // Behind the others by its deadline, before them by its window.
            records.extend([taken("repeat", KEYED, 18_000), sent("repeat")]);
            records.extend([taken("never", UNSAFE, 18_000), sent("never")]);
            let ends = play(core(back, by_steps), back, records);
            let which = format!("by steps: {by_steps}, back after {passed} ms");
            assert!(
                !ends.called.contains_key("never") && ends.reported.contains("never"),
                "{which}"
            );
            for id in
                (0..12).flat_map(|n| [format!("untried{n:02}"), format!("untried-unsafe{n:02}")])
            {
                assert!(ends.called.contains_key(&id), "{which}: {id} was not tried");
            }
            assert!(
                ends.called.contains_key("refused"),
                "{which}: it surely did not run"
            );
            match ends.called.get("repeat") {
                Some((now, write_by)) => {
                    assert!(*now < SENT_MS + WINDOW_MS, "{which}: repeated at {now} ms");
                    assert_eq!(
                        *write_by,
                        Some(SENT_MS + WINDOW_MS),
                        "{which}: the connection may come up late"
                    );
                }
                None => assert!(
                    passed + START_MS + MARGIN_MS >= WINDOW_MS,
                    "{which}: its chance was lost"
                ),
            }
            assert_ne!(
                ends.called.contains_key("repeat"),
                ends.reported.contains("repeat"),
                "{which}"
            );
        }
    }
}
