//! Clients: their connections, their requests, and how much of this sender one of them may take.

mod resp;
mod web_push;

use std::net::Shutdown;
use std::time::Duration;

use cranehill_core::mutation::{self, Mutation};
use cranehill_core::{Core, Message};
use cranehill_scheduler::Time;

use crate::connection::{Connection, ConnectionKind};
use crate::connection_table::ConnectionTable;
use crate::journal_writer::JournalWriter;
use crate::platform_settings::PlatformSettings;
use crate::throttled_log::ThrottledLog;
use crate::{client_protocol, webpush};

/// Requests of one client that are processed before others have their turn.
pub(crate) const MAX_REQUESTS_PER_ITERATION: usize = 16;
/// Connections accepted before others have their turn; the rest wait in the system's queue.
pub(crate) const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Connections considered when one must be closed for a new one.
pub(crate) const MAX_EVICTION_CANDIDATES: usize = 4;
/// For this long after connecting, a client's first request may still be on its way.
pub(crate) const NEW_CLIENT_GRACE: Duration = Duration::from_millis(300);
/// A connection's first request is complete within this, or the connection is closed: one that only stays open must not keep
/// others out.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// A further request that has begun is complete, and an answer is read, within this.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a further request is kept for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A client whose connection is closed has noticed within this: it waits no longer than 400 ms for an answer.
const LINGER: Duration = Duration::from_millis(500);
/// Errors that are answered on one connection before it is closed.
const MAX_REQUEST_ERRORS: u32 = 16;
/// An incomplete request above this counts towards the bound on unread bytes.
const LARGE_REQUEST_BYTES: usize = 8 * 1024;
/// The part of the process's memory that incomplete requests may take, as a divisor.
const UNREAD_MEMORY_DIVISOR: usize = 8;
/// How often the log says that connections are evicted, and that messages are rejected.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What came of a client's next request.
pub(crate) enum Progress {
    /// There is none to process now.
    Waiting,
    /// It was answered; there may be another.
    Answered,
    /// It submits a message.
    Submitted(Message),
    /// The client that waited for this message's end has left.
    Cancelled(String),
    /// The connection is to be closed.
    Close,
    /// The connection is to be closed with an error: its request takes too long, or too much memory.
    TimedOut,
}

/// What decides whether a message is accepted.
pub(crate) struct Admission<'a> {
    pub(crate) platform_settings: &'a PlatformSettings,
    pub(crate) core: &'a Core,
    pub(crate) journal: &'a mut JournalWriter,
    /// Clients are asked to leave.
    pub(crate) draining: bool,
    pub(crate) now: Time,
}

/// The bounds for all clients together.
pub(crate) struct ClientIngress {
    max_connections: usize,
    /// Bytes of incomplete requests.
    max_unread_bytes: usize,
    evictions: ThrottledLog,
    rejections: ThrottledLog,
}

impl ClientIngress {
    /// `memory`: bytes that the process may use.
    pub(crate) fn new(max_connections: usize, memory: usize, now: Time) -> ClientIngress {
        ClientIngress {
            max_connections,
            max_unread_bytes: memory / UNREAD_MEMORY_DIVISOR,
            evictions: ThrottledLog::new(LOG_INTERVAL, now),
            rejections: ThrottledLog::new(LOG_INTERVAL, now),
        }
    }

    /// Whether a further connection is within the bound.
    pub(crate) fn has_room(&self, connections: &ConnectionTable) -> bool {
        connections.count(Connection::is_client) < self.max_connections
    }

    /// A connection is closed, or not accepted, because of the bound.
    pub(crate) fn record_eviction(&mut self, now: Time) {
        if let Some(evicted) = self.evictions.record(now) {
            let places = self.max_connections;
            log::warn!("accept: all {places} places taken; {evicted} closed");
        }
    }

    /// Protects memory against many clients that each leave a large request incomplete.
    fn on_incomplete(&self, connections: &ConnectionTable, id: usize) -> Progress {
        let is_large = connections
            .get(id)
            .is_some_and(|connection| connection.input.len() > LARGE_REQUEST_BYTES);
        if !is_large || unread_bytes(connections) <= self.max_unread_bytes {
            return Progress::Waiting;
        }
        log::info!("client: too much unfinished; one that sends more is closed");
        Progress::TimedOut
    }
}

fn unread_bytes(connections: &ConnectionTable) -> usize {
    connections
        .values()
        .filter(|connection| connection.is_client())
        .map(|connection| connection.input.capacity())
        .sum()
}

/// When this side stops waiting for a client; `None` while the client waits for this side.
pub(crate) fn deadline(connection: &Connection) -> Option<Time> {
    if !matches!(
        connection.kind,
        ConnectionKind::Client { busy: false }
            | ConnectionKind::WebPushClient { pending: None, .. }
    ) {
        return None;
    }
    let timeout = if !connection.is_written() {
        TRANSFER_TIMEOUT
    } else if !connection.has_requested {
        FIRST_REQUEST_TIMEOUT
    } else if !connection.input.is_empty() {
        TRANSFER_TIMEOUT
    } else {
        IDLE_TIMEOUT
    };
    Some(connection.waiting_since + timeout)
}

