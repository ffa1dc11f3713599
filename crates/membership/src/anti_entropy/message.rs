//! The messages of anti-entropy.

use serde::{Deserialize, Serialize};

use crate::digest::{BucketSet, BucketSum, ShortHash};
use crate::down_sets::SetPage;
use crate::member_entry::MemberEntry;
use crate::vote::Vote;

/// Members in one page of a set: a page must fit into a packet.
pub const MAX_PAGE_MEMBERS: usize = 128;

/// A message of anti-entropy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The roots of the sender's digests.
    Compare {
        /// The root over its members.
        members: ShortHash,
        /// The root over its votes.
        votes: ShortHash,
    },
    /// The answer to [`Message::Compare`] if a root differs: the sender's digests.
    Differs {
        /// The sums over its members, by bucket.
        members: Vec<BucketSum>,
        /// The sums over its votes, by bucket.
        votes: Vec<BucketSum>,
    },
    /// Entries of buckets that differ.
    Entries(Entries),
    /// Requests a page of a set of down members.
    WantSet {
        /// The hash of the set.
        set: ShortHash,
        /// The index of the page's first member in the sorted set.
        offset: u32,
    },
    /// The answer to [`Message::WantSet`].
    SetPage(SetPage),
}

/// Part of a member's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// States of members.
    pub members: Vec<MemberEntry>,
    /// Votes.
    pub votes: Vec<VoteEntry>,
    /// The hashes of the sets that the votes name.
    pub sets: Vec<ShortHash>,
    /// The buckets that are complete in this message, and of which the sender wants the newer entries of the receiver.
    pub wanted: WantedBuckets,
}

/// Buckets of both digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedBuckets {
    /// Buckets of members.
    pub members: BucketSet,
    /// Buckets of votes.
    pub votes: BucketSet,
}

impl WantedBuckets {
    /// Whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && self.votes.is_empty()
    }
}

/// A vote in [`Entries`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteEntry {
    /// The hash of the voter's incarnation.
    pub voter: ShortHash,
    /// As [`Vote::number`].
    pub number: u32,
    /// As [`Vote::leaves`].
    pub leaves: bool,
    /// The index of the vote's set in [`Entries::sets`] plus one; 0 for the empty set.
    pub set: u8,
    /// As [`Vote::payload`].
    pub payload: Vec<u8>,
}

impl VoteEntry {
    /// The vote; `None` if its set isn't among `sets`.
    pub fn vote(&self, sets: &[ShortHash]) -> Option<Vote> {
        let down = match self.set {
            0 => None,
            position => Some(*sets.get(usize::from(position) - 1)?),
        };
        Some(Vote {
            number: self.number,
            leaves: self.leaves,
            down,
            payload: self.payload.clone(),
        })
    }
}
