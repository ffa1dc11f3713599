//! The platform's settings object: the names and meanings of its keys stay the same when fields are renamed in the code.

use std::time::Duration;

use cranehill_scheduler::api::{
    Class, Decay, DedupScope, DestinationKind, Effect, Rules, Settings, Tenant,
};
use cranehill_scheduler::profile::{Names, Profile};
use serde_json::{Value, json};

/// Every key that is read, each with a value that is not its default.
const SETTINGS: &str = include_str!("golden/settings.json");

/// Required keys. Any other key may be missing and then has its default; unknown keys are ignored.
const REQUIRED: [&str; 17] = [
    "/classes",
    "/classes/0/aim",
    "/classes/0/deadline",
    "/classes/0/effect",
    "/classes/0/worth",
    "/familyInfo",
    "/familyInfo/callsOut",
    "/membershipMode",
    "/nInstances",
    "/policyLimits",
    "/policyLimits/attemptsCap",
    "/policyLimits/connIdle",
    "/policyLimits/connectTimeout",
    "/policyLimits/maxRetryAfter",
    "/policyLimits/mostHeld",
    "/rules",
    "/tick",
];

fn golden() -> Value {
    serde_json::from_str(SETTINGS).expect("JSON")
}

fn read(object: Value) -> Result<(Names, Settings), String> {
    let profile: Profile = serde_json::from_value(object).map_err(|e| e.to_string())?;
    Ok((
        profile.names(),
        profile.into_settings().map_err(|e| e.to_string())?,
    ))
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn every_key_of_the_settings_is_read() {
    let (names, settings) = read(golden()).expect("settings");
    // Exhaustive patterns, so that a new field must be added here.
    let Names {
        classes,
        tenants,
        kinds,
        zones,
    } = names;
    assert_eq!(classes, ["storm-alert"]);
    assert_eq!(tenants, ["tal-land"]);
    assert_eq!(kinds, ["hut", "lift-control"]);
    assert_eq!(zones, ["valley", "ridge"]);
    let Settings {
        classes,
        kinds,
        tenants,
        over_quota_factor: over_share_worth,
        decay,
        slots,
        max_pending,
        max_attempts: attempts_cap,
        connect_timeout,
        idle_timeout: conn_idle,
        instances,
        zone,
        poll_endpoint_list: ask_for_list,
        rates_listed,
        health_checks: probes,
        retry_after,
        max_retry_after,
        tick,
        rules,
    } = settings;
    check_class(&classes);
    check_kinds(&kinds);
    let [Tenant { quota_rps }] = tenants.as_slice() else {
        panic!("one tenant")
    };
    assert_eq!(*quota_rps, 9.0);
    assert_eq!(over_share_worth, 0.125);
    assert_eq!(decay, Decay::Halving);
    assert_eq!(slots, 6);
    assert_eq!(max_pending, 24);
    assert_eq!(attempts_cap, 5);
    assert_eq!(connect_timeout, ms(1200));
    assert_eq!(conn_idle, ms(12_000));
    assert_eq!(instances, 3);
    assert_eq!(zone, 2);
    assert!(ask_for_list);
    assert!(rates_listed);
    assert!(probes);
    assert!(retry_after);
    assert_eq!(max_retry_after, ms(1700));
    assert_eq!(tick, ms(5));
    check_rules(&rules);
}

fn check_class(classes: &[Class]) {
    let [class] = classes else {
        panic!("one class")
    };
    let Class {
        latency_objective,
        deadline,
        effect,
        dedup,
        dedup_window: window,
        in_order,
        priority_weight,
        min_weight_share: late_share,
    } = class;
    assert_eq!(*latency_objective, ms(600));
    assert_eq!(*deadline, ms(1600));
    assert_eq!(*effect, Effect::Idempotent);
    assert_eq!(*dedup, DedupScope::Zone);
    assert_eq!(*window, ms(1500));
    assert!(*in_order);
    assert_eq!(*priority_weight, 4.0);
    assert_eq!(*late_share, 0.25);
}

fn check_kinds(kinds: &[DestinationKind]) {
    let kinds: Vec<(u32, bool)> = kinds
        .iter()
        .map(
            |DestinationKind {
                 max_messages_per_call: per_call,
                 separate_routes: apart,
             }| (*per_call, *apart),
        )
        .collect();
    assert_eq!(kinds, [(3, true), (2, false)]);
}

fn check_rules(rules: &Rules) {
    let Rules {
        initial_capacity: cold_from,
        warm_up: cold,
        overload_multiple: fall_multiple,
        overload_duration: fall,
        ordering_pause: key_quiet,
        max_poll_interval: must_ask_in,
        answer_grace: grace_to_answer,
    } = rules;
    assert_eq!(*cold_from, 0.2);
    assert_eq!(*cold, ms(8000));
    assert_eq!(*fall_multiple, 1.75);
    assert_eq!(*fall, ms(2200));
    assert_eq!(*key_quiet, ms(300));
    assert_eq!(*must_ask_in, ms(10_000));
    assert_eq!(*grace_to_answer, ms(20));
}

#[test]
fn every_enumerated_value_of_the_settings_is_read() {
    let with = |pointer: &str, value: Value| {
        let mut object = golden();
        *object.pointer_mut(pointer).expect("an existing key") = value;
        read(object).map(|(_, settings)| settings)
    };
    let effects = [
        ("safe", Effect::Safe),
        ("keyed", Effect::Idempotent),
        ("unsafe", Effect::Unsafe),
    ];
    for (word, effect) in effects {
        let settings = with("/classes/0/effect", json!(word)).expect("settings");
        assert_eq!(settings.classes[0].effect, effect, "{word}");
    }
    let error = with("/classes/0/effect", json!("odd")).expect_err("no effect");
    assert_eq!(
        error,
        "settings.classes[0].effect: 'odd' is not safe, keyed or unsafe"
    );
    let scopes = [
        ("all", DedupScope::All),
        ("", DedupScope::All),
        ("zone", DedupScope::Zone),
        ("endpoint", DedupScope::Endpoint),
        ("odd", DedupScope::Endpoint),
    ];
    for (word, scope) in scopes {
        let settings = with("/classes/0/dedupScope", json!(word)).expect("settings");
        assert_eq!(settings.classes[0].dedup, scope, "{word}");
    }
    for (word, decay) in [
        ("halving", Decay::Halving),
        ("linear", Decay::Linear),
        ("odd", Decay::Linear),
    ] {
        let settings = with("/familyInfo/losesWorth", json!(word)).expect("settings");
        assert_eq!(settings.decay, decay, "{word}");
    }
    for (word, polled) in [("ask", true), ("odd", false)] {
        let settings = with("/membershipMode", json!(word)).expect("settings");
        assert_eq!(settings.poll_endpoint_list, polled, "{word}");
    }
    for (word, listed) in [("nominal", true), ("rough", true), ("odd", false)] {
        let settings = with("/weightKind", json!(word)).expect("settings");
        assert_eq!(settings.rates_listed, listed, "{word}");
    }
}

/// Collects the JSON pointers of all keys.
fn keys(value: &Value, prefix: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let pointer = format!("{prefix}/{key}");
                keys(inner, &pointer, found);
                found.push(pointer);
            }
        }
        Value::Array(list) => {
            for (index, inner) in list.iter().enumerate() {
                keys(inner, &format!("{prefix}/{index}"), found);
            }
        }
        _ => {}
    }
}

/// The golden settings with the key at a pointer misspelt.
fn misspelt(pointer: &str) -> Value {
    let mut object = golden();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = object
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .expect("an object");
    let value = parent.remove(key).expect("an existing key");
    parent.insert(format!("{key}Misspelt"), value);
    object
}

#[test]
fn a_misspelt_key_is_an_error_if_required_and_otherwise_ignored() {
    let mut found = Vec::new();
    keys(&golden(), "", &mut found);
    let expected = format!("{:?}", read(golden()).expect("settings"));
    for pointer in &found {
        let result = read(misspelt(pointer));
        let required = REQUIRED.contains(&pointer.as_str());
        assert_eq!(result.is_err(), required, "{pointer}: {result:?}");
        // Debug output is compared within one build only. It must differ, since no golden value is the key's default.
        if let Ok(settings) = result {
            assert_ne!(format!("{settings:?}"), expected, "{pointer}");
        }
    }
}
