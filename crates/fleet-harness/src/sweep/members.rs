//! Sweeps the number of members of the fleet: the cost of membership for each, and whether the views agree, without and with
//! disturbances.

use std::time::Duration;

use cranehill_capacity::Figure;

use super::args::SweepArgs;
use super::error::{MeasurementError, SweepError};
use super::samples::SweepSamples;
use crate::simulated::{self, Disturbance, SimulatedFleetFigures, SimulatedFleetPlan, Transport};

/// One in this many members crashes, all of them simultaneously.
const CRASHED_ONE_IN: u32 = 10;
/// Number of zones, of which one fails.
const ZONES: u32 = 6;
/// One in this many members is restarted, all of them simultaneously: 30 of 490.
const RESTARTED_ONE_IN: u64 = 16;

/// One run of a fleet: the state that is measured, its disturbance, and the measured duration.
#[derive(Clone, Copy)]
struct StateRun {
    state: State,
    disturbance: Disturbance,
    duration: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Quiet,
    Crashes,
    Zone,
    Rack,
    Restarts,
    Halves,
}

/// Measured duration of a run, unless its state needs longer. Within it, the effects of the start are small.
const RUN_DURATION: Duration = Duration::from_secs(45);

/// The runs for the states of the operators' table, with a fleet of this size. The cut lasts longer than the eviction delay of
/// 30 s, since a shorter one can't raise the share of a limit.
fn state_runs(size: u64) -> [StateRun; 6] {
    let restarted = (size / RESTARTED_ONE_IN).max(1) as u32;
    let run = |state, disturbance| StateRun {
        state,
        disturbance,
        duration: RUN_DURATION,
    };
    [
        run(State::Quiet, Disturbance::None),
        run(
            State::Crashes,
            Disturbance::Crashes {
                one_in: CRASHED_ONE_IN,
            },
        ),
        run(State::Zone, Disturbance::ZoneDown { zones: ZONES }),
        run(State::Rack, Disturbance::RackDown),
        run(State::Restarts, Disturbance::Restarts { count: restarted }),
        StateRun {
            state: State::Halves,
            disturbance: Disturbance::Halves {
                duration: Duration::from_secs(40),
            },
            duration: Duration::from_secs(80),
        },
    ]
}

/// Runs the sweep; `progress` is called with a short text before each measurement.
pub(super) fn play(
    args: &SweepArgs,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Figure>, SweepError> {
    let mut samples = SweepSamples::new(args.quick);
    for &size in &args.sizes.members {
        for run in state_runs(size) {
            progress(&format!("{size} members, {}", run.state.name()));
            let figures = measure(args, size, run)?;
            // The machine was too busy, so the figures do not show the cost of the protocol.
            if figures.held_up > 0 {
                let times = figures.held_up;
                let reason =
                    format!("{size} is left out: the machine ran members late {times} times");
                samples.remark(run.state.id_prefix(), reason);
                continue;
            }
            add_figures(&mut samples, size, run.state, &figures)?;
        }
    }
    samples.figures()
}

fn measure(
    args: &SweepArgs,
    size: u64,
    run: StateRun,
) -> Result<SimulatedFleetFigures, SweepError> {
    let plan = SimulatedFleetPlan {
        members: size as usize,
        duration: run.duration,
        disturbance: run.disturbance,
        // In virtual time, bytes and packets depend on the seed alone. Processor time is measured with real sockets.
        transport: if args.quick {
            Transport::Virtual
        } else {
            Transport::Udp
        },
        seed: args.seed,
        ..SimulatedFleetPlan::default()
    };
    simulated::play(&plan).map_err(|e| MeasurementError::from(e).at("members", size))
}

/// Adds the figures of one run to the samples of its state's quantities.
fn add_figures(
    samples: &mut SweepSamples,
    size: u64,
    state: State,
    figures: &SimulatedFleetFigures,
) -> Result<(), SweepError> {
    let bytes = figures.bytes_sent_per_second.mean + figures.bytes_received_per_second.mean;
    let missing = figures.missing_live_members as f64;
    let cpu = figures.cpu_milliseconds_per_second;
    match state {
        State::Quiet => {
            samples.add("members.quiet.bytes", size, bytes)?;
            samples.add(
                "members.quiet.packets",
                size,
                figures.packets_sent_per_second.mean,
            )?;
            samples.add("members.quiet.processor", size, cpu)?;
            if !samples.quick {
                // In virtual time the resident memory includes that of the simulated network.
                samples.add(
                    "members.quiet.resident",
                    size,
                    figures.resident_bytes_per_member as f64,
                )?;
            }
            samples.add("members.quiet.missing", size, missing)
        }
        State::Crashes => {
            samples.add("members.crashes.bytes", size, bytes)?;
            samples.add("members.crashes.processor", size, cpu)?;
            if let Some(detection) = figures.detection {
                samples.add("members.crashes.detection", size, detection.p99)?;
            }
            samples.add("members.crashes.missing", size, missing)
        }
        State::Zone => {
            samples.add("members.zone.bytes", size, bytes)?;
            samples.add("members.zone.missing", size, missing)
        }
        State::Rack => {
            samples.add("members.rack.bytes", size, bytes)?;
            samples.add("members.rack.missing", size, missing)
        }
        State::Restarts => {
            samples.add("members.restarts.bytes", size, bytes)?;
            samples.add("members.restarts.missing", size, missing)
        }
        State::Halves => {
            samples.add("members.halves.bytes", size, bytes)?;
            match figures.agreed_after {
                Some(after) => samples.add("members.halves.agreed", size, after.as_secs_f64())?,
                None => samples.remark(
                    "members.halves",
                    format!("{size}: the views did not agree again before the end of the run"),
                ),
            }
            samples.add("members.halves.missing", size, missing)?;
            samples.add("members.halves.share", size, figures.largest_share)
        }
    }
}

impl State {
    /// The prefix of the ids of the state's quantities.
    fn id_prefix(self) -> &'static str {
        match self {
            State::Quiet => "members.quiet",
            State::Crashes => "members.crashes",
            State::Zone => "members.zone",
            State::Rack => "members.rack",
            State::Restarts => "members.restarts",
            State::Halves => "members.halves",
        }
    }

    /// The state as the progress text names it.
    fn name(self) -> &'static str {
        match self {
            State::Quiet => "quiet",
            State::Crashes => "one in ten crashed",
            State::Zone => "one zone of six down",
            State::Rack => "one in thirty down",
            State::Restarts => "one in sixteen restarted",
            State::Halves => "two halves cut off from each other",
        }
    }
}
