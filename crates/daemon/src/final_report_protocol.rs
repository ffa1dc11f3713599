//! Final reports: how the platform is told of messages that ended without delivery. One call is out at a
//! time; what it carried is kept until its 204 and sent again otherwise.

use std::collections::VecDeque;
use std::time::Duration;

use crate::http;
use cranehill_core::FinalReport;

/// Pause before a report is sent again, and how long its answer, which the platform gives at once, may take. Together within
/// the 300 ms after a message's time in which its end must be told, so that one lost report does not lose the message; a
/// report that comes twice does no harm.
pub const AGAIN: Duration = Duration::from_millis(100);
pub const OVERDUE: Duration = Duration::from_millis(150);
const LINES_MOST: usize = 200;

#[derive(Debug, Default)]
pub struct Reports {
    waiting: VecDeque<(String, FinalReport)>,
    out: Vec<(String, FinalReport)>,
}

impl Reports {
    pub fn add(&mut self, id: String, final_report: FinalReport) {
        self.waiting.push_back((id, final_report));
    }

    /// The next call's bytes, if there is something to report and no call is out.
    pub fn next(&mut self, host: &str) -> Option<Vec<u8>> {
        if !self.out.is_empty() || self.waiting.is_empty() {
            return None;
        }
        self.out = self
            .waiting
            .drain(..self.waiting.len().min(LINES_MOST))
            .collect();
        let mut body = String::new();
        for (id, final_report) in &self.out {
            let line = match final_report {
                FinalReport::Returned { after_ms: 0 } => {
                    serde_json::json!({"id": id, "state": "returned"})
                }
                FinalReport::Returned { after_ms } => {
                    serde_json::json!({"id": id, "state": "returned", "after_ms": after_ms})
                }
                FinalReport::Failed => serde_json::json!({"id": id, "state": "failed"}),
            };
            body.push_str(&format!("{line}\n"));
        }
        Some(http::write_request(
            "POST",
            "/v1/notices",
            host,
            &[],
            body.as_bytes(),
        ))
    }

    /// The call's answer: the ids that the platform now has.
    pub fn answered(&mut self, status: u16) -> Vec<String> {
        if status == 204 || status == 200 {
            return self.out.drain(..).map(|(id, _)| id).collect();
        }
        log::error!(
            "final reports: the platform answered {status} to {} reports; sent again",
            self.out.len()
        );
        self.lost();
        Vec::new()
    }

    /// The call had no answer.
    pub fn lost(&mut self) {
        for report in self.out.drain(..).rev() {
            self.waiting.push_front(report);
        }
    }

    /// The ids in the call that is out.
    pub fn out(&self) -> Vec<&str> {
        self.out.iter().map(|(id, _)| id.as_str()).collect()
    }

    /// Whether there is nothing to report and no answer to wait for.
    pub fn idle(&self) -> bool {
        self.out.is_empty() && self.waiting.is_empty()
    }

    /// Whether a call could go now. One that is out needs no looking after but its time-out.
    pub fn ready(&self) -> bool {
        self.out.is_empty() && !self.waiting.is_empty()
    }
}
