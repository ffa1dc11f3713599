//! The log of what the sender owes: a message is in it before `+OK`, an attempt before its last byte goes out.
//!
//! Start at [`Journal`]: [`Journal::open`] reads a folder and tells what an earlier process left ([`Recovered`]),
//! [`Journal::append`] keeps a turn's records, [`Journal::compact`] takes one bounded step of upkeep, and
//! [`Journal::admit`] says whether there is room for a further message. Files are reached through [`Storage`] only:
//! [`Folder`] is a real one, [`Memory`] fails as it is told to. The package reads no clock and starts no thread.
//!
//! The state is the join of all facts on disk, whatever their order and however often each is there; so compaction
//! may move them, and a kill at any byte leaves none out. `docs/journal-design.md` says why it is so, and
//! `docs/journal-format.md` draws the files to the byte.
#![forbid(unsafe_code)]

mod compact;
mod error;
mod fact;
mod frame;
#[doc(hidden)]
pub mod fuzzing;
mod id;
mod index;
mod journal;
mod key;
mod legacy;
mod manifest;
mod memory;
mod open;
mod recover;
mod scan;
mod segment;
mod storage;

pub use compact::CompactionStep;
pub use error::OpenError;
pub use fact::{AcceptedMessage, JournalRecord, unpack};
pub use id::PackedId;
pub use journal::{AppendError, Journal, Options, Stats};
pub use key::Key;
pub use memory::{Change, Crash, Memory};
pub use recover::{FolderContents, LostMessage, PossibleExecutions, Recovered, read};
pub use scan::{DamageCause, DamagedRange, RecordLocation, Scan, ScannedSegment, scan};
pub use storage::{BLOCK_BYTES, Folder, Storage, disk_usage};
