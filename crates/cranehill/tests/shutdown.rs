//! Shutdown on SIGTERM: each request that was read is answered, and what is left is in the journal.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::process::Process;
use common::{
    Client, TIMEOUT, full_listener, list, platform, put, reports, silent_destination, wait_until,
};
use cranehill::simulated_server::{Reply, SimulatedServer};

/// Metadata argument of `MSG.PUT`: class, tenant, remaining time in milliseconds, idempotency key and destination.
const METADATA: &str = "c=episode-notice,t=onda-central,d=20000,k=5c0f,dest=7";
/// Requests that the client sends at once: more than are answered in the time between two checks of the shutdown.
const PIPELINED_REQUESTS: usize = 64;

/// Sends pipelined requests to a sender that is stopped (SIGSTOP) in its shutdown, from just after SIGTERM until `resumed_after`.
/// Returns the lines that the client then receives, up to the end of its connection.
fn answers_across_shutdown(resumed_after: Duration) -> Vec<String> {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let destination = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let process = Process::start_in(folder.path(), &known, &platform);
    let mut client = Client::new(process.clients);
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
    process.signal("-TERM");
    wait_until("the shutdown begins", || {
        process.log().iter().any(|l| l.contains("shutting down"))
    });
    let begun = Instant::now();
    process.signal("-STOP");
    let requests: Vec<u8> = (0..PIPELINED_REQUESTS)
        .flat_map(|n| put(&format!("m{n}"), METADATA, b"x"))
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

#[test]
fn sigterm_drains_and_exits_with_the_rest_in_the_journal() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let folder = folder.path();
    let (destination, open) = silent_destination();
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let mut first = Process::start_in(folder, &known, &platform);
    let mut client = Client::new(first.clients);
    assert_eq!(client.put("m1", METADATA, b"one"), "+OK");
    // A request that began before the signal is answered.
    let mut late = Client::new(first.clients);
    let request = put("m2", METADATA, b"two");
    late.send(&request[..40]);
    assert_eq!(
        client.put("m1", METADATA, b"one"),
        "+OK",
        "a repeated submission is accepted"
    );
    first.signal("-TERM");
    late.send(&request[40..]);
    assert_eq!(late.line(), "+OK");
    assert!(first.child.wait().expect("process ends").success());
    open.store(true, Ordering::Relaxed);
    let seen = destination.seen().len();
    let _second = Process::start_in(folder, &known, &platform);
    assert!(
        destination.wait_for(seen + 2, TIMEOUT),
        "the next process delivers both messages"
    );
    let mut after: Vec<Vec<u8>> = destination.seen()[seen..]
        .iter()
        .map(|s| s.request.body.clone())
        .collect();
    after.sort();
    assert_eq!(after, [b"one", b"two"]);
}

/// Starts a sender that serves only Web Push, with a push service at each address: the first at `/push/0/`, and so on.
fn start_push_only(folder: &Path, services: &[SocketAddr]) -> Process {
    let file = folder.join("webpush.toml");
    let mut text = "listen = \"127.0.0.1:0\"\n".to_owned();
    for (n, address) in services.iter().enumerate() {
        text.push_str(&format!(
            "[[upstream]]\nname = \"s{n}\"\n[[upstream.server]]\naddress = \"{address}\"\n[[location]]\npath = \"/push/{n}/\"\nupstream = \"s{n}\"\n"
        ));
    }
    std::fs::write(&file, text).expect("file written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranehill"));
    command
        .args(["serve", "--webpush"])
        .arg(&file)
        .env_remove("NODE_CONFIG");
    Process::start_command(command, "listening for Web Push at ")
}

