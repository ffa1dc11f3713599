//! Packets between members.

use std::io::ErrorKind;
use std::time::Duration;

use super::command::PacketPath;
use super::worker::{RelaySocket, RelayWorker, TimerEvent};
use crate::path_faults::{PacketOutcome, outcome};

/// Larger than any packet of a member.
const MAX_PACKET_BYTES: usize = 2048;

impl RelayWorker {
    /// Receives all packets that have arrived at a socket.
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
                // Nobody listened where an earlier packet was sent.
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
            PacketOutcome::Through { at } if at.is_zero() => self.deliver(token, bytes),
            PacketOutcome::Through { at } => {
                let bytes = bytes.to_vec();
                self.schedule(at, TimerEvent::Deliver { token, bytes });
            }
        }
    }

    fn packet_outcome(&mut self, from: usize, to: usize) -> PacketOutcome {
        match self.now() {
            Some(now) => outcome(&self.network_faults, from, to, now, &mut self.rng),
            None => PacketOutcome::Through { at: Duration::ZERO },
        }
    }

    /// Sends a packet to the member of a socket.
    pub(super) fn deliver(&mut self, token: usize, bytes: &[u8]) {
        if let Some(RelaySocket::Packets(path)) = self.sockets.get(&token) {
            // A packet to a member that does not run is lost.
            let _ = path.socket.send_to(bytes, path.real);
        }
    }
}
