//! Simulated members that form one fleet with real senders, in one scenario.
//!
//! Packets between a real sender and a simulated member pass through the relay in both directions. It counts them and applies network
//! faults, as it does between two real senders. Packets between two simulated members do not pass through the relay; the engine
//! applies network faults to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranehill_scenario_runner::Network;
use cranehill_scheduler::Time;
use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::scenario::Scenario;

use super::engine::{AddressBook, SharedContext};
use super::member::Setup;
use super::observer::Observation;
use super::plan::{SimulatedFleetError, Timing};
use super::script::Script;
use super::traffic::{MemberTraffic, Traffic};
use super::udp::{Clock, Running, free_addresses};

/// Number of simulated members, and as many real senders, that each simulated member contacts first.
const SEEDS_OF_EACH: usize = 2;

/// The running simulated members of a scenario.
pub struct SimulatedFleet {
    running: Running,
    traffic: Arc<Traffic>,
    /// Number of the first simulated member.
    first: usize,
    members: usize,
    /// Start of the scenario, and the traffic up to then; `None` before it starts.
    began: Option<(Time, Vec<MemberTraffic>)>,
    /// Addresses of some simulated members, which real senders contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Observations and traffic of the simulated members of a scenario.
#[derive(Clone, Debug)]
pub struct SimulatedFleetRun {
    /// Number of simulated members.
    pub members: usize,
    /// Time at which the scenario began, on the clock of the observations.
    pub began: Time,
    /// Observations of the simulated members, in the order in which they were reported.
    pub observations: Vec<Observation>,
    /// Bytes sent by all simulated members together.
    pub bytes_sent: u64,
    /// Bytes received by all simulated members together.
    pub bytes_received: u64,
    /// Packets sent by all simulated members together.
    pub packets_sent: u64,
    /// Packets between simulated members that were dropped by network faults.
    pub lost: u64,
    /// Processor time of the simulated members' threads.
    pub cpu: Duration,
}

impl SimulatedFleet {
    /// Starts the simulated members of a scenario. `senders` are the addresses at which the real senders receive packets; `between`
    /// is the network between real senders and simulated members.
    ///
    /// # Errors
    /// The timing of the membership is not valid, or a socket operation fails.
    pub fn start(
        scenario: &Scenario,
        seed: u64,
        fleet: &Fleet,
        senders: &[SocketAddr],
        between: &mut dyn Network,
    ) -> Result<SimulatedFleet, SimulatedFleetError> {
        let timing = timing(fleet);
        timing.check()?;
        let listen = free_addresses(scenario.senders, scenario.simulated)?;
        let mut addresses = senders.to_vec();
        for (index, real) in listen.iter().enumerate() {
            addresses.push(between.sender_address(scenario.senders + index, *real)?);
        }
        let seeds: Vec<SocketAddr> = addresses[scenario.senders..]
            .iter()
            .copied()
            .take(SEEDS_OF_EACH)
            .collect();
        let setup = |index| Setup {
            index,
            address: addresses[index],
            seeds: senders
                .iter()
                .take(SEEDS_OF_EACH)
                .chain(&seeds)
                .copied()
                .collect(),
            fleet_size: scenario.members(),
            timing,
        };
        let setups = (scenario.senders..scenario.members()).map(setup).collect();
        let traffic = Arc::new(Traffic::new(scenario.members()));
        let context = SharedContext {
            addresses: Arc::new(AddressBook::new(&addresses)),
            traffic: Arc::clone(&traffic),
            script: Arc::new(Script {
                network_faults: scenario.network_faults.clone(),
                scheduled_actions: scenario.scheduled_actions.clone(),
            }),
            first_simulated: scenario.senders,
            seed,
        };
        let running = Running::start(&context, setups, listen, Clock::start())?;
        let (first, members) = (scenario.senders, scenario.simulated);
        Ok(SimulatedFleet {
            running,
            traffic,
            first,
            members,
            began: None,
            seeds,
        })
    }

    /// Starts the clock of the scenario's faults and actions.
    pub fn begin(&mut self, at: Instant) {
        let at = self.running.clock.time(at);
        self.began = Some((at, self.traffic.snapshot()));
        self.running.begin(at);
    }

    /// Stops all simulated members and returns their observations and traffic.
    ///
    /// # Errors
    /// A thread that runs simulated members failed.
    pub fn end(self) -> Result<SimulatedFleetRun, SimulatedFleetError> {
        let now = self.traffic.snapshot();
        let (began, before) = self
            .began
            .unwrap_or_else(|| (self.running.clock.now(), now.clone()));
        let traffic: Vec<MemberTraffic> = now
            .iter()
            .zip(&before)
            .skip(self.first)
            .map(|(now, before)| now.since(*before))
            .collect();
        let sum = |of: fn(&MemberTraffic) -> u64| traffic.iter().map(of).sum();
        let observations = self.running.observations.try_iter().collect();
        Ok(SimulatedFleetRun {
            members: self.members,
            began,
            observations,
            bytes_sent: sum(|member| member.bytes_sent),
            bytes_received: sum(|member| member.bytes_received),
            packets_sent: sum(|member| member.packets_sent),
            lost: self.traffic.lost(),
            cpu: self.running.end()?,
        })
    }
}

fn timing(fleet: &Fleet) -> Timing {
    Timing {
        period: fleet.period,
        round_trip: fleet.round_trip,
        suspicion: fleet.suspicion,
        eviction_delay: Some(fleet.hold),
        ..Timing::default()
    }
}
