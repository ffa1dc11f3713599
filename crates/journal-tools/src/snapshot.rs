//! A folder's files read at one moment, also while a sender writes to it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use cranehill_journal::{Folder, FolderContents, Key, Memory, Storage, read_folder};

use crate::error::ToolError;
use crate::limits::MAX_ATTEMPTS;

const MANIFEST: &str = "manifest";
const LEDGER: &str = "ledger";
const SEGMENT_SUFFIX: &str = ".seg";

/// All files of a folder, as they were between two equal readings of its manifest.
#[derive(Debug)]
pub struct Snapshot {
    /// The folder.
    pub path: PathBuf,
    /// Its files.
    pub files: Memory,
    /// An operator's key, if one is given.
    pub key: Option<Key>,
}

impl Snapshot {
    /// Reads the folder; it is never written to. A journal is small, so its files are held in memory.
    ///
    /// # Errors
    /// If the folder can't be read, has no journal, or changes all the time.
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

    /// What a start would make of the folder.
    pub(crate) fn contents(&self) -> Result<FolderContents, ToolError> {
        // The last key only seeds a hash.
        read_folder(&mut self.files.after_death(), self.key, &Key::default())
            .map_err(ToolError::open(&self.path))
    }
}

/// All files; `None` if the folder changed while they were read.
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
    // `None` if one of them was removed in between.
    let files: Option<BTreeMap<String, Vec<u8>>> = listed.keys().map(read).collect();
    let after = folder.read(MANIFEST, 0, usize::MAX).ok();
    Ok(files.filter(|_| after == before))
}
