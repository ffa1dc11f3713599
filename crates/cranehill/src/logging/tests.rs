//! Tests of the JSON format.

use log::Record;
use log::kv::Value;
use serde_json::Value as Json;

use super::object;

/// Clients choose message ids, so an id must neither end the line nor be read as another field.
#[test]
fn json_line_is_one_object_for_any_value() {
    let id = "a\"\n,\"level\":\"x";
    let values = [
        ("id", Value::from(id)),
        ("offset", Value::from(72u64)),
        ("level", Value::from("forged")),
    ];
    let record = Record::builder()
        .level(log::Level::Warn)
        .target("journal")
        .args(format_args!("removed"))
        .key_values(&values)
        .build();
    let line = object("2026-12-01T00:00:00.000Z", &record).to_string();
    assert_eq!(line.lines().count(), 1);
    let read: Json = serde_json::from_str(&line).expect("an object");
    assert_eq!(
        (read["id"].as_str(), read["offset"].as_u64()),
        (Some(id), Some(72))
    );
    assert_eq!(
        (read["level"].as_str(), read["msg"].as_str()),
        (Some("WARN"), Some("removed"))
    );
}
