//! Sockets of the loop: listeners, connections, and their reads and writes.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use cranehill_simulation::audit::What;
use cranehill_simulation::clients::Submission;
use cranehill_simulation::destination::Connect;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use socket2::SockRef;

use super::{IdleConnections, Runner};

/// Bytes that one read takes at most.
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

/// What a listener stands for. Each sender has listeners of its own.
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

/// Which simulated server has a connection.
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
    /// Bytes of a request have come, and not all of it.
    pub request_started: bool,
    pub in_flight: Option<Call>,
}

/// What a connection and its endpoint are called in the record.
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

/// A question to the directory that is held until there is a change.
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
    /// An answer has come on it.
    pub used: bool,
}

/// How a client hands messages in.
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

impl IdleConnections {
    pub fn of(&mut self, protocol: ClientProtocol) -> &mut Vec<ConnectionId> {
        match protocol {
            ClientProtocol::Resp => &mut self.resp,
            ClientProtocol::WebPush => &mut self.web_push,
        }
    }
}

impl Connection {
    pub fn destination(&self) -> Option<&DestinationRole> {
        if let Role::Destination(role) = &self.role {
            Some(role)
        } else {
            None
        }
    }

    pub fn destination_mut(&mut self) -> Option<&mut DestinationRole> {
        if let Role::Destination(role) = &mut self.role {
            Some(role)
        } else {
            None
        }
    }

    pub fn client(&self) -> Option<&ClientRole> {
        if let Role::Client(role) = &self.role {
            Some(role)
        } else {
            None
        }
    }

    pub fn client_mut(&mut self) -> Option<&mut ClientRole> {
        if let Role::Client(role) = &mut self.role {
            Some(role)
        } else {
            None
        }
    }

    /// The held watch, on a connection to the directory that has one.
    pub fn watch(&self) -> Option<HeldWatch> {
        if let Role::Directory { watch } = &self.role {
            *watch
        } else {
            None
        }
    }

    /// Reads what has come; true if the peer has closed the connection.
    fn fill(&mut self) -> bool {
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

    /// Writes as much as the socket takes.
    fn flush(&mut self) {
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

impl Runner<'_> {
    /// Accepts all connections that wait at a listener.
    pub(super) fn accept(&mut self, listener: usize) {
        loop {
            let Listener { socket, serves } = &self.listeners[listener];
            let serves = *serves;
            let stream = match socket.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
            };
            match serves {
                Service::Directory { sender } => {
                    let _ = self.add_connection(stream, sender, Role::Directory { watch: None });
                }
                Service::Endpoint { sender, endpoint } => {
                    self.accept_at_endpoint(stream, sender, endpoint)
                }
            }
        }
    }

    fn accept_at_endpoint(&mut self, stream: TcpStream, sender: usize, endpoint: usize) {
        let place = &self.endpoints[endpoint];
        let (destination, number, audited) = (place.destination, place.number, place.audited);
        let now = self.now();
        let connect = self.destinations[destination].connect(now, number);
        self.next_serial += 1;
        let names = AuditNames {
            connection: self.next_serial,
            endpoint: audited,
            destination: destination as u64,
        };
        let connection = names.connection;
        match connect {
            // The kernel has accepted already: a refusal becomes a reset, and what never comes up stays silent.
            Connect::Refused => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                drop(stream);
                let refused = names.broke(Vec::new(), false);
                self.record(
                    Some(sender),
                    refused,
                    &format!("connection {connection} refused"),
                );
            }
            Connect::Up | Connect::Nothing => {
                let line = format!("connection {connection} to endpoint {audited}");
                self.record(Some(sender), names.opened(), &line);
                let role = DestinationRole {
                    endpoint,
                    names,
                    request_started: false,
                    in_flight: None,
                };
                let _ = self.add_connection(stream, sender, Role::Destination(role));
            }
        }
    }

    pub(super) fn add_connection(
        &mut self,
        mut stream: TcpStream,
        sender: usize,
        role: Role,
    ) -> io::Result<ConnectionId> {
        let id = self.next_connection;
        self.next_connection = ConnectionId(id.0 + 1);
        let _ = stream.set_nodelay(true);
        self.poll.registry().register(
            &mut stream,
            Token(id.0),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        let used = self.now();
        let connection = Connection {
            stream,
            sender,
            role,
            input: Vec::new(),
            output: Vec::new(),
            used,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Writes bytes, now as far as the socket takes them.
    pub(super) fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.output.extend_from_slice(bytes);
            connection.flush();
        }
    }

    /// A socket can be read or written.
    pub(super) fn on_socket(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.flush();
        let before = connection.input.len();
        let ended = connection.fill();
        let any_read = connection.input.len() > before;
        match &connection.role {
            Role::Destination(_) => self.read_calls(id),
            Role::Directory { .. } => self.read_directory_requests(id),
            Role::Client(_) => self.read_answers(id),
        }
        if ended {
            self.on_peer_closed(id, any_read);
        }
    }

    /// The sender has closed a connection, or broken it.
    fn on_peer_closed(&mut self, id: ConnectionId, any_read: bool) {
        let Some(Connection { sender, role, .. }) = self.remove_connection(id) else {
            return;
        };
        match role {
            Role::Client(client) => self.on_client_closed(sender, client, any_read),
            Role::Destination(DestinationRole { names, .. }) => {
                let line = format!("connection {} closed", names.connection);
                self.record(Some(sender), names.closed(), &line);
            }
            Role::Directory { .. } => {}
        }
    }

    /// Closes a connection from our side.
    pub(super) fn close_connection(&mut self, id: ConnectionId, mode: CloseMode) {
        let Some(connection) = self.remove_connection(id) else {
            return;
        };
        if mode == CloseMode::Reset {
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        if let Role::Destination(DestinationRole { names, .. }) = connection.role {
            let line = format!("connection {} closed here", names.connection);
            self.record(Some(connection.sender), names.closed(), &line);
        }
    }

    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        let _ = self.poll.registry().deregister(&mut connection.stream);
        if let Some(role) = connection.destination() {
            let endpoint = &self.endpoints[role.endpoint];
            self.destinations[endpoint.destination].disconnect(endpoint.number);
        }
        Some(connection)
    }

    /// The connections for which `wanted` holds.
    pub(super) fn connections_where(
        &self,
        wanted: impl Fn(&Connection) -> bool,
    ) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, c)| wanted(c))
            .map(|(&id, _)| id)
            .collect()
    }
}

impl AuditNames {
    pub fn opened(self) -> What {
        let AuditNames {
            connection,
            endpoint,
            destination,
        } = self;
        What::Opened {
            connection,
            endpoint,
            destination,
        }
    }

    pub fn started(self) -> What {
        let AuditNames {
            connection,
            endpoint,
            destination,
        } = self;
        What::Begun {
            connection,
            endpoint,
            destination,
        }
    }

    pub fn called(self, ids: Vec<String>) -> What {
        let AuditNames {
            connection,
            endpoint,
            destination,
        } = self;
        What::Called {
            connection,
            endpoint,
            destination,
            ids,
        }
    }

    pub fn broke(self, ids: Vec<String>, executed: bool) -> What {
        let AuditNames {
            connection,
            endpoint,
            destination,
        } = self;
        What::Broke {
            connection,
            endpoint,
            destination,
            ids,
            executed,
        }
    }

    pub fn closed(self) -> What {
        What::Closed {
            connection: self.connection,
        }
    }
}
