//! What discovery has to tell is here within 6 s of when it could be reached, whatever became of the call before.

mod common;

use std::time::{Duration, Instant};

use common::{config, list};
use cranehill::simulated_server::{Reply, Seen, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::{ControlCommand, Reactor, ReactorOptions};

/// A change counts as told so long after discovery had it and could be reached.
const NOTIFIED: Duration = Duration::from_secs(6);
/// Longer than all that a play takes: several times [`NOTIFIED`].
const STUCK: Duration = Duration::from_secs(40);

/// What becomes of the first calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DeliveryOutcome {
    /// Accepted, and never answered.
    Silent,
    /// Answered 503 with a wait far beyond what counts.
    RefusedWithWait,
    /// Answered 503, where so many senders share the pauses that they would be long.
    Refused,
    /// Closed without an answer.
    Closed,
}

/// Discovery that fails its first calls and then has a newer list.
fn discovery(outcome: DeliveryOutcome, failures: usize) -> SimulatedServer {
    let newer = list(9, &[]);
    SimulatedServer::new(move |request, number| match outcome {
        _ if request.method == "POST" => Reply::status(204),
        _ if request.path.contains("from=9&") => Reply::Silent,
        _ if number >= failures => Reply::Bytes(http::write_response(200, "OK", &[], &newer)),
        DeliveryOutcome::Silent => Reply::Silent,
        DeliveryOutcome::RefusedWithWait => Reply::wait(503, "30"),
        DeliveryOutcome::Refused => Reply::status(503),
        DeliveryOutcome::Closed => Reply::Close,
    })
    .expect("discovery")
}

/// From when the last call that failed arrived until the watch that continues from the newer list does.
fn taken(discovery: &SimulatedServer, failures: usize) -> Duration {
    let end = Instant::now() + STUCK;
    let continues = |seen: &Seen| seen.request.path.contains("from=9&");
    loop {
        let seen = discovery.seen();
        if let Some(continued) = seen.iter().find(|s| continues(s)) {
            return continued.at - seen[failures - 1].at;
        }
        assert!(
            Instant::now() < end,
            "the newer list was not asked for: {seen:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Plays one case: with lists pushed or asked for, and from the start or after a SIGHUP that moves discovery.
fn play(outcome: DeliveryOutcome, failures: usize, asked_for: bool, moved: bool) -> Duration {
    let failing = discovery(outcome, failures);
    let before = SimulatedServer::new(|_, _| Reply::Silent).expect("discovery");
    let first = if moved {
        before.address
    } else {
        failing.address
    };
    let config = config(&list(4, &[]), first);
    let mut platform_settings = config.platform_settings;
    (
        platform_settings.settings.ask_for_list,
        platform_settings.settings.instances,
    ) = (asked_for, 300);
    let now_at = failing.address;
    let mut reactor = Reactor::new(ReactorOptions {
        platform_settings,
        seed: config.seed,
        state: None,
        listen: Some(config.listen),
        discovery: Some(first),
        known_version: config.known_version,
        known: config.known,
        fleet: None,
        operator: None,
        push: None,
        sockets: 1024,
        memory: 192_000_000,
        read_config: Some(Box::new(move || Ok(now_at))),
    })
    .expect("the sender starts");
    let stop_handle = reactor.stop_handle().expect("halter");
    let mut orders = if moved {
        vec![ControlCommand::Reload]
    } else {
        Vec::new()
    };
    std::thread::scope(|scope| {
        let running = scope.spawn(move || reactor.run(|| std::mem::take(&mut orders)));
        let taken = taken(&failing, failures);
        stop_handle.stop();
        running.join().expect("it runs").expect("it ends");
        taken
    })
}

#[test]
fn newer_endpoint_list_arrives_in_time_after_failed_polls() {
    let outcomes = [
        (DeliveryOutcome::Silent, 1),
        (DeliveryOutcome::RefusedWithWait, 1),
        (DeliveryOutcome::Refused, 2),
        (DeliveryOutcome::Closed, 3),
    ];
    std::thread::scope(|scope| {
        let mut plays = Vec::new();
        for (outcome, failures) in outcomes {
            for (asked_for, moved) in [(false, false), (false, true), (true, false), (true, true)] {
                let played = scope.spawn(move || play(outcome, failures, asked_for, moved));
                plays.push((
                    format!("{outcome:?}, asked for: {asked_for}, moved: {moved}"),
                    played,
                ));
            }
        }
        for (what, played) in plays {
            let taken = played.join().expect("played");
            println!("{what}: {taken:?}");
            assert!(taken < NOTIFIED, "{what}: {taken:?}");
        }
    });
}
