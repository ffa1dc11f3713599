//! A Retry-After also stops a call whose connection is still being established when the wait arrives.

mod common;

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Client, TIMEOUT, full_listener, list, start, updating_platform, wait_for};
use cranehill::simulated_server::{Reply, SimulatedServer};

#[test]
fn retry_after_cancels_an_unwritten_request() {
    let send_retry_after = Arc::new(AtomicBool::new(false));
    let retry_after_requested = send_retry_after.clone();
    let first = SimulatedServer::new(move |_, _| {
        wait_for(&retry_after_requested);
        Reply::wait(429, "60")
    })
    .expect("destination server");
    let (second, queued_connections) = full_listener();
    let address = second.local_addr().expect("an address");
    let third = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    let (a, b, c) = (
        ("a", first.address, 7, "station"),
        ("b", address, 7, "station"),
        ("c", third.address, 99, "station"),
    );
    // The second endpoint is listed once the first is busy; otherwise either might get the first call.
    let (platform, publish_list) = updating_platform(list(2, &[a, b, c]));
    let sender = start(&list(1, &[a, c]), &platform);
    let mut client = Client::new(sender.clients);
    let names = "c=episode-notice,d=20000,k=aa,dest=7";
    assert_eq!(client.put("m1", names, b"x"), "+OK");
    assert!(first.wait_for(1, TIMEOUT));
    publish_list.store(true, Ordering::Relaxed);
    assert!(
        platform.wait_for(2, TIMEOUT),
        "the watch that continues from the new list"
    );
    // The first endpoint is busy, so this goes to the second, whose connection is not established yet.
    assert_eq!(client.put("m2", names, b"y"), "+OK");
    std::thread::sleep(Duration::from_millis(100));
    send_retry_after.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(100));
    // The Retry-After was written before this request, so its answer shows that the wait has been read.
    assert_eq!(
        client.put("m3", "c=episode-notice,d=20000,k=bb,dest=99", b"z"),
        "+OK"
    );
    // Now the connection can be established: the kernel retries after one second. Nothing may arrive on it.
    drop(queued_connections);
    second.set_nonblocking(true).expect("socket option set");
    let deadline = Instant::now() + Duration::from_millis(2200);
    let (mut streams, mut bytes) = (Vec::new(), Vec::new());
    while Instant::now() < deadline {
        if let Ok((stream, _)) = second.accept() {
            stream.set_nonblocking(true).expect("socket option set");
            streams.push(stream);
        }
        for stream in &mut streams {
            let _ = stream.read_to_end(&mut bytes);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(String::from_utf8_lossy(&bytes), "");
    assert_eq!(
        first.seen().len(),
        1,
        "m2 was sent to the first endpoint during the wait"
    );
}
