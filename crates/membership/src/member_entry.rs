//! The entry for one member in anti-entropy messages.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::digest::{ShortHash, identity_hash};
use crate::identity::Identity;
use crate::view::{MemberState, MemberView};

const ALIVE: u8 = 0;
const SUSPECT: u8 = 1;
const DOWN: u8 = 2;

/// The state of one member, as encoded in anti-entropy messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The member's identity, with the incarnation that the entry is about.
    pub member: Identity,
    /// The incarnation number of the SWIM paper; see [`MemberView::swim_incarnation`].
    pub swim_incarnation: u16,
    /// 0: alive, 1: suspect, 2: down or left. Other values are invalid.
    pub state: u8,
    /// Seconds since the member went down, at most 65,535.
    pub down_seconds: u16,
}

/// Orders entries about one address; the greater one is newer, as in SWIM. Down is final for an incarnation, and a suspicion
/// is overridden only by a higher SWIM incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    incarnation: u64,
    is_down: bool,
    swim_incarnation: u16,
    state: u8,
}

impl MemberEntry {
    pub(crate) fn of(view: &MemberView, down_for: Duration) -> MemberEntry {
        let state = match view.state {
            MemberState::Alive => ALIVE,
            MemberState::Suspect => SUSPECT,
            MemberState::Down | MemberState::Left => DOWN,
        };
        MemberEntry {
            member: view.member.clone(),
            swim_incarnation: view.swim_incarnation,
            state,
            down_seconds: u16::try_from(down_for.as_secs()).unwrap_or(u16::MAX),
        }
    }

    pub(crate) fn alive(member: Identity, swim_incarnation: u16) -> MemberEntry {
        MemberEntry {
            member,
            swim_incarnation,
            state: ALIVE,
            down_seconds: 0,
        }
    }

    /// Whether `state` has a valid value.
    pub(crate) fn has_known_state(&self) -> bool {
        self.state <= DOWN
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.state == ALIVE
    }

    pub(crate) fn is_down(&self) -> bool {
        self.state >= DOWN
    }

    pub(crate) fn down_for(&self) -> Duration {
        Duration::from_secs(u64::from(self.down_seconds))
    }

    pub(crate) fn to_foca(&self) -> foca::Member<Identity> {
        let state = match self.state {
            ALIVE => foca::State::Alive,
            SUSPECT => foca::State::Suspect,
            _ => foca::State::Down,
        };
        foca::Member::new(self.member.clone(), self.swim_incarnation, state)
    }

    pub(crate) fn rank(&self) -> Rank {
        let is_down = self.is_down();
        Rank {
            incarnation: self.member.incarnation,
            is_down,
            swim_incarnation: if is_down { 0 } else { self.swim_incarnation },
            state: self.state.min(DOWN),
        }
    }

    /// The hash that is added to the digest. It excludes `down_seconds`, which differs between members.
    pub(crate) fn hash(&self) -> ShortHash {
        let rank = self.rank();
        ShortHash::of(&[
            identity_hash(&self.member).as_bytes(),
            &rank.incarnation.to_le_bytes(),
            &rank.swim_incarnation.to_le_bytes(),
            &[rank.state],
            self.member.name.as_bytes(),
        ])
    }
}
