//! Units in a day's file: spans of time, rates and limits, each written as text.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

use crate::limit::Limit;

/// A span of time with its unit: `400 ms`, `6.5 s`, `2 min`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Span(pub Duration);

/// So many a second: `26/s`, `90/min`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate(pub f64);

/// `none`, `4/s`, `4/s burst 2` or `5 in 1 s`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitText(pub Limit);

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

fn number(text: &str) -> Option<f64> {
    text.trim()
        .parse::<f64>()
        .ok()
        .filter(|n| n.is_finite() && *n >= 0.0)
}

fn span(text: &str) -> Result<Duration, String> {
    let at = text
        .find(|c: char| c.is_ascii_alphabetic())
        .ok_or_else(|| format!("'{text}' has no unit (ms, s, min)"))?;
    let (value, unit) = text.split_at(at);
    let factor = match unit.trim() {
        "ms" => 1e-3,
        "s" => 1.0,
        "min" => 60.0,
        other => return Err(format!("'{other}' is no unit of time (ms, s, min)")),
    };
    let value = number(value).ok_or_else(|| format!("'{text}' is not a time such as \"6.5 s\""))?;
    Duration::try_from_secs_f64(value * factor).map_err(|_| format!("'{text}' is too long"))
}

fn rate(text: &str) -> Result<f64, String> {
    let (count, unit) = text
        .split_once('/')
        .ok_or_else(|| format!("'{text}' is not a rate such as \"26/s\""))?;
    let per = match unit.trim() {
        "s" => 1.0,
        "min" => 60.0,
        other => return Err(format!("'{other}' is not s or min")),
    };
    number(count)
        .map(|n| n / per)
        .ok_or_else(|| format!("'{text}' is not a rate such as \"26/s\""))
}

fn limit(text: &str) -> Result<Limit, String> {
    let text = text.trim();
    if text == "none" {
        return Ok(Limit::None);
    }
    if let Some((calls, length)) = text.split_once(" in ") {
        let calls = calls
            .trim()
            .parse()
            .map_err(|_| format!("'{calls}' is not a count"))?;
        let length = span(length)?;
        if length.is_zero() || calls == 0 {
            return Err(format!("'{text}' takes nothing"));
        }
        return Ok(Limit::Count {
            calls,
            span: length,
        });
    }
    let (per_second, burst) = match text.split_once(" burst ") {
        Some((r, b)) => (
            rate(r)?,
            number(b).ok_or_else(|| format!("'{b}' is not a count"))?,
        ),
        None => (rate(text)?, 1.0),
    };
    if per_second <= 0.0 || burst < 1.0 {
        return Err(format!("'{text}' takes nothing"));
    }
    Ok(Limit::Rate { per_second, burst })
}
