//! Robustness against wrong settings: a value that is missing, of another type, zero or out of range either is an error
//! with its place, or leaves a sender that works.

use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{
    Answer, Attempt, AttemptOutcome, Core, Effect, Input, Listing, Message, Origin, Persisted,
};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry, Status};
use cranehill_scheduler::profile::Profile;
use serde_json::{Value, json};

const SETTINGS: &str = include_str!("settings.json");
const START: u64 = 1_000_000_000_000;

/// Results of the attempts, used in rotation.
const STATUSES: [Status; 5] = [
    Status::Served,
    Status::Error,
    Status::Overloaded,
    Status::TimedOut,
    Status::NoConnection,
];

/// Collects the JSON pointers of all values below `value`, which is at `at`.
fn collect_pointers(value: &Value, at: &str, pointers: &mut Vec<String>) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(k, v)| collect_pointers(v, &format!("{at}/{k}"), pointers)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(i, v)| collect_pointers(v, &format!("{at}/{i}"), pointers)),
        _ => {}
    }
    pointers.push(at.to_owned());
}

fn message(n: usize, class: usize, deadline_ms: u64) -> Message {
    Message {
        id: format!("m{n}"),
        class,
        tenant: n % 3,
        destination: 7,
        idempotency_key: Some("k".into()),
        ordering_key: None,
        body: Arc::from(&b"body"[..]),
        time_left: Duration::from_millis(deadline_ms),
        attempts_used: 0,
        envelope: None,
        origin: Origin::Client(n),
    }
}

fn listing(endpoint: &str, zone: u32, kind: usize) -> Listing {
    Listing {
        entry: Entry {
            endpoint: EndpointId(endpoint.into()),
            destination: DestinationId(7),
            condition: Condition::Ready,
            zone,
            kind,
            rate: 0.0,
        },
        address: "127.0.0.1:1".into(),
    }
}

fn outcome(id: String, attempt: u32, status: Status) -> AttemptOutcome {
    AttemptOutcome {
        id,
        attempt,
        status,
        is_final: status == Status::Served,
        duration: Duration::from_millis(50),
        retry_after: (status == Status::Overloaded).then_some(Duration::from_millis(120)),
        load_report: None,
    }
}

/// Runs a sender for 12 s with messages of all classes and attempts with all results. It must not panic, and each
/// accepted message must end exactly once.
fn run(settings: Value) -> Result<(), String> {
    let profile: Profile = serde_json::from_value(settings).map_err(|e| e.to_string())?;
    let parsed = profile.into_settings().map_err(|e| e.to_string())?;
    let classes = parsed.classes.len();
    let mut core = Core::new(parsed, 1, Time(START)).map_err(|e| e.to_string())?;
    core.step(
        Time(START),
        Input::EndpointsChanged {
            whole: true,
            list: vec![listing("a", 0, 0), listing("b", 1, 9)],
        },
    );
    let (mut in_flight, mut outstanding, mut status_index) =
        (Vec::new(), std::collections::BTreeSet::new(), 0);
    for ms in (0..12_000u64).step_by(50) {
        let now = Time(START + ms * 1_000_000);
        if ms < 4000 {
            let n = (ms / 50) as usize;
            core.step(
                now,
                Input::Submitted(message(n, n % classes, [0, 30, 900, 4000][n % 4])),
            );
        }
        for attempt in std::mem::take(&mut in_flight) {
            let Attempt { id, number, .. }: Attempt = attempt;
            let status = STATUSES[status_index % STATUSES.len()];
            status_index += 1;
            if status == Status::Served {
                outstanding.remove(&id);
            }
            let end = outcome(id, number, status);
            core.step(now, Input::AttemptsFinished(vec![end]));
        }
        core.step(now, Input::TimerFired);
        let mut effects = core.step(now, Input::TickEnded);
        if let Some(Effect::Persist(_)) = effects.last() {
            effects = core.step(now, Input::Persisted(Persisted::All));
        }
        for effect in effects {
            match effect {
                Effect::Call { attempts, .. } => in_flight.extend(attempts),
                Effect::Answer {
                    id,
                    answer: Answer::Accepted,
                    ..
                } => drop(outstanding.insert(id)),
                Effect::SendFinalReport { id, .. } => {
                    assert!(outstanding.remove(&id), "{id} ends twice");
                }
                _ => {}
            }
        }
    }
    assert!(
        outstanding.is_empty(),
        "accepted messages have not ended: {outstanding:?}"
    );
    Ok(())
}

#[test]
fn valid_settings_work() {
    run(serde_json::from_str(SETTINGS).expect("settings")).expect("a run without an error");
}

/// Guards against a panic at the start with unusual settings: whatever one value is, there is an error or a working
/// sender.
#[test]
fn a_missing_or_out_of_range_value_is_an_error_or_harmless() {
    let valid: Value = serde_json::from_str(SETTINGS).expect("settings");
    let mut pointers = Vec::new();
    collect_pointers(&valid, "", &mut pointers);
    pointers.retain(|pointer| !pointer.is_empty());
    assert!(pointers.len() > 60, "{}", pointers.len());
    let wrong_values = [
        json!(0),
        json!(1),
        json!(-1),
        json!(0.5),
        json!(u64::MAX),
        json!(1e300),
        json!(-1e300),
    ];
    let wrong_values = [
        &wrong_values[..],
        &[
            json!(null),
            json!(""),
            json!("odd"),
            json!([]),
            json!({}),
            json!(true),
        ],
    ]
    .concat();
    for pointer in pointers {
        for value in &wrong_values {
            let mut settings = valid.clone();
            *settings.pointer_mut(&pointer).expect("there") = value.clone();
            if let Err(error) = run(settings) {
                assert!(
                    !error.is_empty() && !error.contains('\n'),
                    "{pointer} = {value}: {error}"
                );
            }
        }
        let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
        let mut settings = valid.clone();
        if let Some(Value::Object(map)) = settings.pointer_mut(parent) {
            map.remove(key);
            let _ = run(settings);
        }
    }
}

#[test]
fn an_unknown_effect_is_an_error_with_its_place() {
    let mut settings: Value = serde_json::from_str(SETTINGS).expect("settings");
    *settings.pointer_mut("/classes/1/effect").expect("there") = json!("odd");
    let error = run(settings).expect_err("not known");
    assert_eq!(
        error,
        "settings.classes[1].effect: 'odd' is not safe, keyed or unsafe"
    );
}
