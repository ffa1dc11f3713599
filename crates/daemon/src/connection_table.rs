//! All connections by id, and the poll that waits for their events.

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

/// The result of [`ConnectionTable::transfer`].
pub(crate) enum Transfer {
    /// There is no such connection, or it is not established yet.
    NotReady,
    /// The connect failed.
    ConnectFailed(io::Error),
    /// Everything that could be sent and received without blocking was.
    Done { write_failed: bool },
}

/// All connections. Ids are not reused.
pub(crate) struct ConnectionTable {
    poll: Poll,
    connections: BTreeMap<usize, Connection>,
    index: ConnectionIndex,
    next_id: usize,
    /// Connections with input left to process, for which the poll reports no further event.
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

    /// Waits for events or until the timeout. A signal may end the wait early, without an event.
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

    /// Registers a connection with the poll and returns its id.
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

    /// Starts a connect and returns the connection's id.
    pub(crate) fn connect(
        &mut self,
        kind: ConnectionKind,
        address: SocketAddr,
        now: Time,
    ) -> io::Result<usize> {
        self.add(TcpStream::connect(address)?, kind, false, now)
    }

    /// Removes a connection; it is closed when the returned value is dropped.
    pub(crate) fn close(&mut self, id: usize) -> Option<Connection> {
        let connection = self.release(id)?;
        log::trace!(
            "connection {id}: {} closed, ended by the peer: {}, {} bytes unparsed, {} bytes unsent",
            connection.kind.name(),
            connection.ended,
            connection.input.len(),
            connection.output.len() - connection.written
        );
        Some(connection)
    }

    /// Removes a connection that was handed over to another process, without logging a close.
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

    /// Appends to a connection's output, and sends as much as the socket accepts.
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
            // The output can't be delivered. If it were kept, the connection would wait forever for its output to be written.
            connection.clear_output();
            connection.on_peer_gone();
        }
    }

    /// Sets a connection's output to a request, which is sent as soon as the connection is established.
    pub(crate) fn send_request(&mut self, id: usize, bytes: Vec<u8>, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.output, connection.written) = (bytes, 0);
            connection.last_used = now;
            if connection.established && !connection.flush() {
                connection.ended = true;
            }
        }
    }

    /// Sends and receives as much as possible without blocking.
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
        if !flushed && connection.is_client() {
            connection.on_peer_gone();
        }
        if had_output && connection.is_written() && connection.is_destination() {
            log::trace!("connection {id}: the call is written completely");
        }
        if matches!(connection.kind, ConnectionKind::Closing { .. }) {
            if connection.discard() {
                self.resume(id);
            }
        } else {
            connection.receive(clock.now());
        }
        Transfer::Done {
            write_failed: !flushed,
        }
    }

    /// Schedules the connection for the next iteration of the event loop: it has more input to process.
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
