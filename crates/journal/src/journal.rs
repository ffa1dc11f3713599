//! [`Journal`], an open journal. `state` defines the type; each other module implements one of its functions.

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

pub use self::admission::AdmittedRoom;
pub use self::state::Journal;
pub use self::stats::{CompactionStep, Stats};
