//! Entry points for the fuzz targets and for the test that runs their seeds. Not for other callers.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranehill_core::Record;

use crate::format::body;
use crate::format::frame::{self, DecodedFrame};
use crate::format::key::{self, Key, Salt};
use crate::format::manifest::{self, Manifest};
use crate::format::packed_id::PackedId;
use crate::format::record;
use crate::format::segment::{self, Header};
use crate::journal::Journal;
use crate::legacy_ledger;
use crate::memory::Memory;
use crate::options::Options;

const KEY: Key = [0x77; 32];
const OTHER_KEY: Key = [1; 32];
const DISK_BYTES: u64 = 1 << 20;
const SEGMENT_BYTES: u64 = 2048;
/// Unix time in milliseconds.
const NOW_MS: u64 = 1_764_590_000_000;
const DEADLINE_MS: u64 = NOW_MS + 3_600_000;
const NANOS_PER_MS: u64 = 1_000_000;
const COMPACTION_STEPS: u64 = 40;
/// The id of the message that [`recover`] appends.
const NEW_ID: &str = "00000000000000ff0000ff";

/// Runs every decoder on arbitrary bytes: none may panic, or allocate memory by a length that the bytes do not contain.
pub fn decode(data: &[u8]) {
    let keys = [KEY, OTHER_KEY];
    let _ = Header::decode(data, &keys);
    let _ = Manifest::decode(data, &keys);
    let _ = legacy_ledger::decode(data);
    let _ = key::decode_file(data);
    if let Some(id) = PackedId::from_bytes(data) {
        assert_eq!(id.as_bytes(), data);
    }
    decode_frames(data);
    decode_record(data);
    decode_body(data);
}

fn decode_frames(data: &[u8]) {
    let salt = Salt::new(&KEY, 1);
    if let Some(next) = frame::next_valid(salt, data, 0) {
        assert!(next > 0 && next <= data.len());
    }
    if let DecodedFrame::Valid(payload) = frame::decode(salt, data, 0) {
        assert!(payload.len() + frame::HEADER_BYTES <= data.len());
    }
}

/// Checks that a decoded record can be encoded and decodes to the same record again.
fn decode_record(data: &[u8]) {
    if let Some(decoded) = record::decode(data) {
        let mut bytes = Vec::new();
        record::encode(decoded.lsn, &decoded.record, &mut bytes);
        assert_eq!(record::decode(&bytes), Some(decoded));
    }
}

fn decode_body(data: &[u8]) {
    let [a, b, c, rest @ ..] = data else {
        return;
    };
    let _ = body::decompress(Some(u32::from_le_bytes([*a, *b, *c, 0])), rest);
    if let Some(whole) = body::decompress(None, rest) {
        let stored = body::compress(&whole);
        let again = body::decompress(stored.uncompressed_len, &stored.bytes);
        assert_eq!(again.as_deref(), Some(&whole[..]));
    }
}

/// Opens a folder built from the data (frames with arbitrary payloads, raw bytes, further segments, flipped bytes),
/// compacts it, appends a message and opens it again. No pending message, attempt or possible execution may be lost.
pub fn recover(data: &[u8]) {
    let options = Options {
        disk_bytes: DISK_BYTES,
        operator_key: None,
        fresh_key: KEY,
        segment_bytes: Some(SEGMENT_BYTES),
    };
    let Ok((mut journal, found)) = Journal::open(folder(data), &options, NOW_MS) else {
        return;
    };
    for step in 0..COMPACTION_STEPS {
        journal.compact(NOW_MS + step);
    }
    let before = open_messages(&found.records);
    let persisted = journal.append(NOW_MS, &[new_message()]).is_ok();
    let (_, again) = Journal::open(journal.storage().without_faults(), &options, NOW_MS)
        .expect("it was opened before");
    let after = open_messages(&again.records);
    assert!(
        !persisted || before.contains_key(NEW_ID) || after.contains_key(NEW_ID),
        "an accepted message stays"
    );
    for (id, known) in before {
        let Some(now) = after.get(&id) else {
            panic!("{id} was open")
        };
        assert!(
            now.attempts >= known.attempts && (now.possibly_executed || !known.possibly_executed),
            "{id}: {known:?}, then {now:?}"
        );
    }
}

fn new_message() -> Record {
    Record::Accepted {
        id: NEW_ID.into(),
        class: 0,
        tenant: 0,
        destination: 1,
        idempotency_key: None,
        ordering_key: None,
        deadline: DEADLINE_MS * NANOS_PER_MS,
        accepted_at: NOW_MS * NANOS_PER_MS,
        body: Arc::from(&b"new"[..]),
    }
}

