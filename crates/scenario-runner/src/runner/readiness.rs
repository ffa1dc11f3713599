//! Waits until the senders are ready, before a scenario starts.

use std::time::{Duration, Instant};

use mio::Events;

use super::state::Runner;
use crate::error::RunError;

/// How long the runner waits for all senders to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether the senders are ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound on the events that one poll returns.
const READY_EVENTS_PER_POLL: usize = 256;

impl Runner<'_> {
    /// Runs the event loop until all senders are ready.
    ///
    /// # Errors
    /// A sender's process exits, or the senders are not ready within [`READY_TIMEOUT`].
    pub(super) fn wait_ready(&mut self) -> Result<(), RunError> {
        let since = Instant::now();
        let mut events = Events::with_capacity(READY_EVENTS_PER_POLL);
        while !self.all_ready() {
            if since.elapsed() > READY_TIMEOUT {
                return Err(self.not_ready());
            }
            self.poll_once(&mut events, READY_CHECK_INTERVAL)?;
            if let Some(&sender) = self.outcome.crashed.first() {
                let last_warning = self.outcome.warnings.last().cloned();
                return Err(RunError::SenderExited {
                    sender,
                    last_warning,
                });
            }
        }
        Ok(())
    }

    /// Whether all senders listen for clients. One that the runner did not start must also have requested its endpoint list.
    fn all_ready(&self) -> bool {
        let has_list = self.plan.against.is_none() || !self.senders[0].listed_states.is_empty();
        has_list && self.senders.iter().all(|sender| sender.process.is_ready())
    }

    fn not_ready(&self) -> RunError {
        if let Some(against) = &self.plan.against {
            return RunError::NoListRequest {
                clients: against.clients,
                directory: against.directory,
                waited: READY_TIMEOUT,
            };
        }
        let sender = self
            .senders
            .iter()
            .position(|sender| !sender.process.is_ready());
        RunError::SenderNotReady {
            sender: sender.unwrap_or(0),
            waited: READY_TIMEOUT,
        }
    }
}
