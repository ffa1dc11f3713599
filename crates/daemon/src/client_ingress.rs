//! Client connections and requests, and the limits on the connections, memory and time that clients may use.

mod resp;
mod web_push;

pub(crate) use self::resp::reject_buffered;
pub(crate) use self::web_push::take_unanswered_pushes;

use std::net::Shutdown;
use std::time::Duration;

use cranehill_core::mutation::{self, Mutation};
use cranehill_core::{Answer, Core, Message};
use cranehill_scheduler::Time;

use crate::client_memory::{ClientMemory, ROOM_TIMEOUT, Room};
use crate::connection::{Connection, ConnectionKind, MAX_HTTP_MESSAGE_BYTES};
use crate::connection_table::ConnectionTable;
use crate::journal_writer::JournalWriter;
use crate::platform_settings::PlatformSettings;
use crate::throttled_log::ThrottledLog;
use crate::{client_protocol, webpush};

/// Requests of one client processed in one iteration of the event loop.
pub(crate) const MAX_REQUESTS_PER_ITERATION: usize = 16;
/// Connections accepted in one iteration of the event loop; the rest wait in the kernel's accept queue.
pub(crate) const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Idle connections examined when one must be closed to accept a new one.
pub(crate) const MAX_EVICTION_CANDIDATES: usize = 4;
/// For this long after a client has connected, its first request may still be in transit.
pub(crate) const NEW_CLIENT_GRACE: Duration = Duration::from_millis(300);
/// Time from connecting to a complete first request; then the connection is closed, so that clients which only hold connections
/// open don't block others.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time allowed for the rest of a further request that has begun, and for the client to read an answer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a further request is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a connection stays half-closed until the client closes its side: clients wait at most 400 ms for an answer.
const LINGER: Duration = Duration::from_millis(500);
/// A connection is closed after this many invalid requests.
const MAX_REQUEST_ERRORS: u32 = 16;
/// The bodies of pending messages may use this fraction of the process's memory, as a divisor.
const PENDING_MEMORY_DIVISOR: usize = 4;
/// Minimum interval between two log lines about evicted connections, rejected messages, or requests without room.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The result of processing a client's next request.
pub(crate) enum Progress {
    /// No request can be processed now: none is complete, or an earlier one is still unanswered.
    Waiting,
    /// The request was answered; another one may be buffered.
    Answered,
    /// More of the request was received; it may be complete now.
    MoreReceived,
    /// The request submits this message, which is not answered yet.
    Submitted(Message),
    /// The client that waited for this message's result has disconnected.
    Cancelled(String),
    /// The caller closes the connection.
    Close,
}

/// What the decision to accept a message depends on.
pub(crate) struct Admission<'a> {
    pub(crate) platform_settings: &'a PlatformSettings,
    pub(crate) core: &'a Core,
    pub(crate) journal: &'a mut JournalWriter,
    /// This sender is draining: `PING` is answered with an error, after which clients use another sender.
    pub(crate) draining: bool,
    pub(crate) now: Time,
}

/// The limits for all clients together.
pub(crate) struct ClientIngress {
    max_connections: usize,
    memory: ClientMemory,
    /// Limit on the bodies of all pending messages, in bytes.
    max_pending_bytes: usize,
    evictions: ThrottledLog,
    rejections: ThrottledLog,
    without_room: ThrottledLog,
}

impl ClientIngress {
    /// `memory` is the number of bytes that the process may use.
    pub(crate) fn new(max_connections: usize, memory: usize, now: Time) -> ClientIngress {
        ClientIngress {
            max_connections,
            memory: ClientMemory::new(memory, MAX_HTTP_MESSAGE_BYTES),
            max_pending_bytes: memory / PENDING_MEMORY_DIVISOR,
            evictions: ThrottledLog::new(LOG_INTERVAL, now),
            rejections: ThrottledLog::new(LOG_INTERVAL, now),
            without_room: ThrottledLog::new(LOG_INTERVAL, now),
        }
    }

    /// Whether another connection is within the limit.
    pub(crate) fn has_room(&self, connections: &ConnectionTable) -> bool {
        connections.count(Connection::is_client) < self.max_connections
    }

    /// Whether the body of a further message is within the limit on the bodies of pending messages.
    fn has_room_for_body(&self, core: &Core, bytes: usize) -> bool {
        core.pending_body_bytes() + bytes <= self.max_pending_bytes
    }

