//! Time spans in operators' files.

use std::time::Duration;

use serde::de::{Deserialize, Deserializer, Error};

/// A time span written with its unit, such as `400 ms` or `1 min 30 s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimeSpan(pub(crate) Duration);

impl TimeSpan {
    /// The given span, or `default` milliseconds.
    pub(crate) fn or_millis(given: Option<TimeSpan>, default: u64) -> Duration {
        given.map_or(Duration::from_millis(default), |span| span.0)
    }
}

impl<'de> Deserialize<'de> for TimeSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TimeSpan, D::Error> {
        let text = String::deserialize(deserializer)?;
        let named = |e| D::Error::custom(format!("'{text}' is not a span such as \"400 ms\": {e}"));
        humantime::parse_duration(&text)
            .map(TimeSpan)
            .map_err(named)
    }
}
