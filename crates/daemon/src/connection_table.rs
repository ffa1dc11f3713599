//! All connections, by id, and the poll that watches them.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Registry, Token};

use crate::clock::Clock;
use crate::connection::{Connection, ConnectionKind};
use crate::connection_index::ConnectionIndex;
use crate::tokens::FIRST_CONNECTION;

/// What came of moving a connection's bytes.
pub(crate) enum Transfer {
    /// There is no such connection, or it is not open yet.
    NotReady,
    /// It can't be opened.
    ConnectFailed(io::Error),
    /// What could be sent and received was.
    Done { write_failed: bool },
}

/// All connections. An id is never used twice.
pub(crate) struct ConnectionTable {
    poll: Poll,
    connections: BTreeMap<usize, Connection>,
    index: ConnectionIndex,
    next_id: usize,
    /// Connections with more to process, without a further event.
    resumed: Vec<usize>,
}

impl ConnectionTable {
    pub(crate) fn new() -> io::Result<ConnectionTable> {
        Ok(ConnectionTable {
            poll: Poll::new()?,
            connections: BTreeMap::new(),
            index: ConnectionIndex::default(),
            next_id: FIRST_CONNECTION,
            resumed: Vec::new(),
        })
    }

    pub(crate) fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// Waits for events. A signal may end the wait early.
    pub(crate) fn wait(
        &mut self,
        events: &mut Events,
        timeout: Option<Duration>,
    ) -> io::Result<()> {
        match self.poll.poll(events, timeout) {
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(()),
            result => result,
        }
    }

    /// Adds a connection and returns its id.
    pub(crate) fn add(
        &mut self,
        mut stream: TcpStream,
        kind: ConnectionKind,
        established: bool,
        now: Time,
    ) -> io::Result<usize> {
        let id = self.next_id;
        self.next_id += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, Token(id), interest)?;
        let _ = stream.set_nodelay(true);
        self.index.add(&kind, id);
        let connection = Connection::new(stream, kind, established, now);
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Begins to open a connection.
    pub(crate) fn connect(
        &mut self,
        kind: ConnectionKind,
        address: SocketAddr,
        now: Time,
    ) -> io::Result<usize> {
        self.add(TcpStream::connect(address)?, kind, false, now)
    }

    /// Removes a connection, which ends when it is dropped.
    pub(crate) fn close(&mut self, id: usize) -> Option<Connection> {
        let connection = self.release(id)?;
        log::trace!(
            "connection {id}: {} closed, ended by the other side: {}, {} bytes read, {} not written",
            connection.kind.name(),
            connection.ended,
            connection.input.len(),
            connection.output.len() - connection.written
        );
        Some(connection)
    }

    /// Removes a connection that another process has by now.
    pub(crate) fn release(&mut self, id: usize) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        self.index.remove(&connection.kind, id);
        let _ = self.poll.registry().deregister(&mut connection.stream);
        Some(connection)
    }

    pub(crate) fn get(&self, id: usize) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: usize) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Connection> {
        self.connections.values()
    }

    /// Connections with their ids, the oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &Connection)> {
        self.connections.iter().map(|(&id, c)| (id, c))
    }

    /// The ids of matching connections, the oldest first.
    pub(crate) fn ids(&self, matches: impl Fn(&Connection) -> bool) -> Vec<usize> {
        self.iter()
            .filter(|(_, connection)| matches(connection))
            .map(|(id, _)| id)
            .collect()
    }

    pub(crate) fn count(&self, matches: impl Fn(&Connection) -> bool) -> usize {
        self.values().filter(|c| matches(c)).count()
    }

    /// The matching connections to an endpoint, the oldest first.
    pub(crate) fn of_endpoint(
        &self,
        endpoint: &EndpointId,
        matches: impl Fn(&Connection) -> bool,
    ) -> impl Iterator<Item = (usize, &Connection)> {
        self.index
            .of(endpoint)
            .filter_map(|id| Some((id, self.connections.get(&id)?)))
            .filter(move |(_, connection)| matches(connection))
    }

    /// Appends to a connection's output, and sends what can be sent at once.
    pub(crate) fn send(&mut self, id: usize, bytes: &[u8], now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.is_written() {
            connection.clear_output();
        }
        connection.output.extend_from_slice(bytes);
        (connection.last_used, connection.waiting_since) = (now, now);
        if !connection.flush() {
            // Nobody will read it: without this the connection would wait forever to be written to.
            connection.ended = true;
            connection.clear_output();
        }
    }

    /// Sets a connection's next request, which is sent as soon as the connection is open.
    pub(crate) fn send_request(&mut self, id: usize, bytes: Vec<u8>, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.output, connection.written) = (bytes, 0);
            connection.last_used = now;
            if connection.established && !connection.flush() {
                connection.ended = true;
            }
        }
    }

    /// Sends and receives what is possible without waiting.
    pub(crate) fn transfer(&mut self, id: usize, clock: &Clock) -> Transfer {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Transfer::NotReady;
        };
        match connection.check_established() {
            Ok(true) => {}
            Ok(false) => return Transfer::NotReady,
            Err(e) => return Transfer::ConnectFailed(e),
        }
        let had_output = !connection.is_written();
        let flushed = connection.flush();
        if had_output && connection.is_written() && connection.is_destination() {
            log::trace!("connection {id}: all of the call is written");
        }
        let unparsed = connection.input.len();
        connection.fill();
        if connection.input.len() > unparsed {
            connection.on_received(unparsed == 0, clock.now());
        }
        Transfer::Done {
            write_failed: !flushed,
        }
    }

    /// The connection has more to process, after the others had their turn.
    pub(crate) fn resume(&mut self, id: usize) {
        self.resumed.push(id);
    }

    pub(crate) fn has_resumed(&self) -> bool {
        !self.resumed.is_empty()
    }

    pub(crate) fn take_resumed(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.resumed)
    }
}
