//! The delivery rules and their edge cases: deadlines, endpoint conditions, Retry-After, ordering keys, outages, capacity and
//! final answers.

mod common;
use common::*;
use cranehill_scheduler::api::*;
use cranehill_scheduler::{Scheduler, Time};

fn sender_with_one_endpoint() -> TestSender {
    TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)])
}

#[test]
fn a_pending_message_is_answered_before_its_deadline() {
    let mut sender = TestSender::new(settings(), vec![]);
    let actions = sender.handle_at(0, vec![accept("m", 0, None, 1000)]);
    assert!(final_answers(&actions).is_empty());
    let mut answered_at = None;
    for ms in (5..1100).step_by(5) {
        if !final_answers(&sender.handle_at(ms, vec![Event::TimerFired])).is_empty() {
            answered_at = Some(ms);
            break;
        }
    }
    assert_eq!(answered_at, Some(990));
}

#[test]
fn the_timer_comes_before_the_deadline_even_if_rounded_down() {
    let mut sender = TestSender::new(settings(), vec![]);
    let mut actions = sender.handle_at(0, vec![accept("m", 0, None, 777)]);
    let mut now = 0u64;
    for _ in 0..10 {
        let Some(Action::Timer(after)) = actions
            .iter()
            .find(|action| matches!(action, Action::Timer(_)))
        else {
            break;
        };
        now += after.as_nanos() as u64 - 999;
        actions = sender.scheduler.handle(Time(now), vec![Event::TimerFired]);
        if !final_answers(&actions).is_empty() {
            assert!(now < 777_000_000);
            return;
        }
    }
    panic!("no final answer");
}

#[test]
fn a_time_out_at_the_deadline_is_rejected_or_failed_by_class_in_the_same_batch() {
    for (class, expected) in [(0, "reject m"), (1, "reject m"), (2, "fail m")] {
        let mut sender = sender_with_one_endpoint();
        assert_eq!(
            sent_messages(&sender.handle_at(0, vec![accept("m", class, None, 1000)])).len(),
            1
        );
        assert_eq!(
            final_answers(&sender.handle_at(1000, vec![outcome("m", 0, Status::TimedOut, 1000)])),
            [expected]
        );
    }
}

#[test]
fn no_new_call_is_sent_to_a_draining_or_removed_endpoint() {
    for condition in [Condition::Draining, Condition::Removed] {
        let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
        let change = Event::EndpointList {
            replaces_all: false,
            entries: vec![entry("a", 1, condition, 0)],
        };
        assert_eq!(
            sent_messages(&sender.handle_at(10, vec![change, accept("m", 0, None, 9000)])),
            []
        );
        let change = Event::EndpointList {
            replaces_all: false,
            entries: vec![entry("b", 1, Condition::Ready, 0)],
        };
        assert_eq!(
            sent_messages(&sender.handle_at(20, vec![change])),
            [("m".to_owned(), "b".to_owned())]
        );
    }
}

#[test]
fn a_whole_list_removes_endpoints_that_it_does_not_contain() {
    let mut sender = sender_with_one_endpoint();
    let change = Event::EndpointList {
        replaces_all: true,
        entries: vec![entry("b", 1, Condition::Ready, 0)],
    };
    assert_eq!(
        sent_messages(&sender.handle_at(10, vec![change, accept("m", 0, None, 9000)])),
        [("m".to_owned(), "b".to_owned())]
    );
}

#[test]
fn retry_after_blocks_every_message_and_endpoint() {
    let mut sender = TestSender::new(
        settings(),
        vec![
            entry("a", 1, Condition::Ready, 0),
            entry("b", 1, Condition::Ready, 0),
        ],
    );
    sender.handle_at(0, vec![accept("m", 0, None, 9000)]);
    assert_eq!(
        sent_messages(&sender.handle_at(
            10,
            vec![
                rejected_with_retry_after("m", 0, 500),
                accept("n", 0, None, 9000)
            ]
        )),
        []
    );
    for ms in (15..510).step_by(5) {
        assert_eq!(
            sent_messages(&sender.handle_at(ms, vec![Event::TimerFired])),
            [],
            "at {ms}"
        );
    }
    assert!(
        (510..3000)
            .step_by(5)
            .any(|ms| !sent_messages(&sender.handle_at(ms, vec![Event::TimerFired])).is_empty())
    );
}

