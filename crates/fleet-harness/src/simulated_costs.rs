//! The cost of simulated members in a scenario with real senders.

use std::time::Duration;

use serde_json::{Value, json};

use crate::simulated::{MemberEvent, SimulatedFleetRun};

/// The average cost per second of one simulated member.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedFleetCosts {
    /// Number of simulated members.
    pub members: usize,
    /// Bytes sent per second by one member.
    pub bytes_sent: f64,
    /// Bytes received per second by one member.
    pub bytes_received: f64,
    /// Packets sent per second by one member.
    pub packets_sent: f64,
    /// Processor time of one member, in milliseconds per second.
    pub cpu_ms: f64,
    /// Number of times that a member's timer fired more than one membership period late, because the machine was too busy.
    pub late_runs: usize,
}

impl SimulatedFleetCosts {
    /// The average cost over a run of this duration.
    pub fn of(simulated: &SimulatedFleetRun, lasted: Duration) -> SimulatedFleetCosts {
        let member_seconds = lasted.as_secs_f64() * simulated.members as f64;
        let each = |sum: u64| sum as f64 / member_seconds;
        let late_runs = simulated
            .observations
            .iter()
            .filter(|observation| observation.event == MemberEvent::ProcessPaused)
            .count();
        SimulatedFleetCosts {
            members: simulated.members,
            bytes_sent: each(simulated.bytes_sent),
            bytes_received: each(simulated.bytes_received),
            packets_sent: each(simulated.packets_sent),
            cpu_ms: simulated.cpu.as_secs_f64() * 1e3 / member_seconds,
            late_runs,
        }
    }

    /// The costs as a JSON object of the summary.
    pub fn json(&self) -> Value {
        json!({"members": self.members, "bytes_sent": self.bytes_sent, "bytes_received": self.bytes_received,
            "packets_sent": self.packets_sent, "cpu_ms": self.cpu_ms, "held_up": self.late_runs})
    }

    /// The costs as a line of the text report.
    pub fn line(&self) -> String {
        format!(
            "  each simulated member per second: {:.0} bytes sent, {:.0} received, {:.1} packets sent, {:.2} ms of CPU; members ran \
             late {} times",
            self.bytes_sent, self.bytes_received, self.packets_sent, self.cpu_ms, self.late_runs
        )
    }
}
