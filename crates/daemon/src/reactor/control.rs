//! How a running reactor is controlled from outside.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mio::Waker;

/// What the process is commanded by signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    /// Begin the end, as on SIGTERM.
    Stop,
    /// Read the configuration again, as on SIGHUP.
    Reload,
}

/// Ends a reactor from another thread. See [`super::Reactor::stop_handle`].
#[derive(Clone)]
pub struct StopHandle {
    stop_requested: Arc<AtomicBool>,
    waker: Arc<Waker>,
}

impl StopHandle {
    pub(super) fn new(stop_requested: Arc<AtomicBool>, waker: Waker) -> StopHandle {
        StopHandle {
            stop_requested,
            waker: Arc::new(waker),
        }
    }

    /// Ends the reactor at once.
    pub fn stop(&self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        if let Err(e) = self.waker.wake() {
            log::error!("halt: {e}");
        }
    }
}
