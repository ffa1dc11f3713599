//! What the rig puts network the senders of a day: the relay, and the simulated members beside them.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cranehill_scenario_runner::{Network, Plan};
use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::scenario::Scenario;

use crate::relay::Relay;
use crate::simulated::{SimulatedFleet, SimulatedFleetError, SimulatedFleetPlay};

/// What passed network the members of a day's fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetTraffic {
    /// Packets and bytes that a member sent through the relay, by its number: all that real senders sent.
    pub packets: Vec<u64>,
    pub bytes: Vec<u64>,
    /// Packets that were lost on a broken way through the relay.
    pub lost: u64,
    /// What the simulated members did and saw, on a day with some.
    pub simulated: Option<SimulatedFleetPlay>,
}

/// See the module's text.
pub struct RigNetwork<'a> {
    scenario: &'a Scenario,
    seed: u64,
    relay: Relay,
    simulated: Option<SimulatedFleet>,
}

impl RigNetwork<'_> {
    pub fn start(plan: &Plan) -> io::Result<RigNetwork<'_>> {
        let relay = Relay::start(
            plan.scenario.members(),
            plan.scenario.network_faults.clone(),
            plan.seed,
        )?;
        Ok(RigNetwork {
            scenario: &plan.scenario,
            seed: plan.seed,
            relay,
            simulated: None,
        })
    }

    /// What passed by the day's end.
    pub fn end(self) -> io::Result<FleetTraffic> {
        let simulated = self
            .simulated
            .map(SimulatedFleet::end)
            .transpose()
            .map_err(other)?;
        let passed = self.relay.passed();
        Ok(FleetTraffic {
            packets: passed.packets,
            bytes: passed.bytes,
            lost: passed.lost,
            simulated,
        })
    }
}

fn other(error: SimulatedFleetError) -> io::Error {
    match error {
        SimulatedFleetError::Io(error) => error,
        error => io::Error::other(format!("simulated members: {error}")),
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
        if self.scenario.simulated == 0 {
            return Ok(Vec::new());
        }
        let simulated =
            SimulatedFleet::start(self.scenario, self.seed, fleet, senders, &mut self.relay)
                .map_err(other)?;
        let seeds = simulated.seeds.clone();
        self.simulated = Some(simulated);
        Ok(seeds)
    }

    fn begin(&mut self, at: Instant) {
        self.relay.begin(at);
        if let Some(simulated) = &mut self.simulated {
            simulated.begin(at);
        }
    }
}