/// The idle connection that is least likely to be used: see [`eviction_rank`].
pub(crate) fn eviction_candidate(connections: &ConnectionTable, now: Time) -> Option<usize> {
    connections
        .iter()
        .filter(|(_, connection)| connection.is_idle_client())
        .min_by_key(|(_, connection)| eviction_rank(connection, now))
        .map(|(id, _)| id)
}

/// The order in which idle connections are evicted: those that are closing; those that never sent a request, once they had time
/// to; those that may be closed at any time by the platform's rules; those with a recent request; and new ones, whose request is
/// on its way and would fail. When a sender stops, all its clients come to another at once.
fn eviction_rank(connection: &Connection, now: Time) -> (u8, Time) {
    let waited = now - connection.waiting_since;
    let class = if matches!(connection.kind, ConnectionKind::Closing { .. }) {
        0
    } else if connection.has_requested {
        if waited >= TRANSFER_TIMEOUT { 2 } else { 3 }
    } else if waited >= NEW_CLIENT_GRACE {
        1
    } else {
        4
    };
    (class, connection.waiting_since)
}

/// Answers the request in progress. `closing`: connections are closed between requests.
pub(crate) fn answer(
    connections: &mut ConnectionTable,
    id: usize,
    bytes: &[u8],
    closing: bool,
    now: Time,
) {
    if mutation::is(Mutation::HoldsAnswers) {
        return;
    }
    if mutation::is(Mutation::ClosesClients) && mutation::one_in(3) {
        connections.close(id);
        return;
    }
    let Some(connection) = connections.get_mut(id) else {
        return;
    };
    match &mut connection.kind {
        ConnectionKind::Client { busy } => *busy = false,
        ConnectionKind::WebPushClient { pending, close } => {
            *pending = None;
            connection.close_after_write |= *close;
        }
        _ => return,
    }
    connection.close_after_write |= closing && connection.has_nothing_unread();
    connections.send(id, bytes, now);
    // Its next request is not processed here: with a client that pipelines requests that are answered at once, that would recurse
    // until the stack is full.
    connections.resume(id);
}

/// Answers an incomplete request whose time is over.
pub(crate) fn answer_timeout(connections: &mut ConnectionTable, id: usize, now: Time) {
    const WHY: &str = "the request did not come whole in time";
    let Some(connection) = connections.get(id) else {
        return;
    };
    if !connection.is_written() || connection.input.is_empty() {
        return;
    }
    let bytes = match connection.kind {
        ConnectionKind::Client { .. } => client_protocol::write_error(WHY),
        _ => webpush::write_error(408, WHY),
    };
    connections.send(id, &bytes, now);
}

/// Begins to close a client's connection; false if it is closed already. What the client sends before it has noticed is read and
/// discarded: to close over unread bytes would reset the connection, and lose answers that are still on their way.
pub(crate) fn begin_close(connections: &mut ConnectionTable, id: usize, now: Time) -> bool {
    let Some(connection) = connections.get_mut(id) else {
        return false;
    };
    // A client that has left, or does not read its answers, is not waited for.
    if connection.ended
        || !connection.is_written()
        || connection.stream.shutdown(Shutdown::Write).is_err()
    {
        connections.close(id);
        return false;
    }
    connection.kind = ConnectionKind::Closing {
        deadline: now + LINGER,
    };
    true
}

/// Discards what has arrived on a connection that is being closed.
pub(crate) fn discard_input(connections: &mut ConnectionTable, id: usize) {
    let Some(connection) = connections.get_mut(id) else {
        return;
    };
    if connection.ended {
        connections.close(id);
        return;
    }
    let was_full = connection.input.len() >= connection.max_input_bytes();
    connection.input = Vec::new();
    // There is no further event for what did not fit.
    if was_full {
        connections.resume(id);
    }
}

/// More may have waited for room in the buffer.
pub(crate) fn refill(connections: &mut ConnectionTable, id: usize) {
    if let Some(connection) = connections.get_mut(id) {
        connection.fill();
    }
}

/// Closes the connection after the answer to a request that can't be parsed.
fn reject_malformed(connections: &mut ConnectionTable, id: usize, answer: &[u8], now: Time) {
    if let Some(connection) = connections.get_mut(id) {
        connection.close_after_write = true;
        connection.input.clear();
    }
    connections.send(id, answer, now);
}

/// Answers a request with an error. A client that sends nothing else would have us answer at its full speed.
fn reject_request(connections: &mut ConnectionTable, id: usize, answer: &[u8], now: Time) {
    if let Some(connection) = connections.get_mut(id) {
        connection.request_errors += 1;
        connection.close_after_write |= connection.request_errors >= MAX_REQUEST_ERRORS;
    }
    connections.send(id, answer, now);
}
