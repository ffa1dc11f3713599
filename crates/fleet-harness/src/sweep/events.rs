//! Events a second of one sender, up to several times its planned mean.

use std::time::Duration;

use cranehill_capacity::Figure;
use cranehill_scenario_runner::measure::{MeasureOptions, step};

use crate::sweep::{Gathered, SweepArgs, SweepError};

/// Endpoints of the simulated destinations, two for each.
const ENDPOINTS: usize = 100;
/// How long each rate is played.
const SPAN: Duration = Duration::from_secs(6);

pub fn play(order: &SweepArgs, progress: &mut impl FnMut(&str)) -> Result<Vec<Figure>, SweepError> {
    let mut gathered = Gathered::new(order.quick);
    for &size in &order.sizes.events {
        progress(&format!("{size} events a second"));
        let setup = MeasureOptions {
            endpoints: ENDPOINTS,
            senders: 1,
            push: false,
            span: SPAN,
            seed: order.seed,
        };
        let failed = |why: String| SweepError::Failed {
            sweep: "events",
            size,
            why,
        };
        let step = step(&order.program, &setup, size as f64).map_err(|e| failed(e.to_string()))?;
        if !step.sustained() {
            let why = if step.clear() {
                "not sustained"
            } else {
                "the machine was too busy"
            };
            gathered.remark("events", format!("{size}: {why}"));
            continue;
        }
        gathered.note("events.cores", size, step.sender_cores)?;
        gathered.note("events.answered", size, step.answered[1] as f64 / 1e3)?;
        gathered.note("events.resident", size, step.memory_kb as f64 * 1024.0)?;
    }
    gathered.figures()
}
