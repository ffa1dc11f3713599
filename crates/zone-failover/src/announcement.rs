//! What members announce of zones to each other. These types are serialized: their fields and variants keep their order.

use std::net::SocketAddr;

use cranehill_scheduler::Time;
use serde::{Deserialize, Serialize};

/// A member's view of a zone by its own attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// It has too few attempts to judge by.
    #[default]
    None,
    /// Its attempts are answered.
    Serving,
    /// Its attempts are not answered.
    Failing,
}

/// The state of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// In normal use.
    #[default]
    InService,
    /// Evacuated since then: only probe calls are sent there.
    Evacuated(Time),
    /// Returned to since then, within the slow start.
    Returning(Time),
}

/// What a member announces of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAnnouncement {
    /// Number of the zone.
    pub zone: u32,
    /// Its state for this member.
    pub state: State,
    /// The member's view by its own attempts.
    pub view: View,
    /// Attempts in a row that were answered since the zone was evacuated.
    pub served: u32,
}

impl ZoneAnnouncement {
    /// Whether the zone is evacuated for this member.
    pub(crate) fn is_evacuated(&self) -> bool {
        matches!(self.state, State::Evacuated(_))
    }

    /// Whether it can be left out: the zone is in normal use, and others (`is_suspected`) need no second view of it.
    pub(crate) fn is_unremarkable(&self, is_suspected: bool) -> bool {
        let is_normal = match self.view {
            View::None => true,
            View::Serving => !is_suspected,
            View::Failing => false,
        };
        self.state == State::InService && is_normal
    }
}

/// The last announcements of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAnnouncements {
    /// The member's address.
    pub member: SocketAddr,
    /// What it announces of zones.
    pub zones: Vec<ZoneAnnouncement>,
}
