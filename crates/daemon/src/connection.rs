//! One connection: its socket, its buffers, and its state by kind.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use cranehill_core::Attempt;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;
use mio::net::TcpStream;

use crate::{client_protocol, http};

/// What a response may take besides its body: the head, and the framing of chunks.
const MAX_FRAMING_BYTES: usize = 32 * 1024;
/// The most that is read ahead on a connection, except on those of clients and of discovery.
pub(crate) const MAX_RESPONSE_BYTES: usize = http::MAX_BODY_BYTES + MAX_FRAMING_BYTES;
/// Bytes read by one call to the system.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// An empty buffer of more than this is freed: hundreds of connections keep theirs.
const MAX_IDLE_BUFFER_BYTES: usize = 4096;
/// The longest pause within a response that has begun.
const MAX_RESPONSE_PAUSE: Duration = Duration::from_millis(400);

/// A call to a destination that is not answered yet.
pub(crate) struct InFlightCall {
    pub(crate) attempts: Vec<Attempt>,
    /// The attempts' message ids, in order.
    pub(crate) ids: Vec<String>,
    pub(crate) started: Time,
    /// What has arrived of the response says in time that the message is delivered, though more of it is to come.
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

    /// When the wait for its response ends.
    pub(crate) fn deadline(&self) -> Option<Time> {
        self.attempts.iter().map(|a| a.until).min()
    }

    pub(crate) fn is_web_push(&self) -> bool {
        self.attempts.iter().any(|a| a.envelope.is_some())
    }

    /// Whether a response that begins like this has delivered everything in the call: of several messages only the complete
    /// response does.
    pub(crate) fn is_delivered_by(&self, response: &[u8]) -> bool {
        match http::early_status(response) {
            Some(200..300) if self.is_web_push() => true,
            Some(200) => self.ids.len() == 1,
            _ => false,
        }
    }
}

/// Whom a connection leads to, with the state of that exchange.
pub(crate) enum ConnectionKind {
    /// A client that submits messages over RESP2.
    Client {
        /// A message of it waits for its answer.
        busy: bool,
    },
    /// An application server that posts Web Push messages.
    WebPushClient {
        /// The id of the message that waits for its answer.
        pending: Option<String>,
        /// The connection ends after the answer.
        close: bool,
    },
    /// An endpoint of a destination. Without a call or a check it is idle.
    Destination {
        endpoint: EndpointId,
        address: String,
        call: Option<InFlightCall>,
        /// When a health check was sent.
        check: Option<Time>,
    },
    /// A client's that this side closes: its sending direction is shut, and what still arrives is discarded.
    Closing {
        /// When it is closed at the latest.
        deadline: Time,
    },
    /// The watch on the endpoint list.
    Discovery { max_body_bytes: usize },
    /// Final reports to the platform.
    FinalReports,
    /// An operator.
    Operator {
        /// Every command is allowed; else only the view of the fleet.
        all_commands: bool,
    },
}

impl ConnectionKind {
    /// For the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            ConnectionKind::Client { .. } => "client",
            ConnectionKind::WebPushClient { .. } => "Web Push client",
            ConnectionKind::Destination { .. } => "destination",
            ConnectionKind::Closing { .. } => "ending client",
            ConnectionKind::Discovery { .. } => "discovery",
            ConnectionKind::FinalReports => "final reports",
            ConnectionKind::Operator { .. } => "operator",
        }
    }
}

