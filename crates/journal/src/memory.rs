//! Files in memory, for tests and tools: every operation can be made to fail, or to be the last one.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

use crate::storage::{BLOCK_BYTES, Storage, disk_usage};

/// When the storage fails for good, as for a process that is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The operation that changes files, counted from 0, in which it happens.
    pub operation: u64,
    /// Bytes of an append that are written before; for other operations, 0 is before and anything else after.
    pub bytes: usize,
}

/// One operation that changed files, as [`Memory::log`] holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// With the number of bytes.
    Append(usize),
    /// A file was cut.
    Truncate,
    /// A file was renamed.
    Rename,
    /// A file was removed.
    Remove,
}

/// A folder in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// Contents by name.
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes that it may hold, files counted in whole blocks; a write beyond is cut short there.
    pub disk: u64,
    /// Appends fail, having changed nothing, while this is set.
    pub no_appends: bool,
    /// Truncations fail, having changed nothing, while this is set.
    pub no_truncates: bool,
    /// Renames fail, having changed nothing, while this is set.
    pub no_renames: bool,
    /// Removals fail, having changed nothing, while this is set.
    pub no_removes: bool,
    /// When all operations begin to fail.
    pub crash: Option<Crash>,
    /// All operations so far that change files.
    pub log: Vec<Change>,
    /// Bytes appended so far.
    pub written: u64,
    dead: bool,
}

impl Memory {
    /// An empty folder that may hold `disk` bytes.
    pub fn new(disk: u64) -> Memory {
        Memory {
            disk,
            ..Memory::default()
        }
    }

    /// What a next process finds: the files, without the faults.
    pub fn after_death(&self) -> Memory {
        Memory {
            files: self.files.clone(),
            disk: self.disk,
            ..Memory::default()
        }
    }

    /// Whether the crash has happened.
    pub fn is_dead(&self) -> bool {
        self.dead
    }

    fn used(&self) -> u64 {
        self.files
            .values()
            .map(|file| disk_usage(file.len() as u64))
            .sum()
    }

    /// Bytes that an append to a file of `size` bytes may add. A file may fill its last block even if no further
    /// block is free.
    fn free_for(&self, size: u64) -> u64 {
        let free = self
            .disk
            .saturating_sub(self.used() - disk_usage(size) + size);
        free / BLOCK_BYTES * BLOCK_BYTES + (disk_usage(size) - size)
    }

    /// Counts an operation that changes files. An error if the crash is before it; `Ok(true)` if it is after it.
    fn begin(&mut self, change: Change) -> io::Result<bool> {
        if self.dead {
            return Err(killed());
        }
        let last = self.crash.filter(|c| c.operation == self.log.len() as u64);
        self.log.push(change);
        self.dead = last.is_some();
        match last {
            Some(crash) if crash.bytes == 0 => Err(killed()),
            other => Ok(other.is_some()),
        }
    }
}

/// The result of an operation that has been done: an error if the process was killed after it.
fn done(last: bool) -> io::Result<()> {
    if last { Err(killed()) } else { Ok(()) }
}

fn killed() -> io::Error {
    io::Error::other("killed")
}

fn denied(operation: &str) -> io::Error {
    io::Error::new(ErrorKind::PermissionDenied, format!("{operation} denied"))
}

fn not_found(name: &str) -> io::Error {
    io::Error::new(ErrorKind::NotFound, format!("{name}: no such file"))
}

impl Storage for Memory {
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let last = self.begin(Change::Append(bytes.len()))?;
        if self.no_appends {
            return Err(denied("append"));
        }
        let before_crash = self.crash.filter(|_| last).map_or(usize::MAX, |c| c.bytes);
        let size = self.files.get(name).map_or(0, Vec::len) as u64;
        let free = self.free_for(size) as usize;
        let written = bytes.len().min(before_crash).min(free);
        self.files
            .entry(name.to_owned())
            .or_default()
            .extend_from_slice(&bytes[..written]);
        self.written += written as u64;
        done(last)?;
        if written < bytes.len() {
            return Err(io::Error::new(ErrorKind::StorageFull, "no room"));
        }
        Ok(())
    }

    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        if self.dead {
            return Err(killed());
        }
        let file = self.files.get(name).ok_or_else(|| not_found(name))?;
        let start = (offset as usize).min(file.len());
        Ok(file[start..start.saturating_add(len).min(file.len())].to_vec())
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        let last = self.begin(Change::Truncate)?;
        if self.no_truncates {
            return Err(denied("truncate"));
        }
        self.files
            .get_mut(name)
            .ok_or_else(|| not_found(name))?
            .resize(size as usize, 0);
        done(last)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let last = self.begin(Change::Rename)?;
        if self.no_renames {
            return Err(denied("rename"));
        }
        let file = self.files.remove(from).ok_or_else(|| not_found(from))?;
        self.files.insert(to.to_owned(), file);
        done(last)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let last = self.begin(Change::Remove)?;
        if self.no_removes {
            return Err(denied("remove"));
        }
        self.files.remove(name);
        done(last)
    }

    fn list(&mut self) -> io::Result<BTreeMap<String, u64>> {
        if self.dead {
            return Err(killed());
        }
        Ok(self
            .files
            .iter()
            .map(|(name, file)| (name.clone(), file.len() as u64))
            .collect())
    }

    fn room(&mut self) -> u64 {
        self.disk.saturating_sub(self.used())
    }
}
