//! Connections that are established too late: the request that they were opened for must no longer be written.

mod common;

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{
    Client, TIMEOUT, full_listener, list, reports, start, start_with, updating_platform, wait_for,
};
use cranehill::simulated_server::{Reply, SimulatedServer};

/// Metadata argument of `MSG.PUT`: class, remaining time in milliseconds, idempotency key and destination.
const METADATA: &str = "c=episode-notice,d=20000,k=aa,dest=7";

/// Accepts connections at `late` and returns all bytes received there, until `is_over` returns true or `id` has arrived.
fn received_bytes(late: &TcpListener, id: &str, is_over: impl Fn() -> bool) -> String {
    late.set_nonblocking(true).expect("socket option set");
    let deadline = Instant::now() + TIMEOUT;
    let (mut streams, mut bytes) = (Vec::new(), Vec::new());
    loop {
        // Checked before reading, so that everything written by then is read.
        let is_last_round = is_over();
        while let Ok((stream, _)) = late.accept() {
            stream.set_nonblocking(true).expect("socket option set");
            streams.push(stream);
        }
        for stream in &mut streams {
            let _ = stream.read_to_end(&mut bytes);
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if is_last_round || text.contains(id) {
            return text;
        }
        assert!(
            Instant::now() < deadline,
            "neither the end condition nor the message arrived in time"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards the time window for repeats: a retry was decided within the window, its connection was established after the window,
/// and the retry was still written (a scenario with a narrow window reported "sent again outside its group or window").
#[test]
fn retry_is_not_written_if_its_connection_is_established_too_late() {
    let release_failure = Arc::new(AtomicBool::new(false));
    let failure_released = release_failure.clone();
    let first = SimulatedServer::new(move |_, _| {
        wait_for(&failure_released);
        Reply::status(500)
    })
    .expect("destination server");
    let (late, queued_connections) = full_listener();
    let late_address = late.local_addr().expect("an address");
    let window = Duration::from_millis(900);
    let (a, b) = (
        ("a", first.address, 7, "station"),
        ("b", late_address, 7, "station"),
    );
    let (platform, publish_list) = updating_platform(list(2, &[a, b]));
    let sender = start_with(&list(1, &[a]), &platform, |options| {
        let class = &mut options.platform_settings.settings.classes[0];
        // The call timeout is at least a quarter of the latency objective: 5 s, longer than the connection takes.
        (class.dedup_window, class.latency_objective) = (window, Duration::from_secs(20));
    });
    let mut client = Client::new(sender.clients);
    assert_eq!(client.put("m1", METADATA, b"x"), "+OK");
    assert!(first.wait_for(1, TIMEOUT));
    let first_attempt = first.seen()[0].at;
    publish_list.store(true, Ordering::Relaxed);
    assert!(
        platform.wait_for(2, TIMEOUT),
        "the watch that continues from the new list"
    );
    // The first endpoint fails, so the retry goes to the second, whose connection is not established yet.
    release_failure.store(true, Ordering::Relaxed);
    // The listener accepts nothing until the window has passed.
    while first_attempt.elapsed() < window {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(queued_connections);
    let failed = || {
        reports(&platform)
            .iter()
            .any(|r| r.contains(r#""id":"m1","state":"failed""#))
    };
    assert_eq!(received_bytes(&late, "m1", failed), "");
    assert_eq!(first.seen().len(), 1);
}

/// Guards an endpoint that starts draining while a connection to it is being established: the waiting request must not be
/// written there.
#[test]
fn request_to_a_draining_endpoint_is_not_written() {
    let (late, queued_connections) = full_listener();
    let late_address = late.local_addr().expect("an address");
    let other = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let listed = list(
        2,
        &[
            ("b", late_address, 7, "station"),
            ("c", other.address, 7, "station"),
        ],
    );
    let (platform, publish_list) =
        updating_platform(listed.replacen(r#""state":"up""#, r#""state":"draining""#, 1));
    let sender = start(&list(1, &[("b", late_address, 7, "station")]), &platform);
    let mut client = Client::new(sender.clients);
    assert_eq!(client.put("m1", METADATA, b"x"), "+OK");
    publish_list.store(true, Ordering::Relaxed);
    // The watch that continues from the new list shows that the list has been applied.
    assert!(platform.wait_for(2, TIMEOUT), "the watch that continues");
    drop(queued_connections);
    // The message goes to the other endpoint. The kernel retries the late connection after one second; nothing may be written
    // on it.
    let settled = Instant::now() + Duration::from_millis(1200);
    assert_eq!(
        received_bytes(&late, "m1", || Instant::now() > settled
            && !other.seen().is_empty()),
        ""
    );
}
