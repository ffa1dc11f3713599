//! Commands to a running reactor, and a handle that ends it from another thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mio::Waker;

/// A command that the process receives as a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    /// Starts the shutdown, as on SIGTERM.
    Stop,
    /// Reloads the configuration, as on SIGHUP.
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

    /// Ends the reactor immediately, without the phases of a shutdown.
    pub fn stop(&self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        if let Err(e) = self.waker.wake() {
            log::error!("stop: waking the event loop failed: {e}");
        }
    }
}
