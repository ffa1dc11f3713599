//! Sweeps for the capacity plan: the real code at several sizes, measured. `cranehill_capacity` evaluates the measurements.
//!
//! Start at [`play`].

mod args;
mod backlog;
mod destinations;
mod directory;
mod error;
mod events;
mod gathered;
mod members;
mod reducer;
mod sender;
mod watchers;

use cranehill_capacity::{Figure, Sweep};

pub use args::SweepArgs;
pub use error::{MeasurementError, SweepError};
pub use sender::StartError;

/// Plays the sweeps one after the other; `progress` is called with a text for each size.
///
/// # Errors
/// A measurement fails, or its figures can't be fitted.
pub fn play(args: &SweepArgs, mut progress: impl FnMut(&str)) -> Result<Vec<Figure>, SweepError> {
    let mut figures = Vec::new();
    for &sweep in &args.sweeps {
        let played = match sweep {
            Sweep::Destinations => destinations::play(args, &mut progress)?,
            Sweep::Backlog => backlog::play(args, &mut progress)?,
            Sweep::Members => members::play(args, &mut progress)?,
            Sweep::Events => events::play(args, &mut progress)?,
            Sweep::Changes => watchers::play(args, &mut progress)?,
        };
        figures.extend(played);
    }
    Ok(figures)
}
