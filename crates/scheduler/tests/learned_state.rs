//! Learned state restored after a restart never makes a sender send more than a sender without learned state.

mod common;
use common::*;
use cranehill_scheduler::api::*;
use cranehill_scheduler::{LearnedState, ObservedHealth, Scheduler, Time};
use std::time::Duration;

fn ms(ms: u64) -> Time {
    Time(ms * 1_000_000)
}

/// Learned state of destination 1 without any observation.
fn learned_state() -> LearnedState {
    LearnedState {
        destination: 1,
        route_id: None,
        at: ms(0),
        window: None,
        limit: None,
        blocked_until: None,
        state: None,
    }
}

/// One of `senders` senders, with one endpoint and no learned state.
fn new_sender(senders: u32, seed: u64) -> Scheduler {
    let fleet_settings = Settings {
        instances: senders,
        ..settings()
    };
    let mut sender = Scheduler::new(fleet_settings, seed, ms(0)).expect("settings");
    sender.handle(
        ms(0),
        vec![Event::EndpointList {
            replaces_all: true,
            entries: vec![entry("a", 1, Condition::Ready, 0)],
        }],
    );
    sender
}

/// Calls in each second of 100 senders that restore this limit, each with one message from the start.
fn first_calls_per_second(limit: f64) -> Vec<usize> {
    let mut senders: Vec<Scheduler> = (0..100).map(|seed| new_sender(100, seed)).collect();
    for sender in &mut senders {
        let last = sender.restore(
            ms(0),
            &[LearnedState {
                limit: Some(limit),
                ..learned_state()
            }],
        );
        assert!(last <= ms(5300), "{last:?}");
    }
    let mut seconds = vec![0; 7];
    for step in 0..7000 / 50 {
        for (index, sender) in senders.iter_mut().enumerate() {
            let mut events = vec![Event::TimerFired];
            if step == 0 {
                events.push(accept(&index.to_string(), 0, None, 9_900));
            }
            seconds[step * 50 / 1000] +=
                sent_messages(&sender.handle(ms(step as u64 * 50), events)).len();
        }
    }
    seconds
}

/// Guards against a destination overloaded by the first calls of all senders after a restart. They are spread to a quarter of
/// the limit, which is safe even if the limit was meanwhile halved; if that takes too long, they are still within the limit.
#[test]
fn all_first_calls_together_stay_well_within_the_limit() {
    let high_limit = first_calls_per_second(100.0);
    assert!(
        high_limit.iter().all(|&n| n <= 40) && high_limit.iter().sum::<usize>() == 100,
        "{high_limit:?}"
    );
    let low_limit = first_calls_per_second(20.0);
    assert!(
        low_limit.iter().all(|&n| n <= 28) && low_limit.iter().sum::<usize>() == 100,
        "{low_limit:?}"
    );
    // Without a limit, only the window limits the calls.
    assert_eq!(first_calls_per_second(f64::INFINITY)[0], 100);
}

/// Guards against a restored Retry-After wait that is ignored, or that lasts longer than stated.
#[test]
fn a_restored_retry_after_is_respected_to_its_end() {
    let mut sender = new_sender(1, 1);
    sender.restore(
        ms(0),
        &[LearnedState {
            blocked_until: Some(ms(3000)),
            ..learned_state()
        }],
    );
    let mut sent = None;
    for step in 0..80 {
        let mut events = vec![Event::TimerFired];
        if step == 0 {
            events.push(accept("m", 0, None, 9_900));
        }
        if !sent_messages(&sender.handle(ms(step * 50), events)).is_empty() {
            sent.get_or_insert(step * 50);
        }
    }
    assert!(
        sent.is_some_and(|at| (3000..3600).contains(&at)),
        "{sent:?}"
    );
}

/// Guards against a restored window that exceeds the initial one, and against restored state that overwrites what this
/// process has observed itself.
#[test]
fn restored_state_never_allows_more() {
    let sent_with_window = |mut sender: Scheduler, window: f64| -> usize {
        sender.restore(
            ms(0),
            &[LearnedState {
                window: Some(window),
                ..learned_state()
            }],
        );
        let events = (0..20)
            .map(|k| accept(&format!("m{k}"), 0, None, 9_900))
            .collect();
        sent_messages(&sender.handle(ms(0), events)).len()
    };
    let (initial, large, small) = (
        sent_with_window(new_sender(1, 1), 4.0),
        sent_with_window(new_sender(1, 1), 50.0),
        sent_with_window(new_sender(1, 1), 2.0),
    );
    assert_eq!((initial, large, small), (4, 4, 2));
    // A call was answered, so a limit and health restored afterwards change nothing.
    let mut sender = new_sender(1, 1);
    sender.handle(ms(0), vec![accept("a", 0, None, 9_900)]);
    sender.handle(ms(50), vec![outcome("a", 0, Status::Served, 50)]);
    let restored = LearnedState {
        limit: Some(0.1),
        state: Some(ObservedHealth::Down),
        window: Some(0.5),
        ..learned_state()
    };
    sender.restore(ms(60), &[restored]);
    let sent = sent_messages(&sender.handle(
        ms(60),
        vec![accept("b", 0, None, 9_900), accept("c", 0, None, 9_900)],
    ));
    assert_eq!(sent.len(), 2);
}

/// Guards against many calls to a destination that restored state shows to be in an outage: it gets one probe call after a
/// pause.
#[test]
fn a_failed_destination_gets_one_probe_call() {
    let mut sender = new_sender(1, 1);
    sender.restore(
        ms(0),
        &[LearnedState {
            state: Some(ObservedHealth::Down),
            ..learned_state()
        }],
    );
    let mut sent = 0;
    for step in 0..40 {
        let mut events = vec![Event::TimerFired];
        if step == 0 {
            events.extend((0..6).map(|k| accept(&format!("m{k}"), 0, None, 9_900)));
        }
        let calls = sent_messages(&sender.handle(ms(step * 50), events)).len();
        assert!(
            step * 50 >= 200 || calls == 0,
            "no pause before the probe call"
        );
        sent += calls;
    }
    assert_eq!(sent, 1, "the probe call is not answered yet");
}

/// Guards against learned state that does not match what the sender observed, or has the wrong age.
#[test]
fn learned_state_carries_its_age() {
    let mut sender = new_sender(4, 1);
    assert_eq!(sender.learned_state(), [], "no call was sent");
    sender.handle(ms(0), vec![accept("a", 0, None, 9_900)]);
    let rejected = match outcome("a", 0, Status::Overloaded, 50) {
        Event::Outcome(outcome) => Event::Outcome(Outcome {
            retry_after: Some(Duration::from_secs(1)),
            report: Some(LoadReport {
                remaining_share: 0.0,
                limit: 12.0,
            }),
            ..outcome
        }),
        other => other,
    };
    sender.handle(ms(50), vec![rejected]);
    let learned = sender.learned_state();
    let [one] = learned.as_slice() else {
        panic!("{learned:?}")
    };
    assert_eq!(
        (one.destination, one.at, one.limit, one.state),
        (1, ms(50), Some(12.0), Some(ObservedHealth::Up))
    );
    assert!(
        one.blocked_until.is_some_and(|until| until >= ms(1050))
            && one.window.is_some_and(|size| size < 4.0),
        "{one:?}"
    );
}
