//! Votes that are broadcast with SWIM's gossip, which is faster than anti-entropy: changes of a payload, and leaves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::digest::ShortHash;
use crate::identity::Identity;
use crate::vote::{MAX_PAYLOAD_BYTES, Vote, Votes};

/// The votes, shared with the [`VoteHandler`], which `foca` owns and gives no access to.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedVotes(Arc<Mutex<Votes>>);

impl SharedVotes {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Votes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A vote with its voter, as encoded in a SWIM broadcast.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct VoteBroadcast {
    pub(crate) voter: ShortHash,
    pub(crate) vote: Vote,
}

/// Stores the votes that arrive with gossip, and has `foca` forward those that were newer than the stored ones.
#[derive(Debug)]
pub(crate) struct VoteHandler(pub(crate) SharedVotes);

/// The voter of a broadcast. A newer broadcast of the same voter replaces an older one in `foca`'s queue of broadcasts.
#[derive(Debug)]
pub(crate) struct VoterKey(ShortHash);

impl foca::Invalidates for VoterKey {
    fn invalidates(&self, other: &VoterKey) -> bool {
        self.0 == other.0
    }
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum VoteError {
    #[error("a broadcast vote can't be decoded: {0}")]
    Decode(#[from] postcard::Error),
    #[error("a broadcast vote has a payload of {0} bytes, more than {MAX_PAYLOAD_BYTES}")]
    PayloadTooLong(usize),
}

impl foca::BroadcastHandler<Identity> for VoteHandler {
    type Key = VoterKey;
    type Error = VoteError;

    fn receive_item(
        &mut self,
        data: &[u8],
        _from: Option<&Identity>,
    ) -> Result<Option<VoterKey>, VoteError> {
        let VoteBroadcast { voter, vote } = postcard::from_bytes(data)?;
        if vote.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(VoteError::PayloadTooLong(vote.payload.len()));
        }
        let is_new = self.0.lock().insert(voter, vote);
        Ok(is_new.then_some(VoterKey(voter)))
    }
}
