//! Processes against a shell that ends at once.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;

use mio::{Poll, Token, Waker};

use super::{EventSink, Process};

/// Events of a killed process may be read after its successor has started, and must not be taken for the successor's.
#[test]
fn events_of_an_earlier_process_are_distinguished() {
    let folder = std::env::temp_dir();
    let mut process = Process::new(0, Path::new("/bin/sh"), &folder);
    let (channel, events) = channel();
    let poll = Poll::new().expect("a poll");
    let waker = Arc::new(Waker::new(poll.registry(), Token(0)).expect("a waker"));
    let sink = EventSink::new(channel, waker);
    process.start(sink.clone(), None).expect("it starts");
    process.kill();
    let ended = events.recv().expect("its log ends");
    assert_eq!(
        (
            ended.sender,
            ended.kind.is_of_one_process(),
            process.is_current(ended.incarnation)
        ),
        (0, true, false)
    );
    process.start(sink, None).expect("it starts again");
    assert!(!process.is_current(ended.incarnation));
    assert!(
        events
            .recv()
            .is_ok_and(|event| process.is_current(event.incarnation))
    );
}
