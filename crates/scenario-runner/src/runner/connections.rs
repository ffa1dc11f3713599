//! Accepts, reads, writes and closes the connections of the event loop.

use std::io::{self, ErrorKind};
use std::time::Duration;

use cranehill_simulation::destination::Connect;
use mio::net::TcpStream;
use mio::{Interest, Token};
use socket2::SockRef;

use super::connection::{
    AuditNumbers, CloseMode, Connection, ConnectionId, DestinationRole, Listener, ListenerOwner,
    Role,
};
use super::state::Runner;

impl Runner<'_> {
    /// Accepts all connections that are waiting at a listener.
    pub(super) fn accept(&mut self, listener: usize) {
        loop {
            let Listener { socket, owner } = &self.listeners[listener];
            let owner = *owner;
            let stream = match socket.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
            };
            match owner {
                ListenerOwner::Directory { sender } => {
                    let _ = self.add_connection(stream, sender, Role::Directory { watch: None });
                }
                ListenerOwner::Endpoint { sender, endpoint } => {
                    self.accept_at_endpoint(stream, sender, endpoint);
                }
            }
        }
    }

    fn accept_at_endpoint(&mut self, stream: TcpStream, sender: usize, endpoint: usize) {
        let endpoint_entry = &self.endpoints[endpoint];
        let (destination, number, audit_number) = (
            endpoint_entry.destination,
            endpoint_entry.number,
            endpoint_entry.audit_number,
        );
        let now = self.now();
        let connect = self.destinations[destination].connect(now, number);
        self.last_serial += 1;
        let audit_numbers = AuditNumbers {
            connection: self.last_serial,
            endpoint: audit_number,
            destination: destination as u64,
        };
        let connection = audit_numbers.connection;
        match connect {
            // The kernel has established the connection already. A refused one is reset instead, and one that should never be
            // established gets no replies.
            Connect::Refused => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                drop(stream);
                let refused = audit_numbers.broke(Vec::new(), false);
                self.record(
                    Some(sender),
                    refused,
                    &format!("connection {connection} refused"),
                );
            }
            Connect::Up | Connect::Nothing => {
                let line = format!("connection {connection} to endpoint {audit_number}");
                self.record(Some(sender), audit_numbers.opened(), &line);
                let role = DestinationRole {
                    endpoint,
                    audit_numbers,
                    request_started: false,
                    in_flight: None,
                };
                let _ = self.add_connection(stream, sender, Role::Destination(role));
            }
        }
    }

    /// Registers a connection with the poll.
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
        let last_used = self.now();
        let connection = Connection {
            stream,
            sender,
            role,
            input: Vec::new(),
            output: Vec::new(),
            last_used,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Writes bytes to a connection; what the socket does not accept now is written when it is writable.
    pub(super) fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.output.extend_from_slice(bytes);
            connection.flush();
        }
    }

    /// Handles a connection that can be read or written.
    pub(super) fn on_socket(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.flush();
        let before = connection.input.len();
        let ended = connection.read_available();
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

    /// Handles a connection that the sender has closed or reset.
    fn on_peer_closed(&mut self, id: ConnectionId, any_read: bool) {
        let Some(Connection { sender, role, .. }) = self.remove_connection(id) else {
            return;
        };
        match role {
            Role::Client(client) => self.on_client_closed(sender, client, any_read),
            Role::Destination(DestinationRole { audit_numbers, .. }) => {
                let line = format!(
                    "connection {} closed by the sender",
                    audit_numbers.connection
                );
                self.record(Some(sender), audit_numbers.closed(), &line);
            }
            Role::Directory { .. } => {}
        }
    }

    /// Closes a connection on the runner's side.
    pub(super) fn close_connection(&mut self, id: ConnectionId, mode: CloseMode) {
        let Some(connection) = self.remove_connection(id) else {
            return;
        };
        if mode == CloseMode::Reset {
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        if let Role::Destination(DestinationRole { audit_numbers, .. }) = connection.role {
            let line = format!(
                "connection {} closed by the endpoint",
                audit_numbers.connection
            );
            self.record(Some(connection.sender), audit_numbers.closed(), &line);
        }
    }

    /// Removes a connection without recording an event. Its socket is closed when the result is dropped.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        let _ = self.poll.registry().deregister(&mut connection.stream);
        if let Some(role) = connection.destination() {
            let endpoint = &self.endpoints[role.endpoint];
            self.destinations[endpoint.destination].disconnect(endpoint.number);
        }
        Some(connection)
    }

    /// The connections that match a predicate.
    pub(super) fn connections_where(
        &self,
        matches: impl Fn(&Connection) -> bool,
    ) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| matches(connection))
            .map(|(&id, _)| id)
            .collect()
    }
}
