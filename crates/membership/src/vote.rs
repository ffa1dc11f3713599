//! Votes: which members are down in a member's view. The newest of each member counts. A vote names its set of down members
//! by a hash; the sets themselves are kept beside, each once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::digest::{BUCKETS, Digest, ShortHash};

/// Bytes of what else a vote says, at most: with its frame it must fit into a packet.
pub const MAX_PAYLOAD: usize = 256;
/// Votes kept, at most: one for each member.
pub const MAX_VOTERS: usize = 4096;
/// Members in one set, at most.
pub const MAX_DOWN: usize = 4096;
/// Sets kept, at most; a vote for one that isn't kept counts for nobody.
pub const MAX_SETS: usize = 256;
/// Members in all sets kept, at most.
const MAX_SET_ENTRIES: usize = 65_536;
/// Sets of which pages are still missing, at most.
const MAX_PARTIAL: usize = 4;

/// One member's vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Grows with each vote of a incarnation.
    pub number: u32,
    /// The voter is about to end by itself.
    pub leaves: bool,
    /// The set of members that it holds to be down; `None` for the empty one.
    pub down: Option<ShortHash>,
    /// What else the voter says to all; not read here.
    pub payload: Vec<u8>,
}

impl Vote {
    fn hash(&self, voter: ShortHash) -> ShortHash {
        let down = self
            .down
            .as_ref()
            .map(ShortHash::as_bytes)
            .unwrap_or_default();
        let head = [u8::from(self.leaves), u8::from(self.down.is_some())];
        ShortHash::of(&[
            voter.as_bytes(),
            &self.number.to_le_bytes(),
            &head,
            down,
            &self.payload,
        ])
    }

    /// Of two with the same number, which only a faulty voter makes, all must keep the same.
    fn rank(&self, voter: ShortHash) -> (u32, ShortHash) {
        (self.number, self.hash(voter))
    }
}

/// The bucket of a voter's entry.
pub(crate) fn voter_bucket(voter: ShortHash) -> usize {
    (voter.number() % BUCKETS as u64) as usize
}

/// The newest vote of each voter, named by [`crate::digest::identity_hash`].
#[derive(Clone, Debug, Default)]
pub struct Votes {
    newest: BTreeMap<ShortHash, Vote>,
    digest: Digest,
    changes: u64,
    payload_changes: u64,
}

impl Votes {
    /// False if it tells nothing new.
    pub fn insert(&mut self, voter: ShortHash, vote: Vote) -> bool {
        let known = self.newest.get(&voter);
        let newer = known.is_none_or(|k| k.rank(voter) < vote.rank(voter));
        if !newer
            || known.is_none() && self.newest.len() >= MAX_VOTERS
            || vote.payload.len() > MAX_PAYLOAD
        {
            return false;
        }
        self.digest.add(voter_bucket(voter), vote.hash(voter));
        let payload = known.map(|k| k.payload.as_slice()).unwrap_or_default();
        self.payload_changes += u64::from(payload != vote.payload);
        if let Some(before) = self.newest.insert(voter, vote) {
            self.digest.remove(voter_bucket(voter), before.hash(voter));
        }
        self.changes += 1;
        true
    }

    pub fn get(&self, voter: ShortHash) -> Option<&Vote> {
        self.newest.get(&voter)
    }

    pub fn iter(&self) -> impl Iterator<Item = (ShortHash, &Vote)> {
        self.newest.iter().map(|(voter, vote)| (*voter, vote))
    }

    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Grows with each change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Grows with each change of a payload.
    pub fn payload_changes(&self) -> u64 {
        self.payload_changes
    }

    /// Forgets those of members that are no longer known.
    pub fn keep(&mut self, known: impl Fn(ShortHash) -> bool) {
        let unknown: Vec<ShortHash> = self
            .newest
            .keys()
            .copied()
            .filter(|voter| !known(*voter))
            .collect();
        for voter in unknown {
            if let Some(vote) = self.newest.remove(&voter) {
                self.digest.remove(voter_bucket(voter), vote.hash(voter));
                self.changes += 1;
                self.payload_changes += u64::from(!vote.payload.is_empty());
            }
        }
    }
}

/// Sets of down members, each named by the hash of its sorted members.
#[derive(Clone, Debug, Default)]
pub struct DownSets {
    whole: BTreeMap<ShortHash, BTreeSet<ShortHash>>,
    /// Sets of which the first pages came, with how many members they have in all.
    partial: BTreeMap<ShortHash, (u32, Vec<ShortHash>)>,
}

