//! Parts of shared limits.

/// Calls of one side of a cut to one destination, against its part of the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The destination's name.
    pub destination: String,
    /// Real senders of this side.
    pub senders: usize,
    /// Calls a second before the cut, over its length.
    pub before: f64,
    /// Calls a second during the cut.
    pub during: f64,
    /// The senders' part of the limit, in calls a second.
    pub allowed: f64,
}
