//! The effect of network faults on a packet between two members.

use std::time::Duration;

use cranehill_simulation::fleet::{NetworkFault, PathFault};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The effect of the network faults on a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PacketOutcome {
    /// The packet reaches its receiver, perhaps delayed.
    Delivered {
        /// Earliest delivery, as time since the clock of the faults started; zero if the packet is not delayed.
        at: Duration,
    },
    /// A fault dropped the packet.
    Lost,
}

/// Applies all active faults to a packet that is sent at `now`, the time since the clock of the faults started. The longest
/// delay counts; `rng` decides random drops.
pub(crate) fn apply_faults(
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
    PacketOutcome::Delivered { at }
}
