//! The JSON status page for operators: this sender's view of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_core::Core;
use cranehill_membership::MemberView;
use cranehill_recovery::Phase;
use cranehill_scheduler::Time;
use cranehill_zone_failover::State as ZoneState;
use serde_json::{Value, json};

use crate::http;
use crate::platform_settings::PlatformSettings;

/// Encodes the HTTP response with this sender's view of the fleet; 404 if it is not in a fleet.
pub(crate) fn write_status(
    core: &Core,
    platform_settings: &PlatformSettings,
    now: Time,
) -> Vec<u8> {
    let Some(members) = core.members() else {
        return http::write_response(404, "Not Found", &[], "");
    };
    let me = members.identity();
    let views: Vec<Value> = members.views().map(|view| member_json(view, now)).collect();
    let dropped: BTreeMap<&str, u64> = members
        .dropped_packets()
        .map(|(reason, packets)| (reason.label(), packets))
        .collect();
    let (pending, reports) = core.pending_and_report_counts();
    let zones = core.zone_states();
    let body = json!({"name": me.name, "at": me.address.to_string(), "life": me.incarnation, "senders": members.quota_divisor(),
        "members": views, "refused": dropped, "held": pending, "reports": reports,
        "zones": zones.map(|states| zones_json(&states, platform_settings, now)),
        "recovery": core.recovery_phase().map(|phase| phase_json(phase, now))});
    let headers = [
        ("Content-Type", "application/json".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    http::write_response(200, "OK", &headers, &format!("{body}\n"))
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn member_json(view: &MemberView, now: Time) -> Value {
    let MemberView {
        member,
        swim_incarnation,
        state,
        since,
    } = view;
    json!({"name": member.name, "at": member.address.to_string(), "life": member.incarnation, "incarnation": swim_incarnation,
        "state": state.label(), "age_ms": millis(now - *since)})
}

fn zones_json(
    states: &[(u32, ZoneState)],
    platform_settings: &PlatformSettings,
    now: Time,
) -> Value {
    let zone_json = |(zone, state): &(u32, ZoneState)| {
        let (label, since) = match state {
            ZoneState::InService => ("free", None),
            ZoneState::Evacuated(since) => ("left", Some(*since)),
            ZoneState::Returning(since) => ("returning", Some(*since)),
        };
        json!({"zone": platform_settings.zone_name(*zone), "state": label,
            "for_ms": since.map(|since| millis(now - since))})
    };
    states.iter().map(zone_json).collect()
}

fn phase_json(phase: Phase, now: Time) -> Value {
    match phase {
        Phase::Recovering { since } => {
            json!({"state": "recovering", "for_ms": millis(now - since)})
        }
        Phase::Full {
            recovery_duration,
            since,
        } => {
            json!({"state": "full", "took_ms": millis(recovery_duration), "for_ms": millis(now - since)})
        }
    }
}
