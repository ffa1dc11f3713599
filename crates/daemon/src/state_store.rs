//! State that persists across restarts besides the journal: learned state, and detached endpoints.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cranehill_core::Detachments;
use cranehill_scheduler::Time;
use serde_json::json;

use crate::state_file::{DETACHED, LEARNED_STATE};
use crate::throttled_log::ThrottledLog;

/// Minimum interval between two log lines about learned state that can't be written.
const WRITE_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The state files in the state folder. Without a folder, nothing is read or written.
pub(crate) struct StateStore {
    dir: Option<PathBuf>,
    write_errors: ThrottledLog,
}

impl StateStore {
    pub(crate) fn new(dir: Option<PathBuf>, now: Time) -> StateStore {
        StateStore {
            dir,
            write_errors: ThrottledLog::new(WRITE_ERROR_LOG_INTERVAL, now),
        }
    }

    pub(crate) fn dir(&self) -> Option<&Path> {
        self.dir.as_deref()
    }

    /// The learned state that an earlier process has written; `None` if it is absent or can't be read.
    pub(crate) fn read_learned_state(&self) -> Option<Vec<u8>> {
        let dir = self.dir.as_deref()?;
        LEARNED_STATE.read(dir).unwrap_or_else(|e| {
            log::warn!("recovery: can't read the learned state: {e}");
            None
        })
    }

    pub(crate) fn write_learned_state(&mut self, bytes: &[u8], now: Time) {
        let Some(dir) = &self.dir else { return };
        if let Err(e) = LEARNED_STATE.write(dir, bytes)
            && self.write_errors.record(now).is_some()
        {
            log::warn!("recovery: can't write the learned state: {e}");
        }
    }

    /// The detached endpoints that an earlier process has written; `None` if they are absent or can't be read.
    pub(crate) fn read_detachments(&self) -> Option<Detachments> {
        match self.try_read_detachments() {
            Ok(detachments) => detachments,
            Err(e) => {
                log::error!(
                    "operator: can't read the detached endpoints, so all listed endpoints are used: {e}"
                );
                None
            }
        }
    }

    fn try_read_detachments(&self) -> io::Result<Option<Detachments>> {
        let Some(dir) = &self.dir else {
            return Ok(None);
        };
        match DETACHED.read(dir)? {
            Some(bytes) => Ok(Some(serde_json::from_slice(&bytes)?)),
            None => Ok(None),
        }
    }

    pub(crate) fn write_detachments(&self, detachments: &Detachments) -> io::Result<()> {
        match &self.dir {
            Some(dir) => DETACHED.write(dir, json!(detachments).to_string().as_bytes()),
            None => Ok(()),
        }
    }
}