impl DownSets {
    pub fn name(members: &BTreeSet<ShortHash>) -> ShortHash {
        let parts: Vec<&[u8]> = members.iter().map(ShortHash::as_bytes).collect();
        ShortHash::of(&parts)
    }

    /// Keeps a set and names it; `None` if there is no room for it.
    pub fn insert(&mut self, members: BTreeSet<ShortHash>) -> Option<ShortHash> {
        let name = DownSets::name(&members);
        let entries: usize = self.whole.values().map(BTreeSet::len).sum();
        let room = self.whole.len() < MAX_SETS
            && members.len() <= MAX_DOWN
            && entries + members.len() <= MAX_SET_ENTRIES;
        if !self.whole.contains_key(&name) && !room {
            return None;
        }
        self.partial.remove(&name);
        self.whole.entry(name).or_insert(members);
        Some(name)
    }

    pub fn get(&self, name: ShortHash) -> Option<&BTreeSet<ShortHash>> {
        self.whole.get(&name)
    }

    /// Members from this place on, `most` at most, and how many the set has in all.
    pub fn page(&self, name: ShortHash, from: u32, most: usize) -> Option<(u32, Vec<ShortHash>)> {
        let members = self.whole.get(&name)?;
        let page = members
            .iter()
            .skip(from as usize)
            .take(most)
            .copied()
            .collect();
        Some((members.len() as u32, page))
    }

    /// Which place of a set comes next; `None` if it is whole.
    pub fn next_page(&self, name: ShortHash) -> Option<u32> {
        let got = self
            .partial
            .get(&name)
            .map_or(0, |(_, members)| members.len() as u32);
        (!self.whole.contains_key(&name)).then_some(got)
    }

    /// Takes a page of a set. True once the set is whole and is what its name says.
    pub fn add_page(
        &mut self,
        name: ShortHash,
        total: u32,
        from: u32,
        members: &[ShortHash],
    ) -> bool {
        let known = self.partial.contains_key(&name);
        if self.whole.contains_key(&name)
            || total as usize > MAX_DOWN
            || !known && (from != 0 || self.partial.len() >= MAX_PARTIAL)
        {
            return false;
        }
        let (expected, got) = self.partial.entry(name).or_insert((total, Vec::new()));
        if *expected != total || got.len() != from as usize || members.is_empty() {
            return false;
        }
        got.extend_from_slice(members);
        if got.len() < total as usize {
            return false;
        }
        let whole: BTreeSet<ShortHash> = got.drain(..).collect();
        self.partial.remove(&name);
        DownSets::name(&whole) == name && self.insert(whole).is_some()
    }

    /// Forgets those that nobody names any more.
    pub fn keep(&mut self, named: impl Fn(ShortHash) -> bool) {
        self.whole.retain(|name, _| named(*name));
        self.partial.retain(|name, _| named(*name));
    }
}

/// A vote as it is broadcast, when others must hear of it at once.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Broadcast {
    pub(crate) voter: ShortHash,
    pub(crate) number: u32,
    pub(crate) leaves: bool,
    pub(crate) down: Option<ShortHash>,
    pub(crate) payload: Vec<u8>,
}

/// What `foca` asks about votes that pass through it: the votes are shared with [`crate::Members`], which it does not
/// let look inside.
#[derive(Debug)]
pub(crate) struct VoteHandler(pub(crate) Arc<Mutex<Votes>>);

/// A newer vote replaces the older ones of the same member on their way.
#[derive(Debug)]
pub(crate) struct VoterKey(ShortHash);

impl foca::Invalidates for VoterKey {
    fn invalidates(&self, other: &VoterKey) -> bool {
        self.0 == other.0
    }
}

#[derive(Debug, thiserror::Error)]
#[error("a vote that can't be read")]
pub(crate) struct Unreadable;

impl foca::BroadcastHandler<crate::Identity> for VoteHandler {
    type Key = VoterKey;
    type Error = Unreadable;

    fn receive_item(
        &mut self,
        data: &[u8],
        _from: Option<&crate::Identity>,
    ) -> Result<Option<VoterKey>, Unreadable> {
        let Broadcast {
            voter,
            number,
            leaves,
            down,
            payload,
        } = postcard::from_bytes(data).map_err(|_| Unreadable)?;
        if payload.len() > MAX_PAYLOAD {
            return Err(Unreadable);
        }
        let vote = Vote {
            number,
            leaves,
            down,
            payload,
        };
        let mut votes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(votes.insert(voter, vote).then_some(VoterKey(voter)))
    }
}
