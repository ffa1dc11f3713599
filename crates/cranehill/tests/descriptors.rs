//! Idle clients hold all descriptors that they can get while discovery is down.

mod common;

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::process::Process;
use common::{Client, config_text, list, soon};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;

/// Descriptors that the process may open, and that its configuration names.
const DESCRIPTORS: usize = 256;
/// Idle clients: more than it has descriptors.
const IDLE: usize = 400;
/// Destinations, each with an endpoint and so with a connection of its own.
const DESTINATIONS: u64 = 10;
const NEW_DESTINATION: u64 = 99;

/// Clients that connect and ask nothing, and come again as soon as they are closed, until told to stop.
fn idle_clients(to: SocketAddr, stop: &AtomicBool) {
    let mut clients: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let open = |client: &mut TcpStream| matches!(client.read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        clients.retain_mut(open);
        while clients.len() < IDLE {
            let Ok(client) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                break;
            };
            client.set_nonblocking(true).expect("set");
            clients.push(client);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn names(destination: u64) -> String {
    format!("c=episode-notice,d=20000,k=5c0f,dest={destination}")
}

/// Hands one message in for each destination, each over a connection of its own; it must be accepted and delivered.
fn work(
    sender: &Process,
    endpoint: &SimulatedServer,
    round: &str,
    destinations: impl Iterator<Item = u64>,
) {
    for destination in destinations {
        let body = format!("{round}-{destination}");
        let mut client = Client::new(sender.clients);
        assert_eq!(
            client.put(&body, &names(destination), body.as_bytes()),
            "+OK",
            "{:?}",
            sender.log()
        );
        soon(&format!("{body} is delivered"), || {
            endpoint
                .seen()
                .iter()
                .any(|seen| seen.request.body == body.as_bytes())
        });
    }
}

/// Discovery that answers with `newer` once it is up.
fn discovery(is_up: Arc<AtomicBool>, newer: String) -> SimulatedServer {
    SimulatedServer::new(move |request, number| {
        match (is_up.load(Ordering::Relaxed), number % 2) {
            _ if request.method == "POST" => Reply::status(204),
            _ if request.path.contains("from=9&") => Reply::Silent,
            (true, _) => Reply::Bytes(http::write_response(200, "OK", &[], &newer)),
            // Some connections end, some stay silent.
            (false, 0) => Reply::Close,
            (false, _) => Reply::Silent,
        }
    })
    .expect("discovery")
}

#[test]
fn discovery_and_delivery_continue_while_idle_clients_hold_all_descriptors() {
    let folder = tempfile::tempdir().expect("a folder");
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
        // Also where an assertion fails, so that the scope ends.
        let _stop = StopAtEnd(&stop);
        scope.spawn(|| idle_clients(sender.clients, &stop));
        soon("idle clients take all places", || {
            sender
                .log()
                .iter()
                .any(|line| line.contains("places taken"))
        });
        work(&sender, &endpoint, "down", 0..DESTINATIONS);
        let asked = discovery.seen().len();
        soon("discovery is asked while it is down", || {
            discovery.seen().len() > asked
        });
        up.store(true, Ordering::Relaxed);
        let since = Instant::now();
        soon("discovery is reached again", || {
            discovery
                .seen()
                .iter()
                .any(|seen| seen.request.path.contains("from=9&"))
        });
        println!(
            "the new list was taken {:?} after discovery was up",
            since.elapsed()
        );
        work(
            &sender,
            &endpoint,
            "up",
            (0..DESTINATIONS).chain([NEW_DESTINATION]),
        );
        assert!(sender.descriptors() <= DESCRIPTORS);
    });
    // Nobody was kept from a descriptor: neither the journal, nor connections to endpoints or discovery.
    let lacking =
        |line: &&String| line.contains("Too many open files") || line.contains("journal: of ");
    assert_eq!(sender.log().iter().find(lacking), None);
}

/// Sets its flag when it is dropped.
struct StopAtEnd<'a>(&'a AtomicBool);

impl Drop for StopAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
