//! What to sweep.

use std::path::PathBuf;

use cranehill_capacity::Sweep;
use cranehill_capacity::sizes::Sizes;

/// What to sweep.
#[derive(Clone, Debug)]
pub struct SweepArgs {
    /// The sender's program.
    pub program: PathBuf,
    /// The sizes of each sweep.
    pub sizes: Sizes,
    /// The sweeps, in order.
    pub sweeps: Vec<Sweep>,
    /// Measure counts and bytes alone.
    pub quick: bool,
    /// Seed of all random draws.
    pub seed: u64,
}
