//! Regression tests for failures found in scenarios. Names and numbers after "day" or "days" in the comments identify simulated
//! days.

mod common;
use common::*;
use cranehill_scheduler::api::*;
use cranehill_scheduler::{Scheduler, Time};

/// Guards against one lost answer that blocks an endpoint until the deadline of its call has passed (day i4a8067).
#[test]
fn an_overdue_endpoint_still_gets_a_repeatable_call() {
    let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..10u64 {
        let id = format!("w{i}");
        sender.handle_at(i * 100, vec![accept(&id, 2, None, 9000)]);
        sender.handle_at(i * 100 + 50, vec![outcome(&id, 0, Status::Served, 50)]);
    }
    assert_eq!(
        sent_messages(&sender.handle_at(2000, vec![accept("lost", 2, None, 9000)])).len(),
        1
    );
    assert!(
        sent_messages(&sender.handle_at(2300, vec![accept("m", 0, None, 9000)])).is_empty(),
        "overdue: nothing is added"
    );
    assert!(
        (2300..3200)
            .step_by(5)
            .any(|ms| !sent_messages(&sender.handle_at(ms, vec![Event::TimerFired])).is_empty())
    );
}

/// Guards against an unsafe call with a lost answer that occupies its slot until its deadline (day i4a8067).
#[test]
fn an_unsafe_call_times_out_after_the_latency_objective_but_before_its_deadline() {
    let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..10u64 {
        let id = format!("w{i}");
        sender.handle_at(i * 100, vec![accept(&id, 2, None, 10000)]);
        sender.handle_at(i * 100 + 50, vec![outcome(&id, 0, Status::Served, 50)]);
    }
    let actions = sender.handle_at(2000, vec![accept("m", 2, None, 10000)]);
    let Some(Action::Send { timeout, .. }) = actions
        .iter()
        .find(|action| matches!(action, Action::Send { .. }))
    else {
        panic!("not sent")
    };
    assert!((2.0..5.0).contains(&timeout.as_secs_f64()), "{timeout:?}");
}

/// Guards against calls lost on connections that broke unnoticed while idle (days i4a8067, id538af).
#[test]
fn idle_connections_are_closed_after_calls_on_idle_connections_are_lost() {
    let mut sender = TestSender::new(
        settings(),
        (0..8)
            .map(|i| entry(&format!("e{i}"), 10 + i, Condition::Ready, 0))
            .collect(),
    );
    let accept_for = |id: &str, destination| match accept(id, 0, None, 9000) {
        Event::Accept(accepted) => Event::Accept(AcceptedMessage {
            destination: DestinationId(destination),
            ..accepted
        }),
        other => other,
    };
    let mut closed = 0;
    for i in 0..8u64 {
        let (warm, idle) = (format!("w{i}"), format!("i{i}"));
        sender.handle_at(i * 6000, vec![accept_for(&warm, 10 + i)]);
        sender.handle_at(i * 6000 + 50, vec![outcome(&warm, 0, Status::Served, 50)]);
        let actions = sender.handle_at(i * 6000 + 3000, vec![accept_for(&idle, 10 + i)]);
        closed += actions
            .iter()
            .filter(|action| matches!(action, Action::CloseIdle(_)))
            .count();
        sender.handle_at(
            i * 6000 + 4500,
            vec![outcome(&idle, 0, Status::TimedOut, 1500)],
        );
        sender.handle_at(i * 6000 + 4600, vec![Event::Cancelled(MessageId(idle))]);
    }
    assert!(closed >= 2, "{closed}");
}

/// Guards against a destination that becomes slow and occupies most slots (day ib2709c).
#[test]
fn a_slow_destination_leaves_slots_to_the_others() {
    let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..20u64 {
        let (id, took) = (format!("w{i}"), if i < 5 { 50 } else { 400 });
        sender.handle_at(i * 500, vec![accept(&id, 0, None, 9000)]);
        sender.handle_at(i * 500 + took, vec![outcome(&id, 0, Status::Served, took)]);
    }
    let actions = sender.handle_at(
        11_000,
        (0..20)
            .map(|i| accept(&format!("m{i}"), 0, None, 9000))
            .collect(),
    );
    assert!(
        sent_messages(&actions).len() < 6,
        "{}",
        sent_messages(&actions).len()
    );
    assert!(!sent_messages(&actions).is_empty());
}

