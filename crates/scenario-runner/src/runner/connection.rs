//! Listeners and connections, without the loop that drives them.

use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::clients::Submission;
use mio::Token;
use mio::net::{TcpListener, TcpStream};

use crate::wire::{Framed, Request, WireError, parse_request};

/// Token of the waker, by which the threads that read the senders' logs interrupt a poll.
pub(super) const WAKE: Token = Token(usize::MAX);
/// Bytes of one read.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A connection's number, which is its token as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(pub usize);

/// A listening socket and what accepts its connections.
#[derive(Debug)]
pub(super) struct Listener {
    pub socket: TcpListener,
    pub serves: Service,
}

/// What a listener serves. Each sender has listeners of its own.
#[derive(Clone, Copy, Debug)]
pub(super) enum Service {
    Endpoint { sender: usize, endpoint: usize },
    Directory { sender: usize },
}

/// A connection between a sender and a simulated server.
#[derive(Debug)]
pub(super) struct Connection {
    pub stream: TcpStream,
    pub sender: usize,
    pub role: Role,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// When it was last used.
    pub used: Duration,
}

/// The simulated server or client of a connection.
#[derive(Debug)]
pub(super) enum Role {
    Destination(DestinationRole),
    Directory { watch: Option<HeldWatch> },
    Client(ClientRole),
}

/// A connection that an endpoint of a destination has accepted.
#[derive(Debug)]
pub(super) struct DestinationRole {
    pub endpoint: usize,
    pub names: AuditNames,
    /// A part of a request has arrived.
    pub request_started: bool,
    pub in_flight: Option<Call>,
}

/// The names of a connection and its endpoint in the record.
#[derive(Clone, Copy, Debug)]
pub(super) struct AuditNames {
    pub connection: u64,
    pub endpoint: usize,
    pub destination: u64,
}

/// A call that has arrived and is not answered yet.
#[derive(Debug)]
pub(super) struct Call {
    pub ids: Vec<String>,
    pub batch: bool,
    pub serial: u64,
}

/// A watch of the directory that is held until there is a change.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldWatch {
    /// The version that the sender has.
    pub from: u64,
    pub asked: Duration,
    pub hold: Duration,
}

/// A connection of a client to a sender.
#[derive(Debug)]
pub(super) struct ClientRole {
    pub protocol: ClientProtocol,
    /// The message that waits for its answer.
    pub in_flight: Option<Submission>,
    /// An answer has arrived on it.
    pub used: bool,
}

/// How a client submits messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientProtocol {
    Resp,
    WebPush,
}

/// How a connection is closed from our side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// By FIN.
    Orderly,
    /// By RST.
    Reset,
}

/// Connections of clients without a request, by protocol.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    resp: Vec<ConnectionId>,
    web_push: Vec<ConnectionId>,
}

impl IdleConnections {
    /// The idle connections of a protocol.
    pub(super) fn of(&mut self, protocol: ClientProtocol) -> &mut Vec<ConnectionId> {
        match protocol {
            ClientProtocol::Resp => &mut self.resp,
            ClientProtocol::WebPush => &mut self.web_push,
        }
    }
}

impl Connection {
    /// The destination's side, on a connection to an endpoint.
    pub(super) fn destination(&self) -> Option<&DestinationRole> {
        match &self.role {
            Role::Destination(role) => Some(role),
            _ => None,
        }
    }

    /// As [`Connection::destination`].
    pub(super) fn destination_mut(&mut self) -> Option<&mut DestinationRole> {
        match &mut self.role {
            Role::Destination(role) => Some(role),
            _ => None,
        }
    }

    /// The client's side, on a connection of a client.
    pub(super) fn client(&self) -> Option<&ClientRole> {
        match &self.role {
            Role::Client(role) => Some(role),
            _ => None,
        }
    }

    /// As [`Connection::client`].
    pub(super) fn client_mut(&mut self) -> Option<&mut ClientRole> {
        match &mut self.role {
            Role::Client(role) => Some(role),
            _ => None,
        }
    }

    /// The held watch, on a connection to the directory that has one.
    pub(super) fn watch(&self) -> Option<HeldWatch> {
        if let Role::Directory { watch } = &self.role {
            *watch
        } else {
            None
        }
    }

    /// Takes the next request from the input; `None` if it is not complete.
    pub(super) fn take_request(&mut self) -> Result<Option<Request>, WireError> {
        let Some(Framed { value, length }) = parse_request(&self.input)? else {
            return Ok(None);
        };
        self.input.drain(..length);
        Ok(Some(value))
    }

    /// Reads all bytes that have arrived; true if the peer has closed the connection.
    pub(super) fn fill(&mut self) -> bool {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    return !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected);
                }
            }
        }
    }

    /// Writes as much as the socket accepts.
    pub(super) fn flush(&mut self) {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return,
                Ok(n) => drop(self.output.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Not established yet, full, or broken: the last is found by reading.
                Err(_) => return,
            }
        }
    }
}

impl AuditNames {
    /// The connection was accepted.
    pub(super) fn opened(self) -> AuditEvent {
        AuditEvent::Opened {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
        }
    }

    /// The first byte of a call has arrived.
    pub(super) fn started(self) -> AuditEvent {
        AuditEvent::Begun {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
        }
    }

    /// A call with these messages has arrived.
    pub(super) fn called(self, ids: Vec<String>) -> AuditEvent {
        AuditEvent::Called {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
            ids,
        }
    }

    /// The connection ends without a valid reply to the call with these messages.
    pub(super) fn broke(self, ids: Vec<String>, executed: bool) -> AuditEvent {
        AuditEvent::Broke {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
            ids,
            executed,
        }
    }

    /// The connection was closed.
    pub(super) fn closed(self) -> AuditEvent {
        AuditEvent::Closed {
            connection: self.connection,
        }
    }
}
