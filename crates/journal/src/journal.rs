//! [`Journal`]: what is owed, on disk. Appends, and room; see `open` for its start and `compact` for its upkeep.

use std::io;
use std::time::Duration;

use cranehill_core::{FinalReport, Persisted, Record};
use serde_bytes::Bytes;

use crate::fact::{self, AcceptedMessage, JournalRecord, RecordKind, pack};
use crate::frame;
use crate::id::PackedId;
use crate::index::{EntryState, Index, StoredFrame};
use crate::key::{Key, Mac, Salt, cut};
use crate::manifest::{self, Manifest, ManifestEntry, Seal};
use crate::recover::{PossibleExecutions, tag};
use crate::segment::{self, Header};
use crate::storage::{BLOCK_BYTES, Storage};

const NANOS_PER_MS: u64 = 1_000_000;
/// Bounds of a segment's size. Small ones make compaction's steps small, large ones the manifest.
const MIN_SEGMENT_BYTES: u64 = 16 * 1024;
const MAX_SEGMENT_BYTES: u64 = 1024 * 1024;
/// The largest frame that compaction may have to carry over.
const MAX_FRAME_BYTES: u64 = 72 * 1024;
/// Bytes of the head that are hashed at once: some microseconds.
const HASH_CHUNK_BYTES: usize = 16 * 1024;
/// What a manifest takes besides its segments, and for each.
const MANIFEST_LEAST: u64 = 2 * BLOCK_BYTES;
const MANIFEST_EACH: u64 = 64;
/// When to come back if there are dead bytes to be freed, and if there are none.
const RETRY_SOON: Duration = Duration::from_millis(250);
const RETRY_LATER: Duration = Duration::from_secs(2);

/// How a journal is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes that the folder may hold.
    pub disk: u64,
    /// An operator's key; else the folder has one of its own.
    pub key: Option<Key>,
    /// Fresh random bytes: the folder's key, if it has none yet.
    pub fresh_key: Key,
    /// Bytes of a segment; by the folder's share if not given. Small ones bring many switches, as tests want.
    pub segment: Option<u64>,
}

/// What was not written, and why.
#[derive(Debug, thiserror::Error)]
#[error("{source}")]
pub struct AppendError {
    pub kept: Persisted,
    pub source: io::Error,
}

/// Figures of a running journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    pub segments: usize,
    /// Of all segments, and of what is live in them.
    pub bytes: u64,
    pub live: u64,
    pub open: u64,
    pub final_report: u64,
    pub completed: u64,
    /// Bytes free in the folder's share.
    pub room: u64,
    /// Since the start: bytes appended, bytes that compaction carried over, segments removed, turns refused.
    pub appended: u64,
    pub carried: u64,
    pub removed: u64,
    pub refused: u64,
}

/// A segment that is no longer written to.
#[derive(Debug)]
pub(crate) struct SealedSegment {
    pub name: String,
    pub salt: Salt,
    pub listed: ManifestEntry,
    pub len: u64,
    /// It holds a stretch that can't be read: the sooner it goes the better.
    pub damaged: bool,
}

/// The segment that is written to.
#[derive(Debug)]
pub(crate) struct HeadSegment {
    pub sequence: u32,
    pub name: String,
    pub salt: Salt,
    pub base: u64,
    pub before: Mac,
    pub len: u64,
    pub frames: u32,
    pub taken: u32,
    hasher: blake3::Hasher,
    /// Written and not in the hash yet: it is several times as fast on many bytes at once.
    unhashed: Vec<u8>,
    /// A failed write may have left bytes behind `len`.
    pub torn: bool,
}

impl HeadSegment {
    fn listed(&self) -> ManifestEntry {
        ManifestEntry {
            sequence: self.sequence,
            base: self.base,
            before: self.before,
            seal: None,
        }
    }

    fn seal(&self) -> Seal {
        let mut hasher = self.hasher.clone();
        hasher.update(&self.unhashed);
        Seal {
            len: self.len as u32,
            frames: self.frames,
            taken: self.taken,
            chain: cut(&hasher),
        }
    }
}

