//! The result of scanning a folder.

use std::collections::BTreeMap;

use super::damage::DamagedRange;
use super::key_ring::KeyRing;
use crate::format::key::Mac;
use crate::format::manifest::{Manifest, Seal};
use crate::format::segment::Header;

/// A scanned segment.
#[derive(Clone, Debug)]
pub struct ScannedSegment {
    /// The sequence number.
    pub sequence: u32,
    /// Name of the file, which may differ from the name for the sequence number if files were renamed.
    pub name: String,
    /// Size of the file in bytes.
    pub size: u64,
    /// Number of readable frames.
    pub frames: u32,
    /// Number of readable records of accepted messages.
    pub accepted: u32,
    /// Log number of the first readable frame; 0 if there is none.
    pub first_lsn: u64,
    /// Highest log number of a readable frame; the segment's base log number if there is none.
    pub last_lsn: u64,
    /// `None` if the header is damaged.
    pub(crate) header: Option<Header>,
    /// Index in the key ring of the key under which the segment is signed.
    pub(crate) key_index: usize,
    /// Base log number from the header, or from the manifest if the header is damaged.
    pub(crate) base_lsn: u64,
    /// Chained hash of the segment sealed before it.
    pub(crate) previous_chain: Mac,
    /// Bytes of the file without a torn write, and at most the sealed length.
    pub(crate) len: u64,
    /// The seal in the manifest; `None` if the manifest does not list the segment as sealed.
    pub(crate) seal: Option<Seal>,
    /// Chained hash computed from the bytes read.
    pub(crate) chain: Mac,
}

impl ScannedSegment {
    /// Whether the manifest lists the segment as sealed. Otherwise it is the head, or the manifest can't be used.
    pub fn is_sealed(&self) -> bool {
        self.seal.is_some()
    }
}

/// An incomplete write at the end of the head, left by a killed process. None of its records had been acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornWrite {
    /// Name of the file.
    pub file: String,
    /// Bytes of the incomplete write that are in the file.
    pub bytes: u64,
}

/// The result of scanning a folder.
#[derive(Debug, Default)]
pub struct Scan {
    /// The folder's segments, by sequence number.
    pub segments: BTreeMap<u32, ScannedSegment>,
    pub(crate) key_ring: KeyRing,
    /// The manifest; `None` if it is missing, invalid or older than the segments.
    pub(crate) manifest: Option<Manifest>,
    /// Whether there is a manifest file that is invalid or older than the segments.
    pub(crate) manifest_invalid: bool,
    /// Ranges that can't be read or are missing.
    pub(crate) damage: Vec<DamagedRange>,
    /// A torn write at the end of the head.
    pub(crate) torn: Option<TornWrite>,
    /// Names of segment files that an earlier process no longer needed but was killed before it removed them. They
    /// contain nothing live.
    pub(crate) leftovers: Vec<String>,
    /// Names of segment files that are not used: signed under none of the keys, or second copies of a segment.
    pub(crate) foreign: Vec<String>,
    pub(crate) next_sequence: u32,
    pub(crate) next_lsn: u64,
    /// The latest Unix time in milliseconds that was recorded in the folder.
    pub(crate) latest_ms: u64,
    /// All files by name, with their sizes in bytes.
    pub(crate) files: BTreeMap<String, u64>,
}

impl Scan {
    /// The name of the file that holds segment `sequence`; empty if there is none.
    pub(crate) fn file_name(&self, sequence: u32) -> String {
        self.segments
            .get(&sequence)
            .map_or_else(String::new, |segment| segment.name.clone())
    }

    /// The lowest log number that a message accepted after segment `sequence` was sealed can have.
    pub(super) fn lowest_lsn_after(&self, sequence: u32) -> u64 {
        let listed = self
            .manifest
            .iter()
            .flat_map(|manifest| &manifest.segments)
            .map(|entry| (entry.sequence, entry.base_lsn));
        let found = self.segments.values().map(|s| (s.sequence, s.base_lsn));
        let next = listed
            .chain(found)
            .filter(|&(other, base_lsn)| other > sequence && base_lsn > 0)
            .min();
        next.map_or(u64::MAX, |(_, base_lsn)| base_lsn + 1)
    }
}
