//! What is live, and where: the join of all facts, by message. Pure: it reads and writes nothing.

use std::collections::{BTreeMap, BTreeSet};

use ahash::RandomState;
use hashbrown::HashTable;
use smallvec::SmallVec;

use crate::fact::RecordKind;
use crate::frame::HEADER_BYTES;
use crate::id::PackedId;
use crate::key::Key;

/// Facts that an open message may still need room for: six attempts with their ends, its closing and its end.
const MAX_RECORDS_PER_MESSAGE: u64 = 14;
/// Bytes of such a fact besides the id.
const MAX_RECORD_BYTES: u64 = (HEADER_BYTES + 56) as u64;

/// Tables of slots by id: each grows by itself, so that no single step has to move all of them.
const TABLES: usize = 64;
/// Entries are held in blocks of so many, for the same reason.
const BLOCK_ENTRIES: usize = 1024;

/// A frame on disk: in which segment, and how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredFrame {
    pub sequence: u32,
    pub len: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// Held; without a [`RecordKind::Accepted`] among these its own record is gone.
    Open(SmallVec<[(RecordKind, StoredFrame); 2]>),
    FinalReportDue(StoredFrame),
    Completed {
        until: u64,
        place: StoredFrame,
        /// Kept only because older facts of it are still on disk; its frame no longer counts as live bytes, so
        /// that a segment with nothing else in it goes.
        expired: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: PackedId,
    pub accepted_lsn: u64,
    pub state: EntryState,
    /// Frames about this id on disk, live or dead, but for ends. While there are any, its end must stay.
    copies: u32,
}

/// Entries by slot, in blocks; slots that are free are used again.
#[derive(Debug, Default)]
struct Slab {
    blocks: Vec<Vec<Option<Entry>>>,
    free: Vec<u32>,
}

impl Slab {
    fn get(&self, slot: u32) -> Option<&Entry> {
        self.blocks
            .get(slot as usize / BLOCK_ENTRIES)?
            .get(slot as usize % BLOCK_ENTRIES)?
            .as_ref()
    }

    fn get_mut(&mut self, slot: u32) -> Option<&mut Entry> {
        self.blocks
            .get_mut(slot as usize / BLOCK_ENTRIES)?
            .get_mut(slot as usize % BLOCK_ENTRIES)?
            .as_mut()
    }

    fn insert(&mut self, entry: Entry) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.blocks[slot as usize / BLOCK_ENTRIES][slot as usize % BLOCK_ENTRIES] = Some(entry);
            return slot;
        }
        if self.blocks.last().is_none_or(|b| b.len() == BLOCK_ENTRIES) {
            self.blocks.push(Vec::with_capacity(BLOCK_ENTRIES));
        }
        let last = self.blocks.len() - 1;
        self.blocks[last].push(Some(entry));
        (last * BLOCK_ENTRIES + self.blocks[last].len() - 1) as u32
    }

    fn remove(&mut self, slot: u32) {
        if self.blocks[slot as usize / BLOCK_ENTRIES][slot as usize % BLOCK_ENTRIES]
            .take()
            .is_some()
        {
            self.free.push(slot);
        }
    }

    fn iter(&self) -> impl Iterator<Item = (u32, &Entry)> {
        self.blocks
            .iter()
            .flatten()
            .enumerate()
            .filter_map(|(slot, e)| Some((slot as u32, e.as_ref()?)))
    }
}

/// What a fact did to the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joined {
    /// It is news.
    New,
    /// The first of a new life of its id; what was known of the older one no longer counts.
    NewIncarnation,
    /// Known already, or of something that is past.
    Dead,
}

/// The state by message, with live bytes by segment.
#[derive(Debug)]
pub struct Index {
    hasher: RandomState,
    /// Slots by the hash of their entries' ids.
    tables: Vec<HashTable<u32>>,
    entries: Slab,
    known: u64,
    live: BTreeMap<u32, u64>,
    /// Ends by when they may be forgotten.
    expiring: BTreeSet<(u64, u32)>,
    open: u64,
    final_report: u64,
    reserved_bytes: u64,
}

