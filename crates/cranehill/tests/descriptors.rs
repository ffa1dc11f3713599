//! Idle clients use all descriptors that the sender gives to clients while discovery is down.

mod common;

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::process::Process;
use common::{Client, config_text, list, wait_until};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;

/// The limit of open descriptors of the process, also stated in its configuration.
const DESCRIPTORS: usize = 256;
/// Idle clients, more than there are descriptors.
const IDLE_CLIENTS: usize = 400;
/// Destinations; each has its own endpoint and so its own connection.
const DESTINATIONS: u64 = 10;
/// A destination that only the newer endpoint list has.
const NEW_DESTINATION: u64 = 99;

/// Keeps connections open that send nothing, and replaces each that the sender closes, until `stop` is set.
fn idle_clients(to: SocketAddr, stop: &AtomicBool) {
    let mut clients: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let open = |client: &mut TcpStream| matches!(client.read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        clients.retain_mut(open);
        while clients.len() < IDLE_CLIENTS {
            let Ok(client) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                break;
            };
            client.set_nonblocking(true).expect("socket option set");
            clients.push(client);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Metadata argument of `MSG.PUT`: class, remaining time in milliseconds, idempotency key and destination.
fn metadata(destination: u64) -> String {
    format!("c=episode-notice,d=20000,k=5c0f,dest={destination}")
}

/// Submits one message for each destination, each over a new connection; every message must be accepted and delivered.
fn submit_and_expect_delivery(
    sender: &Process,
    endpoint: &SimulatedServer,
    round: &str,
    destinations: impl Iterator<Item = u64>,
) {
    for destination in destinations {
        let body = format!("{round}-{destination}");
        let mut client = Client::new(sender.clients);
        assert_eq!(
            client.put(&body, &metadata(destination), body.as_bytes()),
            "+OK",
            "{:?}",
            sender.log()
        );
        wait_until(&format!("{body} is delivered"), || {
            endpoint
                .seen()
                .iter()
                .any(|seen| seen.request.body == body.as_bytes())
        });
    }
}

/// Discovery that fails until `is_up` is set and then answers with the list `newer`.
fn discovery(is_up: Arc<AtomicBool>, newer: String) -> SimulatedServer {
    SimulatedServer::new(move |request, number| {
        match (is_up.load(Ordering::Relaxed), number % 2) {
            _ if request.method == "POST" => Reply::status(204),
            _ if request.path.contains("from=9&") => Reply::Silent,
            (true, _) => Reply::Bytes(http::write_response(200, "OK", &[], &newer)),
            // While down, it closes every second connection and leaves the others unanswered.
            (false, 0) => Reply::Close,
            (false, _) => Reply::Silent,
        }
    })
    .expect("discovery")
}

#[test]
fn discovery_and_delivery_continue_while_idle_clients_hold_all_descriptors() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let endpoint = SimulatedServer::new(|_, _| Reply::status(200)).expect("endpoints");
    let names: Vec<String> = (0..=DESTINATIONS).map(|d| format!("e{d}")).collect();
    let row = |d: u64| (names[d as usize].as_str(), endpoint.address, d, "station");
    let known = list(4, &(0..DESTINATIONS).map(row).collect::<Vec<_>>());
    let (_, _, _, kind) = row(0);
    let newer = list(9, &[("new", endpoint.address, NEW_DESTINATION, kind)])
        .replace("\"full\":true", "\"full\":false");
    let up = Arc::new(AtomicBool::new(false));
    let discovery = discovery(up.clone(), newer);
    let config = folder.path().join("config.json");
    let text =
        config_text(&known).replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}"));
    std::fs::write(&config, text).expect("configuration");
    let sender = Process::start(&config, discovery.address, DESCRIPTORS);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        // Stops the idle clients also if an assertion fails; otherwise the scope would never end.
        let _stop = StopAtEnd(&stop);
        scope.spawn(|| idle_clients(sender.clients, &stop));
        wait_until("idle clients hold all places", || {
            sender
                .log()
                .iter()
                .any(|line| line.contains("places taken"))
        });
        submit_and_expect_delivery(&sender, &endpoint, "down", 0..DESTINATIONS);
        let requests_before = discovery.seen().len();
        wait_until("discovery is polled while it is down", || {
            discovery.seen().len() > requests_before
        });
        up.store(true, Ordering::Relaxed);
        let since = Instant::now();
        wait_until("discovery is reached again", || {
            discovery
                .seen()
                .iter()
                .any(|seen| seen.request.path.contains("from=9&"))
        });
        println!(
            "the new list was applied {:?} after discovery was up",
            since.elapsed()
        );
        submit_and_expect_delivery(
            &sender,
            &endpoint,
            "up",
            (0..DESTINATIONS).chain([NEW_DESTINATION]),
        );
        assert!(sender.descriptors() <= DESCRIPTORS);
    });
    // Neither the journal nor connections to endpoints or discovery lacked a descriptor.
    let descriptor_error =
        |line: &&String| line.contains("Too many open files") || line.contains("journal: of ");
    assert_eq!(sender.log().iter().find(descriptor_error), None);
}

/// Sets the flag when dropped.
struct StopAtEnd<'a>(&'a AtomicBool);

impl Drop for StopAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