/// The log of what the sender owes, in a folder of its own.
#[derive(Debug)]
pub struct Journal<S> {
    pub(crate) storage: S,
    pub(crate) key: Key,
    pub(crate) disk: u64,
    pub(crate) segment_size: u64,
    pub(crate) epoch: u64,
    pub(crate) next_sequence: u32,
    pub(crate) next_lsn: u64,
    pub(crate) sealed: std::collections::BTreeMap<u32, SealedSegment>,
    pub(crate) head: Option<HeadSegment>,
    /// Listed and missing: kept in the manifest until the doubt that they give rise to is written down.
    pub(crate) missing: Vec<ManifestEntry>,
    pub(crate) index: Index,
    pub(crate) possible_executions: Vec<PossibleExecutions>,
    /// A file that a failed try at a manifest has left.
    next_left: bool,
    /// To be written with the next turn: what recovery concluded.
    pub(crate) pending: Vec<Record>,
    pub(crate) relocation: Option<crate::compact::Relocation>,
    pub(crate) obsolete: Vec<crate::compact::ObsoleteSegment>,
    /// Bytes promised to messages that were let in since the last turn.
    promised: u64,
    pub(crate) stats: Stats,
    /// Kept to be filled anew each turn.
    buffer: Vec<u8>,
}

/// A fact that is in the buffer and goes into the index once it is on disk.
struct BatchRecord {
    id: PackedId,
    /// Its message's slot, if that was known before this turn.
    slot: Option<u32>,
    /// Which record of this turn first spoke of it, if it was not.
    first: usize,
    accepted_lsn: u64,
    tag: RecordKind,
    until: u64,
    len: u32,
}

