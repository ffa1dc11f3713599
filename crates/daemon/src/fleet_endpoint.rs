//! The sockets of the membership protocol: its UDP packets and timer, and the TCP listener for the view of the fleet.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_membership::{DropReason, Effect};
use cranehill_scheduler::Time;
use mio::net::{TcpListener, UdpSocket};
use mio::{Interest, Registry};

use crate::fleet::Fleet;
use crate::fleet_log;
use crate::listeners::{self, ListenError};
use crate::throttled_log::ThrottledLog;
use crate::tokens::{FLEET, STATUS};

/// Packets read in one iteration of the event loop; the rest wait in the socket's receive buffer.
pub(crate) const MAX_PACKETS_PER_ITERATION: usize = 64;
/// Receive buffer for one packet, larger than any packet that a member sends.
const MAX_PACKET_BYTES: usize = 2048;
/// Minimum interval between two log lines about dropped packets.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The result of reading the socket.
pub(crate) enum Received {
    Packet(Vec<u8>),
    /// An error, such as an ICMP "port unreachable" in response to a packet that was sent before.
    Failed,
    Nothing,
}

/// The sockets and the timer of the membership protocol.
pub(crate) struct FleetEndpoint {
    socket: UdpSocket,
    status: Option<TcpListener>,
    due: Option<Time>,
    /// More packets may wait, for which the poll reports no further event.
    has_more: bool,
    dropped: ThrottledLog,
}

impl FleetEndpoint {
    pub(crate) fn open(
        fleet: &Fleet,
        registry: &Registry,
        now: Time,
    ) -> Result<FleetEndpoint, ListenError> {
        let named = ListenError::bind("fleet: listen", fleet.listen);
        let mut socket = UdpSocket::bind(fleet.listen).map_err(&named)?;
        registry
            .register(&mut socket, FLEET, Interest::READABLE)
            .map_err(&named)?;
        let bind_status = |address| listeners::bind("fleet: status", address, STATUS, registry);
        Ok(FleetEndpoint {
            socket,
            status: fleet.status.map(bind_status).transpose()?,
            due: Some(now),
            has_more: false,
            dropped: ThrottledLog::new(DROP_LOG_INTERVAL, now),
        })
    }

    /// The listener for the view of the fleet.
    pub(crate) fn status_listener(&self) -> Option<&TcpListener> {
        self.status.as_ref()
    }

    pub(crate) fn status_address(&self) -> Option<SocketAddr> {
        listeners::local_address(self.status.as_ref())
    }

    /// When the membership protocol's timer fires.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Whether the timer has fired; clears it if so.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.due.take_if(|at| *at <= now).is_some()
    }

    pub(crate) fn has_more(&self) -> bool {
        self.has_more
    }

    /// Leaves the remaining packets for the next iteration of the event loop.
    pub(crate) fn leave_rest(&mut self) {
        self.has_more = true;
    }

    pub(crate) fn receive(&mut self) -> Received {
        self.has_more = false;
        let mut packet = [0; MAX_PACKET_BYTES];
        match self.socket.recv_from(&mut packet) {
            Ok((length, _)) => Received::Packet(packet[..length].to_vec()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Received::Nothing,
            Err(e) => {
                log::debug!("fleet: {e}");
                Received::Failed
            }
        }
    }

    /// Carries out an effect of the membership protocol; true if the next tick must take it into account.
    pub(crate) fn carry_out(&mut self, effect: Effect, now: Time) -> bool {
        match effect {
            Effect::Send { to, bytes } => {
                // A packet that can't be sent is treated as lost.
                if let Err(e) = self.socket.send_to(&bytes, to) {
                    log::debug!("fleet: sending to {to} failed: {e}");
                }
            }
            Effect::WakeAt(at) => self.due = Some(at),
            Effect::MemberChanged {
                view,
                previous_state,
            } => fleet_log::log_member(&view, previous_state),
            // The core handles these itself.
            Effect::LearnedStateRequested { .. } | Effect::LearnedStateReceived { .. } => {}
            Effect::Rejoined { incarnation } => {
                log::warn!(event = "rejoined", incarnation; "fleet: peers considered this process down; rejoined as incarnation {incarnation}");
            }
            Effect::ProcessPaused(pause) => {
                log::warn!(event = "process-pause", paused_ms = pause.as_millis() as u64;
                    "fleet: this process was paused for {pause:?}; membership timers are postponed by that time");
            }
            Effect::Dropped(reason) => self.on_dropped(reason, now),
            Effect::QuotaDivisorChanged(senders) => {
                log::info!(event = "quota-divisor", senders; "fleet: quota divisor is {senders}");
                return true;
            }
        }
        false
    }

    fn on_dropped(&mut self, reason: DropReason, now: Time) {
        if let Some(dropped) = self.dropped.record(now) {
            log::warn!(event = "packet-dropped", cause = reason.label(), dropped;
                "fleet: packet dropped: {reason}; {dropped} dropped since the last such line");
        }
    }
}
