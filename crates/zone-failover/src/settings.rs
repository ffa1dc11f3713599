//! [`Settings`]: when a fleet evacuates a zone and returns to it. `docs/zones.md` has the reasons.

use std::time::Duration;

/// When a fleet evacuates a zone and returns to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Attempts count for this long.
    pub window: Duration,
    /// A quorum must see a zone fail for this long: members that see it serve have this time to announce it.
    pub settle: Duration,
    /// Probe calls a second into an evacuated zone, over the whole fleet.
    pub probes: f64,
    /// The shortest and the longest evacuation.
    pub out: [Duration; 2],
    /// How long a return lasts: the time until a destination is warm.
    pub warm: Duration,
    /// A zone that fails again within this time after its return is evacuated for twice as long.
    pub calm: Duration,
}
