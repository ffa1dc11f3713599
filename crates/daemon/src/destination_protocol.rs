//! The HTTP protocol of destinations: encoding a call, and decoding its response into a result for each message. No I/O; the
//! reactor owns the connections.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{LoadReport, Status};
use serde::{Deserialize, Serialize};

use crate::http::{self, Response, header};
use cranehill_core::Attempt;

/// The result of an attempt according to the destination's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Status of the attempt.
    pub status: Status,
    /// The message is completed: no further attempt is made.
    pub completed: bool,
}

impl Verdict {
    /// A verdict with this status that does not complete the message.
    pub const fn of(status: Status) -> Verdict {
        Verdict {
            status,
            completed: false,
        }
    }
}

/// A decoded response: a verdict for each message of the call, in order, and what applies to the destination.
#[derive(Clone, Debug)]
pub struct DestinationResponse {
    /// One verdict for each message of the call, or a single one for all of them.
    pub verdicts: Vec<Verdict>,
    /// The wait stated by `Retry-After`, from when the response was read.
    pub retry_after: Option<Duration>,
    /// The destination's load report, if the response carries a valid one.
    pub report: Option<LoadReport>,
    /// False if the response can't be the one to this call: the list of results can't be decoded, or has a message that the call
    /// does not have. Its connection must not be used again, since the response to this call may still arrive there.
    pub is_of_call: bool,
}

impl DestinationResponse {
    /// One verdict for all messages of a call, without `Retry-After` or load report.
    pub fn all(verdict: Verdict) -> DestinationResponse {
        DestinationResponse {
            verdicts: vec![verdict],
            retry_after: None,
            report: None,
            is_of_call: true,
        }
    }
}

/// A message in the JSON body of a call with several messages.
#[derive(Serialize)]
struct BatchItem {
    id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    body: String,
}

/// The result of one message in the JSON response to a call with several messages.
#[derive(Deserialize)]
struct ItemState {
    id: String,
    state: String,
}

/// Encodes a call to `host` with these attempts. `X-Remaining` states the longest remaining time of the attempts.
pub fn write_call(host: &str, attempts: &[Attempt], now: Time) -> Vec<u8> {
    let longest = attempts
        .iter()
        .map(|a| a.times_out_at - now)
        .max()
        .unwrap_or_default();
    let remaining = ("X-Remaining", format!("{}m", longest.as_millis().max(1)));
    if let [one] = attempts {
        let mut headers = vec![("X-Txn", one.id.clone())];
        headers.extend(
            one.idempotency_key
                .iter()
                .map(|k| ("Idempotency-Key", k.clone())),
        );
        headers.push(remaining);
        return http::write_request("POST", "/hook", host, &headers, &one.body);
    }
    let item = |a: &Attempt| BatchItem {
        id: a.id.clone(),
        key: a.idempotency_key.clone(),
        body: STANDARD.encode(&a.body),
    };
    let items: Vec<BatchItem> = attempts.iter().map(item).collect();
    let body = serde_json::to_vec(&items).unwrap_or_default();
    let headers = [("Content-Type", "application/json".to_owned()), remaining];
    http::write_request("POST", "/hook/batch", host, &headers, &body)
}

/// The load report in the response's headers; `None` if it is absent or not valid.
fn load_report(response: &Response) -> Option<LoadReport> {
    let text = header(&response.headers, http::LOAD_REPORT_HEADER)?;
    let (mut remaining_share, mut limit) = (None, None);
    for (name, value) in text.split(',').filter_map(|p| p.split_once('=')) {
        let value: Option<f64> = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        match name.trim() {
            "x0" => remaining_share = value,
            "x1" => limit = value,
            _ => {}
        }
    }
    // `remaining_share` is a fraction and `limit` a rate; values out of these ranges are corrupt.
    let (remaining_share, limit) = (remaining_share?, limit?);
    ((0.0..=10.0).contains(&remaining_share) && (0.0..=1e6).contains(&limit)).then_some(
        LoadReport {
            remaining_share,
            limit,
        },
    )
}

/// Decodes the response to a call with the messages `ids`. `unix_now` is the time since 1970, for `Retry-After` dates.
pub fn read_response(response: &Response, ids: &[&str], unix_now: Duration) -> DestinationResponse {
    let wait = http::retry_after(&response.headers, unix_now);
    let not_sent = header(&response.headers, "x-no-slot").is_some_and(|v| v == "1");
    let all = match response.status {
        200 if ids.len() > 1 => return read_batch_response(response, ids, wait),
        200 => Verdict {
            status: Status::Served,
            completed: true,
        },
        429 => Verdict::of(Status::Overloaded),
        503 if not_sent => Verdict::of(Status::NotSent),
        503 => Verdict::of(Status::Overloaded),
        504 => Verdict::of(Status::NotSent),
        410 => Verdict {
            status: Status::NotSent,
            completed: true,
        },
        // The destination could not parse the request; a retry would fail in the same way.
        400 | 413 => Verdict::of(Status::PermanentError),
        // 500, and statuses that the protocol does not define: the message is possibly executed.
        _ => Verdict::of(Status::Error),
    };
    DestinationResponse {
        verdicts: vec![all; ids.len()],
        retry_after: wait,
        report: load_report(response),
        is_of_call: true,
    }
}

/// Decodes the JSON list of results in the response to a call with several messages.
fn read_batch_response(
    response: &Response,
    ids: &[&str],
    wait: Option<Duration>,
) -> DestinationResponse {
    let states: Vec<ItemState> = match serde_json::from_slice(&response.body) {
        Ok(states) => states,
        Err(e) => {
            log::info!(
                "destination: the response to a call with {} messages can't be decoded: {e}",
                ids.len()
            );
            return DestinationResponse {
                verdicts: vec![Verdict::of(Status::Malformed); ids.len()],
                retry_after: wait,
                report: None,
                is_of_call: false,
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
            completed: true,
        },
        Some("busy") => Verdict::of(Status::Overloaded),
        Some("void") => Verdict {
            status: Status::NotSent,
            completed: true,
        },
        Some("used_up") => Verdict::of(Status::NotSent),
        // `failed`, or not listed: the message is possibly executed.
        _ => Verdict::of(Status::Error),
    };
    DestinationResponse {
        verdicts: ids.iter().map(verdict).collect(),
        retry_after: wait,
        report: load_report(response),
        is_of_call: states.iter().all(|state| ids.contains(&state.id.as_str())),
    }
}
