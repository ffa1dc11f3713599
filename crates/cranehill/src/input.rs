//! What every sub-command reads: files, keys, and the path of this program.

use std::io;
use std::path::{Path, PathBuf};

use cranehill_journal::Key;

/// Bytes of a key.
const KEY_LENGTH: usize = 32;

/// A file or the program's own path can't be read.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A file can't be read as text.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A key file does not hold 64 hexadecimal digits.
    #[error("{path}: line 1: not a key of 64 hexadecimal digits")]
    NotAKey {
        /// The file.
        path: PathBuf,
    },
    /// The path of the running program is unknown.
    #[error("this program's own file: {0}")]
    CurrentProgram(#[source] io::Error),
}

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, InputError> {
    std::fs::read_to_string(path).map_err(|source| InputError::Read {
        path: path.to_owned(),
        source,
    })
}

/// Reads a key file: 64 hexadecimal digits, with white space around them.
pub fn read_key(path: &Path) -> Result<Key, InputError> {
    let text = read_text(path)?;
    parse_key(text.trim()).ok_or_else(|| InputError::NotAKey {
        path: path.to_owned(),
    })
}

fn parse_key(text: &str) -> Option<Key> {
    let digits: Vec<u32> = text.chars().map_while(|c| c.to_digit(16)).collect();
    if digits.len() != KEY_LENGTH * 2 || text.len() != KEY_LENGTH * 2 {
        return None;
    }
    Some(std::array::from_fn(|i| {
        (digits[i * 2] << 4 | digits[i * 2 + 1]) as u8
    }))
}

/// The path of the running program, which tests and scenarios start as further processes.
pub fn current_program() -> Result<PathBuf, InputError> {
    std::env::current_exe().map_err(InputError::CurrentProgram)
}

/// An environment variable; an empty one counts as not set.
pub fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
