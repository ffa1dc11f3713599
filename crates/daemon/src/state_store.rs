//! What the next process is to know besides the journal: learned state, and detached endpoints.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cranehill_core::Detachments;
use cranehill_scheduler::Time;
use serde_json::json;

use crate::state_file::{DETACHED, LEARNED_STATE};
use crate::throttled_log::ThrottledLog;

/// How often the log says that learned state can't be written.
const WRITE_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The state files in the folder that outlasts the process, if there is one.
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

    /// What an earlier process had learned of destinations.
    pub(crate) fn read_learned_state(&self) -> Option<Vec<u8>> {
        let dir = self.dir.as_deref()?;
        LEARNED_STATE.read(dir).unwrap_or_else(|e| {
            log::warn!("recovery: the learned state can't be read: {e}");
            None
        })
    }

    pub(crate) fn write_learned_state(&mut self, bytes: &[u8], now: Time) {
        let Some(dir) = &self.dir else { return };
        if let Err(e) = LEARNED_STATE.write(dir, bytes)
            && self.write_errors.record(now).is_some()
        {
            log::warn!("recovery: the learned state can't be written: {e}");
        }
    }

    /// What an earlier process had detached.
    pub(crate) fn read_detachments(&self) -> Option<Detachments> {
        match self.try_read_detachments() {
            Ok(detachments) => detachments,
            Err(e) => {
                log::error!(
                    "operator: the detached endpoints can't be read, so all listed endpoints are used: {e}"
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
