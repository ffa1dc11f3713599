//! The exchange of state by digest: two members compare, and only what differs travels.
//!
//! ```text
//! A -> B  Compare     the roots of both digests, each period
//! B -> A  Differs     the digests, if a root differs
//! A -> B  Entries     what A holds in differing buckets; those that are whole are to be answered
//! B -> A  Entries     what B holds in these that is newer, or that A lacks
//!         WantSet     a set of down members that a vote named and that isn't known
//!         SetPage     a page of it
//! ```
//!
//! Each message is one packet. What had no room is left to a later exchange, with another member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cranehill_scheduler::Time;
use serde::{Deserialize, Serialize};

use crate::digest::{BUCKETS, Digest, ShortHash};
use crate::member_table::{MemberEntry, MemberTable};
use crate::vote::{DownSets, Vote, Votes, voter_bucket};

/// Members of a set in one page: it must fit into a packet.
pub const MAX_PAGE_MEMBERS: usize = 128;
/// Different sets that the votes of one message name, at most.
const MAX_NAMED_SETS: usize = 32;

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    Compare {
        members: ShortHash,
        votes: ShortHash,
    },
    Differs {
        members: Vec<[u8; 4]>,
        votes: Vec<[u8; 4]>,
    },
    Entries(Entries),
    WantSet {
        set: ShortHash,
        from: u32,
    },
    SetPage {
        set: ShortHash,
        total: u32,
        from: u32,
        members: Vec<ShortHash>,
    },
}

/// Part of a member's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    pub members: Vec<MemberEntry>,
    pub votes: Vec<VoteEntry>,
    /// The sets that the votes name.
    pub sets: Vec<ShortHash>,
    /// Buckets (of members, of votes) that are here whole, and that the sender wants the other's newer entries of.
    pub wanted: [u64; 2],
}

/// A vote as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteEntry {
    pub voter: ShortHash,
    pub number: u32,
    pub leaves: bool,
    /// One more than its place among the sets; 0 for the empty set.
    pub set: u8,
    pub payload: Vec<u8>,
}

impl VoteEntry {
    /// The vote; `None` if it names a set that isn't there.
    pub fn vote(&self, sets: &[ShortHash]) -> Option<Vote> {
        let down = match self.set {
            0 => None,
            place => Some(*sets.get(usize::from(place) - 1)?),
        };
        Some(Vote {
            number: self.number,
            leaves: self.leaves,
            down,
            payload: self.payload.clone(),
        })
    }
}

/// A member's state as the exchange reads it.
pub struct State<'a> {
    pub now: Time,
    /// Ourselves.
    pub own: &'a MemberEntry,
    pub own_bucket: usize,
    pub views: &'a MemberTable,
    pub votes: &'a Votes,
    pub sets: &'a DownSets,
}

/// Entries by bucket.
type Buckets<T> = BTreeMap<usize, Vec<T>>;

