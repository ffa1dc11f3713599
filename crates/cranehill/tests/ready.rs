//! Restarted processes are ready in time, with a full backlog, 57,000 listed destinations, and discovery up or down.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use common::process::Process;
use common::{Client, config_text, list, put};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;

/// Nine in ten restarted processes answer within this on short days; on others within 10 s.
const READY: Duration = Duration::from_secs(6);
const LISTED: u64 = 57_000;
/// Messages that a sender may hold by its settings, and those that it takes on: it keeps a sixteenth free.
const MOST_HELD: usize = 2048;
const HELD: usize = MOST_HELD - MOST_HELD / 16;
/// Messages submitted at once.
const BATCH: usize = 256;
/// Restarts of each kind of process.
const RESTARTS: usize = 5;
/// Entries of one answer of discovery, within the 64 KiB of a body, and answers before it falls silent.
const CHANGED: u64 = 400;
const ANSWERS: u64 = 20;

/// A list of destinations with one endpoint each, which cannot be reached.
fn rows(version: u64, destinations: std::ops::Range<u64>) -> String {
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

/// Discovery that restates part of the list, in answers that fit one body each.
fn discovery() -> SimulatedServer {
    SimulatedServer::new(|request, _| {
        let from: Option<u64> = request
            .path
            .split_once("from=")
            .and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
        match from {
            _ if request.method == "POST" => Reply::status(204),
            Some(from) if from <= ANSWERS => {
                let changed = rows(from + 1, from * CHANGED..(from + 1) * CHANGED);
                let changed = changed.replace("\"full\":true", "\"full\":false");
                Reply::Bytes(http::write_response(200, "OK", &[], &changed))
            }
            _ => Reply::Silent,
        }
    })
    .expect("discovery")
}

/// Hands in as many messages as the sender takes on, all for a destination that is out.
fn fill(sender: &Process) {
    let mut client = Client::new(sender.clients);
    let names = "c=episode-notice,d=600000,k=5c0f,dest=1";
    let ids: Vec<String> = (0..HELD).map(|number| format!("{number:016x}")).collect();
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

/// Messages that a restarted sender found in its journal.
fn held(sender: &Process) -> usize {
    let started = sender
        .log()
        .into_iter()
        .find(|line| line.contains("started: "))
        .expect("it tells");
    let (_, rest) = started
        .split_once("in the journal, ")
        .expect("it tells what is held");
    rest.split(' ')
        .next()
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

/// The time from the start of a process to its answer to a `PING`.
fn restart(config: &Path, discovery: SocketAddr) -> (Duration, usize) {
    let started = Instant::now();
    let sender = Process::start(config, discovery, 1024);
    let mut client = Client::new(sender.clients);
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
    (started.elapsed(), held(&sender))
}

fn copy_state(from: &Path, to: &Path) {
    std::fs::create_dir(to.join("state")).expect("a folder");
    for file in std::fs::read_dir(from.join("state")).expect("the state") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), to.join("state").join(file.file_name())).expect("copied");
    }
}

#[test]
fn nine_in_ten_restarts_with_a_full_backlog_are_ready_in_time() {
    let text = config_text(&rows(1, 0..LISTED))
        .replace("\"mostHeld\":64", &format!("\"mostHeld\":{MOST_HELD}"))
        .replace("\"deadline\":20000000000", "\"deadline\":600000000000")
        .replace("\"disk_mb\":3", "\"disk_mb\":16");
    let (up, down) = (discovery(), SocketAddr::from(([127, 0, 0, 1], 1)));
    let mut times = Vec::new();
    for discovery in [up.address, down] {
        let folder = tempfile::tempdir().expect("a folder");
        let config = folder.path().join("config.json");
        std::fs::write(&config, &text).expect("configuration");
        let mut sender = Process::start(&config, discovery, 1024);
        fill(&sender);
        sender.kill();
        for _ in 0..RESTARTS {
            // Each restarts from the folder as the kill left it.
            let copy = tempfile::tempdir().expect("a folder");
            copy_state(folder.path(), copy.path());
            let config = copy.path().join("config.json");
            std::fs::write(&config, &text).expect("configuration");
            let (ready, held) = restart(&config, discovery);
            println!("discovery at {discovery}: ready after {ready:?} with {held} messages held");
            // A few may have used up their attempts before the kill.
            assert!(held >= HELD * 9 / 10, "{held} messages held");
            times.push(ready);
        }
    }
    let in_time = times.iter().filter(|time| **time < READY).count();
    assert!(
        in_time * 10 >= times.len() * 9,
        "{in_time} of {} in time: {times:?}",
        times.len()
    );
}
