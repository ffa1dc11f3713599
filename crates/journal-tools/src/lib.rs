//! Reads a journal's folder, at rest or while a sender writes to it, and never changes it.
//!
//! Start at [`Snapshot::take`]; [`verify`], [`stats`] and [`rows`] report what it holds, [`export`] writes its records
//! to a file.

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
