//! Sweeps the rate of events of one sender, up to several times its planned average.

use std::time::Duration;

use cranehill_capacity::Figure;
use cranehill_scenario_runner::measure::{MeasureOptions, step};

use super::args::SweepArgs;
use super::error::{MeasurementError, SweepError};
use super::samples::SweepSamples;

const SWEEP: &str = "events";
/// Number of endpoints of the simulated destinations, two for each destination.
const ENDPOINTS: usize = 100;
/// Duration of the measurement at each rate.
const RATE_DURATION: Duration = Duration::from_secs(6);

/// Runs the sweep; `progress` is called with a short text before each measurement.
pub(super) fn play(
    args: &SweepArgs,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Figure>, SweepError> {
    let mut samples = SweepSamples::new(args.quick);
    for &size in &args.sizes.events {
        progress(&format!("{size} events a second"));
        let options = MeasureOptions {
            endpoints: ENDPOINTS,
            senders: 1,
            push: false,
            span: RATE_DURATION,
            seed: args.seed,
        };
        let step = step(&args.program, &options, size as f64)
            .map_err(|e| MeasurementError::from(e).at(SWEEP, size))?;
        if !step.sustained() {
            let reason = if step.clear() {
                "not sustained"
            } else {
                "the machine was too busy"
            };
            samples.remark(SWEEP, format!("{size}: {reason}"));
            continue;
        }
        samples.add("events.cores", size, step.sender_cores)?;
        samples.add("events.answered", size, step.answered[1] as f64 / 1e3)?;
        samples.add("events.resident", size, step.memory_kb as f64 * 1024.0)?;
    }
    samples.figures()
}