/// A connection with its buffers.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) kind: ConnectionKind,
    /// Received and not yet parsed.
    pub(crate) input: Vec<u8>,
    /// To be sent; its first `written` bytes have been.
    pub(crate) output: Vec<u8>,
    pub(crate) written: usize,
    /// The connection is open; false while it is being opened.
    pub(crate) established: bool,
    /// The peer has closed it, or it failed.
    pub(crate) ended: bool,
    /// When something was last sent or received.
    pub(crate) last_used: Time,
    /// A destination's: calls answered on it.
    pub(crate) responses: u32,
    /// A destination's: how long it had been idle when the latest call began.
    pub(crate) idle_before_call: Duration,
    /// A client's or operator's: since when this side waits for it.
    pub(crate) waiting_since: Time,
    /// A client's: it has sent a complete request.
    pub(crate) has_requested: bool,
    /// A client's: requests that were answered with an error.
    pub(crate) request_errors: u32,
    /// It is closed once its output is written.
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
            output: Vec::new(),
            written: 0,
            established,
            ended: false,
            last_used: now,
            responses: 0,
            idle_before_call: Duration::ZERO,
            waiting_since: now,
            has_requested: false,
            request_errors: 0,
            close_after_write: false,
        }
    }

    /// The most that is read ahead.
    pub(crate) fn max_input_bytes(&self) -> usize {
        match self.kind {
            ConnectionKind::Client { .. } => client_protocol::MAX_REQUEST_BYTES,
            ConnectionKind::Discovery { max_body_bytes } => max_body_bytes + MAX_FRAMING_BYTES,
            _ => MAX_RESPONSE_BYTES,
        }
    }

    /// Reads what has arrived, up to [`Connection::max_input_bytes`].
    pub(crate) fn fill(&mut self) {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        while !self.ended && self.input.len() < self.max_input_bytes() {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
    }

    /// Sends what can be sent now; false if the connection is broken.
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
        self.output.clear();
        self.written = 0;
    }

    /// Removes the first bytes of the input, which have been parsed.
    pub(crate) fn consume(&mut self, parsed: usize) {
        self.input.drain(..parsed);
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.input = Vec::new();
        }
    }

    /// Whether the connection is open by now; an error if it never will be.
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

    /// Bytes have arrived; `first` if the input was empty before.
    pub(crate) fn on_received(&mut self, first: bool, now: Time) {
        // A watch is judged by when it was requested.
        if !matches!(self.kind, ConnectionKind::Discovery { .. }) {
            self.last_used = now;
        }
        // A further request begins; the first one's time runs from the connecting.
        if first && self.has_requested && self.is_written() {
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

    /// Whether it is a client's with no request in progress, so that it may be closed at any time.
    pub(crate) fn is_idle_client(&self) -> bool {
        let waits = matches!(
            self.kind,
            ConnectionKind::Client { busy: false }
                | ConnectionKind::WebPushClient { pending: None, .. }
                | ConnectionKind::Closing { .. }
        );
        waits && self.is_written()
    }

    /// Whether the process must not end before this client's connection does. One that waits for a push's end is answered at the
    /// end of the process.
    pub(crate) fn delays_shutdown(&self) -> bool {
        match &self.kind {
            ConnectionKind::Closing { .. } => true,
            ConnectionKind::WebPushClient {
                pending: Some(_), ..
            } => false,
            _ => self.is_client() && !self.is_idle_client(),
        }
    }

    /// Whether a client has sent nothing beyond what was answered: an unread request must not be lost with its connection.
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

    pub(crate) fn call(&self) -> Option<&InFlightCall> {
        match &self.kind {
            ConnectionKind::Destination { call, .. } => call.as_ref(),
            _ => None,
        }
    }

    pub(crate) fn has_unwritten_call(&self) -> bool {
        self.call().is_some() && !self.is_written()
    }

    /// When a response that has begun is held for one that does not end. Protects slots against heads without an end and lengths
    /// that don't match, which would keep them until the call's deadline.
    pub(crate) fn stall_deadline(&self) -> Option<Time> {
        (!self.input.is_empty()).then(|| self.last_used + MAX_RESPONSE_PAUSE)
    }

    /// When a call that is not written completely must not be any more: a message in it may have been executed before, and a
    /// repeat would be outside the window of its class. Protects against connections that are established late: the decision
    /// was in time.
    pub(crate) fn write_deadline(&self) -> Option<Time> {
        let call = self.call().filter(|_| !self.is_written())?;
        call.attempts.iter().filter_map(|a| a.write_by).min()
    }
}
