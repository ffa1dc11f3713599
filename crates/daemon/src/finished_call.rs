//! Calls that have ended, and the outcome of each of their attempts.

use cranehill_core::AttemptOutcome;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{EndpointId, Status};

use crate::clock::since_unix_epoch;
use crate::connection::InFlightCall;
use crate::destination_protocol::{self, DestinationResponse, Verdict};
use crate::http::Response;
use crate::webpush;

/// A call that has ended, with its decoded response.
pub(crate) struct FinishedCall {
    call: InFlightCall,
    response: DestinationResponse,
}

impl FinishedCall {
    pub(crate) fn new(call: InFlightCall, response: DestinationResponse) -> FinishedCall {
        FinishedCall { call, response }
    }

    /// A call that ended without a response: all its attempts have this status.
    pub(crate) fn without_response(call: InFlightCall, status: Status) -> FinishedCall {
        FinishedCall {
            call,
            response: DestinationResponse::all(Verdict::of(status)),
        }
    }

    /// The outcome of each attempt of the call.
    pub(crate) fn into_outcomes(self, now: Time) -> Vec<AttemptOutcome> {
        let FinishedCall { call, response } = self;
        let mut outcomes = Vec::new();
        for attempt in call.attempts {
            let position = call.ids.iter().position(|id| *id == attempt.id);
            let verdicts = &response.verdicts;
            let verdict = verdicts
                .get(position.unwrap_or(0))
                .or(verdicts.first())
                .copied();
            let Verdict { status, completed } = verdict.unwrap_or(Verdict::of(Status::Error));
            log::trace!(
                "message {}: attempt {} finished: {status:?}, completed: {completed}",
                attempt.id,
                attempt.number
            );
            outcomes.push(AttemptOutcome {
                id: attempt.id,
                attempt: attempt.number,
                status,
                is_final: completed,
                duration: now - call.started,
                retry_after: response.retry_after,
                load_report: response.report,
            });
        }
        outcomes
    }
}

/// Decodes a complete response to the call, and logs what operators need to know of it.
pub(crate) fn parse_response(
    endpoint: &EndpointId,
    call: &InFlightCall,
    response: &Response,
    now: Time,
) -> DestinationResponse {
    let unix_now = since_unix_epoch(now);
    let parsed = if call.is_web_push() {
        webpush::read_response(response, unix_now)
    } else {
        let ids: Vec<&str> = call.ids.iter().map(String::as_str).collect();
        destination_protocol::read_response(response, &ids, unix_now)
    };
    log_response(endpoint, call, response, &parsed);
    parsed
}

fn log_response(
    endpoint: &EndpointId,
    call: &InFlightCall,
    response: &Response,
    parsed: &DestinationResponse,
) {
    if let Some(wait) = parsed.retry_after {
        log::debug!(
            "endpoint {endpoint}: Retry-After is {} ms",
            wait.as_millis()
        );
    }
    let first = parsed.verdicts.first();
    if first.is_some_and(|verdict| verdict.status == Status::PermanentError) {
        log::error!(
            "endpoint {endpoint}: permanent error, status {} for message {}",
            response.status,
            call.ids[0]
        );
    }
}
