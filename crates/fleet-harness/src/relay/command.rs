//! Commands from the relay's owner to its thread.

use std::net::SocketAddr;
use std::time::Instant;

use mio::net::{TcpListener, UdpSocket};

/// A command to the relay's thread.
pub(super) enum Command {
    /// Relay packets to a member.
    AddPacketPath(PacketPath),
    /// Relay connections from a sender to an endpoint.
    AddConnectionPath(ConnectionPath),
    /// Start the clock of the network faults at this time.
    Begin(Instant),
    /// End the thread.
    End,
}

/// The path of packets to one member, from all others.
pub(super) struct PacketPath {
    /// Socket that receives the other members' packets.
    pub socket: UdpSocket,
    /// Number of the receiving member.
    pub to: usize,
    /// Address at which the member receives packets.
    pub real: SocketAddr,
}

/// The path of connections from one sender to one endpoint.
pub(super) struct ConnectionPath {
    /// Listener that accepts the sender's connections.
    pub listener: TcpListener,
    /// Number of the sender.
    pub sender: usize,
    /// Number of the endpoint's zone.
    pub zone: usize,
    /// Address at which the endpoint listens.
    pub real: SocketAddr,
}
