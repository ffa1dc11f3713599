//! Log lines about changes of members and zones.

use cranehill_membership::{MemberState, MemberView};
use cranehill_zone_failover::Change;

use crate::platform_settings::PlatformSettings;

/// Logs that a member's state has changed.
pub(crate) fn log_member(view: &MemberView, before: Option<MemberState>) {
    let (name, state) = (view.member.name.as_str(), view.state.label());
    let before = before.map_or("unknown", MemberState::label);
    log::info!(event = "member", member = name, at:% = view.member.address, incarnation = view.member.incarnation,
        swim_incarnation = view.swim_incarnation, state, before;
        "fleet: {name} at {} is {state}, was {before}", view.member.address);
}

/// Logs that a zone's state has changed. Probe calls are logged at level debug.
pub(crate) fn log_zone(change: &Change, platform_settings: &PlatformSettings) {
    match change {
        Change::Evacuate {
            zone,
            failing_members,
            serving_members,
            min_duration,
        } => {
            let zone = platform_settings.zone_name(*zone);
            log::warn!(event = "zone", zone, state = "evacuated", fails = failing_members, serves = serving_members,
                out_ms = min_duration.as_millis() as u64;
                "zones: {zone} evacuated for at least {min_duration:?}: failing for {failing_members} members, \
                serving {serving_members}");
        }
        Change::Return { zone, .. } => {
            let zone = platform_settings.zone_name(*zone);
            log::info!(event = "zone", zone, state = "recovery-ramp"; "zones: {zone} answers probe calls; recovery ramp started");
        }
        Change::InService { zone } => {
            let zone = platform_settings.zone_name(*zone);
            log::info!(event = "zone", zone, state = "in-service"; "zones: {zone} is back in service");
        }
        Change::Probe { zone, .. } => {
            let zone = platform_settings.zone_name(*zone);
            log::debug!(event = "zone", zone, state = "probe"; "zones: probe call to {zone} permitted");
        }
        Change::ProbeOver { .. } => {}
    }
}
