//! Quantities in a scenario file, written as strings with a unit: durations, rates and limits.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

use crate::limit::Limit;

/// Why a string is not a valid quantity.
#[derive(Debug, thiserror::Error)]
enum UnitError {
    #[error("'{text}' has no unit: expected ms, s or min")]
    TimeUnitMissing { text: String },
    #[error("'{unit}' is not a unit of time: expected ms, s or min")]
    TimeUnit { unit: String },
    #[error("'{text}' is not a duration such as \"6.5 s\"")]
    Time { text: String },
    #[error("'{text}' is too long for a duration: expected less than 2^64 s")]
    TooLong { text: String },
    #[error("'{text}' is not a rate such as \"26/s\"")]
    Rate { text: String },
    #[error("'{unit}' is not the unit of a rate: expected s or min")]
    RateUnit { unit: String },
    #[error("'{text}' is not a number of calls such as 5")]
    Count { text: String },
    #[error("'{text}' admits no calls: expected a rate or window above 0, and at least 1 call")]
    AdmitsNothing { text: String },
}

/// A duration such as `400 ms`, `6.5 s` or `2 min`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Span(pub(super) Duration);

/// A rate such as `26/s` or `90/min`, converted to events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rate(pub(super) f64);

/// A limit on calls: `none`; a token bucket, such as `4/s` (a burst of 1 call) or `4/s burst 2`; or a count in fixed windows, such
/// as `5 in 1 s`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LimitText(pub(super) Limit);

/// Implements `Deserialize` for a wrapper from a string, with the function that parses it.
macro_rules! from_text {
    ($name:ident, $parse:ident) => {
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                $parse(&text).map($name).map_err(serde::de::Error::custom)
            }
        }
    };
}

from_text!(Span, span);
from_text!(Rate, rate);
from_text!(LimitText, limit);

/// Parses a finite number of at least 0; `None` for any other text.
fn number(text: &str) -> Option<f64> {
    let number = text.trim().parse::<f64>().ok();
    number.filter(|n| n.is_finite() && *n >= 0.0)
}

fn span(text: &str) -> Result<Duration, UnitError> {
    let owned = || text.to_owned();
    let unit_start = text
        .find(|c: char| c.is_ascii_alphabetic())
        .ok_or_else(|| UnitError::TimeUnitMissing { text: owned() })?;
    let (value, unit) = text.split_at(unit_start);
    let seconds_per_unit = match unit.trim() {
        "ms" => 1e-3,
        "s" => 1.0,
        "min" => 60.0,
        other => {
            let unit = other.to_owned();
            return Err(UnitError::TimeUnit { unit });
        }
    };
    let value = number(value).ok_or_else(|| UnitError::Time { text: owned() })?;
    Duration::try_from_secs_f64(value * seconds_per_unit)
        .map_err(|_| UnitError::TooLong { text: owned() })
}

fn rate(text: &str) -> Result<f64, UnitError> {
    let not_a_rate = || UnitError::Rate {
        text: text.to_owned(),
    };
    let (count, unit) = text.split_once('/').ok_or_else(not_a_rate)?;
    let seconds_per_unit = match unit.trim() {
        "s" => 1.0,
        "min" => 60.0,
        other => {
            let unit = other.to_owned();
            return Err(UnitError::RateUnit { unit });
        }
    };
    let count = number(count).ok_or_else(not_a_rate)?;
    Ok(count / seconds_per_unit)
}

fn limit(text: &str) -> Result<Limit, UnitError> {
    let text = text.trim();
    if text == "none" {
        return Ok(Limit::None);
    }
    match text.split_once(" in ") {
        Some((calls, length)) => count_limit(text, calls, length),
        None => rate_limit(text),
    }
}

/// Parses the parts of a count, `calls` in a window of `length`; `text` is the whole limit.
fn count_limit(text: &str, calls: &str, length: &str) -> Result<Limit, UnitError> {
    let calls = calls.trim().parse().map_err(|_| UnitError::Count {
        text: calls.to_owned(),
    })?;
    let span = span(length)?;
    if span.is_zero() || calls == 0 {
        let text = text.to_owned();
        return Err(UnitError::AdmitsNothing { text });
    }
    Ok(Limit::Count { calls, span })
}

/// Parses a token bucket: a rate, and optionally a burst, which may have a fraction.
fn rate_limit(text: &str) -> Result<Limit, UnitError> {
    let (per_second, burst) = match text.split_once(" burst ") {
        None => (rate(text)?, 1.0),
        Some((per_second, burst)) => {
            let not_a_count = || UnitError::Count {
                text: burst.to_owned(),
            };
            (rate(per_second)?, number(burst).ok_or_else(not_a_count)?)
        }
    };
    if per_second <= 0.0 || burst < 1.0 {
        let text = text.to_owned();
        return Err(UnitError::AdmitsNothing { text });
    }
    Ok(Limit::Rate { per_second, burst })
}
