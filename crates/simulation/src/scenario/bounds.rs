//! The bounds of what a scenario may ask for.

use std::time::Duration;

/// Longer runs are for the simulator.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Each sender has an address of its own in 127.0.0.0/8 for each simulated server.
pub(super) const MAX_SENDERS: usize = 250;
/// Senders and simulated members together.
pub(super) const MAX_MEMBERS: usize = 2_000;
/// Endpoints of all destinations together, and destinations that one table makes: each endpoint is a listening socket.
pub(super) const MAX_ENDPOINTS: usize = 100_000;
/// Endpoints of one destination.
pub(super) const MAX_DESTINATION_ENDPOINTS: usize = 64;
/// Messages in one call.
pub(super) const MAX_CALL_MESSAGES: usize = 64;
