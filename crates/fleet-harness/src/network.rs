//! What the rig puts network the senders of a day: the relay, and the hollow members beside them.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cranehill_scenario_runner::{Network, Plan};
use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::scenario::Scenario;

use crate::hollow::{HollowError, HollowFleet, HollowPassed};
use crate::relay::Relay;

/// What passed network the members of a day's fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetTraffic {
    /// Packets and bytes that a member sent through the relay, by its number: all that real senders sent.
    pub packets: Vec<u64>,
    pub bytes: Vec<u64>,
    /// Packets that were lost on a broken way through the relay.
    pub lost: u64,
    /// What the hollow members did and saw, on a day with some.
    pub hollow: Option<HollowPassed>,
}

/// See the module's text.
pub struct RigNetwork<'a> {
    scenario: &'a Scenario,
    seed: u64,
    relay: Relay,
    hollow: Option<HollowFleet>,
}

impl RigNetwork<'_> {
    pub fn start(plan: &Plan) -> io::Result<RigNetwork<'_>> {
        let relay = Relay::start(
            plan.scenario.members(),
            plan.scenario.breaks.clone(),
            plan.seed,
        )?;
        Ok(RigNetwork {
            scenario: &plan.scenario,
            seed: plan.seed,
            relay,
            hollow: None,
        })
    }

    /// What passed by the day's end.
    pub fn end(self) -> io::Result<FleetTraffic> {
        let hollow = self
            .hollow
            .map(HollowFleet::end)
            .transpose()
            .map_err(other)?;
        let passed = self.relay.passed();
        Ok(FleetTraffic {
            packets: passed.packets,
            bytes: passed.bytes,
            lost: passed.lost,
            hollow,
        })
    }
}

fn other(error: HollowError) -> io::Error {
    match error {
        HollowError::Io(error) => error,
        error => io::Error::other(format!("hollow members: {error}")),
    }
}

impl Network for RigNetwork<'_> {
    fn destination_address(
        &mut self,
        sender: usize,
        zone: usize,
        real: SocketAddr,
    ) -> io::Result<SocketAddr> {
        self.relay.destination_address(sender, zone, real)
    }

    fn sender_address(&mut self, sender: usize, real: SocketAddr) -> io::Result<SocketAddr> {
        self.relay.sender_address(sender, real)
    }

    fn join(&mut self, fleet: &Fleet, senders: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
        if self.scenario.hollow == 0 {
            return Ok(Vec::new());
        }
        let hollow = HollowFleet::start(self.scenario, self.seed, fleet, senders, &mut self.relay)
            .map_err(other)?;
        let seeds = hollow.seeds.clone();
        self.hollow = Some(hollow);
        Ok(seeds)
    }

    fn begin(&mut self, at: Instant) {
        self.relay.begin(at);
        if let Some(hollow) = &mut self.hollow {
            hollow.begin(at);
        }
    }
}
