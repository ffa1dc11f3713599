//! Destinations' endpoints as the platform speaks to them: a call's bytes, and what its answer says of each
//! message in it. Pure; the reactor owns the connections.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Report, Status};
use serde::{Deserialize, Serialize};

use crate::http::{self, Response, header};
use cranehill_core::Attempt;

/// What an answer says of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub status: Status,
    /// Nothing more is owed.
    pub over: bool,
}

impl Verdict {
    pub const fn of(status: Status) -> Verdict {
        Verdict {
            status,
            over: false,
        }
    }
}

/// What an answer says: of each message in the call, in order, and of the destination.
#[derive(Clone, Debug)]
pub struct DestinationResponse {
    pub verdicts: Vec<Verdict>,
    pub wait: Option<Duration>,
    pub report: Option<Report>,
}

#[derive(Serialize)]
struct Item {
    id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    body: String,
}

#[derive(Deserialize)]
struct State {
    id: String,
    state: String,
}

/// The bytes of a call with these messages.
pub fn call(host: &str, attempts: &[Attempt], now: Time) -> Vec<u8> {
    let longest = attempts
        .iter()
        .map(|a| a.until - now)
        .max()
        .unwrap_or_default();
    let remaining = ("X-Remaining", format!("{}m", longest.as_millis().max(1)));
    if let [one] = attempts {
        let mut headers = vec![("X-Txn", one.id.clone())];
        headers.extend(one.key.iter().map(|k| ("Idempotency-Key", k.clone())));
        headers.push(remaining);
        return http::write_request("POST", "/hook", host, &headers, &one.body);
    }
    let item = |a: &Attempt| Item {
        id: a.id.clone(),
        key: a.key.clone(),
        body: STANDARD.encode(&a.body),
    };
    let items: Vec<Item> = attempts.iter().map(item).collect();
    let body = serde_json::to_vec(&items).unwrap_or_default();
    let headers = [("Content-Type", "application/json".to_owned()), remaining];
    http::write_request("POST", "/hook/batch", host, &headers, &body)
}

fn report(response: &Response) -> Option<Report> {
    let text = header(&response.headers, http::INFORMS)?;
    let (mut left, mut limit) = (None, None);
    for (name, value) in text.split(',').filter_map(|p| p.split_once('=')) {
        let value: Option<f64> = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        match name.trim() {
            "x0" => left = value,
            "x1" => limit = value,
            _ => {}
        }
    }
    // A share and a rate: what can be neither was spoilt on the way.
    let (left, limit) = (left?, limit?);
    ((0.0..=10.0).contains(&left) && (0.0..=1e6).contains(&limit)).then_some(Report { left, limit })
}

/// Reads the answer to a call with these messages.
pub fn read(response: &Response, ids: &[&str], unix_now: Duration) -> DestinationResponse {
    let wait = http::retry_after(&response.headers, unix_now);
    let not_sent = header(&response.headers, "x-no-slot").is_some_and(|v| v == "1");
    let all = match response.status {
        200 if ids.len() > 1 => return states(response, ids, wait),
        200 => Verdict {
            status: Status::Served,
            over: true,
        },
        429 => Verdict::of(Status::Overloaded),
        503 if not_sent => Verdict::of(Status::NotSent),
        503 => Verdict::of(Status::Overloaded),
        504 => Verdict::of(Status::NotSent),
        410 => Verdict {
            status: Status::NotSent,
            over: true,
        },
        // The destination could not read it, and will not read it better the next time.
        400 | 413 => Verdict::of(Status::PermanentError),
        // 500, and what the page does not name: it may have been executed.
        _ => Verdict::of(Status::Error),
    };
    DestinationResponse {
        verdicts: vec![all; ids.len()],
        wait,
        report: report(response),
    }
}

fn states(response: &Response, ids: &[&str], wait: Option<Duration>) -> DestinationResponse {
    let states: Vec<State> = match serde_json::from_slice(&response.body) {
        Ok(states) => states,
        Err(e) => {
            log::info!(
                "the answer to a call of {} messages is not readable: {e}",
                ids.len()
            );
            return DestinationResponse {
                verdicts: vec![Verdict::of(Status::Spoilt); ids.len()],
                wait,
                report: None,
            };
        }
    };
    let verdict = |id: &&str| match states
        .iter()
        .find(|s| s.id == **id)
        .map(|s| s.state.as_str())
    {
        Some("done") => Verdict {
            status: Status::Served,
            over: true,
        },
        Some("busy") => Verdict::of(Status::Overloaded),
        Some("void") => Verdict {
            status: Status::NotSent,
            over: true,
        },
        Some("used_up") => Verdict::of(Status::NotSent),
        // `failed`, or not told: it may have been executed.
        _ => Verdict::of(Status::Error),
    };
    DestinationResponse {
        verdicts: ids.iter().map(verdict).collect(),
        wait,
        report: report(response),
    }
}
