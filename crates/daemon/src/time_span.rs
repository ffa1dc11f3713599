//! Operators' files: TOML, with the line of what is wrong.

use std::time::Duration;

use serde::de::{Deserialize, DeserializeOwned, Deserializer, Error};

/// Reads a file's text.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| {
            text[..s.start.min(text.len())].matches('\n').count() + 1
        });
        format!("line {line}: {}", e.message().replace('\n', " "))
    })
}

/// A span of time with its unit, such as `400 ms` or `1 min 30 s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Span, D::Error> {
        let text = String::deserialize(d)?;
        let named = |e| D::Error::custom(format!("'{text}' is not a span such as \"400 ms\": {e}"));
        humantime::parse_duration(&text).map(Span).map_err(named)
    }
}
