//! Finds the files that are segments of a folder, by the manifest and by the files' headers.

use std::collections::{BTreeMap, BTreeSet};

use super::contents::{Scan, ScannedSegment};
use crate::error::OpenError;
use crate::format::key::Mac;
use crate::format::manifest::{self, DecodedManifest, Manifest, ManifestEntry};
use crate::format::segment::{self, DecodedHeader, HEADER_BYTES, Header, VERSION};
use crate::storage::Storage;

/// Decoded headers, by file name.
type Headers = BTreeMap<String, DecodedHeader>;

/// A file that is a segment of this folder if the manifest lists it.
struct Candidate {
    name: String,
    sequence: u32,
    /// The header and the index of the key under which it is signed; `None` if it is damaged.
    header: Option<(Header, usize)>,
}

/// Finds the folder's segments, and determines the next sequence number and log number. Reads no frames.
pub(super) fn find<S: Storage>(scan: &mut Scan, storage: &mut S) -> Result<(), OpenError> {
    read_manifest(scan, storage)?;
    let headers = read_headers(scan, storage)?;
    let listed: BTreeSet<u32> = scan
        .manifest
        .iter()
        .flat_map(|manifest| &manifest.segments)
        .map(|entry| entry.sequence)
        .collect();
    if has_stale_manifest(scan, &headers, &listed) {
        scan.manifest = None;
        scan.manifest_invalid = true;
    }
    for candidate in candidates(scan, &headers, &listed) {
        add_segment(scan, candidate);
    }
    set_next_numbers(scan, &listed);
    Ok(())
}

fn read_manifest<S: Storage>(scan: &mut Scan, storage: &mut S) -> Result<(), OpenError> {
    if !scan.files.contains_key(manifest::FILE_NAME) {
        return Ok(());
    }
    let bytes = storage
        .read(manifest::FILE_NAME, 0, manifest::MAX_FILE_BYTES)
        .map_err(OpenError::io(manifest::FILE_NAME))?;
    match Manifest::decode(&bytes, scan.key_ring.keys()) {
        DecodedManifest::Valid(manifest) => scan.manifest = Some(manifest),
        DecodedManifest::NewerVersion(version) => return Err(newer(manifest::FILE_NAME, version)),
        DecodedManifest::Invalid => scan.manifest_invalid = true,
    }
    Ok(())
}

fn newer(file: &str, version: u16) -> OpenError {
    OpenError::NewerFormat {
        file: file.to_owned(),
        version,
        known: VERSION,
    }
}

fn read_headers<S: Storage>(scan: &Scan, storage: &mut S) -> Result<Headers, OpenError> {
    let mut headers = Headers::new();
    for name in scan.files.keys() {
        if segment::sequence_of(name).is_none() {
            continue;
        }
        let bytes = storage
            .read(name, 0, HEADER_BYTES)
            .map_err(OpenError::io(name))?;
        let header = Header::decode(&bytes, scan.key_ring.keys());
        if let DecodedHeader::NewerVersion(version) = header {
            return Err(newer(name, version));
        }
        headers.insert(name.clone(), header);
    }
    if is_signed_under_another_key(scan, &headers) {
        return Err(OpenError::WrongKey);
    }
    Ok(headers)
}

/// Whether there are segment files, but neither the manifest nor any header is signed under one of the keys.
fn is_signed_under_another_key(scan: &Scan, headers: &Headers) -> bool {
    let any_valid = headers
        .values()
        .any(|header| matches!(header, DecodedHeader::Valid { .. }));
    if scan.manifest.is_some() || headers.is_empty() || any_valid {
        return false;
    }
    // Files without a complete header are left by a first start that was killed.
    let first_start = !scan.manifest_invalid
        && headers
            .iter()
            .all(|(name, header)| *header == DecodedHeader::Invalid && !has_header(scan, name));
    !first_start
}

fn size_of(scan: &Scan, name: &str) -> u64 {
    scan.files.get(name).copied().unwrap_or(0)
}

fn has_header(scan: &Scan, name: &str) -> bool {
    size_of(scan, name) >= HEADER_BYTES as u64
}

fn has_frames(scan: &Scan, name: &str) -> bool {
    size_of(scan, name) > HEADER_BYTES as u64
}

