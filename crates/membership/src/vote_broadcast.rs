//! Votes that are broadcast with SWIM's gossip, where others must learn of them at once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::digest::ShortHash;
use crate::identity::Identity;
use crate::vote::{MAX_PAYLOAD, Vote, Votes};

/// The votes, shared with `foca`: it owns its [`foca::BroadcastHandler`] and gives no access to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedVotes(Arc<Mutex<Votes>>);

impl SharedVotes {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Votes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A vote as it is broadcast.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct VoteBroadcast {
    pub(crate) voter: ShortHash,
    pub(crate) vote: Vote,
}

/// Stores the votes that arrive with gossip, and lets `foca` pass on those that were new.
#[derive(Debug)]
pub(crate) struct VoteHandler(pub(crate) SharedVotes);

/// The voter of a broadcast: a newer vote replaces an older one of the same voter that is still to be passed on.
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
    #[error("a broadcast vote has a payload of {0} bytes, more than {MAX_PAYLOAD}")]
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
        if vote.payload.len() > MAX_PAYLOAD {
            return Err(VoteError::PayloadTooLong(vote.payload.len()));
        }
        let is_new = self.0.lock().insert(voter, vote);
        Ok(is_new.then_some(VoterKey(voter)))
    }
}
