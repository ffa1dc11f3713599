//! One TCP connection: its socket, its buffers, and the state of the protocol it carries.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use cranehill_core::Attempt;
use cranehill_core::mutation::{self, Mutation};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;
use mio::net::TcpStream;

use crate::client_memory::{InputAllowance, SMALL_INPUT_BYTES};
use crate::{client_protocol, http};

/// Allowance for the head of an HTTP message and the framing of chunks, in addition to the body.
const MAX_FRAMING_BYTES: usize = 32 * 1024;
/// Limit on the bytes of an HTTP request or response, and so of the input buffers except those of RESP clients and of discovery.
pub(crate) const MAX_HTTP_MESSAGE_BYTES: usize = http::MAX_BODY_BYTES + MAX_FRAMING_BYTES;
/// Bytes read by one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Capacity up to which an empty buffer is kept.
const MAX_IDLE_BUFFER_BYTES: usize = 4096;
/// Bytes of a half-closed connection that are read and discarded at once.
const MAX_DISCARDED_BYTES: usize = 8 * READ_CHUNK_BYTES;
/// A response that has begun counts as stalled when nothing arrives for this long.
const MAX_RESPONSE_PAUSE: Duration = Duration::from_millis(400);

/// A connection rests for this long after a response before its next request. HTTP/1.1 does not tell which request a response belongs
/// to: a second copy of a response that arrives during the next request would be taken for the response to that one. Bytes that arrive
/// while the connection rests end it instead. Copies arrive right behind the response, within the tolerance of the platform's time
/// limits.
pub(crate) const REST_AFTER_RESPONSE: Duration = Duration::from_millis(50);

/// A call to a destination whose response is not complete.
pub(crate) struct InFlightCall {
    pub(crate) attempts: Vec<Attempt>,
    /// The message ids of the attempts, in the order of the call.
    pub(crate) ids: Vec<String>,
    pub(crate) started: Time,
    /// The response is incomplete, but its status line arrived in time and reports the message as delivered.
    pub(crate) delivered: bool,
}

impl InFlightCall {
    pub(crate) fn new(attempts: Vec<Attempt>, started: Time) -> InFlightCall {
        InFlightCall {
            ids: attempts.iter().map(|a| a.id.clone()).collect(),
            attempts,
            started,
            delivered: false,
        }
    }

    /// When the call times out: the earliest end of its attempts.
    pub(crate) fn deadline(&self) -> Option<Time> {
        self.attempts.iter().map(|a| a.times_out_at).min()
    }

    pub(crate) fn is_web_push(&self) -> bool {
        self.attempts.iter().any(|a| a.envelope.is_some())
    }

    /// Whether a partial response already shows that everything in the call is delivered. For a call of several messages, only
    /// the complete response does.
    pub(crate) fn is_delivered_by(&self, response: &[u8]) -> bool {
        match http::early_status(response) {
            Some(200..300) if self.is_web_push() => true,
            Some(200) => self.ids.len() == 1,
            _ => false,
        }
    }
}

/// The peer of a connection, with the state of the exchange.
pub(crate) enum ConnectionKind {
    /// A client that submits messages over RESP2.
    Client {
        /// A message is submitted and not answered yet.
        busy: bool,
    },
    /// An application server that submits Web Push messages.
    WebPushClient {
        /// The id of the submitted message that is not answered yet.
        pending: Option<String>,
        /// The connection is closed after the answer.
        close: bool,
    },
    /// An endpoint of a destination. The connection is idle without a call or a health check.
    Destination {
        endpoint: EndpointId,
        address: String,
        call: Option<InFlightCall>,
        /// When the health check in progress was sent.
        check: Option<Time>,
    },
    /// A client's connection that is half-closed: this side sends nothing more, and discards what still arrives.
    Closing {
        /// When it is closed completely if the client has not closed it before.
        deadline: Time,
    },
    /// Discovery: the watch on the endpoint list.
    Discovery { max_body_bytes: usize },
    /// The platform: calls with final reports.
    FinalReports,
    /// An operator's HTTP client.
    Operator {
        /// Every command is allowed; otherwise only the status of the fleet.
        all_commands: bool,
    },
}

