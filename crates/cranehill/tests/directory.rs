//! The watch on the endpoint list while discovery, a simulated server, fails or sends a large list.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Client, TIMEOUT, list, start};
use cranehill::simulated_server::{Reply, SimulatedServer};

/// Metadata argument of `MSG.PUT`: class, remaining time in milliseconds, idempotency key and destination.
const METADATA: &str = "c=episode-notice,d=20000,k=5c0f,dest=7";

/// A 200 response with this body.
fn ok_response(text: &str) -> Reply {
    Reply::Bytes(
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )
        .into_bytes(),
    )
}

/// Waits until discovery has received a watch that continues from `version` of the list; false if none arrives within
/// [`TIMEOUT`].
fn receives_watch_from(platform: &SimulatedServer, version: u64) -> bool {
    let query = format!("from={version}&");
    let is_received = || {
        platform
            .seen()
            .iter()
            .any(|seen| seen.request.path.contains(&query))
    };
    let deadline = Instant::now() + TIMEOUT;
    while !is_received() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    is_received()
}

#[test]
fn last_endpoint_list_is_kept_while_discovery_fails() {
    let old_destination =
        SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let new_destination =
        SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let new_list = list(9, &[("b", new_destination.address, 7, "station")]);
    // Until `recovered` is set, each request fails in one of four ways. Afterwards discovery sends the new list, and does not
    // answer the watch that continues from it.
    let recovered = Arc::new(AtomicBool::new(false));
    let discovery_recovered = recovered.clone();
    let platform = SimulatedServer::new(move |request, number| {
        if request.method == "POST" {
            return Reply::status(204);
        }
        match (discovery_recovered.load(Ordering::Relaxed), number % 4) {
            (false, 0) => Reply::status(500),
            (false, 1) => Reply::Close,
            (false, 2) => ok_response("{not a list"),
            (false, _) => Reply::status(503),
            (true, _) if request.path.contains("from=9&") => Reply::Silent,
            (true, _) => ok_response(&new_list),
        }
    })
    .expect("platform");
    let known = list(4, &[("a", old_destination.address, 7, "station")]);
    let sender = start(&known, &platform);
    let mut client = Client::new(sender.clients);
    assert!(
        platform.wait_for(5, TIMEOUT),
        "failed requests are repeated"
    );
    assert_eq!(client.put("m1", METADATA, b"one"), "+OK");
    assert!(
        old_destination.wait_for(1, TIMEOUT),
        "the last list is kept"
    );
    recovered.store(true, Ordering::Relaxed);
    assert!(
        receives_watch_from(&platform, 9),
        "the next watch continues from the new list"
    );
    assert_eq!(client.put("m2", METADATA, b"two"), "+OK");
    assert!(new_destination.wait_for(1, TIMEOUT), "the new list is used");
    assert_eq!(old_destination.seen().len(), 1);
    let first_path = &platform.seen()[0].request.path;
    assert!(
        first_path.starts_with("/v1/endpoints?from=4&hold_ms="),
        "{first_path}"
    );
}

/// Guards a discovery that has started anew at its address, with lower versions: it was taken for the old one, so that changes
/// which only the new one knows were never told, and messages went by the old list.
#[test]
fn discovery_that_started_anew_is_asked_for_the_whole_list() {
    let old_destination =
        SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let new_destination =
        SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let unchanged = list(5, &[]).replace("\"full\":true", "\"full\":false");
    let new_list = list(5, &[("b", new_destination.address, 7, "station")]);
    let list_sent = Arc::new(AtomicBool::new(false));
    let sent = list_sent.clone();
    let platform = SimulatedServer::new(move |request, _| match request.path.as_str() {
        "/v1/notices" => Reply::status(204),
        path if path.contains("from=41&") => ok_response(&unchanged),
        path if path.contains("from=5&") && !sent.load(Ordering::Relaxed) => {
            ok_response(&unchanged)
        }
        path if path.contains("from=") => Reply::Silent,
        _ => {
            sent.store(true, Ordering::Relaxed);
            ok_response(&new_list)
        }
    })
    .expect("platform");
    let known = list(41, &[("a", old_destination.address, 7, "station")]);
    let sender = start(&known, &platform);
    assert!(receives_watch_from(&platform, 5), "a watch of the new list");
    assert!(list_sent.load(Ordering::Relaxed), "the whole list first");
    let mut client = Client::new(sender.clients);
    assert_eq!(client.put("m1", METADATA, b"one"), "+OK");
    assert!(new_destination.wait_for(1, TIMEOUT), "the new list is used");
    assert!(old_destination.seen().is_empty());
}

/// Guards discovery against a sender that repeats its watch at once after each immediate response without changes.
#[test]
fn discovery_that_answers_watches_without_delay_is_not_polled_in_a_tight_loop() {
    let unchanged_list = list(4, &[]).replace("\"full\":true", "\"full\":false");
    // Every second response also closes its connection.
    let closing_response = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{unchanged_list}",
        unchanged_list.len()
    );
    let platform = SimulatedServer::new(move |_, number| match number % 2 {
        0 => ok_response(&unchanged_list),
        _ => Reply::Bytes(closing_response.clone().into_bytes()),
    })
    .expect("platform");
    let _sender = start(&list(4, &[]), &platform);
    assert!(platform.wait_for(4, TIMEOUT));
    let seen = platform.seen();
    for pair in seen.windows(2) {
        // The sender waits 100 ms between requests (`RETRY_INTERVAL`). They are timed on arrival, so 10 ms are allowed for a slower
        // delivery of the first.
        assert!(
            pair[1].at - pair[0].at >= Duration::from_millis(90),
            "{seen:?}"
        );
    }
}

/// Guards the limit on the size of discovery responses: a full list of the planned size must be accepted, and a message for its
/// last destination delivered.
#[test]
fn endpoint_list_of_the_planned_size_is_applied() {
    const DESTINATIONS: usize = 57_000;
    let destination = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination");
    let address = destination.address;
    let ids: Vec<String> = (0..DESTINATIONS).map(|n| format!("s-{n:08x}")).collect();
    let entries: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| (id.as_str(), address, n as u64, "station"))
        .collect();
    let next = list(9, &entries);
    let platform = SimulatedServer::new(move |request, _| {
        match (request.method.as_str(), request.path.contains("from=9&")) {
            ("POST", _) => Reply::status(204),
            (_, true) => Reply::Silent,
            _ => ok_response(&next),
        }
    })
    .expect("platform");
    let sender = start(&list(4, &[]), &platform);
    assert!(
        receives_watch_from(&platform, 9),
        "the next watch continues from the full list"
    );
    let mut client = Client::new(sender.clients);
    let metadata = format!("c=episode-notice,d=20000,k=5c0f,dest={}", DESTINATIONS - 1);
    assert_eq!(client.put("m1", &metadata, b"one"), "+OK");
    assert!(
        destination.wait_for(1, TIMEOUT),
        "the last listed destination receives its message"
    );
}
