//! The planned size of a fleet and its cost for each role: budgets, fits of measured sweeps, and the figures of
//! `docs/CAPACITY.md`.
//!
//! Start at [`Figure`]: a [`Quantity`] of the [`catalog`], the samples that a sweep measured, and the value that follows from them
//! at the planned size. [`page`] reads the figures that the page states, and [`compare`] compares a new run with them.
//! Nothing here reads a clock, a file or a socket; the sweeps themselves are `cranehill_fleet_harness::sweep`.

pub mod catalog;
pub mod compare;
pub mod derived;
mod earliest_failures;
mod figure;
mod fit;
pub mod page;
pub mod plan;
pub mod plot;
mod quantity;
mod sample;
pub mod sizes;
mod stated;
pub mod table;

pub use figure::{Figure, Finding};
pub use fit::{Fit, FitError, MIN_SAMPLES, Shape, fit};
pub use quantity::{Axis, Consequence, Direction, Kind, Quantity, Role, Sweep, Unit};
pub use sample::{Sample, SampleError, Samples};
