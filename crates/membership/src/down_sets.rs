//! Sets of down members that votes name. A set is identified by the hash of its sorted members, and is sent in pages.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::digest::ShortHash;

/// Members of one set: all that may be known.
pub const MAX_DOWN: usize = 4096;
/// Sets that are stored. Bounds memory; a vote for a set that isn't stored counts against nobody.
pub const MAX_SETS: usize = 256;
/// Members of all stored sets together. Bounds memory: half a megabyte of hashes.
const MAX_SET_ENTRIES: usize = 65_536;
/// Incomplete sets, of which further pages are awaited. Bounds memory; more than the sets that are requested in one period.
const MAX_PARTIAL_SETS: usize = 4;

/// A page of a set as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetPage {
    /// The hash of the set.
    pub set: ShortHash,
    /// Members of the whole set.
    pub total: u32,
    /// The index of the page's first member in the sorted set.
    pub offset: u32,
    /// The hashes of the page's members.
    pub members: Vec<ShortHash>,
}

#[derive(Clone, Debug)]
struct PartialSet {
    total: u32,
    /// The first members of the sorted set.
    members: Vec<ShortHash>,
}

/// Sets of down members, by their hashes.
#[derive(Clone, Debug, Default)]
pub struct DownSets {
    complete: BTreeMap<ShortHash, BTreeSet<ShortHash>>,
    partial: BTreeMap<ShortHash, PartialSet>,
}

impl DownSets {
    /// The hash that identifies a set.
    pub fn hash_of(members: &BTreeSet<ShortHash>) -> ShortHash {
        let parts: Vec<&[u8]> = members.iter().map(ShortHash::as_bytes).collect();
        ShortHash::of(&parts)
    }

    /// Stores a set and returns its hash; `None` if a bound is reached.
    pub fn insert(&mut self, members: BTreeSet<ShortHash>) -> Option<ShortHash> {
        let set = DownSets::hash_of(&members);
        if !self.complete.contains_key(&set) && !self.has_room_for(members.len()) {
            return None;
        }
        self.partial.remove(&set);
        self.complete.entry(set).or_insert(members);
        Some(set)
    }

    fn has_room_for(&self, members: usize) -> bool {
        let stored: usize = self.complete.values().map(BTreeSet::len).sum();
        self.complete.len() < MAX_SETS && members <= MAX_DOWN && stored + members <= MAX_SET_ENTRIES
    }

    /// The members of a complete set.
    pub fn get(&self, set: ShortHash) -> Option<&BTreeSet<ShortHash>> {
        self.complete.get(&set)
    }

    /// A page of a complete set: at most `max_members` from `offset` on.
    pub fn page(&self, set: ShortHash, offset: u32, max_members: usize) -> Option<SetPage> {
        let members = self.complete.get(&set)?;
        let page = members.iter().skip(offset as usize).take(max_members);
        Some(SetPage {
            set,
            total: members.len() as u32,
            offset,
            members: page.copied().collect(),
        })
    }

    /// The offset of the next page to request; `None` if the set is complete.
    pub fn next_offset(&self, set: ShortHash) -> Option<u32> {
        if self.complete.contains_key(&set) {
            return None;
        }
        let partial = self.partial.get(&set);
        Some(partial.map_or(0, |partial| partial.members.len() as u32))
    }

    /// Adds the next page of an incomplete set. True once the set is complete and its hash is right; a page that doesn't fit is
    /// ignored.
    pub fn add_page(&mut self, page: &SetPage) -> bool {
        if !self.accepts(page) {
            return false;
        }
        let partial = self.partial.entry(page.set).or_insert(PartialSet {
            total: page.total,
            members: Vec::new(),
        });
        let continues = partial.members.len() == page.offset as usize;
        if partial.total != page.total || !continues || page.members.is_empty() {
            return false;
        }
        partial.members.extend_from_slice(&page.members);
        if partial.members.len() < page.total as usize {
            return false;
        }
        let members: BTreeSet<ShortHash> = partial.members.drain(..).collect();
        self.partial.remove(&page.set);
        DownSets::hash_of(&members) == page.set && self.insert(members).is_some()
    }

    fn accepts(&self, page: &SetPage) -> bool {
        let is_known = self.partial.contains_key(&page.set);
        let may_begin = page.offset == 0 && self.partial.len() < MAX_PARTIAL_SETS;
        !self.complete.contains_key(&page.set)
            && page.total as usize <= MAX_DOWN
            && (is_known || may_begin)
    }

    /// Removes the sets that no vote names any more.
    pub fn retain(&mut self, is_named: impl Fn(ShortHash) -> bool) {
        self.complete.retain(|set, _| is_named(*set));
        self.partial.retain(|set, _| is_named(*set));
    }
}
