//! Relays packets between members, and applies network faults to them.

use std::io::ErrorKind;
use std::time::Duration;

use super::command::PacketPath;
use super::worker::{RelaySocket, RelayWorker, TimerEvent};
use crate::path_faults::{PacketOutcome, apply_faults};

/// Size of the receive buffer: larger than any packet of a member.
const MAX_PACKET_BYTES: usize = 2048;

impl RelayWorker {
    /// Receives and relays all packets that have arrived at a socket.
    pub(super) fn receive_packets(&mut self, token: usize) {
        let mut bytes = [0; MAX_PACKET_BYTES];
        loop {
            let Some(RelaySocket::Packets(PacketPath { socket, to, .. })) =
                self.sockets.get(&token)
            else {
                return;
            };
            let to = *to;
            let (length, source) = match socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An ICMP error for an earlier packet, to a port without a listener.
                Err(_) => continue,
            };
            if let Some(&from) = self.members.get(&source) {
                self.traffic.add_packet(from, length);
                self.relay_packet(token, from, to, &bytes[..length]);
            }
        }
    }

    fn relay_packet(&mut self, token: usize, from: usize, to: usize, bytes: &[u8]) {
        match self.packet_outcome(from, to) {
            PacketOutcome::Lost => self.traffic.add_lost(),
            PacketOutcome::Delivered { at } if at.is_zero() => self.deliver(token, bytes),
            PacketOutcome::Delivered { at } => {
                let bytes = bytes.to_vec();
                self.schedule(at, TimerEvent::Deliver { token, bytes });
            }
        }
    }

    fn packet_outcome(&mut self, from: usize, to: usize) -> PacketOutcome {
        match self.now() {
            Some(now) => apply_faults(&self.network_faults, from, to, now, &mut self.rng),
            None => PacketOutcome::Delivered { at: Duration::ZERO },
        }
    }

    /// Sends a packet to the member that the socket serves.
    pub(super) fn deliver(&mut self, token: usize, bytes: &[u8]) {
        if let Some(RelaySocket::Packets(path)) = self.sockets.get(&token) {
            // An error means that the member does not run; the packet is lost, as on a real network.
            let _ = path.socket.send_to(bytes, path.real);
        }
    }
}
