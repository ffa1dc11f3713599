//! [`Tally`]: what all members announce of one zone, counted.

use cranehill_scheduler::Time;

use crate::announcement::{MemberAnnouncements, State, View, ZoneAnnouncement};

/// Least and most members that form a quorum. Two, as one may be cut off by itself; five, as as many of a thousand
/// members are no accident either, and thin traffic may show no more within a window.
const QUORUM: [usize; 2] = [2, 5];
/// Between these bounds, one of this many members forms a quorum.
const MEMBERS_PER_QUORUM_VOTE: usize = 10;

/// The members that form a quorum.
fn quorum(members: usize) -> usize {
    let [least, most] = QUORUM;
    members.div_ceil(MEMBERS_PER_QUORUM_VOTE).clamp(least, most)
}

/// The announcements of one zone, counted.
pub(crate) struct Tally {
    /// Members that form a quorum.
    quorum: usize,
    /// The other members.
    others: usize,
    /// Members that see the zone fail.
    pub(crate) failing: usize,
    /// Members that see the zone serve.
    pub(crate) serving: usize,
    /// Whether this member sees the zone serve.
    own_serving: bool,
    /// Other members that announce the zone.
    announcing: usize,
    /// Other members that have evacuated the zone.
    evacuated: usize,
    /// Attempts in a row that were answered to members that have evacuated the zone.
    served: u32,
    /// Since when other members return to the zone.
    returning: Vec<Time>,
}

impl Tally {
    /// Counts what is announced of a zone.
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
            // Counts from before the evacuation say nothing of probe calls since.
            served: all().filter(|a| a.is_evacuated()).map(|a| a.served).sum(),
            returning: theirs.iter().filter_map(returning).collect(),
        }
    }

    /// Whether a quorum sees the zone fail, and more members than see it serve.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing >= self.quorum && self.failing > self.serving
    }

    /// Whether enough others have evacuated the zone for a member that joined later, or missed their announcements. A
    /// member that is answered there knows better than others that send nothing.
    pub(crate) fn is_evacuated_by_others(&self) -> bool {
        self.evacuated >= self.quorum && self.evacuated * 2 >= self.announcing && !self.own_serving
    }

    /// Since when a quorum of others, or all of a small fleet, returns to a zone that this member evacuated then.
    pub(crate) fn returned_by_others(&self, evacuated_at: Time) -> Option<Time> {
        let later = || self.returning.iter().filter(|at| **at > evacuated_at);
        if later().count() < self.quorum.min(self.others) {
            return None;
        }
        later().min().copied()
    }

    /// Attempts in a row that were answered since the evacuation, over all members.
    pub(crate) fn served(&self) -> u32 {
        self.served
    }
}
