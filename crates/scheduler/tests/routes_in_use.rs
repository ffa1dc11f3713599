//! The cost of a tick depends on the active routes, not on the number of listed destinations.

mod common;
use common::*;
use cranehill_scheduler::api::*;

/// A scheduler with this number of listed destinations, after one tick.
fn listed(destinations: u64) -> TestSender {
    let endpoint_of =
        |destination: u64| entry(&format!("e{destination}"), destination, Condition::Ready, 0);
    let mut sender = TestSender::new(settings(), (1..=destinations).map(endpoint_of).collect());
    sender.handle_at(5, vec![Event::TimerFired]);
    sender
}

/// Number of active routes after each of a sequence of events.
fn active_routes(sender: &mut TestSender) -> Vec<usize> {
    let change = |endpoint: &str, condition| {
        let entries = vec![entry(endpoint, 2, condition, 0)];
        Event::EndpointList {
            replaces_all: false,
            entries,
        }
    };
    let events = [
        Event::TimerFired,
        change("e2", Condition::Draining),
        change("e2", Condition::Ready),
        change("new", Condition::Ready),
        change("new", Condition::Removed),
        accept("m", 0, None, 5000),
        outcome("m", 0, Status::Served, 10),
        Event::TimerFired,
    ];
    let mut active = Vec::new();
    for (ms, event) in events.into_iter().enumerate() {
        sender.handle_at(10 + 5 * ms as u64, vec![event]);
        active.push(sender.scheduler.active_route_count());
    }
    active
}

/// Guards against ticks that visit all routes. There is a tick every 5 ms while events arrive.
#[test]
fn a_tick_visits_only_active_routes() {
    let active = active_routes(&mut listed(10));
    assert_eq!(active, active_routes(&mut listed(57_000)));
    assert_eq!(
        active.last(),
        Some(&0),
        "the route becomes inactive again: {active:?}"
    );
    assert!(
        active.contains(&1) && active.iter().all(|&routes| routes <= 1),
        "{active:?}"
    );
}

/// Guards against an inactive route that gets tokens for the time in which ticks skip it, so that a slow start after an outage
/// begins with more calls than allowed.
#[test]
fn an_inactive_route_accumulates_no_extra_tokens() {
    let mut sender = listed(2);
    let Event::Outcome(served) = outcome("first", 0, Status::Served, 10) else {
        return;
    };
    let report = Some(LoadReport {
        remaining_share: 1.0,
        limit: 20.0,
    });
    sender.handle_at(10, vec![accept("first", 0, None, 5000)]);
    sender.handle_at(20, vec![Event::Outcome(Outcome { report, ..served })]);
    let health_check = |status| Event::HealthChecked {
        endpoint: EndpointId("e1".into()),
        status,
    };
    sender.handle_at(1000, (0..3).map(|_| health_check(Status::Error)).collect());
    sender.handle_at(6000, vec![Event::TimerFired]);
    assert_eq!(
        sender.scheduler.active_route_count(),
        0,
        "inactive, in an outage"
    );
    sender.handle_at(30_000, vec![Event::TimerFired]);
    let message = |n: u64| accept(&format!("m{n}"), 0, None, 5000);
    let actions = sender.handle_at(
        30_005,
        [health_check(Status::Served)]
            .into_iter()
            .chain((0..4).map(message))
            .collect(),
    );
    assert_eq!(
        sent_messages(&actions),
        [],
        "the bucket is empty when the outage ends"
    );
    // The failing load is twice a fifth of 10/s, so 4/s; the slow start aims at four fifths of it.
    assert_eq!(
        sent_messages(&sender.handle_at(30_400, vec![Event::TimerFired])).len(),
        1
    );
}
