//! The journal: opened at the start, appended to, and compacted.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cranehill_core::mutation::{self, Mutation};
use cranehill_core::{Persisted, Record};
use cranehill_journal::{Folder, Journal, Key, OpenError, Options, Recovered, TornWrite};
use cranehill_scheduler::Time;

use crate::clock::unix_millis;
use crate::throttled_log::ThrottledLog;
use crate::{handover, state_file};

/// How long compaction pauses when it can't proceed.
const BLOCKED_PAUSE: Duration = Duration::from_millis(100);
/// How often the log says that it can't.
const BLOCKED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why the journal can't be opened.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum JournalOpenError {
    /// The folder can't be used.
    #[error("{}: {source}", dir.display())]
    Folder {
        /// The folder.
        dir: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The system has no random bytes.
    #[error("no random bytes for the journal's key: {0}")]
    Random(#[from] getrandom::Error),
    /// The folder's content can't be used.
    #[error("{}: {source}", dir.display())]
    Journal {
        /// The folder.
        dir: PathBuf,
        /// What is wrong with it.
        source: OpenError,
    },
}

/// The folder that outlasts the process.
pub struct State {
    /// Where it is.
    pub dir: PathBuf,
    /// Bytes that it may hold.
    pub disk: u64,
    /// An operator's key for the journal; else the folder has its own.
    pub key: Option<Key>,
}

/// Opens the journal in a folder, of which `disk` bytes are its.
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
        disk,
        key,
        fresh_key,
        segment: None,
    };
    Journal::open(folder, &options, unix_millis(now)).map_err(|source| JournalOpenError::Journal {
        dir: dir.to_owned(),
        source,
    })
}

/// Appends to the journal, if there is one, and compacts it.
pub(crate) struct JournalWriter {
    journal: Option<Journal<Folder>>,
    /// Between two steps of compaction.
    tick: Duration,
    next_compaction: Time,
    blocked: ThrottledLog,
    /// A mutation's: records that are acknowledged and not written.
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
            tick,
            next_compaction: now,
            blocked: ThrottledLog::new(BLOCKED_LOG_INTERVAL, now),
            unwritten: Vec::new(),
        }
    }

    /// Writes a tick's records; returns which of them are in the journal now.
    pub(crate) fn append(&mut self, records: Vec<Record>, now: Time) -> Persisted {
        if mutation::is(Mutation::AnswersFirst) {
            self.unwritten.extend(records);
            return Persisted::All;
        }
        if mutation::is(Mutation::ForgetsJournal) {
            return Persisted::All;
        }
        let Some(journal) = &mut self.journal else {
            return Persisted::All;
        };
        match journal.append(unix_millis(now), &records) {
            Ok(()) => Persisted::All,
            Err(e) => {
                log::error!(records = records.len(), kept:? = e.persisted;
                    "journal: of {} records kept: {:?}: {e}", records.len(), e.persisted);
                e.persisted
            }
        }
    }

    /// Reserves room for a message of this size until the next append; else says when a client may retry.
    pub(crate) fn admit(&mut self, bytes: usize) -> Result<(), Duration> {
        match &mut self.journal {
            Some(journal) => journal.admit(bytes),
            None => Ok(()),
        }
    }

    pub(crate) fn free_bytes(&mut self) -> u64 {
        self.journal.as_mut().map_or(0, |j| j.stats().room)
    }

    /// When a step of compaction is due, if there is something to compact.
    pub(crate) fn compaction_due(&self, now: Time) -> Option<Time> {
        let journal = self.journal.as_ref()?;
        journal
            .wants_compaction(unix_millis(now))
            .then_some(self.next_compaction)
    }

    /// One bounded step of compaction.
    pub(crate) fn compact(&mut self, now: Time) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        if !journal.compact(unix_millis(now)).stuck {
            self.next_compaction = now + self.tick;
            return;
        }
        self.next_compaction = now + BLOCKED_PAUSE;
        if self.blocked.record(now).is_some() {
            let stats = journal.stats();
            log::warn!(room = stats.room, bytes = stats.bytes, live = stats.live;
                "journal: compaction is held up, {} bytes free, {} of {} live; tried again",
                stats.room, stats.live, stats.bytes);
        }
    }
}

/// What operators should know about the state in which the folder was found.
pub(crate) fn log_recovered(recovered: &Recovered) {
    let counts = recovered.counts;
    let (open, final_report, completed) = (counts.open, counts.final_report_due, counts.completed);
    log::info!(open, final_report, completed, latest_ms = recovered.latest_ms;
        "journal: {open} messages open, {final_report} final reports due, {completed} completed ids kept");
    log_damage(recovered);
    for file in &recovered.foreign {
        if !state_file::is_ours(file) && !handover::FILE_NAMES.contains(&file.as_str()) {
            log::warn!(file = file.as_str(); "journal: {file} is not of this folder; left alone, it takes room");
        }
    }
    if recovered.migrated > 0 {
        log::info!(records = recovered.migrated;
            "journal: {} records carried over from the old ledger", recovered.migrated);
    }
}

fn log_damage(recovered: &Recovered) {
    if let Some(TornWrite { file, bytes }) = &recovered.torn {
        log::warn!(segment = file.as_str(), bytes = *bytes;
            "journal: {bytes} bytes of a write that was cut off at the end of {file}; nothing in it was promised");
    }
    for d in &recovered.damage {
        log::error!(segment = d.file.as_str(), offset = d.offset, bytes = d.len, why:? = d.cause, messages = d.max_messages;
            "journal: damage ({:?}) in {} at {}, {} bytes; at most {} messages accepted there are lost",
            d.cause, d.file, d.offset, d.len, d.max_messages);
    }
    for lost in &recovered.lost {
        log::error!(id = lost.id.as_str(), segment = lost.file.as_str(), offset = lost.offset;
            "journal: the record of {} is lost, an attempt of it is in {} at {}; reported as failed",
            lost.id, lost.file, lost.offset);
    }
    if recovered.possibly_executed > 0 {
        log::error!(messages = recovered.possibly_executed;
            "journal: {} open messages count as possibly executed because of damage", recovered.possibly_executed);
    }
}