    /// The rejection of a request for which there is no room in memory.
    fn reject_for_memory(&mut self, core: &Core, now: Time) -> Answer {
        if let Some(rejected) = self.without_room.record(now) {
            let (requests, limit) = (self.memory.reserved_bytes(), self.memory.limit());
            let (pending, pending_limit) = (core.pending_body_bytes(), self.max_pending_bytes);
            log::warn!(event = "client-memory", rejected, requests, limit, pending, pending_limit;
                "client: {rejected} requests rejected for want of memory; large requests use {requests} of {limit} bytes, pending messages {pending} of {pending_limit}");
        }
        Answer::Rejected {
            retry_after: Some(ROOM_TIMEOUT),
        }
    }

    /// Logs that a connection is closed, or not accepted, because of the limit.
    pub(crate) fn record_eviction(&mut self, now: Time) {
        if let Some(evicted) = self.evictions.record(now) {
            let limit = self.max_connections;
            log::warn!("accept: all {limit} client places taken; {evicted} connections closed");
        }
    }

    /// Reads more of a request that needs at least `needed` bytes, once there is room for it.
    fn on_incomplete(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        needed: usize,
        now: Time,
    ) -> Progress {
        let Some(connection) = connections.get_mut(id) else {
            return Progress::Waiting;
        };
        if connection.ended || needed > MAX_HTTP_MESSAGE_BYTES {
            return Progress::Close;
        }
        let held = connection.input.len();
        while !connection.allowance.raise(held, needed) {
            match self.memory.request(id, &mut connection.allowance, now) {
                Room::Granted => {}
                Room::Waiting => {
                    self.limit_queue(connections);
                    return Progress::Waiting;
                }
            }
        }
        if connection.receive(now) || connection.ended {
            Progress::MoreReceived
        } else {
            Progress::Waiting
        }
    }

    /// Removes ended connections from the queue for room, so that it is no longer than the number of connections.
    fn limit_queue(&mut self, connections: &ConnectionTable) {
        if self.memory.queue_length() > self.max_connections {
            let is_waiting = |id| {
                connections
                    .get(id)
                    .is_some_and(|connection| connection.allowance.is_waiting())
            };
            self.memory.retain_waiting(is_waiting);
        }
    }

    /// Gives room to the connections that have waited longest, as far as there is room, and resumes them.
    pub(crate) fn grant_room(&mut self, connections: &mut ConnectionTable, now: Time) {
        while let Some(id) = self.memory.next() {
            let connection = connections.get_mut(id);
            if let Some(connection) = connection.filter(|c| c.allowance.is_waiting()) {
                self.memory.grant(&mut connection.allowance, now);
                connections.resume(id);
            }
        }
    }

    /// Counts the input that another process has read on this connection.
    pub(crate) fn adopt_input(&mut self, connection: &mut Connection, now: Time) {
        let held = connection.input.len();
        self.memory.adopt(&mut connection.allowance, held, now);
    }

    /// Ends the wait of a connection that has waited for room for [`ROOM_TIMEOUT`], by rejecting a request: one that holds room
    /// and has not gone on for as long, or else the waiting one. Returns its connection, which the caller closes.
    pub(crate) fn on_room_timeout(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        core: &Core,
        now: Time,
    ) -> usize {
        let holder = connections
            .iter()
            .filter(|(_, connection)| connection.is_reading_request())
            .filter_map(|(id, connection)| {
                let granted = connection.allowance.reserved_since()?;
                Some((connection.last_used.max(granted), id))
            })
            .min()
            .filter(|(since, _)| now - *since >= ROOM_TIMEOUT);
        if let Some(connection) = connections.get_mut(id).filter(|_| holder.is_some()) {
            connection.allowance.wait_on(now);
        }
        let rejected = holder.map_or(id, |(_, holder)| holder);
        let answer = self.reject_for_memory(core, now);
        let is_resp = connections
            .get(rejected)
            .is_some_and(|c| matches!(c.kind, ConnectionKind::Client { .. }));
        let bytes = if is_resp {
            client_protocol::write_answer(answer)
        } else {
            webpush::write_answer(answer, "")
        };
        connections.send(rejected, &bytes, now);
        rejected
    }
}