/// The attempts of a pending message, as the core reads them.
#[derive(Clone, Copy, Debug)]
struct OpenMessage {
    attempts: u32,
    possibly_executed: bool,
}

/// The pending messages in these records, by id.
fn open_messages(records: &[Record]) -> BTreeMap<String, OpenMessage> {
    let mut open: BTreeMap<String, (u32, Option<u32>)> = BTreeMap::new();
    for record in records {
        match record {
            Record::Accepted { id, .. } => {
                open.insert(id.clone(), (0, None));
            }
            Record::AttemptStarted { id, attempt, .. } => {
                if let Some((attempts, executed)) = open.get_mut(id) {
                    *attempts = (*attempts).max(attempt.saturating_add(1));
                    executed.get_or_insert(*attempt);
                }
            }
            Record::AttemptFinished {
                id,
                attempt,
                not_executed,
            } => {
                if let Some((_, executed)) = open.get_mut(id) {
                    executed.take_if(|number| *not_executed && number == attempt);
                }
            }
            Record::FinalReportDue { id, .. } | Record::Completed { id, .. } => {
                open.remove(id);
            }
        }
    }
    let known = |(attempts, executed): (u32, Option<u32>)| OpenMessage {
        attempts,
        possibly_executed: executed.is_some(),
    };
    open.into_iter()
        .map(|(id, state)| (id, known(state)))
        .collect()
}

/// The encoded header of a segment of the folder.
fn header(sequence: u32, base_lsn: u64) -> Vec<u8> {
    let header = Header {
        sequence,
        epoch: u64::from(sequence),
        base_lsn,
        created_ms: NOW_MS,
        previous_chain: [0; 16],
    };
    header.encode(&KEY)
}

/// Builds a folder from the data, which is a sequence of steps: an operation (1 byte), a length (1 byte), and as many
/// bytes.
fn folder(data: &[u8]) -> Memory {
    let mut memory = Memory::new(DISK_BYTES);
    let files = &mut memory.files;
    files.insert(key::FILE_NAME.into(), key::encode_file(&KEY));
    let (mut sequence, mut rest) = (1, data);
    let mut segment = header(sequence, 0);
    while let [operation, len, more @ ..] = rest {
        let (part, after) = more.split_at(usize::from(*len).min(more.len()));
        rest = after;
        match operation % 6 {
            0 | 1 => frame::encode(Salt::new(&KEY, sequence), &mut segment, |b| {
                b.extend_from_slice(part);
                // A frame's payload has at least one byte.
                b.extend_from_slice(if part.is_empty() { &[0] } else { &[] });
            }),
            2 => segment.extend_from_slice(part),
            3 => {
                files.insert(segment::file_name(sequence), std::mem::take(&mut segment));
                sequence += 1 + u32::from(*len % 3);
                segment = header(sequence, u64::from(*len) * 8);
            }
            4 => flip(&mut segment, part),
            _ => {
                let names = ["ledger", manifest::FILE_NAME, manifest::NEXT_FILE_NAME];
                let name = names[usize::from(*len) % names.len()];
                files.insert(name.into(), part.to_vec());
            }
        }
    }
    files.insert(segment::file_name(sequence), segment);
    memory
}

/// Flips bits of the segment: the first byte of each pair determines the position, the second is the mask.
fn flip(segment: &mut [u8], pairs: &[u8]) {
    for pair in pairs.chunks_exact(2) {
        let at = usize::from(pair[0]) * 7 % segment.len().max(1);
        if let Some(byte) = segment.get_mut(at) {
            *byte ^= pair[1];
        }
    }
}

/// Data from which [`recover`] builds a folder whose frames have these payloads, as a seed for the fuzzer.
pub fn seed_of(payloads: &[Vec<u8>]) -> Vec<u8> {
    let mut data = Vec::new();
    for payload in payloads.iter().filter(|payload| payload.len() < 256) {
        data.extend_from_slice(&[0, payload.len() as u8]);
        data.extend_from_slice(payload);
    }
    data
}

/// The payloads of all frames in a folder in memory that is signed under `key`.
pub fn payloads(files: &Memory, key: &Key) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    for (name, bytes) in &files.files {
        let Some(sequence) = segment::sequence_of(name) else {
            continue;
        };
        let (salt, mut offset) = (Salt::new(key, sequence), segment::HEADER_BYTES);
        while let DecodedFrame::Valid(payload) = frame::decode(salt, bytes, offset) {
            offset += frame::HEADER_BYTES + payload.len();
            all.push(payload.to_vec());
        }
    }
    all
}
