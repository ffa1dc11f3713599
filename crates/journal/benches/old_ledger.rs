//! The journal of release 0.1, kept as the baseline: one file of JSON frames, rewritten whole when it has grown.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

const FRAME: usize = 8;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OldRecord {
    #[serde(rename = "taken")]
    Accepted {
        id: String,
        class: usize,
        #[serde(rename = "station")]
        tenant: usize,
        #[serde(rename = "partner")]
        destination: u64,
        key: Option<String>,
        deadline: u64,
        #[serde(skip)]
        body: Arc<[u8]>,
    },
    Sent {
        id: String,
        attempt: u32,
        endpoint: String,
        at: u64,
    },
    #[serde(rename = "back")]
    AttemptFinished {
        id: String,
        attempt: u32,
        #[serde(rename = "never_ran")]
        not_executed: bool,
    },
    Over {
        id: String,
    },
}

pub struct OldLedger {
    dir: PathBuf,
    file: File,
    pub size: u64,
    most: u64,
    rewrite_at: u64,
    /// Bytes written, rewriting included.
    pub written: u64,
}

impl OldLedger {
    pub fn open(dir: &Path, disk: u64) -> io::Result<(OldLedger, Vec<OldRecord>)> {
        let path = dir.join("ledger");
        let bytes = fs::read(&path).unwrap_or_default();
        let records = decode(&bytes);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let (size, most) = (bytes.len() as u64, disk * 2 / 5);
        Ok((
            OldLedger {
                dir: dir.to_owned(),
                file,
                size,
                most,
                rewrite_at: disk / 4,
                written: 0,
            },
            records,
        ))
    }

    pub fn append(&mut self, records: &[OldRecord]) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| encode(r, &mut bytes));
        self.file.write_all(&bytes)?;
        self.size += bytes.len() as u64;
        self.written += bytes.len() as u64;
        Ok(())
    }

    pub fn wants_rewrite(&self) -> bool {
        self.size > self.rewrite_at
    }

    pub fn rewrite(&mut self, records: &[OldRecord]) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| encode(r, &mut bytes));
        let swap = self.dir.join("ledger.new");
        let mut file = OpenOptions::new().create(true).append(true).open(&swap)?;
        file.set_len(0)?;
        file.write_all(&bytes)?;
        fs::rename(&swap, self.dir.join("ledger"))?;
        self.file = file;
        self.size = bytes.len() as u64;
        self.written += self.size;
        self.rewrite_at = (self.most * 5 / 8)
            .max(self.size + self.most / 8)
            .min(self.most * 9 / 10);
        Ok(())
    }
}

fn encode(record: &OldRecord, into: &mut Vec<u8>) {
    let mut payload = serde_json::to_vec(record).unwrap_or_default();
    payload.push(b'\n');
    if let OldRecord::Accepted { body, .. } = record {
        payload.extend_from_slice(body);
    }
    into.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    into.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    into.extend_from_slice(&payload);
}

fn decode(bytes: &[u8]) -> Vec<OldRecord> {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((record, next)) = decode_one(bytes, at) {
        records.push(record);
        at = next;
    }
    records
}

fn decode_one(bytes: &[u8], at: usize) -> Option<(OldRecord, usize)> {
    let field = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, sum) = (field(at)? as usize, field(at + 4)?);
    let payload = bytes.get(at + FRAME..at + FRAME + len)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    let split = payload.iter().position(|&b| b == b'\n')?;
    let mut record: OldRecord = serde_json::from_slice(&payload[..split]).ok()?;
    if let OldRecord::Accepted { body, .. } = &mut record {
        *body = Arc::from(&payload[split + 1..]);
    }
    Some((record, at + FRAME + len))
}
