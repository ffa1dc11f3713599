//! Failures found on the bench, each cut down to what matters. The names are of the days that showed them.

mod common;
use common::*;
use cranehill_scheduler::api::*;
use cranehill_scheduler::{Scheduler, Time};

/// i4a8067: one lost answer froze an endpoint until a whole deadline had passed.
#[test]
fn an_overdue_endpoint_still_gets_a_repeatable_call() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..10u64 {
        let id = format!("w{i}");
        b.at(i * 100, vec![accept(&id, 2, None, 9000)]);
        b.at(i * 100 + 50, vec![outcome(&id, 0, Status::Served, 50)]);
    }
    assert_eq!(
        sends(&b.at(2000, vec![accept("lost", 2, None, 9000)])).len(),
        1
    );
    assert!(
        sends(&b.at(2300, vec![accept("m", 0, None, 9000)])).is_empty(),
        "overdue: nothing is added"
    );
    assert!(
        (2300..3200)
            .step_by(5)
            .any(|ms| !sends(&b.at(ms, vec![Event::Wake])).is_empty())
    );
}

/// i4a8067: an unsafe call whose answer is lost holds its slot for far less than its deadline.
#[test]
fn an_unsafe_call_times_out_far_beyond_usual_but_before_its_deadline() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..10u64 {
        let id = format!("w{i}");
        b.at(i * 100, vec![accept(&id, 2, None, 10000)]);
        b.at(i * 100 + 50, vec![outcome(&id, 0, Status::Served, 50)]);
    }
    let actions = b.at(2000, vec![accept("m", 2, None, 10000)]);
    let Some(Action::Send { timeout, .. }) =
        actions.iter().find(|a| matches!(a, Action::Send { .. }))
    else {
        panic!("not sent")
    };
    assert!((2.0..5.0).contains(&timeout.as_secs_f64()), "{timeout:?}");
}

/// i4a8067, id538af: connections died unseen while idle.
#[test]
fn idle_connections_are_closed_once_calls_after_idling_are_lost() {
    let mut b = Bench::new(
        settings(),
        (0..8)
            .map(|i| entry(&format!("e{i}"), 10 + i, Condition::Ready, 0))
            .collect(),
    );
    let to = |id: &str, destination| match accept(id, 0, None, 9000) {
        Event::Accept(t) => Event::Accept(AcceptedMessage {
            destination: DestinationId(destination),
            ..t
        }),
        other => other,
    };
    let mut closed = 0;
    for i in 0..8u64 {
        let (warm, idle) = (format!("w{i}"), format!("i{i}"));
        b.at(i * 6000, vec![to(&warm, 10 + i)]);
        b.at(i * 6000 + 50, vec![outcome(&warm, 0, Status::Served, 50)]);
        let actions = b.at(i * 6000 + 3000, vec![to(&idle, 10 + i)]);
        closed += actions
            .iter()
            .filter(|a| matches!(a, Action::CloseIdle(_)))
            .count();
        b.at(
            i * 6000 + 4500,
            vec![outcome(&idle, 0, Status::TimedOut, 1500)],
        );
        b.at(i * 6000 + 4600, vec![Event::Cancelled(MessageId(idle))]);
    }
    assert!(closed >= 2, "{closed}");
}

/// ib2709c: a destination that had grown slow held most slots.
#[test]
fn a_slow_destination_leaves_slots_to_the_others() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..20u64 {
        let (id, took) = (format!("w{i}"), if i < 5 { 50 } else { 400 });
        b.at(i * 500, vec![accept(&id, 0, None, 9000)]);
        b.at(i * 500 + took, vec![outcome(&id, 0, Status::Served, took)]);
    }
    let actions = b.at(
        11_000,
        (0..20)
            .map(|i| accept(&format!("m{i}"), 0, None, 9000))
            .collect(),
    );
    assert!(sends(&actions).len() < 6, "{}", sends(&actions).len());
    assert!(!sends(&actions).is_empty());
}

