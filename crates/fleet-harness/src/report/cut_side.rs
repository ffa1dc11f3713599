//! The load from one side of a cut.

/// Rate of calls from one side of a cut to one destination, and the share of the destination's limit that these senders may use.
#[derive(Clone, Debug, PartialEq)]
pub struct CutSideLoad {
    /// Name of the destination.
    pub destination: String,
    /// Number of real senders on this side.
    pub senders: usize,
    /// Calls per second before the cut, over a time as long as the cut.
    pub before: f64,
    /// Calls per second during the cut.
    pub during: f64,
    /// The share of the limit that these senders may use, in calls per second.
    pub allowed: f64,
}
