//! A folder's files read at one moment, also while a sender writes to it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use cranehill_journal::{Folder, Key, Memory, OpenError, Storage};

/// Readings that a live folder may spoil before we give up: each change of its manifest spoils one.
const TRIES: u32 = 20;
const MANIFEST: &str = "manifest";

/// Why a folder can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    #[error("{path}: {source}")]
    Io {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{path}: {source}")]
    Open { path: PathBuf, source: OpenError },
    #[error(
        "{path}: it changed {TRIES} times while it was read: try again when there is less traffic"
    )]
    Busy { path: PathBuf },
    #[error("{path}: no file of a journal is there")]
    NoJournal { path: PathBuf },
    #[error("parquet: {0}")]
    Parquet(#[from] parquet::errors::ParquetError),
}

impl ToolError {
    pub(crate) fn io(path: &Path) -> impl FnOnce(std::io::Error) -> ToolError {
        move |source| ToolError::Io {
            path: path.to_owned(),
            source,
        }
    }

    pub(crate) fn open(path: &Path) -> impl FnOnce(OpenError) -> ToolError {
        move |source| ToolError::Open {
            path: path.to_owned(),
            source,
        }
    }
}

/// All files of a folder, as they were between two equal readings of its manifest.
#[derive(Debug)]
pub struct Snapshot {
    pub path: PathBuf,
    pub files: Memory,
    /// An operator's key, if one is given.
    pub key: Option<Key>,
}

impl Snapshot {
    /// Reads the folder; it is never written to. A journal is small, so its files are held in memory.
    pub fn take(path: &Path, key: Option<Key>) -> Result<Snapshot, ToolError> {
        for _ in 0..TRIES {
            let mut folder = Folder::existing(path, u64::MAX).map_err(ToolError::io(path))?;
            let before = folder.read(MANIFEST, 0, usize::MAX).ok();
            let listed = folder.list().map_err(ToolError::io(path))?;
            if !listed
                .keys()
                .any(|n| n == MANIFEST || n == "ledger" || n.ends_with(".seg"))
            {
                return Err(ToolError::NoJournal {
                    path: path.to_owned(),
                });
            }
            let Some(files) = read_all(&mut folder, &listed) else {
                continue;
            };
            if folder.read(MANIFEST, 0, usize::MAX).ok() == before {
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
}

/// `None` if one of them went in between.
fn read_all(
    folder: &mut Folder,
    listed: &BTreeMap<String, u64>,
) -> Option<BTreeMap<String, Vec<u8>>> {
    let read = |name: &String| Some((name.clone(), folder.read(name, 0, usize::MAX).ok()?));
    listed.keys().map(read).collect()
}
