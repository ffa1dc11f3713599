//! The effect of network faults on a packet between two members.

use std::time::Duration;

use cranehill_simulation::fleet::{NetworkFault, PathFault};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// What happens to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PacketOutcome {
    /// It is delivered.
    Through {
        /// Not before this time, on the clock of the faults; zero if it is not delayed.
        at: Duration,
    },
    /// It is dropped.
    Lost,
}

/// What happens to a packet that is sent at `now`, on the clock of the faults.
pub(crate) fn outcome(
    network_faults: &[NetworkFault],
    from: usize,
    to: usize,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> PacketOutcome {
    let mut at = Duration::ZERO;
    for fault in network_faults
        .iter()
        .filter(|fault| fault.is_on(now) && fault.between(from, to))
    {
        match fault.path_fault {
            PathFault::Cut => return PacketOutcome::Lost,
            PathFault::Drop { share } if rng.random_bool(share) => return PacketOutcome::Lost,
            PathFault::Delay { by } => at = at.max(now + by),
            PathFault::Stall => at = at.max(fault.until),
            PathFault::Drop { .. } | PathFault::Reset => {}
        }
    }
    PacketOutcome::Through { at }
}
