//! Endpoints that operators reattach, and recovery ramps of zones. Calls are counted over all senders.

mod common;

use common::*;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::*;

/// One of `senders` senders, whose only endpoint operators have detached and reattach at 20 ms.
fn sender_with_reattached_endpoint(senders: u32, limit: f64, seed: u64) -> TestSender {
    let custom_settings = Settings {
        instances: senders,
        rates_listed: true,
        ..settings()
    };
    let ready = Entry {
        rate: limit,
        ..entry("a", 1, Condition::Ready, 0)
    };
    let draining = Entry {
        condition: Condition::Draining,
        ..ready.clone()
    };
    let change = |entry: &Entry| Event::EndpointList {
        replaces_all: false,
        entries: vec![entry.clone()],
    };
    let mut sender = TestSender::with_seed(custom_settings, vec![ready.clone()], seed);
    sender.handle_at(10, vec![change(&draining)]);
    sender.scheduler.close_endpoint_gate(&ready.endpoint);
    sender.handle_at(20, vec![change(&ready)]);
    sender
}

/// The times of all calls in ms during the slow start of the endpoint. The demand of each sender is one and a half times its
/// quota of the limit.
fn calls_after_reattaching(senders: u32, limit: f64) -> Vec<u64> {
    let mut senders_by_index: Vec<TestSender> = (0..senders)
        .map(|seed| sender_with_reattached_endpoint(senders, limit, seed.into()))
        .collect();
    let mut sent: Vec<u64> = Vec::new();
    for ms in (25..settings().rules.warm_up.as_millis() as u64).step_by(25) {
        for (index, sender) in senders_by_index.iter_mut().enumerate() {
            sender.scheduler.refill_endpoint_gate(
                Time(ms * 1_000_000),
                &EndpointId("a".into()),
                Time(20_000_000),
            );
            let gap = (u64::from(senders) * 1000 * 2 / (limit as u64 * 3)).max(25) / 25;
            let mut events = vec![Event::TimerFired];
            if (ms / 25 + index as u64).is_multiple_of(gap) {
                events.push(accept(&format!("m{index}-{ms}"), 0, None, 9000));
            }
            let mut actions = sender.handle_at(ms, events);
            while let Some((id, _)) = sent_messages(&actions).pop() {
                sent.push(ms);
                actions = sender.handle_at(ms, vec![outcome(&id, 0, Status::Served, 20)]);
            }
        }
    }
    sent
}

/// Guards against an overloaded endpoint after operators reattach it: calls of all senders together stay within its reduced
/// capacity, with 2 senders and with 300, and the first call is sent early.
#[test]
fn senders_together_do_not_overload_a_reattached_endpoint() {
    let rules = settings().rules;
    let fall = rules.overload_duration.as_millis() as u64;
    for (senders, limit) in [(2u32, 60.0), (300, 60.0)] {
        let sent = calls_after_reattaching(senders, limit);
        for &from in &sent {
            let calls = sent
                .iter()
                .filter(|&&ms| ms >= from && ms < from + fall)
                .count() as f64;
            let warm = ((from + fall) as f64 / rules.warm_up.as_millis() as f64).min(1.0);
            let present_capacity = rules.initial_capacity + (1.0 - rules.initial_capacity) * warm;
            let max_calls = rules.overload_multiple
                * present_capacity
                * limit
                * rules.overload_duration.as_secs_f64();
            assert!(
                calls <= max_calls + 3.0 * max_calls.sqrt() + 3.0,
                "{senders} senders: {calls} calls from {from} ms on, expected at most {max_calls}"
            );
        }
        assert!(
            sent.first().is_some_and(|&ms| ms < 1000),
            "{senders} senders: first call at {:?} ms",
            sent.first()
        );
        assert!(
            sent.len() as f64 > 0.2 * limit * rules.warm_up.as_secs_f64(),
            "{senders} senders: only {} calls",
            sent.len()
        );
    }
}

/// Guards against the first calls of all senders at one moment in a zone's recovery ramp, as in a fleet with little traffic,
/// where most members had no failure in the zone: 100 members sent five times what a destination accepts.
#[test]
fn first_calls_in_a_recovery_ramp_are_spread_over_time() {
    let (senders, limit) = (100u32, 20.0);
    let ready = Entry {
        rate: limit,
        ..entry("a", 1, Condition::Ready, 0)
    };
    let start = |seed: u32| {
        let custom_settings = Settings {
            instances: senders,
            rates_listed: true,
            ..settings()
        };
        let mut sender = TestSender::with_seed(custom_settings, vec![ready.clone()], seed.into());
        sender.scheduler.evacuate_zone(0);
        sender.handle_at(10, vec![accept("pending", 0, None, 9900)]);
        sender.scheduler.start_recovery_ramp(0, false);
        sender
    };
    let mut senders_by_index: Vec<TestSender> = (0..senders).map(start).collect();
    let mut calls_per_second = [0u32; 9];
    for ms in (25..9000).step_by(25) {
        for sender in &mut senders_by_index {
            sender
                .scheduler
                .refill_zone_gates(Time(ms * 1_000_000), 0, Time(10_000_000));
            let actions = sender.handle_at(ms, vec![Event::TimerFired]);
            calls_per_second[(ms / 1000) as usize] += sent_messages(&actions).len() as u32;
        }
    }
    let max_calls = calls_per_second.iter().max().copied().unwrap_or_default();
    assert!(f64::from(max_calls) < 1.5 * limit, "{calls_per_second:?}");
    assert!(
        calls_per_second.iter().sum::<u32>() > senders / 2,
        "{calls_per_second:?}"
    );
}

/// Guards against an outage, detected by a long Retry-After wait, that a call sent before the wait and served during it ends.
/// The slow start then passed during the wait, and the sender resumed with its whole window.
#[test]
fn a_call_served_during_a_long_retry_after_does_not_end_the_outage() {
    let long_deadline = Class {
        deadline: std::time::Duration::from_secs(30),
        ..class(Effect::Safe)
    };
    let custom_settings = Settings {
        classes: vec![long_deadline],
        ..settings()
    };
    let mut sender = TestSender::new(custom_settings, vec![entry("a", 1, Condition::Ready, 0)]);
    let wait = settings().rules.warm_up.as_millis() as u64 + 2000;
    sender.handle_at(
        0,
        vec![
            accept("first", 0, None, 30_000),
            accept("second", 0, None, 30_000),
        ],
    );
    sender.handle_at(10, vec![rejected_with_retry_after("first", 0, wait)]);
    sender.handle_at(20, vec![outcome("second", 0, Status::Served, 20)]);
    let pending = (0..4)
        .map(|i| accept(&format!("pending{i}"), 0, None, 29_000))
        .collect();
    assert!(sent_messages(&sender.handle_at(30, pending)).is_empty());
    let first_calls = (wait..wait + 10_000).step_by(20).find_map(|ms| {
        let sent = sent_messages(&sender.handle_at(ms, vec![Event::TimerFired]));
        (!sent.is_empty()).then_some((ms, sent.len()))
    });
    let (ms, sent) = first_calls.expect("a probe call");
    assert_eq!(sent, 1, "one probe call at {ms} ms");
    assert!(
        sent_messages(&sender.handle_at(ms + 20, vec![Event::TimerFired])).is_empty(),
        "no call beside the probe call"
    );
}
