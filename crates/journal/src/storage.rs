//! Files, as the journal sees them: so that every failure of theirs can be played.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files count in whole blocks of this many bytes.
pub const BLOCK_BYTES: u64 = 512;

/// What a file of `size` bytes takes of the folder's share.
pub fn disk_usage(size: u64) -> u64 {
    size.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// A flat folder of files. Names have no separators.
pub trait Storage {
    /// Appends to a file, which is made if need be. After an error any part of the bytes may be there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Up to `len` bytes from `offset`; fewer only at the file's end.
    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>>;
    /// Cuts a file to `size` bytes.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;
    /// Renames over whatever has the new name, in one step.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// All files with their sizes, by name.
    fn list(&mut self) -> io::Result<BTreeMap<String, u64>>;
    /// Bytes that may still be taken, files counted in whole blocks.
    fn room(&mut self) -> u64;
}

/// A real folder. Appends keep the file open, since most go to the same one.
#[derive(Debug)]
pub struct Folder {
    dir: PathBuf,
    disk: u64,
    sizes: BTreeMap<String, u64>,
    /// What all files take, in whole blocks.
    used: u64,
    open: Option<(String, File)>,
}

impl Folder {
    /// The folder at `dir`, made if need be, which may hold `disk` bytes.
    pub fn new(dir: &Path, disk: u64) -> io::Result<Folder> {
        fs::create_dir_all(dir)?;
        Folder::existing(dir, disk)
    }

    /// As [`Folder::new`], of a folder that must be there.
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

    pub fn dir(&self) -> &Path {
        &self.dir
    }

    fn close(&mut self, name: &str) {
        self.open.take_if(|(open, _)| open == name);
    }

    /// Notes a file's size, or that it is gone.
    fn note(&mut self, name: &str, size: Option<u64>) {
        let before = match (self.sizes.get_mut(name), size) {
            (Some(known), Some(size)) => std::mem::replace(known, size),
            (None, Some(size)) => self.sizes.insert(name.to_owned(), size).unwrap_or(0),
            (_, None) => self.sizes.remove(name).unwrap_or(0),
        };
        self.used = self.used + size.map_or(0, disk_usage) - disk_usage(before);
    }

    /// The size may be anything after an error: it is looked up.
    fn look_up(&mut self, name: &str) {
        let size = fs::metadata(self.dir.join(name)).ok().map(|m| m.len());
        self.note(name, size);
    }
}

impl Storage for Folder {
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let before = self.sizes.get(name).copied().unwrap_or(0);
        let more = disk_usage(before + bytes.len() as u64) - disk_usage(before);
        if more > self.room() {
            return Err(io::Error::new(
                ErrorKind::StorageFull,
                "the folder's share of the disk is used",
            ));
        }
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.dir.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        let Some((_, file)) = &mut self.open else {
            return Err(ErrorKind::NotFound.into());
        };
        match file.write_all(bytes) {
            Ok(()) => {
                self.note(name, Some(before + bytes.len() as u64));
                Ok(())
            }
            Err(e) => {
                self.look_up(name);
                Err(e)
            }
        }
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
        self.note(name, Some(size));
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.dir.join(from), self.dir.join(to))?;
        let size = self.sizes.get(from).copied();
        self.note(from, None);
        self.note(to, size);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        match fs::remove_file(self.dir.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        self.note(name, None);
        Ok(())
    }

    fn list(&mut self) -> io::Result<BTreeMap<String, u64>> {
        let mut found = BTreeMap::new();
        for entry in fs::read_dir(&self.dir)? {
            let entry = entry?;
            // A file that went in the meantime is not there.
            if let Ok(meta) = entry.metadata()
                && meta.is_file()
            {
                found.insert(entry.file_name().to_string_lossy().into_owned(), meta.len());
            }
        }
        Ok(found)
    }

    fn room(&mut self) -> u64 {
        self.disk.saturating_sub(self.used)
    }
}
