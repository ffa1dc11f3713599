//! Small files next to the journal in the state folder, each replaced atomically.

use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;

/// Unit in which the file system counts disk usage.
const DISK_BLOCK_BYTES: u64 = 512;

/// A file in the state folder that the journal ignores.
pub(crate) struct StateFile {
    name: &'static str,
    /// Name of the new version while it is written.
    temporary_name: &'static str,
    max_bytes: u64,
}

/// The learned state of destinations.
pub(crate) const LEARNED_STATE: StateFile = StateFile {
    name: "learnt",
    temporary_name: "learnt.new",
    max_bytes: cranehill_recovery::MAX_LEARNED_STATE_BYTES as u64,
};
/// The endpoints that operators have detached, as JSON.
pub(crate) const DETACHED: StateFile = StateFile {
    name: "detached",
    temporary_name: "detached.new",
    max_bytes: 12 * 1024,
};

/// Whether a file with this name is a state file, or the new version of one.
pub(crate) fn is_state_file(file: &str) -> bool {
    [LEARNED_STATE, DETACHED]
        .iter()
        .any(|state_file| file == state_file.name || file == state_file.temporary_name)
}

impl StateFile {
    /// Disk space of the file and its new version, in bytes.
    pub(crate) const fn disk_bytes(&self) -> u64 {
        2 * (self.max_bytes + DISK_BLOCK_BYTES)
    }

    /// Reads the file; `None` if it does not exist.
    pub(crate) fn read(&self, dir: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(dir.join(self.name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Replaces the file atomically.
    ///
    /// # Errors
    /// The content exceeds the file's limit, or can't be written.
    pub(crate) fn write(&self, dir: &Path, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() as u64 > self.max_bytes {
            return Err(io::Error::other(format!(
                "{}: {} bytes exceed the limit of {} bytes",
                self.name,
                bytes.len(),
                self.max_bytes
            )));
        }
        let temporary = dir.join(self.temporary_name);
        fs::write(&temporary, bytes)?;
        fs::rename(temporary, dir.join(self.name))
    }
}