impl State<'_> {
    fn members(&self) -> Digest {
        let mut digest = self.views.digest().clone();
        digest.add(self.own_bucket, self.own.hash());
        digest
    }

    /// What to compare with another.
    pub fn compare(&self) -> Message {
        Message::Compare {
            members: self.members().root(),
            votes: self.votes.digest().root(),
        }
    }

    /// The answer to [`Message::Compare`]; `None` if nothing differs.
    pub fn differs(&self, members: ShortHash, votes: ShortHash) -> Option<Message> {
        let ours = self.members();
        let same = ours.root() == members && self.votes.digest().root() == votes;
        (!same).then(|| Message::Differs {
            members: ours.to_wire(),
            votes: self.votes.digest().to_wire(),
        })
    }

    /// The answer to [`Message::Differs`]: entries of differing buckets from a place on, as many as fit.
    pub fn push(
        &self,
        members: &[[u8; 4]],
        votes: &[[u8; 4]],
        start: usize,
        room: usize,
    ) -> Option<Entries> {
        let differing = [
            self.members().differing(members)?,
            self.votes.digest().differing(votes)?,
        ];
        let (mut rows, mut voters) = (self.rows(differing[0]), self.voters(differing[1]));
        let mut packet = Packet::new(room);
        for i in 0..BUCKETS {
            let bucket = (start + i) % BUCKETS;
            let bit = 1 << bucket;
            // Members first: a vote of an unknown member says nothing.
            if differing[0] & bit != 0 && packet.add_rows(rows.remove(&bucket).unwrap_or_default())
            {
                packet.entries.wanted[0] |= bit;
            }
            if differing[1] & bit != 0
                && packet.add_votes(voters.remove(&bucket).unwrap_or_default())
            {
                packet.entries.wanted[1] |= bit;
            }
        }
        Some(packet.entries)
    }

    /// The answer to [`Entries`]: what we hold in the wanted buckets that is newer, or that the other lacks.
    pub fn pull(&self, theirs: &Entries, room: usize) -> Option<Entries> {
        let rows: BTreeMap<SocketAddr, &MemberEntry> = theirs
            .members
            .iter()
            .map(|row| (row.member.at, row))
            .collect();
        let votes: BTreeMap<ShortHash, u32> =
            theirs.votes.iter().map(|v| (v.voter, v.number)).collect();
        let newer_row = |row: &MemberEntry| {
            rows.get(&row.member.at)
                .is_none_or(|t| t.rank() < row.rank())
        };
        let newer_vote = |(voter, vote): &(ShortHash, &Vote)| {
            votes.get(voter).is_none_or(|number| *number < vote.number)
        };
        let mut packet = Packet::new(room);
        for rows in self.rows(theirs.wanted[0]).into_values() {
            packet.add_rows(rows.into_iter().filter(newer_row).collect());
        }
        for voters in self.voters(theirs.wanted[1]).into_values() {
            packet.add_votes(voters.into_iter().filter(newer_vote).collect());
        }
        let some = !packet.entries.members.is_empty() || !packet.entries.votes.is_empty();
        some.then_some(packet.entries)
    }

    fn rows(&self, buckets: u64) -> Buckets<MemberEntry> {
        let mut rows: Buckets<MemberEntry> = BTreeMap::new();
        let own =
            (buckets >> self.own_bucket & 1 == 1).then(|| (self.own_bucket, self.own.clone()));
        for (bucket, row) in self.views.entries(self.now, buckets).chain(own) {
            rows.entry(bucket).or_default().push(row);
        }
        rows
    }

    /// Votes whose sets we hold: so a set can be had from whoever told of it, and no single member is asked for it by all.
    fn voters(&self, buckets: u64) -> Buckets<(ShortHash, &Vote)> {
        let mut voters: Buckets<(ShortHash, &Vote)> = BTreeMap::new();
        if buckets == 0 {
            return voters;
        }
        for (voter, vote) in self.votes.iter() {
            let bucket = voter_bucket(voter);
            let held = vote.down.is_none_or(|set| self.sets.get(set).is_some());
            if buckets >> bucket & 1 == 1 && held {
                voters.entry(bucket).or_default().push((voter, vote));
            }
        }
        voters
    }
}

/// Entries with a bound on their bytes.
struct Packet {
    entries: Entries,
    room: usize,
}

/// Bytes of the lengths and bitmaps of [`Entries`], at most.
const ENTRIES_FRAME: usize = 32;

impl Packet {
    fn new(room: usize) -> Packet {
        Packet {
            entries: Entries::default(),
            room: room.saturating_sub(ENTRIES_FRAME),
        }
    }

    fn take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.room;
        if fits {
            self.room -= bytes;
        }
        fits
    }

    /// False if not all had room.
    fn add_rows(&mut self, members: Vec<MemberEntry>) -> bool {
        for row in members {
            if !self.take(encoded_len(&row)) {
                return false;
            }
            self.entries.members.push(row);
        }
        true
    }

    /// False if not all had room.
    fn add_votes(&mut self, votes: Vec<(ShortHash, &Vote)>) -> bool {
        for (voter, vote) in votes {
            let (set, added) = match vote.down.map(|set| self.place_of(set)) {
                None => (0, 0),
                Some(Some((place, added))) => (place, added),
                Some(None) => return false,
            };
            let row = VoteEntry {
                voter,
                number: vote.number,
                leaves: vote.leaves,
                set,
                payload: vote.payload.clone(),
            };
            if !self.take(encoded_len(&row) + added) {
                return false;
            }
            if added > 0 {
                self.entries.sets.extend(vote.down);
            }
            self.entries.votes.push(row);
        }
        true
    }

    /// The place of a set, and how many bytes it adds; `None` if there is no room for another.
    fn place_of(&self, set: ShortHash) -> Option<(u8, usize)> {
        let known = self.entries.sets.iter().position(|s| *s == set);
        let place = known.unwrap_or(self.entries.sets.len());
        let added = if known.is_some() {
            0
        } else {
            size_of::<ShortHash>()
        };
        (place < MAX_NAMED_SETS).then_some((place as u8 + 1, added))
    }
}

fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::to_stdvec(value).map_or(usize::MAX, |bytes| bytes.len())
}