/// Guards posts whose attempt is out when the process ends: one that may have been shown was once answered like one that was not
/// taken, and shown again when it was submitted again as told (review/6). One that was certainly not sent is offered again.
#[test]
fn post_in_flight_at_shutdown_is_not_offered_again() {
    let silent = SimulatedServer::new(|_, _| Reply::Silent).expect("service");
    let (unreachable, _queued) = full_listener();
    let unreachable = unreachable.local_addr().expect("an address");
    let folder = tempfile::tempdir().expect("temporary folder created");
    let mut process = start_push_only(folder.path(), &[silent.address, unreachable]);
    let mut shown = Client::new(process.clients);
    let mut unsent = Client::new(process.clients);
    let post = |service: usize| {
        format!("POST /push/{service}/a HTTP/1.1\r\nTTL: 60\r\nContent-Length: 1\r\n\r\nx")
    };
    unsent.send(post(1).as_bytes());
    shown.send(post(0).as_bytes());
    assert!(silent.wait_for(1, TIMEOUT));
    process.signal("-TERM");
    assert_eq!(shown.line(), "HTTP/1.1 504 Gateway Timeout");
    assert_eq!(unsent.line(), "HTTP/1.1 503 Service Unavailable");
    assert_eq!(unsent.line(), "Retry-After: 5");
    assert!(process.child.wait().expect("process ends").success());
}

#[test]
fn push_only_sender_answers_waiting_clients_on_shutdown() {
    let service = SimulatedServer::new(|_, _| Reply::Silent).expect("service");
    let folder = tempfile::tempdir().expect("temporary folder created");
    let mut process = start_push_only(folder.path(), &[service.address]);
    let mut client = Client::new(process.clients);
    // The second request is read, but not processed before the first one ends.
    let request = "POST /push/0/a HTTP/1.1\r\nTTL: 20\r\nTopic: t\r\nContent-Length: 1\r\n\r\nx";
    client.send(request.repeat(2).as_bytes());
    assert!(service.wait_for(1, TIMEOUT));
    process.signal("-TERM");
    assert_eq!(client.line(), "HTTP/1.1 503 Service Unavailable");
    assert_eq!(client.line(), "Retry-After: 5");
    // The next response begins behind the body of the first, which ends without CR LF.
    let second = std::iter::repeat_with(|| client.line())
        .take_while(|line| !line.ends_with('>'))
        .filter(|line| line.ends_with("HTTP/1.1 503 Service Unavailable"))
        .count();
    assert_eq!(second, 1, "the pipelined request is answered as well");
    assert!(process.child.wait().expect("process ends").success());
}

/// Guards shutdown against repeated signals and a reload in between, while the endpoint hangs and the platform acknowledges no
/// report: the process exits by itself, and the next one delivers the pending message and the report.
#[test]
fn repeated_signals_during_shutdown_change_nothing() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let folder = folder.path();
    let (destination, open) = silent_destination();
    let rejects = SimulatedServer::new(|_, _| Reply::status(400)).expect("destination server");
    let silent = SimulatedServer::new(|_, _| Reply::Silent).expect("platform");
    let known = list(
        1,
        &[
            ("a", destination.address, 7, "station"),
            ("r", rejects.address, 8, "station"),
        ],
    );
    let mut first = Process::start_in(folder, &known, &silent);
    let mut client = Client::new(first.clients);
    assert_eq!(client.put("m1", METADATA, b"one"), "+OK");
    assert_eq!(
        client.put("m2", &METADATA.replace("dest=7", "dest=8"), b"two"),
        "+OK"
    );
    wait_until("a report is sent", || !reports(&silent).is_empty());
    for signal in ["-TERM", "-HUP", "-TERM"] {
        first.signal(signal);
    }
    assert!(first.child.wait().expect("process ends").success());
    let log = first.complete_log();
    let stopped = log
        .iter()
        .find(|l| l.contains("stopped:"))
        .expect("a 'stopped' line in the log");
    assert!(
        stopped.contains(" 1 messages and 1 final reports"),
        "{stopped}"
    );
    open.store(true, Ordering::Relaxed);
    let before = destination.seen().len();
    let platform = platform();
    let _second = Process::start_in(folder, &known, &platform);
    assert!(
        destination.wait_for(before + 1, TIMEOUT),
        "the pending message"
    );
    wait_until("the pending report", || {
        reports(&platform)
            .iter()
            .any(|r| r.contains(r#""id":"m2","state":"failed""#))
    });
}