/// Whether the manifest is older than an unlisted segment with frames, for example because it was restored from a
/// backup.
fn has_stale_manifest(scan: &Scan, headers: &Headers, listed: &BTreeSet<u32>) -> bool {
    let Some(manifest) = &scan.manifest else {
        return false;
    };
    headers.iter().any(|(name, header)| {
        matches!(header, DecodedHeader::Valid { header, .. }
            if !listed.contains(&header.sequence)
                && header.epoch > manifest.epoch
                && has_frames(scan, name))
    })
}

/// Classifies the files as candidates, leftovers or foreign files. A file's header determines its sequence number,
/// since files may have been swapped; its name does if the header is damaged.
fn candidates(scan: &mut Scan, headers: &Headers, listed: &BTreeSet<u32>) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (name, decoded) in headers {
        let name = name.clone();
        if let DecodedHeader::Valid { header, key_index } = *decoded {
            candidates.push(Candidate {
                name,
                sequence: header.sequence,
                header: Some((header, key_index)),
            });
            continue;
        }
        let sequence = segment::sequence_of(&name).unwrap_or_default();
        let is_listed = scan.manifest.is_some() && listed.contains(&sequence);
        if !is_listed && !has_frames(scan, &name) {
            scan.leftovers.push(name);
        } else if !is_listed && (*decoded == DecodedHeader::Foreign || scan.manifest.is_some()) {
            scan.foreign.push(name);
        } else {
            // Without a manifest, the frames' salts show whether the file belongs to this folder.
            candidates.push(Candidate {
                name,
                sequence,
                header: None,
            });
        }
    }
    candidates
}

/// Adds a candidate to the segments, or to the leftovers or foreign files.
fn add_segment(scan: &mut Scan, candidate: Candidate) {
    let entry = scan
        .manifest
        .iter()
        .flat_map(|manifest| &manifest.segments)
        .find(|entry| entry.sequence == candidate.sequence)
        .copied();
    if scan.manifest.is_some() && entry.is_none() {
        scan.leftovers.push(candidate.name);
        return;
    }
    let segment = unread_segment(&candidate, entry, size_of(scan, &candidate.name));
    let sequence = candidate.sequence;
    let Some(other) = scan.segments.get(&sequence) else {
        scan.segments.insert(sequence, segment);
        return;
    };
    // Of two copies, one with a valid header is preferred, and among those one with the file name of its sequence
    // number.
    let has_header = segment.header.is_some();
    let is_better =
        has_header && (segment::file_name(sequence) == segment.name || other.header.is_none());
    if is_better {
        scan.foreign.push(other.name.clone());
        scan.segments.insert(sequence, segment);
    } else {
        scan.foreign.push(segment.name);
    }
}

/// A segment before its frames are read.
fn unread_segment(
    candidate: &Candidate,
    entry: Option<ManifestEntry>,
    size: u64,
) -> ScannedSegment {
    let header = candidate.header.map(|(header, _)| header);
    let base_lsn = header
        .map(|header| header.base_lsn)
        .or(entry.map(|entry| entry.base_lsn))
        .unwrap_or(0);
    let previous_chain = header
        .map(|header| header.previous_chain)
        .or(entry.map(|entry| entry.previous_chain))
        .unwrap_or_default();
    ScannedSegment {
        sequence: candidate.sequence,
        name: candidate.name.clone(),
        size,
        frames: 0,
        accepted: 0,
        first_lsn: 0,
        last_lsn: base_lsn,
        header,
        key_index: candidate.header.map_or(0, |(_, key_index)| key_index),
        base_lsn,
        previous_chain,
        len: HEADER_BYTES as u64,
        seal: entry.and_then(|entry| entry.seal),
        chain: Mac::default(),
    }
}

/// Determines the next sequence number and log number. `listed` is taken into account even if the manifest is stale, so
/// that no sequence number is used twice.
fn set_next_numbers(scan: &mut Scan, listed: &BTreeSet<u32>) {
    let highest = scan
        .files
        .keys()
        .filter_map(|name| segment::sequence_of(name))
        .chain(listed.iter().copied())
        .max();
    let manifest = scan.manifest.as_ref();
    scan.next_sequence = highest
        .map_or(1, |sequence| sequence + 1)
        .max(manifest.map_or(1, |manifest| manifest.next_sequence));
    scan.next_lsn = manifest.map_or(1, |manifest| manifest.next_lsn.max(1));
    for segment in scan.segments.values() {
        scan.next_lsn = scan.next_lsn.max(segment.base_lsn + 1);
        let created_ms = segment.header.map_or(0, |header| header.created_ms);
        scan.latest_ms = scan.latest_ms.max(created_ms);
    }
}
