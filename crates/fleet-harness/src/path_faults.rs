//! What becomes of a packet on a way between two senders.

use std::time::Duration;

use cranehill_simulation::fleet::{NetworkFault, PathFault};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// See the module's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketOutcome {
    /// It goes on its way then; zero for at once.
    Through {
        at: Duration,
    },
    Lost,
}

/// `now` is counted from the start of the breaks' clock.
pub fn outcome(
    network_faults: &[NetworkFault],
    from: usize,
    to: usize,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> PacketOutcome {
    let mut at = Duration::ZERO;
    for b in network_faults
        .iter()
        .filter(|b| b.is_on(now) && b.between(from, to))
    {
        match b.path_fault {
            PathFault::Cut => return PacketOutcome::Lost,
            PathFault::Drop { share } if rng.random_bool(share) => return PacketOutcome::Lost,
            PathFault::Delay { by } => at = at.max(now + by),
            PathFault::Stall => at = at.max(b.until),
            PathFault::Drop { .. } | PathFault::Reset => {}
        }
    }
    PacketOutcome::Through { at }
}
