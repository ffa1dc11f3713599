//! Runs a fleet on a simulated network and a simulated clock.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, Network};
use super::figures::SimulatedFleetFigures;
use super::member::Packet;
use super::phases::{RunPhases, Usage};
use super::plan::{Conditions, SimulatedFleetError, SimulatedFleetPlan};
use super::setup::FleetSetup;
use super::usage;

/// Start of the simulated clock: any time well after 1970.
const START: Time = Time(1_700_000_000_000_000_000);
/// Time between the starts of two members, since real processes do not start at the same instant.
const START_INTERVAL: Duration = Duration::from_millis(1);

/// A network that delays each packet by a random latency.
#[derive(Debug)]
struct SimulatedNetwork {
    conditions: Conditions,
    rng: ChaCha8Rng,
}

impl Network for SimulatedNetwork {
    fn open(&mut self, _member: usize) -> io::Result<()> {
        Ok(())
    }

    fn close(&mut self, _member: usize) {}

    fn send(&mut self, _from: usize, _to: Option<usize>, _packet: &Packet) -> Option<Duration> {
        let [min, max] = self
            .conditions
            .latency
            .map(|latency| latency.as_nanos() as u64);
        Some(Duration::from_nanos(self.rng.random_range(min..=max)))
    }
}

/// The address of a member on the simulated network.
fn address(member: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 1, (member / 250) as u8, 1 + (member % 250) as u8],
        7946,
    ))
}

/// Runs a fleet to the end of its measured duration.
pub(super) fn play(
    plan: &SimulatedFleetPlan,
) -> Result<SimulatedFleetFigures, SimulatedFleetError> {
    let resident_before = usage::resident_bytes();
    let addresses: Vec<SocketAddr> = (0..plan.members).map(address).collect();
    let setup = FleetSetup::of(plan, &addresses);
    let mut phases = RunPhases::new(plan, &setup.context, START);
    let network = SimulatedNetwork {
        conditions: plan.conditions,
        rng: ChaCha8Rng::seed_from_u64(plan.seed.rotate_left(17)),
    };
    let mut engine = Engine::new(setup.context, setup.members, network, true);
    engine.schedule_starts(START, START_INTERVAL);
    let cpu_before = run(&mut engine, &mut phases)?;
    let cpu = engine.member_cpu().saturating_sub(cpu_before);
    let resident_bytes = usage::resident_bytes().saturating_sub(resident_before);
    Ok(phases.figures(Usage {
        cpu,
        resident_bytes,
    }))
}

/// Runs all events until the measured duration ends. Returns the processor time that members had used
/// when it began.
fn run(
    engine: &mut Engine<SimulatedNetwork>,
    phases: &mut RunPhases,
) -> Result<Duration, SimulatedFleetError> {
    let mut cpu_before = Duration::ZERO;
    while let Some(now) = engine.due() {
        if phases.measurement_end().is_some_and(|end| now > end) {
            break;
        }
        engine.run_next(now, now)?;
        engine
            .observations()
            .for_each(|observation| phases.add(&observation));
        if phases.check(now) {
            phases.begin_measurement(now);
            engine.start_script(now);
            cpu_before = engine.member_cpu();
        }
    }
    Ok(cpu_before)
}