impl ConnectionKind {
    /// The kind's name in log lines.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            ConnectionKind::Client { .. } => "client",
            ConnectionKind::WebPushClient { .. } => "Web Push client",
            ConnectionKind::Destination { .. } => "destination",
            ConnectionKind::Closing { .. } => "closing client",
            ConnectionKind::Discovery { .. } => "discovery",
            ConnectionKind::FinalReports => "final reports",
            ConnectionKind::Operator { .. } => "operator",
        }
    }
}

/// Empties a buffer. A large one is freed, since hundreds of idle connections each have one.
fn clear_buffer(buffer: &mut Vec<u8>) {
    buffer.clear();
    if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = Vec::new();
    }
}

/// A connection with its buffers and timestamps.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) kind: ConnectionKind,
    /// Bytes received and not yet parsed.
    pub(crate) input: Vec<u8>,
    /// Clients only: how much input the connection may hold.
    pub(crate) allowance: InputAllowance,
    /// Bytes to send, of which the first `written` are sent.
    pub(crate) output: Vec<u8>,
    pub(crate) written: usize,
    /// The TCP connection is established; false while the connect is in progress.
    pub(crate) established: bool,
    /// The peer has closed the connection, or an error ended it.
    pub(crate) ended: bool,
    /// Clients only: the peer has shut its sending side; what it sent before may still be unread.
    pub(crate) peer_finished: bool,
    /// When bytes were last sent or received.
    pub(crate) last_used: Time,
    /// Destinations only: calls answered on this connection.
    pub(crate) responses: u32,
    /// Destinations and final reports only: when the latest response was complete.
    pub(crate) idle_since: Option<Time>,
    /// Destinations only: how long the connection was idle before the latest call.
    pub(crate) idle_before_call: Duration,
    /// Clients and operators only: since when this sender waits for the peer.
    pub(crate) waiting_since: Time,
    /// Clients only: a complete request has been received.
    pub(crate) request_received: bool,
    /// Clients only: requests answered with an error.
    pub(crate) request_errors: u32,
    /// The connection is closed once its output is written.
    pub(crate) close_after_write: bool,
}

impl Connection {
    pub(crate) fn new(
        stream: TcpStream,
        kind: ConnectionKind,
        established: bool,
        now: Time,
    ) -> Connection {
        Connection {
            stream,
            kind,
            input: Vec::new(),
            allowance: InputAllowance::default(),
            output: Vec::new(),
            written: 0,
            established,
            ended: false,
            peer_finished: false,
            last_used: now,
            responses: 0,
            idle_since: None,
            idle_before_call: Duration::ZERO,
            waiting_since: now,
            request_received: false,
            request_errors: 0,
            close_after_write: false,
        }
    }

    /// Limit of the input buffer.
    pub(crate) fn max_input_bytes(&self) -> usize {
        match self.kind {
            ConnectionKind::Client { .. } | ConnectionKind::WebPushClient { .. } => {
                self.allowance.limit()
            }
            ConnectionKind::Discovery { max_body_bytes } => max_body_bytes + MAX_FRAMING_BYTES,
            _ => MAX_HTTP_MESSAGE_BYTES,
        }
    }

    /// Reads what has arrived, up to [`Connection::max_input_bytes`].
    pub(crate) fn fill(&mut self) {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let limit = self.max_input_bytes();
        while self.input.len() < limit {
            let room = chunk.len().min(limit - self.input.len());
            let Some(received) = self.read(&mut chunk[..room]) else {
                return;
            };
            self.reserve_input(received, limit);
            self.input.extend_from_slice(&chunk[..received]);
        }
    }