impl Index {
    /// Ids come from outside: their hashes depend on the folder's key.
    pub fn new(key: &Key) -> Index {
        let field = |n: usize| u64::from_le_bytes(std::array::from_fn(|i| key[n * 8 + i]));
        Index {
            hasher: RandomState::with_seeds(field(0), field(1), field(2), field(3)),
            tables: vec![HashTable::new(); TABLES],
            entries: Slab::default(),
            known: 0,
            live: BTreeMap::new(),
            expiring: BTreeSet::new(),
            open: 0,
            final_report: 0,
            reserved_bytes: 0,
        }
    }

    pub fn slot(&self, id: &PackedId) -> Option<u32> {
        self.find(id, self.hasher.hash_one(id))
    }

    fn find(&self, id: &PackedId, hash: u64) -> Option<u32> {
        let same = |&slot: &u32| self.entry(slot).is_some_and(|e| e.id == *id);
        self.tables[table_of(hash)].find(hash, same).copied()
    }

    /// Makes room for so many ids, before any is known.
    pub fn reserve(&mut self, ids: usize) {
        let (entries, hasher) = (&self.entries, &self.hasher);
        for table in &mut self.tables {
            table.reserve(ids / TABLES + 1, |&slot| {
                entries.get(slot).map_or(0, |e| hasher.hash_one(&e.id))
            });
        }
    }

    pub fn entry(&self, slot: u32) -> Option<&Entry> {
        self.entries.get(slot)
    }

    /// The slot of an id, made if there is none.
    fn slot_for(&mut self, id: &PackedId) -> u32 {
        let hash = self.hasher.hash_one(id);
        if let Some(slot) = self.find(id, hash) {
            return slot;
        }
        let entry = Entry {
            id: id.clone(),
            accepted_lsn: 0,
            state: EntryState::Open(SmallVec::new()),
            copies: 0,
        };
        let slot = self.entries.insert(entry);
        let (hasher, entries) = (&self.hasher, &self.entries);
        let again = |&slot: &u32| entries.get(slot).map_or(0, |e| hasher.hash_one(&e.id));
        self.tables[table_of(hash)].insert_unique(hash, slot, again);
        self.known += 1;
        self.open += 1;
        self.reserved_bytes += reservation_for(id);
        slot
    }

    pub fn get(&self, id: &PackedId) -> Option<&Entry> {
        self.entry(self.slot(id)?)
    }

    /// Messages open, closing and remembered.
    pub fn counts(&self) -> (u64, u64, u64) {
        (
            self.open,
            self.final_report,
            self.known - self.open - self.final_report,
        )
    }

    /// Room that must stay free, so that what is owed can be written to its end.
    pub fn reserved_room(&self) -> u64 {
        self.reserved_bytes
    }

    /// Bytes of live frames in a segment.
    pub fn live(&self, sequence: u32) -> u64 {
        self.live.get(&sequence).copied().unwrap_or(0)
    }

