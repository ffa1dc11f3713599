//! Events of senders' processes, parsed from their logs (standard error).

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender as Channel;

use mio::Waker;

/// A log line that contains one of these becomes a [`ProcessEventKind::Warning`].
const WARNING_MARKERS: [&str; 3] = ["WARN", "ERROR", "panicked"];

/// One event of a sender's process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessEvent {
    /// Index of the sender.
    pub sender: usize,
    /// The incarnation of the process that wrote the log; see [`Process::is_current`](super::Process::is_current).
    pub incarnation: u32,
    /// The kind of event, with its data.
    pub kind: ProcessEventKind,
}

/// A kind of event in the log of a process.
#[derive(Clone, Debug)]
pub(crate) enum ProcessEventKind {
    /// It listens for RESP2 clients at this address.
    ClientListener(SocketAddr),
    /// It listens for Web Push at this address.
    WebPushListener(SocketAddr),
    /// It serves its view of the fleet's members at this address.
    StatusListener(SocketAddr),
    /// A warning in its log: the whole line.
    Warning(String),
    /// Any line of its log; see [`LogReader::keep_lines`].
    LogLine(String),
    /// Its log has ended, so it is exiting or has exited.
    Ended,
}

impl ProcessEventKind {
    /// Whether the event must be ignored once another process of the same sender has replaced the one that wrote the log. Warnings and
    /// log lines are always recorded.
    pub(crate) fn is_process_specific(&self) -> bool {
        match self {
            ProcessEventKind::ClientListener(_)
            | ProcessEventKind::WebPushListener(_)
            | ProcessEventKind::StatusListener(_)
            | ProcessEventKind::Ended => true,
            ProcessEventKind::Warning(_) | ProcessEventKind::LogLine(_) => false,
        }
    }

    /// The listener or warning that a log line reports; `None` for all other lines. Listeners are recognized by the text of the
    /// sender's log messages.
    fn parse(line: &str) -> Option<ProcessEventKind> {
        if let Some(address) = address_after(line, "listening for clients at ") {
            return Some(ProcessEventKind::ClientListener(address));
        }
        if let Some(address) = address_after(line, "listening for Web Push at ") {
            return Some(ProcessEventKind::WebPushListener(address));
        }
        if let Some(address) = address_after(line, "fleet: status at ") {
            return Some(ProcessEventKind::StatusListener(address));
        }
        WARNING_MARKERS
            .iter()
            .any(|marker| line.contains(marker))
            .then(|| ProcessEventKind::Warning(line.to_owned()))
    }
}

/// The socket address that follows `text` in a line; `None` if the line has no such text or no valid address after it.
fn address_after(line: &str, text: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(text)?;
    let end = rest
        .find(|c: char| !c.is_ascii_hexdigit() && !".:[]".contains(c))
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Channel for events to the event loop, from the threads that read the senders' logs.
#[derive(Clone, Debug)]
pub(crate) struct EventSink {
    channel: Channel<ProcessEvent>,
    waker: Arc<Waker>,
}

impl EventSink {
    /// `channel` must be read by the event loop whose poll `waker` interrupts.
    pub(crate) fn new(channel: Channel<ProcessEvent>, waker: Arc<Waker>) -> EventSink {
        EventSink { channel, waker }
    }

    /// Sends an event; false if the event loop has ended.
    fn send(&self, event: ProcessEvent) -> bool {
        self.channel.send(event).is_ok()
    }

    /// Interrupts the event loop's poll; false if the waker failed.
    fn wake(&self) -> bool {
        self.waker.wake().is_ok()
    }
}

/// Reads the log of one process to its end, on a separate thread.
#[derive(Debug)]
pub(super) struct LogReader {
    /// Index of the sender.
    pub sender: usize,
    /// The incarnation of the process.
    pub incarnation: u32,
    /// Whether every line is sent as a [`ProcessEventKind::LogLine`], in addition to the event that it reports.
    pub keep_lines: bool,
    /// Receives the events.
    pub sink: EventSink,
}

impl LogReader {
    /// Sends the events of `log` until it ends or the event loop has ended.
    pub(super) fn run(self, log: impl Read) {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let parsed = ProcessEventKind::parse(&line);
            let kept = self.keep_lines.then_some(ProcessEventKind::LogLine(line));
            if parsed.is_none() && kept.is_none() {
                continue;
            }
            let all_sent = parsed.into_iter().chain(kept).all(|kind| self.send(kind));
            if !all_sent || !self.sink.wake() {
                return;
            }
        }
        self.send(ProcessEventKind::Ended);
        self.sink.wake();
    }

    fn send(&self, kind: ProcessEventKind) -> bool {
        self.sink.send(ProcessEvent {
            sender: self.sender,
            incarnation: self.incarnation,
            kind,
        })
    }
}
