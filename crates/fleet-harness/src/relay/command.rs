//! Commands to the relay's thread.

use std::net::SocketAddr;
use std::time::Instant;

use mio::net::{TcpListener, UdpSocket};

/// A command to the relay's thread.
pub(super) enum Command {
    /// Relay packets to a member.
    AddPacketPath(PacketPath),
    /// Relay connections of a sender to an endpoint.
    AddConnectionPath(ConnectionPath),
    /// The clock of the faults starts.
    Begin(Instant),
    /// End the thread.
    End,
}

/// The path of packets to one member, from all others.
pub(super) struct PacketPath {
    /// Receives the others' packets.
    pub socket: UdpSocket,
    /// The member.
    pub to: usize,
    /// Where the member receives packets.
    pub real: SocketAddr,
}

/// The path of connections from one sender to one endpoint.
pub(super) struct ConnectionPath {
    /// Accepts the sender's connections.
    pub listener: TcpListener,
    /// The sender.
    pub sender: usize,
    /// The zone of the endpoint.
    pub zone: usize,
    /// Where the endpoint listens.
    pub real: SocketAddr,
}
