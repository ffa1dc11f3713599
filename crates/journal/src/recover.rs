//! From facts to what an earlier process left: the messages owed, with doubt where damage was found.

use std::sync::Arc;

use cranehill_core::{FinalReport, Record};

use crate::error::OpenError;
use crate::fact::{
    AcceptedMessage, JournalRecord, MIN_ATTEMPT_FRAME_BYTES, RawBytes, RecordKind, unpack,
};
use crate::id::PackedId;
use crate::index::{EntryState, Index, Joined, StoredFrame};
use crate::key::Key;
use crate::manifest::{self, Manifest};
use crate::scan::{DamageCause, DamagedRange, RecordLocation, Scan, ring, scan};
use crate::storage::Storage;

/// More attempts than any class allows: as good as all of them.
const MAX_ATTEMPTS: u32 = 64;
const NANOS_PER_MS: u64 = 1_000_000;
/// Dead records are dropped once there are more than these.
const MIN_DEAD_RECORDS_TO_SWEEP: usize = 4096;

/// A message whose own record is gone: known only by its attempts, and concluded as failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostMessage {
    pub id: String,
    /// Where an attempt of it stands.
    pub file: String,
    pub offset: u64,
}

/// What an earlier process left.
#[derive(Debug, Default)]
pub struct Recovered {
    /// For the reducer: remembered ends, closings, then open messages in the order in which they were accepted.
    pub records: Vec<Record>,
    pub damage: Vec<DamagedRange>,
    pub lost: Vec<LostMessage>,
    /// Open messages that count as possibly run because of damage.
    pub doubted: usize,
    /// A cut-off write at the end: file and bytes.
    pub torn: Option<(String, u64)>,
    /// Files signed under another key, left alone.
    pub foreign: Vec<String>,
    /// The latest time known to have been reached, in ms since 1970. The process's clock must start no earlier.
    pub latest: u64,
    /// Messages open, closing and remembered.
    pub counts: (u64, u64, u64),
    /// Carried over from the single file of earlier releases.
    pub carried_over: usize,
}

/// One doubt: see [`JournalRecord::PossibleExecutions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleExecutions {
    pub before: u64,
    pub attempts: u32,
    pub until: u64,
    /// Where it is written down, once it is.
    pub place: Option<StoredFrame>,
}

/// Facts as records, in the order in which they are found; those that turn out to be dead are dropped in between.
#[derive(Default)]
struct CollectedRecords {
    records: Vec<Record>,
    about: Vec<RecordOrigin>,
    /// How many of them are known to be dead.
    dead: usize,
}

/// Whose record it is, and which.
#[derive(Clone, Copy)]
struct RecordOrigin {
    slot: u32,
    accepted_lsn: u64,
    /// Orders the records of one message: accepted, then each attempt and its end.
    which: u64,
    at: RecordLocation,
}

impl CollectedRecords {
    fn push(&mut self, record: Record, slot: u32, accepted_lsn: u64, at: RecordLocation) {
        let which = match &record {
            Record::Accepted { .. } | Record::FinalReportDue { .. } | Record::Completed { .. } => 0,
            Record::AttemptStarted { attempt, .. } => 1 + 2 * u64::from(*attempt),
            Record::AttemptFinished { attempt, .. } => 2 + 2 * u64::from(*attempt),
        };
        self.records.push(record);
        self.about.push(RecordOrigin {
            slot,
            accepted_lsn,
            which,
            at,
        });
    }

    /// Drops what no longer counts, so that ended messages do not fill the memory.
    fn sweep(&mut self, index: &Index) {
        self.dead = 0;
        let counts = |record: &Record, about: &RecordOrigin| {
            let state = index
                .entry(about.slot)
                .filter(|e| e.accepted_lsn == about.accepted_lsn)
                .map(|e| &e.state);
            matches!(
                (state, record),
                (
                    Some(EntryState::Open(_)),
                    Record::Accepted { .. }
                        | Record::AttemptStarted { .. }
                        | Record::AttemptFinished { .. }
                ) | (
                    Some(EntryState::FinalReportDue(_)),
                    Record::FinalReportDue { .. }
                ) | (Some(EntryState::Completed { .. }), Record::Completed { .. })
            )
        };
        let mut kept = 0;
        for n in 0..self.records.len() {
            if counts(&self.records[n], &self.about[n]) {
                if kept < n {
                    self.records.swap(kept, n);
                    self.about[kept] = self.about[n];
                }
                kept += 1;
            }
        }
        self.records.truncate(kept);
        self.about.truncate(kept);
    }

