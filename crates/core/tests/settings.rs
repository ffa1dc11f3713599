//! Settings of any deployment: each value missing, of another kind, zero or absurd is an error with its place, or does no harm.

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

/// How calls end, by turns.
const STATUSES: [Status; 5] = [
    Status::Served,
    Status::Error,
    Status::Overloaded,
    Status::TimedOut,
    Status::NoConnection,
];

/// The places of all values in the settings, as JSON pointers.
fn collect_pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(k, v)| collect_pointers(v, &format!("{at}/{k}"), all)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(i, v)| collect_pointers(v, &format!("{at}/{i}"), all)),
        _ => {}
    }
    all.push(at.to_owned());
}

fn message(n: usize, class: usize, left_ms: u64) -> Message {
    Message {
        id: format!("m{n}"),
        class,
        tenant: n % 3,
        destination: 7,
        key: Some("k".into()),
        ordering_key: None,
        body: Arc::from(&b"body"[..]),
        left: Duration::from_millis(left_ms),
        spent: 0,
        envelope: None,
        from: Origin::Client(n),
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
        over: status == Status::Served,
        took: Duration::from_millis(50),
        retry_after: (status == Status::Overloaded).then_some(Duration::from_millis(120)),
        report: None,
    }
}

/// Plays a few seconds: messages of all classes, calls that end in each way, by turns. Nothing may panic, and each message
/// that was accepted has one end by its time and a second.
fn play(settings: Value) -> Result<(), String> {
    let profile: Profile = serde_json::from_value(settings).map_err(|e| e.to_string())?;
    let set = profile.into_settings().map_err(|e| e.to_string())?;
    let classes = set.classes.len();
    let mut core = Core::new(set, 1, Time(START)).map_err(|e| e.to_string())?;
    core.step(
        Time(START),
        Input::EndpointsChanged {
            whole: true,
            list: vec![listing("a", 0, 0), listing("b", 1, 9)],
        },
    );
    let (mut out, mut outstanding, mut way) = (Vec::new(), std::collections::BTreeSet::new(), 0);
    for ms in (0..12_000u64).step_by(50) {
        let now = Time(START + ms * 1_000_000);
        if ms < 4000 {
            let n = (ms / 50) as usize;
            core.step(
                now,
                Input::Submitted(message(n, n % classes, [0, 30, 900, 4000][n % 4])),
            );
        }
        for attempt in std::mem::take(&mut out) {
            let Attempt { id, number, .. }: Attempt = attempt;
            let status = STATUSES[way % STATUSES.len()];
            way += 1;
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
                Effect::Call { attempts, .. } => out.extend(attempts),
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
    assert!(outstanding.is_empty(), "still owed: {outstanding:?}");
    Ok(())
}

#[test]
fn valid_settings_work() {
    play(serde_json::from_str(SETTINGS).expect("settings")).expect("played");
}

/// Guards a start on another customer's settings: whatever one value is, there is an error or a sender that works.
#[test]
fn a_missing_or_absurd_value_is_an_error_or_harmless() {
    let good: Value = serde_json::from_str(SETTINGS).expect("settings");
    let mut all = Vec::new();
    collect_pointers(&good, "", &mut all);
    all.retain(|place| !place.is_empty());
    assert!(all.len() > 60, "{}", all.len());
    let odd = [
        json!(0),
        json!(1),
        json!(-1),
        json!(0.5),
        json!(u64::MAX),
        json!(1e300),
        json!(-1e300),
    ];
    let odd = [
        &odd[..],
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
    for place in all {
        for value in &odd {
            let mut settings = good.clone();
            *settings.pointer_mut(&place).expect("there") = value.clone();
            if let Err(why) = play(settings) {
                assert!(
                    !why.is_empty() && !why.contains('\n'),
                    "{place} = {value}: {why}"
                );
            }
        }
        let (parent, key) = place.rsplit_once('/').expect("a place");
        let mut settings = good.clone();
        if let Some(Value::Object(map)) = settings.pointer_mut(parent) {
            map.remove(key);
            let _ = play(settings);
        }
    }
}

#[test]
fn an_unknown_effect_is_an_error_with_its_place() {
    let mut settings: Value = serde_json::from_str(SETTINGS).expect("settings");
    *settings.pointer_mut("/classes/1/effect").expect("there") = json!("odd");
    let why = play(settings).expect_err("not known");
    assert_eq!(
        why,
        "settings.classes[1].effect: 'odd' is not safe, keyed or unsafe"
    );
}
