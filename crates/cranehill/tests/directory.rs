//! The watch on the directory, before a stand-in that fails.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::*;
use cranehill::rehearsal::{Reply, StandIn};

const NAMES: &str = "c=episode-notice,d=20000,k=5c0f,dest=7";

fn body(text: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes())
}

#[test]
fn while_the_directory_fails_the_last_list_is_kept_and_then_the_new_one_taken() {
    let old = StandIn::new(|_, _| Reply::status(200)).expect("partner");
    let new = StandIn::new(|_, _| Reply::status(200)).expect("partner");
    let next = list(9, &[("b", new.address, 7, "station")]);
    // Errors of several sorts, then the new list once it is let out, then a watch that is held.
    let stage = Arc::new(AtomicUsize::new(0));
    let at = stage.clone();
    let platform = StandIn::new(move |request, number| {
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
    assert!(platform.wait_for(5, SOON), "it asks again and again");
    assert_eq!(client.put("m1", NAMES, b"one"), "+OK");
    assert!(old.wait_for(1, SOON), "the last list is kept");
    stage.store(1, Ordering::Relaxed);
    let watching = |p: &StandIn| p.seen().iter().any(|s| s.request.path.contains("from=9&"));
    let until = std::time::Instant::now() + SOON;
    while !watching(&platform) && std::time::Instant::now() < until {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert!(watching(&platform), "the next watch goes on from the new list");
    assert_eq!(client.put("m2", NAMES, b"two"), "+OK");
    assert!(new.wait_for(1, SOON), "the new list is used");
    assert_eq!(old.seen().len(), 1);
    let first = &platform.seen()[0].request.path;
    assert!(first.starts_with("/v1/endpoints?from=4&hold_ms="), "{first}");
}

#[test]
fn a_directory_that_holds_no_watch_is_not_asked_without_end() {
    let same = list(4, &[]).replace("\"full\":true", "\"full\":false");
    // Every other answer ends its connection too.
    let closing =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{same}", same.len());
    let platform = StandIn::new(move |_, number| match number % 2 {
        0 => body(&same),
        _ => Reply::Bytes(closing.clone().into_bytes()),
    })
    .expect("platform");
    let _sender = start(&list(4, &[]), &platform);
    assert!(platform.wait_for(4, SOON));
    let seen = platform.seen();
    for pair in seen.windows(2) {
        assert!(pair[1].at - pair[0].at >= std::time::Duration::from_millis(90), "{seen:?}");
    }
}
