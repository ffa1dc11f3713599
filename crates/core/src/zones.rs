//! [`FleetZones`]: applies the fleet's zone failover decisions to the scheduler.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cranehill_scheduler::api::{EndpointId, Status};
use cranehill_scheduler::{Scheduler, Time};
use cranehill_zone_failover::{
    Change, MemberAnnouncements, Settings, State, ZoneAnnouncement, Zones,
};

/// The result of an update of the zones.
pub(crate) struct ZoneUpdate {
    /// Encoded announcement of this member to the others; empty if it has none.
    pub(crate) payload: Vec<u8>,
    pub(crate) changes: Vec<Change>,
    /// When to update again, even without new announcements.
    pub(crate) next_update: Option<Time>,
}

/// The zone failover state of this member.
#[derive(Debug)]
pub(crate) struct FleetZones {
    zones: Zones,
}

impl FleetZones {
    /// Creates the state without zones.
    pub(crate) fn new(settings: Settings) -> FleetZones {
        FleetZones {
            zones: Zones::new(settings),
        }
    }

    /// The state of each zone.
    pub(crate) fn states(&self) -> Vec<(u32, State)> {
        self.zones.states().collect()
    }

    /// Sets the number of endpoints by zone.
    pub(crate) fn set_endpoint_counts(&mut self, endpoints: &BTreeMap<u32, usize>) {
        self.zones.set_endpoint_counts(endpoints);
    }

    /// Records a finished attempt to an endpoint of the zone. Attempts that ended for a reason of this sender are
    /// ignored.
    pub(crate) fn record_attempt(
        &mut self,
        now: Time,
        zone: u32,
        endpoint: &EndpointId,
        status: Status,
    ) {
        let answered = match status {
            Status::TimedOut | Status::NoConnection | Status::Reset => false,
            // An answer with an error still shows that the zone is reachable.
            Status::Served
            | Status::Error
            | Status::Overloaded
            | Status::RecipientRemoved
            | Status::PermanentError
            | Status::Malformed => true,
            Status::IdleConnectionBroken | Status::Cancelled | Status::NotSent => return,
        };
        self.zones.record_attempt(now, zone, &endpoint.0, answered);
    }

    /// Called before the scheduler decides in a tick: evaluates the payloads of the other members, and applies the
    /// changes to the scheduler.
    pub(crate) fn update(
        &mut self,
        now: Time,
        me: SocketAddr,
        payloads: Vec<(SocketAddr, Vec<u8>)>,
        scheduler: &mut Scheduler,
    ) -> ZoneUpdate {
        let others: Vec<MemberAnnouncements> = payloads
            .into_iter()
            .map(|(member, bytes)| MemberAnnouncements {
                member,
                zones: decode(&bytes),
            })
            .collect();
        let changes = self.zones.evaluate(now, me, &others);
        let announcements = self.zones.announcements(now, &others);
        for change in &changes {
            apply_change(now, change, scheduler);
        }
        for (zone, state) in self.zones.states() {
            apply_state(now, zone, state, scheduler);
        }
        ZoneUpdate {
            payload: encode(&announcements),
            changes,
            next_update: self.zones.next_evaluation(now),
        }
    }
}

/// Decodes a member's payload. An undecodable payload, of a member of another version, counts as empty.
fn decode(payload: &[u8]) -> Vec<ZoneAnnouncement> {
    postcard::from_bytes(payload).unwrap_or_default()
}

fn encode(announcements: &[ZoneAnnouncement]) -> Vec<u8> {
    if announcements.is_empty() {
        return Vec::new();
    }
    postcard::to_stdvec(announcements).unwrap_or_default()
}

fn apply_change(now: Time, change: &Change, scheduler: &mut Scheduler) {
    match change {
        Change::Evacuate { zone, .. } | Change::ProbeOver { zone } => {
            scheduler.evacuate_zone(*zone);
        }
        Change::Probe {
            zone,
            endpoint_selector,
        } => scheduler.admit_probe_call(now, *zone, *endpoint_selector),
        Change::Return { zone, .. } => scheduler.start_recovery_ramp(*zone, false),
        Change::InService { zone } => scheduler.open_zone_gates(*zone),
    }
}

/// Applies a zone's state to endpoints that were listed after the state began, and continues the recovery ramp of a
/// zone that is returned to.
fn apply_state(now: Time, zone: u32, state: State, scheduler: &mut Scheduler) {
    match state {
        State::InService => {}
        State::Evacuated(_) => scheduler.evacuate_new_endpoints(zone),
        State::Returning(since) => {
            scheduler.start_recovery_ramp(zone, true);
            scheduler.refill_zone_gates(now, zone, since);
        }
    }
}
