//! [`Zones`]: all zones as this member sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::announcement::{MemberAnnouncements, State, View, ZoneAnnouncement};
use crate::settings::Settings;
use crate::tally::Tally;
use crate::zone::{Change, Evaluation, Zone};

/// Zones announced at most: announcements must fit into a member's payload.
const MAX_ANNOUNCED_ZONES: usize = 16;
/// While a zone is not in normal use, its state is evaluated this often.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// All zones as this member sees them.
#[derive(Debug)]
pub struct Zones {
    settings: Settings,
    zones: BTreeMap<u32, Zone>,
}

impl Zones {
    /// No zone yet.
    pub fn new(settings: Settings) -> Zones {
        Zones {
            settings,
            zones: BTreeMap::new(),
        }
    }

    /// How many endpoints are listed in each zone. Zones without endpoints are forgotten unless they are evacuated or
    /// returned to.
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

    /// An attempt of this member has finished, with whatever answer or with none.
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

    /// What this member announces: nothing of zones in normal use that nobody reports to fail.
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
            if !announcement.is_unremarkable(is_suspected)
                && announcements.len() < MAX_ANNOUNCED_ZONES
            {
                announcements.push(announcement);
            }
        }
        announcements
    }

    /// When to evaluate again even if nothing is received.
    pub fn next_evaluation(&self, now: Time) -> Option<Time> {
        let has_timer = self.zones.values().any(Zone::has_timer);
        has_timer.then(|| now + EVALUATION_INTERVAL)
    }

    /// Evaluates the announcements of all present members. `me` is this member's address. Returns what changes for it.
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
