//! SIGHUP: the configuration is read again.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

/// Between two tries to read a configuration that is not valid.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long it is tried: a file that is being replaced may be found half written.
const MAX_RETRY_TIME: Duration = Duration::from_millis(1500);

/// Reads the configuration again and returns the address of discovery, or why it can't.
pub type ConfigReader = Box<dyn FnMut() -> Result<SocketAddr, Box<dyn Error + Send + Sync>> + Send>;

/// A reload in progress, and how the configuration is read.
pub(crate) struct ConfigReload {
    reader: Option<ConfigReader>,
    pending: Option<PendingReload>,
}

#[derive(Clone, Copy)]
struct PendingReload {
    at: Time,
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
        log::info!("reload: asked for");
        self.pending = Some(PendingReload {
            at: now,
            deadline: now + MAX_RETRY_TIME,
        });
    }

    /// When the configuration is to be read.
    pub(crate) fn due(&self) -> Option<Time> {
        self.pending.map(|pending| pending.at)
    }

    /// Reads the configuration; the address of discovery if that succeeds.
    pub(crate) fn read(&mut self, now: Time) -> Option<SocketAddr> {
        let pending = self.pending.take()?;
        match self.reader.as_mut()?() {
            Ok(address) => return Some(address),
            Err(why) if now < pending.deadline => {
                log::info!("reload: {why}; read again");
                self.pending = Some(PendingReload {
                    at: now + RETRY_INTERVAL,
                    ..pending
                });
            }
            Err(why) => log::error!("reload: {why}; the old configuration is kept"),
        }
        None
    }
}
