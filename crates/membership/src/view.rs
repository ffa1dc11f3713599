//! The state of another member in this member's view.

use cranehill_scheduler::Time;

use crate::identity::Identity;

/// The state of another member in this member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member answers probes, or refuted the latest suspicion.
    Alive,
    /// A probe failed. The member has the suspicion timeout to refute the suspicion.
    Suspect,
    /// The suspicion was not refuted in time, or another member reported the member down.
    Down,
    /// The member announced that it leaves, and is down.
    Left,
}

impl MemberState {
    /// The name of the state in logs and on the status page.
    pub fn label(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "down",
            MemberState::Left => "left",
        }
    }

    /// Whether the member counts as active: alive or suspect.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Another member's identity and state in this member's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member's identity in its latest known incarnation.
    pub member: Identity,
    /// The incarnation number of the SWIM paper: within one [`Identity::incarnation`], it grows each time that the member refutes
    /// a suspicion.
    pub swim_incarnation: u16,
    /// Alive, suspect, down or left.
    pub state: MemberState,
    /// When the member entered that state in this member's view.
    pub since: Time,
}
