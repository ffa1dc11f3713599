//! [`Zones`]: the state of all zones for this member.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::announcement::{MemberAnnouncements, State, View, ZoneAnnouncement};
use crate::settings::Settings;
use crate::tally::Tally;
use crate::zone::{Change, Evaluation, Zone};

/// Limit on the number of announced zones: the announcements must fit into a member's payload.
const MAX_ANNOUNCED_ZONES: usize = 16;
/// Interval at which the state is evaluated while a zone is not in normal use, or a quorum sees it fail.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// The state of all zones for this member.
#[derive(Debug)]
pub struct Zones {
    settings: Settings,
    zones: BTreeMap<u32, Zone>,
}

impl Zones {
    /// Creates the state without zones.
    pub fn new(settings: Settings) -> Zones {
        Zones {
            settings,
            zones: BTreeMap::new(),
        }
    }

    /// Sets the number of listed endpoints by zone. Zones without endpoints are removed, except those that are
    /// evacuated or being returned to.
    pub fn set_endpoint_counts(&mut self, endpoints: &BTreeMap<u32, usize>) {
        for (&number, &count) in endpoints {
            let zone = self.zones.entry(number);
            let zone = zone.or_insert_with(|| Zone::new(number));
            zone.set_endpoint_count(count);
        }
        self.zones.retain(|number, zone| {
            endpoints.contains_key(number) || zone.state() != State::InService
        });
    }

    /// Records a finished attempt of this member; `answered` is whether any answer was received, even an error. Ignored
    /// for an unknown zone.
    pub fn record_attempt(&mut self, now: Time, zone: u32, endpoint: &str, answered: bool) {
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.record_attempt(now, endpoint, answered);
        }
    }

    /// The state of each zone.
    pub fn states(&self) -> impl Iterator<Item = (u32, State)> {
        self.zones
            .iter()
            .map(|(number, zone)| (*number, zone.state()))
    }

    /// This member's announcements. Zones in normal use are omitted unless this member sees them fail, or sees them
    /// serve while others report a failure.
    pub fn announcements(
        &mut self,
        now: Time,
        others: &[MemberAnnouncements],
    ) -> Vec<ZoneAnnouncement> {
        let mut announcements = Vec::new();
        for (&number, zone) in &mut self.zones {
            let announcement = zone.announcement(now, &self.settings);
            let is_suspected = others.iter().flat_map(|other| &other.zones).any(|theirs| {
                theirs.zone == number && (theirs.view == View::Failing || theirs.is_evacuated())
            });
            if !announcement.can_be_omitted(is_suspected)
                && announcements.len() < MAX_ANNOUNCED_ZONES
            {
                announcements.push(announcement);
            }
        }
        announcements
    }

    /// When to evaluate again even without new announcements; `None` if no state can change as time passes.
    pub fn next_evaluation(&self, now: Time) -> Option<Time> {
        let has_timer = self.zones.values().any(Zone::has_timer);
        has_timer.then(|| now + EVALUATION_INTERVAL)
    }

    /// Evaluates the announcements of all live members. `me` is this member's address. Returns the changes for this
    /// member.
    pub fn evaluate(
        &mut self,
        now: Time,
        me: SocketAddr,
        others: &[MemberAnnouncements],
    ) -> Vec<Change> {
        let own = self.announcements(now, others);
        let mut changes = Vec::new();
        for (&number, zone) in &mut self.zones {
            changes.extend(zone.evaluate(&Evaluation {
                now,
                settings: &self.settings,
                me,
                others,
                tally: Tally::new(number, &own, others),
            }));
        }
        changes
    }
}
