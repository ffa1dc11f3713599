//! The plan of a run: the number of simulated members, the network, and the disturbance.

use std::time::Duration;

use crate::invalid_settings::InvalidSettings;

/// Largest number of members of a fleet.
pub const MAX_MEMBERS: usize = 2_000;
/// Smallest number of members of a fleet.
pub const MIN_MEMBERS: usize = 2;
/// Longest measured duration.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Shortest measured duration; over less than this, a rate per second has no meaning.
pub(super) const MIN_DURATION: Duration = Duration::from_secs(1);
/// Number of zones; a member's zone is its number modulo this.
pub const ZONES: usize = 6;
/// One in this many members is in the rack that fails.
pub(super) const MEMBERS_PER_RACK: usize = 30;
/// The disturbance begins after the measured duration divided by this.
pub(super) const UNDISTURBED_DIVISOR: u32 = 10;

/// The network and clock of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// One UDP socket for each member on loopback, and the wall clock.
    Udp,
    /// A simulated network and a simulated clock. The same seed gives the same run.
    Virtual,
}

/// The disturbance of the fleet, which begins once, after a tenth of the measured duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// Some members, drawn by the seed, are killed at the same time and not started again.
    Crashes {
        /// One in this many members is killed.
        one_in: u32,
    },
    /// One in `MEMBERS_PER_RACK` members is killed at the same time and not started again.
    RackDown,
    /// All members of one zone are killed at the same time and not started again.
    ZoneDown {
        /// Number of zones of the fleet.
        zones: u32,
    },
    /// Two halves, drawn by the seed, are cut off from each other.
    Halves {
        /// Duration of the cut.
        duration: Duration,
    },
    /// Some members are killed at the same time, and started again after [`super::RESTART_DELAY`].
    Restarts {
        /// Number of members that are restarted.
        count: u32,
    },
}

/// The settings of the membership that a run may vary; the defaults are those of `deploy/fleet.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval at which a member probes one other member.
    pub period: Duration,
    /// If a probe is not answered within this time, other members are asked to probe as well.
    pub round_trip: Duration,
    /// Time to refute a suspicion; `None` for the default, which is four periods, and more from ten members on.
    pub suspicion: Option<Duration>,
    /// A majority must consider a member down for this long before it is evicted; `None` to never evict.
    pub eviction_delay: Option<Duration>,
    /// A packet that was sent longer ago than this is dropped.
    pub max_packet_age: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period: Duration::from_secs(1),
            round_trip: Duration::from_millis(300),
            suspicion: None,
            eviction_delay: Some(Duration::from_secs(30)),
            max_packet_age: Duration::from_secs(5),
        }
    }
}

/// Latency and loss of the network. `latency` applies only to the simulated network, `loss` also to packets over loopback.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Smallest and largest one-way latency; each packet's is drawn uniformly between them.
    pub latency: [Duration; 2],
    /// Probability that a packet is dropped, from 0 to below 1.
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

/// The plan of a run of simulated members.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedFleetPlan {
    /// Number of members of the fleet.
    pub members: usize,
    /// The measured duration, which begins when the views agree after the start.
    pub duration: Duration,
    /// The disturbance of the fleet.
    pub disturbance: Disturbance,
    /// The network and the clock.
    pub transport: Transport,
    /// Seed of all random draws.
    pub seed: u64,
    /// Time settings of the membership.
    pub timing: Timing,
    /// Latency and loss of the network.
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

/// Why a fleet of simulated members could not be run.
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
    /// A time setting of the membership is out of range.
    #[error("timing: {0}")]
    Timing(&'static str),
    /// Latency or loss is out of range.
    #[error("conditions: {0}")]
    Conditions(&'static str),
    /// The reducer rejected the settings of a member.
    #[error("settings of a simulated member: {0}")]
    Settings(#[from] InvalidSettings),
    /// A socket operation failed, or a thread that runs members panicked.
    #[error("sockets of simulated members: {0}")]
    Io(#[from] std::io::Error),
}

impl SimulatedFleetPlan {
    /// Time from the start of the measured duration to the disturbance.
    pub fn disturbed_after(&self) -> Duration {
        self.duration / UNDISTURBED_DIVISOR
    }

    /// Checks that every value is in range.
    ///
    /// # Errors
    /// The first value that is out of range.
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
        let invalid = |reason: String| Err(SimulatedFleetError::Disturbance(reason));
        let members = self.members;
        match self.disturbance {
            Disturbance::Crashes { one_in } if one_in < 2 => invalid(format!(
                "one in {one_in} crashes: expected one in at least 2"
            )),
            Disturbance::ZoneDown { zones } if zones < 2 || zones as usize > members => {
                invalid(format!(
                    "one zone of {zones}: expected 2 to {members} zones, as the fleet has {members} members"
                ))
            }
            Disturbance::Restarts { count } if count == 0 || count as usize >= members => {
                invalid(format!("{count} restarts: expected 1 to {}", members - 1))
            }
            Disturbance::Halves { duration } => {
                let max_duration = self.duration - self.disturbed_after();
                if duration.is_zero() || duration >= max_duration {
                    return invalid(format!(
                        "halves for {duration:?}: expected above zero and less than {max_duration:?}"
                    ));
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

impl Timing {
    /// Checks the bounds that also apply to the operators' file.
    ///
    /// # Errors
    /// The first setting that is out of range.
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
            return Err(SimulatedFleetError::Timing(
                "suspicion is shorter than a period",
            ));
        }
        if self.max_packet_age < self.period {
            return Err(SimulatedFleetError::Timing(
                "max_packet_age is shorter than a period",
            ));
        }
        Ok(())
    }
}

impl Conditions {
    fn check(&self) -> Result<(), SimulatedFleetError> {
        if self.latency[0] > self.latency[1] {
            return Err(SimulatedFleetError::Conditions(
                "latency: the lower bound is above the upper bound",
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
