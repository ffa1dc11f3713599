//! Restarts with an idempotency window of only 1 s: no possibly executed message is repeated outside the window, and no
//! message that can still be sent is given up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{AttemptOutcome, Core, Effect, Input, Listing, Persisted, Record};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry, Status};
use cranehill_scheduler::profile::Profile;

const SETTINGS: &str = include_str!("settings.json");
/// Index of the class of keyed messages, here with an idempotency window of 1 s.
const KEYED: usize = 1;
/// Index of the class of unsafe messages.
const UNSAFE: usize = 2;
const WINDOW_MS: u64 = 1000;
const ACCEPTED_MS: u64 = 10_000;
/// When the first attempt of the possibly executed messages was sent.
const SENT_MS: u64 = 10_100;
/// A repeat with less than this remaining of its window when the process is running again may be too late: two ticks of
/// the scheduler.
const MARGIN_MS: u64 = 20;
/// Time from the recovery of the journal to the first tick, which other work at the start takes.
const START_MS: u64 = 40;
const DESTINATION: u64 = 7;
const SERVED_AFTER_MS: u64 = 10;

fn at(ms: u64) -> Time {
    Time(1_000_000_000_000 + ms * 1_000_000)
}

fn ms(time: Time) -> u64 {
    (time.0 - at(0).0) / 1_000_000
}

fn core(now: u64, gradual: bool) -> Core {
    let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("JSON");
    settings["classes"][KEYED]["window"] = (WINDOW_MS * 1_000_000).into();
    settings["classes"][KEYED]["deadline"] = 8_000_000_000u64.into();
    settings["classes"][KEYED]["dedupScope"] = "all".into();
    settings["policyLimits"]["mostHeld"] = 64.into();
    let profile: Profile = serde_json::from_value(settings).expect("a profile");
    let mut core =
        Core::new(profile.into_settings().expect("settings"), now, at(now)).expect("settings");
    if gradual {
        let span = Duration::from_secs;
        let bounds = cranehill_recovery::MaxAges {
            window: span(10),
            limit: span(10),
            state: span(10),
            max_clock_difference: Duration::from_millis(500),
        };
        core.start_recovery(cranehill_recovery::Settings {
            bounds,
            request_interval: span(1),
            peer_timeout: span(2),
            persist_interval: span(1),
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

fn accepted(id: &str, class: usize, deadline: u64) -> Record {
    Record::Accepted {
        id: id.into(),
        class,
        tenant: 0,
        destination: DESTINATION,
        idempotency_key: None,
        ordering_key: None,
        deadline: at(deadline).0,
        accepted_at: at(ACCEPTED_MS).0,
        body: Arc::from(&b"body"[..]),
    }
}

fn started(id: &str) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt: 0,
        endpoint: "a".into(),
        started_at: at(SENT_MS).0,
    }
}

/// How the recovered messages ended.
#[derive(Default)]
struct Ends {
    /// By message: when it was first sent, and until when the request had to be written.
    called: BTreeMap<String, (u64, Option<u64>)>,
    /// Messages that were reported undelivered.
    reported: BTreeSet<String>,
}

/// Runs a restarted process until no message or report is outstanding. Every call is served.
fn run(mut core: Core, mut now: u64, records: Vec<Record>) -> Ends {
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
                            is_final: true,
                            duration: Duration::from_millis(SERVED_AFTER_MS),
                            retry_after: None,
                            load_report: None,
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
        if core.pending_and_report_counts() == (0, 0) {
            return ends;
        }
        let due = answers.first_key_value().map_or(u64::MAX, |(due, _)| *due);
        now = wake.max(now + 1).min(due.max(now + 1));
    }
    let outstanding = core.pending_and_report_counts();
    panic!("messages, reports left: {outstanding:?}");
}

/// Restarts 0 to 1.5 s after a possibly executed attempt, with and without gradual recovery, with a backlog of untried
/// messages.
#[test]
fn repeats_are_sent_inside_their_window_and_first_attempts_regardless() {
    for gradual in [false, true] {
        for passed in (0..=1500).step_by(25) {
            let restarted_at = SENT_MS + passed;
            let mut records = Vec::new();
            for n in 0..12 {
                records.push(accepted(&format!("untried{n:02}"), KEYED, 14_000 + 100 * n));
                records.push(accepted(
                    &format!("untried-unsafe{n:02}"),
                    UNSAFE,
                    14_000 + 100 * n,
                ));
            }
            // Refused, and so certainly not executed: it may be sent like a new message.
            records.extend([accepted("refused", UNSAFE, 14_500), started("refused")]);
            records.push(Record::AttemptFinished {
                id: "refused".into(),
                attempt: 0,
                not_executed: true,
            });
            // Its deadline is after those of the others, its window ends before them.
            records.extend([accepted("repeat", KEYED, 18_000), started("repeat")]);
            records.extend([accepted("never", UNSAFE, 18_000), started("never")]);
            let ends = run(core(restarted_at, gradual), restarted_at, records);
            let case = format!("gradual recovery: {gradual}, restarted after {passed} ms");
            assert!(
                !ends.called.contains_key("never") && ends.reported.contains("never"),
                "{case}"
            );
            for id in
                (0..12).flat_map(|n| [format!("untried{n:02}"), format!("untried-unsafe{n:02}")])
            {
                assert!(ends.called.contains_key(&id), "{case}: {id} was not tried");
            }
            assert!(
                ends.called.contains_key("refused"),
                "{case}: a message that was not executed is not sent again"
            );
            match ends.called.get("repeat") {
                Some((now, write_by)) => {
                    assert!(*now < SENT_MS + WINDOW_MS, "{case}: repeated at {now} ms");
                    assert_eq!(
                        *write_by,
                        Some(SENT_MS + WINDOW_MS),
                        "{case}: a late connection must not send the repeat after its window"
                    );
                }
                None => assert!(
                    passed + START_MS + MARGIN_MS >= WINDOW_MS,
                    "{case}: the repeat was not sent within its window"
                ),
            }
            assert_ne!(
                ends.called.contains_key("repeat"),
                ends.reported.contains("repeat"),
                "{case}"
            );
        }
    }
}