/// Guards against many partly filled calls to a destination that takes several messages in one call, while free slots are
/// scarce (days konya big-1, ib2709c).
#[test]
fn a_partly_filled_call_waits_for_more_messages_while_slots_are_scarce() {
    let entries = (1..6)
        .map(|i| entry(&format!("e{i}"), i, Condition::Ready, usize::from(i == 1)))
        .collect();
    let mut sender = TestSender::new(settings(), entries);
    let accept_for = |destination| match accept(&format!("o{destination}"), 0, None, 9000) {
        Event::Accept(accepted) => Event::Accept(AcceptedMessage {
            destination: DestinationId(destination),
            ..accepted
        }),
        other => other,
    };
    assert_eq!(
        sent_messages(&sender.handle_at(0, vec![accept("m0", 0, None, 9000)])).len(),
        1
    );
    assert_eq!(
        sent_messages(&sender.handle_at(10, vec![accept("m1", 0, None, 9000)])).len(),
        1,
        "slots are free"
    );
    assert_eq!(
        sent_messages(&sender.handle_at(20, (2..5).map(accept_for).collect())).len(),
        3
    );
    for i in 2..6 {
        assert!(
            sent_messages(
                &sender.handle_at(20 + i * 10, vec![accept(&format!("m{i}"), 0, None, 9000)])
            )
            .is_empty()
        );
    }
    let actions = sender.handle_at(110, vec![accept("m6", 0, None, 9000)]);
    assert_eq!(
        sent_messages(&actions).len(),
        5,
        "a full call is sent beside the first"
    );
}

/// Guards against outages detected at healthy destinations because the clients' deadlines were short (day i603e33).
#[test]
fn a_time_out_at_a_short_deadline_is_no_health_signal() {
    let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..6u64 {
        let id = format!("s{i}");
        assert_eq!(
            sent_messages(&sender.handle_at(i * 100, vec![accept(&id, 0, None, 50)])).len(),
            1,
            "{id}"
        );
        sender.handle_at(i * 100 + 50, vec![outcome(&id, 0, Status::TimedOut, 50)]);
    }
}

/// Guards against an endpoint that stays ejected permanently after a failure because another one works (reload day of
/// 1 December).
#[test]
fn a_failed_endpoint_is_tried_again_although_another_one_works() {
    let mut sender = TestSender::new(
        settings(),
        vec![
            entry("a", 1, Condition::Ready, 0),
            entry("b", 1, Condition::Ready, 0),
        ],
    );
    let mut calls_to_b = Vec::new();
    for i in 0..40u64 {
        let pair = [format!("m{i}"), format!("n{i}")];
        let actions = sender.handle_at(
            i * 100,
            pair.iter().map(|id| accept(id, 0, None, 9000)).collect(),
        );
        for (id, endpoint) in sent_messages(&actions) {
            let fails = endpoint == "b" && calls_to_b.is_empty();
            if endpoint == "b" {
                calls_to_b.push(i * 100);
            }
            let status = if fails { Status::Reset } else { Status::Served };
            sender.handle_at(i * 100 + 20, vec![outcome(&id, 0, status, 20)]);
        }
    }
    assert!(
        calls_to_b.len() > 20,
        "b works and gets its share of calls again: {calls_to_b:?}"
    );
    assert!(
        calls_to_b[1] - calls_to_b[0] >= 400,
        "b is called again too early: {calls_to_b:?}"
    );
}

/// Guards against memory that grows with each endpoint that is replaced by one with a new id.
#[test]
fn removed_endpoints_are_deleted() {
    let mut sender = TestSender::new(settings(), vec![entry("e0", 1, Condition::Ready, 0)]);
    for i in 1..500u64 {
        let entries = vec![
            entry(&format!("e{}", i - 1), 1, Condition::Removed, 0),
            entry(&format!("e{i}"), 1, Condition::Ready, 0),
            entry(&format!("r{}", i - 1), 2, Condition::Removed, 2),
            entry(&format!("r{i}"), 2, Condition::Ready, 2),
        ];
        sender.handle_at(
            i * 100,
            vec![Event::EndpointList {
                replaces_all: false,
                entries,
            }],
        );
        let actions = sender.handle_at(i * 100 + 5, vec![accept(&format!("m{i}"), 0, None, 9000)]);
        assert_eq!(
            sent_messages(&actions),
            [(format!("m{i}"), format!("e{i}"))]
        );
        sender.handle_at(
            i * 100 + 20,
            vec![outcome(&format!("m{i}"), 0, Status::Served, 15)],
        );
    }
    assert!(
        sender.scheduler.endpoint_table_len() < 10,
        "{}",
        sender.scheduler.endpoint_table_len()
    );
}

/// Guards against a new endpoint that waits for the next scheduled probe call because the destination's other endpoint failed.
#[test]
fn a_new_endpoint_of_a_failed_destination_is_probed_at_once() {
    let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..3u64 {
        sender.handle_at(i * 1000, vec![accept(&format!("m{i}"), 2, None, 9000)]);
        sender.handle_at(
            i * 1000 + 10,
            vec![outcome(&format!("m{i}"), 0, Status::Reset, 10)],
        );
    }
    assert!(
        sent_messages(&sender.handle_at(2050, vec![accept("m", 0, None, 9000)])).is_empty(),
        "an outage"
    );
    let entries = vec![
        entry("a", 1, Condition::Removed, 0),
        entry("b", 1, Condition::Ready, 0),
    ];
    let actions = sender.handle_at(
        2100,
        vec![Event::EndpointList {
            replaces_all: false,
            entries,
        }],
    );
    assert_eq!(sent_messages(&actions), [("m".to_owned(), "b".to_owned())]);
}