    /// Entries with their slots, in no order that means anything.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Entry)> {
        self.entries.iter()
    }

    /// Takes in a fact that stands at `place`, and tells its message's slot. `until` matters for ends only.
    pub fn join(
        &mut self,
        id: &PackedId,
        accepted_lsn: u64,
        tag: RecordKind,
        until: u64,
        place: StoredFrame,
    ) -> (u32, Joined) {
        let slot = self.slot_for(id);
        (slot, self.join_at(slot, accepted_lsn, tag, until, place))
    }

    /// As [`Index::join`], for a slot that is known.
    pub fn join_at(
        &mut self,
        slot: u32,
        accepted_lsn: u64,
        tag: RecordKind,
        until: u64,
        place: StoredFrame,
    ) -> Joined {
        let Some(entry) = self.entries.get_mut(slot) else {
            return Joined::Dead;
        };
        if tag != RecordKind::Completed {
            entry.copies += 1;
        }
        if accepted_lsn < entry.accepted_lsn {
            return Joined::Dead;
        }
        let new_incarnation = accepted_lsn > entry.accepted_lsn && entry.accepted_lsn > 0;
        let reserved_bytes = reservation_for(&entry.id);
        if new_incarnation {
            self.leave(slot);
            self.open += 1;
            self.reserved_bytes += reserved_bytes;
        }
        let Some(entry) = self.entries.get_mut(slot) else {
            return Joined::Dead;
        };
        entry.accepted_lsn = accepted_lsn;
        match (&mut entry.state, tag) {
            (EntryState::Completed { .. }, _)
            | (
                EntryState::FinalReportDue(_),
                RecordKind::Accepted
                | RecordKind::AttemptStarted(_)
                | RecordKind::AttemptFinished(_)
                | RecordKind::FinalReportDue,
            ) => {
                return Joined::Dead;
            }
            (
                EntryState::Open(places),
                RecordKind::Accepted
                | RecordKind::AttemptStarted(_)
                | RecordKind::AttemptFinished(_),
            ) => {
                if places.iter().any(|(t, _)| *t == tag) {
                    return Joined::Dead;
                }
                places.push((tag, place));
            }
            (_, RecordKind::FinalReportDue | RecordKind::Completed) => {
                self.leave(slot);
                let state = match tag {
                    RecordKind::FinalReportDue => {
                        self.final_report += 1;
                        EntryState::FinalReportDue(place)
                    }
                    _ => {
                        self.expiring.insert((until, slot));
                        EntryState::Completed {
                            until,
                            place,
                            expired: false,
                        }
                    }
                };
                if let Some(entry) = self.entries.get_mut(slot) {
                    entry.state = state;
                }
            }
            (_, RecordKind::PossiblyExecuted) => return Joined::Dead,
        }
        *self.live.entry(place.sequence).or_default() += u64::from(place.len);
        if new_incarnation {
            Joined::NewIncarnation
        } else {
            Joined::New
        }
    }

    /// What the entry was is past: its frames are dead. Leaves it open, without facts and uncounted.
    fn leave(&mut self, slot: u32) {
        let Some(entry) = self.entries.get_mut(slot) else {
            return;
        };
        match std::mem::replace(&mut entry.state, EntryState::Open(SmallVec::new())) {
            EntryState::Open(places) => {
                self.open -= 1;
                self.reserved_bytes -= reservation_for(&entry.id);
                for (_, place) in places {
                    drop_live(&mut self.live, place);
                }
            }
            EntryState::FinalReportDue(place) => {
                self.final_report -= 1;
                drop_live(&mut self.live, place);
            }
            EntryState::Completed {
                until,
                place,
                expired,
            } => {
                self.expiring.remove(&(until, slot));
                if !expired {
                    drop_live(&mut self.live, place);
                }
            }
        }
    }

    /// Whether the frame of this fact in this segment is the one that counts.
    pub fn is_live(&self, slot: u32, accepted_lsn: u64, tag: RecordKind, sequence: u32) -> bool {
        let Some(entry) = self.entry(slot).filter(|e| e.accepted_lsn == accepted_lsn) else {
            return false;
        };
        let there = |place: &StoredFrame| place.sequence == sequence;
        match (&entry.state, tag) {
            (EntryState::Open(places), _) => places.iter().any(|(t, p)| *t == tag && there(p)),
            (EntryState::FinalReportDue(place), RecordKind::FinalReportDue) => there(place),
            (EntryState::Completed { place, expired, .. }, RecordKind::Completed) => {
                there(place) && !(*expired && entry.copies == 0)
            }
            _ => false,
        }
    }

    /// A live frame has been written again at `to`.
    pub fn moved(&mut self, slot: u32, tag: RecordKind, from: u32, to: StoredFrame) {
        let Some(entry) = self.entries.get_mut(slot) else {
            return;
        };
        if tag != RecordKind::Completed {
            entry.copies += 1;
        }
        let place = match &mut entry.state {
            EntryState::Open(places) => places
                .iter_mut()
                .find(|(t, p)| *t == tag && p.sequence == from)
                .map(|(_, p)| p),
            EntryState::FinalReportDue(place) => Some(place),
            EntryState::Completed {
                place,
                expired: true,
                ..
            } => {
                *place = to;
                None
            }
            EntryState::Completed { place, .. } => Some(place),
        };
        let Some(place) = place else { return };
        drop_live(&mut self.live, *place);
        *place = to;
        *self.live.entry(to.sequence).or_default() += u64::from(to.len);
    }

    /// A segment's file has gone, and with it one frame of each of these.
    pub fn removed(&mut self, sequence: u32, slots: &[u32]) {
        debug_assert_eq!(
            self.live(sequence),
            0,
            "live frames in a segment that was removed"
        );
        self.live.remove(&sequence);
        for &slot in slots {
            if let Some(entry) = self.entries.get_mut(slot) {
                entry.copies = entry.copies.saturating_sub(1);
            }
            self.forget(slot);
        }
    }

    /// Forgets ends that are due, a bounded number at a time; those with facts on disk stay until these have gone.
    pub fn expire(&mut self, now: u64, most: usize) {
        for _ in 0..most {
            let Some(&(until, slot)) = self.expiring.first().filter(|(until, _)| *until <= now)
            else {
                return;
            };
            self.expiring.remove(&(until, slot));
            if let Some(Entry {
                state: EntryState::Completed { expired, place, .. },
                ..
            }) = self.entries.get_mut(slot)
            {
                *expired = true;
                drop_live(&mut self.live, *place);
            }
            self.forget(slot);
        }
    }

    pub fn has_expired(&self, now: u64) -> bool {
        self.expiring
            .first()
            .is_some_and(|(until, _)| *until <= now)
    }

    fn forget(&mut self, slot: u32) {
        let Some(entry) = self.entry(slot) else {
            return;
        };
        let EntryState::Completed { expired: true, .. } = entry.state else {
            return;
        };
        if entry.copies > 0 {
            return;
        }
        let hash = self.hasher.hash_one(&entry.id);
        if let Ok(found) = self.tables[table_of(hash)].find_entry(hash, |&other| other == slot) {
            found.remove();
        }
        self.entries.remove(slot);
        self.known -= 1;
    }

    /// Counts live bytes that are no message's.
    pub fn add_live(&mut self, place: StoredFrame) {
        *self.live.entry(place.sequence).or_default() += u64::from(place.len);
    }

    pub fn drop_live(&mut self, place: StoredFrame) {
        drop_live(&mut self.live, place);
    }
}

