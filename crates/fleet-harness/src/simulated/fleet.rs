//! Simulated members beside real senders, in one fleet and under one scenario.
//!
//! Packets between a real sender and a simulated member pass the relay in both directions, which applies network faults and counts as
//! between two real senders. Packets between two simulated members do not, and the engine applies network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranehill_scenario_runner::Network;
use cranehill_scheduler::Time;
use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::scenario::Scenario;

use super::engine::{AddressBook, Common};
use super::member::Setup;
use super::observer::Observation;
use super::plan::{SimulatedFleetError, Timing};
use super::script::Script;
use super::traffic::{Passed, Traffic};
use super::udp::{Clock, Running, free_addresses};

/// Simulated members, and as many real senders, that each simulated member contacts first.
const SEEDS_OF_EACH: usize = 2;

/// The simulated members of a scenario.
pub struct SimulatedFleet {
    running: Running,
    traffic: Arc<Traffic>,
    first: usize,
    members: usize,
    began: Option<(Time, Vec<Passed>)>,
    /// Addresses of some of them, for others to contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Observations and traffic of the simulated members of a scenario.
#[derive(Clone, Debug)]
pub struct SimulatedFleetPlay {
    /// Simulated members.
    pub members: usize,
    /// When the scenario began, on the observations' clock.
    pub began: Time,
    /// Their observations.
    pub observations: Vec<Observation>,
    /// Bytes that they sent, together.
    pub bytes_sent: u64,
    /// Bytes that they received, together.
    pub bytes_received: u64,
    /// Packets that they sent, together.
    pub packets_sent: u64,
    /// Packets that were lost between them by network faults.
    pub lost: u64,
    /// Processor time of their threads.
    pub cpu: Duration,
}

impl SimulatedFleet {
    /// Starts the simulated members of a scenario. The real senders receive packets at `senders`; `between` is the network between
    /// them and the simulated members.
    ///
    /// # Errors
    /// The timing is not valid, or a socket fails.
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
        let common = Common {
            addresses: Arc::new(AddressBook::new(&addresses)),
            traffic: Arc::clone(&traffic),
            script: Arc::new(Script {
                network_faults: scenario.network_faults.clone(),
                scheduled_actions: scenario.scheduled_actions.clone(),
            }),
            first_simulated: scenario.senders,
            seed,
        };
        let running = Running::start(&common, setups, listen, Clock::start())?;
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

    /// The scenario begins.
    pub fn begin(&mut self, at: Instant) {
        let at = self.running.clock.time(at);
        self.began = Some((at, self.traffic.passed()));
        self.running.begin(at);
    }

    /// Ends all simulated members.
    ///
    /// # Errors
    /// One of their threads has failed.
    pub fn end(self) -> Result<SimulatedFleetPlay, SimulatedFleetError> {
        let now = self.traffic.passed();
        let (began, before) = self
            .began
            .unwrap_or_else(|| (self.running.clock.now(), now.clone()));
        let passed: Vec<Passed> = now
            .iter()
            .zip(&before)
            .skip(self.first)
            .map(|(now, before)| now.since(*before))
            .collect();
        let sum = |of: fn(&Passed) -> u64| passed.iter().map(of).sum();
        let observations = self.running.observations.try_iter().collect();
        Ok(SimulatedFleetPlay {
            members: self.members,
            began,
            observations,
            bytes_sent: sum(|passed| passed.bytes_sent),
            bytes_received: sum(|passed| passed.bytes_received),
            packets_sent: sum(|passed| passed.packets_sent),
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