    /// Reads more of a client's request that needs `needed` bytes, whether or not there is room for it: the connection is about to be
    /// closed, and its requests are only rejected. Returns whether anything has arrived.
    pub(crate) fn read_up_to(&mut self, needed: usize) -> bool {
        let held = self.input.len();
        self.allowance.lift(held, needed);
        self.fill();
        self.input.len() > held
    }

    /// Reads and discards what has arrived; returns whether more may be there.
    pub(crate) fn discard(&mut self) -> bool {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            let Some(received) = self.read(&mut chunk) else {
                return false;
            };
            discarded += received;
        }
        true
    }

    /// Reads once; `None` if nothing has arrived or the connection has ended.
    fn read(&mut self, buffer: &mut [u8]) -> Option<usize> {
        while !self.ended {
            match self.stream.read(buffer) {
                Ok(0) => self.ended = true,
                Ok(received) => return Some(received),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.on_peer_gone(),
            }
        }
        None
    }

    /// The peer can't receive any more. A client's requests that are not processed yet are discarded: it would not learn that they were
    /// accepted, and may have submitted them elsewhere.
    pub(crate) fn on_peer_gone(&mut self) {
        self.ended = true;
        if self.is_client() {
            self.clear_input();
            self.clear_output();
        }
    }

    /// Reserves memory for `received` further bytes: for a client's request at once as much as it may use, since growth by steps would
    /// leave the freed smaller buffers of many clients behind in the heap.
    fn reserve_input(&mut self, received: usize, limit: usize) {
        if self.is_client() {
            self.input.reserve_exact(limit - self.input.len());
        } else {
            self.input.reserve(received);
        }
    }

    /// Sends as much output as the socket accepts; false if the connection failed.
    pub(crate) fn flush(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return false,
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    pub(crate) fn is_written(&self) -> bool {
        self.written == self.output.len()
    }

    pub(crate) fn clear_output(&mut self) {
        clear_buffer(&mut self.output);
        self.written = 0;
    }

    /// Discards a response that has been parsed.
    pub(crate) fn clear_response(&mut self) {
        clear_buffer(&mut self.input);
    }

    /// Removes the first `parsed` bytes of a client's input, and gives back memory that the rest does not need.
    pub(crate) fn consume(&mut self, parsed: usize) {
        self.input.drain(..parsed);
        let held = self.input.len();
        if held <= SMALL_INPUT_BYTES && self.input.capacity() > SMALL_INPUT_BYTES {
            // Shrinking the buffer in place would split the heap into pieces too small for the next large request.
            self.input = self.input.to_vec();
        }
        self.allowance.lower(held);
    }

    /// Discards a client's input.
    pub(crate) fn clear_input(&mut self) {
        self.consume(self.input.len());
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    /// The connect failed.
    pub(crate) fn check_established(&mut self) -> io::Result<bool> {
        if self.established {
            return Ok(true);
        }
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.established = true;
                Ok(true)
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads what has arrived, and updates the timestamps; returns whether anything has.
    pub(crate) fn receive(&mut self, now: Time) -> bool {
        let held = self.input.len();
        self.fill();
        let received = self.input.len() > held;
        if received {
            self.on_received(held == 0, now);
        }
        received
    }

    /// Updates the timestamps after bytes were received; `first` if the input was empty before.
    fn on_received(&mut self, first: bool, now: Time) {
        // The watch's timeout counts from its request.
        if !matches!(self.kind, ConnectionKind::Discovery { .. }) {
            self.last_used = now;
        }
        // A further request begins. The first request's timeout counts from the connect instead.
        if first && self.request_received && self.is_written() {
            self.waiting_since = now;
        }
    }

    pub(crate) fn is_client(&self) -> bool {
        matches!(
            self.kind,
            ConnectionKind::Client { .. }
                | ConnectionKind::WebPushClient { .. }
                | ConnectionKind::Closing { .. }
        )
    }

    /// Whether it is a client's connection without a request in progress, which may be closed at any time.
    pub(crate) fn is_idle_client(&self) -> bool {
        let waits = matches!(
            self.kind,
            ConnectionKind::Client { busy: false }
                | ConnectionKind::WebPushClient { pending: None, .. }
                | ConnectionKind::Closing { .. }
        );
        waits && self.is_written() && !self.has_buffered_request() && !self.allowance.is_waiting()
    }

    /// Whether the next request of a client is being read: none before it is in progress.
    pub(crate) fn is_reading_request(&self) -> bool {
        matches!(
            self.kind,
            ConnectionKind::Client { busy: false }
                | ConnectionKind::WebPushClient { pending: None, .. }
        )
    }

    /// Whether a request of a client has been received completely and is not answered.
    pub(crate) fn has_unanswered_request(&self) -> bool {
        let in_progress = matches!(
            self.kind,
            ConnectionKind::Client { busy: true }
                | ConnectionKind::WebPushClient {
                    pending: Some(_),
                    ..
                }
        );
        in_progress || self.has_buffered_request()
    }

    /// Whether the input of a client's connection begins with a complete request, or with bytes that are answered with an error.
    /// Pipelined requests wait there for the answers to earlier ones.
    fn has_buffered_request(&self) -> bool {
        if self.close_after_write {
            return false;
        }
        match self.kind {
            ConnectionKind::Client { .. } => {
                !matches!(client_protocol::parse(&self.input), Ok(None))
            }
            ConnectionKind::WebPushClient { .. } => !matches!(http::request(&self.input), Ok(None)),
            _ => false,
        }
    }

    /// Whether shutdown must wait for this client's connection. A client that waits for the result of a push does not delay it:
    /// it is answered at the end of the process.
    pub(crate) fn delays_shutdown(&self) -> bool {
        match &self.kind {
            ConnectionKind::Closing { .. } => true,
            ConnectionKind::WebPushClient {
                pending: Some(_), ..
            } => false,
            _ => self.is_client() && !self.is_idle_client(),
        }
    }

    /// Reads from the socket, and returns whether a client has sent nothing beyond what was answered. An unread request must not be
    /// lost by closing its connection.
    pub(crate) fn has_nothing_unread(&mut self) -> bool {
        self.fill();
        self.input.is_empty()
    }

    pub(crate) fn is_operator(&self) -> bool {
        matches!(self.kind, ConnectionKind::Operator { .. })
    }

    pub(crate) fn is_destination(&self) -> bool {
        matches!(self.kind, ConnectionKind::Destination { .. })
    }

    pub(crate) fn is_idle_destination(&self) -> bool {
        matches!(
            self.kind,
            ConnectionKind::Destination {
                call: None,
                check: None,
                ..
            }
        )
    }

    /// Whether the connection has had a response so recently that a second copy of it may still arrive.
    pub(crate) fn is_resting(&self, now: Time) -> bool {
        self.idle_since
            .is_some_and(|since| now - since < REST_AFTER_RESPONSE)
            && !mutation::is_enabled(Mutation::ReusesAtOnce)
    }

    pub(crate) fn call(&self) -> Option<&InFlightCall> {
        match &self.kind {
            ConnectionKind::Destination { call, .. } => call.as_ref(),
            _ => None,
        }
    }

    pub(crate) fn has_unwritten_call(&self) -> bool {
        self.call().is_some() && !self.is_written()
    }

    /// When a response that has begun counts as stalled. Otherwise a response with an incomplete head, or with a length that does
    /// not match, would occupy a slot until the call's deadline.
    pub(crate) fn stall_deadline(&self) -> Option<Time> {
        (!self.input.is_empty()).then(|| self.last_used + MAX_RESPONSE_PAUSE)
    }

    /// After this time a call that is not written completely must not be sent: a message in it may have been executed before, and
    /// the repeat would fall outside the window of its class. The decision to send was in time, but the connection may be
    /// established late.
    pub(crate) fn write_deadline(&self) -> Option<Time> {
        let call = self.call().filter(|_| !self.is_written())?;
        call.attempts.iter().filter_map(|a| a.write_by).min()
    }
}
