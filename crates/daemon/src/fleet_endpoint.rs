//! This sender's sockets in the fleet: the membership's packets, its timer, and the listener of its view for operators.

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

/// Packets read at once; the rest wait in the system's queue.
pub(crate) const MAX_PACKETS_PER_ITERATION: usize = 64;
/// Larger than any that a member sends.
const MAX_PACKET_BYTES: usize = 2048;
/// How often the log says that packets are dropped.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What came of reading the socket.
pub(crate) enum Received {
    Packet(Vec<u8>),
    /// An error, such as the response of a machine where nobody listens any more to what was sent there.
    Failed,
    Nothing,
}

/// The sockets and the timer.
pub(crate) struct FleetEndpoint {
    socket: UdpSocket,
    status: Option<TcpListener>,
    due: Option<Time>,
    /// More packets wait, without a further event.
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

    /// The listener of the view for operators.
    pub(crate) fn status_listener(&self) -> Option<&TcpListener> {
        self.status.as_ref()
    }

    pub(crate) fn status_address(&self) -> Option<SocketAddr> {
        listeners::local_address(self.status.as_ref())
    }

    /// When the membership's timer is due.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Whether the timer is due, once.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.due.take_if(|at| *at <= now).is_some()
    }

    pub(crate) fn has_more(&self) -> bool {
        self.has_more
    }

    /// The rest of the packets is left for the next iteration.
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

    /// Carries out an effect of the membership; true if the next tick must decide about it.
    pub(crate) fn carry_out(&mut self, effect: Effect, now: Time) -> bool {
        match effect {
            Effect::Send { to, bytes } => {
                // A packet that can't be sent is a packet lost.
                if let Err(e) = self.socket.send_to(&bytes, to) {
                    log::debug!("fleet: to {to}: {e}");
                }
            }
            Effect::WakeAt(at) => self.due = Some(at),
            Effect::Changed { view, before } => fleet_log::log_member(&view, before),
            // The core carries these out.
            Effect::LearnedRequested { .. } | Effect::LearnedReceived { .. } => {}
            Effect::Rejoined { incarnation } => {
                log::warn!(event = "rejoined", incarnation; "fleet: the peers took this process for down; it rejoined as incarnation {incarnation}");
            }
            Effect::ProcessPaused(pause) => {
                log::warn!(event = "process-pause", paused_ms = pause.as_millis() as u64;
                    "fleet: this process was paused for {pause:?}; it draws no conclusion about its peers from that time");
            }
            Effect::Dropped(reason) => self.on_dropped(reason, now),
            Effect::ShareDivisor(senders) => {
                log::info!(event = "quota-divisor", senders; "fleet: shared limits are divided by {senders} senders");
                return true;
            }
        }
        false
    }

    fn on_dropped(&mut self, reason: DropReason, now: Time) {
        if let Some(dropped) = self.dropped.record(now) {
            log::warn!(event = "packet-dropped", cause = reason.label(), dropped;
                "fleet: a packet was dropped: {reason}; {dropped} since the last such line");
        }
    }
}
