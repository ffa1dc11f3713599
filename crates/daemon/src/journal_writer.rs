//! Opening the journal, appending to it and compacting it, with the log lines about its recovery.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cranehill_core::mutation::{self, Mutation};
use cranehill_core::{Persisted, Record};
use cranehill_journal::{
    AdmittedRoom, Folder, Journal, Key, OpenError, Options, Recovered, TornWrite,
};
use cranehill_scheduler::Time;

use crate::clock::unix_millis;
use crate::throttled_log::ThrottledLog;
use crate::{handover, state_file};

/// Delay before the next step of compaction when one can't proceed.
const BLOCKED_PAUSE: Duration = Duration::from_millis(100);
/// Minimum interval between two log lines about compaction that can't proceed.
const BLOCKED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why the journal can't be opened.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum JournalOpenError {
    /// The state folder can't be created or opened.
    #[error("{}: {source}", dir.display())]
    Folder {
        /// The state folder.
        dir: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The operating system provides no random bytes.
    #[error("journal key: no random bytes from the operating system: {0}")]
    Random(#[from] getrandom::Error),
    /// The journal in the state folder can't be opened.
    #[error("{}: {source}", dir.display())]
    Journal {
        /// The state folder.
        dir: PathBuf,
        /// Why the journal can't be opened.
        source: OpenError,
    },
}

/// The state folder, whose files persist across restarts.
pub struct State {
    /// Path of the folder.
    pub dir: PathBuf,
    /// Limit of the folder's disk space, in bytes.
    pub disk: u64,
    /// The operators' key for the journal; without one, a key is generated and stored in the folder.
    pub key: Option<Key>,
}

/// Opens the journal in a folder, of whose disk space it may use `disk` bytes.
pub(crate) fn open(
    dir: &Path,
    disk: u64,
    key: Option<Key>,
    now: Time,
) -> Result<(Journal<Folder>, Recovered), JournalOpenError> {
    let folder = Folder::new(dir, disk).map_err(|source| JournalOpenError::Folder {
        dir: dir.to_owned(),
        source,
    })?;
    let mut fresh_key = Key::default();
    getrandom::fill(&mut fresh_key)?;
    let options = Options {
        disk_bytes: disk,
        operator_key: key,
        fresh_key,
        segment_bytes: None,
    };
    Journal::open(folder, &options, unix_millis(now)).map_err(|source| JournalOpenError::Journal {
        dir: dir.to_owned(),
        source,
    })
}

/// Appends to the journal and compacts it. Without a journal, every operation succeeds and nothing is persisted.
pub(crate) struct JournalWriter {
    journal: Option<Journal<Folder>>,
    submitted_in_tick: Vec<AdmittedRoom>,
    /// Interval between two steps of compaction.
    tick: Duration,
    next_compaction: Time,
    blocked: ThrottledLog,
    /// Records that are acknowledged before they are written. Only used by a mutation of the auditor's tests.
    unwritten: Vec<Record>,
}

impl JournalWriter {
    pub(crate) fn new(
        journal: Option<Journal<Folder>>,
        tick: Duration,
        now: Time,
    ) -> JournalWriter {
        JournalWriter {
            journal,
            submitted_in_tick: Vec::new(),
            tick,
            next_compaction: now,
            blocked: ThrottledLog::new(BLOCKED_LOG_INTERVAL, now),
            unwritten: Vec::new(),
        }
    }

    /// Appends the records of a tick; returns which of them are persisted.
    pub(crate) fn append(&mut self, records: Vec<Record>, now: Time) -> Persisted {
        if mutation::is_enabled(Mutation::AnswersFirst) {
            self.unwritten.extend(records);
            return Persisted::All;
        }
        if mutation::is_enabled(Mutation::ForgetsJournal) {
            return Persisted::All;
        }
        let Some(journal) = &mut self.journal else {
            return Persisted::All;
        };
        match journal.append(unix_millis(now), &records) {
            Ok(()) => Persisted::All,
            Err(e) => {
                log::error!(records = records.len(), kept:? = e.persisted;
                    "journal: of {} records, persisted: {:?}; append failed: {e}", records.len(), e.persisted);
                e.persisted
            }
        }
    }

    /// Sets room aside for a message with a body of this size that is about to be submitted, until the end of the tick.
    ///
    /// # Errors
    /// The journal is full; the error is when the client may retry.
    pub(crate) fn admit(&mut self, bytes: usize) -> Result<(), Duration> {
        if let Some(journal) = &mut self.journal {
            let room = journal.admit(bytes)?;
            self.submitted_in_tick.push(room);
        }
        Ok(())
    }

    /// Gives back the room of the messages that were submitted in this tick: each is appended now, or was rejected.
    pub(crate) fn end_tick(&mut self) {
        self.submitted_in_tick.clear();
    }

    pub(crate) fn free_bytes(&mut self) -> u64 {
        self.journal.as_mut().map_or(0, |j| j.stats().free_bytes)
    }

    /// When the next step of compaction is due; `None` if there is nothing to compact.
    pub(crate) fn compaction_due(&self, now: Time) -> Option<Time> {
        let journal = self.journal.as_ref()?;
        journal
            .wants_compaction(unix_millis(now))
            .then_some(self.next_compaction)
    }

    /// Runs one bounded step of compaction.
    pub(crate) fn compact(&mut self, now: Time) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        if !journal.compact(unix_millis(now)).incomplete {
            self.next_compaction = now + self.tick;
            return;
        }
        self.next_compaction = now + BLOCKED_PAUSE;
        if self.blocked.record(now).is_some() {
            let stats = journal.stats();
            log::warn!(room = stats.free_bytes, bytes = stats.bytes, live = stats.live_bytes;
                "journal: compaction can't proceed, {} bytes free, {} of {} bytes live; retrying",
                stats.free_bytes, stats.live_bytes, stats.bytes);
        }
    }
}

