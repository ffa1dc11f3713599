//! Small files beside the journal in the state folder, each replaced as a whole.

use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;

/// Blocks in which the disk counts a file's size.
const DISK_BLOCK_BYTES: u64 = 512;

/// One of the files. The journal's folder holds it, and the journal leaves it alone.
pub(crate) struct StateFile {
    name: &'static str,
    /// Its successor while that is written.
    temporary_name: &'static str,
    max_bytes: u64,
}

/// What this sender has learned of destinations.
pub(crate) const LEARNED_STATE: StateFile = StateFile {
    name: "learnt",
    temporary_name: "learnt.new",
    max_bytes: cranehill_recovery::MAX_LEARNED_STATE_BYTES as u64,
};
/// Endpoints that operators have detached, as JSON.
pub(crate) const DETACHED: StateFile = StateFile {
    name: "detached",
    temporary_name: "detached.new",
    max_bytes: 12 * 1024,
};

/// Whether a file of this name is one of them.
pub(crate) fn is_ours(file: &str) -> bool {
    [LEARNED_STATE, DETACHED]
        .iter()
        .any(|ours| file == ours.name || file == ours.temporary_name)
}

impl StateFile {
    /// The disk space of the file and its successor, in bytes.
    pub(crate) const fn disk_bytes(&self) -> u64 {
        2 * (self.max_bytes + DISK_BLOCK_BYTES)
    }

    /// The file's bytes; `None` if there is no file.
    pub(crate) fn read(&self, dir: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(dir.join(self.name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Replaces the file: a reader finds the old one or the new one, whole.
    pub(crate) fn write(&self, dir: &Path, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() as u64 > self.max_bytes {
            return Err(io::Error::other(format!(
                "{} would have {} bytes of {}",
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
