//! Figures of a run.

use std::time::Duration;

/// A figure over all members: its mean, 99th percentile and maximum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The mean.
    pub mean: f64,
    /// 99 of 100 values do not exceed this.
    pub p99: f64,
    /// The largest value.
    pub most: f64,
}

impl Spread {
    /// `None` without any value.
    pub fn of(mut values: Vec<f64>) -> Option<Spread> {
        values.sort_by(f64::total_cmp);
        let most = *values.last()?;
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        // The smallest value that 99 of 100 do not exceed.
        let rank = (values.len() * 99).div_ceil(100);
        Some(Spread {
            mean,
            p99: values[rank.saturating_sub(1)],
            most,
        })
    }
}

/// Figures of a run. Rates are those of members that ran throughout, over the measured duration.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedFleetFigures {
    /// Members of the fleet.
    pub members: usize,
    /// From the first start to the same view everywhere; `None`: not within [`super::START_TIMEOUT`].
    pub agreed_at_start: Option<Duration>,
    /// Bytes that a member sent in a second.
    pub bytes_sent_per_second: Spread,
    /// Bytes that a member received in a second.
    pub bytes_received_per_second: Spread,
    /// Packets that a member sent in a second.
    pub packets_sent_per_second: Spread,
    /// Mean over members: CPU of the run's threads (`Udp`), of the members' steps alone (`Virtual`).
    pub cpu_milliseconds_per_second: f64,
    /// Growth of the resident memory.
    pub resident_bytes_per_member: u64,
    /// Seconds from a crash to "down" in each other live view.
    pub detection: Option<Spread>,
    /// From the end of the disturbance to the same view everywhere; `None`: not within the run.
    pub agreed_after: Option<Duration>,
    /// At the end: pairs of a viewer and a live member that the viewer does not see alive.
    pub missing_live_members: usize,
    /// The most that all live members together allowed themselves of a shared limit; 1.0 is the limit.
    pub largest_share: f64,
    /// At the end: pairs of a viewer and a crashed member that the viewer does not hold to be down.
    pub undetected: usize,
    /// Times that a member was held to be down that was neither away nor cut off.
    pub false_downs: usize,
    /// The largest datagram.
    pub largest_packet: usize,
    /// Times that a member ran more than a period late: above zero, the machine was too busy for the run.
    pub held_up: usize,
    /// Packets that members dropped.
    pub refused: usize,
    /// Packets that were lost by network faults.
    pub lost: u64,
}

impl SimulatedFleetFigures {
    /// One line for each rule that does not hold, whatever the members' cost: all agree at the start and after the
    /// disturbance, none is missing at the end, no crash is unknown, nobody is held to be down without a cause, and no
    /// more of a shared limit is used than `max_share`.
    pub fn failed(&self, max_share: f64) -> Vec<String> {
        let mut failed = Vec::new();
        if self.agreed_at_start.is_none() {
            failed.push("the views did not agree after the start".to_owned());
        }
        if self.agreed_after.is_none() {
            failed.push("the views did not agree after the disturbance".to_owned());
        }
        if self.missing_live_members > 0 {
            let missing = self.missing_live_members;
            failed.push(format!(
                "at the end {missing} live members are not seen alive, counted by viewer"
            ));
        }
        if self.undetected > 0 {
            failed.push(format!(
                "{} views never held a crashed member to be down",
                self.undetected
            ));
        }
        if self.false_downs > 0 {
            failed.push(format!(
                "{} times a live member was held to be down",
                self.false_downs
            ));
        }
        if self.largest_share > max_share {
            let share = self.largest_share;
            failed.push(format!(
                "{share:.3} of a shared limit was taken; {max_share:.3} at most"
            ));
        }
        failed
    }
}
