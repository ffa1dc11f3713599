//! Decoding responses of push services, and encoding responses to application servers.

use std::time::Duration;

use cranehill_core::Answer;
use cranehill_scheduler::api::Status;

use crate::destination_protocol::{DestinationResponse, Verdict};
use crate::http::{self, Response};

/// Decodes a push service's response to an attempt. `unix_now` is the time since 1970, for `Retry-After` dates.
pub(crate) fn read_response(response: &Response, unix_now: Duration) -> DestinationResponse {
    let verdict = match response.status {
        200..300 => Verdict {
            status: Status::Served,
            completed: true,
        },
        429 | 503 => Verdict::of(Status::Overloaded),
        404 | 410 => Verdict::of(Status::RecipientRemoved),
        500..600 => Verdict::of(Status::Error),
        // 400, 401, 403, 413 and similar: a retry of the same message would fail in the same way.
        _ => Verdict::of(Status::PermanentError),
    };
    let overloaded = verdict.status == Status::Overloaded;
    let wait = http::retry_after(&response.headers, unix_now).filter(|_| overloaded);
    DestinationResponse {
        verdicts: vec![verdict],
        retry_after: wait,
        report: None,
        is_of_call: true,
    }
}

/// Encodes the response to a request that was accepted as the message `id`.
pub(crate) fn write_answer(answer: Answer, id: &str) -> Vec<u8> {
    match answer {
        Answer::Delivered | Answer::Accepted => {
            let headers = [("Location", format!("/message/{id}"))];
            http::write_response(201, "Created", &headers, "")
        }
        Answer::Rejected { retry_after } => {
            // Rounded up to whole seconds, so that clients don't retry too early.
            let seconds = retry_after
                .unwrap_or_default()
                .as_millis()
                .div_ceil(1000)
                .max(1);
            let headers = [("Retry-After", seconds.to_string())];
            let body = "refused; come again later\n";
            http::write_response(503, "Service Unavailable", &headers, body)
        }
        Answer::RecipientRemoved => {
            http::write_response(410, "Gone", &[], "the subscription is gone\n")
        }
        Answer::Expired => {
            http::write_response(504, "Gateway Timeout", &[], "given up: out of time\n")
        }
        Answer::Failed => {
            let body = "given up: the push service did not take it\n";
            http::write_response(504, "Gateway Timeout", &[], body)
        }
    }
}

/// Encodes the response to a request that is rejected.
pub(crate) fn write_error(status: u16, why: &str) -> Vec<u8> {
    let reason = match status {
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        _ => "Service Unavailable",
    };
    let mut headers = Vec::new();
    if status == 405 {
        headers.push(("Allow", "POST".to_owned()));
    }
    http::write_response(status, reason, &headers, &format!("{why}\n"))
}
