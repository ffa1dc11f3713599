//! What to play: the number of simulated members, the network, and the disturbance.

use std::time::Duration;

use crate::invalid_settings::InvalidSettings;

/// The largest fleet.
pub const MAX_MEMBERS: usize = 2_000;
/// The smallest fleet.
pub const MIN_MEMBERS: usize = 2;
/// The longest measured duration.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(3600);
/// The shortest measured duration: below it, a rate per second says nothing.
pub(super) const MIN_DURATION: Duration = Duration::from_secs(1);
/// Zones of the members, by their index.
pub const ZONES: usize = 6;
/// One in this many members is in the rack that fails.
pub(super) const MEMBERS_PER_RACK: usize = 30;
/// The disturbance begins after this fraction of the measured duration.
pub(super) const UNDISTURBED_FRACTION: u32 = 10;

/// What carries packets between the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// A socket for each member, on loopback, and the wall clock.
    Udp,
    /// A simulated network and a simulated clock: the same seed plays the same.
    Virtual,
}

/// What happens to the fleet, once, after a tenth of the measured duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// Some members are killed at once, and stay away.
    Crashes {
        /// One in this many members.
        one_in: u32,
    },
    /// One in `MEMBERS_PER_RACK` members is killed at once, and stays away.
    RackDown,
    /// All members of one zone are killed at once, and stay away.
    ZoneDown {
        /// Zones of the fleet.
        zones: u32,
    },
    /// Two halves, drawn by the seed, are cut off from each other.
    Halves {
        /// How long the cut lasts.
        duration: Duration,
    },
    /// Some members are killed at once, and started again after [`super::RESTART_DELAY`].
    Restarts {
        /// How many.
        count: u32,
    },
}

/// The settings of the membership that a run may vary; the defaults are those of `deploy/fleet.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Each period a member probes one other.
    pub period: Duration,
    /// If a probe takes longer, other members probe as well.
    pub round_trip: Duration,
    /// Time to refute a suspicion; `None`: four periods, and more from ten members on.
    pub suspicion: Option<Duration>,
    /// A majority must agree for this long before a member is evicted; `None`: never.
    pub eviction_delay: Option<Duration>,
    /// A packet that was sent longer ago is dropped.
    pub late: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period: Duration::from_secs(1),
            round_trip: Duration::from_millis(300),
            suspicion: None,
            eviction_delay: Some(Duration::from_secs(30)),
            late: Duration::from_secs(5),
        }
    }
}

/// The simulated network. Loopback has neither latency nor loss of its own; `loss` is applied there as well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// One way, drawn evenly from this range.
    pub latency: [Duration; 2],
    /// The share of all packets that is lost.
    pub loss: f64,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            latency: [Duration::from_micros(200), Duration::from_millis(20)],
            loss: 0.0,
        }
    }
}

/// What to play.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedFleetPlan {
    /// Members of the fleet.
    pub members: usize,
    /// The measured duration, after the views have agreed at the start.
    pub duration: Duration,
    /// What happens to the fleet.
    pub disturbance: Disturbance,
    /// What carries packets.
    pub transport: Transport,
    /// Seed of all random draws.
    pub seed: u64,
    /// Settings of the membership.
    pub timing: Timing,
    /// Latency and loss.
    pub conditions: Conditions,
}

impl Default for SimulatedFleetPlan {
    fn default() -> SimulatedFleetPlan {
        SimulatedFleetPlan {
            members: 30,
            duration: Duration::from_secs(60),
            disturbance: Disturbance::None,
            transport: Transport::Virtual,
            seed: 1,
            timing: Timing::default(),
            conditions: Conditions::default(),
        }
    }
}

/// Why a fleet of simulated members could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SimulatedFleetError {
    /// The number of members is out of range.
    #[error("members: {0} is not from {MIN_MEMBERS} to {MAX_MEMBERS}")]
    Members(usize),
    /// The measured duration is out of range.
    #[error("duration: {0:?} is not from {MIN_DURATION:?} to {MAX_DURATION:?}")]
    Duration(Duration),
    /// The disturbance does not fit the fleet.
    #[error("disturbance: {0}")]
    Disturbance(String),
    /// A time of the membership is out of range.
    #[error("timing: {0}")]
    Timing(&'static str),
    /// Latency or loss is out of range.
    #[error("conditions: {0}")]
    Conditions(&'static str),
    /// The reducer does not accept the settings of a member.
    #[error("a member's settings: {0}")]
    Settings(#[from] InvalidSettings),
    /// A socket fails.
    #[error("sockets: {0}")]
    Io(#[from] std::io::Error),
}

impl SimulatedFleetPlan {
    /// When the disturbance begins, after the start.
    pub fn disturbed_after(&self) -> Duration {
        self.duration / UNDISTURBED_FRACTION
    }

    /// Checks every value; nothing is started before.
    pub fn check(&self) -> Result<(), SimulatedFleetError> {
        if !(MIN_MEMBERS..=MAX_MEMBERS).contains(&self.members) {
            return Err(SimulatedFleetError::Members(self.members));
        }
        if !(MIN_DURATION..=MAX_DURATION).contains(&self.duration) {
            return Err(SimulatedFleetError::Duration(self.duration));
        }
        self.timing.check()?;
        self.conditions.check()?;
        self.check_disturbance()
    }

    fn check_disturbance(&self) -> Result<(), SimulatedFleetError> {
        let wrong = |why: String| Err(SimulatedFleetError::Disturbance(why));
        let members = self.members;
        match self.disturbance {
            Disturbance::Crashes { one_in } if one_in < 2 => {
                wrong(format!("one in {one_in} crashes: at least one in 2"))
            }
            Disturbance::ZoneDown { zones } if zones < 2 || zones as usize > members => wrong(
                format!("one zone of {zones}: from 2 zones to one for each of {members} members"),
            ),
            Disturbance::Restarts { count } if count == 0 || count as usize >= members => {
                wrong(format!("{count} restarts: from 1 to {}", members - 1))
            }
            Disturbance::Halves { duration } => {
                let room = self.duration - self.disturbed_after();
                if duration.is_zero() || duration >= room {
                    return wrong(format!(
                        "halves for {duration:?}: above zero and less than {room:?}"
                    ));
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

impl Timing {
    /// The bounds of the operators' file.
    pub fn check(&self) -> Result<(), SimulatedFleetError> {
        let bounds = Duration::from_millis(50)..=Duration::from_secs(60);
        if !bounds.contains(&self.period) {
            return Err(SimulatedFleetError::Timing(
                "period is not from 50 ms to 60 s",
            ));
        }
        if self.round_trip.is_zero() || self.round_trip * 2 > self.period {
            return Err(SimulatedFleetError::Timing(
                "round_trip is not above zero and at most half a period",
            ));
        }
        if self
            .suspicion
            .is_some_and(|suspicion| suspicion < self.period)
        {
            return Err(SimulatedFleetError::Timing("suspicion is below a period"));
        }
        if self.late < self.period {
            return Err(SimulatedFleetError::Timing("late is below a period"));
        }
        Ok(())
    }
}

impl Conditions {
    fn check(&self) -> Result<(), SimulatedFleetError> {
        if self.latency[0] > self.latency[1] {
            return Err(SimulatedFleetError::Conditions(
                "the least latency is above the most",
            ));
        }
        if !(0.0..1.0).contains(&self.loss) {
            return Err(SimulatedFleetError::Conditions(
                "loss is not from 0 to below 1",
            ));
        }
        Ok(())
    }
}
