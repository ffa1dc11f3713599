//! Why a folder can't be read.

use std::path::{Path, PathBuf};

use cranehill_journal::OpenError;
use parquet::errors::ParquetError;

use crate::limits::MAX_ATTEMPTS;

/// Why a folder can't be read, or an export not be written.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// A file operation failed.
    #[error("{path}: {source}")]
    Io {
        /// The folder.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The folder's files are no journal that can be read.
    #[error("{path}: {source}")]
    Open {
        /// The folder.
        path: PathBuf,
        /// What is wrong with them.
        source: OpenError,
    },
    /// A sender changed the folder at each attempt to read it.
    #[error(
        "{path}: it changed {MAX_ATTEMPTS} times while it was read: try again when there is less traffic"
    )]
    Busy {
        /// The folder.
        path: PathBuf,
    },
    /// There is no journal.
    #[error("{path}: no file of a journal is there")]
    NoJournal {
        /// The folder.
        path: PathBuf,
    },
    /// The table can't be written.
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