    /// Ends by their time, reports due, then open messages in the order in which they were accepted.
    fn sort(&mut self) {
        let key = |record: &Record, about: &RecordOrigin| match record {
            Record::Completed { until, .. } => (0u8, *until, u64::from(about.slot)),
            Record::FinalReportDue { .. } => (1, about.accepted_lsn, 0),
            _ => (2, about.accepted_lsn, about.which),
        };
        let keys = || self.records.iter().zip(&self.about).map(|(r, a)| key(r, a));
        if keys().is_sorted() {
            return;
        }
        let keys: Vec<_> = keys().collect();
        let mut order: Vec<usize> = (0..keys.len()).collect();
        order.sort_by_key(|&n| keys[n]);
        let mut records: Vec<Option<Record>> = std::mem::take(&mut self.records)
            .into_iter()
            .map(Some)
            .collect();
        self.records = order.iter().filter_map(|&n| records[n].take()).collect();
        self.about = order.iter().map(|&n| self.about[n]).collect();
    }
}

/// A folder read and understood; nothing in it has been changed.
pub struct FolderContents {
    pub scan: Scan,
    pub index: Index,
    pub possible_executions: Vec<PossibleExecutions>,
    pub recovered: Recovered,
}

/// Reads the folder and puts together what is owed.
pub fn read<S: Storage>(
    storage: &mut S,
    given: Option<Key>,
    fresh: &Key,
) -> Result<FolderContents, OpenError> {
    let mut index = Index::new(given.as_ref().unwrap_or(fresh));
    let mut history = CollectedRecords::default();
    // The old manifest tells how much to expect; what it can't tell is found as it comes.
    let expected = expected(storage, given);
    index.reserve(expected);
    history.records.reserve(expected * 2);
    history.about.reserve(expected * 2);
    let mut written: Vec<PossibleExecutions> = Vec::new();
    let mut unreadable: Vec<(u64, RecordLocation)> = Vec::new();
    let on_fact = |at: RecordLocation, fact: JournalRecord<'_>| {
        let place = StoredFrame {
            sequence: at.sequence,
            len: at.len,
        };
        if let JournalRecord::PossiblyExecuted {
            before,
            attempts,
            until,
        } = fact
        {
            match written.iter_mut().find(|d| d.before == before) {
                Some(known) => known.attempts = known.attempts.max(attempts),
                None => {
                    index.add_live(place);
                    written.push(PossibleExecutions {
                        before,
                        attempts,
                        until,
                        place: Some(place),
                    });
                }
            }
            return;
        }
        let Some((packed, accepted_lsn)) = fact.subject() else {
            return;
        };
        let Some(id) = PackedId::from_packed(packed) else {
            return;
        };
        let until = if let JournalRecord::Completed { until, .. } = fact {
            until
        } else {
            0
        };
        let (slot, joined) = index.join(&id, accepted_lsn, fact.tag(), until, place);
        if joined == Joined::Dead {
            return;
        }
        match record(&id, fact) {
            Some(record) => {
                // What it ends is dead from now on: a few records a message, mostly.
                let ends = matches!(
                    record,
                    Record::FinalReportDue { .. } | Record::Completed { .. }
                );
                history.dead += if ends || joined == Joined::NewIncarnation {
                    3
                } else {
                    0
                };
                history.push(record, slot, accepted_lsn, at);
                if history.dead > MIN_DEAD_RECORDS_TO_SWEEP && history.dead > history.records.len()
                {
                    history.sweep(&index);
                }
            }
            None => unreadable.push((accepted_lsn, at)),
        }
    };
    let mut scan = scan(storage, given, on_fact, |_, _| {})?;
    for (accepted_lsn, at) in unreadable {
        scan.damage.push(DamagedRange {
            file: scan
                .segments
                .get(&at.sequence)
                .map_or_else(String::new, |s| s.name.clone()),
            offset: at.offset,
            len: u64::from(at.len),
            before: accepted_lsn + 1,
            attempts: 0,
            taken: 1,
            why: DamageCause::Damaged,
        });
    }
    let possible_executions = possible_executions(&scan, written, &mut index);
    history.sweep(&index);
    history.sort();
    let recovered = put_together(&scan, &index, history, &possible_executions);
    Ok(FolderContents {
        scan,
        index,
        possible_executions,
        recovered,
    })
}

