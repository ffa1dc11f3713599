//! What is recalled after a restart only ever makes a sender more careful than a new one.

mod common;
use common::*;
use cranehill_scheduler::api::*;
use cranehill_scheduler::{LearnedState, ObservedHealth, Scheduler, Time};
use std::time::Duration;

fn ms(ms: u64) -> Time {
    Time(ms * 1_000_000)
}

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

fn fresh(senders: u32, seed: u64) -> Scheduler {
    let set = Settings {
        instances: senders,
        ..settings()
    };
    let mut sender = Scheduler::new(set, seed, ms(0)).expect("settings");
    sender.handle(
        ms(0),
        vec![Event::List {
            whole: true,
            entries: vec![entry("a", 1, Condition::Ready, 0)],
        }],
    );
    sender
}

/// What 100 senders that recall this limit send in each second, with a message each from the start.
fn first_calls(limit: f64) -> Vec<usize> {
    let mut senders: Vec<Scheduler> = (0..100).map(|seed| fresh(100, seed)).collect();
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
        for (n, sender) in senders.iter_mut().enumerate() {
            let mut events = vec![Event::Wake];
            if step == 0 {
                events.push(accept(&n.to_string(), 0, None, 9_900));
            }
            seconds[step * 50 / 1000] += sends(&sender.handle(ms(step as u64 * 50), events)).len();
        }
    }
    seconds
}

/// Guards a destination against everybody's first call at once: they come at a quarter of the limit, so also one that was
/// lowered to half of it meanwhile is not overrun; where that would take long, still within the limit.
#[test]
fn all_first_calls_together_stay_well_within_the_limit() {
    let wide = first_calls(100.0);
    assert!(
        wide.iter().all(|&n| n <= 40) && wide.iter().sum::<usize>() == 100,
        "{wide:?}"
    );
    let narrow = first_calls(20.0);
    assert!(
        narrow.iter().all(|&n| n <= 28) && narrow.iter().sum::<usize>() == 100,
        "{narrow:?}"
    );
    // A destination without a limit is for the window alone.
    assert_eq!(first_calls(f64::INFINITY)[0], 100);
}

/// A wait holds whoever was told it, whatever else is forgotten; and to its end, not beyond.
#[test]
fn a_restored_retry_after_is_respected_to_its_end() {
    let mut sender = fresh(1, 1);
    sender.restore(
        ms(0),
        &[LearnedState {
            blocked_until: Some(ms(3000)),
            ..learned_state()
        }],
    );
    let mut sent = None;
    for step in 0..80 {
        let mut events = vec![Event::Wake];
        if step == 0 {
            events.push(accept("m", 0, None, 9_900));
        }
        if !sends(&sender.handle(ms(step * 50), events)).is_empty() {
            sent.get_or_insert(step * 50);
        }
    }
    assert!(
        sent.is_some_and(|at| (3000..3600).contains(&at)),
        "{sent:?}"
    );
}

/// A window is never above a new one's, and what a call has shown since is not overwritten.
#[test]
fn restored_state_never_allows_more() {
    let out = |mut sender: Scheduler, window: f64| -> usize {
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
        sends(&sender.handle(ms(0), events)).len()
    };
    let (usual, large, small) = (
        out(fresh(1, 1), 4.0),
        out(fresh(1, 1), 50.0),
        out(fresh(1, 1), 2.0),
    );
    assert_eq!((usual, large, small), (4, 4, 2));
    // One call has been answered: what is told later of the limit and the state changes nothing.
    let mut sender = fresh(1, 1);
    sender.handle(ms(0), vec![accept("a", 0, None, 9_900)]);
    sender.handle(ms(50), vec![outcome("a", 0, Status::Served, 50)]);
    let told = LearnedState {
        limit: Some(0.1),
        state: Some(ObservedHealth::Down),
        window: Some(0.5),
        ..learned_state()
    };
    sender.restore(ms(60), &[told]);
    let sent = sends(&sender.handle(
        ms(60),
        vec![accept("b", 0, None, 9_900), accept("c", 0, None, 9_900)],
    ));
    assert_eq!(sent.len(), 2);
}

/// A destination that others saw out is tried once, not at once with all that there is.
#[test]
fn a_failed_destination_gets_one_probe_call() {
    let mut sender = fresh(1, 1);
    sender.restore(
        ms(0),
        &[LearnedState {
            state: Some(ObservedHealth::Down),
            ..learned_state()
        }],
    );
    let mut sent = 0;
    for step in 0..40 {
        let mut events = vec![Event::Wake];
        if step == 0 {
            events.extend((0..6).map(|k| accept(&format!("m{k}"), 0, None, 9_900)));
        }
        let n = sends(&sender.handle(ms(step * 50), events)).len();
        assert!(step * 50 >= 200 || n == 0, "a trial has a pause before it");
        sent += n;
    }
    assert_eq!(sent, 1, "the first has no answer yet");
}

/// What one sender has learned is what another recalls: the two ends agree.
#[test]
fn learned_state_carries_its_age() {
    let mut sender = fresh(4, 1);
    assert_eq!(sender.learned_state(), [], "nothing was called");
    sender.handle(ms(0), vec![accept("a", 0, None, 9_900)]);
    let told = match outcome("a", 0, Status::Overloaded, 50) {
        Event::Outcome(o) => Event::Outcome(Outcome {
            wait: Some(Duration::from_secs(1)),
            report: Some(Report {
                left: 0.0,
                limit: 12.0,
            }),
            ..o
        }),
        other => other,
    };
    sender.handle(ms(50), vec![told]);
    let known = sender.learned_state();
    let [one] = known.as_slice() else {
        panic!("{known:?}")
    };
    assert_eq!(
        (one.destination, one.at, one.limit, one.state),
        (1, ms(50), Some(12.0), Some(ObservedHealth::Up))
    );
    assert!(
        one.blocked_until.is_some_and(|t| t >= ms(1050)) && one.window.is_some_and(|w| w < 4.0),
        "{one:?}"
    );
}
