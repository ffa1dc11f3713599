//! Which messages may be sent again: by effect, window, scope of deduplication and number of attempts.

mod common;
use std::time::Duration;

use common::*;
use cranehill_scheduler::api::*;

fn one() -> Bench {
    Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)])
}

#[test]
fn an_unsafe_message_is_never_retried_once_possibly_executed() {
    for status in [
        Status::Error,
        Status::TimedOut,
        Status::Reset,
        Status::Cancelled,
    ] {
        let mut b = one();
        b.at(0, vec![accept("m", 2, None, 9000)]);
        let actions = b.at(100, vec![outcome("m", 0, status, 100)]);
        assert_eq!(
            (finals(&actions), sends(&actions)),
            (vec!["fail m".to_owned()], vec![])
        );
    }
}

#[test]
fn an_unsafe_message_that_was_not_executed_is_retried() {
    let mut b = one();
    b.at(0, vec![accept("m", 2, None, 9000)]);
    let actions = b.at(10, vec![refused("m", 0, 100)]);
    assert!(finals(&actions).is_empty());
    // The wait, then a pause of our own: waits end for all who were told at once.
    assert!(
        (200..3000)
            .step_by(5)
            .any(|ms| !sends(&b.at(ms, vec![Event::Wake])).is_empty())
    );
}

#[test]
fn an_idempotent_message_is_not_repeated_outside_its_window() {
    let mut b = one();
    b.at(0, vec![accept("m", 1, None, 9500)]);
    let actions = b.at(5000, vec![outcome("m", 0, Status::TimedOut, 5000)]);
    assert_eq!(sends(&actions), []);
    assert_eq!(finals(&actions), ["fail m"]);
}

/// Guards against a message that a destination has and that its client brings again once the destination has forgotten its
/// key: seen after a restart, where nobody had heard the 200 and the message was crowded out until its deadline.
#[test]
fn a_possibly_executed_message_is_returned_only_while_repeatable() {
    // The window is 5 s, and the wait that is told 1 s.
    for (sent_ago, class, expected) in [
        (3999, 1, "refuse m"),
        (4000, 1, "fail m"),
        (9000, 0, "refuse m"),
        (10, 2, "fail m"),
    ] {
        // All attempts are used: the end comes at once.
        let actions = one().at(10_000, vec![with_past("m", class, 4, Some(sent_ago))]);
        assert_eq!(
            finals(&actions),
            [expected],
            "class {class}, sent {sent_ago} ms ago"
        );
    }
}

#[test]
fn attempts_are_capped() {
    let mut b = one();
    let mut attempts = sends(&b.at(0, vec![accept("m", 0, None, 9900)])).len() as u32;
    for ms in (50..9000).step_by(50) {
        let actions = b.at(
            ms,
            vec![
                outcome("m", attempts - 1, Status::NoConnection, 10),
                Event::Wake,
            ],
        );
        attempts += sends(&actions).len() as u32;
    }
    assert_eq!(attempts, 4);
}

#[test]
fn an_idempotent_repeat_stays_in_the_zone_that_drops_it() {
    let mut set = settings();
    set.classes[1].dedup = DedupScope::Zone;
    let far = Entry {
        zone: 1,
        ..entry("far", 1, Condition::Ready, 0)
    };
    let mut b = Bench::new(set, vec![entry("near", 1, Condition::Ready, 0), far]);
    assert_eq!(
        sends(&b.at(0, vec![accept("m", 1, None, 9000)]))[0].1,
        "near"
    );
    let removed = Event::List {
        whole: false,
        entries: vec![entry("near", 1, Condition::Removed, 0)],
    };
    let mut sent = sends(&b.at(50, vec![removed, outcome("m", 0, Status::Error, 50)]));
    let mut last = vec![];
    for ms in (55..5100).step_by(5) {
        let actions = b.at(ms, vec![Event::Wake]);
        sent.extend(sends(&actions));
        last.extend(finals(&actions));
    }
    assert_eq!(
        (sent, last),
        (vec![], vec!["fail m".to_owned()]),
        "a refusal would promise too much here"
    );
}

