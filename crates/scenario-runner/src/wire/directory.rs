//! Requests of senders to the directory and the platform: watches and final reports.

use std::time::Duration;

use cranehill_simulation::audit::FinalReport;
use serde_json::Value;

use super::error::WireError;

/// No watch is held for longer, whatever it asks for.
const MAX_HOLD_MS: u64 = 60_000;

/// A sender's request for changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WatchRequest {
    /// The version of the list that the sender has.
    pub from: u64,
    /// How long the request is held if there is no change.
    pub hold: Duration,
}

impl WatchRequest {
    /// Reads `from` and `hold_ms` of a path's query; `None` without `from`.
    pub(crate) fn parse(path: &str) -> Option<WatchRequest> {
        let (_, query) = path.split_once('?')?;
        let value = |name: &str| {
            query.split('&').find_map(|parameter| {
                let value = parameter.strip_prefix(name)?.strip_prefix('=')?;
                value.parse::<u64>().ok()
            })
        };
        let from = value("from")?;
        let hold_ms = value("hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        Some(WatchRequest {
            from,
            hold: Duration::from_millis(hold_ms),
        })
    }
}

/// One line of a request with final reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FinalReportLine {
    /// The message.
    pub id: String,
    /// How it ended.
    pub report: FinalReport,
}

/// The final reports of a request's body, one JSON object a line.
///
/// # Errors
/// A line is not JSON, or has no id or no known state.
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
        .ok_or(WireError::Missing("the id of a final report"))?;
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
