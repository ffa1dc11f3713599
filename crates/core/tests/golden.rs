//! Golden files of the state files that the reducer leaves for the next process, as written by earlier builds. Time is
//! virtual, so the bytes are the same in each run.

#[path = "../../recovery/tests/common/golden_file.rs"]
mod golden_file;

use std::time::Duration;

use cranehill_core::{Core, Detachments, Effect, Input, Listing};
use cranehill_recovery::{MaxAges, Settings};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry};
use cranehill_scheduler::profile::Profile;

const DETACHED: &str = "detached.json";
const LEARNED_STATE: &str = "learned-state.bin";
const LEARNED_STATE_RESTORED: &str = "learned-state-restored.bin";
const SETTINGS: &str = r#"{"classes":[{"aim":4000000000,"deadline":20000000000,"dedupScope":"all","effect":"keyed","lateShare":0.4,"name":"episode-notice","window":20000000000,"worth":1.0}],
"familyInfo":{"callsOut":8,"kindApart":[false,false],"losesWorth":"halving","perCall":[5,1]},"membershipMode":"push","models":["bulk-directory","station"],"nInstances":1,
"policyLimits":{"attemptsCap":6,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":64,"probes":true,"retryAfter":true},
"rules":{"cold":9100000000,"coldFrom":0.23,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000},
"tenants":[{"name":"onda-central","quotaRps":10.0}],"tick":5000000,"weightKind":"rough","zone":0,"zones":["sanjose-1"]}"#;
const START: Time = Time(1_700_000_005_000_000_000);

fn listing(endpoint: &str, destination: u64) -> Listing {
    let endpoint = EndpointId(endpoint.into());
    let entry = Entry {
        endpoint,
        destination: DestinationId(destination),
        condition: Condition::Ready,
        zone: 0,
        kind: 0,
        rate: 0.0,
    };
    Listing {
        entry,
        address: "127.0.0.1:1".into(),
    }
}

fn core_with_endpoints() -> Core {
    let profile: Profile = serde_json::from_str(SETTINGS).expect("settings");
    let mut core =
        Core::new(profile.into_settings().expect("settings"), 1, START).expect("settings");
    let list = vec![listing("a/1 %", 7), listing("b", 7), listing("ü", 0)];
    core.step(START, Input::EndpointsChanged { whole: true, list });
    core
}

fn detach(core: &mut Core, now: Time, endpoint: &str, attach: bool) -> Detachments {
    let effects = core.step(
        now,
        Input::Detach {
            connection: 1,
            endpoint: endpoint.into(),
            attach,
        },
    );
    let detached = effects.into_iter().find_map(|effect| match effect {
        Effect::Detached {
            known: true,
            detachments,
            ..
        } => Some(detachments),
        _ => None,
    });
    detached.expect("the endpoint is known")
}

fn expected_detachments() -> Detachments {
    let attached_at = START + Duration::from_secs(2);
    Detachments {
        out: vec!["a/1 %".into(), "ü".into()],
        back: vec![("b".into(), attached_at.0)],
    }
}

#[test]
fn detached_endpoints_are_written_unchanged() {
    let mut core = core_with_endpoints();
    for endpoint in ["ü", "b", "a/1 %"] {
        detach(&mut core, START + Duration::from_secs(1), endpoint, false);
    }
    let detached = detach(&mut core, START + Duration::from_secs(2), "b", true);
    assert_eq!(detached, expected_detachments());
    golden_file::assert_unchanged(DETACHED, serde_json::json!(detached).to_string().as_bytes());
}

#[test]
fn detached_endpoints_are_read_unchanged() {
    let detached: Detachments =
        serde_json::from_slice(&golden_file::read(DETACHED)).expect("readable");
    assert_eq!(detached, expected_detachments());
    let mut core = core_with_endpoints();
    core.step(START + Duration::from_secs(3), Input::TimerFired);
    core.restore_detachments(detached);
    // Detaching a detached endpoint changes nothing; the answer lists the restored detachments.
    let restored = detach(&mut core, START + Duration::from_secs(3), "ü", false);
    assert_eq!(restored, expected_detachments());
}

#[test]
fn learned_state_is_restored_and_written_unchanged() {
    let mut core = core_with_endpoints();
    let bounds = MaxAges {
        window: Duration::from_secs(60),
        limit: Duration::from_secs(60),
        state: Duration::from_secs(60),
        max_clock_difference: Duration::from_secs(5),
    };
    let settings = Settings {
        bounds,
        request_interval: Duration::from_millis(500),
        peer_timeout: Duration::from_secs(2),
        persist_interval: Duration::from_secs(1),
    };
    core.start_recovery(settings);
    core.step(
        START,
        Input::LearnedStateRestored(golden_file::read(LEARNED_STATE)),
    );
    let effects = core.step(START, Input::TickEnded);
    let written = effects.into_iter().find_map(|effect| match effect {
        Effect::PersistLearnedState(bytes) => Some(bytes),
        _ => None,
    });
    let written = written.expect("learned state is persisted in the first tick");
    golden_file::assert_unchanged(LEARNED_STATE_RESTORED, &written);
    let restored = cranehill_recovery::decode_state_file(&written).expect("readable");
    let blocked_routes: Vec<_> = restored
        .iter()
        .map(|learned| (learned.destination, learned.blocked_until))
        .collect();
    assert_eq!(blocked_routes, [(0, Some(Time(1_700_000_060_000_000_000)))]);
}
