//! Calls of senders to destinations over HTTP, and the replies.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cranehill_simulation::destination::DeliveryOutcome;
use serde_json::{Value, json};

use super::error::WireError;
use super::http::{Request, encode_response};

/// The messages that a call delivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DestinationCall {
    /// Ids of the messages, in the order of the call.
    pub ids: Vec<String>,
    /// Whether the call is a batch, whose reply lists the state of each message.
    pub batch: bool,
}

impl DestinationCall {
    /// Parses a call of one message (`/hook`), a batch (`/hook/batch`) or a Web Push post (`/p/DESTINATION/ID`).
    ///
    /// # Errors
    /// The request is none of these, lacks the id or body of a message, or is a batch that is empty or repeats an id.
    pub(crate) fn parse(request: &Request) -> Result<DestinationCall, WireError> {
        match request.path.as_str() {
            "/hook" => {
                let id = request
                    .header("X-Txn")
                    .ok_or(WireError::Missing("X-Txn header of a call"))?;
                Ok(DestinationCall::single(id))
            }
            "/hook/batch" => DestinationCall::parse_batch(&request.body),
            path => DestinationCall::parse_post(request, path),
        }
    }

    fn single(id: &str) -> DestinationCall {
        DestinationCall {
            ids: vec![id.to_owned()],
            batch: false,
        }
    }

    fn parse_batch(body: &[u8]) -> Result<DestinationCall, WireError> {
        let items: Value = serde_json::from_slice(body)?;
        let items = items
            .as_array()
            .ok_or(WireError::Missing("JSON array of a batch"))?;
        let mut ids = Vec::with_capacity(items.len());
        for item in items {
            let id = parse_batch_item(item)?;
            if ids.contains(&id) {
                return Err(WireError::RepeatedId(id));
            }
            ids.push(id);
        }
        if ids.is_empty() {
            return Err(WireError::EmptyBatch);
        }
        Ok(DestinationCall { ids, batch: true })
    }

    fn parse_post(request: &Request, path: &str) -> Result<DestinationCall, WireError> {
        let id = path
            .strip_prefix("/p/")
            .and_then(|rest| rest.split_once('/'))
            .map(|(_, id)| id)
            .filter(|id| !id.is_empty() && request.header("TTL").is_some())
            .ok_or_else(|| WireError::UnknownPath(path.to_owned()))?;
        Ok(DestinationCall::single(id))
    }
}

/// The id of a message in a batch. Its body must be valid Base64.
fn parse_batch_item(item: &Value) -> Result<String, WireError> {
    let id = item["id"]
        .as_str()
        .ok_or(WireError::Missing("id of a message in a batch"))?;
    let body = item["body"]
        .as_str()
        .ok_or(WireError::Missing("body of a message in a batch"))?;
    STANDARD.decode(body).map_err(|source| WireError::Base64 {
        id: id.to_owned(),
        source,
    })?;
    Ok(id.to_owned())
}

/// A destination's reply to a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallReply<'a> {
    /// Ids of the messages, in the order of the call.
    pub ids: &'a [String],
    /// Whether the call was a batch.
    pub batch: bool,
    /// The outcome of each message, in the order of `ids`.
    pub outcomes: &'a [DeliveryOutcome],
    /// Value of `Retry-After`: how long the sender must not call the destination.
    pub retry_after: Option<Duration>,
    /// Load report: the share of the limit that is left, 0 to 1, and the limit in calls a second.
    pub load_report: Option<(f64, f64)>,
    /// Whether the destination is a push service.
    pub push: bool,
}

impl CallReply<'_> {
    /// Encodes the reply. The status is 429 or 503 if all messages were rejected, 500 if all failed, and otherwise a success.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let headers = self.headers();
        let all = |outcome: DeliveryOutcome| self.outcomes.iter().all(|each| *each == outcome);
        if all(DeliveryOutcome::Busy) {
            let status = if self.retry_after.is_some() { 429 } else { 503 };
            return encode_response(status, &headers, "");
        }
        if all(DeliveryOutcome::Failed) {
            return encode_response(500, &headers, "");
        }
        if !self.batch {
            return encode_response(if self.push { 201 } else { 200 }, &headers, "");
        }
        let rows: Vec<Value> = self
            .ids
            .iter()
            .zip(self.outcomes)
            .map(|(id, outcome)| json!({"id": id, "state": batch_state(*outcome)}))
            .collect();
        encode_response(200, &headers, &Value::from(rows).to_string())
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = Vec::new();
        if let Some((remaining, limit)) = self.load_report {
            headers.push(("X-Pressure", format!("x0={remaining:.4},x1={limit:.3}")));
        }
        if let Some(retry_after) = self.retry_after {
            headers.push(("Retry-After", format!("{:.6}", retry_after.as_secs_f64())));
        }
        headers
    }
}

/// The value of `state` for an outcome in the reply to a batch.
pub(crate) fn batch_state(outcome: DeliveryOutcome) -> &'static str {
    match outcome {
        DeliveryOutcome::Done => "done",
        DeliveryOutcome::Failed => "failed",
        DeliveryOutcome::Busy => "busy",
    }
}