impl<S: Storage> Journal<S> {
    pub(crate) fn begin(storage: S, options: &Options, key: Key, index: Index) -> Journal<S> {
        Journal {
            storage,
            key,
            disk: options.disk,
            segment_size: options
                .segment
                .unwrap_or_else(|| (options.disk / 32).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)),
            epoch: 0,
            next_sequence: 1,
            next_lsn: 1,
            sealed: Default::default(),
            head: None,
            missing: Vec::new(),
            index,
            possible_executions: Vec::new(),
            next_left: false,
            pending: Vec::new(),
            relocation: None,
            obsolete: Vec::new(),
            promised: 0,
            stats: Stats::default(),
            buffer: Vec::new(),
        }
    }

    /// Appends a turn's records at `now` (ms since 1970). On an error, either what has ended is kept or nothing is,
    /// as the error says.
    pub fn append(&mut self, now: u64, records: &[Record]) -> Result<(), AppendError> {
        self.promised = 0;
        let mut all = std::mem::take(&mut self.pending);
        let reserved_bytes = all.len();
        let whole = if reserved_bytes == 0 {
            self.write(now, records, |_| true)
        } else {
            all.extend_from_slice(records);
            self.write(now, &all, |_| true)
        };
        let Err(source) = whole else { return Ok(()) };
        self.stats.refused += 1;
        let ends = records.iter().any(Record::is_end);
        if ends && self.write(now, records, Record::is_end).is_ok() {
            all.truncate(reserved_bytes);
            self.pending = all;
            return Err(AppendError {
                kept: Persisted::EndsOnly,
                source,
            });
        }
        all.truncate(reserved_bytes);
        self.pending = all;
        Err(AppendError {
            kept: if ends {
                Persisted::Nothing
            } else {
                Persisted::EndsOnly
            },
            source,
        })
    }

    /// Whether there is room for a further message of so many bytes, or when to come back. What is let in counts
    /// until the next turn is appended.
    pub fn admit(&mut self, bytes: usize) -> Result<(), Duration> {
        let more = bytes as u64 + 2048;
        let reserve = self.carry_reserve() * 2 + self.index.reserved_room();
        if self.storage.room() >= self.promised + more + reserve {
            self.promised += more;
            return Ok(());
        }
        let dead: u64 = self
            .sealed
            .iter()
            .map(|(&s, i)| i.len.saturating_sub(self.index.live(s)))
            .sum();
        Err(if dead > self.segment_size {
            RETRY_SOON
        } else {
            RETRY_LATER
        })
    }

    pub fn stats(&mut self) -> Stats {
        let head = self.head.iter().map(|h| (h.sequence, h.len));
        let all: Vec<(u32, u64)> = self
            .sealed
            .iter()
            .map(|(&s, i)| (s, i.len))
            .chain(head)
            .collect();
        let (open, final_report, completed) = self.index.counts();
        Stats {
            segments: all.len(),
            bytes: all.iter().map(|(_, len)| len).sum(),
            live: all.iter().map(|&(s, _)| self.index.live(s)).sum(),
            open,
            final_report,
            completed,
            room: self.storage.room(),
            ..self.stats
        }
    }

    /// The file that is written to, if there is one.
    pub fn head(&self) -> Option<&str> {
        self.head.as_ref().map(|h| h.name.as_str())
    }

    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// To play failures in.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// What compaction needs to make any progress.
    pub(crate) fn carry_reserve(&self) -> u64 {
        let segments = self.sealed.len() as u64 + 2;
        let manifest = MANIFEST_LEAST + MANIFEST_EACH * segments;
        (self.segment_size.max(MAX_FRAME_BYTES) + manifest).min(self.disk / 4)
    }

    /// Appends those records that `which` wants, all or none.
    fn write(
        &mut self,
        now: u64,
        records: &[Record],
        which: impl Fn(&Record) -> bool,
    ) -> io::Result<()> {
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let result = self.write_into(now, records, which, &mut buffer);
        self.buffer = buffer;
        result
    }

    fn write_into(
        &mut self,
        now: u64,
        records: &[Record],
        which: impl Fn(&Record) -> bool,
        buffer: &mut Vec<u8>,
    ) -> io::Result<()> {
        // An upper bound will do to decide whether a new segment is due; frames are salted by their segment.
        let fresh = |r: &Record| matches!(r, Record::Accepted { .. }) && which(r);
        let expected: u64 = records
            .iter()
            .filter(|r| which(r))
            .map(|r| 96 + size_of_record(r))
            .sum();
        if expected == 0 && self.possible_executions.iter().all(|d| d.place.is_some()) {
            return Ok(());
        }
        // What has ended is tried whatever the room: it may fit in what is left of the head's last block.
        let wanted = if records.iter().any(fresh) {
            expected + self.carry_reserve()
        } else {
            0
        };
        if self.storage.room() < wanted {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal's share of the folder is used",
            ));
        }
        let salt = self.ready_head(now, expected)?;
        let first = self.next_lsn;
        let mut lsn = first;
        let mut written: Vec<BatchRecord> = Vec::with_capacity(records.len());
        let possible_executions = std::mem::take(&mut self.possible_executions);
        let mut doubts_written = Vec::new();
        for (n, doubt) in possible_executions
            .iter()
            .enumerate()
            .filter(|(_, d)| d.place.is_none())
        {
            let at = buffer.len();
            let PossibleExecutions {
                before,
                attempts,
                until,
                ..
            } = *doubt;
            frame::write(salt, buffer, |b| {
                fact::write(
                    lsn,
                    &JournalRecord::PossiblyExecuted {
                        before,
                        attempts,
                        until,
                    },
                    b,
                )
            });
            lsn += 1;
            doubts_written.push((n, (buffer.len() - at) as u32));
        }
        self.possible_executions = possible_executions;
        let mut taken = 0;
        for record in records.iter().filter(|r| which(r)) {
            let id = PackedId::new(record.id());
            let Some((accepted_lsn, slot, first)) = self.accepted_lsn(&id, record, lsn, &written)
            else {
                continue;
            };
            let at = buffer.len();
            frame::write(salt, buffer, |b| {
                write_record(lsn, accepted_lsn, &id, record, b)
            });
            taken += u32::from(matches!(record, Record::Accepted { .. }));
            let until = if let Record::Completed { until, .. } = record {
                until / NANOS_PER_MS
            } else {
                0
            };
            let first = first.unwrap_or(written.len());
            written.push(BatchRecord {
                id,
                slot,
                first,
                accepted_lsn,
                tag: tag(record),
                until,
                len: (buffer.len() - at) as u32,
            });
            lsn += 1;
        }
        if buffer.is_empty() {
            return Ok(());
        }
        let sequence = self.put(buffer, (lsn - first) as u32, taken)?;
        self.next_lsn = lsn;
        self.stats.appended += buffer.len() as u64;
        for (n, len) in doubts_written {
            let place = StoredFrame { sequence, len };
            if let Some(doubt) = self.possible_executions.get_mut(n) {
                doubt.place = Some(place);
                self.index.add_live(place);
            }
        }
        for n in 0..written.len() {
            let slot = written[n].slot.or(written[written[n].first].slot);
            let w = &written[n];
            let place = StoredFrame {
                sequence,
                len: w.len,
            };
            match slot {
                Some(slot) => {
                    self.index
                        .join_at(slot, w.accepted_lsn, w.tag, w.until, place);
                }
                None => {
                    written[n].slot = Some(
                        self.index
                            .join(&w.id, w.accepted_lsn, w.tag, w.until, place)
                            .0,
                    )
                }
            }
        }
        if !self.missing.is_empty() && self.possible_executions.iter().all(|d| d.place.is_some()) {
            self.missing.clear();
        }
        Ok(())
    }

    /// Under which number the message of a record was taken, its slot if it has one, and the record of this turn that
    /// spoke of it first; `None` if the record says nothing that counts.
    fn accepted_lsn(
        &self,
        id: &PackedId,
        record: &Record,
        lsn: u64,
        written: &[BatchRecord],
    ) -> Option<(u64, Option<u32>, Option<usize>)> {
        let slot = self.index.slot(id);
        // What this very turn says comes first.
        let here = written.iter().rev().find(|w| w.id == *id);
        let known = slot.and_then(|slot| self.index.entry(slot));
        let (accepted_lsn, over, final_report) = match (here, known) {
            (Some(w), _) => (
                w.accepted_lsn,
                w.tag == RecordKind::Completed,
                w.tag == RecordKind::FinalReportDue,
            ),
            (None, Some(e)) => (
                e.accepted_lsn,
                matches!(e.state, EntryState::Completed { .. }),
                matches!(e.state, EntryState::FinalReportDue(_)),
            ),
            (None, None) => (0, true, true),
        };
        let accepted_lsn = match record {
            // An id that ended and was forgotten by the sender is another message.
            Record::Accepted { .. } => (over || final_report).then_some(lsn),
            Record::AttemptStarted { .. } | Record::AttemptFinished { .. } => {
                (!over && !final_report).then_some(accepted_lsn)
            }
            Record::FinalReportDue { .. } if accepted_lsn == 0 => Some(lsn),
            Record::FinalReportDue { .. } => (!over && !final_report).then_some(accepted_lsn),
            Record::Completed { .. } if accepted_lsn == 0 => Some(lsn),
            Record::Completed { .. } => (!over).then_some(accepted_lsn),
        };
        accepted_lsn.map(|accepted_lsn| (accepted_lsn, slot, here.map(|w| w.first)))
    }

    /// Appends whole frames to the head; tells which segment that is. After an error none of them is there.
    pub(crate) fn put(&mut self, bytes: &[u8], frames: u32, taken: u32) -> io::Result<u32> {
        let Some(head) = &mut self.head else {
            return Err(io::ErrorKind::NotFound.into());
        };
        if let Err(e) = self.storage.append(&head.name, bytes) {
            head.torn = self.storage.truncate(&head.name, head.len).is_err();
            return Err(e);
        }
        head.len += bytes.len() as u64;
        head.frames += frames;
        head.taken += taken;
        head.unhashed.extend_from_slice(bytes);
        if head.unhashed.len() >= HASH_CHUNK_BYTES {
            head.hasher.update(&head.unhashed);
            head.unhashed.clear();
        }
        Ok(head.sequence)
    }

    /// A head with room for so many bytes, and nothing torn at its end.
    pub(crate) fn ready_head(&mut self, now: u64, bytes: u64) -> io::Result<Salt> {
        if let Some(head) = self.head.as_mut().filter(|h| h.torn) {
            head.torn = self.storage.truncate(&head.name, head.len).is_err();
        }
        let fits =
            |h: &HeadSegment| !h.torn && (h.frames == 0 || h.len + bytes <= self.segment_size);
        if !self.head.as_ref().is_some_and(fits) {
            self.roll(now)?;
        }
        self.head
            .as_ref()
            .map(|h| h.salt)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Seals the head and begins another. After an error the old one goes on.
    pub(crate) fn roll(&mut self, now: u64) -> io::Result<()> {
        self.roll_with(now, |_, _| Vec::new())
    }

    /// As [`Journal::roll`], with frames in the new segment before it is listed; these are told their salt and the
    /// first log number.
    pub(crate) fn roll_with(
        &mut self,
        now: u64,
        first: impl FnOnce(Salt, &mut u64) -> Vec<u8>,
    ) -> io::Result<()> {
        let sequence = self.next_sequence;
        // Not used again even if this fails: the file may be there.
        self.next_sequence += 1;
        let last = self.sealed.values().next_back();
        let before = match &self.head {
            Some(head) => head.seal().chain,
            None => last
                .and_then(|s| s.listed.seal)
                .map_or(Mac::default(), |s| s.chain),
        };
        let base = self.next_lsn - 1;
        let header = Header {
            sequence,
            epoch: self.epoch + 1,
            base,
            created: now,
            before,
        };
        let (name, salt) = (segment::name(sequence), Salt::new(&self.key, sequence));
        let mut bytes = header.write(&self.key);
        let mut lsn = self.next_lsn;
        let frames = first(salt, &mut lsn);
        bytes.extend_from_slice(&frames);
        let result = self.storage.append(&name, &bytes).and_then(|()| {
            let old = self.head.as_ref().map(|h| ManifestEntry {
                seal: Some(h.seal()),
                ..h.listed()
            });
            self.write_manifest(
                old,
                Some(ManifestEntry {
                    sequence,
                    base,
                    before,
                    seal: None,
                }),
                None,
            )
        });
        if let Err(e) = result {
            // If it can't be removed either, it is an unlisted file without frames: the next start removes it.
            let _ = self.storage.remove(&name);
            return Err(e);
        }
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&before);
        hasher.update(&frames);
        let head = HeadSegment {
            sequence,
            name,
            salt,
            base,
            before,
            len: bytes.len() as u64,
            frames: (lsn - self.next_lsn) as u32,
            taken: 0,
            hasher,
            unhashed: Vec::new(),
            torn: false,
        };
        self.next_lsn = lsn;
        if let Some(old) = self.head.replace(head) {
            let listed = ManifestEntry {
                seal: Some(old.seal()),
                ..old.listed()
            };
            let sealed = SealedSegment {
                name: old.name,
                salt: old.salt,
                listed,
                len: old.len,
                damaged: false,
            };
            self.sealed.insert(listed.sequence, sealed);
        }
        Ok(())
    }

    /// The one step by which the set of segments changes: the head sealed as `old`, `new` listed, `removed` no more.
    pub(crate) fn write_manifest(
        &mut self,
        old: Option<ManifestEntry>,
        new: Option<ManifestEntry>,
        removed: Option<u32>,
    ) -> io::Result<()> {
        let head = match (old, new) {
            (None, None) => self.head.as_ref().map(HeadSegment::listed),
            (old, new) => old
                .into_iter()
                .chain(new)
                .next_back()
                .filter(|_| new.is_some()),
        };
        let mut segments: Vec<ManifestEntry> = self.missing.clone();
        segments.extend(
            self.sealed
                .values()
                .map(|s| s.listed)
                .filter(|l| Some(l.sequence) != removed),
        );
        segments.extend(old);
        segments.extend(head);
        segments.sort_by_key(|l| l.sequence);
        let manifest = Manifest {
            epoch: self.epoch + 1,
            next_sequence: self.next_sequence,
            next_lsn: self.next_lsn,
            segments,
        };
        // What an earlier try left would be appended to, and the two together be no manifest.
        if self.next_left {
            self.storage.remove(manifest::NEXT)?;
            self.next_left = false;
        }
        let bytes = manifest.write(&self.key);
        let result = self
            .storage
            .append(manifest::NEXT, &bytes)
            .and_then(|()| self.storage.rename(manifest::NEXT, manifest::NAME));
        match result {
            Ok(()) => self.epoch += 1,
            Err(_) => self.next_left = self.storage.remove(manifest::NEXT).is_err(),
        }
        result
    }
}

