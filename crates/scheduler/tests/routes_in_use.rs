//! What a turn costs: the routes in use or just changed, however many destinations are listed.

mod common;
use common::*;
use cranehill_scheduler::api::*;

fn listed(destinations: u64) -> Bench {
    let one = |d: u64| entry(&format!("e{d}"), d, Condition::Ready, 0);
    let mut bench = Bench::new(settings(), (1..=destinations).map(one).collect());
    bench.at(5, vec![Event::Wake]);
    bench
}

/// Routes that a turn would look at after each of some events.
fn active_routes(bench: &mut Bench) -> Vec<usize> {
    let change = |endpoint: &str, condition| {
        let entries = vec![entry(endpoint, 2, condition, 0)];
        Event::List {
            whole: false,
            entries,
        }
    };
    let events = [
        Event::Wake,
        change("e2", Condition::Draining),
        change("e2", Condition::Ready),
        change("new", Condition::Ready),
        change("new", Condition::Removed),
        accept("m", 0, None, 5000),
        outcome("m", 0, Status::Served, 10),
        Event::Wake,
    ];
    let mut active = Vec::new();
    for (ms, event) in events.into_iter().enumerate() {
        bench.at(10 + 5 * ms as u64, vec![event]);
        active.push(bench.sender.active_routes());
    }
    active
}

/// Before, each turn, one every 5 ms where something happens, went over all routes.
#[test]
fn a_tick_visits_only_active_routes() {
    let few = active_routes(&mut listed(10));
    assert_eq!(few, active_routes(&mut listed(57_000)));
    assert_eq!(few.last(), Some(&0), "what is over is idle again: {few:?}");
    assert!(
        few.contains(&1) && few.iter().all(|&routes| routes <= 1),
        "{few:?}"
    );
}

/// An idle route saves up no calls beyond its bucket: after a long rest a returning destination still starts slowly.
#[test]
fn an_inactive_route_accumulates_no_extra_tokens() {
    let mut bench = listed(2);
    let Event::Outcome(served) = outcome("first", 0, Status::Served, 10) else {
        return;
    };
    let report = Some(Report {
        left: 1.0,
        limit: 20.0,
    });
    bench.at(10, vec![accept("first", 0, None, 5000)]);
    bench.at(20, vec![Event::Outcome(Outcome { report, ..served })]);
    let probed = |status| Event::HealthChecked {
        endpoint: EndpointId("e1".into()),
        status,
    };
    bench.at(1000, (0..3).map(|_| probed(Status::Error)).collect());
    bench.at(6000, vec![Event::Wake]);
    assert_eq!(bench.sender.active_routes(), 0, "idle, and out");
    bench.at(30_000, vec![Event::Wake]);
    let waiting = |n: u64| accept(&format!("m{n}"), 0, None, 5000);
    let at_once = bench.at(
        30_005,
        [probed(Status::Served)]
            .into_iter()
            .chain((0..4).map(waiting))
            .collect(),
    );
    assert_eq!(sends(&at_once), [], "its bucket is empty as it returns");
    // Two times a fifth of 10/s is 4/s, of which it aims at four fifths.
    assert_eq!(sends(&bench.at(30_400, vec![Event::Wake])).len(), 1);
}
