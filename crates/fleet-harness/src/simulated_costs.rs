//! The cost of simulated members in a scenario with real senders.

use std::time::Duration;

use serde_json::{Value, json};

use crate::simulated::{Observed, SimulatedFleetPlay};

/// The average cost of a simulated member in a second.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedFleetCosts {
    /// Simulated members.
    pub members: usize,
    /// Bytes sent in a second.
    pub bytes_sent: f64,
    /// Bytes received in a second.
    pub bytes_received: f64,
    /// Packets sent in a second.
    pub packets_sent: f64,
    /// Milliseconds of processor time in a second.
    pub cpu_ms: f64,
    /// Times that a member ran more than a period late: the machine was too busy.
    pub held_up: usize,
}

impl SimulatedFleetCosts {
    /// The cost over a run.
    pub fn of(simulated: &SimulatedFleetPlay, lasted: Duration) -> SimulatedFleetCosts {
        let member_seconds = lasted.as_secs_f64() * simulated.members as f64;
        let each = |sum: u64| sum as f64 / member_seconds;
        let held_up = simulated
            .observations
            .iter()
            .filter(|seen| seen.what == Observed::ProcessPaused)
            .count();
        SimulatedFleetCosts {
            members: simulated.members,
            bytes_sent: each(simulated.bytes_sent),
            bytes_received: each(simulated.bytes_received),
            packets_sent: each(simulated.packets_sent),
            cpu_ms: simulated.cpu.as_secs_f64() * 1e3 / member_seconds,
            held_up,
        }
    }

    /// For the summary.
    pub fn json(&self) -> Value {
        json!({"members": self.members, "bytes_sent": self.bytes_sent, "bytes_received": self.bytes_received,
            "packets_sent": self.packets_sent, "cpu_ms": self.cpu_ms, "held_up": self.held_up})
    }

    /// For the table.
    pub fn line(&self) -> String {
        format!(
            "  a simulated member a second: {:.0} bytes sent, {:.0} received, {:.1} packets sent, {:.2} ms of CPU; {} times \
             held up",
            self.bytes_sent, self.bytes_received, self.packets_sent, self.cpu_ms, self.held_up
        )
    }
}