fn size_of_record(record: &Record) -> u64 {
    let more = match record {
        Record::Accepted {
            key,
            ordering_key,
            body,
            ..
        } => {
            key.as_ref().map_or(0, String::len)
                + ordering_key.as_ref().map_or(0, String::len)
                + body.len()
        }
        Record::FinalReportDue { ordering_key, .. } => ordering_key.as_ref().map_or(0, String::len),
        Record::AttemptStarted { endpoint, .. } => endpoint.len(),
        _ => 0,
    };
    (record.id().len() + more) as u64
}

fn write_record(lsn: u64, accepted_lsn: u64, id: &PackedId, record: &Record, into: &mut Vec<u8>) {
    let id = Bytes::new(id.packed());
    let fact = match record {
        Record::Accepted {
            class,
            tenant,
            destination,
            key,
            ordering_key,
            deadline,
            at,
            body,
            ..
        } => {
            let (key, ordering_key) = (
                key.as_deref().map(PackedId::new),
                ordering_key.as_deref().map(PackedId::new),
            );
            let (uncompressed_len, body) = pack(body);
            let taken = AcceptedMessage {
                id,
                accepted_lsn: if accepted_lsn == lsn { 0 } else { accepted_lsn },
                class: *class as u32,
                tenant: *tenant as u32,
                destination: *destination,
                key: key.as_ref().map(|k| Bytes::new(k.packed())),
                deadline: deadline / NANOS_PER_MS,
                lifetime_ms: u32::try_from(deadline.saturating_sub(*at) / NANOS_PER_MS)
                    .unwrap_or(u32::MAX),
                uncompressed_len,
                body: Bytes::new(&body),
            };
            let fact = match &ordering_key {
                Some(key) => JournalRecord::AcceptedInOrder {
                    taken,
                    ordering_key: Bytes::new(key.packed()),
                },
                None => JournalRecord::Accepted(taken),
            };
            return fact::write(lsn, &fact, into);
        }
        Record::AttemptStarted {
            attempt,
            endpoint,
            at,
            ..
        } => JournalRecord::AttemptStarted {
            id,
            accepted_lsn,
            attempt: *attempt,
            endpoint,
            at: at / NANOS_PER_MS,
        },
        Record::AttemptFinished {
            attempt,
            not_executed,
            ..
        } => JournalRecord::AttemptFinished {
            id,
            accepted_lsn,
            attempt: *attempt,
            not_executed: *not_executed,
        },
        Record::FinalReportDue {
            final_report,
            ordering_key,
            ..
        } => {
            let after = match final_report {
                FinalReport::Returned { after_ms } => Some(*after_ms),
                FinalReport::Failed => None,
            };
            let Some(key) = ordering_key.as_deref().map(PackedId::new) else {
                return fact::write(
                    lsn,
                    &JournalRecord::FinalReportDue {
                        id,
                        accepted_lsn,
                        after,
                    },
                    into,
                );
            };
            let ordering_key = Bytes::new(key.packed());
            return fact::write(
                lsn,
                &JournalRecord::FinalReportDueInOrder {
                    id,
                    accepted_lsn,
                    after,
                    ordering_key,
                },
                into,
            );
        }
        Record::Completed { until, .. } => JournalRecord::Completed {
            id,
            accepted_lsn,
            until: until / NANOS_PER_MS,
        },
    };
    fact::write(lsn, &fact, into);
}
