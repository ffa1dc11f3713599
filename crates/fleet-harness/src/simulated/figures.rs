//! The figures of a run of simulated members.

use std::time::Duration;

/// Mean, 99th percentile and maximum of a set of values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Arithmetic mean of the values.
    pub mean: f64,
    /// The 99th percentile: 99 of 100 values do not exceed it.
    pub p99: f64,
    /// Maximum of the values.
    pub most: f64,
}

impl Spread {
    /// Summarizes values; `None` without any value.
    pub fn of(mut values: Vec<f64>) -> Option<Spread> {
        values.sort_by(f64::total_cmp);
        let most = *values.last()?;
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        // The rank of the smallest value that 99 of 100 do not exceed.
        let rank = (values.len() * 99).div_ceil(100);
        Some(Spread {
            mean,
            p99: values[rank.saturating_sub(1)],
            most,
        })
    }
}

/// Figures of a run of simulated members. Rates are averages over the measured duration, of the members that ran throughout.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedFleetFigures {
    /// Number of members of the fleet.
    pub members: usize,
    /// Time from the first start until all views agreed; `None` if they did not within [`super::START_TIMEOUT`].
    pub agreed_at_start: Option<Duration>,
    /// Bytes sent per second by a member.
    pub bytes_sent_per_second: Spread,
    /// Bytes received per second by a member.
    pub bytes_received_per_second: Spread,
    /// Packets sent per second by a member.
    pub packets_sent_per_second: Spread,
    /// Average processor time of a member, in milliseconds per second: of the run's threads with `Transport::Udp`, of the
    /// members' steps alone with `Transport::Virtual`.
    pub cpu_milliseconds_per_second: f64,
    /// Growth of the process's resident memory during the run, in bytes per member.
    pub resident_bytes_per_member: u64,
    /// Seconds from a crash until a running member considered the crashed one down; `None` without any.
    pub detection: Option<Spread>,
    /// Time from the end of the disturbance until all views agreed; `None` if they did not within the run.
    pub agreed_after: Option<Duration>,
    /// Number of pairs, at the end, of a running viewer and a running member that the viewer does not see alive.
    pub missing_live_members: usize,
    /// The largest share of a shared limit that all running members together allowed themselves; 1.0 is the whole limit.
    pub largest_share: f64,
    /// Number of pairs, at the end, of a running viewer and a crashed member that the viewer does not consider down.
    pub undetected: usize,
    /// Number of times that a viewer began to consider a running member down although it had not ended before and no cut had begun.
    pub false_downs: usize,
    /// Size of the largest datagram in bytes.
    pub largest_packet: usize,
    /// Times that a member ran more than one period late. Above zero, the machine was too busy and the figures are not valid.
    pub held_up: usize,
    /// Received packets that members dropped.
    pub refused: usize,
    /// Packets that were dropped by network faults.
    pub lost: u64,
}

impl SimulatedFleetFigures {
    /// One line for each violated expectation: the views agree after the start and after the disturbance, no running member is
    /// missing from a view at the end, every crash is detected, no running member is considered down without a cause, and at most
    /// `max_share` of a shared limit is used. The members' cost is not checked.
    pub fn failed(&self, max_share: f64) -> Vec<String> {
        let mut failed = Vec::new();
        if self.agreed_at_start.is_none() {
            failed.push("views did not agree after the start".to_owned());
        }
        if self.agreed_after.is_none() {
            failed.push("views did not agree after the disturbance".to_owned());
        }
        if self.missing_live_members > 0 {
            let missing = self.missing_live_members;
            failed.push(format!(
                "at the end {missing} pairs of running members in which one does not see the other alive; expected 0"
            ));
        }
        if self.undetected > 0 {
            failed.push(format!(
                "at the end {} pairs of a running and a crashed member in which the crash is not detected; expected 0",
                self.undetected
            ));
        }
        if self.false_downs > 0 {
            failed.push(format!(
                "running members were considered down {} times without a cause; expected 0",
                self.false_downs
            ));
        }
        if self.largest_share > max_share {
            let share = self.largest_share;
            failed.push(format!(
                "members together allowed themselves {share:.3} of a shared limit; expected at most {max_share:.3}"
            ));
        }
        failed
    }
}
