//! The network of a scenario with a fleet: the relay between all members, and the simulated members.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cranehill_scenario_runner::{Network, Plan};
use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::scenario::Scenario;

use crate::relay::Relay;
use crate::simulated::{SimulatedFleet, SimulatedFleetError, SimulatedFleetRun};

/// Traffic between the members of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetTraffic {
    /// Packets that each member sent through the relay, by member number. Real senders send all their packets through it.
    pub packets: Vec<u64>,
    /// Bytes that each member sent through the relay, by member number.
    pub bytes: Vec<u64>,
    /// Packets that the relay dropped because of network faults.
    pub lost: u64,
    /// Observations and traffic of the simulated members; `None` in a scenario without any.
    pub simulated: Option<SimulatedFleetRun>,
}

/// The relay, and the simulated members that it connects to the real senders.
pub(crate) struct HarnessNetwork<'a> {
    scenario: &'a Scenario,
    seed: u64,
    relay: Relay,
    simulated: Option<SimulatedFleet>,
}

impl HarnessNetwork<'_> {
    /// Starts the relay; simulated members start in [`Network::join`].
    pub(crate) fn start(plan: &Plan) -> io::Result<HarnessNetwork<'_>> {
        let relay = Relay::start(
            plan.scenario.members(),
            plan.scenario.network_faults.clone(),
            plan.seed,
        )?;
        Ok(HarnessNetwork {
            scenario: &plan.scenario,
            seed: plan.seed,
            relay,
            simulated: None,
        })
    }

    /// Stops the simulated members and returns the traffic of the run.
    pub(crate) fn end(self) -> io::Result<FleetTraffic> {
        let simulated = self
            .simulated
            .map(SimulatedFleet::end)
            .transpose()
            .map_err(io_error)?;
        let relayed = self.relay.traffic();
        Ok(FleetTraffic {
            packets: relayed.packets,
            bytes: relayed.bytes,
            lost: relayed.lost,
            simulated,
        })
    }
}

fn io_error(error: SimulatedFleetError) -> io::Error {
    match error {
        SimulatedFleetError::Io(error) => error,
        error => io::Error::other(format!("simulated members: {error}")),
    }
}

impl Network for HarnessNetwork<'_> {
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
                .map_err(io_error)?;
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