/// What earlier processes wrote down, and what is found now. Damage that is still there when it is found again yields the
/// same number, and counts once.
fn possible_executions(
    scan: &Scan,
    written: Vec<PossibleExecutions>,
    index: &mut Index,
) -> Vec<PossibleExecutions> {
    let mut found: Vec<PossibleExecutions> = Vec::new();
    for damaged_range in scan.damage.iter().filter(|s| s.attempts > 0) {
        match found.iter_mut().find(|d| d.before == damaged_range.before) {
            Some(known) => known.attempts = known.attempts.saturating_add(damaged_range.attempts),
            None => found.push(PossibleExecutions {
                before: damaged_range.before,
                attempts: damaged_range.attempts,
                until: 0,
                place: None,
            }),
        }
    }
    let mut all = written;
    for new in found {
        match all.iter_mut().find(|d| d.before == new.before) {
            // More than was written down: written anew.
            Some(known) if known.attempts < new.attempts => {
                known.attempts = new.attempts;
                if let Some(place) = known.place.take() {
                    index.drop_live(place);
                }
            }
            Some(_) => {}
            None => all.push(new),
        }
    }
    all
}

/// Messages accepted that finished segments hold, by the manifest.
fn expected<S: Storage>(storage: &mut S, given: Option<Key>) -> usize {
    let Ok(files) = storage.list() else { return 0 };
    let Ok(ring) = ring(storage, given, &files) else {
        return 0;
    };
    let Ok(bytes) = storage.read(manifest::NAME, 0, 2 * 1024 * 1024) else {
        return 0;
    };
    let manifest::DecodedManifest::Good(manifest) = Manifest::read(&bytes, &ring.0) else {
        return 0;
    };
    // Each takes some tens of bytes on disk: more than that it can't be, whatever the manifest says.
    let most: u64 = files.values().sum::<u64>() / MIN_ATTEMPT_FRAME_BYTES as u64;
    let taken: u64 = manifest
        .segments
        .iter()
        .filter_map(|l| l.seal)
        .map(|s| u64::from(s.taken))
        .sum();
    taken.min(most) as usize
}

/// A fact as the reducer knows it; `None` if its body can't be unpacked.
fn record(id: &PackedId, fact: JournalRecord<'_>) -> Option<Record> {
    let id = id.text();
    let text = |packed: RawBytes<'_>| PackedId::from_packed(packed).map(|key| key.text());
    let ordering_key = fact.ordering_key().and_then(text);
    Some(match fact {
        JournalRecord::Accepted(taken) | JournalRecord::AcceptedInOrder { taken, .. } => {
            let AcceptedMessage {
                class,
                tenant,
                destination,
                key,
                deadline,
                lifetime_ms,
                uncompressed_len,
                body,
                ..
            } = taken;
            Record::Accepted {
                id,
                class: class as usize,
                tenant: tenant as usize,
                destination,
                key: key.and_then(text),
                ordering_key,
                deadline: deadline.saturating_mul(NANOS_PER_MS),
                at: deadline
                    .saturating_sub(u64::from(lifetime_ms))
                    .saturating_mul(NANOS_PER_MS),
                body: Arc::from(unpack(uncompressed_len, body)?.as_ref()),
            }
        }
        JournalRecord::AttemptStarted {
            attempt,
            endpoint,
            at,
            ..
        } => Record::AttemptStarted {
            id,
            attempt,
            endpoint: endpoint.to_owned(),
            at: at.saturating_mul(NANOS_PER_MS),
        },
        JournalRecord::AttemptFinished {
            attempt,
            not_executed,
            ..
        } => Record::AttemptFinished {
            id,
            attempt,
            not_executed,
        },
        JournalRecord::FinalReportDue { after, .. }
        | JournalRecord::FinalReportDueInOrder { after, .. } => {
            let final_report = after.map_or(FinalReport::Failed, |after_ms| {
                FinalReport::Returned { after_ms }
            });
            Record::FinalReportDue {
                id,
                final_report,
                ordering_key,
            }
        }
        JournalRecord::Completed { until, .. } => Record::Completed {
            id,
            until: until.saturating_mul(NANOS_PER_MS),
        },
        JournalRecord::PossiblyExecuted { .. } => return None,
    })
}

