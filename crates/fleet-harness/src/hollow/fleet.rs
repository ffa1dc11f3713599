//! Hollow members beside real senders, in one fleet and under one scenario.
//!
//! Between a real sender and a hollow member packets go through the relay in both directions, which breaks ways and counts
//! as between two real senders. Between two hollow members they go straight, and the engine breaks ways.

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
use super::plan::{HollowError, Timing};
use super::script::Script;
use super::traffic::{Passed, Traffic};
use super::udp::{Clock, Running, free_addresses};

/// Hollow members, and real senders, whom each hollow member asks for the others.
const SEEDS_OF_EACH: usize = 2;

/// The hollow members of a day.
pub struct HollowFleet {
    running: Running,
    traffic: Arc<Traffic>,
    first: usize,
    members: usize,
    began: Option<(Time, Vec<Passed>)>,
    /// Some addresses at which others find them.
    pub seeds: Vec<SocketAddr>,
}

/// What hollow members did and saw on a day.
#[derive(Clone, Debug)]
pub struct HollowPassed {
    pub members: usize,
    /// When the day began, on the observations' clock.
    pub began: Time,
    pub observations: Vec<Observation>,
    /// Over the day, all of them together.
    pub bytes_sent: u64,
    pub bytes_received: u64,
    pub packets_sent: u64,
    pub lost: u64,
    pub cpu: Duration,
}

impl HollowFleet {
    /// Starts the hollow members of a day; the real senders meet each other at `senders`, and each hollow member behind
    /// `between`.
    pub fn start(
        scenario: &Scenario,
        seed: u64,
        fleet: &Fleet,
        senders: &[SocketAddr],
        between: &mut dyn Network,
    ) -> Result<HollowFleet, HollowError> {
        let timing = timing(fleet);
        timing.check()?;
        let listen = free_addresses(scenario.senders, scenario.hollow)?;
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
            book: Arc::new(AddressBook::new(&addresses)),
            traffic: Arc::clone(&traffic),
            script: Arc::new(Script {
                breaks: scenario.breaks.clone(),
                acts: scenario.acts.clone(),
            }),
            first_hollow: scenario.senders,
            seed,
        };
        let running = Running::start(&common, setups, listen, Clock::start())?;
        let (first, members) = (scenario.senders, scenario.hollow);
        Ok(HollowFleet {
            running,
            traffic,
            first,
            members,
            began: None,
            seeds,
        })
    }

    /// The day begins.
    pub fn begin(&mut self, at: Instant) {
        let at = self.running.clock.time(at);
        self.began = Some((at, self.traffic.passed()));
        self.running.begin(at);
    }

    /// Ends all of them.
    pub fn end(self) -> Result<HollowPassed, HollowError> {
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
        Ok(HollowPassed {
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
