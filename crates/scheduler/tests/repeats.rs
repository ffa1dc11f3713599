//! Retries: which messages may be sent again, by effect, deduplication window and scope, and number of attempts.

mod common;
use std::time::Duration;

use common::*;
use cranehill_scheduler::api::*;

fn sender_with_one_endpoint() -> TestSender {
    TestSender::new(settings(), vec![entry("a", 1, Condition::Ready, 0)])
}

#[test]
fn an_unsafe_message_is_never_retried_once_possibly_executed() {
    for status in [
        Status::Error,
        Status::TimedOut,
        Status::Reset,
        Status::Cancelled,
    ] {
        let mut sender = sender_with_one_endpoint();
        sender.handle_at(0, vec![accept("m", 2, None, 9000)]);
        let actions = sender.handle_at(100, vec![outcome("m", 0, status, 100)]);
        assert_eq!(
            (final_answers(&actions), sent_messages(&actions)),
            (vec!["fail m".to_owned()], vec![])
        );
    }
}

#[test]
fn an_unsafe_message_that_was_not_executed_is_retried() {
    let mut sender = sender_with_one_endpoint();
    sender.handle_at(0, vec![accept("m", 2, None, 9000)]);
    let actions = sender.handle_at(10, vec![rejected_with_retry_after("m", 0, 100)]);
    assert!(final_answers(&actions).is_empty());
    // The Retry-After wait is followed by a random pause, since it ends for all senders at the same time.
    assert!(
        (200..3000)
            .step_by(5)
            .any(|ms| !sent_messages(&sender.handle_at(ms, vec![Event::TimerFired])).is_empty())
    );
}

#[test]
fn an_idempotent_message_is_not_repeated_outside_its_window() {
    let mut sender = sender_with_one_endpoint();
    sender.handle_at(0, vec![accept("m", 1, None, 9500)]);
    let actions = sender.handle_at(5000, vec![outcome("m", 0, Status::TimedOut, 5000)]);
    assert_eq!(sent_messages(&actions), []);
    assert_eq!(final_answers(&actions), ["fail m"]);
}

/// Guards against a message executed twice because it was rejected and its client submitted it again after the deduplication
/// window. Occurred after a restart: the 200 answer was lost, and the message was not sent again before its deadline.
#[test]
fn a_possibly_executed_message_is_rejected_only_while_repeatable() {
    // The deduplication window is 5 s, and clients are advised to retry after 1 s.
    for (sent_ago, class, expected) in [
        (3999, 1, "reject m"),
        (4000, 1, "fail m"),
        (9000, 0, "reject m"),
        (10, 2, "fail m"),
    ] {
        // All attempts are used, so the message expires immediately.
        let actions = sender_with_one_endpoint().handle_at(
            10_000,
            vec![restored_message("m", class, 4, Some(sent_ago))],
        );
        assert_eq!(
            final_answers(&actions),
            [expected],
            "class {class}, sent {sent_ago} ms ago"
        );
    }
}

#[test]
fn attempts_are_capped() {
    let mut sender = sender_with_one_endpoint();
    let mut attempts =
        sent_messages(&sender.handle_at(0, vec![accept("m", 0, None, 9900)])).len() as u32;
    for ms in (50..9000).step_by(50) {
        let actions = sender.handle_at(
            ms,
            vec![
                outcome("m", attempts - 1, Status::NoConnection, 10),
                Event::TimerFired,
            ],
        );
        attempts += sent_messages(&actions).len() as u32;
    }
    assert_eq!(attempts, 4);
}

#[test]
fn an_idempotent_repeat_is_sent_only_to_the_zone_that_deduplicates_it() {
    let mut custom_settings = settings();
    custom_settings.classes[1].dedup = DedupScope::Zone;
    let other_zone = Entry {
        zone: 1,
        ..entry("far", 1, Condition::Ready, 0)
    };
    let mut sender = TestSender::new(
        custom_settings,
        vec![entry("near", 1, Condition::Ready, 0), other_zone],
    );
    assert_eq!(
        sent_messages(&sender.handle_at(0, vec![accept("m", 1, None, 9000)]))[0].1,
        "near"
    );
    let removed = Event::EndpointList {
        replaces_all: false,
        entries: vec![entry("near", 1, Condition::Removed, 0)],
    };
    let mut sent =
        sent_messages(&sender.handle_at(50, vec![removed, outcome("m", 0, Status::Error, 50)]));
    let mut answers = vec![];
    for ms in (55..5100).step_by(5) {
        let actions = sender.handle_at(ms, vec![Event::TimerFired]);
        sent.extend(sent_messages(&actions));
        answers.extend(final_answers(&actions));
    }
    assert_eq!(
        (sent, answers),
        (vec![], vec!["fail m".to_owned()]),
        "a retry by the client is not harmless, so the message must fail"
    );
}

