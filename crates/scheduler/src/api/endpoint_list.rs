//! Entries of the endpoint list that discovery maintains.

use super::identifiers::{DestinationId, EndpointId};

/// Whether an endpoint is listed for new work. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Listed.
    Ready,
    /// Send nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its state in the list.
    pub condition: Condition,
    /// Its zone.
    pub zone: u32,
    /// Its destination's kind.
    pub kind: usize,
    /// With [`Settings::rates_listed`](super::Settings::rates_listed): calls a second that the destination, or the route where routes are
    /// apart, accepts from all senders together. It may be rough, and is above zero only where it is stated.
    pub rate: f64,
}
