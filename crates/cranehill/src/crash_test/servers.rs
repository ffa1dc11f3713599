//! The simulated destinations and the simulated platform of a crash test.

use std::io;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cranehill_daemon::http::{self, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::delivery_log::{AttemptOutcome, SharedDeliveryLog};
use crate::simulated_server::{Reply, SimulatedServer};
use crate::sync::lock;

/// Each answer has a random draw from 0 to 99; from this draw on, it is delayed.
const FIRST_DELAYED_DRAW: u32 = 90;
/// Delay of the first delayed draw, and increment for each further one.
const DELAY_STEP: Duration = Duration::from_millis(3);
/// `Retry-After` of answers with status 429, in seconds.
const RETRY_AFTER: &str = "0.02";

/// A destination that randomly fails, rejects, delays or closes, and records each attempt.
pub(super) fn destination(
    delivery_log: SharedDeliveryLog,
    seed: u64,
) -> io::Result<SimulatedServer> {
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    SimulatedServer::new(move |request, _| {
        let draw: u32 = lock(&rng).random_range(0..100);
        if draw >= FIRST_DELAYED_DRAW {
            thread::sleep(DELAY_STEP * (draw - FIRST_DELAYED_DRAW + 1));
        }
        let is_batch = request.path.ends_with("/batch");
        let states = record_attempts(&delivery_log, request, is_batch, outcome_of_draw(draw));
        match draw {
            60..70 => Reply::status(500),
            70..80 => Reply::status(503),
            80..85 => Reply::wait(429, RETRY_AFTER),
            85..90 => Reply::Close,
            _ if is_batch => {
                let body = format!("[{}]", states.join(","));
                Reply::Bytes(http::write_response(200, "OK", &[], &body))
            }
            _ => Reply::status(200),
        }
    })
}

fn outcome_of_draw(draw: u32) -> AttemptOutcome {
    match draw {
        60..70 | 85..90 => AttemptOutcome::Failed,
        70..85 => AttemptOutcome::Busy,
        _ => AttemptOutcome::Done,
    }
}

/// Records an attempt of each message of a request; returns their states in the form of a batch answer.
fn record_attempts(
    delivery_log: &SharedDeliveryLog,
    request: &Request,
    is_batch: bool,
    outcome: AttemptOutcome,
) -> Vec<String> {
    let ids = if is_batch {
        ids_in(&request.body)
    } else {
        header(request, "X-Txn").into_iter().collect()
    };
    let mut states = Vec::new();
    for (n, id) in ids.iter().enumerate() {
        // A batch with an answer for each message has mixed outcomes: each third message is rejected.
        let outcome = if is_batch && outcome == AttemptOutcome::Done && n % 3 == 2 {
            AttemptOutcome::Busy
        } else {
            outcome
        };
        lock(delivery_log).record_attempt(id, outcome);
        let state = if outcome == AttemptOutcome::Done {
            "done"
        } else {
            "busy"
        };
        states.push(format!(r#"{{"id":"{id}","state":"{state}"}}"#));
    }
    states
}

/// The platform. It leaves watches of the endpoint list unanswered, records final reports, and answers some of them with
/// an error so that they are sent again.
pub(super) fn platform(delivery_log: SharedDeliveryLog) -> io::Result<SimulatedServer> {
    SimulatedServer::new(move |request, number| {
        if request.method == "GET" {
            return Reply::Silent;
        }
        if number % 9 == 4 {
            return Reply::status(500);
        }
        for line in String::from_utf8_lossy(&request.body).lines() {
            let state = if line.contains(r#""returned""#) {
                "returned"
            } else {
                "failed"
            };
            for id in ids_in(line.as_bytes()) {
                let mut delivery_log = lock(&delivery_log);
                delivery_log.record(&id).reports.insert(state.to_owned());
            }
        }
        Reply::status(204)
    })
}

fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
}

/// The values of `"id"` in a body from the sender. Ids are hexadecimal, so they have no escape sequences.
fn ids_in(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    text.split(r#""id":""#)
        .skip(1)
        .filter_map(|rest| Some(rest.split_once('"')?.0.to_owned()))
        .collect()
}
