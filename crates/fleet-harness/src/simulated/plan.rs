//! What to play: how many simulated members, over which network, and what disturbs them.

use std::time::Duration;

/// Members of one play, at most.
pub const MEMBERS_MOST: usize = 2_000;
/// Members of one play, at least.
pub const MEMBERS_LEAST: usize = 2;
/// A play lasts at most this long after its start.
pub const DURATION_MOST: Duration = Duration::from_secs(3600);
/// A play lasts at least this long: below it, a rate per second says nothing.
pub const DURATION_LEAST: Duration = Duration::from_secs(1);
/// Zones that members are spread over, by their index.
pub const ZONES: usize = 6;
/// One rack holds one in so many members.
pub const MEMBERS_PER_RACK: usize = 30;
/// The disturbance begins after this part of the play's duration.
pub const QUIET_PART: u32 = 10;

/// What carries packets between the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// A socket for each member, on loopback, and the wall clock.
    Udp,
    /// A simulated network and a simulated clock: the same seed plays the same.
    Virtual,
}

/// What happens to the fleet; one per play, a tenth of the play after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    None,
    /// One in so many members is killed at once, and stays away.
    Crashes {
        one_in: u32,
    },
    /// One in `MEMBERS_PER_RACK` members is killed at once, and stays away.
    RackDown,
    /// One zone of so many is killed at once, and stays away.
    ZoneDown {
        zones: u32,
    },
    /// Two halves, drawn by the seed, are cut off from each other.
    Halves {
        duration: Duration,
    },
    /// So many are killed at once, and started again after [`super::RESTART_AFTER`].
    Restarts {
        count: u32,
    },
}

/// The settings of the membership that a play may vary; the defaults are those of `deploy/fleet.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Each period a member probes one other.
    pub period: Duration,
    /// An answer that takes longer is asked for through others.
    pub round_trip: Duration,
    /// Time to refute a suspicion; `None`: four periods, and more from ten members on.
    pub suspicion: Option<Duration>,
    /// A majority agrees for so long before a member is evicted; `None`: never.
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
    /// The part of all packets that is lost.
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

/// See the module's text.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedFleetPlan {
    pub members: usize,
    /// After the fleet has agreed at the start.
    pub duration: Duration,
    pub disturbance: Disturbance,
    pub transport: Transport,
    pub seed: u64,
    pub timing: Timing,
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

/// Why a play of simulated members could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SimulatedFleetError {
    #[error("members: {0} is not from {MEMBERS_LEAST} to {MEMBERS_MOST}")]
    Members(usize),
    #[error("duration: {0:?} is not from {DURATION_LEAST:?} to {DURATION_MOST:?}")]
    Duration(Duration),
    #[error("disturbance: {0}")]
    Disturbance(String),
    #[error("timing: {0}")]
    Timing(&'static str),
    #[error("conditions: {0}")]
    Conditions(&'static str),
    #[error("a member's settings: {0}")]
    Settings(String),
    #[error("sockets: {0}")]
    Io(#[from] std::io::Error),
}

impl SimulatedFleetPlan {
    /// When the disturbance begins, after the start.
    pub fn disturbed_after(&self) -> Duration {
        self.duration / QUIET_PART
    }

    /// Checks every value; nothing is started before.
    pub fn check(&self) -> Result<(), SimulatedFleetError> {
        if !(MEMBERS_LEAST..=MEMBERS_MOST).contains(&self.members) {
            return Err(SimulatedFleetError::Members(self.members));
        }
        if !(DURATION_LEAST..=DURATION_MOST).contains(&self.duration) {
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
