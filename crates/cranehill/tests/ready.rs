//! Restarted processes are ready in time with a full backlog and 57,000 listed destinations, with discovery reachable or not.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use common::process::Process;
use common::{Client, config_text, list, put};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;

/// The limit for nine in ten restarts in short scenarios; in others it is 10 s.
const READY_LIMIT: Duration = Duration::from_secs(6);
/// Destinations in the initial endpoint list.
const DESTINATIONS: u64 = 57_000;
/// Messages that a sender may hold by its settings (`mostHeld`), and how many it accepts: it keeps a sixteenth free.
const MAX_MESSAGES: usize = 2048;
const ACCEPTED_MESSAGES: usize = MAX_MESSAGES - MAX_MESSAGES / 16;
/// Messages submitted before their answers are read.
const BATCH: usize = 256;
/// Restarts with discovery reachable, and as many with it unreachable.
const RESTARTS: usize = 5;
/// Entries in each answer of discovery, which fits the 64 KiB limit of a body, and the number of answers before it stops
/// answering.
const ENTRIES_PER_ANSWER: u64 = 400;
const ANSWERS: u64 = 20;

/// A full list of destinations with one unreachable endpoint each.
fn destination_list(version: u64, destinations: std::ops::Range<u64>) -> String {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let ids: Vec<String> = destinations
        .clone()
        .map(|d| format!("endpoint-{d}"))
        .collect();
    let row = |(id, d)| (String::as_str(id), address, d, "station");
    list(
        version,
        &ids.iter().zip(destinations).map(row).collect::<Vec<_>>(),
    )
}

/// Discovery that lists a part of the destinations again in each answer.
fn discovery() -> SimulatedServer {
    SimulatedServer::new(|request, _| {
        let from: Option<u64> = request
            .path
            .split_once("from=")
            .and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
        match from {
            _ if request.method == "POST" => Reply::status(204),
            Some(from) if from <= ANSWERS => {
                let changed = destination_list(
                    from + 1,
                    from * ENTRIES_PER_ANSWER..(from + 1) * ENTRIES_PER_ANSWER,
                );
                let changed = changed.replace("\"full\":true", "\"full\":false");
                Reply::Bytes(http::write_response(200, "OK", &[], &changed))
            }
            _ => Reply::Silent,
        }
    })
    .expect("discovery")
}

/// Submits as many messages as the sender accepts, all for an unreachable destination.
fn fill_backlog(sender: &Process) {
    let mut client = Client::new(sender.clients);
    let names = "c=episode-notice,d=600000,k=5c0f,dest=1";
    let ids: Vec<String> = (0..ACCEPTED_MESSAGES)
        .map(|number| format!("{number:016x}"))
        .collect();
    for batch in ids.chunks(BATCH) {
        let requests: Vec<u8> = batch
            .iter()
            .flat_map(|id| put(id, names, &[b'x'; 256]))
            .collect();
        client.send(&requests);
        batch
            .iter()
            .for_each(|id| assert_eq!(client.line(), "+OK", "{id}"));
    }
}

/// The number of messages that a restarted sender has restored from its journal, by its log.
fn restored_messages(sender: &Process) -> usize {
    let started = sender
        .log()
        .into_iter()
        .find(|line| line.contains("started: "))
        .expect("a 'started' line in the log");
    let (_, rest) = started
        .split_once("in the journal, ")
        .expect("the number of restored messages");
    rest.split(' ')
        .next()
        .and_then(|number| number.parse().ok())
        .expect("a number of restored messages")
}

/// Starts a process; returns the time until it answers a `PING` and the number of restored messages.
fn restart(config: &Path, discovery: SocketAddr) -> (Duration, usize) {
    let started = Instant::now();
    let sender = Process::start(config, discovery, 1024);
    let mut client = Client::new(sender.clients);
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
    (started.elapsed(), restored_messages(&sender))
}

/// Copies the state folder of the folder `from` to the folder `to`.
fn copy_state(from: &Path, to: &Path) {
    std::fs::create_dir(to.join("state")).expect("state folder created");
    for file in std::fs::read_dir(from.join("state")).expect("state folder read") {
        let file = file.expect("folder entry read");
        std::fs::copy(file.path(), to.join("state").join(file.file_name())).expect("file copied");
    }
}

#[test]
fn nine_in_ten_restarts_with_a_full_backlog_are_ready_in_time() {
    let text = config_text(&destination_list(1, 0..DESTINATIONS))
        .replace("\"mostHeld\":64", &format!("\"mostHeld\":{MAX_MESSAGES}"))
        .replace("\"deadline\":20000000000", "\"deadline\":600000000000")
        .replace("\"disk_mb\":3", "\"disk_mb\":16");
    let (reachable, unreachable) = (discovery(), SocketAddr::from(([127, 0, 0, 1], 1)));
    let mut times = Vec::new();
    for discovery in [reachable.address, unreachable] {
        let folder = tempfile::tempdir().expect("temporary folder created");
        let config = folder.path().join("config.json");
        std::fs::write(&config, &text).expect("configuration");
        let mut sender = Process::start(&config, discovery, 1024);
        fill_backlog(&sender);
        sender.kill();
        for _ in 0..RESTARTS {
            // Each restart uses a copy of the folder as the kill left it.
            let copy = tempfile::tempdir().expect("temporary folder created");
            copy_state(folder.path(), copy.path());
            let config = copy.path().join("config.json");
            std::fs::write(&config, &text).expect("configuration");
            let (ready, restored) = restart(&config, discovery);
            println!(
                "discovery at {discovery}: ready after {ready:?} with {restored} messages restored"
            );
            // A few messages may have used all their attempts before the kill.
            assert!(
                restored >= ACCEPTED_MESSAGES * 9 / 10,
                "{restored} messages restored"
            );
            times.push(ready);
        }
    }
    let in_time = times.iter().filter(|time| **time < READY_LIMIT).count();
    assert!(
        in_time * 10 >= times.len() * 9,
        "{in_time} of {} in time: {times:?}",
        times.len()
    );
}
