//! What the fuzz targets and the test of their seeds call. Not for anybody else.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranehill_core::Record;

use crate::frame::{self, DecodedFrame};
use crate::journal::{Journal, Options};
use crate::key::{Key, Salt, write_key};
use crate::manifest::{self, Manifest};
use crate::memory::Memory;
use crate::segment::{self, Header};
use crate::{fact, id, legacy};

const KEY: Key = [0x77; 32];
const DISK: u64 = 1 << 20;
const NOW: u64 = 1_764_590_000_000;
const LATER: u64 = NOW + 3_600_000;

/// Every decoder on any bytes: none may panic, nor take memory that the bytes only claim to need.
pub fn decode(data: &[u8]) {
    let ring = [KEY, [1; 32]];
    let _ = Header::read(data, &ring);
    let _ = Manifest::read(data, &ring);
    let _ = id::PackedId::from_packed(data).map(|id| assert_eq!(id.packed(), data));
    let _ = legacy::decode(data);
    let _ = crate::key::read_key(data);
    let salt = Salt::new(&KEY, 1);
    if let Some(next) = frame::next_good(salt, data, 0) {
        assert!(next > 0 && next <= data.len());
    }
    if let DecodedFrame::Frame(payload) = frame::read(salt, data, 0) {
        assert!(payload.len() + frame::HEADER_BYTES <= data.len());
    }
    if let Some((lsn, read)) = fact::read(data) {
        // What is read can be written, and is the same again.
        let mut bytes = Vec::new();
        fact::write(lsn, &read, &mut bytes);
        assert_eq!(fact::read(&bytes), Some((lsn, read)));
    }
    if let [a, b, c, rest @ ..] = data {
        let _ = fact::unpack(Some(u32::from_le_bytes([*a, *b, *c, 0])), rest);
        if let Some(body) = fact::unpack(None, rest) {
            let (from, packed) = fact::pack(&body);
            assert_eq!(fact::unpack(from, &packed).as_deref(), Some(&body[..]));
        }
    }
}

/// A folder put together from the data: frames with any payload, raw bytes, further segments, flips. It is opened,
/// used and opened again; what was found first must not be known less of afterwards.
pub fn recover(data: &[u8]) {
    let options = Options {
        disk: DISK,
        key: None,
        fresh_key: KEY,
        segment: Some(2048),
    };
    let Ok((mut journal, found)) = Journal::open(folder(data), &options, NOW) else {
        return;
    };
    for step in 0..40 {
        journal.compact(NOW + step);
    }
    let before = open_messages(&found.records);
    let new = "00000000000000ff0000ff";
    let taken = Record::Accepted {
        id: new.into(),
        class: 0,
        tenant: 0,
        destination: 1,
        key: None,
        ordering_key: None,
        deadline: LATER * 1_000_000,
        at: NOW * 1_000_000,
        body: Arc::from(&b"new"[..]),
    };
    let kept = journal.append(NOW, &[taken]).is_ok();
    let (_, again) = Journal::open(journal.storage().after_death(), &options, NOW)
        .expect("it was opened before");
    let after = open_messages(&again.records);
    assert!(
        !kept || before.contains_key(new) || after.contains_key(new),
        "what is taken on stays"
    );
    for (id, (attempts, executed)) in before {
        let Some((more, still)) = after.get(&id) else {
            panic!("{id} was open")
        };
        assert!(
            *more >= attempts && (*still || !executed),
            "{id}: {attempts} {executed}, then {more} {still}"
        );
    }
}

/// Attempts used, and whether one may have been executed, by open message: as the reducer reads it.
fn open_messages(records: &[Record]) -> BTreeMap<String, (u32, bool)> {
    let mut open: BTreeMap<String, (u32, Option<u32>)> = BTreeMap::new();
    for record in records {
        match record {
            Record::Accepted { id, .. } => {
                open.insert(id.clone(), (0, None));
            }
            Record::AttemptStarted { id, attempt, .. } => {
                if let Some((used, executed)) = open.get_mut(id) {
                    *used = (*used).max(attempt.saturating_add(1));
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
    open.into_iter()
        .map(|(id, (used, executed))| (id, (used, executed.is_some())))
        .collect()
}

fn folder(data: &[u8]) -> Memory {
    let mut files = Memory::new(DISK);
    files.files.insert("key".into(), write_key(&KEY));
    let (mut sequence, mut rest) = (1, data);
    let begin = |sequence: u32, base: u64| {
        Header {
            sequence,
            epoch: u64::from(sequence),
            base,
            created: NOW,
            before: [0; 16],
        }
        .write(&KEY)
    };
    let mut segment = begin(sequence, 0);
    while let [op, len, more @ ..] = rest {
        let (part, after) = more.split_at(usize::from(*len).min(more.len()));
        rest = after;
        match op % 6 {
            0 | 1 => frame::write(Salt::new(&KEY, sequence), &mut segment, |b| {
                b.extend_from_slice(part);
                // A frame has at least one byte.
                b.extend_from_slice(if part.is_empty() { &[0] } else { &[] });
            }),
            2 => segment.extend_from_slice(part),
            3 => {
                files
                    .files
                    .insert(segment::name(sequence), std::mem::take(&mut segment));
                sequence += 1 + u32::from(*len % 3);
                segment = begin(sequence, u64::from(*len) * 8);
            }
            4 => {
                for pair in part.chunks_exact(2) {
                    let at = usize::from(pair[0]) * 7 % segment.len().max(1);
                    if let Some(byte) = segment.get_mut(at) {
                        *byte ^= pair[1];
                    }
                }
            }
            _ => {
                let name = ["ledger", manifest::NAME, manifest::NEXT][usize::from(*len) % 3];
                files.files.insert(name.into(), part.to_vec());
            }
        }
    }
    files.files.insert(segment::name(sequence), segment);
    files
}

/// Data for [`recover`] that holds these facts' frames as a real folder has them: seeds for the fuzzer.
pub fn seed_of(payloads: &[Vec<u8>]) -> Vec<u8> {
    let mut data = Vec::new();
    for payload in payloads.iter().filter(|p| p.len() < 256) {
        data.extend_from_slice(&[0, payload.len() as u8]);
        data.extend_from_slice(payload);
    }
    data
}

/// The payloads of all frames in a folder in memory that was written under `fresh_key`.
pub fn payloads(files: &Memory, key: &Key) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    for (name, bytes) in &files.files {
        let Some(sequence) = segment::sequence(name) else {
            continue;
        };
        let (salt, mut at) = (Salt::new(key, sequence), segment::HEADER_BYTES);
        while let DecodedFrame::Frame(payload) = frame::read(salt, bytes, at) {
            at += frame::HEADER_BYTES + payload.len();
            all.push(payload.to_vec());
        }
    }
    all
}
