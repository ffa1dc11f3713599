//! A reference model of the messages, seeded scenarios of records, and helpers shared by the tests.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test program uses only some of the helpers"
)]

mod messages;
mod model;
mod scenario;
mod shared_storage;

use cranehill_journal::{Journal, Memory, Options, Recovered, Storage};

pub(crate) use messages::{
    accepted, attempt_finished, attempt_started, completed, filled, noise, open_ids, segments,
};
pub(crate) use model::{MessageModel, Mismatch, Model};
pub(crate) use scenario::Scenario;
pub(crate) use shared_storage::SharedStorage;

pub(crate) const KEY: [u8; 32] = [0x5a; 32];
/// Nanoseconds in a millisecond.
pub(crate) const NANOS_PER_MS: u64 = 1_000_000;
/// Start of the tests, as Unix time in milliseconds.
pub(crate) const START_MS: u64 = 1_764_590_000_000;
/// Lifetime of a message in the tests, in milliseconds.
pub(crate) const LIFETIME_MS: u64 = 2_000;
/// Bytes after which a segment is sealed; small, so that a scenario seals many.
const SEGMENT_BYTES: u64 = 1024;

pub(crate) fn options(disk: u64) -> Options {
    Options {
        disk_bytes: disk,
        operator_key: None,
        fresh_key: KEY,
        segment_bytes: Some(SEGMENT_BYTES),
    }
}

pub(crate) fn open(files: Memory, now: u64) -> (Journal<Memory>, Recovered) {
    let options = options(files.disk);
    Journal::open(files, &options, now).expect("the folder opens")
}

/// Does this many steps of compaction.
pub(crate) fn compact<S: Storage>(journal: &mut Journal<S>, steps: u32, now: u64) {
    for _ in 0..steps {
        journal.compact(now);
    }
}
