//! The old process's side of a hand-over to a new version.

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

/// How long attempts are held back at most. Most calls are answered by then; those that hang would take their whole time, while
/// nothing is sent to any destination.
const MAX_QUIESCED: Duration = Duration::from_millis(400);

/// What the reactor is to do next.
pub(crate) enum HandoverStep {
    /// Nothing.
    None,
    /// A new process has requested a hand-over: attempts are held back from now on.
    Quiesce,
    /// The new process has disconnected.
    Abandon,
    /// No call is in flight any more, or the wait is over: everything is handed over.
    HandOver,
}

/// The socket in the state folder, and the hand-over in progress.
pub(crate) struct HandoverEndpoint {
    server: HandoverServer,
    /// Something happened at the socket.
    notified: bool,
    /// Since when attempts are held back.
    quiesced_since: Option<Time>,
}

impl HandoverEndpoint {
    /// Where the system or the folder has no such socket, a new version waits until this process has ended.
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
                log::warn!("hand-over: no socket in the folder: {e}; none will be possible");
            })
            .ok()
    }

    /// Something happened at the socket.
    pub(crate) fn notify(&mut self) {
        self.notified = true;
    }

    /// When the hand-over needs attention though nothing happens.
    pub(crate) fn next_check(&self, now: Time, tick: Duration) -> Option<Time> {
        let since = self.quiesced_since?;
        Some((now + tick).min(since + MAX_QUIESCED))
    }

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
            (false, Some(_)) => HandoverStep::Abandon,
            (true, Some(since)) if attempts_in_flight == 0 || now >= since + MAX_QUIESCED => {
                HandoverStep::HandOver
            }
            _ => HandoverStep::None,
        }
    }

    /// This process continues.
    pub(crate) fn abort(&mut self) {
        self.quiesced_since = None;
        self.server.abort();
    }

    /// Hands over everything but the folder's lock; returns the number of clients' connections that were.
    pub(crate) fn hand_over(
        &mut self,
        learned_state: Vec<u8>,
        listeners: &Listeners,
        connections: &mut ConnectionTable,
        clients: Vec<usize>,
    ) -> io::Result<usize> {
        self.server.pass_learned_state(learned_state)?;
        for (listener, web_push) in [(&listeners.clients, false), (&listeners.web_push, true)] {
            if let Some(listener) = listener {
                self.server.pass_listener(listener.as_fd(), web_push)?;
            }
        }
        let mut passed = 0;
        for id in clients {
            let Some(connection) = connections.get(id).filter(|c| can_be_passed(c)) else {
                continue;
            };
            self.server.pass_client(
                connection.stream.as_fd(),
                connection.input.clone(),
                connection.has_requested,
            )?;
            // Here it counts no more: the two processes together hold no more connections than one did.
            connections.release(id);
            passed += 1;
        }
        self.server.finish()?;
        Ok(passed)
    }
}

/// A client in the middle of an answer, or one that waits for a push's end, can't be moved.
fn can_be_passed(connection: &Connection) -> bool {
    matches!(connection.kind, ConnectionKind::Client { busy: false })
        && connection.is_written()
        && !connection.close_after_write
        && !connection.ended
}
