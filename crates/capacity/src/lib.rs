//! The planned size and what it asks of each role: budgets, fits of measured sweeps, and the figures of
//! `docs/CAPACITY.md`.
//!
//! Start at [`Figure`]: a [`Quantity`] of the [`catalog`], the samples that a sweep measured, and what follows from them
//! at the planned size. [`page`] reads the figures that the page states and [`compare`] holds a fresh run against them.
//! Nothing here reads a clock, a file or a socket; the sweeps themselves are `cranehill_fleet_harness::sweep`.
#![forbid(unsafe_code)]

pub mod catalog;
pub mod compare;
pub mod derived;
mod figure;
pub mod first;
mod fit;
pub mod page;
pub mod plan;
pub mod plot;
mod sample;
pub mod sizes;
pub mod table;

pub use catalog::{Axis, Breaks, Direction, Kind, Quantity, Role, Sweep, Unit};
pub use figure::{Figure, Finding};
pub use fit::{Fit, FitError, STRAIGHT_LEAST, Shape, fit};
pub use sample::{Sample, SampleError, Samples};
