//! The HTTP protocol of final reports, by which the platform is notified of messages that ended undelivered. No I/O.

use cranehill_core::FinalReport;

use crate::http;

/// Encodes a call to `host` with these reports, each with its message's id: one line of JSON per report.
pub fn write_call(host: &str, reports: &[(String, FinalReport)]) -> Vec<u8> {
    let body: String = reports
        .iter()
        .map(|(id, report)| format!("{}\n", report_json(id, report)))
        .collect();
    http::write_request("POST", "/v1/notices", host, &[], body.as_bytes())
}

/// Whether an HTTP response with this status acknowledges the reports of the call.
pub fn is_acknowledged(status: u16) -> bool {
    status == 204 || status == 200
}

fn report_json(id: &str, report: &FinalReport) -> serde_json::Value {
    match report {
        FinalReport::Returned { after_ms: 0 } => {
            serde_json::json!({"id": id, "state": "returned"})
        }
        FinalReport::Returned { after_ms } => {
            serde_json::json!({"id": id, "state": "returned", "after_ms": after_ms})
        }
        FinalReport::Failed => serde_json::json!({"id": id, "state": "failed"}),
    }
}
