//! Tools that read a journal's folder, also while a sender writes to it, and never change it.
//!
//! Start at [`Snapshot::take`]. [`verify`] checks the folder for damage, [`stats`] summarizes it, [`rows`] reads its
//! records, and [`export`] writes them to a file.

mod error;
pub mod export;
mod limits;
mod row;
mod snapshot;
mod stats;
mod verdict;

pub use error::ToolError;
pub use row::{Row, rows};
pub use snapshot::Snapshot;
pub use stats::{BodyBytes, KindStats, SegmentStats, Stats, stats};
pub use verdict::{Verdict, verify};
