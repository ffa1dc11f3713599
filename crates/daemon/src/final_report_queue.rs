//! The queue of final reports. One call is in flight at a time. Its reports are kept until they are acknowledged, and sent again
//! if the call fails. No I/O.

use std::collections::VecDeque;
use std::time::Duration;

use cranehill_core::FinalReport;

use crate::final_report_protocol;

/// Delay before reports are sent again. The sum of this and [`RESPONSE_TIMEOUT`] is within the 300 ms after a message's deadline
/// in which its end must be reported, so that one lost call does not make the report late. Duplicate reports are harmless.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a call. The platform answers immediately.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Limit on the reports in one call.
const MAX_REPORTS_PER_CALL: usize = 200;

/// Final reports that are queued, and those of the call in flight.
#[derive(Debug, Default)]
pub struct FinalReportQueue {
    waiting: VecDeque<(String, FinalReport)>,
    in_flight: Vec<(String, FinalReport)>,
}

impl FinalReportQueue {
    /// Queues the final report of the message `id`.
    pub fn add(&mut self, id: String, final_report: FinalReport) {
        self.waiting.push_back((id, final_report));
    }

    /// Starts the next call and returns its bytes; `None` if no report is queued or a call is in flight.
    pub fn next_call(&mut self, host: &str) -> Option<Vec<u8>> {
        if !self.is_ready() {
            return None;
        }
        let count = self.waiting.len().min(MAX_REPORTS_PER_CALL);
        self.in_flight = self.waiting.drain(..count).collect();
        Some(final_report_protocol::write_call(host, &self.in_flight))
    }

    /// Ends the call in flight with an HTTP status; returns the message ids of the reports that it acknowledges. Reports that are
    /// not acknowledged are queued again.
    pub fn on_response(&mut self, status: u16) -> Vec<String> {
        if final_report_protocol::is_acknowledged(status) {
            return self.in_flight.drain(..).map(|(id, _)| id).collect();
        }
        log::error!(
            "final reports: the platform answered with status {status} to {} reports; retrying",
            self.in_flight.len()
        );
        self.on_lost();
        Vec::new()
    }

    /// Ends the call in flight without a response: its reports are queued again, before all others.
    pub fn on_lost(&mut self) {
        for report in self.in_flight.drain(..).rev() {
            self.waiting.push_front(report);
        }
    }

    /// The message ids of the reports in flight.
    pub fn in_flight(&self) -> Vec<&str> {
        self.in_flight.iter().map(|(id, _)| id.as_str()).collect()
    }

    /// Whether a call waits for its response.
    pub fn has_call_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Whether no report is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.waiting.is_empty()
    }

    /// Whether reports are queued and no call is in flight.
    pub fn is_ready(&self) -> bool {
        self.in_flight.is_empty() && !self.waiting.is_empty()
    }
}
