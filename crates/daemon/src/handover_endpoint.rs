//! The hand-over of this process to a new version: when it begins, when no new attempts are started, and what is handed over.

use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::path::Path;
use std::time::Duration;

use cranehill_scheduler::Time;
use mio::unix::SourceFd;
use mio::{Interest, Registry};

use crate::connection::{Connection, ConnectionKind};
use crate::connection_table::ConnectionTable;
use crate::handover::HandoverServer;
use crate::listeners::Listeners;
use crate::tokens::HANDOVER;

/// Limit on the time for which no new attempts are started. Most calls are answered by then. Waiting for calls without a response
/// would stop all sending until their deadlines.
const MAX_QUIESCED: Duration = Duration::from_millis(400);

/// The next action of the reactor.
pub(crate) enum HandoverStep {
    /// No action.
    None,
    /// A new process has requested a hand-over: no new attempts may be started.
    Quiesce,
    /// The new process has disconnected: the hand-over is cancelled.
    Cancel,
    /// No call is in flight, or [`MAX_QUIESCED`] has passed: everything must be handed over now.
    HandOver,
}

/// The socket in the state folder, and the hand-over in progress.
pub(crate) struct HandoverEndpoint {
    server: HandoverServer,
    /// The poll reported an event on the socket.
    notified: bool,
    /// Since when no new attempts are started; `None` without a hand-over in progress.
    quiesced_since: Option<Time>,
}

impl HandoverEndpoint {
    /// Opens the socket in the folder. If that fails, hand-over is not possible: a new version waits until this process has ended.
    pub(crate) fn open(dir: &Path, registry: &Registry) -> Option<HandoverEndpoint> {
        let opened = HandoverServer::open(dir).and_then(|server| {
            let descriptor = server.listener().as_raw_fd();
            registry.register(&mut SourceFd(&descriptor), HANDOVER, Interest::READABLE)?;
            Ok(HandoverEndpoint {
                server,
                notified: false,
                quiesced_since: None,
            })
        });
        opened
            .inspect_err(|e| {
                log::warn!(
                    "hand-over: can't open the socket in the state folder: {e}; hand-over disabled"
                );
            })
            .ok()
    }

    /// Records that the poll reported an event on the socket.
    pub(crate) fn notify(&mut self) {
        self.notified = true;
    }

    /// When [`HandoverEndpoint::next_step`] must be called next without an event.
    pub(crate) fn next_check(&self, now: Time, tick: Duration) -> Option<Time> {
        let since = self.quiesced_since?;
        Some((now + tick).min(since + MAX_QUIESCED))
    }

    /// The next action, given the number of attempts in flight.
    pub(crate) fn next_step(&mut self, now: Time, attempts_in_flight: usize) -> HandoverStep {
        if !self.notified && self.quiesced_since.is_none() {
            return HandoverStep::None;
        }
        self.notified = false;
        match (self.server.is_requested(), self.quiesced_since) {
            (true, None) => {
                self.quiesced_since = Some(now);
                HandoverStep::Quiesce
            }
            (false, Some(_)) => HandoverStep::Cancel,
            (true, Some(since)) if attempts_in_flight == 0 || now >= since + MAX_QUIESCED => {
                HandoverStep::HandOver
            }
            _ => HandoverStep::None,
        }
    }

    /// Cancels the hand-over, so that this process continues to serve its clients.
    pub(crate) fn cancel(&mut self) {
        self.quiesced_since = None;
        self.server.disconnect_requester();
    }

    /// Hands over everything except the folder's lock; returns the number of client connections that were handed over.
    pub(crate) fn hand_over(
        &mut self,
        learned_state: Vec<u8>,
        listeners: &Listeners,
        connections: &mut ConnectionTable,
        clients: Vec<usize>,
    ) -> io::Result<usize> {
        self.server.send_learned_state(learned_state)?;
        for (listener, web_push) in [(&listeners.clients, false), (&listeners.web_push, true)] {
            if let Some(listener) = listener {
                self.server.send_listener(listener.as_fd(), web_push)?;
            }
        }
        let mut handed_over = 0;
        for id in clients {
            let Some(connection) = connections.get(id).filter(|c| can_be_handed_over(c)) else {
                continue;
            };
            self.server.send_client(
                connection.stream.as_fd(),
                connection.input.clone(),
                connection.request_received,
            )?;
            // The connection is removed here, so that both processes together hold no more connections than one did.
            connections.release(id);
            handed_over += 1;
        }
        self.server.finish()?;
        Ok(handed_over)
    }
}

/// Whether a client connection can be handed over: no answer is pending or partially written, and it is not a Web Push client.
fn can_be_handed_over(connection: &Connection) -> bool {
    matches!(connection.kind, ConnectionKind::Client { busy: false })
        && connection.is_written()
        && !connection.close_after_write
        && !connection.ended
}
