//! The [`Storage`] trait, through which the journal accesses files, so that tests can inject faults.

use std::collections::BTreeMap;
use std::io;

/// Bytes of a block: disk usage is counted in whole blocks.
pub const BLOCK_BYTES: u64 = 512;

/// Bytes of the disk budget used by a file of `size` bytes: its size rounded up to whole blocks.
pub fn disk_usage(size: u64) -> u64 {
    size.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// A flat folder of files with a disk budget. File names contain no path separators.
pub trait Storage {
    /// Appends to a file, and creates it if it does not exist. After an error, any prefix of the bytes may have been
    /// written. Fails with [`io::ErrorKind::StorageFull`] if the disk budget does not allow it.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Reads up to `len` bytes from `offset`; returns fewer only at the file's end.
    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>>;
    /// Truncates a file to `size` bytes.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;
    /// Renames a file, and atomically replaces any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; succeeds if it does not exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// All files by name, with their sizes in bytes.
    fn list(&mut self) -> io::Result<BTreeMap<String, u64>>;
    /// Bytes of the disk budget that are free, with files rounded up to whole blocks.
    fn free_bytes(&mut self) -> u64;
}
