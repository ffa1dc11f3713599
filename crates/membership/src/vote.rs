//! Votes on which members are down. The newest vote of each member counts. A vote refers to its set of down members by hash;
//! many votes share a set, which is stored once, in [`crate::down_sets::DownSets`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::digest::{Digest, ShortHash};

/// The maximum size in bytes of a vote's payload, so that the vote fits into a packet.
pub const MAX_PAYLOAD_BYTES: usize = 256;
/// The maximum number of voters whose votes are stored: the maximum number of known members.
pub const MAX_VOTERS: usize = 4096;

/// One member's vote, with the payload that it broadcasts to all members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The vote's sequence number, which grows with each vote of the voter's incarnation.
    pub number: u32,
    /// Whether the voter announces that it leaves the fleet: its process is shutting down.
    pub leaves: bool,
    /// The hash of the set of members that the voter considers down; `None` for the empty set. See
    /// [`crate::down_sets::DownSets::hash_of`].
    pub down: Option<ShortHash>,
    /// The voter's payload for all members, opaque to this crate. At most [`MAX_PAYLOAD_BYTES`] bytes.
    pub payload: Vec<u8>,
}

impl Vote {
    fn hash(&self, voter: ShortHash) -> ShortHash {
        let down = self
            .down
            .as_ref()
            .map(ShortHash::as_bytes)
            .unwrap_or_default();
        let flags = [u8::from(self.leaves), u8::from(self.down.is_some())];
        ShortHash::of(&[
            voter.as_bytes(),
            &self.number.to_le_bytes(),
            &flags,
            down,
            &self.payload,
        ])
    }

    /// Orders the votes of one voter. The hash decides between two with the same number, which only a faulty voter sends, so that
    /// all members store the same one.
    fn rank(&self, voter: ShortHash) -> (u32, ShortHash) {
        (self.number, self.hash(voter))
    }
}

/// The newest vote of each voter, by the voter's [`crate::digest::identity_hash`].
#[derive(Clone, Debug, Default)]
pub struct Votes {
    newest: BTreeMap<ShortHash, Vote>,
    digest: Digest,
    changes: u64,
    payload_changes: u64,
}

impl Votes {
    /// Stores a vote if it is newer than the stored one of its voter. False if it isn't, if its payload exceeds [`MAX_PAYLOAD_BYTES`]
    /// bytes, or if there are [`MAX_VOTERS`] other voters.
    pub fn insert(&mut self, voter: ShortHash, vote: Vote) -> bool {
        let known = self.newest.get(&voter);
        let is_newer = known.is_none_or(|known| known.rank(voter) < vote.rank(voter));
        let has_room = known.is_some() || self.newest.len() < MAX_VOTERS;
        if !is_newer || !has_room || vote.payload.len() > MAX_PAYLOAD_BYTES {
            return false;
        }
        self.digest.add(voter.bucket(), vote.hash(voter));
        let known_payload = known
            .map(|known| known.payload.as_slice())
            .unwrap_or_default();
        self.payload_changes += u64::from(known_payload != vote.payload);
        if let Some(replaced) = self.newest.insert(voter, vote) {
            self.digest.remove(voter.bucket(), replaced.hash(voter));
        }
        self.changes += 1;
        true
    }

    /// The newest vote of a voter; `None` if the voter has none.
    pub fn get(&self, voter: ShortHash) -> Option<&Vote> {
        self.newest.get(&voter)
    }

    /// The newest vote of each voter, in the order of the voters' hashes.
    pub fn iter(&self) -> impl Iterator<Item = (ShortHash, &Vote)> {
        self.newest.iter().map(|(voter, vote)| (*voter, vote))
    }

    /// The digest over all stored votes.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// A counter that grows with each vote that is stored or removed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// A counter that grows with each change of a voter's payload.
    pub fn payload_changes(&self) -> u64 {
        self.payload_changes
    }

    /// Removes the votes of the voters for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(ShortHash) -> bool) {
        let unknown: Vec<ShortHash> = self
            .newest
            .keys()
            .copied()
            .filter(|voter| !is_known(*voter))
            .collect();
        for voter in unknown {
            if let Some(vote) = self.newest.remove(&voter) {
                self.digest.remove(voter.bucket(), vote.hash(voter));
                self.changes += 1;
                self.payload_changes += u64::from(!vote.payload.is_empty());
            }
        }
    }
}
