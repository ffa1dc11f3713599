//! The anti-entropy messages, encoded by `postcard`: the order of fields and variants is part of the format.

use serde::{Deserialize, Serialize};

use crate::digest::{BucketSet, BucketSum, ShortHash};
use crate::down_sets::SetPage;
use crate::member_entry::MemberEntry;
use crate::vote::Vote;

/// The maximum number of members in a page of a set, so that the page fits into a packet.
pub const MAX_PAGE_MEMBERS: usize = 128;

/// An anti-entropy message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Starts a comparison with the roots of the sender's digests.
    Compare {
        /// The root of the digest over members, the sender included.
        members: ShortHash,
        /// The root of the digest over votes.
        votes: ShortHash,
    },
    /// The answer to [`Message::Compare`] if a root differs: the sender's digests.
    Differs {
        /// The sums of the digest over members, by bucket.
        members: Vec<BucketSum>,
        /// The sums of the digest over votes, by bucket.
        votes: Vec<BucketSum>,
    },
    /// Entries of differing buckets.
    Entries(Entries),
    /// Requests a page of a set of down members.
    WantSet {
        /// The hash that identifies the set.
        set: ShortHash,
        /// The index in the sorted set of the first member to send.
        offset: u32,
    },
    /// The answer to [`Message::WantSet`]: at most [`MAX_PAGE_MEMBERS`] members of the set.
    SetPage(SetPage),
}

/// Entries of members and votes from some buckets of the sender's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The states of members, the sender's own among them if its bucket is included.
    pub members: Vec<MemberEntry>,
    /// The newest votes of members.
    pub votes: Vec<VoteEntry>,
    /// The hashes of the sets of down members that the votes refer to by index.
    pub sets: Vec<ShortHash>,
    /// The buckets of which the message has all of the sender's entries. The receiver is to answer with its newer entries of them.
    pub wanted: WantedBuckets,
}

/// A set of buckets for each of the two digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedBuckets {
    /// Buckets of the digest over members.
    pub members: BucketSet,
    /// Buckets of the digest over votes.
    pub votes: BucketSet,
}

impl WantedBuckets {
    /// Whether both sets are empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && self.votes.is_empty()
    }
}

/// A vote in [`Entries`], with its set as an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteEntry {
    /// The voter's [`crate::digest::identity_hash`].
    pub voter: ShortHash,
    /// Same as [`Vote::number`].
    pub number: u32,
    /// Same as [`Vote::leaves`].
    pub leaves: bool,
    /// The index of the vote's set in [`Entries::sets`] plus one; 0 for the empty set.
    pub set: u8,
    /// Same as [`Vote::payload`].
    pub payload: Vec<u8>,
}

impl VoteEntry {
    /// The vote, with its set's hash taken from `sets`, which is [`Entries::sets`]. `None` if the index is out of range.
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
