//! Tests [`Process`] with a shell that exits immediately instead of a sender.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;

use mio::{Poll, Token, Waker};

use super::{EventSink, Process};

/// The log of a killed process may be read to its end after the next process has started. If its events were attributed to the new
/// process, the runner would record a crash, or send clients to a closed port.
#[test]
fn events_of_a_killed_process_are_not_current() {
    let folder = std::env::temp_dir();
    let mut process = Process::new(0, Path::new("/bin/sh"), &folder);
    let (channel, events) = channel();
    let poll = Poll::new().expect("a poll is created");
    let waker = Arc::new(Waker::new(poll.registry(), Token(0)).expect("a waker is created"));
    let sink = EventSink::new(channel, waker);
    process.start(sink.clone(), None).expect("the shell starts");
    process.kill();
    let ended = events.recv().expect("an event for the end of the log");
    assert_eq!(
        (
            ended.sender,
            ended.kind.is_process_specific(),
            process.is_current(ended.incarnation)
        ),
        (0, true, false)
    );
    process.start(sink, None).expect("the shell starts again");
    assert!(!process.is_current(ended.incarnation));
    assert!(
        events
            .recv()
            .is_ok_and(|event| process.is_current(event.incarnation))
    );
}
