//! Files as the journal sees them: a trait, so that tests can make every operation fail.

use std::collections::BTreeMap;
use std::io;

/// Files count in whole blocks of this many bytes.
pub const BLOCK_BYTES: u64 = 512;

/// Bytes of the disk budget that a file of `size` bytes uses.
pub fn disk_usage(size: u64) -> u64 {
    size.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// A flat folder of files. Names have no separators.
pub trait Storage {
    /// Appends to a file, which is created if need be. After an error any part of the bytes may be there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Up to `len` bytes from `offset`; fewer only at the file's end.
    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>>;
    /// Cuts a file to `size` bytes.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;
    /// Renames over whatever has the new name, in one step.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; no error if it is not there.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// All files with their sizes, by name.
    fn list(&mut self) -> io::Result<BTreeMap<String, u64>>;
    /// Bytes of the disk budget that are free, files counted in whole blocks.
    fn room(&mut self) -> u64;
}
