//! Builds an [`Entries`] message that fits into a packet.

use serde::Serialize;

use super::message::{Entries, VoteEntry};
use crate::digest::ShortHash;
use crate::member_entry::MemberEntry;
use crate::vote::Vote;

/// The maximum size in bytes of the lengths and bucket sets in an encoded [`Entries`].
const MAX_FRAME: usize = 32;
/// The maximum number of different sets that the votes of one message refer to. Bounds the part of the packet that their hashes
/// occupy.
const MAX_REFERENCED_SETS: usize = 32;

/// Adds entries to a message until its encoding would exceed a number of bytes.
pub(super) struct EntriesBuilder {
    entries: Entries,
    bytes_left: usize,
}

/// A vote's reference to its set of down members.
struct SetReference {
    /// The value of [`VoteEntry::set`].
    position: u8,
    /// Bytes that the set's hash adds to the message: 0 if the message has it already.
    added_bytes: usize,
}

impl EntriesBuilder {
    pub(super) fn new(max_bytes: usize) -> EntriesBuilder {
        EntriesBuilder {
            entries: Entries::default(),
            bytes_left: max_bytes.saturating_sub(MAX_FRAME),
        }
    }

    /// Adds entries of members, as many as fit; false if not all fit.
    pub(super) fn add_members(&mut self, members: impl IntoIterator<Item = MemberEntry>) -> bool {
        for member in members {
            if !self.reserve(encoded_len(&member)) {
                return false;
            }
            self.entries.members.push(member);
        }
        true
    }

    /// Adds votes, as many as fit; false if not all fit.
    pub(super) fn add_votes<'a>(
        &mut self,
        votes: impl IntoIterator<Item = (ShortHash, &'a Vote)>,
    ) -> bool {
        votes
            .into_iter()
            .all(|(voter, vote)| self.add_vote(voter, vote))
    }

    fn add_vote(&mut self, voter: ShortHash, vote: &Vote) -> bool {
        let Some(set) = self.reference_to(vote.down) else {
            return false;
        };
        let entry = VoteEntry {
            voter,
            number: vote.number,
            leaves: vote.leaves,
            set: set.position,
            payload: vote.payload.clone(),
        };
        if !self.reserve(encoded_len(&entry) + set.added_bytes) {
            return false;
        }
        if set.added_bytes > 0 {
            self.entries.sets.extend(vote.down);
        }
        self.entries.votes.push(entry);
        true
    }

    /// Marks a bucket of members as complete in the message, which requests the receiver's newer entries of it.
    pub(super) fn want_members(&mut self, bucket: usize) {
        self.entries.wanted.members.insert(bucket);
    }

    /// Marks a bucket of votes as complete in the message, which requests the receiver's newer votes of it.
    pub(super) fn want_votes(&mut self, bucket: usize) {
        self.entries.wanted.votes.insert(bucket);
    }

    pub(super) fn finish(self) -> Entries {
        self.entries
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes_left;
        if fits {
            self.bytes_left -= bytes;
        }
        fits
    }

    /// The reference to a set; `None` if the message has [`MAX_REFERENCED_SETS`] other sets already.
    fn reference_to(&self, set: Option<ShortHash>) -> Option<SetReference> {
        let Some(set) = set else {
            return Some(SetReference {
                position: 0,
                added_bytes: 0,
            });
        };
        let known = self
            .entries
            .sets
            .iter()
            .position(|referenced| *referenced == set);
        let index = known.unwrap_or(self.entries.sets.len());
        let added_bytes = if known.is_some() {
            0
        } else {
            size_of::<ShortHash>()
        };
        (index < MAX_REFERENCED_SETS).then_some(SetReference {
            position: index as u8 + 1,
            added_bytes,
        })
    }
}

fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::to_stdvec(value).map_or(usize::MAX, |bytes| bytes.len())
}
