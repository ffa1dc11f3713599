//! Files in memory that fail as they are told to: full, cut short, refusing, dead at a given operation.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

use crate::storage::{Storage, disk_usage};

/// When the storage dies, as a process that is killed does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The operation that changes files, counted from 0, in which it happens.
    pub operation: u64,
    /// Bytes of an append that get through before; for other operations, 0 is before and anything else after.
    pub bytes: usize,
}

/// One operation that changed files, as [`Memory::log`] keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// With the number of bytes.
    Append(usize),
    Truncate,
    Rename,
    Remove,
}

/// A folder in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes that it may hold, files counted in whole blocks; a write beyond is cut short there.
    pub disk: u64,
    /// Operations that change files fail from here on, having changed nothing, while these are set.
    pub no_appends: bool,
    pub no_truncates: bool,
    pub no_renames: bool,
    pub no_removes: bool,
    pub crash: Option<Crash>,
    pub log: Vec<Change>,
    /// Bytes appended so far.
    pub written: u64,
    dead: bool,
}

impl Memory {
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

    pub fn is_dead(&self) -> bool {
        self.dead
    }

    fn used(&self) -> u64 {
        self.files
            .values()
            .map(|f| disk_usage(f.len() as u64))
            .sum()
    }

    /// Counts the operation; an error if it is the last, before or (`Ok(true)`) after it is done.
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

fn killed() -> io::Error {
    io::Error::other("killed")
}

fn refused(what: &str) -> io::Error {
    io::Error::new(ErrorKind::PermissionDenied, format!("{what} refused"))
}

fn missing(name: &str) -> io::Error {
    io::Error::new(ErrorKind::NotFound, format!("{name}: no such file"))
}

impl Storage for Memory {
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let last = self.begin(Change::Append(bytes.len()))?;
        if self.no_appends {
            return Err(refused("append"));
        }
        let most = if last {
            self.crash.map_or(0, |c| c.bytes)
        } else {
            usize::MAX
        };
        let before = self.files.get(name).map_or(0, Vec::len) as u64;
        let free = self
            .disk
            .saturating_sub(self.used() - disk_usage(before) + before);
        // A file may fill its last block even if no further block is free.
        let free = free / crate::storage::BLOCK_BYTES * crate::storage::BLOCK_BYTES
            + (disk_usage(before) - before);
        let fits = bytes.len().min(most).min(free as usize);
        self.files
            .entry(name.to_owned())
            .or_default()
            .extend_from_slice(&bytes[..fits]);
        self.written += fits as u64;
        if last {
            return Err(killed());
        }
        if fits < bytes.len() {
            return Err(io::Error::new(ErrorKind::StorageFull, "no room"));
        }
        Ok(())
    }

    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        if self.dead {
            return Err(killed());
        }
        let file = self.files.get(name).ok_or_else(|| missing(name))?;
        let from = (offset as usize).min(file.len());
        Ok(file[from..from.saturating_add(len).min(file.len())].to_vec())
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        let last = self.begin(Change::Truncate)?;
        if self.no_truncates {
            return Err(refused("truncate"));
        }
        self.files
            .get_mut(name)
            .ok_or_else(|| missing(name))?
            .resize(size as usize, 0);
        if last { Err(killed()) } else { Ok(()) }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let last = self.begin(Change::Rename)?;
        if self.no_renames {
            return Err(refused("rename"));
        }
        let file = self.files.remove(from).ok_or_else(|| missing(from))?;
        self.files.insert(to.to_owned(), file);
        if last { Err(killed()) } else { Ok(()) }
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let last = self.begin(Change::Remove)?;
        if self.no_removes {
            return Err(refused("remove"));
        }
        self.files.remove(name);
        if last { Err(killed()) } else { Ok(()) }
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
