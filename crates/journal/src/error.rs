//! Why a folder can't be opened, and what a person can do about it; why a batch was not written.

use std::io;

use cranehill_core::Persisted;

/// Why a folder can't be opened. Nothing in it has been changed, but for [`OpenError::Io`].
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A later release has written to the folder.
    #[error(
        "journal: {file} is of format {version}, this program knows up to {known}: start the newer release again, \
         or empty the folder once its messages are with others"
    )]
    Newer {
        /// The file that is of the later format.
        file: String,
        /// The file's format version.
        version: u16,
        /// The latest version that this program knows.
        known: u16,
    },
    /// An operator's key was given that is not the folder's.
    #[error(
        "journal: no file in the folder is signed under the key given: give the key with which it was written, \
         or an empty folder"
    )]
    WrongKey,
    /// No copy of the folder's own key can be read.
    #[error(
        "journal: the file 'key' is damaged in all of its copies: restore a copy of it, or empty the folder and \
         lose its messages"
    )]
    KeyLost,
    /// The file of a release before 0.2 does not fit into the journal.
    #[error(
        "journal: there is no room to migrate the old file 'ledger' ({needed} bytes more): raise disk_mb for one start"
    )]
    NoRoom {
        /// Bytes that are missing.
        needed: u64,
    },
    /// A file operation failed.
    #[error("journal: {file}: {source}")]
    Io {
        /// The file that it concerned.
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

/// Records that were not written, and why.
#[derive(Debug, thiserror::Error)]
#[error("{source}")]
pub struct AppendError {
    /// Which of the batch's records are persisted all the same.
    pub persisted: Persisted,
    /// The error of the file system, or that there is no room.
    pub source: io::Error,
}
