//! What a sender's log shows of its process.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender as Channel;

use mio::Waker;

/// Text by which a log line is a warning.
const WARNING_MARKS: [&str; 3] = ["WARN", "ERROR", "panicked"];

/// One observation of a sender's process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessEvent {
    /// The sender.
    pub sender: usize,
    /// The incarnation of the process; see [`Process::is_current`](super::Process::is_current).
    pub incarnation: u32,
    /// What was observed.
    pub kind: ProcessEventKind,
}

/// What was observed of a process.
#[derive(Clone, Debug)]
pub(crate) enum ProcessEventKind {
    /// It listens for clients there.
    ClientListener(SocketAddr),
    /// It listens for Web Push there.
    WebPushListener(SocketAddr),
    /// It answers requests for its view of the fleet there.
    StatusListener(SocketAddr),
    /// A line of its log that warns.
    Warning(String),
    /// Any line, where all are kept.
    LogLine(String),
    /// Its log has ended.
    Ended,
}

impl ProcessEventKind {
    /// The event says something of one process; a line of a log counts for the sender, whichever process wrote it.
    pub(crate) fn is_of_one_process(&self) -> bool {
        match self {
            ProcessEventKind::ClientListener(_)
            | ProcessEventKind::WebPushListener(_)
            | ProcessEventKind::StatusListener(_)
            | ProcessEventKind::Ended => true,
            ProcessEventKind::Warning(_) | ProcessEventKind::LogLine(_) => false,
        }
    }

    /// What a line of a log shows, if anything.
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
        WARNING_MARKS
            .iter()
            .any(|mark| line.contains(mark))
            .then(|| ProcessEventKind::Warning(line.to_owned()))
    }
}

fn address_after(line: &str, text: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(text)?;
    let end = rest
        .find(|c: char| !c.is_ascii_hexdigit() && !".:[]".contains(c))
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Passes events from the threads that read logs to the event loop.
#[derive(Clone, Debug)]
pub(crate) struct EventSink {
    channel: Channel<ProcessEvent>,
    waker: Arc<Waker>,
}

impl EventSink {
    /// Events go to `channel`; `waker` interrupts the poll of the loop that reads it.
    pub(crate) fn new(channel: Channel<ProcessEvent>, waker: Arc<Waker>) -> EventSink {
        EventSink { channel, waker }
    }

    /// False once the loop has ended.
    fn send(&self, event: ProcessEvent) -> bool {
        self.channel.send(event).is_ok()
    }

    /// False once the loop has ended.
    fn wake(&self) -> bool {
        self.waker.wake().is_ok()
    }
}

/// Reads the log of one process to its end.
#[derive(Debug)]
pub(super) struct LogReader {
    /// The sender.
    pub sender: usize,
    /// The incarnation of the process.
    pub incarnation: u32,
    /// Every line becomes an event.
    pub keep_lines: bool,
    /// Where events go.
    pub sink: EventSink,
}

impl LogReader {
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
