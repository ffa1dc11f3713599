//! [`Journal`]: an open journal. Each file here adds one job to it; `state` has what they share.

mod admission;
mod append;
mod batch;
mod compaction;
mod migration;
mod open;
mod relocation;
mod rotation;
mod segments;
mod state;
mod stats;

pub use self::state::Journal;
pub use self::stats::{CompactionStep, Stats};
