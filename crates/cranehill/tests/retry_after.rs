//! A Retry-After wait also stops the call whose connection was still coming up when the wait was told.

mod common;

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Client, SOON, changing, full_listener, list, start, wait_for};
use cranehill::simulated_server::{Reply, SimulatedServer};

#[test]
fn retry_after_cancels_an_unwritten_request() {
    let notified = Arc::new(AtomicBool::new(false));
    let notify = notified.clone();
    let first = SimulatedServer::new(move |_, _| {
        wait_for(&notify);
        Reply::wait(429, "60")
    })
    .expect("partner");
    let (second, fill) = full_listener();
    let address = second.local_addr().expect("an address");
    let third = SimulatedServer::new(|_, _| Reply::status(200)).expect("partner");
    let (a, b, c) = (
        ("a", first.address, 7, "station"),
        ("b", address, 7, "station"),
        ("c", third.address, 99, "station"),
    );
    // The second endpoint is listed once the first is busy: else either might be taken first.
    let (platform, added) = changing(list(2, &[a, b, c]));
    let sender = start(&list(1, &[a, c]), &platform);
    let mut client = Client::new(sender.clients);
    let names = "c=episode-notice,d=20000,k=aa,dest=7";
    assert_eq!(client.put("m1", names, b"x"), "+OK");
    assert!(first.wait_for(1, SOON));
    added.store(true, Ordering::Relaxed);
    assert!(
        platform.wait_for(2, SOON),
        "the watch that continues from the new list"
    );
    // The first endpoint is busy, so this goes to the second, whose connection does not come up yet.
    assert_eq!(client.put("m2", names, b"y"), "+OK");
    std::thread::sleep(Duration::from_millis(100));
    notified.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(100));
    // Once this is answered, the wait, which was written before it, has been read.
    assert_eq!(
        client.put("m3", "c=episode-notice,d=20000,k=bb,dest=99", b"z"),
        "+OK"
    );
    // Now it can come up: the system tries again after one second. Nothing may arrive on it.
    drop(fill);
    second.set_nonblocking(true).expect("set");
    let until = Instant::now() + Duration::from_millis(2200);
    let (mut streams, mut bytes) = (Vec::new(), Vec::new());
    while Instant::now() < until {
        if let Ok((stream, _)) = second.accept() {
            stream.set_nonblocking(true).expect("set");
            streams.push(stream);
        }
        for stream in &mut streams {
            let _ = stream.read_to_end(&mut bytes);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(String::from_utf8_lossy(&bytes), "");
    assert_eq!(first.seen().len(), 1, "nor at the other endpoint");
}
