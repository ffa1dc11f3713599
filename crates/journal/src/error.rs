//! Why a folder can't be opened, and what a person can do about it.

use std::io;

/// Nothing in the folder has been changed when one of these is returned, but for [`OpenError::Io`].
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error(
        "journal: {file} is of format {version}, this program knows up to {known}: start the newer release again, \
         or empty the folder once its notices are with others"
    )]
    Newer {
        file: String,
        version: u16,
        known: u16,
    },
    #[error(
        "journal: no file in the folder is signed under the key given: give the key with which it was written, \
         or an empty folder"
    )]
    WrongKey,
    #[error(
        "journal: the file 'key' is damaged in all of its copies: put back a copy of it, or empty the folder and \
         give its notices up"
    )]
    KeyLost,
    #[error(
        "journal: the old file 'ledger' has no room to be carried over ({needed} bytes more): raise disk_mb for one start"
    )]
    NoRoom { needed: u64 },
    #[error("journal: {file}: {source}")]
    Io { file: String, source: io::Error },
}

impl OpenError {
    pub(crate) fn io(file: &str) -> impl FnOnce(io::Error) -> OpenError {
        move |source| OpenError::Io {
            file: file.to_owned(),
            source,
        }
    }
}