#[test]
fn retry_after_blocks_one_route_where_routes_are_apart() {
    let mut sender = TestSender::new(
        settings(),
        vec![
            entry("a", 1, Condition::Ready, 2),
            entry("b", 1, Condition::Ready, 2),
        ],
    );
    let first = sent_messages(&sender.handle_at(0, vec![accept("m", 0, None, 9000)]));
    let second =
        sent_messages(&sender.handle_at(10, vec![rejected_with_retry_after("m", 0, 5000)]));
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].1, second[0].1);
}

#[test]
fn ordered_messages_are_sent_one_at_a_time_and_pause_after_a_time_out() {
    let mut sender = sender_with_one_endpoint();
    let actions = sender.handle_at(
        0,
        vec![
            accept("m", 1, Some("k"), 1000),
            accept("n", 1, Some("k"), 9000),
        ],
    );
    assert_eq!(sent_messages(&actions), [("m".to_owned(), "a".to_owned())]);
    // The first message times out at its deadline and expires. The key is paused for a further 300 ms.
    assert_eq!(
        sent_messages(&sender.handle_at(1000, vec![outcome("m", 0, Status::TimedOut, 1000)])),
        []
    );
    for ms in (1005..1300).step_by(5) {
        assert_eq!(
            sent_messages(&sender.handle_at(ms, vec![Event::TimerFired])),
            [],
            "at {ms}"
        );
    }
    assert!(
        (1300..3000)
            .step_by(5)
            .any(|ms| !sent_messages(&sender.handle_at(ms, vec![Event::TimerFired])).is_empty())
    );
}

#[test]
fn a_cancelled_message_blocks_its_ordering_key_until_its_attempt_finishes() {
    let mut sender = sender_with_one_endpoint();
    sender.handle_at(
        0,
        vec![
            accept("m", 1, Some("k"), 9000),
            accept("n", 1, Some("k"), 9000),
        ],
    );
    assert_eq!(
        sent_messages(&sender.handle_at(50, vec![Event::Cancelled(MessageId("m".into()))])),
        []
    );
    let actions = sender.handle_at(100, vec![outcome("m", 0, Status::Served, 100)]);
    assert_eq!(sent_messages(&actions), [("n".to_owned(), "a".to_owned())]);
    assert!(final_answers(&actions).is_empty());
}

#[test]
fn an_outage_gets_one_probe_call_at_a_time_and_a_slow_start() {
    let mut sender = sender_with_one_endpoint();
    let ids: Vec<String> = (0..30).map(|i| format!("m{i}")).collect();
    let mut in_flight: Vec<(String, u32)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    let mut send_at = |sender: &mut TestSender, ms, events: Vec<Event>| {
        let sent = sent_messages(&sender.handle_at(ms, events));
        sent.into_iter()
            .map(|(id, _)| {
                let attempt = attempts.entry(id.clone()).or_insert(0u32);
                *attempt += 1;
                (id, *attempt - 1)
            })
            .collect::<Vec<_>>()
    };
    in_flight.extend(send_at(
        &mut sender,
        0,
        ids.iter().map(|i| accept(i, 0, None, 9900)).collect(),
    ));
    assert_eq!(in_flight.len(), 4);
    let failed = in_flight
        .drain(..)
        .map(|(id, attempt)| outcome(&id, attempt, Status::NoConnection, 5))
        .collect();
    in_flight.extend(send_at(&mut sender, 10, failed));
    assert!(
        in_flight.is_empty(),
        "an outage: no call before the first probe call"
    );
    let mut max_in_flight = 0;
    for ms in (15..4000).step_by(5) {
        let events = in_flight
            .drain(..)
            .map(|(id, attempt)| outcome(&id, attempt, Status::NoConnection, 5))
            .collect();
        in_flight.extend(send_at(&mut sender, ms, events));
        max_in_flight = max_in_flight.max(in_flight.len());
    }
    assert_eq!(max_in_flight, 1);
    let mut served = 0;
    for ms in (4000..6000).step_by(5) {
        let events = in_flight
            .drain(..)
            .map(|(id, attempt)| outcome(&id, attempt, Status::Served, 5))
            .collect::<Vec<_>>();
        served += events.len();
        in_flight.extend(send_at(&mut sender, ms, events));
    }
    assert!(
        (1..=3).contains(&served),
        "no call was served before, so the slow start allows the minimum: {served}"
    );
}