fn with_past(id: &str, class: usize, attempts: u32, executed_ms_ago: Option<u64>) -> Event {
    match accept(id, class, None, 9000) {
        Event::Accept(t) => {
            let possibly_executed =
                executed_ms_ago.map(|ms| (Duration::from_millis(ms), EndpointId("a".into())));
            Event::Accept(AcceptedMessage {
                prior: PriorAttempts {
                    restored: true,
                    attempts,
                    possibly_executed,
                },
                ..t
            })
        }
        other => other,
    }
}

#[test]
fn prior_attempts_of_an_earlier_process_count() {
    // Attempts used up; an unsafe message that may have been executed; a keyed one inside and outside its window.
    for (event, sent, ended) in [
        (with_past("m", 0, 4, None), 0, vec!["refuse m"]),
        (with_past("m", 0, 3, Some(100)), 1, vec![]),
        (with_past("m", 2, 1, Some(100)), 0, vec!["fail m"]),
        (with_past("m", 2, 1, None), 1, vec![]),
        (with_past("m", 1, 1, Some(4900)), 1, vec![]),
        (with_past("m", 1, 1, Some(5100)), 0, vec!["fail m"]),
    ] {
        let mut b = one();
        let actions = b.at(10_000, vec![event.clone()]);
        assert_eq!(
            (sends(&actions).len(), finals(&actions)),
            (sent, ended.iter().map(ToString::to_string).collect()),
            "{event:?}"
        );
    }
}

#[test]
fn a_removed_recipient_is_rejected_without_retry_after_or_health_signal() {
    let mut b = one();
    for n in 0..10u64 {
        let id = format!("m{n}");
        let actions = b.at(n * 100, vec![accept(&id, 0, None, 9000)]);
        assert_eq!(
            sends(&actions).len(),
            1,
            "the destination is not held to be out"
        );
        let actions = b.at(
            n * 100 + 50,
            vec![outcome(&id, 0, Status::RecipientRemoved, 50)],
        );
        assert_eq!(
            actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { after: None, .. }))
                .count(),
            1
        );
        assert!(sends(&actions).is_empty());
    }
}

#[test]
fn a_permanent_error_fails_at_once() {
    for class in 0..3 {
        let mut b = one();
        b.at(0, vec![accept("m", class, None, 9000)]);
        let actions = b.at(50, vec![outcome("m", 0, Status::PermanentError, 50)]);
        assert_eq!(
            (finals(&actions), sends(&actions)),
            (vec!["fail m".to_owned()], vec![])
        );
    }
}

/// Guards the window against what comes after the decision: a connection that comes up late (narrow days of the other
/// customer: up to 10 repeats a day). What may have been executed is told to be written inside its window; what has not run, or may
/// run twice, at any time.
#[test]
fn a_repeat_must_be_written_within_its_window() {
    let mut set = settings();
    set.classes[1].window = Duration::from_millis(2000);
    let within = |set: &Settings, class: usize, status: Status| {
        let mut b = Bench::new(set.clone(), vec![entry("a", 1, Condition::Ready, 0)]);
        b.at(0, vec![accept("m", class, None, 9000)]);
        let mut actions = b.at(700, vec![outcome("m", 0, status, 700)]);
        for ms in (750..1950).step_by(50) {
            actions.extend(b.at(ms, vec![Event::Wake]));
        }
        let times = actions.iter().filter_map(|a| match a {
            Action::Send { write_within, .. } => Some(*write_within),
            _ => None,
        });
        times.collect::<Vec<_>>()
    };
    let class = |effect: Effect| {
        settings()
            .classes
            .iter()
            .position(|c| c.effect == effect)
            .expect("there")
    };
    assert_eq!(within(&set, class(Effect::Safe), Status::Error), [None]);
    assert_eq!(
        within(&set, class(Effect::Idempotent), Status::Overloaded),
        [None]
    );
    let left = within(&set, class(Effect::Idempotent), Status::Error);
    assert!(
        left.len() == 1 && left[0].is_some_and(|l| l <= Duration::from_millis(1300)),
        "{left:?}"
    );
}
