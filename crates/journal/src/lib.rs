//! The durable log of the messages that a sender has accepted: a message is in it before `+OK` is answered, an attempt
//! before its last byte is sent.
//!
//! Start at [`Journal`]: [`Journal::open`] reads a folder and returns what an earlier process left ([`Recovered`]),
//! [`Journal::append`] persists a batch of records, [`Journal::compact`] does one bounded step of compaction, and
//! [`Journal::admit`] says whether there is room for a further message. Files are reached through [`Storage`] only:
//! [`Folder`] is a real one, [`Memory`] can be made to fail. The package reads no clock and starts no thread.
//!
//! The state is the join of all records on disk, whatever their order and however often each is there; so compaction
//! may move them, and a kill at any byte leaves none out. `docs/journal-design.md` has the reasons, and
//! `docs/journal-format.md` the files to the byte.
//!
//! From below: `format` has the bytes, `storage` the files, `index` which records are live, `scan` what a folder
//! holds, `recovery` the messages in it, and `journal` an open journal.

mod error;
mod folder;
mod format;
#[doc(hidden)]
pub mod fuzzing;
mod index;
mod journal;
mod legacy_ledger;
mod memory;
mod options;
mod record_conversion;
mod recovery;
mod scan;
mod storage;
mod time;

pub use error::{AppendError, OpenError};
pub use folder::Folder;
pub use format::body::decompress as decompress_body;
pub use format::key::Key;
pub use format::packed_id::PackedId;
pub use format::record::{AcceptedMessage, JournalRecord, MessageRef, RawBytes};
pub use index::MessageCounts;
pub use journal::{CompactionStep, Journal, Stats};
pub use memory::{Change, Crash, Memory};
pub use options::Options;
pub use recovery::{FolderContents, LostMessage, Recovered, read_folder};
pub use scan::{DamageCause, DamagedRange, RecordLocation, Scan, ScannedSegment, TornWrite, scan};
pub use storage::{BLOCK_BYTES, Storage, disk_usage};
