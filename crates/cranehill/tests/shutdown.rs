//! Shutdown on SIGTERM: clients that go on sending requests get an answer to each one that was read.

mod common;

use std::time::{Duration, Instant};

use common::process::Process;
use common::{Client, config_text, list, platform, put, wait_until};
use cranehill::simulated_server::{Reply, SimulatedServer};

/// Requests that the client sends at once: more than are answered in the time between two checks of the shutdown.
const PIPELINED_REQUESTS: usize = 64;

/// Sends pipelined requests to a sender that is stopped (SIGSTOP) in its shutdown, from just after SIGTERM until `resumed_after`.
/// Returns the lines that the client then receives, up to the end of its connection.
fn answers_across_shutdown(resumed_after: Duration) -> Vec<String> {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let destination = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let platform = platform();
    let config = folder.path().join("config.json");
    let known = list(1, &[("a", destination.address, 7, "station")]);
    std::fs::write(&config, config_text(&known)).expect("configuration written");
    let process = Process::start(&config, platform.address, 1024);
    let mut client = Client::new(process.clients);
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
    process.signal("-TERM");
    wait_until("the shutdown begins", || {
        process.log().iter().any(|l| l.contains("shutting down"))
    });
    let begun = Instant::now();
    process.signal("-STOP");
    let metadata = "c=episode-notice,t=onda-central,d=10000,k=aa,dest=7";
    let requests: Vec<u8> = (0..PIPELINED_REQUESTS)
        .flat_map(|n| put(&format!("m{n}"), metadata, b"x"))
        .collect();
    client.send(&requests);
    std::thread::sleep(resumed_after.saturating_sub(begun.elapsed()));
    process.signal("-CONT");
    let mut lines = Vec::new();
    while lines
        .last()
        .is_none_or(|line: &String| !line.ends_with('>'))
    {
        lines.push(client.line());
    }
    lines
}

fn assert_all_answered(lines: &[String]) {
    let (end, answers) = lines.split_last().expect("the connection ends");
    assert_eq!(
        answers.len(),
        PIPELINED_REQUESTS,
        "requests answered before the connection ended"
    );
    assert!(
        answers.iter().all(|line| line == "+OK" || line == "-BUSY"),
        "{answers:?}"
    );
    assert_eq!(end, "<end>", "the connection is closed, not reset");
}

/// Guards requests that wait in the input of their connection when nothing else is left to do: the process once ended then.
#[test]
fn pipelined_requests_are_answered_before_the_process_ends() {
    // Sending has stopped (2.6 s), and the process may end as soon as it is idle.
    assert_all_answered(&answers_across_shutdown(Duration::from_millis(2700)));
}

/// Guards requests that are read in the last iteration of the event loop, when the time for the shutdown has passed.
#[test]
fn pipelined_requests_are_answered_at_the_end_of_the_shutdown() {
    // The process ends at its next check (3.4 s), whatever is left to do.
    assert_all_answered(&answers_across_shutdown(Duration::from_millis(3500)));
}
