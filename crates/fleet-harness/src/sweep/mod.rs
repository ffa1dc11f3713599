//! Sweeps for the capacity plan: run the real code at several sizes and measure its cost. `cranehill_capacity` evaluates the
//! measurements.
//!
//! Start at [`play`].

mod args;
mod backlog;
mod destinations;
mod directory;
mod error;
mod events;
mod members;
mod reducer;
mod samples;
mod sender;
mod watchers;

use cranehill_capacity::{Figure, Sweep};

pub use args::SweepArgs;
pub use error::{MeasurementError, SweepError};
pub use sender::StartError;

/// Runs the sweeps one after the other and returns their figures. `progress` is called with a short text before each measurement.
///
/// # Errors
/// A measurement fails, or its samples can't be fitted.
pub fn play(args: &SweepArgs, mut progress: impl FnMut(&str)) -> Result<Vec<Figure>, SweepError> {
    let mut figures = Vec::new();
    for &sweep in &args.sweeps {
        let measured = match sweep {
            Sweep::Destinations => destinations::play(args, &mut progress)?,
            Sweep::Backlog => backlog::play(args, &mut progress)?,
            Sweep::Members => members::play(args, &mut progress)?,
            Sweep::Events => events::play(args, &mut progress)?,
            Sweep::Changes => watchers::play(args, &mut progress)?,
        };
        figures.extend(measured);
    }
    Ok(figures)
}
