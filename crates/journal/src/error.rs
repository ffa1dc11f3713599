//! Errors of opening a folder, with what an operator can do about each, and of appending a batch.

use std::io;

use cranehill_core::Persisted;

/// Why a folder can't be opened. The folder is unchanged, except possibly after [`OpenError::Io`] and
/// [`OpenError::NoRoom`].
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A file was written by a later release, in a format that this program does not know.
    #[error(
        "journal: {file} is of format {version}, this program knows up to {known}: start the newer release again, \
         or empty the folder once its messages are with others"
    )]
    NewerFormat {
        /// Name of the file in the later format.
        file: String,
        /// The file's format version.
        version: u16,
        /// The latest format version that this program knows.
        known: u16,
    },
    /// The operator's key, or the folder's own, does not match the signature of any file.
    #[error(
        "journal: no file in the folder is signed under the key given: give the key with which it was written, \
         or an empty folder"
    )]
    WrongKey,
    /// All copies of the key in the folder's key file are damaged.
    #[error(
        "journal: the file 'key' is damaged in all of its copies: restore a copy of it, or empty the folder and \
         lose its messages"
    )]
    KeyLost,
    /// The records of the ledger file of a release before 0.2 do not fit into the disk budget.
    #[error(
        "journal: there is no room to migrate the old file 'ledger' ({needed} bytes more): raise disk_mb for one start"
    )]
    NoRoom {
        /// Estimate, in bytes, of the room that the ledger's records need without their bodies.
        needed: u64,
    },
    /// A file operation failed.
    #[error("journal: {file}: {source}")]
    Io {
        /// Name of the file.
        file: String,
        /// The error of the file system.
        source: io::Error,
    },
}

impl OpenError {
    pub(crate) fn io(file: &str) -> impl FnOnce(io::Error) -> OpenError {
        move |source| OpenError::Io {
            file: file.to_owned(),
            source,
        }
    }
}

/// A batch that was not persisted, or only in part.
#[derive(Debug, thiserror::Error)]
#[error("{source}")]
pub struct AppendError {
    /// Which of the batch's records are persisted despite the error.
    pub persisted: Persisted,
    /// The error of the file system; [`io::ErrorKind::StorageFull`] if the disk budget is exhausted.
    pub source: io::Error,
}
