//! The durable log of the messages that a sender has accepted. A message is written to it before the client is answered
//! `+OK`, and the start of an attempt before the request's last byte is sent.
//!
//! Start at [`Journal`]: [`Journal::open`] reads a folder and returns the messages of an earlier process
//! ([`Recovered`]), [`Journal::append`] persists a batch of records, [`Journal::compact`] does one bounded step of
//! compaction, and [`Journal::admit`] checks whether there is room for a further message. All file access goes through
//! [`Storage`]: [`Folder`] is a directory, [`Memory`] a simulated one with fault injection. The crate reads no clock
//! and starts no thread.
//!
//! The state is the join of all records on disk: it depends neither on their order nor on how often a record is
//! present. Compaction may therefore move records, and a process killed at any byte loses none that was acknowledged.
//! `docs/journal-design.md` has the reasons, and `docs/journal-format.md` specifies the files byte by byte.
//!
//! Modules, from the lowest layer up: `format` encodes and decodes files, `storage` abstracts the file system, `index`
//! tracks which records are live, `scan` reads a folder, `recovery` rebuilds its messages, and `journal` is an open
//! journal.

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
pub use journal::{AdmittedRoom, CompactionStep, Journal, Stats};
pub use memory::{Crash, FileOperation, Memory};
pub use options::Options;
pub use recovery::{FolderContents, LostMessage, Recovered, read_folder};
pub use scan::{DamageCause, DamagedRange, RecordLocation, Scan, ScannedSegment, TornWrite, scan};
pub use storage::{BLOCK_BYTES, Storage, disk_usage};
