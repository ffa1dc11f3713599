//! What a folder holds, as it was scanned.

use std::collections::BTreeMap;

use super::damage::DamagedRange;
use super::key_ring::KeyRing;
use crate::format::key::Mac;
use crate::format::manifest::{Manifest, Seal};
use crate::format::segment::Header;

/// A segment as it was found.
#[derive(Clone, Debug)]
pub struct ScannedSegment {
    /// Its sequence number.
    pub sequence: u32,
    /// Its file's name.
    pub name: String,
    /// Size of the file in bytes.
    pub size: u64,
    /// Readable frames in it.
    pub frames: u32,
    /// Readable records of accepted messages in it.
    pub accepted: u32,
    /// Lowest log number in it; 0 if it has no readable frame.
    pub first_lsn: u64,
    /// Highest log number in it, or its base if that is higher.
    pub last_lsn: u64,
    /// `None` if it is damaged.
    pub(crate) header: Option<Header>,
    /// Index of the key that it is signed under.
    pub(crate) key_index: usize,
    /// As in its header, or in the manifest if the header is damaged.
    pub(crate) base_lsn: u64,
    /// Chained hash of the one sealed before it.
    pub(crate) previous_chain: Mac,
    /// Bytes up to its seal, or to the end of its last whole frame.
    pub(crate) len: u64,
    /// As the manifest has it.
    pub(crate) seal: Option<Seal>,
    /// Chained hash of what was found.
    pub(crate) chain: Mac,
}

impl ScannedSegment {
    /// Whether the manifest lists it as finished; else it is the head.
    pub fn is_sealed(&self) -> bool {
        self.seal.is_some()
    }
}

/// A write that was cut off at the end of the head. Nothing in it had been acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornWrite {
    /// The file's name.
    pub file: String,
    /// Bytes of it that are there.
    pub bytes: u64,
}

/// What a folder holds.
#[derive(Debug, Default)]
pub struct Scan {
    /// The folder's segments by sequence number.
    pub segments: BTreeMap<u32, ScannedSegment>,
    pub(crate) key_ring: KeyRing,
    /// The manifest, if it is valid and not older than the segments.
    pub(crate) manifest: Option<Manifest>,
    /// There is a file of that name that can't be used.
    pub(crate) manifest_invalid: bool,
    pub(crate) damage: Vec<DamagedRange>,
    /// A write that was cut off at the end of the head.
    pub(crate) torn: Option<TornWrite>,
    /// Segments left behind by a kill, to be removed: all that is live in them is elsewhere.
    pub(crate) leftovers: Vec<String>,
    /// Segments signed under none of the keys.
    pub(crate) foreign: Vec<String>,
    pub(crate) next_sequence: u32,
    pub(crate) next_lsn: u64,
    /// The latest Unix time, in milliseconds, at which something is known to have been written.
    pub(crate) latest_ms: u64,
    /// All files with their sizes.
    pub(crate) files: BTreeMap<String, u64>,
}

impl Scan {
    /// The name of the file that holds segment `sequence`; empty if there is none.
    pub(crate) fn file_name(&self, sequence: u32) -> String {
        self.segments
            .get(&sequence)
            .map_or_else(String::new, |segment| segment.name.clone())
    }

    /// The lowest log number that a message accepted after segment `sequence` was finished can have.
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
