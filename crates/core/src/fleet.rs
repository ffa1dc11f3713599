//! [`Fleet`]: the membership in a fleet, the zones that the fleet evacuates together, and the recovery after a restart,
//! which requests learned state from other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cranehill_membership::{self as membership, Members};
use cranehill_recovery as recovery;
use cranehill_scheduler::api::{EndpointId, Event, Status};
use cranehill_scheduler::{Scheduler, Time};
use cranehill_zone_failover::{Settings as ZoneSettings, State as ZoneState};

use crate::effect::Effect;
use crate::recovery::RecoveryProgress;
use crate::zones::FleetZones;

/// The state that depends on the other members of the fleet.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// `None` if this sender is not a member of a fleet.
    members: Option<Members>,
    /// `None` if the fleet does not evacuate zones.
    zones: Option<FleetZones>,
    pub(crate) recovery: RecoveryProgress,
    /// The version of the members' payloads that the zones were last updated for.
    payloads_version: u64,
}

impl Fleet {
    /// Joins the fleet. `seed` is that of the random draws of the membership protocol.
    pub(crate) fn join(&mut self, now: Time, settings: membership::Settings, seed: u64) {
        self.members = Some(Members::new(settings, seed, now));
    }

    /// The fleet's members as known to this sender; `None` if it is not a member.
    pub(crate) fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// Enables zone failover: the members decide together which zones to evacuate and when to return to them.
    pub(crate) fn manage_zones(&mut self, settings: ZoneSettings) {
        self.zones = Some(FleetZones::new(settings));
    }

    /// The state of each zone; `None` if zone failover is not enabled.
    pub(crate) fn zone_states(&self) -> Option<Vec<(u32, ZoneState)>> {
        self.zones.as_ref().map(FleetZones::states)
    }

    /// Sets the number of endpoints by zone.
    pub(crate) fn set_zone_endpoint_counts(&mut self, endpoints: &BTreeMap<u32, usize>) {
        if let Some(zones) = &mut self.zones {
            zones.set_endpoint_counts(endpoints);
        }
    }

    /// Records a finished attempt; `zone` is the zone of the endpoint, `None` if it is not listed.
    pub(crate) fn record_attempt(
        &mut self,
        now: Time,
        zone: Option<u32>,
        endpoint: &EndpointId,
        status: Status,
    ) {
        if let (Some(zones), Some(zone)) = (&mut self.zones, zone) {
            zones.record_attempt(now, zone, endpoint, status);
        }
    }

    /// Passes an input to the membership protocol. Events for the scheduler are appended to `events`.
    pub(crate) fn step(
        &mut self,
        now: Time,
        input: membership::Input,
        scheduler: &Scheduler,
        events: &mut Vec<Event>,
    ) -> Vec<Effect> {
        let Some(members) = &mut self.members else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for effect in members.step(now, input) {
            match effect {
                membership::Effect::LearnedStateRequested { by: member } => {
                    effects.extend(self.send_learned_state(now, member, scheduler, events));
                }
                membership::Effect::LearnedStateReceived { by: member, piece } => {
                    effects.extend(self.recovery.on_peer_reply(now, member, &piece));
                }
                membership::Effect::QuotaDivisorChanged(senders) => {
                    events.push(Event::QuotaDivisor(senders));
                    effects.push(Effect::Fleet(effect));
                }
                other => effects.push(Effect::Fleet(other)),
            }
        }
        if self.zones.is_some() {
            let version = self.members.as_ref().map_or(0, Members::payloads_version);
            // The members' zone announcements have changed: requests a tick at once, in which they are evaluated.
            if self.payloads_version != version {
                self.payloads_version = version;
                effects.push(Effect::WakeAt(now));
            }
        }
        effects
    }

    fn send_learned_state(
        &mut self,
        now: Time,
        to: SocketAddr,
        scheduler: &Scheduler,
        events: &mut Vec<Event>,
    ) -> Vec<Effect> {
        let learned_state = scheduler.learned_state();
        let chunks = recovery::encode_chunks(&learned_state, membership::MAX_LEARNED_PIECE_BYTES);
        let input = membership::Input::SendLearnedState { to, chunks };
        self.step(now, input, scheduler, events)
    }

    /// Called before the scheduler decides in a tick: evaluates the zone announcements of all members, applies the
    /// changes to the scheduler, and announces this member's view of the zones.
    pub(crate) fn update_zones(
        &mut self,
        now: Time,
        scheduler: &mut Scheduler,
        events: &mut Vec<Event>,
    ) -> Vec<Effect> {
        let (Some(members), Some(zones)) = (&self.members, &mut self.zones) else {
            return Vec::new();
        };
        let update = zones.update(
            now,
            members.identity().address,
            members.payloads(),
            scheduler,
        );
        let input = membership::Input::SetPayload(update.payload);
        let mut effects = self.step(now, input, scheduler, events);
        effects.extend(update.changes.into_iter().map(Effect::Zone));
        effects.extend(update.next_update.map(Effect::WakeAt));
        effects
    }

    /// Requests learned state from other members, if a request is due.
    pub(crate) fn request_learned_state(
        &mut self,
        now: Time,
        scheduler: &Scheduler,
        events: &mut Vec<Event>,
    ) -> Vec<Effect> {
        let has_peers = self.members.as_ref().is_some_and(|members| {
            members
                .views()
                .any(|view| view.state == membership::MemberState::Alive)
        });
        if !self.recovery.should_ask_peers(now, has_peers) {
            return Vec::new();
        }
        self.step(
            now,
            membership::Input::RequestLearnedState,
            scheduler,
            events,
        )
    }
}
