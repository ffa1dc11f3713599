//! Hash tables from ids to slots.

use ahash::RandomState;
use hashbrown::HashTable;

use super::slab::Slab;
use crate::format::key::Key;
use crate::format::packed_id::PackedId;

/// Number of hash tables. Each grows on its own, so that no single insertion has to rehash all ids.
const TABLES: usize = 64;

/// Maps ids to slots. The tables store slots only; ids are compared with those of the entries.
#[derive(Debug)]
pub(super) struct Lookup {
    hasher: RandomState,
    tables: Vec<HashTable<u32>>,
}

impl Lookup {
    /// An empty lookup whose hashes are seeded with the folder's key, since clients choose ids and could otherwise
    /// cause collisions.
    pub(super) fn new(key: &Key) -> Lookup {
        let seed = |n: usize| u64::from_le_bytes(std::array::from_fn(|i| key[n * 8 + i]));
        Lookup {
            hasher: RandomState::with_seeds(seed(0), seed(1), seed(2), seed(3)),
            tables: vec![HashTable::new(); TABLES],
        }
    }

    pub(super) fn hash(&self, id: &PackedId) -> u64 {
        self.hasher.hash_one(id)
    }

    /// The slot of an id; `hash` is the hash of the id.
    pub(super) fn find(&self, id: &PackedId, hash: u64, entries: &Slab) -> Option<u32> {
        let is_same = |&slot: &u32| entries.get(slot).is_some_and(|entry| entry.id == *id);
        self.tables[table_of(hash)].find(hash, is_same).copied()
    }

    /// Adds a slot; `hash` is the hash of its entry's id.
    pub(super) fn insert(&mut self, slot: u32, hash: u64, entries: &Slab) {
        let hasher = &self.hasher;
        self.tables[table_of(hash)]
            .insert_unique(hash, slot, |&slot| hash_of(slot, entries, hasher));
    }

    /// Removes a slot; `hash` is the hash of its entry's id.
    pub(super) fn remove(&mut self, slot: u32, hash: u64) {
        let table = &mut self.tables[table_of(hash)];
        if let Ok(occupied) = table.find_entry(hash, |&other| other == slot) {
            occupied.remove();
        }
    }

    /// Reserves memory for this many ids.
    pub(super) fn reserve(&mut self, ids: usize, entries: &Slab) {
        let hasher = &self.hasher;
        for table in &mut self.tables {
            table.reserve(ids / TABLES + 1, |&slot| hash_of(slot, entries, hasher));
        }
    }
}

fn hash_of(slot: u32, entries: &Slab, hasher: &RandomState) -> u64 {
    entries
        .get(slot)
        .map_or(0, |entry| hasher.hash_one(&entry.id))
}

/// The table for a hash, chosen by bits in the middle, since the tables themselves use those at either end.
fn table_of(hash: u64) -> usize {
    (hash >> 32) as usize % TABLES
}
