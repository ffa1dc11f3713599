//! One connection's bytes, in and out, and the clock.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;
use mio::net::TcpStream;

use crate::{client_protocol, http};
use cranehill_core::Attempt;

/// What an answer may take besides its body: the head, and the framing of chunks.
const HEAD_ROOM: usize = 32 * 1024;
/// The most that is read ahead on a connection, but for clients' and the directory's.
pub const ANSWER_MOST: usize = http::MAX_BODY_BYTES + HEAD_ROOM;

/// A call that is out.
pub struct InFlightCall {
    pub attempts: Vec<Attempt>,
    pub ids: Vec<String>,
    pub started: Time,
    /// An answer has begun in time that says it all, though more of it is to come.
    pub delivered: bool,
}

impl InFlightCall {
    /// When the wait for its answer ends.
    pub fn until(&self) -> Option<Time> {
        self.attempts.iter().map(|a| a.until).min()
    }

    /// Whether an answer that begins so has delivered all that is in the call: of several messages only the whole answer
    /// does.
    pub fn delivers(&self, answer: &[u8]) -> bool {
        let push = self.attempts.iter().any(|a| a.envelope.is_some());
        match http::first_line(answer) {
            Some(200..300) if push => true,
            Some(200) => self.ids.len() == 1,
            _ => false,
        }
    }
}

pub enum ConnectionKind {
    Client {
        busy: bool,
    },
    Pusher {
        busy: Option<String>,
        close: bool,
    },
    Destination {
        endpoint: EndpointId,
        address: String,
        call: Option<InFlightCall>,
        /// A probe, not a call.
        check: Option<Time>,
    },
    /// A client's that we end: the sending side is shut, what still comes is thrown away, and it closes then at the latest.
    Ending {
        until: Time,
    },
    /// The directory, whose answers may have a body of so many bytes.
    Directory {
        body_most: usize,
    },
    FinalReports,
    /// An operator; `all` calls are here, or the view of the fleet alone.
    Operator {
        all: bool,
    },
}

impl ConnectionKind {
    /// For the log.
    pub fn name(&self) -> &'static str {
        match self {
            ConnectionKind::Client { .. } => "client",
            ConnectionKind::Pusher { .. } => "Web Push client",
            ConnectionKind::Destination { .. } => "destination",
            ConnectionKind::Ending { .. } => "ending client",
            ConnectionKind::Directory { .. } => "discovery",
            ConnectionKind::FinalReports => "final reports",
            ConnectionKind::Operator { .. } => "operator",
        }
    }
}

pub struct Connection {
    pub stream: TcpStream,
    pub kind: ConnectionKind,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    pub written: usize,
    pub up: bool,
    pub ended: bool,
    /// When something last went over it.
    pub used: Time,
    /// A destination's: calls answered on it, and how long it had been idle when the latest one went.
    pub answered: u32,
    pub gap: Duration,
    /// A client's: since when we wait for it.
    pub since: Time,
    /// A client's: it has sent a whole request.
    pub asked: bool,
    /// A client's: requests that got an error.
    pub faults: u32,
    pub close_after: bool,
}

impl Connection {
    pub fn room(&self) -> usize {
        match self.kind {
            ConnectionKind::Client { .. } => client_protocol::MAX_REQUEST_BYTES,
            ConnectionKind::Directory { body_most } => body_most + HEAD_ROOM,
            _ => ANSWER_MOST,
        }
    }

    /// Reads what there is, within bounds.
    pub fn fill(&mut self) {
        let mut chunk = [0u8; 16 * 1024];
        while !self.ended && self.input.len() < self.room() {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
    }

    /// Writes what is due; false if the connection is broken.
    pub fn flush(&mut self) -> bool {
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

    pub fn written_out(&self) -> bool {
        self.written == self.output.len()
    }

    /// Whether the connection came up; an error if it never will.
    pub fn check_up(&mut self) -> io::Result<bool> {
        if self.up {
            return Ok(true);
        }
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.up = true;
                Ok(true)
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }
}

/// Takes the first bytes of what has come. A buffer that once held much is given back: hundreds of connections
/// keep theirs.
pub fn consume(input: &mut Vec<u8>, used: usize) {
    input.drain(..used);
    if input.is_empty() && input.capacity() > 4096 {
        *input = Vec::new();
    }
}
