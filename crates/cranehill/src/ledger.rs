//! The journal on disk: what the sender has taken on outlasts its process.
//!
//! One file of framed records, `[length u32][crc32 u32][header JSON, newline, body]`, appended with plain
//! writes: they survive a kill without any sync. When it has grown it is rewritten to what is still owed,
//! beside the old one, and renamed over it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::core::Record;

const NAME: &str = "ledger";
const SWAP: &str = "ledger.new";
const FRAME: usize = 8;
/// Longer than any record: a length beyond it is a torn or foreign frame.
const LONGEST: usize = 256 * 1024;

#[derive(Debug)]
pub struct Ledger {
    dir: PathBuf,
    file: File,
    size: u64,
    /// A failed write may have left part of a frame behind `size`.
    torn: bool,
    /// Rewritten once larger than this.
    rewrite_at: u64,
    /// Never larger than this, so that both files fit while swapping.
    most: u64,
}

impl Ledger {
    /// Opens the folder's ledger, with what is in it. `disk` bytes is what the folder may hold.
    pub fn open(dir: &Path, disk: u64) -> io::Result<(Ledger, Vec<Record>)> {
        fs::create_dir_all(dir)?;
        // A swap that a kill cut short was never the ledger.
        match fs::remove_file(dir.join(SWAP)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let path = dir.join(NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let (records, good) = decode(&bytes);
        if good < bytes.len() {
            log::warn!("ledger: dropped {} bytes of a torn last record", bytes.len() - good);
        }
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        file.set_len(good as u64)?;
        let ledger = Ledger {
            dir: dir.to_owned(),
            file,
            size: good as u64,
            torn: false,
            rewrite_at: disk / 4,
            most: disk * 2 / 5,
        };
        Ok((ledger, records))
    }

    /// Appends records; on failure none of them is in the ledger.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| encode(r, &mut bytes));
        if self.size + bytes.len() as u64 > self.most {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the ledger's share of the folder is used",
            ));
        }
        // A part of a frame would hide all that is written after it.
        if self.torn {
            self.file.set_len(self.size)?;
            self.torn = false;
        }
        if let Err(e) = self.file.write_all(&bytes) {
            self.torn = self.file.set_len(self.size).is_err();
            return Err(e);
        }
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Whether a further notice may be taken on. Some room stays for what is owed already: a full ledger must
    /// not keep attempts and ends from being written.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.size + bytes as u64 <= self.most * 3 / 4
    }

    pub fn wants_rewrite(&self) -> bool {
        self.size > self.rewrite_at
    }

    /// Replaces the ledger by these records.
    pub fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| encode(r, &mut bytes));
        let swap = self.dir.join(SWAP);
        // Opened before it is renamed: after the rename nothing may fail, or we would go on writing to a file
        // that is no longer there.
        let written = OpenOptions::new().create(true).append(true).open(&swap).and_then(|mut file| {
            file.set_len(0)?;
            file.write_all(&bytes)?;
            fs::rename(&swap, self.dir.join(NAME))?;
            Ok(file)
        });
        match written {
            Ok(file) => self.file = file,
            Err(e) => {
                let _ = fs::remove_file(&swap);
                return Err(e);
            }
        }
        self.torn = false;
        self.size = bytes.len() as u64;
        // What is owed may itself be much: no rewriting at every record then.
        self.rewrite_at = (self.most * 5 / 8).max(self.size + self.most / 8).min(self.most * 9 / 10);
        Ok(())
    }
}

fn encode(record: &Record, into: &mut Vec<u8>) {
    let mut payload = serde_json::to_vec(record).unwrap_or_default();
    payload.push(b'\n');
    if let Record::Taken { body, .. } = record {
        payload.extend_from_slice(body);
    }
    into.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    into.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    into.extend_from_slice(&payload);
}

/// The records up to the first frame that is torn, and how many bytes they take.
fn decode(bytes: &[u8]) -> (Vec<Record>, usize) {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((record, next)) = decode_one(bytes, at) {
        records.push(record);
        at = next;
    }
    (records, at)
}

fn decode_one(bytes: &[u8], at: usize) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, sum) = (word(at)? as usize, word(at + 4)?);
    if len > LONGEST {
        return None;
    }
    let payload = bytes.get(at + FRAME..at + FRAME + len)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    let split = payload.iter().position(|&b| b == b'\n')?;
    let mut record: Record = serde_json::from_slice(&payload[..split]).ok()?;
    if let Record::Taken { body, .. } = &mut record {
        *body = Arc::from(&payload[split + 1..]);
    }
    Some((record, at + FRAME + len))
}