/// When the connection times out; `None` while the client waits for this sender.
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
    } else if !connection.request_received {
        FIRST_REQUEST_TIMEOUT
    } else if !connection.input.is_empty() {
        TRANSFER_TIMEOUT
    } else {
        IDLE_TIMEOUT
    };
    let deadline = connection.waiting_since + timeout;
    let room_deadline = connection.allowance.deadline();
    Some(room_deadline.map_or(deadline, |room| room.min(deadline)))
}

/// The idle connection that is evicted first: see [`eviction_rank`].
pub(crate) fn eviction_candidate(connections: &ConnectionTable, now: Time) -> Option<usize> {
    connections
        .iter()
        .filter(|(_, connection)| connection.is_idle_client())
        .min_by_key(|(_, connection)| eviction_rank(connection, now))
        .map(|(id, _)| id)
}

/// The order in which idle connections are evicted: first closing ones; then those that sent no request within
/// [`NEW_CLIENT_GRACE`]; then those idle for so long that the platform's rules let a sender close them; then those with a recent
/// request; and last new ones, whose first request is in transit and would fail. When a sender stops, all its clients connect to
/// another one at once.
fn eviction_rank(connection: &Connection, now: Time) -> (u8, Time) {
    let waited = now - connection.waiting_since;
    let class = if matches!(connection.kind, ConnectionKind::Closing { .. }) {
        0
    } else if connection.request_received {
        if waited >= TRANSFER_TIMEOUT { 2 } else { 3 }
    } else if waited >= NEW_CLIENT_GRACE {
        1
    } else {
        4
    };
    (class, connection.waiting_since)
}

/// Answers the request in progress. With `closing` the connection is closed afterwards unless another request has arrived.
pub(crate) fn answer(
    connections: &mut ConnectionTable,
    id: usize,
    bytes: &[u8],
    closing: bool,
    now: Time,
) {
    if mutation::is_enabled(Mutation::HoldsAnswers) {
        return;
    }
    if mutation::is_enabled(Mutation::ClosesClients) && mutation::is_every_nth_call(3) {
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
    // The next request is not processed here: with pipelined requests that are answered immediately, that would recurse until the
    // stack overflows.
    connections.resume(id);
}

/// Answers an incomplete request whose timeout has expired.
pub(crate) fn answer_timeout(connections: &mut ConnectionTable, id: usize, now: Time) {
    const REASON: &str = "the request did not come whole in time";
    let Some(connection) = connections.get(id) else {
        return;
    };
    if !connection.is_written() || connection.input.is_empty() {
        return;
    }
    let bytes = match connection.kind {
        ConnectionKind::Client { .. } => client_protocol::write_error(REASON),
        _ => webpush::write_error(408, REASON),
    };
    connections.send(id, &bytes, now);
}

/// Half-closes a client's connection; returns false if it is closed completely. What the client still sends is read and
/// discarded: closing a socket with unread bytes resets the connection, and the client would lose answers in transit.
pub(crate) fn begin_close(connections: &mut ConnectionTable, id: usize, now: Time) -> bool {
    let Some(connection) = connections.get_mut(id) else {
        return false;
    };
    // There is no point in waiting for a client that has disconnected or does not read its answers.
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
    connection.clear_input();
    true
}

/// Reads again after a request was removed from the buffer: bytes that did not fit may wait in the socket.
pub(crate) fn refill(connections: &mut ConnectionTable, id: usize) {
    if let Some(connection) = connections.get_mut(id) {
        connection.fill();
    }
}

/// Answers bytes that can't be parsed, and closes the connection afterwards.
fn reject_malformed(connections: &mut ConnectionTable, id: usize, answer: &[u8], now: Time) {
    if let Some(connection) = connections.get_mut(id) {
        connection.close_after_write = true;
        connection.clear_input();
    }
    connections.send(id, answer, now);
}

/// Answers an invalid request with an error. After [`MAX_REQUEST_ERRORS`] the connection is closed, so that a client which sends
/// nothing else does not use this sender's time without limit.
fn reject_request(connections: &mut ConnectionTable, id: usize, answer: &[u8], now: Time) {
    if let Some(connection) = connections.get_mut(id) {
        connection.request_errors += 1;
        connection.close_after_write |= connection.request_errors >= MAX_REQUEST_ERRORS;
    }
    connections.send(id, answer, now);
}

#[cfg(test)]
mod tests;