/// konya big-1, ib2709c: small calls piled up at a destination that takes many messages in one, while slots were short.
#[test]
fn small_calls_are_filled_instead_while_slots_are_short() {
    let entries = (1..6)
        .map(|i| entry(&format!("e{i}"), i, Condition::Ready, usize::from(i == 1)))
        .collect();
    let mut b = Bench::new(settings(), entries);
    let to = |destination| match accept(&format!("o{destination}"), 0, None, 9000) {
        Event::Accept(t) => Event::Accept(AcceptedMessage {
            destination: DestinationId(destination),
            ..t
        }),
        other => other,
    };
    assert_eq!(sends(&b.at(0, vec![accept("m0", 0, None, 9000)])).len(), 1);
    assert_eq!(
        sends(&b.at(10, vec![accept("m1", 0, None, 9000)])).len(),
        1,
        "slots are free"
    );
    assert_eq!(sends(&b.at(20, (2..5).map(to).collect())).len(), 3);
    for i in 2..6 {
        assert!(
            sends(&b.at(20 + i * 10, vec![accept(&format!("m{i}"), 0, None, 9000)])).is_empty()
        );
    }
    let actions = b.at(110, vec![accept("m6", 0, None, 9000)]);
    assert_eq!(
        sends(&actions).len(),
        5,
        "a full call goes beside the first"
    );
}

/// i603e33: clients gave up early, and healthy destinations were taken for out.
#[test]
fn a_time_out_cut_short_by_the_deadline_is_no_health_signal() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..6u64 {
        let id = format!("s{i}");
        assert_eq!(
            sends(&b.at(i * 100, vec![accept(&id, 0, None, 50)])).len(),
            1,
            "{id}"
        );
        b.at(i * 100 + 50, vec![outcome(&id, 0, Status::TimedOut, 50)]);
    }
}

/// The reload day of 1 December: of two endpoints the one that had failed was left out until the day's end.
#[test]
fn a_failed_endpoint_is_probed_beside_a_working_one() {
    let mut b = Bench::new(
        settings(),
        vec![
            entry("a", 1, Condition::Ready, 0),
            entry("b", 1, Condition::Ready, 0),
        ],
    );
    let mut at_b = Vec::new();
    for i in 0..40u64 {
        let pair = [format!("m{i}"), format!("n{i}")];
        let actions = b.at(
            i * 100,
            pair.iter().map(|id| accept(id, 0, None, 9000)).collect(),
        );
        for (id, endpoint) in sends(&actions) {
            let fails = endpoint == "b" && at_b.is_empty();
            if endpoint == "b" {
                at_b.push(i * 100);
            }
            let status = if fails { Status::Reset } else { Status::Served };
            b.at(i * 100 + 20, vec![outcome(&id, 0, status, 20)]);
        }
    }
    assert!(at_b.len() > 20, "b works and gets its part again: {at_b:?}");
    assert!(at_b[1] - at_b[0] >= 400, "but not at once: {at_b:?}");
}

/// Endpoints that are replaced all day leave no records behind.
#[test]
fn removed_endpoints_are_forgotten() {
    let mut b = Bench::new(settings(), vec![entry("e0", 1, Condition::Ready, 0)]);
    for i in 1..500u64 {
        let entries = vec![
            entry(&format!("e{}", i - 1), 1, Condition::Removed, 0),
            entry(&format!("e{i}"), 1, Condition::Ready, 0),
            entry(&format!("r{}", i - 1), 2, Condition::Removed, 2),
            entry(&format!("r{i}"), 2, Condition::Ready, 2),
        ];
        b.at(
            i * 100,
            vec![Event::List {
                whole: false,
                entries,
            }],
        );
        let actions = b.at(i * 100 + 5, vec![accept(&format!("m{i}"), 0, None, 9000)]);
        assert_eq!(sends(&actions), [(format!("m{i}"), format!("e{i}"))]);
        b.at(
            i * 100 + 20,
            vec![outcome(&format!("m{i}"), 0, Status::Served, 15)],
        );
    }
    assert!(
        b.sender.endpoint_count() < 10,
        "{}",
        b.sender.endpoint_count()
    );
}

