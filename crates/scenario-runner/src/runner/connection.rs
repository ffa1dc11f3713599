//! Listeners and connections of the event loop, and the state of the simulated server or client at each.

use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::clients::Submission;
use mio::Token;
use mio::net::{TcpListener, TcpStream};

use crate::wire::{Framed, Request, WireError, parse_request};

/// Token of the waker, by which the threads that read the senders' logs interrupt the event loop's poll.
pub(super) const WAKE: Token = Token(usize::MAX);
/// Size of the buffer for one read from a socket, in bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// The number of a connection, which is also its token in the poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(pub usize);

/// A listening socket, and the simulated server that accepts its connections.
#[derive(Debug)]
pub(super) struct Listener {
    pub socket: TcpListener,
    pub owner: ListenerOwner,
}

/// The simulated server of a listener, and the only sender that connects to it. Every sender has separate listeners, because a
/// connection does not identify its sender otherwise.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListenerOwner {
    Endpoint { sender: usize, endpoint: usize },
    Directory { sender: usize },
}

/// A connection between a sender and a simulated server or client.
#[derive(Debug)]
pub(super) struct Connection {
    pub stream: TcpStream,
    /// Index of the sender.
    pub sender: usize,
    pub role: Role,
    /// Bytes that were read and not parsed yet.
    pub input: Vec<u8>,
    /// Bytes that the socket has not accepted yet.
    pub output: Vec<u8>,
    /// When it was opened, or when the latest complete request or reply was transferred; since the start of the scenario.
    pub last_used: Duration,
}

/// The state of the simulated server or client at a connection.
#[derive(Debug)]
pub(super) enum Role {
    Destination(DestinationRole),
    /// A connection to the directory, with the watch that is not answered yet.
    Directory {
        watch: Option<PendingWatch>,
    },
    Client(ClientRole),
}

/// The state of a connection that an endpoint of a destination has accepted.
#[derive(Debug)]
pub(super) struct DestinationRole {
    /// Index into [`Runner::endpoints`](super::state::Runner::endpoints).
    pub endpoint: usize,
    pub audit_numbers: AuditNumbers,
    /// Whether an incomplete call has arrived: some of its bytes, but not all.
    pub request_started: bool,
    pub in_flight: Option<Call>,
}

/// The numbers by which audit events refer to a connection, its endpoint and its destination.
#[derive(Clone, Copy, Debug)]
pub(super) struct AuditNumbers {
    pub connection: u64,
    pub endpoint: usize,
    pub destination: u64,
}

/// A call that has arrived and is not answered yet.
#[derive(Debug)]
pub(super) struct Call {
    /// Ids of its messages.
    pub ids: Vec<String>,
    /// Whether the call is a batch, whose reply lists the state of each message.
    pub batch: bool,
    /// Number of the call; unique in the run.
    pub serial: u64,
}

/// A watch of the directory whose response is delayed until the list changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingWatch {
    /// Version of the list that the sender has.
    pub known_version: u64,
    /// Since the start of the scenario.
    pub received_at: Duration,
    /// Time after `received_at` at which the watch is answered even if the list has not changed.
    pub max_hold: Duration,
}

/// The state of a client's connection to a sender.
#[derive(Debug)]
pub(super) struct ClientRole {
    pub protocol: ClientProtocol,
    /// The message that has no answer yet.
    pub in_flight: Option<Submission>,
    /// Whether an answer has arrived on this connection. The sender may then have closed it as idle.
    pub has_received_answer: bool,
}

/// The protocol with which a client submits messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientProtocol {
    Resp,
    WebPush,
}

/// How the runner closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// With a FIN.
    Orderly,
    /// With a RST.
    Reset,
}

/// Client connections to one sender without a request in flight, by protocol. Some may have been closed since they were added.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    resp: Vec<ConnectionId>,
    web_push: Vec<ConnectionId>,
}

impl IdleConnections {
    /// The idle connections that use a protocol.
    pub(super) fn of(&mut self, protocol: ClientProtocol) -> &mut Vec<ConnectionId> {
        match protocol {
            ClientProtocol::Resp => &mut self.resp,
            ClientProtocol::WebPush => &mut self.web_push,
        }
    }
}

impl Connection {
    /// The role, if this is a connection to an endpoint of a destination.
    pub(super) fn destination(&self) -> Option<&DestinationRole> {
        match &self.role {
            Role::Destination(role) => Some(role),
            _ => None,
        }
    }

    /// As [`Connection::destination`], mutable.
    pub(super) fn destination_mut(&mut self) -> Option<&mut DestinationRole> {
        match &mut self.role {
            Role::Destination(role) => Some(role),
            _ => None,
        }
    }

    /// The role, if this is a connection of a client.
    pub(super) fn client(&self) -> Option<&ClientRole> {
        match &self.role {
            Role::Client(role) => Some(role),
            _ => None,
        }
    }

    /// As [`Connection::client`], mutable.
    pub(super) fn client_mut(&mut self) -> Option<&mut ClientRole> {
        match &mut self.role {
            Role::Client(role) => Some(role),
            _ => None,
        }
    }

    /// The watch that is not answered yet, if this is a connection to the directory and has one.
    pub(super) fn watch(&self) -> Option<PendingWatch> {
        if let Role::Directory { watch } = &self.role {
            *watch
        } else {
            None
        }
    }

    /// Removes the next request from the input; `None` if it is not complete yet.
    pub(super) fn take_request(&mut self) -> Result<Option<Request>, WireError> {
        let Some(Framed { value, length }) = parse_request(&self.input)? else {
            return Ok(None);
        };
        self.input.drain(..length);
        Ok(Some(value))
    }

    /// Reads all bytes that have arrived into `input`; true if the peer has closed the connection, or the read failed.
    pub(super) fn read_available(&mut self) -> bool {
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

    /// Writes as much of the output as the socket accepts.
    pub(super) fn flush(&mut self) {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return,
                Ok(n) => drop(self.output.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Not connected yet, send buffer full, or failed. The next read detects a failure.
                Err(_) => return,
            }
        }
    }
}

impl AuditNumbers {
    /// The audit event for an accepted connection.
    pub(super) fn opened(self) -> AuditEvent {
        AuditEvent::Opened {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
        }
    }

    /// The audit event for the first byte of a call.
    pub(super) fn started(self) -> AuditEvent {
        AuditEvent::Begun {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
        }
    }

    /// The audit event for the arrival of a complete call with these messages.
    pub(super) fn called(self, ids: Vec<String>) -> AuditEvent {
        AuditEvent::Called {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
            ids,
        }
    }

    /// The audit event for a connection that the destination closes without a valid reply. `ids` are the messages of the call in
    /// flight, none without a call; `executed` is whether the destination executed them.
    pub(super) fn broke(self, ids: Vec<String>, executed: bool) -> AuditEvent {
        AuditEvent::Broke {
            connection: self.connection,
            endpoint: self.endpoint,
            destination: self.destination,
            ids,
            executed,
        }
    }

    /// The audit event for a connection that either side has closed.
    pub(super) fn closed(self) -> AuditEvent {
        AuditEvent::Closed {
            connection: self.connection,
        }
    }
}
