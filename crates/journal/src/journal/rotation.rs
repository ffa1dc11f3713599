//! Writing to the head, rotation to a new head, and writing the manifest.

use std::io;

use super::segments::HeadSegment;
use super::state::Journal;
use crate::format::frame;
use crate::format::key::{Mac, Salt};
use crate::format::manifest::{FILE_NAME, Manifest, ManifestEntry, NEXT_FILE_NAME};
use crate::format::record;
use crate::format::segment::Header;
use crate::index::StoredFrame;
use crate::recovery::PossibleExecutions;
use crate::storage::Storage;

/// How the segments listed in a new manifest differ from those in the one on disk.
#[derive(Clone, Copy, Debug)]
pub(super) enum ManifestChange {
    /// Unchanged, except for missing segments that are no longer listed.
    None,
    /// The head, if there is one, is sealed, and a new head is added.
    NewHead {
        sealed: Option<ManifestEntry>,
        head: ManifestEntry,
    },
    /// The segment with this sequence number is removed.
    SegmentRemoved(u32),
}

impl<S: Storage> Journal<S> {
    /// Appends complete frames to the head; returns the head's sequence number. After an error none of the frames
    /// counts as written.
    pub(super) fn append_to_head(
        &mut self,
        bytes: &[u8],
        frames: u32,
        accepted: u32,
    ) -> io::Result<u32> {
        let Some(head) = &mut self.head else {
            return Err(io::ErrorKind::NotFound.into());
        };
        if let Err(e) = self.storage.append(&head.name, bytes) {
            head.torn = self.storage.truncate(&head.name, head.len).is_err();
            return Err(e);
        }
        head.record_append(bytes, frames, accepted);
        Ok(head.sequence)
    }

    /// Ensures a head with room for this many bytes and without a torn write at its end, and rotates if necessary;
    /// returns the head's salt.
    pub(super) fn prepare_head(&mut self, now_ms: u64, bytes: u64) -> io::Result<Salt> {
        if let Some(head) = self.head.as_mut().filter(|head| head.torn) {
            head.torn = self.storage.truncate(&head.name, head.len).is_err();
        }
        let segment_bytes = self.segment_bytes;
        let accepts = |head: &HeadSegment| head.accepts(bytes, segment_bytes);
        if !self.head.as_ref().is_some_and(accepts) {
            self.rotate(now_ms, &[])?;
        }
        self.head
            .as_ref()
            .map(|head| head.salt)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Seals the head and begins a new one. Records of the possible executions in `first` are written to the new
    /// segment before the manifest lists it; returns their frames. After an error the old head stays in use.
    pub(super) fn rotate(
        &mut self,
        now_ms: u64,
        first: &[PossibleExecutions],
    ) -> io::Result<Vec<StoredFrame>> {
        let header = self.next_header(now_ms);
        let salt = Salt::new(&self.key, header.sequence);
        let mut bytes = Vec::new();
        let mut stored = Vec::new();
        let mut lsn = self.next_lsn;
        for possible in first {
            let start = bytes.len();
            let record = possible.to_record();
            frame::encode(salt, &mut bytes, |b| record::encode(lsn, &record, b));
            stored.push(StoredFrame {
                sequence: header.sequence,
                len: (bytes.len() - start) as u32,
            });
            lsn += 1;
        }
        let head = HeadSegment::new(&header, &self.key, salt, &bytes, stored.len() as u32);
        if let Err(e) = self.create_segment(&header, &head, &bytes) {
            // If the file can't be removed either, it is unlisted and without frames, and the next start removes it.
            let _ = self.storage.remove(&head.name);
            return Err(e);
        }
        self.next_lsn = lsn;
        if let Some(old) = self.head.replace(head) {
            let sealed = old.into_sealed();
            self.sealed.insert(sealed.entry.sequence, sealed);
        }
        Ok(stored)
    }

    /// The header of the next segment. Its sequence number is not used again even if the segment can't be created,
    /// since its file may exist.
    fn next_header(&mut self, now_ms: u64) -> Header {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let last_sealed = self.sealed.values().next_back();
        let previous_chain = match &self.head {
            Some(head) => head.chain(),
            None => last_sealed
                .and_then(|segment| segment.entry.seal)
                .map_or(Mac::default(), |seal| seal.chain),
        };
        Header {
            sequence,
            epoch: self.epoch + 1,
            base_lsn: self.next_lsn - 1,
            created_ms: now_ms,
            previous_chain,
        }
    }

    /// Writes a new segment's file, and the manifest that lists it as the head.
    fn create_segment(
        &mut self,
        header: &Header,
        head: &HeadSegment,
        frames: &[u8],
    ) -> io::Result<()> {
        let mut bytes = header.encode(&self.key);
        bytes.extend_from_slice(frames);
        self.storage.append(&head.name, &bytes)?;
        self.write_manifest(ManifestChange::NewHead {
            sealed: self.head.as_ref().map(HeadSegment::sealed_entry),
            head: head.entry(),
        })
    }

    /// Replaces the manifest atomically; the set of segments changes in no other way.
    pub(super) fn write_manifest(&mut self, change: ManifestChange) -> io::Result<()> {
        let manifest = Manifest {
            epoch: self.epoch + 1,
            next_sequence: self.next_sequence,
            next_lsn: self.next_lsn,
            segments: self.listed_segments(change),
        };
        // This attempt would append to a file left by a failed one, and the result would not be a valid manifest.
        if self.stale_next_manifest {
            self.storage.remove(NEXT_FILE_NAME)?;
            self.stale_next_manifest = false;
        }
        let bytes = manifest.encode(&self.key);
        let result = self
            .storage
            .append(NEXT_FILE_NAME, &bytes)
            .and_then(|()| self.storage.rename(NEXT_FILE_NAME, FILE_NAME));
        match result {
            Ok(()) => self.epoch += 1,
            Err(_) => self.stale_next_manifest = self.storage.remove(NEXT_FILE_NAME).is_err(),
        }
        result
    }

    /// The segments to list in the next manifest, ordered by sequence number.
    fn listed_segments(&self, change: ManifestChange) -> Vec<ManifestEntry> {
        let removed = match change {
            ManifestChange::SegmentRemoved(sequence) => Some(sequence),
            ManifestChange::None | ManifestChange::NewHead { .. } => None,
        };
        let mut segments = self.missing.clone();
        let sealed = self.sealed.values().map(|segment| segment.entry);
        segments.extend(sealed.filter(|entry| Some(entry.sequence) != removed));
        match change {
            ManifestChange::NewHead { sealed, head } => {
                segments.extend(sealed);
                segments.push(head);
            }
            ManifestChange::None | ManifestChange::SegmentRemoved(_) => {
                segments.extend(self.head.as_ref().map(HeadSegment::entry));
            }
        }
        segments.sort_by_key(|entry| entry.sequence);
        segments
    }
}
