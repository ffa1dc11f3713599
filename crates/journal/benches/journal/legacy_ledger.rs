//! The ledger of release 0.1, kept as a baseline: one file of JSON frames, rewritten completely once it has grown.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

const FRAME_HEADER_BYTES: usize = 8;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LegacyRecord {
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
    #[serde(rename = "sent")]
    AttemptStarted {
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
    #[serde(rename = "over")]
    Completed { id: String },
}

pub(crate) struct LegacyLedger {
    dir: PathBuf,
    file: File,
    pub(crate) size: u64,
    max_bytes: u64,
    rewrite_at: u64,
    /// Total bytes written, including rewrites.
    pub(crate) written: u64,
}

impl LegacyLedger {
    pub(crate) fn open(dir: &Path, disk: u64) -> io::Result<(LegacyLedger, Vec<LegacyRecord>)> {
        let path = dir.join("ledger");
        let bytes = fs::read(&path).unwrap_or_default();
        let records = decode(&bytes);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let (size, max_bytes) = (bytes.len() as u64, disk * 2 / 5);
        Ok((
            LegacyLedger {
                dir: dir.to_owned(),
                file,
                size,
                max_bytes,
                rewrite_at: disk / 4,
                written: 0,
            },
            records,
        ))
    }

    pub(crate) fn append(&mut self, records: &[LegacyRecord]) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| encode(r, &mut bytes));
        self.file.write_all(&bytes)?;
        self.size += bytes.len() as u64;
        self.written += bytes.len() as u64;
        Ok(())
    }

    pub(crate) fn wants_rewrite(&self) -> bool {
        self.size > self.rewrite_at
    }

    pub(crate) fn rewrite(&mut self, records: &[LegacyRecord]) -> io::Result<()> {
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
        self.rewrite_at = (self.max_bytes * 5 / 8)
            .max(self.size + self.max_bytes / 8)
            .min(self.max_bytes * 9 / 10);
        Ok(())
    }
}

fn encode(record: &LegacyRecord, into: &mut Vec<u8>) {
    let mut payload = serde_json::to_vec(record).unwrap_or_default();
    payload.push(b'\n');
    if let LegacyRecord::Accepted { body, .. } = record {
        payload.extend_from_slice(body);
    }
    into.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    into.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    into.extend_from_slice(&payload);
}

fn decode(bytes: &[u8]) -> Vec<LegacyRecord> {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((record, next)) = decode_one(bytes, at) {
        records.push(record);
        at = next;
    }
    records
}

fn decode_one(bytes: &[u8], at: usize) -> Option<(LegacyRecord, usize)> {
    let field = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, sum) = (field(at)? as usize, field(at + 4)?);
    let payload = bytes.get(at + FRAME_HEADER_BYTES..at + FRAME_HEADER_BYTES + len)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    let split = payload.iter().position(|&b| b == b'\n')?;
    let mut record: LegacyRecord = serde_json::from_slice(&payload[..split]).ok()?;
    if let LegacyRecord::Accepted { body, .. } = &mut record {
        *body = Arc::from(&payload[split + 1..]);
    }
    Some((record, at + FRAME_HEADER_BYTES + len))
}
