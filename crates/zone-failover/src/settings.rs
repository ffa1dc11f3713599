//! [`Settings`]: when a fleet evacuates a zone and returns to it. `docs/zones.md` gives the reasons.

use std::time::Duration;

/// Settings of the zone failover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Period over which a member judges a zone by its attempts.
    pub window: Duration,
    /// Time for which a quorum must continuously see a zone fail before it is evacuated: members that see it serve have
    /// this time to announce it.
    pub failure_confirmation: Duration,
    /// Probe calls per second into an evacuated zone, by the whole fleet.
    pub probes_per_second: f64,
    /// Lower and upper bound of the minimum duration of an evacuation.
    pub evacuation_bounds: [Duration; 2],
    /// Duration of a return (the recovery ramp): the time in which a destination warms up.
    pub ramp_duration: Duration,
    /// If a zone fails again within this time after it is back in service, the next evacuation lasts twice as long.
    pub repeat_failure_period: Duration,
}
