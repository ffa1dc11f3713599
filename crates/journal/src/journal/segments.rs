//! The segments of an open journal, with a type for each stage: head, sealed, being relocated, obsolete.

use crate::format::key::{Key, Mac, Salt, finish_mac};
use crate::format::manifest::{ManifestEntry, Seal};
use crate::format::segment::{self, HEADER_BYTES, Header};

/// Bytes that are hashed at once, which takes some microseconds and is several times as fast as hashing each record.
const HASH_CHUNK_BYTES: usize = 16 * 1024;

/// A sealed segment, which is not written to any more.
#[derive(Debug)]
pub(super) struct SealedSegment {
    pub(super) name: String,
    pub(super) salt: Salt,
    pub(super) entry: ManifestEntry,
    /// Bytes of the file, header included; anything after them is ignored.
    pub(super) len: u64,
    /// Whether it has a range that can't be read; such segments are relocated before others.
    pub(super) damaged: bool,
}

/// The head, the segment that frames are appended to.
#[derive(Debug)]
pub(super) struct HeadSegment {
    pub(super) sequence: u32,
    pub(super) name: String,
    pub(super) salt: Salt,
    base_lsn: u64,
    /// Chained hash of the segment sealed before it.
    previous_chain: Mac,
    /// Bytes of the file, header included, without those of a failed write.
    pub(super) len: u64,
    /// Number of frames.
    frames: u32,
    /// Number of records of accepted messages.
    accepted: u32,
    hasher: blake3::Hasher,
    /// Bytes that have been written but not hashed.
    unhashed: Vec<u8>,
    /// Whether a failed write may have left bytes after `len`.
    pub(super) torn: bool,
}

impl HeadSegment {
    /// A new segment with these `count` frames after its header.
    pub(super) fn new(
        header: &Header,
        key: &Key,
        salt: Salt,
        frames: &[u8],
        count: u32,
    ) -> HeadSegment {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(&header.previous_chain);
        hasher.update(frames);
        HeadSegment {
            sequence: header.sequence,
            name: segment::file_name(header.sequence),
            salt,
            base_lsn: header.base_lsn,
            previous_chain: header.previous_chain,
            len: (HEADER_BYTES + frames.len()) as u64,
            frames: count,
            accepted: 0,
            hasher,
            unhashed: Vec::new(),
            torn: false,
        }
    }

    /// Updates length, counts and hash after frames have been appended.
    pub(super) fn record_append(&mut self, bytes: &[u8], frames: u32, accepted: u32) {
        self.len += bytes.len() as u64;
        self.frames += frames;
        self.accepted += accepted;
        self.unhashed.extend_from_slice(bytes);
        if self.unhashed.len() >= HASH_CHUNK_BYTES {
            self.hasher.update(&self.unhashed);
            self.unhashed.clear();
        }
    }

    /// Whether this many bytes may be appended. A segment without frames accepts any number, so that a batch larger
    /// than a segment can be written.
    pub(super) fn accepts(&self, bytes: u64, segment_bytes: u64) -> bool {
        !self.torn && (self.frames == 0 || self.len + bytes <= segment_bytes)
    }

    /// The manifest entry of the segment while it is the head.
    pub(super) fn entry(&self) -> ManifestEntry {
        ManifestEntry {
            sequence: self.sequence,
            base_lsn: self.base_lsn,
            previous_chain: self.previous_chain,
            seal: None,
        }
    }

    /// The manifest entry of the segment once it is sealed.
    pub(super) fn sealed_entry(&self) -> ManifestEntry {
        ManifestEntry {
            seal: Some(self.seal()),
            ..self.entry()
        }
    }

    fn seal(&self) -> Seal {
        Seal {
            len: self.len as u32,
            frames: self.frames,
            accepted: self.accepted,
            chain: self.chain(),
        }
    }

    /// Keyed hash of the previous segment's chained hash and of this segment's frames.
    pub(super) fn chain(&self) -> Mac {
        let mut hasher = self.hasher.clone();
        hasher.update(&self.unhashed);
        finish_mac(&hasher)
    }

    /// Seals the segment.
    pub(super) fn into_sealed(self) -> SealedSegment {
        let entry = self.sealed_entry();
        SealedSegment {
            name: self.name,
            salt: self.salt,
            entry,
            len: self.len,
            damaged: false,
        }
    }
}

/// The relocation of a sealed segment in progress.
#[derive(Debug)]
pub(super) struct Relocation {
    pub(super) sequence: u32,
    /// Offset in the file up to which live frames have been relocated, in bytes.
    pub(super) offset: u64,
    /// The slot of each frame's message so far, completions excepted: removing the file removes these frames.
    pub(super) slots: Vec<u32>,
}

/// A segment that the manifest does not list any more, but whose file has not been removed.
#[derive(Debug)]
pub(super) struct ObsoleteSegment {
    pub(super) sequence: u32,
    pub(super) name: String,
    /// See [`Relocation::slots`].
    pub(super) slots: Vec<u32>,
}
