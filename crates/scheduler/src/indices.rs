//! Typed indices and numbers, so that the compiler prevents confusion between them.

/// Index of an endpoint in the table of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointIndex(pub(crate) usize);

/// Index of a route in the table of routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteIndex(pub(crate) usize);

/// Number of a message, in the order accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageNumber(pub(crate) u64);

/// Number of a call, in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallNumber(pub(crate) u64);
