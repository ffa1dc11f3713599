//! Small files beside the journal in the lasting folder: what its next process is to know, each replaced as a whole.

use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;

/// One of them. The journal's folder holds it, and the journal leaves it alone.
pub struct StateFile {
    name: &'static str,
    /// Its successor while that is written.
    new: &'static str,
    most: u64,
}

/// What this sender knew of destinations.
pub const LEARNED_STATE: StateFile = StateFile {
    name: "learnt",
    new: "learnt.new",
    most: cranehill_recovery::MAX_LEARNED_STATE_BYTES as u64,
};
/// Endpoints that operators have detached, as JSON.
pub const DETACHED: StateFile = StateFile {
    name: "detached",
    new: "detached.new",
    most: 12 * 1024,
};

/// Whether a file of that name is one of them.
pub fn is_ours(file: &str) -> bool {
    [LEARNED_STATE, DETACHED]
        .iter()
        .any(|b| file == b.name || file == b.new)
}

impl StateFile {
    /// Both, as the disk counts them: whole blocks of 512 bytes.
    pub const fn disk(&self) -> u64 {
        2 * (self.most + 512)
    }

    /// The file's bytes; nothing if there is none.
    pub fn read(&self, dir: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(dir.join(self.name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Puts it in place of the one before: whoever reads finds one of the two, whole.
    pub fn write(&self, dir: &Path, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() as u64 > self.most {
            return Err(io::Error::other(format!(
                "{} would have {} bytes of {}",
                self.name,
                bytes.len(),
                self.most
            )));
        }
        let [name, new] = [self.name, self.new].map(|name| dir.join(name));
        fs::write(&new, bytes)?;
        fs::rename(new, name)
    }
}
