//! Sockets of the loop: connections accepted, read, written and closed.

use std::io::{self, ErrorKind};
use std::time::Duration;

use cranehill_simulation::destination::Connect;
use mio::net::TcpStream;
use mio::{Interest, Token};
use socket2::SockRef;

use super::connection::{
    AuditNames, CloseMode, Connection, ConnectionId, DestinationRole, Listener, Role, Service,
};
use super::state::Runner;

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
                    self.accept_at_endpoint(stream, sender, endpoint);
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
            // The kernel has accepted already: a refused connection is reset, and one that is never established stays silent.
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

    /// Writes bytes, now as far as the socket accepts them.
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
