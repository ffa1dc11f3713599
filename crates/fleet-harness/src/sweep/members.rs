//! Members of the fleet: what membership costs each, and whether the views agree, in the quiet state and under failures.

use std::time::Duration;

use cranehill_capacity::Figure;

use super::args::SweepArgs;
use super::error::{MeasurementError, SweepError};
use super::gathered::Gathered;
use crate::simulated::{self, Disturbance, SimulatedFleetFigures, SimulatedFleetPlan, Transport};

/// One in this many members crashes.
const CRASHED_ONE_IN: u32 = 10;
/// Zones, of which one fails.
const ZONES: u32 = 6;
/// One in this many members is restarted at once: thirty of 490.
const RESTARTED_ONE_IN: u64 = 16;

/// A state of the fleet, with its disturbance and duration.
#[derive(Clone, Copy)]
struct Scene {
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

/// How long a state is played, unless it needs longer: the effects of the start are a small part of it.
const SCENE_DURATION: Duration = Duration::from_secs(45);

/// The states of the operators' table for a fleet of this size. The cut lasts longer than the eviction delay of 30 s: a shorter
/// one can't raise a share.
fn scenes(size: u64) -> [Scene; 6] {
    let restarted = (size / RESTARTED_ONE_IN).max(1) as u32;
    let scene = |state, disturbance| Scene {
        state,
        disturbance,
        duration: SCENE_DURATION,
    };
    [
        scene(State::Quiet, Disturbance::None),
        scene(
            State::Crashes,
            Disturbance::Crashes {
                one_in: CRASHED_ONE_IN,
            },
        ),
        scene(State::Zone, Disturbance::ZoneDown { zones: ZONES }),
        scene(State::Rack, Disturbance::RackDown),
        scene(State::Restarts, Disturbance::Restarts { count: restarted }),
        Scene {
            state: State::Halves,
            disturbance: Disturbance::Halves {
                duration: Duration::from_secs(40),
            },
            duration: Duration::from_secs(80),
        },
    ]
}

/// Plays the sweep; `progress` is called with a text for each size.
pub(super) fn play(
    args: &SweepArgs,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Figure>, SweepError> {
    let mut gathered = Gathered::new(args.quick);
    for &size in &args.sizes.members {
        for scene in scenes(size) {
            progress(&format!("{size} members, {}", scene.state.name()));
            let figures = measure(args, size, scene)?;
            // Members that ran late say nothing of the protocol.
            if figures.held_up > 0 {
                let times = figures.held_up;
                let why = format!("{size} is left out: the machine ran members late {times} times");
                gathered.remark(scene.state.id_prefix(), why);
                continue;
            }
            note(&mut gathered, size, scene.state, &figures)?;
        }
    }
    gathered.figures()
}

fn measure(args: &SweepArgs, size: u64, scene: Scene) -> Result<SimulatedFleetFigures, SweepError> {
    let plan = SimulatedFleetPlan {
        members: size as usize,
        duration: scene.duration,
        disturbance: scene.disturbance,
        // Bytes and packets are exact by the seed in virtual time; their cost is measured with real sockets.
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

fn note(
    gathered: &mut Gathered,
    size: u64,
    state: State,
    figures: &SimulatedFleetFigures,
) -> Result<(), SweepError> {
    let bytes = figures.bytes_sent_per_second.mean + figures.bytes_received_per_second.mean;
    let missing = figures.missing_live_members as f64;
    let processor = figures.cpu_milliseconds_per_second;
    match state {
        State::Quiet => {
            gathered.note("members.quiet.bytes", size, bytes)?;
            gathered.note(
                "members.quiet.packets",
                size,
                figures.packets_sent_per_second.mean,
            )?;
            gathered.note("members.quiet.processor", size, processor)?;
            if !gathered.quick {
                // In virtual time the memory is the simulated network's as well.
                gathered.note(
                    "members.quiet.resident",
                    size,
                    figures.resident_bytes_per_member as f64,
                )?;
            }
            gathered.note("members.quiet.missing", size, missing)
        }
        State::Crashes => {
            gathered.note("members.crashes.bytes", size, bytes)?;
            gathered.note("members.crashes.processor", size, processor)?;
            if let Some(detection) = figures.detection {
                gathered.note("members.crashes.detection", size, detection.p99)?;
            }
            gathered.note("members.crashes.missing", size, missing)
        }
        State::Zone => {
            gathered.note("members.zone.bytes", size, bytes)?;
            gathered.note("members.zone.missing", size, missing)
        }
        State::Rack => {
            gathered.note("members.rack.bytes", size, bytes)?;
            gathered.note("members.rack.missing", size, missing)
        }
        State::Restarts => {
            gathered.note("members.restarts.bytes", size, bytes)?;
            gathered.note("members.restarts.missing", size, missing)
        }
        State::Halves => {
            gathered.note("members.halves.bytes", size, bytes)?;
            match figures.agreed_after {
                Some(after) => gathered.note("members.halves.agreed", size, after.as_secs_f64())?,
                None => gathered.remark(
                    "members.halves",
                    format!("{size}: the views did not agree again in the play"),
                ),
            }
            gathered.note("members.halves.missing", size, missing)?;
            gathered.note("members.halves.share", size, figures.largest_share)
        }
    }
}

impl State {
    /// The prefix of the ids of its quantities.
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

    fn name(self) -> &'static str {
        match self {
            State::Quiet => "quiet",
            State::Crashes => "one in ten crashing",
            State::Zone => "a zone of six gone",
            State::Rack => "one in thirty gone",
            State::Restarts => "restarts",
            State::Halves => "halves cut",
        }
    }
}
