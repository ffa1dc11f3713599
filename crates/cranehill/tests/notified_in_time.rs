//! A newer endpoint list arrives within 6 s after discovery becomes reachable, however the polls before it failed.

mod common;

use std::time::{Duration, Instant};

use common::{config, list};
use cranehill::simulated_server::{Reply, Seen, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::{ControlCommand, Reactor, ReactorOptions};

/// Limit from the last failed poll until the newer list has been applied.
const LIST_DEADLINE: Duration = Duration::from_secs(6);
/// Wait after which a case fails without a measurement: several times [`LIST_DEADLINE`].
const CASE_TIMEOUT: Duration = Duration::from_secs(40);

/// How the first polls fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PollFailure {
    /// The request is read and never answered.
    Silent,
    /// Answered 503 with a `Retry-After` of 30 s, far beyond [`LIST_DEADLINE`].
    RefusedWithWait,
    /// Answered 503 without `Retry-After`. With 300 senders, pauses shared among them would be long.
    Refused,
    /// The connection is closed without an answer.
    Closed,
}

/// Discovery that fails the first polls and then answers with a newer list.
fn discovery(failure: PollFailure, failures: usize) -> SimulatedServer {
    let newer = list(9, &[]);
    SimulatedServer::new(move |request, number| match failure {
        _ if request.method == "POST" => Reply::status(204),
        _ if request.path.contains("from=9&") => Reply::Silent,
        _ if number >= failures => Reply::Bytes(http::write_response(200, "OK", &[], &newer)),
        PollFailure::Silent => Reply::Silent,
        PollFailure::RefusedWithWait => Reply::wait(503, "30"),
        PollFailure::Refused => Reply::status(503),
        PollFailure::Closed => Reply::Close,
    })
    .expect("discovery")
}

/// The time between the arrival of the last failed poll and that of the watch that continues from the newer list.
fn time_to_newer_list(discovery: &SimulatedServer, failures: usize) -> Duration {
    let end = Instant::now() + CASE_TIMEOUT;
    let continues = |seen: &Seen| seen.request.path.contains("from=9&");
    loop {
        let seen = discovery.seen();
        if let Some(continued) = seen.iter().find(|s| continues(s)) {
            return continued.at - seen[failures - 1].at;
        }
        assert!(
            Instant::now() < end,
            "no watch continued from the newer list: {seen:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Runs one case and returns the time to the newer list. `polled`: lists are polled, else watched. `moved`: a reload moves
/// discovery to the failing server, else it is there from the start.
fn run_case(failure: PollFailure, failures: usize, polled: bool, moved: bool) -> Duration {
    let failing = discovery(failure, failures);
    let old_discovery = SimulatedServer::new(|_, _| Reply::Silent).expect("discovery");
    let first = if moved {
        old_discovery.address
    } else {
        failing.address
    };
    let config = config(&list(4, &[]), first);
    let mut platform_settings = config.platform_settings;
    (
        platform_settings.settings.poll_endpoint_list,
        platform_settings.settings.instances,
    ) = (polled, 300);
    let new_address = failing.address;
    let mut reactor = Reactor::new(ReactorOptions {
        platform_settings,
        seed: config.seed,
        state: None,
        listen: Some(config.listen),
        discovery: Some(first),
        known_version: config.known_version,
        initial_endpoints: config.known,
        fleet: None,
        operator: None,
        web_push: None,
        max_descriptors: 1024,
        memory_bytes: 192_000_000,
        read_config: Some(Box::new(move || Ok(new_address))),
    })
    .expect("the sender starts");
    let stop_handle = reactor.stop_handle().expect("stop handle");
    let mut commands = if moved {
        vec![ControlCommand::Reload]
    } else {
        Vec::new()
    };
    std::thread::scope(|scope| {
        let running = scope.spawn(move || reactor.run(|| std::mem::take(&mut commands)));
        let time_to_newer_list = time_to_newer_list(&failing, failures);
        stop_handle.stop();
        running
            .join()
            .expect("the sender thread does not panic")
            .expect("the sender stops without an error");
        time_to_newer_list
    })
}

#[test]
fn newer_endpoint_list_arrives_in_time_after_failed_polls() {
    let failure_cases = [
        (PollFailure::Silent, 1),
        (PollFailure::RefusedWithWait, 1),
        (PollFailure::Refused, 2),
        (PollFailure::Closed, 3),
    ];
    std::thread::scope(|scope| {
        let mut running_cases = Vec::new();
        for (failure, failures) in failure_cases {
            for (polled, moved) in [(false, false), (false, true), (true, false), (true, true)] {
                let running_case = scope.spawn(move || run_case(failure, failures, polled, moved));
                running_cases.push((
                    format!("{failure:?}, polled: {polled}, moved: {moved}"),
                    running_case,
                ));
            }
        }
        for (case, running_case) in running_cases {
            let time_to_newer_list = running_case.join().expect("the case completes");
            println!("{case}: {time_to_newer_list:?}");
            assert!(
                time_to_newer_list < LIST_DEADLINE,
                "{case}: {time_to_newer_list:?}"
            );
        }
    });
}
