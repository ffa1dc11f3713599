//! The discovery watch against a simulated server that fails.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::{Client, TIMEOUT, list, start};
use cranehill::simulated_server::{Reply, SimulatedServer};

const NAMES: &str = "c=episode-notice,d=20000,k=5c0f,dest=7";

fn body(text: &str) -> Reply {
    Reply::Bytes(
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )
        .into_bytes(),
    )
}

/// Waits for a watch for changes since `version`; false if none arrives in time.
fn watches_from(platform: &SimulatedServer, version: u64) -> bool {
    let query = format!("from={version}&");
    let is_requested = || {
        platform
            .seen()
            .iter()
            .any(|s| s.request.path.contains(&query))
    };
    let until = Instant::now() + TIMEOUT;
    while !is_requested() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    is_requested()
}

#[test]
fn last_endpoint_list_is_kept_while_discovery_fails() {
    let old = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let new = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let next = list(9, &[("b", new.address, 7, "station")]);
    // Stage 0: several kinds of errors. Stage 1: the new list, then no answer to the watch that continues from it.
    let stage = Arc::new(AtomicUsize::new(0));
    let at = stage.clone();
    let platform = SimulatedServer::new(move |request, number| {
        if request.method == "POST" {
            return Reply::status(204);
        }
        match (at.load(Ordering::Relaxed), number % 4) {
            (0, 0) => Reply::status(500),
            (0, 1) => Reply::Close,
            (0, 2) => body("{not a list"),
            (0, _) => Reply::status(503),
            (_, _) if request.path.contains("from=9&") => Reply::Silent,
            _ => body(&next),
        }
    })
    .expect("platform");
    let known = list(4, &[("a", old.address, 7, "station")]);
    let sender = start(&known, &platform);
    let mut client = Client::new(sender.clients);
    assert!(platform.wait_for(5, TIMEOUT), "failed polls are repeated");
    assert_eq!(client.put("m1", NAMES, b"one"), "+OK");
    assert!(old.wait_for(1, TIMEOUT), "the last list is kept");
    stage.store(1, Ordering::Relaxed);
    assert!(
        watches_from(&platform, 9),
        "the next watch continues from the new list"
    );
    assert_eq!(client.put("m2", NAMES, b"two"), "+OK");
    assert!(new.wait_for(1, TIMEOUT), "the new list is used");
    assert_eq!(old.seen().len(), 1);
    let first = &platform.seen()[0].request.path;
    assert!(
        first.starts_with("/v1/endpoints?from=4&hold_ms="),
        "{first}"
    );
}

#[test]
fn discovery_that_holds_no_watch_is_not_polled_in_a_tight_loop() {
    let same = list(4, &[]).replace("\"full\":true", "\"full\":false");
    // Every second answer also closes its connection.
    let closing_response = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{same}",
        same.len()
    );
    let platform = SimulatedServer::new(move |_, number| match number % 2 {
        0 => body(&same),
        _ => Reply::Bytes(closing_response.clone().into_bytes()),
    })
    .expect("platform");
    let _sender = start(&list(4, &[]), &platform);
    assert!(platform.wait_for(4, TIMEOUT));
    let seen = platform.seen();
    for pair in seen.windows(2) {
        assert!(
            pair[1].at - pair[0].at >= Duration::from_millis(90),
            "{seen:?}"
        );
    }
}

/// Guards a full list of the planned size: it arrives over the watch, and a message for its last destination is delivered.
#[test]
fn endpoint_list_of_the_planned_size_is_read() {
    const DESTINATIONS: usize = 57_000;
    let destination = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination");
    let at = destination.address;
    let ids: Vec<String> = (0..DESTINATIONS).map(|n| format!("s-{n:08x}")).collect();
    let rows: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| (id.as_str(), at, n as u64, "station"))
        .collect();
    let next = list(9, &rows);
    let platform = SimulatedServer::new(move |request, _| {
        match (request.method.as_str(), request.path.contains("from=9&")) {
            ("POST", _) => Reply::status(204),
            (_, true) => Reply::Silent,
            _ => body(&next),
        }
    })
    .expect("platform");
    let sender = start(&list(4, &[]), &platform);
    assert!(
        watches_from(&platform, 9),
        "the next watch continues from the full list"
    );
    let mut client = Client::new(sender.clients);
    let last = format!("c=episode-notice,d=20000,k=5c0f,dest={}", DESTINATIONS - 1);
    assert_eq!(client.put("m1", &last, b"one"), "+OK");
    assert!(
        destination.wait_for(1, TIMEOUT),
        "the last listed destination receives its message"
    );
}
