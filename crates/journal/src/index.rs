//! The index: the join of all records, by message. It tracks which records are live and in which segment, without I/O.

mod accounting;
mod entry;
mod lookup;
mod slab;

use std::collections::BTreeSet;

use smallvec::SmallVec;

use self::accounting::{LiveBytes, Totals};
use self::lookup::Lookup;
use self::slab::Slab;
use crate::format::key::Key;
use crate::format::packed_id::PackedId;
use crate::format::record::RecordKind;

pub use self::accounting::MessageCounts;
pub(crate) use self::entry::{Entry, EntryState, StoredFrame};

/// The effect of joining a record to the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Joined {
    /// The record is live.
    New,
    /// The record is live and the first of a new incarnation of its id; the records of the older incarnation are dead.
    NewIncarnation,
    /// The record is a copy of a known one, or superseded.
    Dead,
}

/// A record to join to the index.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordEntry {
    /// Log number of its message's acceptance.
    pub(crate) accepted_lsn: u64,
    pub(crate) kind: RecordKind,
    /// For a completion: Unix time in milliseconds until which the id is retained. 0 for other kinds.
    pub(crate) remember_until_ms: u64,
    /// The record's frame on disk.
    pub(crate) frame: StoredFrame,
}

/// The state of every known message, and the live bytes of every segment.
#[derive(Debug)]
pub(crate) struct Index {
    lookup: Lookup,
    entries: Slab,
    totals: Totals,
    live: LiveBytes,
    /// Completed messages that have not expired: the Unix time in milliseconds at which they do, and their slot.
    expiring: BTreeSet<(u64, u32)>,
}

impl Index {
    /// An empty index; ids are hashed under `key`.
    pub(crate) fn new(key: &Key) -> Index {
        Index {
            lookup: Lookup::new(key),
            entries: Slab::default(),
            totals: Totals::default(),
            live: LiveBytes::default(),
            expiring: BTreeSet::new(),
        }
    }

    /// Reserves memory for this many ids.
    pub(crate) fn reserve(&mut self, ids: usize) {
        self.lookup.reserve(ids, &self.entries);
    }

    /// The slot of an id, if it is known.
    pub(crate) fn slot(&self, id: &PackedId) -> Option<u32> {
        self.lookup.find(id, self.lookup.hash(id), &self.entries)
    }

    /// The entry in a slot, if the slot is in use.
    pub(crate) fn entry(&self, slot: u32) -> Option<&Entry> {
        self.entries.get(slot)
    }

    /// Number of messages in each state.
    pub(crate) fn counts(&self) -> MessageCounts {
        self.totals.counts()
    }

    /// Bytes that must stay free so that all further records of pending messages fit.
    pub(crate) fn reserved_bytes(&self) -> u64 {
        self.totals.reserved_bytes
    }

    /// Bytes of live frames in a segment.
    pub(crate) fn live_bytes(&self, sequence: u32) -> u64 {
        self.live.of(sequence)
    }

    /// The slot of an id; an unknown id gets a new entry.
    fn slot_or_insert(&mut self, id: &PackedId) -> u32 {
        let hash = self.lookup.hash(id);
        if let Some(slot) = self.lookup.find(id, hash, &self.entries) {
            return slot;
        }
        let slot = self.entries.insert(Entry::new(id.clone()));
        self.lookup.insert(slot, hash, &self.entries);
        self.totals.known += 1;
        self.totals.add_open(id);
        slot
    }

    /// Joins a record of message `id`; returns the message's slot and the effect.
    pub(crate) fn join(&mut self, id: &PackedId, record: RecordEntry) -> (u32, Joined) {
        let slot = self.slot_or_insert(id);
        (slot, self.join_at(slot, record))
    }

    /// Joins a record of the message in a slot.
    pub(crate) fn join_at(&mut self, slot: u32, record: RecordEntry) -> Joined {
        let Some(entry) = self.entries.get_mut(slot) else {
            return Joined::Dead;
        };
        if record.kind != RecordKind::Completed {
            entry.frames_on_disk += 1;
        }
        if record.accepted_lsn < entry.accepted_lsn {
            return Joined::Dead;
        }
        let new_incarnation = entry.accepted_lsn > 0 && record.accepted_lsn > entry.accepted_lsn;
        if new_incarnation {
            self.clear(slot);
            self.reopen(slot);
        }
        if !self.apply(slot, record) {
            return Joined::Dead;
        }
        self.live.add(record.frame);
        if new_incarnation {
            Joined::NewIncarnation
        } else {
            Joined::New
        }
    }

    /// Counts the entry as open, after [`Index::clear`].
    fn reopen(&mut self, slot: u32) {
        if let Some(entry) = self.entries.get(slot) {
            self.totals.add_open(&entry.id);
        }
    }