/// By bits in the middle of the hash: the table itself goes by those at either end.
fn table_of(hash: u64) -> usize {
    (hash >> 32) as usize % TABLES
}

fn drop_live(live: &mut BTreeMap<u32, u64>, place: StoredFrame) {
    if let Some(bytes) = live.get_mut(&place.sequence) {
        *bytes = bytes.saturating_sub(u64::from(place.len));
    }
}

fn reservation_for(id: &PackedId) -> u64 {
    MAX_RECORDS_PER_MESSAGE * (MAX_RECORD_BYTES + id.packed().len() as u64)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn place(sequence: u32) -> StoredFrame {
        StoredFrame { sequence, len: 100 }
    }

    fn facts() -> [(RecordKind, u32); 5] {
        [
            (RecordKind::Accepted, 1),
            (RecordKind::AttemptStarted(0), 2),
            (RecordKind::AttemptFinished(0), 3),
            (RecordKind::FinalReportDue, 4),
            (RecordKind::Completed, 5),
        ]
    }

    /// Compaction changes the order of facts and may leave one twice: neither must matter.
    #[test]
    fn any_order_of_facts_and_any_repeat_give_the_same_state() {
        let id = PackedId::new("aa");
        // All orders of five facts.
        for n in 0..120usize {
            let (mut left, mut order, mut rest) = (facts().to_vec(), Vec::new(), n);
            for of in (1..=5).rev() {
                order.push(left.remove(rest % of));
                rest /= of;
            }
            for many in 1..=5 {
                let mut index = Index::new(&[1; 32]);
                let mut expected = 0;
                for &(tag, sequence) in order[..many].iter().chain(&order[..many]) {
                    index.join(&id, 7, tag, 50, place(sequence));
                    expected = expected.max(match tag {
                        RecordKind::Completed => 2,
                        RecordKind::FinalReportDue => 1,
                        _ => 0,
                    });
                }
                let state = &index.get(&id).expect("an entry").state;
                let found = match state {
                    EntryState::Open(places) => {
                        assert_eq!(places.len(), many);
                        0
                    }
                    EntryState::FinalReportDue(place) => {
                        assert_eq!(place.sequence, 4);
                        1
                    }
                    EntryState::Completed { place, .. } => {
                        assert_eq!(place.sequence, 5);
                        2
                    }
                };
                assert_eq!(found, expected, "{order:?} of {many}");
                let live: u64 = (1..=5).map(|s| index.live(s)).sum();
                assert_eq!(live, if found == 0 { many as u64 * 100 } else { 100 });
            }
        }
    }

    /// An end that goes before the facts that it ends would bring the message back to life.
    #[test]
    fn a_completed_record_outlasts_the_other_records_of_its_message() {
        let id = PackedId::new("aa");
        let mut index = Index::new(&[1; 32]);
        let slot = index.join(&id, 7, RecordKind::Accepted, 0, place(1)).0;
        index.join(&id, 7, RecordKind::AttemptStarted(0), 0, place(2));
        index.join(&id, 7, RecordKind::Completed, 50, place(3));
        index.removed(1, &[slot]);
        index.expire(60, 10);
        assert!(
            index.is_live(slot, 7, RecordKind::Completed, 3),
            "the attempt's record is still there"
        );
        index.moved(slot, RecordKind::Completed, 3, place(4));
        index.removed(2, &[slot]);
        assert!(index.get(&id).is_none() && index.live(4) == 0);
        // The other way round: the facts go first, then the time is out.
        let slot = index.join(&id, 9, RecordKind::Accepted, 0, place(5)).0;
        index.join(&id, 9, RecordKind::Completed, 80, place(6));
        index.removed(5, &[slot]);
        index.expire(79, 10);
        assert!(index.is_live(slot, 9, RecordKind::Completed, 6));
        index.expire(80, 10);
        assert!(
            index.get(&id).is_none() && index.counts() == (0, 0, 0) && index.reserved_room() == 0
        );
    }

    #[test]
    fn a_reused_id_is_a_new_message() {
        let id = PackedId::new("aa");
        let mut index = Index::new(&[1; 32]);
        index.join(&id, 7, RecordKind::Accepted, 0, place(1));
        let slot = index.join(&id, 7, RecordKind::Completed, 50, place(1)).0;
        assert_eq!(
            index.join(&id, 20, RecordKind::Accepted, 0, place(2)),
            (slot, Joined::NewIncarnation)
        );
        assert_eq!(
            index.join(&id, 7, RecordKind::Completed, 50, place(3)).1,
            Joined::Dead
        );
        assert_eq!(
            index
                .join(&id, 7, RecordKind::AttemptStarted(0), 0, place(3))
                .1,
            Joined::Dead
        );
        assert_eq!(
            (index.counts(), index.live(1), index.live(2)),
            ((1, 0, 0), 0, 100)
        );
    }
}
