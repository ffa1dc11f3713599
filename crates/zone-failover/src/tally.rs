//! [`Tally`]: counts of the announcements of all members about one zone.

use cranehill_scheduler::Time;

use crate::announcement::{MemberAnnouncements, State, View, ZoneAnnouncement};

/// Lower and upper bound of the quorum, in members. At least two, as one member can be cut off from a zone by itself.
/// At most five: even among a thousand members, five are unlikely to see a zone fail by chance, and with little traffic
/// a failure may not be observed by more members within a window.
const QUORUM_BOUNDS: [usize; 2] = [2, 5];
/// Between these bounds, the quorum is one member in this many, rounded up.
const MEMBERS_PER_QUORUM_VOTE: usize = 10;

/// The quorum of a fleet with this number of members.
fn quorum(members: usize) -> usize {
    let [least, most] = QUORUM_BOUNDS;
    members.div_ceil(MEMBERS_PER_QUORUM_VOTE).clamp(least, most)
}

/// Counts of the announcements of all members about one zone.
pub(crate) struct Tally {
    /// Members required for a quorum.
    quorum: usize,
    /// Number of other members.
    others: usize,
    /// Members whose view is that the zone fails, this one included.
    pub(crate) failing: usize,
    /// Members whose view is that the zone serves, this one included.
    pub(crate) serving: usize,
    /// Whether the own view of this member is that the zone serves.
    own_serving: bool,
    /// Other members that announce anything about the zone.
    announcing: usize,
    /// Other members that have evacuated the zone.
    evacuated: usize,
    /// Sum of [`ZoneAnnouncement::served`] over all members that have evacuated the zone.
    served: u32,
    /// When each other member that is returning to the zone started to do so.
    returning: Vec<Time>,
}

impl Tally {
    /// Counts the announcements about a zone: `own` by this member, `others` by the other members.
    pub(crate) fn new(
        zone: u32,
        own: &[ZoneAnnouncement],
        others: &[MemberAnnouncements],
    ) -> Tally {
        let of_zone = |announcement: &&ZoneAnnouncement| announcement.zone == zone;
        let own: Vec<&ZoneAnnouncement> = own.iter().filter(of_zone).collect();
        let theirs: Vec<&ZoneAnnouncement> = others
            .iter()
            .flat_map(|other| &other.zones)
            .filter(of_zone)
            .collect();
        let all = || theirs.iter().chain(&own);
        let returning = |announcement: &&ZoneAnnouncement| match announcement.state {
            State::Returning(since) => Some(since),
            State::InService | State::Evacuated(_) => None,
        };
        Tally {
            quorum: quorum(others.len() + 1),
            others: others.len(),
            failing: all().filter(|a| a.view == View::Failing).count(),
            serving: all().filter(|a| a.view == View::Serving).count(),
            own_serving: own.iter().any(|a| a.view == View::Serving),
            announcing: theirs.len(),
            evacuated: theirs.iter().filter(|a| a.is_evacuated()).count(),
            // Counts announced outside an evacuation are not counts of its probe calls.
            served: all().filter(|a| a.is_evacuated()).map(|a| a.served).sum(),
            returning: theirs.iter().filter_map(returning).collect(),
        }
    }

    /// Whether a quorum sees the zone fail, and fewer members see it serve.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing >= self.quorum && self.failing > self.serving
    }

    /// Whether a member that joined later, or missed announcements, must follow the evacuation: a quorum of others has
    /// evacuated the zone, and at least half of those that announce it. A member that receives answers from the zone
    /// does not follow: the others send only probe calls there, so their evidence is weaker.
    pub(crate) fn is_evacuated_by_others(&self) -> bool {
        self.evacuated >= self.quorum && self.evacuated * 2 >= self.announcing && !self.own_serving
    }

    /// When the first of a quorum of others, or of all others in a small fleet, started to return to the zone after
    /// this member evacuated it at `evacuated_at`; `None` if fewer members do.
    pub(crate) fn returned_by_others(&self, evacuated_at: Time) -> Option<Time> {
        let later = || self.returning.iter().filter(|at| **at > evacuated_at);
        if later().count() < self.quorum.min(self.others) {
            return None;
        }
        later().min().copied()
    }

    /// Number of successive attempts answered since the evacuation, summed over all members that have evacuated the
    /// zone.
    pub(crate) fn served(&self) -> u32 {
        self.served
    }
}
