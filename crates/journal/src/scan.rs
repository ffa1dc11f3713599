//! Reads a folder without changing it: its segments, their records, and damage.
//!
//! Recovery and the tools both use it, so that `verify` reports what a start of the sender would find.

mod contents;
mod damage;
mod frame_walk;
mod key_ring;
mod missing;
mod segments;

use crate::error::OpenError;
use crate::format::key::Key;
use crate::format::record::JournalRecord;
use crate::storage::Storage;

pub use self::contents::{Scan, ScannedSegment, TornWrite};
pub use self::damage::{DamageCause, DamagedRange};
pub use self::frame_walk::RecordLocation;
pub(crate) use self::key_ring::KeyRing;

/// Reads a folder completely. `operator_key` is the operator's key, if there is one. `on_record` is called with every
/// readable record, in the order of the segments and of their frames; `progress` with the bytes read so far and the
/// total.
///
/// # Errors
/// If a file can't be read, is in a later format or signed under another key, or the key file is damaged.
pub fn scan<S: Storage>(
    storage: &mut S,
    operator_key: Option<Key>,
    mut on_record: impl FnMut(RecordLocation, JournalRecord<'_>),
    mut progress: impl FnMut(u64, u64),
) -> Result<Scan, OpenError> {
    let files = storage.list().map_err(OpenError::io("the folder"))?;
    let key_ring = KeyRing::read(storage, operator_key, &files)?;
    let mut scan = Scan {
        key_ring,
        next_sequence: 1,
        next_lsn: 1,
        files,
        ..Scan::default()
    };
    segments::find(&mut scan, storage)?;
    missing::add_missing_segments(&mut scan);
    let sizes: Vec<(u32, u64)> = scan
        .segments
        .values()
        .map(|segment| (segment.sequence, segment.size))
        .collect();
    let total: u64 = sizes.iter().map(|(_, size)| size).sum();
    let mut done = 0;
    for (sequence, size) in sizes {
        progress(done, total);
        frame_walk::read_segment(&mut scan, storage, sequence, &mut on_record)?;
        done += size;
    }
    progress(total, total);
    missing::add_unlisted(&mut scan);
    // Messages accepted from now on can't be affected.
    for range in &mut scan.damage {
        range.accepted_before = range.accepted_before.min(scan.next_lsn);
    }
    Ok(scan)
}
