//! [`Storage`] in memory with fault injection, for tests and tools.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

use crate::storage::{BLOCK_BYTES, Storage, disk_usage};

/// The point at which the storage simulates that the process is killed: all later operations fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Index of the operation in which it happens. Only operations that change files count, from 0.
    pub operation: u64,
    /// For an append, the bytes that are written before the crash. For other operations, 0 is a crash before the
    /// operation takes effect, and any other number a crash after it.
    pub bytes: usize,
}

/// An operation that changes files, as recorded in [`Memory::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// An append of this many bytes.
    Append(usize),
    /// A truncation.
    Truncate,
    /// A rename.
    Rename,
    /// A removal.
    Remove,
}

/// A simulated folder in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// File contents by name.
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes that the folder may use, with files rounded up to whole blocks. A write beyond is cut short at that point.
    pub disk: u64,
    /// While set, appends fail without effect.
    pub deny_appends: bool,
    /// While set, truncations fail without effect.
    pub deny_truncates: bool,
    /// While set, renames fail without effect.
    pub deny_renames: bool,
    /// While set, removals fail without effect.
    pub deny_removes: bool,
    /// The crash to simulate, if any.
    pub crash: Option<Crash>,
    /// All operations so far that change files, including those that failed.
    pub operations: Vec<FileOperation>,
    /// Total bytes appended.
    pub written: u64,
    /// Whether the crash has happened.
    crashed: bool,
}

impl Memory {
    /// An empty folder with a budget of `disk` bytes.
    pub fn new(disk: u64) -> Memory {
        Memory {
            disk,
            ..Memory::default()
        }
    }

    /// A copy of the files without injected faults, as the next process finds them after a crash.
    pub fn without_faults(&self) -> Memory {
        Memory {
            files: self.files.clone(),
            disk: self.disk,
            ..Memory::default()
        }
    }

    /// Whether the simulated crash has happened.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    fn used(&self) -> u64 {
        self.files
            .values()
            .map(|file| disk_usage(file.len() as u64))
            .sum()
    }

    /// Upper bound on the bytes that can be appended to a file of `size` bytes. The rest of its last block can be
    /// filled even if no further block is free.
    fn max_append(&self, size: u64) -> u64 {
        let free = self
            .disk
            .saturating_sub(self.used() - disk_usage(size) + size);
        free / BLOCK_BYTES * BLOCK_BYTES + (disk_usage(size) - size)
    }

    /// Records an operation that changes files. Returns an error if the crash is before the operation takes effect, and
    /// `Ok(true)` if it is during the operation or after it.
    fn begin(&mut self, operation: FileOperation) -> io::Result<bool> {
        if self.crashed {
            return Err(crash_error());
        }
        let crash_now = self
            .crash
            .filter(|c| c.operation == self.operations.len() as u64);
        self.operations.push(operation);
        self.crashed = crash_now.is_some();
        match crash_now {
            Some(crash) if crash.bytes == 0 => Err(crash_error()),
            other => Ok(other.is_some()),
        }
    }
}

/// The result of an operation that has taken effect: an error if the crash is after it.
fn finish(crash_after: bool) -> io::Result<()> {
    if crash_after {
        Err(crash_error())
    } else {
        Ok(())
    }
}

fn crash_error() -> io::Error {
    io::Error::other("simulated crash")
}

fn denied_error(operation: &str) -> io::Error {
    io::Error::new(ErrorKind::PermissionDenied, format!("{operation} denied"))
}

fn not_found_error(name: &str) -> io::Error {
    io::Error::new(ErrorKind::NotFound, format!("{name}: no such file"))
}

impl Storage for Memory {
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let crash_after = self.begin(FileOperation::Append(bytes.len()))?;
        if self.deny_appends {
            return Err(denied_error("append"));
        }
        let before_crash = self
            .crash
            .filter(|_| crash_after)
            .map_or(usize::MAX, |c| c.bytes);
        let size = self.files.get(name).map_or(0, Vec::len) as u64;
        let free = self.max_append(size) as usize;
        let written = bytes.len().min(before_crash).min(free);
        self.files
            .entry(name.to_owned())
            .or_default()
            .extend_from_slice(&bytes[..written]);
        self.written += written as u64;
        finish(crash_after)?;
        if written < bytes.len() {
            return Err(io::Error::new(
                ErrorKind::StorageFull,
                "the simulated disk is full",
            ));
        }
        Ok(())
    }

    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        if self.crashed {
            return Err(crash_error());
        }
        let file = self.files.get(name).ok_or_else(|| not_found_error(name))?;
        let start = (offset as usize).min(file.len());
        Ok(file[start..start.saturating_add(len).min(file.len())].to_vec())
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        let crash_after = self.begin(FileOperation::Truncate)?;
        if self.deny_truncates {
            return Err(denied_error("truncate"));
        }
        self.files
            .get_mut(name)
            .ok_or_else(|| not_found_error(name))?
            .resize(size as usize, 0);
        finish(crash_after)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let crash_after = self.begin(FileOperation::Rename)?;
        if self.deny_renames {
            return Err(denied_error("rename"));
        }
        let file = self
            .files
            .remove(from)
            .ok_or_else(|| not_found_error(from))?;
        self.files.insert(to.to_owned(), file);
        finish(crash_after)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let crash_after = self.begin(FileOperation::Remove)?;
        if self.deny_removes {
            return Err(denied_error("remove"));
        }
        self.files.remove(name);
        finish(crash_after)
    }

    fn list(&mut self) -> io::Result<BTreeMap<String, u64>> {
        if self.crashed {
            return Err(crash_error());
        }
        Ok(self
            .files
            .iter()
            .map(|(name, file)| (name.clone(), file.len() as u64))
            .collect())
    }

    fn free_bytes(&mut self) -> u64 {
        self.disk.saturating_sub(self.used())
    }
}