/// A destination that is out does not keep a new endpoint waiting for its next trial.
#[test]
fn a_new_endpoint_of_a_failed_destination_is_probed_at_once() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..3u64 {
        b.at(i * 1000, vec![accept(&format!("m{i}"), 2, None, 9000)]);
        b.at(
            i * 1000 + 10,
            vec![outcome(&format!("m{i}"), 0, Status::Reset, 10)],
        );
    }
    assert!(
        sends(&b.at(2050, vec![accept("m", 0, None, 9000)])).is_empty(),
        "it is out"
    );
    let entries = vec![
        entry("a", 1, Condition::Removed, 0),
        entry("b", 1, Condition::Ready, 0),
    ];
    let actions = b.at(
        2100,
        vec![Event::List {
            whole: false,
            entries,
        }],
    );
    assert_eq!(sends(&actions), [("m".to_owned(), "b".to_owned())]);
}

/// What a restart finds again came over seconds, and is no burst of new demand.
#[test]
fn restored_messages_count_as_demand_since_they_were_accepted() {
    let paced = |restored: bool| {
        let start = Time(20_000_000_000);
        let mut sender = Scheduler::new(settings(), 1, start).expect("settings");
        sender.handle(
            start,
            vec![Event::List {
                whole: true,
                entries: vec![entry("a", 1, Condition::Ready, 0)],
            }],
        );
        let mut b = Bench { sender, ms: 20_000 };
        let old = (0..60).map(|i| match accept(&format!("m{i}"), 0, None, 4000) {
            Event::Accept(t) => Event::Accept(AcceptedMessage {
                prior: PriorAttempts {
                    restored,
                    ..PriorAttempts::default()
                },
                ..t
            }),
            other => other,
        });
        let mut out = sends(&b.at(20_010, old.collect()));
        let (mut attempts, mut sent) = (std::collections::BTreeMap::new(), 0);
        // An outage and its end: how fast calls go then is this sender's part of the traffic.
        for ms in (20_020..23_500u64).step_by(10) {
            let ends = std::mem::take(&mut out).into_iter().map(|(id, _)| {
                let attempt = attempts.entry(id.clone()).or_insert(0);
                *attempt += 1;
                let status = if ms < 20_400 {
                    Status::NoConnection
                } else {
                    Status::Served
                };
                outcome(&id, *attempt - 1, status, 10)
            });
            let ends: Vec<Event> = ends.chain([Event::Wake]).collect();
            out = sends(&b.at(ms, ends));
            sent += out.len();
        }
        sent
    };
    assert!(
        paced(true) < paced(false),
        "{} {}",
        paced(true),
        paced(false)
    );
}

/// The reload day of 1 December: trials of a destination that is out went to the endpoint that had failed most.
#[test]
fn a_probe_call_is_sent_to_the_endpoint_with_the_fewest_failures() {
    let entries = vec![
        entry("a", 1, Condition::Ready, 0),
        entry("b", 1, Condition::Ready, 0),
    ];
    let mut b = Bench::new(settings(), entries);
    let mut went = Vec::new();
    for i in 0..3u64 {
        let id = format!("m{i}");
        let actions = b.at(i * 100, vec![accept(&id, 2, None, 9000)]);
        went.extend(sends(&actions).into_iter().map(|s| s.1));
        b.at(i * 100 + 10, vec![outcome(&id, 0, Status::Reset, 10)]);
    }
    assert!(went[0] == went[2] && went[0] != went[1], "{went:?}");
    b.at(300, vec![accept("m", 0, None, 9000)]);
    let trial = (305..2000)
        .step_by(5)
        .find_map(|ms| sends(&b.at(ms, vec![Event::Wake])).pop());
    assert_eq!(trial, Some(("m".to_owned(), went[1].clone())));
}

/// wide+reset+stale, seed 125430522558: kept connections that died under their next call put healthy
/// destinations out, and then held them to a cold one's budget for nine seconds.
#[test]
fn connections_broken_while_idle_mean_no_outage() {
    for (status, stays) in [
        (Status::Dropped, true),
        (Status::Spoilt, true),
        (Status::Reset, false),
    ] {
        let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
        for i in 0..4u64 {
            let id = format!("m{i}");
            assert_eq!(
                sends(&b.at(i * 20, vec![accept(&id, 2, None, 9000)])).len(),
                usize::from(stays || i < 3)
            );
            b.at(i * 20 + 5, vec![outcome(&id, 0, status, 5)]);
        }
        let actions = b.at(100, vec![accept("m", 0, None, 9000)]);
        assert_eq!(sends(&actions).len(), usize::from(stays), "{status:?}");
    }
}
