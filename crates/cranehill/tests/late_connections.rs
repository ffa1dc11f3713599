//! Connections that come up after their reason has gone: nothing may be written on them.

mod common;

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Client, SOON, changing, full_listener, list, reports, start, start_as, wait_for};
use cranehill::simulated_server::{Reply, SimulatedServer};

const NAMES: &str = "c=episode-notice,d=20000,k=aa,dest=7";

/// Lets what waits for `late` come up, and reads all that is written there until `over`, or until `id` is.
fn written(late: &TcpListener, id: &str, over: impl Fn() -> bool) -> String {
    late.set_nonblocking(true).expect("set");
    let end = Instant::now() + SOON;
    let (mut streams, mut bytes) = (Vec::new(), Vec::new());
    loop {
        // Looked at first: what was written before it was over is read.
        let last = over();
        while let Ok((stream, _)) = late.accept() {
            stream.set_nonblocking(true).expect("set");
            streams.push(stream);
        }
        for stream in &mut streams {
            let _ = stream.read_to_end(&mut bytes);
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if last || text.contains(id) {
            return text;
        }
        assert!(Instant::now() < end, "neither over nor written");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards the window for repeats: the decision to repeat was in time, the connection came up when it no longer was, and the
/// repeat went out all the same (narrow days of the other customer: "sent again outside its group or window").
#[test]
fn retry_is_not_written_if_its_connection_is_established_too_late() {
    let fail = Arc::new(AtomicBool::new(false));
    let fails = fail.clone();
    let first = SimulatedServer::new(move |_, _| {
        wait_for(&fails);
        Reply::status(500)
    })
    .expect("partner");
    let (late, fill) = full_listener();
    let late_address = late.local_addr().expect("an address");
    let window = Duration::from_millis(900);
    let (a, b) = (
        ("a", first.address, 7, "station"),
        ("b", late_address, 7, "station"),
    );
    let (platform, change) = changing(list(2, &[a, b]));
    let sender = start_as(&list(1, &[a]), &platform, |setup| {
        let class = &mut setup.platform_settings.settings.classes[0];
        // A call is waited for for a quarter of the aim at least: longer than the connection takes.
        (class.window, class.latency_objective) = (window, Duration::from_secs(20));
    });
    let mut client = Client::new(sender.clients);
    assert_eq!(client.put("m1", NAMES, b"x"), "+OK");
    assert!(first.wait_for(1, SOON));
    let executed = first.seen()[0].at;
    change.store(true, Ordering::Relaxed);
    assert!(
        platform.wait_for(2, SOON),
        "the watch that continues from the new list"
    );
    // It failed at the first endpoint, so the repeat goes to the second, whose connection does not come up yet.
    fail.store(true, Ordering::Relaxed);
    // The window's end is a moment of the clock, and the listener lets nothing up before it.
    while executed.elapsed() < window {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(fill);
    let failed = || {
        reports(&platform)
            .iter()
            .any(|r| r.contains(r#""id":"m1","state":"failed""#))
    };
    assert_eq!(written(&late, "m1", failed), "");
    assert_eq!(first.seen().len(), 1);
}

/// Guards an endpoint that drains while a connection to it is on its way: what waits for it must not arrive there.
#[test]
fn request_to_a_draining_endpoint_is_not_written() {
    let (late, fill) = full_listener();
    let late_address = late.local_addr().expect("an address");
    let other = SimulatedServer::new(|_, _| Reply::status(200)).expect("partner");
    let listed = list(
        2,
        &[
            ("b", late_address, 7, "station"),
            ("c", other.address, 7, "station"),
        ],
    );
    let (platform, change) =
        changing(listed.replacen(r#""state":"up""#, r#""state":"draining""#, 1));
    let sender = start(&list(1, &[("b", late_address, 7, "station")]), &platform);
    let mut client = Client::new(sender.clients);
    assert_eq!(client.put("m1", NAMES, b"x"), "+OK");
    change.store(true, Ordering::Relaxed);
    // Once it asks from the new list on, the list has been read.
    assert!(platform.wait_for(2, SOON), "the watch that continues");
    drop(fill);
    // It goes elsewhere, and nothing is written on what is on its way when the system has tried it again, after a second.
    let settled = Instant::now() + Duration::from_millis(1200);
    assert_eq!(
        written(&late, "m1", || Instant::now() > settled
            && !other.seen().is_empty()),
        ""
    );
}
