//! The directory's list as it is read off the wire.

use cranehill_daemon::config::PlatformSettings;
use cranehill_daemon::discovery_protocol::{
    ListError, MAX_ENTRIES, ParsedList, max_body_bytes, read_response,
};
use cranehill_daemon::http;
use cranehill_scheduler::profile::Profile;

fn platform_settings() -> PlatformSettings {
    let profile: Profile = serde_json::from_str(
        r#"{"classes":[{"name":"n","aim":1,"deadline":2,"effect":"safe","worth":1.0}],
        "familyInfo":{"callsOut":4},"membershipMode":"push","nInstances":300,"tick":1,"rules":{},
        "policyLimits":{"attemptsCap":6,"connIdle":1,"connectTimeout":1,"maxRetryAfter":1,"mostHeld":9}}"#,
    )
    .expect("a profile");
    let names = profile.names();
    PlatformSettings::new(profile.into_settings().expect("settings"), names)
}

fn parsed(servers: &str) -> Result<ParsedList, ListError> {
    let body = format!(r#"{{"version":4,"full":true,"servers":[{servers}]}}"#);
    let bytes = http::write_response(200, "OK", &[], &body);
    let (response, _) = http::response(&bytes, true)
        .expect("an answer")
        .expect("whole");
    read_response(&response, &platform_settings())
}

const GOOD: &str = r#"{"id":"a","addr":"127.0.0.1:1","cell":1,"state":"up","weight":2.5}"#;

/// One row that could not be read had the whole list thrown away, and with it what it told of drains.
#[test]
fn an_entry_that_cannot_be_read_costs_no_other() {
    for bad in [
        r#"{"id":"b"}"#,
        "7",
        r#"{"id":"b","addr":"x","cell":1,"state":"odd"}"#,
        r#"{"cell":"x"}"#,
    ] {
        let parsed = parsed(&format!("{bad},{GOOD}")).expect("a list");
        assert_eq!((parsed.list.len(), parsed.unread.len()), (1, 1), "{bad}");
        assert!(
            parsed.unread[0].to_string().starts_with("entry 0: "),
            "{:?}",
            parsed.unread
        );
        assert_eq!(parsed.list[0].entry.endpoint.0, "a");
    }
    // Nothing that can be read must not become a whole list of nothing; an empty one is one.
    assert!(parsed("7,8").is_err());
    assert!(parsed("").expect("a list").list.is_empty());
}

#[test]
fn a_weight_that_is_no_rate_is_left_unused() {
    for (weight, rate) in [
        ("2.5", 2.5),
        ("0", 0.0),
        ("-3", 0.0),
        ("null", 0.0),
        (r#""NaN""#, 0.0),
        ("[]", 0.0),
    ] {
        let row = GOOD.replace("2.5", weight);
        assert_eq!(
            parsed(&row).expect("a list").list[0].entry.rate,
            rate,
            "{weight}"
        );
    }
}

fn entries(count: usize) -> String {
    let entry = |n: usize| {
        format!(
            r#"{{"id":"s-{n:08x}","addr":"127.0.0.1:{}","zone":"z-1","kind":"m2","cell":{n},"state":"up","weight":1.0,"started_ms":0}}"#,
            1024 + n % 60_000
        )
    };
    (0..count).map(entry).collect::<Vec<_>>().join(",")
}

/// A list of the planned size was refused as too large: the bound of 64 KiB on bodies left room for 471 entries.
#[test]
fn a_list_of_the_planned_size_is_read_whole() {
    let body = format!(
        r#"{{"version":4,"full":true,"servers":[{}]}}"#,
        entries(57_000)
    );
    let bytes = http::write_response(200, "OK", &[], &body);
    let most = max_body_bytes(32_000_000);
    let (response, used) = http::response_within(&bytes, false, most)
        .expect("an answer")
        .expect("whole");
    assert_eq!(used, bytes.len());
    let parsed = read_response(&response, &platform_settings()).expect("a list");
    assert_eq!(
        (parsed.list.len(), parsed.unread.len(), parsed.excess),
        (57_000, 0, 0)
    );
    assert_eq!(parsed.list[56_999].entry.endpoint.0, "s-0000dea7");
    // In chunks as well, and no larger than the bound.
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );
    let whole = http::response_within(chunks.as_bytes(), false, most)
        .expect("an answer")
        .expect("whole");
    assert_eq!(whole.0.body, body.as_bytes());
    for answer in [&bytes[..], chunks.as_bytes()] {
        assert_eq!(
            http::response_within(answer, false, body.len() - 1),
            Err(http::TOO_LARGE)
        );
    }
}

#[test]
fn entries_beyond_the_bound_are_left_out_and_counted() {
    let response = http::Response {
        status: 200,
        headers: Vec::new(),
        body: format!(
            r#"{{"version":4,"full":true,"servers":[{}]}}"#,
            entries(MAX_ENTRIES + 3)
        )
        .into_bytes(),
        close: false,
    };
    let parsed = read_response(&response, &platform_settings()).expect("a list");
    assert_eq!((parsed.list.len(), parsed.excess), (MAX_ENTRIES, 3));
}

#[test]
fn a_list_may_take_a_part_of_the_memory_and_never_less_than_other_bodies() {
    assert_eq!(max_body_bytes(32_000_000), 8_000_000);
    assert_eq!(max_body_bytes(0), http::MAX_BODY_BYTES);
    assert_eq!(max_body_bytes(usize::MAX), 16_000_000);
}
