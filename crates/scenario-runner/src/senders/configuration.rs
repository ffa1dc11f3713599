//! The JSON configuration of a sender (`config.json`), which in production comes from the platform.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_simulation::limit::Limit;
use cranehill_simulation::scenario::{Effect, Member, MessageClass, Scenario};
use serde_json::{Value, json};

use crate::plan::Limits;

/// Setting `keyQuiet`: how long a sender does not repeat an idempotency key after an attempt that may still be executed.
const KEY_QUIET_TIME: Duration = Duration::from_millis(100);
/// Allowed calls in flight, in multiples of the average number that the load keeps in flight.
const IN_FLIGHT_HEADROOM: f64 = 2.2;
const MIN_CALLS_IN_FLIGHT: f64 = 6.0;
const MAX_CALLS_IN_FLIGHT: usize = 400;
/// Allowed pending messages, in seconds of a sender's share of the load.
const PENDING_LOAD_SECONDS: f64 = 10.0;
const MIN_PENDING_MESSAGES: f64 = 12.0;
const MAX_PENDING_MESSAGES: usize = 20_000;

/// The configuration of the sender number `index`. `list` is the directory's endpoint list with the addresses at which this sender
/// reaches the endpoints; `Value::Null` makes the sender request it from `discovery` first.
pub(crate) fn configuration(
    scenario: &Scenario,
    index: usize,
    discovery: SocketAddr,
    list: &Value,
    limits: Limits,
) -> Value {
    json!({
        "name": format!("n{index}"),
        "seed": format!("{index:x}f"),
        "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets, "disk_mb": limits.disk_mb},
        "known": list,
        "settings": settings(scenario, index, limits),
    })
}

fn settings(scenario: &Scenario, index: usize, limits: Limits) -> Value {
    let size = SenderSize::of(scenario);
    let calls_in_flight = limits.calls_out.unwrap_or(size.calls_in_flight);
    let recovery = scenario
        .destinations
        .first()
        .map(|member| member.spec.back)
        .unwrap_or_default();
    json!({
        "classes": classes(scenario),
        "familyInfo": {"callsOut": calls_in_flight, "kindApart": unshared_kinds(scenario), "losesWorth": "halving",
            "perCall": batch_sizes(scenario)},
        "membershipMode": "push",
        "models": scenario.kinds,
        "nInstances": scenario.members(),
        "policyLimits": {"attemptsCap": 6, "connIdle": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64,
            "maxRetryAfter": 2_000_000_000u64, "mostHeld": size.pending_messages, "probes": false, "retryAfter": true},
        "rules": {"cold": nanoseconds(recovery.warm), "coldFrom": recovery.cold, "fall": nanoseconds(recovery.fall),
            "fallMultiple": recovery.multiple, "graceToAnswer": 20_000_000, "keyQuiet": nanoseconds(KEY_QUIET_TIME)},
        "tenants": tenants(scenario),
        "tick": 5_000_000,
        "weightKind": "rough",
        "zone": index % scenario.zones.len().max(1),
        "zones": scenario.zones,
    })
}

fn nanoseconds(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}

/// The classes of the messages that are submitted over RESP2. Those for Web Push are defined by the sender, not by its configuration.
fn classes(scenario: &Scenario) -> Vec<Value> {
    let count = scenario.load.push.unwrap_or(scenario.classes.len());
    scenario
        .classes
        .iter()
        .zip(&scenario.load.classes)
        .take(count)
        .map(|(MessageClass { name, effect }, class)| {
            let (effect, window) = match effect {
                Effect::Safe => ("safe", class.time_to_live),
                Effect::Keyed { window } => ("keyed", *window),
                Effect::Unsafe => ("unsafe", class.time_to_live),
            };
            json!({"name": name, "effect": effect, "window": nanoseconds(window), "aim": nanoseconds(class.latency_objective),
                "byArrival": class.order_keys > 0, "deadline": nanoseconds(class.time_to_live), "dedupScope": "all",
                "lateShare": class.late_share, "worth": 1.0})
        })
        .collect()
}

/// By kind of destination: the largest number of messages in one call.
fn batch_sizes(scenario: &Scenario) -> Vec<usize> {
    let batch_size = |kind: &String| {
        members_of_kind(scenario, kind)
            .map(|member| member.spec.batch)
            .max()
            .unwrap_or(1)
    };
    scenario.kinds.iter().map(batch_size).collect()
}

/// By kind of destination: whether each endpoint has its own limit at every destination of the kind.
fn unshared_kinds(scenario: &Scenario) -> Vec<bool> {
    let is_unshared =
        |kind: &String| members_of_kind(scenario, kind).all(|member| !member.spec.shared);
    scenario.kinds.iter().map(is_unshared).collect()
}

fn members_of_kind<'a>(scenario: &'a Scenario, kind: &'a str) -> impl Iterator<Item = &'a Member> {
    scenario
        .destinations
        .iter()
        .filter(move |member| member.kind == kind)
}

fn tenants(scenario: &Scenario) -> Vec<Value> {
    scenario
        .tenants
        .iter()
        .zip(&scenario.load.tenants)
        .map(|(name, share)| json!({"name": name, "quotaRps": scenario.load.rate * share}))
        .collect()
}

/// Limits on the calls in flight and the pending messages of one sender.
struct SenderSize {
    calls_in_flight: usize,
    pending_messages: usize,
}

impl SenderSize {
    /// Limits for one sender's share of the scenario's load: somewhat more than twice the calls that it keeps in flight on average, and
    /// ten seconds of messages.
    fn of(scenario: &Scenario) -> SenderSize {
        let targets = &scenario.load.targets;
        let weight: f64 = targets.iter().map(|target| target.weight).sum();
        let service_time = |n: usize| scenario.destinations[n].spec.pace.as_secs_f64();
        let mean_service_time: f64 = targets
            .iter()
            .enumerate()
            .map(|(n, target)| target.weight * service_time(n))
            .sum::<f64>()
            / weight.max(1e-9);
        let rate = scenario.load.rate / scenario.senders as f64;
        let calls = (rate * mean_service_time * IN_FLIGHT_HEADROOM).ceil();
        let pending = (rate * PENDING_LOAD_SECONDS).ceil();
        SenderSize {
            calls_in_flight: (calls.max(MIN_CALLS_IN_FLIGHT) as usize).min(MAX_CALLS_IN_FLIGHT),
            pending_messages: (pending.max(MIN_PENDING_MESSAGES) as usize)
                .min(MAX_PENDING_MESSAGES),
        }
    }
}

/// The rate that the directory lists as a destination's weight, in messages a second: the lower of its capacity and its limit, in
/// full batches.
pub(crate) fn listed_rate(member: &Member) -> f64 {
    let batch = member.spec.batch as f64;
    match member.spec.limit {
        Limit::None => member.spec.capacity,
        Limit::Rate { per_second, .. } => (per_second * batch).min(member.spec.capacity),
        Limit::Count { calls, span } => {
            (f64::from(calls) * batch / span.as_secs_f64()).min(member.spec.capacity)
        }
    }
}