#[test]
fn a_full_buffer_keeps_capacity_and_rejects_at_once() {
    let mut sender = TestSender::new(settings(), vec![]);
    let actions = sender.handle_at(
        0,
        (0..64)
            .map(|i| accept(&format!("m{i}"), 0, None, 9000))
            .collect(),
    );
    assert_eq!(final_answers(&actions).len(), 4);
    assert!(actions.iter().all(|action| !matches!(
        action,
        Action::Reject {
            retry_after: None,
            ..
        }
    )));
}

#[test]
fn messages_of_one_batch_share_a_call() {
    let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 1)]);
    let actions = sender.handle_at(
        0,
        (0..23)
            .map(|i| accept(&format!("m{i}"), 0, None, 9000))
            .collect(),
    );
    assert_eq!(sent_messages(&actions).len(), 20, "four calls of five");
}

#[test]
fn the_list_is_polled_at_start_and_after_a_failure() {
    let mut sender = Scheduler::new(
        Settings {
            poll_endpoint_list: true,
            ..settings()
        },
        1,
        Time(0),
    )
    .expect("settings");
    assert!(
        sender
            .handle(Time(0), vec![])
            .contains(&Action::PollEndpointList)
    );
    assert!(
        !sender
            .handle(Time(5_000_000), vec![Event::EndpointListFailed])
            .contains(&Action::PollEndpointList)
    );
    let next_poll = (1..1000u64).find(|i| {
        sender
            .handle(Time(5_000_000 + i * 5_000_000), vec![Event::TimerFired])
            .contains(&Action::PollEndpointList)
    });
    assert!(next_poll.is_some_and(|i| i < 400));
}

#[test]
fn late_unknown_and_repeated_ids_are_ignored() {
    let mut sender = sender_with_one_endpoint();
    let actions = sender.handle_at(
        0,
        vec![
            outcome("x", 0, Status::Served, 1),
            Event::Cancelled(MessageId("y".into())),
        ],
    );
    assert!(sent_messages(&actions).is_empty() && final_answers(&actions).is_empty());
    sender.handle_at(
        1,
        vec![
            accept("m", 0, None, 9000),
            accept("m", 0, None, 9000),
            accept("n", 99, None, 9000),
        ],
    );
    sender.handle_at(
        2,
        vec![
            outcome("m", 7, Status::Served, 1),
            outcome("m", 0, Status::Served, 1),
        ],
    );
    assert!(
        final_answers(&sender.handle_at(3, vec![outcome("m", 0, Status::TimedOut, 1)])).is_empty()
    );
}

#[test]
fn settings_that_cannot_work_are_an_error() {
    assert!(
        Scheduler::new(
            Settings {
                slots: 0,
                ..settings()
            },
            1,
            Time(0)
        )
        .is_err()
    );
    assert!(
        Scheduler::new(
            Settings {
                classes: vec![],
                ..settings()
            },
            1,
            Time(0)
        )
        .is_err()
    );
}

/// Guards against a Retry-After time that is ignored because it is not in the first outcome of a shared call.
#[test]
fn a_retry_after_for_a_later_message_of_a_call_is_respected() {
    let mut sender = TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 1)]);
    assert_eq!(
        sent_messages(&sender.handle_at(
            0,
            vec![accept("m", 0, None, 9000), accept("n", 0, None, 9000)]
        ))
        .len(),
        2
    );
    let mut actions = sent_messages(&sender.handle_at(
        10,
        vec![
            rejected_with_retry_after("m", 0, 0),
            rejected_with_retry_after("n", 0, 2000),
        ],
    ));
    for ms in (15..2010).step_by(5) {
        actions.extend(sent_messages(
            &sender.handle_at(ms, vec![Event::TimerFired]),
        ));
    }
    assert_eq!(actions, []);
}

#[test]
fn an_outcome_after_a_cancellation_is_ignored() {
    let mut sender = sender_with_one_endpoint();
    sender.handle_at(0, vec![accept("m", 0, None, 9000)]);
    sender.handle_at(10, vec![Event::Cancelled(MessageId("m".into()))]);
    let actions = sender.handle_at(20, vec![outcome("m", 0, Status::TimedOut, 20)]);
    assert!(sent_messages(&actions).is_empty() && final_answers(&actions).is_empty());
}
