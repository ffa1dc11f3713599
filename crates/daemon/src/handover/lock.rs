//! The lock file of a state folder, which one process holds at a time.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

use rustix::fs::{FlockOperation, flock};

pub(super) const LOCK_FILE: &str = "lock";

/// An exclusive lock on a state folder, released when it is dropped or the process ends.
pub(crate) struct FolderLock(#[expect(dead_code, reason = "held, not read")] File);

impl FolderLock {
    /// Creates the folder if it does not exist, and locks it; `None` if another process holds the lock.
    pub(super) fn try_acquire(dir: &Path) -> io::Result<Option<FolderLock>> {
        std::fs::create_dir_all(dir)?;
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(dir.join(LOCK_FILE))?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(FolderLock(file))),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }
}