/// A message accepted by an earlier process, which made `attempts` attempts and perhaps a possibly executed one.
fn restored_message(id: &str, class: usize, attempts: u32, executed_ms_ago: Option<u64>) -> Event {
    match accept(id, class, None, 9000) {
        Event::Accept(accepted) => {
            let possibly_executed =
                executed_ms_ago.map(|ms| (Duration::from_millis(ms), EndpointId("a".into())));
            Event::Accept(AcceptedMessage {
                prior: PriorAttempts {
                    restored: true,
                    attempts,
                    possibly_executed,
                },
                ..accepted
            })
        }
        other => other,
    }
}

#[test]
fn prior_attempts_of_an_earlier_process_count() {
    // Attempts used up or not; an unsafe message, possibly executed or not; an idempotent one inside and outside its window.
    for (event, sent, ended) in [
        (restored_message("m", 0, 4, None), 0, vec!["reject m"]),
        (restored_message("m", 0, 3, Some(100)), 1, vec![]),
        (restored_message("m", 2, 1, Some(100)), 0, vec!["fail m"]),
        (restored_message("m", 2, 1, None), 1, vec![]),
        (restored_message("m", 1, 1, Some(4900)), 1, vec![]),
        (restored_message("m", 1, 1, Some(5100)), 0, vec!["fail m"]),
    ] {
        let mut sender = sender_with_one_endpoint();
        let actions = sender.handle_at(10_000, vec![event.clone()]);
        assert_eq!(
            (sent_messages(&actions).len(), final_answers(&actions)),
            (sent, ended.iter().map(ToString::to_string).collect()),
            "{event:?}"
        );
    }
}

#[test]
fn a_removed_recipient_is_rejected_without_retry_after_or_health_signal() {
    let mut sender = sender_with_one_endpoint();
    for i in 0..10u64 {
        let id = format!("m{i}");
        let actions = sender.handle_at(i * 100, vec![accept(&id, 0, None, 9000)]);
        assert_eq!(sent_messages(&actions).len(), 1, "no outage is detected");
        let actions = sender.handle_at(
            i * 100 + 50,
            vec![outcome(&id, 0, Status::RecipientRemoved, 50)],
        );
        assert_eq!(
            actions
                .iter()
                .filter(|action| matches!(
                    action,
                    Action::Reject {
                        retry_after: None,
                        ..
                    }
                ))
                .count(),
            1
        );
        assert!(sent_messages(&actions).is_empty());
    }
}

#[test]
fn a_permanent_error_fails_at_once() {
    for class in 0..3 {
        let mut sender = sender_with_one_endpoint();
        sender.handle_at(0, vec![accept("m", class, None, 9000)]);
        let actions = sender.handle_at(50, vec![outcome("m", 0, Status::PermanentError, 50)]);
        assert_eq!(
            (final_answers(&actions), sent_messages(&actions)),
            (vec!["fail m".to_owned()], vec![])
        );
    }
}

/// Guards against a repeat that is written after the deduplication window because its connection opened late (up to 10 repeats a
/// day on narrow days of the other customer). Only a possibly executed idempotent message has a time limit for writing; messages
/// that were not executed, or may be executed twice, have none.
#[test]
fn a_repeat_must_be_written_within_its_window() {
    let mut custom_settings = settings();
    custom_settings.classes[1].dedup_window = Duration::from_millis(2000);
    let write_limits = |settings: &Settings, class: usize, status: Status| {
        let mut sender =
            TestSender::new(settings.clone(), vec![entry("a", 1, Condition::Ready, 0)]);
        sender.handle_at(0, vec![accept("m", class, None, 9000)]);
        let mut actions = sender.handle_at(700, vec![outcome("m", 0, status, 700)]);
        for ms in (750..1950).step_by(50) {
            actions.extend(sender.handle_at(ms, vec![Event::TimerFired]));
        }
        let times = actions.iter().filter_map(|action| match action {
            Action::Send { write_timeout, .. } => Some(*write_timeout),
            _ => None,
        });
        times.collect::<Vec<_>>()
    };
    let class = |effect: Effect| {
        settings()
            .classes
            .iter()
            .position(|class| class.effect == effect)
            .expect("a class with this effect")
    };
    assert_eq!(
        write_limits(&custom_settings, class(Effect::Safe), Status::Error),
        [None]
    );
    assert_eq!(
        write_limits(
            &custom_settings,
            class(Effect::Idempotent),
            Status::Overloaded
        ),
        [None]
    );
    let repeats = write_limits(&custom_settings, class(Effect::Idempotent), Status::Error);
    assert!(
        repeats.len() == 1 && repeats[0].is_some_and(|limit| limit <= Duration::from_millis(1300)),
        "{repeats:?}"
    );
}
