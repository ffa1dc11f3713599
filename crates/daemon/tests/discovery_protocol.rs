//! Parsing of endpoint lists from discovery: invalid entries, limits on size, and rates.

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
        .expect("a response")
        .expect("a complete response");
    read_response(&response, &platform_settings())
}

const VALID_ENTRY: &str = r#"{"id":"a","addr":"127.0.0.1:1","cell":1,"state":"up","weight":2.5}"#;

/// Guards against losing a list because of one invalid entry, and with it the information which endpoints are draining.
#[test]
fn an_invalid_entry_does_not_invalidate_the_others() {
    for invalid_entry in [
        r#"{"id":"b"}"#,
        "7",
        r#"{"id":"b","addr":"x","cell":1,"state":"odd"}"#,
        r#"{"cell":"x"}"#,
    ] {
        let parsed = parsed(&format!("{invalid_entry},{VALID_ENTRY}")).expect("a list");
        assert_eq!(
            (parsed.listings.len(), parsed.invalid_entries.len()),
            (1, 1),
            "{invalid_entry}"
        );
        assert!(
            parsed.invalid_entries[0]
                .to_string()
                .starts_with("entry 0: "),
            "{:?}",
            parsed.invalid_entries
        );
        assert_eq!(parsed.listings[0].entry.endpoint.0, "a");
    }
    // A list with only invalid entries must not count as a full list without endpoints, whereas an empty list is valid.
    assert!(parsed("7,8").is_err());
    assert!(parsed("").expect("a list").listings.is_empty());
}

#[test]
fn a_weight_that_is_not_a_positive_number_is_ignored() {
    for (weight, rate) in [
        ("2.5", 2.5),
        ("0", 0.0),
        ("-3", 0.0),
        ("null", 0.0),
        (r#""NaN""#, 0.0),
        ("[]", 0.0),
    ] {
        let row = VALID_ENTRY.replace("2.5", weight);
        assert_eq!(
            parsed(&row).expect("a list").listings[0].entry.rate,
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

/// Guards against rejecting a list of the planned size as too large: the general limit of 64 KiB on bodies allows 471 entries.
#[test]
fn a_list_of_the_planned_size_is_read_completely() {
    let body = format!(
        r#"{{"version":4,"full":true,"servers":[{}]}}"#,
        entries(57_000)
    );
    let bytes = http::write_response(200, "OK", &[], &body);
    let limit = max_body_bytes(32_000_000);
    let (response, used) = http::response_within(&bytes, false, limit)
        .expect("a response")
        .expect("a complete response");
    assert_eq!(used, bytes.len());
    let parsed = read_response(&response, &platform_settings()).expect("a list");
    assert_eq!(
        (
            parsed.listings.len(),
            parsed.invalid_entries.len(),
            parsed.excess
        ),
        (57_000, 0, 0)
    );
    assert_eq!(parsed.listings[56_999].entry.endpoint.0, "s-0000dea7");
    // A chunked body is read as well, and the limit applies to both.
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );
    let chunked = http::response_within(chunks.as_bytes(), false, limit)
        .expect("a response")
        .expect("a complete response");
    assert_eq!(chunked.0.body, body.as_bytes());
    for response in [&bytes[..], chunks.as_bytes()] {
        assert_eq!(
            http::response_within(response, false, body.len() - 1),
            Err(http::TOO_LARGE)
        );
    }
}

#[test]
fn entries_beyond_the_limit_are_skipped_and_counted() {
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
    assert_eq!((parsed.listings.len(), parsed.excess), (MAX_ENTRIES, 3));
}

#[test]
fn the_limit_of_a_list_depends_on_memory_and_is_never_below_that_of_other_bodies() {
    assert_eq!(max_body_bytes(32_000_000), 8_000_000);
    assert_eq!(max_body_bytes(0), http::MAX_BODY_BYTES);
    assert_eq!(max_body_bytes(usize::MAX), 16_000_000);
}
