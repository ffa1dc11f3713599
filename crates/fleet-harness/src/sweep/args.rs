//! The arguments of a run of sweeps.

use std::path::PathBuf;

use cranehill_capacity::Sweep;
use cranehill_capacity::sizes::Sizes;

/// The sweeps to run, and how.
#[derive(Clone, Debug)]
pub struct SweepArgs {
    /// Path of the program that is started as a sender.
    pub program: PathBuf,
    /// The sizes that each sweep measures.
    pub sizes: Sizes,
    /// The sweeps to run, in this order.
    pub sweeps: Vec<Sweep>,
    /// Measure only counts and bytes, which do not depend on the machine, and no times.
    pub quick: bool,
    /// Seed of all random draws.
    pub seed: u64,
}
