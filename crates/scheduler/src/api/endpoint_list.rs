//! Entries of the endpoint list that discovery maintains.

use super::identifiers::{DestinationId, EndpointId};

/// Whether an endpoint is listed for new calls. Independent of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Listed and open to new calls.
    Ready,
    /// Listed, but no new call may be sent to it; calls in flight continue.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// Whether new calls may be sent to the endpoint.
    pub condition: Condition,
    /// Zone of the endpoint.
    pub zone: u32,
    /// Kind of the destination, as a position in [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// Calls a second that the destination, or the endpoint's own route if endpoints are separate routes, accepts from all
    /// senders together. Approximate; zero or less if unknown. Used only with
    /// [`Settings::rates_listed`](super::Settings::rates_listed).
    pub rate: f64,
}
