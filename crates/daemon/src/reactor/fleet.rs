//! Packets, inputs and effects of the membership protocol.

use cranehill_core::Input;
use cranehill_membership as membership;

use super::Reactor;
use crate::fleet_endpoint::{MAX_PACKETS_PER_ITERATION, Received};

impl Reactor {
    pub(super) fn receive_from_fleet(&mut self) {
        for _ in 0..MAX_PACKETS_PER_ITERATION {
            let Some(fleet) = &mut self.fleet else { return };
            match fleet.receive() {
                Received::Packet(packet) => {
                    self.step_fleet(membership::Input::PacketReceived(packet));
                }
                Received::Failed => {}
                Received::Nothing => return,
            }
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.leave_rest();
        }
    }

    /// Passes an input to the membership protocol. Only its effects schedule a tick.
    pub(super) fn step_fleet(&mut self, input: membership::Input) {
        self.step_without_tick(Input::Fleet(input));
    }

    pub(super) fn carry_out_for_fleet(&mut self, effect: membership::Effect) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            self.dirty |= fleet.carry_out(effect, now);
        }
    }
}
