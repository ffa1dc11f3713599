//! Requests of senders to the directory and the platform: watches of the endpoint list, and final reports.

use std::time::Duration;

use cranehill_simulation::audit::FinalReport;
use serde_json::Value;

use super::error::WireError;

/// Upper bound on `hold_ms`; a larger value is reduced to it.
const MAX_HOLD_MS: u64 = 60_000;

/// A sender's long poll for changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WatchRequest {
    /// Version of the list that the sender has already; it requests later changes.
    pub known_version: u64,
    /// How long the response is delayed if there is no change.
    pub max_hold: Duration,
}

impl WatchRequest {
    /// Parses `from` and `hold_ms` in the path's query; `None` without a valid `from`.
    pub(crate) fn parse(path: &str) -> Option<WatchRequest> {
        let (_, query) = path.split_once('?')?;
        let value = |name: &str| {
            query.split('&').find_map(|parameter| {
                let value = parameter.strip_prefix(name)?.strip_prefix('=')?;
                value.parse::<u64>().ok()
            })
        };
        let known_version = value("from")?;
        let hold_ms = value("hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        Some(WatchRequest {
            known_version,
            max_hold: Duration::from_millis(hold_ms),
        })
    }
}

/// The final report of one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FinalReportLine {
    /// Id of the message.
    pub id: String,
    /// How the message ended.
    pub report: FinalReport,
}

/// Parses the final reports in a request body: one JSON object on each line.
///
/// # Errors
/// A line is not JSON, or lacks an id or a valid state.
pub(crate) fn parse_final_reports(body: &[u8]) -> Result<Vec<FinalReportLine>, WireError> {
    String::from_utf8_lossy(body)
        .lines()
        .filter(|line| !line.trim().is_empty())
        .map(parse_final_report)
        .collect()
}

fn parse_final_report(line: &str) -> Result<FinalReportLine, WireError> {
    let fields: Value = serde_json::from_str(line)?;
    let id = fields["id"]
        .as_str()
        .ok_or(WireError::Missing("id of a final report"))?;
    let report = match fields["state"].as_str() {
        Some("returned") => FinalReport::Returned {
            after: fields["after_ms"].as_u64().map(Duration::from_millis),
        },
        Some("failed") => FinalReport::Failed,
        other => return Err(WireError::ReportState(other.map(str::to_owned))),
    };
    Ok(FinalReportLine {
        id: id.to_owned(),
        report,
    })
}