/// Guards against restored messages that count as a burst of new demand, although they were accepted over seconds. A restart
/// restores them all at once, and the calls after an outage follow the demand estimate.
#[test]
fn restored_messages_count_as_demand_since_they_were_accepted() {
    let calls_after_outage = |restored: bool| {
        let start = Time(20_000_000_000);
        let mut scheduler = Scheduler::new(settings(), 1, start).expect("settings");
        scheduler.handle(
            start,
            vec![Event::EndpointList {
                replaces_all: true,
                entries: vec![entry("a", 1, Condition::Ready, 0)],
            }],
        );
        let mut sender = TestSender {
            scheduler,
            now_ms: 20_000,
        };
        let restored_messages = (0..60).map(|i| match accept(&format!("m{i}"), 0, None, 4000) {
            Event::Accept(accepted) => Event::Accept(AcceptedMessage {
                prior: PriorAttempts {
                    restored,
                    ..PriorAttempts::default()
                },
                ..accepted
            }),
            other => other,
        });
        let mut in_flight = sent_messages(&sender.handle_at(20_010, restored_messages.collect()));
        let (mut attempts, mut sent) = (std::collections::BTreeMap::new(), 0);
        // After an outage, the rate of calls follows this sender's estimated share of the traffic.
        for ms in (20_020..23_500u64).step_by(10) {
            let outcomes = std::mem::take(&mut in_flight).into_iter().map(|(id, _)| {
                let attempt = attempts.entry(id.clone()).or_insert(0);
                *attempt += 1;
                let status = if ms < 20_400 {
                    Status::NoConnection
                } else {
                    Status::Served
                };
                outcome(&id, *attempt - 1, status, 10)
            });
            let outcomes: Vec<Event> = outcomes.chain([Event::TimerFired]).collect();
            in_flight = sent_messages(&sender.handle_at(ms, outcomes));
            sent += in_flight.len();
        }
        sent
    };
    assert!(
        calls_after_outage(true) < calls_after_outage(false),
        "{} {}",
        calls_after_outage(true),
        calls_after_outage(false)
    );
}

/// Guards against probe calls during an outage that go to the endpoint with the most failures (reload day of 1 December).
#[test]
fn a_probe_call_is_sent_to_the_endpoint_with_the_fewest_failures() {
    let entries = vec![
        entry("a", 1, Condition::Ready, 0),
        entry("b", 1, Condition::Ready, 0),
    ];
    let mut sender = TestSender::new(settings(), entries);
    let mut endpoints = Vec::new();
    for i in 0..3u64 {
        let id = format!("m{i}");
        let actions = sender.handle_at(i * 100, vec![accept(&id, 2, None, 9000)]);
        endpoints.extend(sent_messages(&actions).into_iter().map(|s| s.1));
        sender.handle_at(i * 100 + 10, vec![outcome(&id, 0, Status::Reset, 10)]);
    }
    assert!(
        endpoints[0] == endpoints[2] && endpoints[0] != endpoints[1],
        "{endpoints:?}"
    );
    sender.handle_at(300, vec![accept("m", 0, None, 9000)]);
    let probe = (305..2000)
        .step_by(5)
        .find_map(|ms| sent_messages(&sender.handle_at(ms, vec![Event::TimerFired])).pop());
    assert_eq!(probe, Some(("m".to_owned(), endpoints[1].clone())));
}

/// Guards against outages detected because idle connections broke during their next call: healthy destinations were then
/// limited to a slow start for nine seconds (day wide+reset+stale, seed 125430522558).
#[test]
fn connections_broken_while_idle_mean_no_outage() {
    for (status, stays_up) in [
        (Status::IdleConnectionBroken, true),
        (Status::Malformed, true),
        (Status::Reset, false),
    ] {
        let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
        for i in 0..4u64 {
            let id = format!("m{i}");
            assert_eq!(
                sent_messages(&sender.handle_at(i * 20, vec![accept(&id, 2, None, 9000)])).len(),
                usize::from(stays_up || i < 3)
            );
            sender.handle_at(i * 20 + 5, vec![outcome(&id, 0, status, 5)]);
        }
        let actions = sender.handle_at(100, vec![accept("m", 0, None, 9000)]);
        assert_eq!(
            sent_messages(&actions).len(),
            usize::from(stays_up),
            "{status:?}"
        );
    }
}
