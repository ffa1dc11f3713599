//! Endpoints that operators attach again, and zones that a fleet returns to: calls of all senders together.

mod common;

use common::*;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::*;

/// A sender of many whose only endpoint operators have detached and attach again.
fn sender_that_attaches_again(senders: u32, limit: f64, seed: u64) -> Bench {
    let set = Settings {
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
    let change = |entry: &Entry| Event::List {
        whole: false,
        entries: vec![entry.clone()],
    };
    let mut b = Bench::seeded(set, vec![ready.clone()], seed);
    b.at(10, vec![change(&draining)]);
    b.sender.bar_endpoint(&ready.endpoint);
    b.at(20, vec![change(&ready)]);
    b
}

/// The times of all calls: each sender asks for its part of the limit and half as much again, for as long as the endpoint is
/// cold.
fn calls_after_attaching(senders: u32, limit: f64) -> Vec<u64> {
    let mut all: Vec<Bench> = (0..senders)
        .map(|n| sender_that_attaches_again(senders, limit, n.into()))
        .collect();
    let mut sent: Vec<u64> = Vec::new();
    for ms in (25..settings().rules.cold.as_millis() as u64).step_by(25) {
        for (n, b) in all.iter_mut().enumerate() {
            b.sender.admit_endpoint(
                Time(ms * 1_000_000),
                &EndpointId("a".into()),
                Time(20_000_000),
            );
            let gap = (u64::from(senders) * 1000 * 2 / (limit as u64 * 3)).max(25) / 25;
            let mut events = vec![Event::Wake];
            if (ms / 25 + n as u64).is_multiple_of(gap) {
                events.push(accept(&format!("m{n}-{ms}"), 0, None, 9000));
            }
            let mut actions = b.at(ms, events);
            while let Some((id, _)) = sends(&actions).pop() {
                sent.push(ms);
                actions = b.at(ms, vec![outcome(&id, 0, Status::Served, 20)]);
            }
        }
    }
    sent
}

/// Guards a cold endpoint that operators attach again: what many senders send there together stays within the rule, two at
/// once or three hundred, and no sender waits for its first call where few share it.
#[test]
fn senders_together_do_not_overload_an_attached_endpoint() {
    let rules = settings().rules;
    let fall = rules.fall.as_millis() as u64;
    for (senders, limit) in [(2u32, 60.0), (300, 60.0)] {
        let sent = calls_after_attaching(senders, limit);
        for &from in &sent {
            let within = sent
                .iter()
                .filter(|&&s| s >= from && s < from + fall)
                .count() as f64;
            let warm = ((from + fall) as f64 / rules.cold.as_millis() as f64).min(1.0);
            let present = rules.cold_from + (1.0 - rules.cold_from) * warm;
            let most = rules.fall_multiple * present * limit * rules.fall.as_secs_f64();
            assert!(
                within <= most + 3.0 * most.sqrt() + 3.0,
                "{senders} senders: {within} of {most} from {from} ms on"
            );
        }
        assert!(
            sent.first().is_some_and(|&ms| ms < 1000),
            "{senders}: the first call at {:?}",
            sent.first()
        );
        assert!(
            sent.len() as f64 > 0.2 * limit * rules.cold.as_secs_f64(),
            "{senders}: only {}",
            sent.len()
        );
    }
}

/// Guards a zone's return by a large fleet with little traffic, in which most members never failed there themselves: in the rig 100
/// of them had their first call at one moment, five times what a destination takes.
#[test]
fn senders_that_return_to_a_zone_are_spread_over_time() {
    let (senders, limit) = (100u32, 20.0);
    let ready = Entry {
        rate: limit,
        ..entry("a", 1, Condition::Ready, 0)
    };
    let start = |n: u32| {
        let set = Settings {
            instances: senders,
            rates_listed: true,
            ..settings()
        };
        let mut b = Bench::seeded(set, vec![ready.clone()], n.into());
        b.sender.bar(0);
        b.at(10, vec![accept("held", 0, None, 9900)]);
        b.sender.return_to(0, false);
        b
    };
    let mut all: Vec<Bench> = (0..senders).map(start).collect();
    let mut a_second = [0u32; 9];
    for ms in (25..9000).step_by(25) {
        for b in &mut all {
            b.sender
                .admit_returning(Time(ms * 1_000_000), 0, Time(10_000_000));
            let actions = b.at(ms, vec![Event::Wake]);
            a_second[(ms / 1000) as usize] += sends(&actions).len() as u32;
        }
    }
    let most = a_second.iter().max().copied().unwrap_or_default();
    assert!(f64::from(most) < 1.5 * limit, "{a_second:?}");
    assert!(a_second.iter().sum::<u32>() > senders / 2, "{a_second:?}");
}

/// Guards a cold destination whose senders were told by a long wait that it is out: a call that was sent before and served all the
/// same was taken for the return, so that the slow start ran off during the wait and a sender came back with a whole window.
#[test]
fn late_successes_during_a_long_retry_after_end_no_outage() {
    let long = Class {
        deadline: std::time::Duration::from_secs(30),
        ..class(Effect::Safe)
    };
    let set = Settings {
        classes: vec![long],
        ..settings()
    };
    let mut b = Bench::new(set, vec![entry("a", 1, Condition::Ready, 0)]);
    let wait = settings().rules.cold.as_millis() as u64 + 2000;
    b.at(
        0,
        vec![
            accept("first", 0, None, 30_000),
            accept("second", 0, None, 30_000),
        ],
    );
    b.at(10, vec![refused("first", 0, wait)]);
    b.at(20, vec![outcome("second", 0, Status::Served, 20)]);
    let held = (0..4)
        .map(|n| accept(&format!("held{n}"), 0, None, 29_000))
        .collect();
    assert!(sends(&b.at(30, held)).is_empty());
    let back = (wait..wait + 10_000).step_by(20).find_map(|ms| {
        let sent = sends(&b.at(ms, vec![Event::Wake]));
        (!sent.is_empty()).then_some((ms, sent.len()))
    });
    let (ms, sent) = back.expect("a trial");
    assert_eq!(sent, 1, "one trial at {ms} ms");
    assert!(
        sends(&b.at(ms + 20, vec![Event::Wake])).is_empty(),
        "nothing beside the trial"
    );
}
