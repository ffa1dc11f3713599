//! The segments of an open journal, by the stage that they are in: head, sealed, being relocated, obsolete.

use crate::format::key::{Key, Mac, Salt, finish_mac};
use crate::format::manifest::{ManifestEntry, Seal};
use crate::format::segment::{self, HEADER_BYTES, Header};

/// Bytes that are hashed at once: several times as fast as by the record, and it takes some microseconds.
const HASH_CHUNK_BYTES: usize = 16 * 1024;

/// A segment that is no longer written to.
#[derive(Debug)]
pub(super) struct SealedSegment {
    pub(super) name: String,
    pub(super) salt: Salt,
    pub(super) entry: ManifestEntry,
    /// Bytes of the file that count.
    pub(super) len: u64,
    /// It has a range that can't be read, and is to be relocated before others.
    pub(super) damaged: bool,
}

/// The segment that is written to.
#[derive(Debug)]
pub(super) struct HeadSegment {
    pub(super) sequence: u32,
    pub(super) name: String,
    pub(super) salt: Salt,
    base_lsn: u64,
    /// Chained hash of the segment sealed before it.
    previous_chain: Mac,
    /// Bytes of the file that count.
    pub(super) len: u64,
    frames: u32,
    /// Records of accepted messages in it.
    accepted: u32,
    hasher: blake3::Hasher,
    /// Written, and not hashed yet.
    unhashed: Vec<u8>,
    /// A failed write may have left bytes behind `len`.
    pub(super) torn: bool,
}

impl HeadSegment {
    /// A segment that has just been created with these frames behind its header.
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

    /// Counts frames that have been written to its end.
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

    /// Whether this many bytes may be appended to it.
    pub(super) fn accepts(&self, bytes: u64, segment_bytes: u64) -> bool {
        !self.torn && (self.frames == 0 || self.len + bytes <= segment_bytes)
    }

    /// As the manifest lists it while it is the head.
    pub(super) fn entry(&self) -> ManifestEntry {
        ManifestEntry {
            sequence: self.sequence,
            base_lsn: self.base_lsn,
            previous_chain: self.previous_chain,
            seal: None,
        }
    }

    /// As the manifest lists it once it is sealed.
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

    /// Its chained hash.
    pub(super) fn chain(&self) -> Mac {
        let mut hasher = self.hasher.clone();
        hasher.update(&self.unhashed);
        finish_mac(&hasher)
    }

    /// The segment sealed.
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

/// A sealed segment whose live frames are being written to the head.
#[derive(Debug)]
pub(super) struct Relocation {
    pub(super) sequence: u32,
    /// Bytes of the file that are done.
    pub(super) offset: u64,
    /// The message's slot of each frame passed so far, but for completions: removed with the file.
    pub(super) slots: Vec<u32>,
}

/// A segment that the manifest no longer lists; its file is still to be removed.
#[derive(Debug)]
pub(super) struct ObsoleteSegment {
    pub(super) sequence: u32,
    pub(super) name: String,
    /// As in [`Relocation`].
    pub(super) slots: Vec<u32>,
}