    /// Updates the entry's state with a record of its current incarnation; false if the record is dead.
    fn apply(&mut self, slot: u32, record: RecordEntry) -> bool {
        let Some(entry) = self.entries.get_mut(slot) else {
            return false;
        };
        entry.accepted_lsn = record.accepted_lsn;
        match (&mut entry.state, record.kind) {
            (EntryState::Completed { .. }, _)
            | (_, RecordKind::PossiblyExecuted)
            | (
                EntryState::FinalReportDue(_),
                RecordKind::Accepted
                | RecordKind::AttemptStarted(_)
                | RecordKind::AttemptFinished(_)
                | RecordKind::FinalReportDue,
            ) => false,
            (
                EntryState::Open(frames),
                kind @ (RecordKind::Accepted
                | RecordKind::AttemptStarted(_)
                | RecordKind::AttemptFinished(_)),
            ) => {
                let is_new = frames.iter().all(|(known, _)| *known != kind);
                if is_new {
                    frames.push((kind, record.frame));
                }
                is_new
            }
            (EntryState::Open(_), RecordKind::FinalReportDue) => {
                self.clear(slot);
                self.totals.final_report_due += 1;
                self.set_state(slot, EntryState::FinalReportDue(record.frame));
                true
            }
            (EntryState::Open(_) | EntryState::FinalReportDue(_), RecordKind::Completed) => {
                self.clear(slot);
                self.expiring.insert((record.remember_until_ms, slot));
                let state = EntryState::Completed {
                    remember_until_ms: record.remember_until_ms,
                    frame: record.frame,
                    expired: false,
                };
                self.set_state(slot, state);
                true
            }
        }
    }

    fn set_state(&mut self, slot: u32, state: EntryState) {
        if let Some(entry) = self.entries.get_mut(slot) {
            entry.state = state;
        }
    }

    /// Makes the entry's frames dead. The entry is then open, has no frames, and is counted in no total by state.
    fn clear(&mut self, slot: u32) {
        let Some(entry) = self.entries.get_mut(slot) else {
            return;
        };
        match std::mem::replace(&mut entry.state, EntryState::Open(SmallVec::new())) {
            EntryState::Open(frames) => {
                self.totals.remove_open(&entry.id);
                for (_, frame) in frames {
                    self.live.subtract(frame);
                }
            }
            EntryState::FinalReportDue(frame) => {
                self.totals.final_report_due -= 1;
                self.live.subtract(frame);
            }
            EntryState::Completed {
                remember_until_ms,
                frame,
                expired,
            } => {
                self.expiring.remove(&(remember_until_ms, slot));
                if !expired {
                    self.live.subtract(frame);
                }
            }
        }
    }

    /// Whether the copy of this record in segment `sequence` is the live one.
    pub(crate) fn is_live(
        &self,
        slot: u32,
        accepted_lsn: u64,
        kind: RecordKind,
        sequence: u32,
    ) -> bool {
        self.entry(slot).is_some_and(|entry| {
            entry.accepted_lsn == accepted_lsn && entry.is_live(kind, sequence)
        })
    }

    /// Replaces a live frame in segment `from` by its copy `to`.
    pub(crate) fn relocated(&mut self, slot: u32, kind: RecordKind, from: u32, to: StoredFrame) {
        let Some(entry) = self.entries.get_mut(slot) else {
            return;
        };
        if kind != RecordKind::Completed {
            entry.frames_on_disk += 1;
        }
        // The frame of an expired entry does not count as live bytes.
        let is_counted = !entry.is_expired();
        let Some(frame) = entry.live_frame_mut(kind, from) else {
            return;
        };
        let old = std::mem::replace(frame, to);
        if is_counted {
            self.live.subtract(old);
            self.live.add(to);
        }
    }

    /// Records the removal of a segment's file. `slots` has the slot of each of its frames, except for completions.
    pub(crate) fn segment_removed(&mut self, sequence: u32, slots: &[u32]) {
        debug_assert_eq!(
            self.live_bytes(sequence),
            0,
            "a removed segment has live frames"
        );
        self.live.remove_segment(sequence);
        for &slot in slots {
            if let Some(entry) = self.entries.get_mut(slot) {
                entry.frames_on_disk = entry.frames_on_disk.saturating_sub(1);
            }
            self.remove_if_unused(slot);
        }
    }

    /// Expires at most `max` completed messages that need not be retained at `now_ms` any more. Entries with other
    /// records on disk are kept until those have been removed.
    pub(crate) fn expire(&mut self, now_ms: u64, max: usize) {
        for _ in 0..max {
            if !self.has_expired(now_ms) {
                return;
            }
            let Some((_, slot)) = self.expiring.pop_first() else {
                return;
            };
            if let Some(Entry {
                state: EntryState::Completed { expired, frame, .. },
                ..
            }) = self.entries.get_mut(slot)
            {
                *expired = true;
                self.live.subtract(*frame);
            }
            self.remove_if_unused(slot);
        }
    }

    /// Whether [`Index::expire`] has something to do.
    pub(crate) fn has_expired(&self, now_ms: u64) -> bool {
        self.expiring
            .first()
            .is_some_and(|(until_ms, _)| *until_ms <= now_ms)
    }

    /// Removes an expired entry if no other record of its message is on disk.
    fn remove_if_unused(&mut self, slot: u32) {
        let Some(entry) = self.entries.get(slot) else {
            return;
        };
        if entry.is_expired() && entry.frames_on_disk == 0 {
            self.lookup.remove(slot, self.lookup.hash(&entry.id));
            self.entries.remove(slot);
            self.totals.known -= 1;
        }
    }

    /// Counts a live frame that belongs to no single message.
    pub(crate) fn add_live(&mut self, frame: StoredFrame) {
        self.live.add(frame);
    }

    /// Stops counting a frame that was counted by [`Index::add_live`] and is now dead.
    pub(crate) fn subtract_live(&mut self, frame: StoredFrame) {
        self.live.subtract(frame);
    }
}

#[cfg(test)]
mod tests;
