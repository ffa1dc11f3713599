//! The queue of final reports. One call is in flight at a time; its reports are kept until they are acknowledged, and sent
//! again otherwise. No I/O.

use std::collections::VecDeque;
use std::time::Duration;

use cranehill_core::FinalReport;

use crate::final_report_protocol;

/// Pause before reports are sent again. Together with [`RESPONSE_TIMEOUT`] within the 300 ms after a message's deadline in which
/// its end must be reported, so that one lost call does not lose the message; a report that arrives twice does no harm.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the response may take, which the platform sends at once.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Reports in one call.
const MAX_REPORTS_PER_CALL: usize = 200;

/// Final reports that wait, and those of the call in flight.
#[derive(Debug, Default)]
pub struct FinalReportQueue {
    waiting: VecDeque<(String, FinalReport)>,
    in_flight: Vec<(String, FinalReport)>,
}

impl FinalReportQueue {
    /// Queues the report on the message `id`.
    pub fn add(&mut self, id: String, final_report: FinalReport) {
        self.waiting.push_back((id, final_report));
    }

    /// The next call's bytes, if there is something to report and no call is in flight.
    pub fn next_call(&mut self, host: &str) -> Option<Vec<u8>> {
        if !self.is_ready() {
            return None;
        }
        let count = self.waiting.len().min(MAX_REPORTS_PER_CALL);
        self.in_flight = self.waiting.drain(..count).collect();
        Some(final_report_protocol::write_call(host, &self.in_flight))
    }

    /// The call was answered; returns the ids of the reports that are acknowledged.
    pub fn on_response(&mut self, status: u16) -> Vec<String> {
        if final_report_protocol::is_acknowledged(status) {
            return self.in_flight.drain(..).map(|(id, _)| id).collect();
        }
        log::error!(
            "final reports: the platform answered {status} to {} reports; sent again",
            self.in_flight.len()
        );
        self.on_lost();
        Vec::new()
    }

    /// The call was not answered: its reports are the next ones again.
    pub fn on_lost(&mut self) {
        for report in self.in_flight.drain(..).rev() {
            self.waiting.push_front(report);
        }
    }

    /// The message ids of the call in flight.
    pub fn in_flight(&self) -> Vec<&str> {
        self.in_flight.iter().map(|(id, _)| id.as_str()).collect()
    }

    /// Whether there is nothing to report and no response to wait for.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.waiting.is_empty()
    }

    /// Whether a call could be sent now.
    pub fn is_ready(&self) -> bool {
        self.in_flight.is_empty() && !self.waiting.is_empty()
    }
}
