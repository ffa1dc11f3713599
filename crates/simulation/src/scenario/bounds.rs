//! Bounds on the size of a scenario.

use std::time::Duration;

/// Longest duration of a scenario, which is played in real time. Longer runs belong in the simulator.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Largest number of senders. The number of a sender is part of the loopback addresses (127.0.0.0/8) that it uses.
pub(super) const MAX_SENDERS: usize = 250;
/// Largest number of senders and simulated members together.
pub(super) const MAX_MEMBERS: usize = 2_000;
/// Largest number of endpoints of all destinations together, and of destinations from one table. Each endpoint is a listening
/// socket.
pub(super) const MAX_ENDPOINTS: usize = 100_000;
/// Largest number of endpoints of one destination.
pub(super) const MAX_DESTINATION_ENDPOINTS: usize = 64;
/// Largest number of messages in one call.
pub(super) const MAX_CALL_MESSAGES: usize = 64;
