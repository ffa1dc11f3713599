//! Inputs that the sub-commands share: text files, keys, environment variables and the path of this program.

use std::io;
use std::path::{Path, PathBuf};

use cranehill_journal::Key;

/// Length of a key.
const KEY_BYTES: usize = 32;

/// A file can't be read, or the path of this program can't be determined.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A file can't be read as text.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A key file does not contain exactly 64 hexadecimal digits.
    #[error("{path}: line 1: not a key of 64 hexadecimal digits")]
    InvalidKey {
        /// The key file.
        path: PathBuf,
    },
    /// The path of the running program can't be determined.
    #[error("the path of this program: {0}")]
    CurrentProgram(#[source] io::Error),
}

/// Reads a UTF-8 text file.
///
/// # Errors
/// If the file can't be read or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, InputError> {
    std::fs::read_to_string(path).map_err(|source| InputError::Read {
        path: path.to_owned(),
        source,
    })
}

/// Reads a key file: 64 hexadecimal digits, optionally with white space around them.
///
/// # Errors
/// If the file can't be read or contains anything else.
pub fn read_key(path: &Path) -> Result<Key, InputError> {
    let text = read_text(path)?;
    parse_key(text.trim()).ok_or_else(|| InputError::InvalidKey {
        path: path.to_owned(),
    })
}

fn parse_key(text: &str) -> Option<Key> {
    let digits: Vec<u32> = text.chars().map_while(|c| c.to_digit(16)).collect();
    if digits.len() != KEY_BYTES * 2 || text.len() != KEY_BYTES * 2 {
        return None;
    }
    Some(std::array::from_fn(|i| {
        (digits[i * 2] << 4 | digits[i * 2 + 1]) as u8
    }))
}

/// The path of the running program, which scenarios and tests start again as `cranehill serve`.
///
/// # Errors
/// If the operating system does not report it.
pub fn current_program() -> Result<PathBuf, InputError> {
    std::env::current_exe().map_err(InputError::CurrentProgram)
}

/// The value of an environment variable; `None` if it is not set, empty or not UTF-8.
pub fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
