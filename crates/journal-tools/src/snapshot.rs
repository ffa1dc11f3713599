//! A consistent copy of a folder's files, which can be taken while a sender writes to it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use cranehill_journal::{Folder, FolderContents, Key, Memory, Storage, read_folder};

use crate::error::ToolError;
use crate::limits::MAX_ATTEMPTS;

const MANIFEST: &str = "manifest";
const LEDGER: &str = "ledger";
const SEGMENT_SUFFIX: &str = ".seg";

/// A copy of all files of a folder. The manifest did not change while they were read.
#[derive(Debug)]
pub struct Snapshot {
    /// The folder's path.
    pub path: PathBuf,
    /// The folder's files.
    pub files: Memory,
    /// The operator's key, if there is one.
    pub key: Option<Key>,
}

impl Snapshot {
    /// Reads all files of the folder into memory, without writing to it.
    ///
    /// # Errors
    /// If the folder can't be read or has no journal, or if its manifest is replaced during each of 20 attempts.
    pub fn take(path: &Path, key: Option<Key>) -> Result<Snapshot, ToolError> {
        for _ in 0..MAX_ATTEMPTS {
            let mut folder = Folder::existing(path, u64::MAX).map_err(ToolError::io(path))?;
            if let Some(files) = read_unchanged(&mut folder, path)? {
                let mut memory = Memory::new(u64::MAX);
                memory.files = files;
                return Ok(Snapshot {
                    path: path.to_owned(),
                    files: memory,
                    key,
                });
            }
        }
        Err(ToolError::Busy {
            path: path.to_owned(),
        })
    }

    /// The contents that a start of the sender would recover from the folder.
    pub(crate) fn contents(&self) -> Result<FolderContents, ToolError> {
        // The last argument only seeds the hashes of ids.
        read_folder(&mut self.files.without_faults(), self.key, &Key::default())
            .map_err(ToolError::open(&self.path))
    }
}

/// Reads all files; `None` if the manifest was replaced or a file removed during it.
fn read_unchanged(
    folder: &mut Folder,
    path: &Path,
) -> Result<Option<BTreeMap<String, Vec<u8>>>, ToolError> {
    let before = folder.read(MANIFEST, 0, usize::MAX).ok();
    let listed = folder.list().map_err(ToolError::io(path))?;
    let is_journal =
        |name: &String| name == MANIFEST || name == LEDGER || name.ends_with(SEGMENT_SUFFIX);
    if !listed.keys().any(is_journal) {
        return Err(ToolError::NoJournal {
            path: path.to_owned(),
        });
    }
    let read = |name: &String| Some((name.clone(), folder.read(name, 0, usize::MAX).ok()?));
    // `None` if one of them was removed since it was listed.
    let files: Option<BTreeMap<String, Vec<u8>>> = listed.keys().map(read).collect();
    let after = folder.read(MANIFEST, 0, usize::MAX).ok();
    Ok(files.filter(|_| after == before))
}