/// Logs what was recovered from the journal, and any damage to it.
pub(crate) fn log_recovered(recovered: &Recovered) {
    let counts = recovered.counts;
    let (open, final_report, completed) = (counts.open, counts.final_report_due, counts.completed);
    log::info!(open, final_report, completed, latest_ms = recovered.latest_ms;
        "journal: recovered {open} pending messages, {final_report} final reports due, {completed} ids of completed messages");
    log_damage(recovered);
    for file in &recovered.foreign_files {
        if !state_file::is_state_file(file) && !handover::FILE_NAMES.contains(&file.as_str()) {
            log::warn!(file = file.as_str(); "journal: unknown file {file} in the state folder; it is ignored but uses disk space");
        }
    }
    if recovered.migrated_records > 0 {
        log::info!(records = recovered.migrated_records;
            "journal: {} records migrated from the old ledger", recovered.migrated_records);
    }
}

fn log_damage(recovered: &Recovered) {
    if let Some(TornWrite { file, bytes }) = &recovered.torn_write {
        log::warn!(segment = file.as_str(), bytes = *bytes;
            "journal: torn write of {bytes} bytes at the end of {file} discarded; nothing in it was acknowledged");
    }
    for d in &recovered.damage {
        log::error!(segment = d.file.as_str(), offset = d.offset, bytes = d.len, why:? = d.cause, messages = d.max_messages;
            "journal: damage ({:?}) in {} at offset {}, {} bytes; at most {} accepted messages are lost",
            d.cause, d.file, d.offset, d.len, d.max_messages);
    }
    for lost in &recovered.lost_messages {
        log::error!(id = lost.id.as_str(), segment = lost.file.as_str(), offset = lost.offset;
            "journal: the record of message {} is lost, but {} has an attempt of it at offset {}; reported as failed",
            lost.id, lost.file, lost.offset);
    }
    if recovered.possibly_executed > 0 {
        log::error!(messages = recovered.possibly_executed;
            "journal: {} pending messages are treated as possibly executed because of damage", recovered.possibly_executed);
    }
}
