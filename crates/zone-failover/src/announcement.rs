//! Zone announcements between members. These types are serialized with postcard: the order of their fields and variants
//! is part of the format and must not change.

use std::net::SocketAddr;

use cranehill_scheduler::Time;
use serde::{Deserialize, Serialize};

/// A member's view of a zone, judged by its own attempts only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// The member has made too few attempts to judge the zone.
    #[default]
    None,
    /// At least half of its attempts are answered.
    Serving,
    /// More than half of its attempts, to several endpoints, are not answered.
    Failing,
}

/// The state of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The zone is in normal use.
    #[default]
    InService,
    /// The zone has been evacuated since this time: only probe calls are sent to it.
    Evacuated(Time),
    /// Load has been returning to the zone since this time, on the recovery ramp.
    Returning(Time),
}

/// A member's announcement about one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAnnouncement {
    /// Number of the zone.
    pub zone: u32,
    /// State of the zone for the announcing member.
    pub state: State,
    /// The announcing member's view, by its own attempts.
    pub view: View,
    /// Number of attempts answered since the evacuation, or since the last unanswered attempt.
    pub served: u32,
}

impl ZoneAnnouncement {
    /// Whether the announcing member has evacuated the zone.
    pub(crate) fn is_evacuated(&self) -> bool {
        matches!(self.state, State::Evacuated(_))
    }

    /// Whether the announcement can be omitted: the zone is in normal use, and the member's view is either unknown, or
    /// serving while no other member reports a failure (`is_suspected`).
    pub(crate) fn can_be_omitted(&self, is_suspected: bool) -> bool {
        let is_normal = match self.view {
            View::None => true,
            View::Serving => !is_suspected,
            View::Failing => false,
        };
        self.state == State::InService && is_normal
    }
}

/// The latest announcements of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAnnouncements {
    /// The member's address.
    pub member: SocketAddr,
    /// Its announcements, one for each zone that it does not omit.
    pub zones: Vec<ZoneAnnouncement>,
}
