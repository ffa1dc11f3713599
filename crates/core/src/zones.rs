//! Zones left and returned to by the whole fleet: what calls say of them, what members say, and what follows here.

use std::net::SocketAddr;

use cranehill_membership as membership;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{EndpointId, Status};
use cranehill_zone_failover::{Change, Settings, State, ZoneAnnouncement, Zones};

use crate::effect::Effect;
use crate::list::EndpointList;
use crate::reducer::Core;

/// Notes how a call ended, for the zone that it went to.
pub(crate) fn note_zone(
    zones: &mut Zones,
    list: &EndpointList,
    now: Time,
    endpoint: &EndpointId,
    status: Status,
) {
    let answered = match status {
        Status::TimedOut | Status::NoConnection | Status::Reset => false,
        // Whoever refuses, errs or rejects is there.
        Status::Served
        | Status::Error
        | Status::Overloaded
        | Status::RecipientRemoved
        | Status::PermanentError
        | Status::Spoilt => true,
        Status::Dropped | Status::Cancelled | Status::NotSent => return,
    };
    if let Some(zone) = list.zone(endpoint) {
        zones.ended(now, zone, &endpoint.0, answered);
    }
}

impl Core {
    /// Leaves and returns to zones together with the other members.
    pub fn manage_zones(&mut self, settings: Settings) {
        self.zones = Some(Zones::new(settings));
        self.count_zones();
    }

    /// The zones as the fleet sees them, where it does.
    pub fn zone_states(&self) -> Option<Vec<(u32, State)>> {
        self.zones.as_ref().map(|z| z.states().collect())
    }

    pub(crate) fn count_zones(&mut self) {
        let Some(zones) = &mut self.zones else { return };
        zones.listed(self.list.zones());
    }

    /// Before the decisions of a turn: reads what members say, says what there is to say, and sets the gates.
    pub(crate) fn update_zones(&mut self) -> Vec<Effect> {
        let now = self.now;
        let Some((me, payloads)) = self.members().map(|m| (m.me().at, m.payloads())) else {
            return Vec::new();
        };
        let Some(zones) = &mut self.zones else {
            return Vec::new();
        };
        let read = |(at, bytes): (SocketAddr, Vec<u8>)| {
            // What a member of another version says of zones is nothing to go by.
            (
                at,
                postcard::from_bytes::<Vec<ZoneAnnouncement>>(&bytes).unwrap_or_default(),
            )
        };
        let others: Vec<(SocketAddr, Vec<ZoneAnnouncement>)> =
            payloads.into_iter().map(read).collect();
        let changes = zones.look(now, me, &others);
        let announcements = zones.announcements(now, &others);
        let states: Vec<(u32, State)> = zones.states().collect();
        let due = zones.due(now);
        for change in &changes {
            match change {
                Change::Evacuate { zone, .. } | Change::ProbeOver { zone } => {
                    self.scheduler.bar(*zone)
                }
                Change::Probe { zone, pick } => self.scheduler.probe(now, *zone, *pick),
                Change::Return { zone, .. } => self.scheduler.return_to(*zone, false),
                Change::InService { zone } => self.scheduler.unbar(*zone),
            }
        }
        for (zone, state) in states {
            match state {
                State::InService => {}
                State::Evacuated(_) => self.scheduler.bar_new(zone),
                State::Returning(since) => {
                    self.scheduler.return_to(zone, true);
                    self.scheduler.admit_returning(now, zone, since);
                }
            }
        }
        let description = if announcements.is_empty() {
            Vec::new()
        } else {
            postcard::to_stdvec(&announcements).unwrap_or_default()
        };
        let mut effects = self.on_fleet(membership::Input::SetPayload(description));
        effects.extend(changes.into_iter().map(Effect::Zone));
        effects.extend(due.map(Effect::WakeAt));
        effects
    }
}
