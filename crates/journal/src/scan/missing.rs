//! Missing files: segments that the manifest lists but that do not exist, and a manifest that can't be used.

use super::contents::Scan;
use super::damage::{DamageCause, DamagedRange, max_attempts_in};
use crate::format::{manifest, segment};

/// Adds a damaged range for each segment that the manifest lists and whose file is missing.
pub(super) fn add_missing_segments(scan: &mut Scan) {
    let Some(manifest) = &scan.manifest else {
        return;
    };
    let mut damage = Vec::new();
    for entry in &manifest.segments {
        // A segment sealed without frames was the head of a process that was killed before it wrote any record.
        let was_empty = entry.seal.is_some_and(|seal| seal.frames == 0);
        if was_empty || scan.segments.contains_key(&entry.sequence) {
            continue;
        }
        let len = entry.seal.map(|seal| u64::from(seal.len));
        damage.push(DamagedRange {
            file: segment::file_name(entry.sequence),
            offset: 0,
            len: len.unwrap_or(0),
            accepted_before: scan.lowest_lsn_after(entry.sequence),
            max_attempts: max_attempts_in(len.unwrap_or(u64::MAX)),
            max_messages: entry.seal.map_or(u32::MAX, |seal| seal.accepted),
            cause: DamageCause::Missing,
        });
    }
    scan.damage.extend(damage);
}

/// Adds a manifest that can't be used to the damage, since segments may then be missing unnoticed. The exception is a
/// first start that was killed before it wrote a manifest: its folder has only headers of segments without frames.
pub(super) fn add_unlisted(scan: &mut Scan) {
    if scan.manifest.is_some() {
        return;
    }
    let is_first_start = scan.segments.values().all(|segment| {
        segment.frames == 0 && segment.header.is_some_and(|header| header.base_lsn == 0)
    });
    if !scan.manifest_invalid && is_first_start {
        return;
    }
    scan.damage.push(DamagedRange {
        file: manifest::FILE_NAME.to_owned(),
        offset: 0,
        len: scan.files.get(manifest::FILE_NAME).copied().unwrap_or(0),
        accepted_before: scan.next_lsn,
        max_attempts: max_attempts_in(u64::MAX),
        max_messages: u32::MAX,
        cause: DamageCause::Unlisted,
    });
}
