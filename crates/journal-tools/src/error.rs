//! Errors of the tools.

use std::path::{Path, PathBuf};

use cranehill_journal::OpenError;
use parquet::errors::ParquetError;

use crate::limits::MAX_ATTEMPTS;

/// An error of reading a folder or writing an export.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// A file operation failed.
    #[error("{path}: {source}")]
    Io {
        /// The folder's path.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The folder can't be read as a journal.
    #[error("{path}: {source}")]
    Open {
        /// The folder's path.
        path: PathBuf,
        /// The reason.
        source: OpenError,
    },
    /// A sender replaced the manifest during every attempt to read the folder.
    #[error(
        "{path}: it changed {MAX_ATTEMPTS} times while it was read: try again when there is less traffic"
    )]
    Busy {
        /// The folder's path.
        path: PathBuf,
    },
    /// The folder contains no journal files.
    #[error("{path}: contains no journal files")]
    NoJournal {
        /// The folder's path.
        path: PathBuf,
    },
    /// The Parquet table can't be written.
    #[error("parquet: {0}")]
    Parquet(#[from] ParquetError),
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
