//! [`Storage`] in a directory of the file system.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::storage::{Storage, disk_usage};

/// A directory of the file system with a disk budget. The file last appended to stays open, since most appends are to
/// the same file.
#[derive(Debug)]
pub struct Folder {
    dir: PathBuf,
    /// Bytes that the folder may use.
    disk: u64,
    /// File sizes in bytes, by name.
    sizes: BTreeMap<String, u64>,
    /// Bytes that all files use, each rounded up to whole blocks.
    used: u64,
    /// The file last appended to, with its name.
    open: Option<(String, File)>,
}

impl Folder {
    /// Opens the folder at `dir` with a budget of `disk` bytes, and creates it if it does not exist.
    ///
    /// # Errors
    /// If it can't be created or listed.
    pub fn new(dir: &Path, disk: u64) -> io::Result<Folder> {
        fs::create_dir_all(dir)?;
        Folder::existing(dir, disk)
    }

    /// Opens the folder at `dir` with a budget of `disk` bytes.
    ///
    /// # Errors
    /// If it does not exist or can't be listed.
    pub fn existing(dir: &Path, disk: u64) -> io::Result<Folder> {
        let mut folder = Folder {
            dir: dir.to_owned(),
            disk,
            sizes: BTreeMap::new(),
            used: 0,
            open: None,
        };
        folder.sizes = folder.list()?;
        folder.used = folder.sizes.values().map(|&s| disk_usage(s)).sum();
        Ok(folder)
    }

    /// The folder's path.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Closes the file if it is open for appending.
    fn close(&mut self, name: &str) {
        self.open.take_if(|(open, _)| open == name);
    }

    /// Updates a file's size in bytes and the disk usage; `None` if the file was removed.
    fn set_size(&mut self, name: &str, size: Option<u64>) {
        let before = match (self.sizes.get_mut(name), size) {
            (Some(known), Some(size)) => std::mem::replace(known, size),
            (None, Some(size)) => self.sizes.insert(name.to_owned(), size).unwrap_or(0),
            (_, None) => self.sizes.remove(name).unwrap_or(0),
        };
        self.used = self.used + size.map_or(0, disk_usage) - disk_usage(before);
    }

    /// Reads a file's size from the file system: after a failed write it is unknown.
    fn refresh_size(&mut self, name: &str) {
        let size = fs::metadata(self.dir.join(name)).ok().map(|m| m.len());
        self.set_size(name, size);
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.dir.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        let open = self.open.as_mut().map(|(_, file)| file);
        open.ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Storage for Folder {
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let before = self.sizes.get(name).copied().unwrap_or(0);
        let after = before + bytes.len() as u64;
        if disk_usage(after) - disk_usage(before) > self.free_bytes() {
            return Err(io::Error::new(
                ErrorKind::StorageFull,
                "the folder's disk budget is exhausted",
            ));
        }
        let written = self.open_for_append(name)?.write_all(bytes);
        match written {
            Ok(()) => self.set_size(name, Some(after)),
            Err(_) => self.refresh_size(name),
        }
        written
    }

    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.dir.join(name))?;
        file.seek(SeekFrom::Start(offset))?;
        let mut bytes = Vec::new();
        file.take(len as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.close(name);
        OpenOptions::new()
            .write(true)
            .open(self.dir.join(name))?
            .set_len(size)?;
        self.set_size(name, Some(size));
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.dir.join(from), self.dir.join(to))?;
        let size = self.sizes.get(from).copied();
        self.set_size(from, None);
        self.set_size(to, size);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        match fs::remove_file(self.dir.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        self.set_size(name, None);
        Ok(())
    }

    fn list(&mut self) -> io::Result<BTreeMap<String, u64>> {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(&self.dir)? {
            let entry = entry?;
            // Files removed since `read_dir` are skipped.
            if let Ok(metadata) = entry.metadata()
                && metadata.is_file()
            {
                let name = entry.file_name().to_string_lossy().into_owned();
                files.insert(name, metadata.len());
            }
        }
        Ok(files)
    }

    fn free_bytes(&mut self) -> u64 {
        self.disk.saturating_sub(self.used)
    }
}
