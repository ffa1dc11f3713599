//! The sets of down members that votes refer to. A set is identified by the hash of its sorted members, and is transferred in
//! pages.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::digest::ShortHash;

/// The maximum number of members in one set: the maximum number of known members.
pub const MAX_SET_MEMBERS: usize = 4096;
/// The maximum number of stored sets. Bounds memory; a vote for a set that isn't stored has no effect.
pub const MAX_SETS: usize = 256;
/// The maximum number of members in all stored sets together. Bounds memory: half a megabyte of hashes.
const MAX_SET_ENTRIES: usize = 65_536;
/// The maximum number of incomplete sets, of which some pages have arrived. Bounds memory; as many as the sets that are
/// requested in one period.
const MAX_PARTIAL_SETS: usize = 4;

/// A page of a set, as encoded in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetPage {
    /// The hash that identifies the set.
    pub set: ShortHash,
    /// The number of members in the whole set.
    pub total: u32,
    /// The index in the sorted set of the page's first member.
    pub offset: u32,
    /// The page's members by [`crate::digest::identity_hash`], in ascending order.
    pub members: Vec<ShortHash>,
}

#[derive(Clone, Debug)]
struct PartialSet {
    total: u32,
    /// The members received so far: the first ones of the sorted set.
    members: Vec<ShortHash>,
}

/// The stored sets of down members, by hash: complete ones, and those of which pages are missing.
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

    /// Stores a set and returns its hash. `None` if the set isn't stored yet and would exceed [`MAX_SET_MEMBERS`] members,
    /// [`MAX_SETS`] sets or the bound on the members of all sets.
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
        self.complete.len() < MAX_SETS
            && members <= MAX_SET_MEMBERS
            && stored + members <= MAX_SET_ENTRIES
    }

    /// The members of a set; `None` unless the set is complete.
    pub fn get(&self, set: ShortHash) -> Option<&BTreeSet<ShortHash>> {
        self.complete.get(&set)
    }

    /// A page of a set: at most `max_members` members from index `offset` on, none if `offset` is past the end. `None` unless the
    /// set is complete.
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

    /// The index of the first missing member, from which the next page is to be requested. `None` if the set is complete.
    pub fn next_offset(&self, set: ShortHash) -> Option<u32> {
        if self.complete.contains_key(&set) {
            return None;
        }
        let partial = self.partial.get(&set);
        Some(partial.map_or(0, |partial| partial.members.len() as u32))
    }

    /// Adds the next page of an incomplete set. True if the set is now complete and its hash correct. A page out of order, or with
    /// another total than the first page, is ignored.
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
            && page.total as usize <= MAX_SET_MEMBERS
            && (is_known || may_begin)
    }

    /// Removes the sets, complete or not, that no vote refers to.
    pub fn retain(&mut self, is_referenced: impl Fn(ShortHash) -> bool) {
        self.complete.retain(|set, _| is_referenced(*set));
        self.partial.retain(|set, _| is_referenced(*set));
    }
}
