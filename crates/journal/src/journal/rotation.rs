//! The head and its successors: appending frames, sealing, and the manifest that lists the segments.

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

/// How a new manifest differs from the one on disk.
#[derive(Clone, Copy, Debug)]
pub(super) enum ManifestChange {
    /// Not in its segments, but for missing ones that are no longer listed.
    None,
    /// The head is sealed, and there is another one.
    NewHead {
        sealed: Option<ManifestEntry>,
        head: ManifestEntry,
    },
    /// This segment is no longer listed.
    SegmentRemoved(u32),
}

impl<S: Storage> Journal<S> {
    /// Appends whole frames to the head; returns its sequence number. After an error none of them is there.
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

    /// Makes sure that the head has room for this many bytes, and nothing torn at its end; returns its salt.
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

    /// Seals the head and begins another one, with records of these possible executions in it before it is listed;
    /// returns their frames. After an error the old head stays.
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
            // If it can't be removed either, it is an unlisted file without frames: the next start removes it.
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
    /// since its file may be there.
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

    /// Replaces the manifest: the one step by which the set of segments changes.
    pub(super) fn write_manifest(&mut self, change: ManifestChange) -> io::Result<()> {
        let manifest = Manifest {
            epoch: self.epoch + 1,
            next_sequence: self.next_sequence,
            next_lsn: self.next_lsn,
            segments: self.listed_segments(change),
        };
        // A file left by a failed attempt would be appended to, and the two together be no manifest.
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
