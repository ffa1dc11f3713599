//! Reload of the configuration on SIGHUP. Only the address of discovery is reloaded.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

/// Interval between two attempts to read a configuration that is not valid.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the time of retries. A file that is being replaced may be read half written.
const MAX_RETRY_TIME: Duration = Duration::from_millis(1500);

/// Reads the configuration file and returns the address of discovery, or the reason why the file can't be used.
pub type ConfigReader = Box<dyn FnMut() -> Result<SocketAddr, Box<dyn Error + Send + Sync>> + Send>;

/// The function that reads the configuration, and the reload in progress.
pub(crate) struct ConfigReload {
    reader: Option<ConfigReader>,
    pending: Option<PendingReload>,
}

#[derive(Clone, Copy)]
struct PendingReload {
    /// When the file is read next.
    at: Time,
    /// After this time a failed read is final.
    deadline: Time,
}

impl ConfigReload {
    pub(crate) fn new(reader: Option<ConfigReader>) -> ConfigReload {
        ConfigReload {
            reader,
            pending: None,
        }
    }

    pub(crate) fn request(&mut self, now: Time) {
        log::info!("reload: configuration reload requested");
        self.pending = Some(PendingReload {
            at: now,
            deadline: now + MAX_RETRY_TIME,
        });
    }

    /// When the configuration is read next; `None` if no reload is in progress.
    pub(crate) fn due(&self) -> Option<Time> {
        self.pending.map(|pending| pending.at)
    }

    /// Reads the configuration and returns the address of discovery. If that fails, it is retried until the deadline.
    pub(crate) fn read(&mut self, now: Time) -> Option<SocketAddr> {
        let pending = self.pending.take()?;
        match self.reader.as_mut()?() {
            Ok(address) => return Some(address),
            Err(why) if now < pending.deadline => {
                log::info!("reload: {why}; retrying in {RETRY_INTERVAL:?}");
                self.pending = Some(PendingReload {
                    at: now + RETRY_INTERVAL,
                    ..pending
                });
            }
            Err(why) => log::error!("reload: {why}; keeping the current configuration"),
        }
        None
    }
}
