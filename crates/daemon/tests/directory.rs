//! The directory's list as it is read off the wire.

use cranehill_daemon::config::Site;
use cranehill_daemon::directory::{Told, read};
use cranehill_daemon::http;
use tansycroft::profile::Profile;

fn site() -> Site {
    let profile: Profile = serde_json::from_str(
        r#"{"classes":[{"name":"n","aim":1,"deadline":2,"effect":"safe","worth":1.0}],
        "familyInfo":{"callsOut":4},"membershipMode":"push","nInstances":300,"tick":1,"rules":{},
        "policyLimits":{"attemptsCap":6,"connIdle":1,"connectTimeout":1,"maxRetryAfter":1,"mostHeld":9}}"#,
    )
    .expect("a profile");
    let names = profile.names();
    Site::new(profile.into_settings().expect("settings"), names)
}

fn told(servers: &str) -> Result<Told, String> {
    let body = format!(r#"{{"version":4,"full":true,"servers":[{servers}]}}"#);
    let bytes = http::write_response(200, "OK", &[], &body);
    let (response, _) = http::response(&bytes, true).expect("an answer").expect("whole");
    read(&response, &site())
}

const GOOD: &str = r#"{"id":"a","addr":"127.0.0.1:1","cell":1,"state":"up","weight":2.5}"#;

/// One row that could not be read had the whole list thrown away, and with it what it told of drains.
#[test]
fn an_entry_that_cannot_be_read_costs_no_other() {
    for bad in [r#"{"id":"b"}"#, "7", r#"{"id":"b","addr":"x","cell":1,"state":"odd"}"#, r#"{"cell":"x"}"#] {
        let told = told(&format!("{bad},{GOOD}")).expect("a list");
        assert_eq!((told.list.len(), told.unread.len()), (1, 1), "{bad}");
        assert!(told.unread[0].starts_with("entry 0: "), "{:?}", told.unread);
        assert_eq!(told.list[0].entry.endpoint.0, "a");
    }
    // Nothing that can be read must not become a whole list of nothing; an empty one is one.
    assert!(told("7,8").is_err());
    assert!(told("").expect("a list").list.is_empty());
}

#[test]
fn a_weight_that_is_no_rate_is_left_unused() {
    for (weight, rate) in
        [("2.5", 2.5), ("0", 0.0), ("-3", 0.0), ("null", 0.0), (r#""NaN""#, 0.0), ("[]", 0.0)]
    {
        let row = GOOD.replace("2.5", weight);
        assert_eq!(told(&row).expect("a list").list[0].entry.rate, rate, "{weight}");
    }
}
