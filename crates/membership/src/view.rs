//! Another member as this one sees it.

use cranehill_scheduler::Time;

use crate::identity::Identity;

/// The state of a member in our view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers probes.
    Alive,
    /// A probe failed; the member may refute the suspicion.
    Suspect,
    /// The suspicion was not refuted in time, or another member reported the member down.
    Down,
    /// It announced its end, and is down.
    Left,
}

impl State {
    /// The name of the state in logs and on the status page.
    pub fn label(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "down",
            State::Left => "left",
        }
    }

    /// Whether the member counts as present: alive or suspect.
    pub fn is_active(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// Another member as we see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The member in its latest known incarnation.
    pub member: Identity,
    /// SWIM's own counter: grows within an incarnation each time that the member refutes a suspicion.
    pub swim_incarnation: u16,
    /// The member's state.
    pub state: State,
    /// When the member came to be in that state in our view.
    pub since: Time,
}