fn put_together(
    scan: &Scan,
    index: &Index,
    history: CollectedRecords,
    possible_executions: &[PossibleExecutions],
) -> Recovered {
    let mut out = Recovered {
        damage: scan.damage.clone(),
        torn: scan.torn.clone(),
        foreign: scan.foreign.clone(),
        latest: scan.latest,
        counts: index.counts(),
        ..Recovered::default()
    };
    // A message of which all is known needs nothing but its records as they stand.
    let whole = possible_executions.is_empty()
        && history
            .records
            .windows(2)
            .all(|pair| match (&pair[0], &pair[1]) {
                (
                    Record::Completed { .. } | Record::FinalReportDue { .. },
                    Record::AttemptStarted { .. } | Record::AttemptFinished { .. },
                ) => false,
                (one, Record::AttemptStarted { .. }) => one.id() == pair[1].id(),
                (
                    Record::AttemptStarted { attempt, .. },
                    Record::AttemptFinished { attempt: back, .. },
                ) => attempt == back && pair[0].id() == pair[1].id(),
                (_, Record::AttemptFinished { .. }) => false,
                _ => true,
            })
        && !matches!(
            history.records.first(),
            Some(Record::AttemptStarted { .. } | Record::AttemptFinished { .. })
        );
    if whole {
        out.records = history.records;
        return out;
    }
    let mut message: Vec<Record> = Vec::new();
    let mut all = history.records.into_iter().zip(history.about).peekable();
    while let Some((record, about)) = all.next() {
        if matches!(
            record,
            Record::Completed { .. } | Record::FinalReportDue { .. }
        ) {
            out.records.push(record);
            continue;
        }
        message.push(record);
        while let Some((record, _)) = all.next_if(|(_, next)| next.slot == about.slot) {
            message.push(record);
        }
        one(scan, &mut message, about, possible_executions, &mut out);
    }
    out
}

/// Adds what is known of one open message, and what is in doubt. Leaves `message` empty.
fn one(
    scan: &Scan,
    message: &mut Vec<Record>,
    about: RecordOrigin,
    possible_executions: &[PossibleExecutions],
    out: &mut Recovered,
) {
    let Some(Record::Accepted { id, at, .. }) = message.first() else {
        // Its own record is gone: it can only be concluded.
        let file = scan
            .segments
            .get(&about.at.sequence)
            .map_or_else(String::new, |s| s.name.clone());
        for record in message.drain(..).take(1) {
            let id = record.id().to_owned();
            let (final_report, ordering_key) = (FinalReport::Failed, None);
            out.records.push(Record::FinalReportDue {
                id: id.clone(),
                final_report,
                ordering_key,
            });
            out.lost.push(LostMessage {
                id,
                file: file.clone(),
                offset: about.at.offset,
            });
        }
        return;
    };
    let (id, at) = (id.clone(), *at);
    let sent = |attempt: u32| Record::AttemptStarted {
        id: id.clone(),
        attempt,
        endpoint: String::new(),
        at,
    };
    let numbers: Vec<u32> = message
        .iter()
        .filter_map(|r| match r {
            Record::AttemptStarted { attempt, .. } | Record::AttemptFinished { attempt, .. } => {
                Some(*attempt)
            }
            _ => None,
        })
        .collect();
    let used = numbers.iter().max().map_or(0, |n| n.saturating_add(1));
    let mut rest = message.drain(..);
    out.records.extend(rest.next());
    let doubted: u32 = possible_executions
        .iter()
        .filter(|d| d.before > about.accepted_lsn)
        .map(|d| d.attempts.min(MAX_ATTEMPTS))
        .sum();
    if doubted > 0 {
        out.doubted += 1;
        // Numbers that are missing below the last known one may be those that are in doubt.
        let missing: Vec<u32> = (0..used.min(MAX_ATTEMPTS))
            .filter(|n| !numbers.contains(n))
            .collect();
        let extra = doubted
            .min(MAX_ATTEMPTS)
            .saturating_sub(missing.len() as u32);
        let beyond = (extra > 0).then(|| used.saturating_add(extra) - 1);
        // First, so that it counts as run from the earliest moment on at which it can have been; and under numbers
        // that no known end can speak for.
        out.records
            .extend(missing.first().copied().into_iter().chain(beyond).map(sent));
    }
    let mut last = None;
    for record in rest {
        match &record {
            Record::AttemptStarted { attempt, .. } => last = Some(*attempt),
            // An end without its attempt: the attempt's record is gone, and it did go out.
            Record::AttemptFinished { attempt, .. } if last != Some(*attempt) => {
                out.records.push(sent(*attempt))
            }
            _ => {}
        }
        out.records.push(record);
    }
}

/// The tag of a record, as the index knows it.
pub(crate) fn tag(record: &Record) -> RecordKind {
    match record {
        Record::Accepted { .. } => RecordKind::Accepted,
        Record::AttemptStarted { attempt, .. } => RecordKind::AttemptStarted(*attempt),
        Record::AttemptFinished { attempt, .. } => RecordKind::AttemptFinished(*attempt),
        Record::FinalReportDue { .. } => RecordKind::FinalReportDue,
        Record::Completed { .. } => RecordKind::Completed,
    }
}
