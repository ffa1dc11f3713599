//! Completes the live records for the core: adds attempts whose records damage may have destroyed, and ends messages
//! whose record of acceptance is lost with a final report as failed.

use cranehill_core::{FinalReport, Record};

use super::live_records::{LiveRecords, RecordOrigin, is_end};
use super::possible_executions::PossibleExecutions;
use super::recovered::{LostMessage, Recovered};
use crate::scan::Scan;

/// Upper bound on the attempts that are added to a message: more than any class allows.
const MAX_ATTEMPTS: u32 = 64;

/// Fills in `recovered.records`, `recovered.lost_messages` and `recovered.possibly_executed`. `live` must be sorted.
pub(super) fn conclude(
    live: LiveRecords,
    scan: &Scan,
    possible_executions: &[PossibleExecutions],
    recovered: &mut Recovered,
) {
    if possible_executions.is_empty() && is_complete(&live.records) {
        recovered.records = live.records;
        return;
    }
    let mut message: Vec<Record> = Vec::new();
    let mut records = live.records.into_iter().zip(live.origins).peekable();
    while let Some((record, origin)) = records.next() {
        if is_end(&record) {
            recovered.records.push(record);
            continue;
        }
        message.push(record);
        while let Some((record, _)) = records.next_if(|(_, next)| next.slot == origin.slot) {
            message.push(record);
        }
        if matches!(message.first(), Some(Record::Accepted { .. })) {
            let unrecorded = max_unrecorded_attempts(possible_executions, origin.accepted_lsn);
            add_pending_message(&mut message, unrecorded, recovered);
        } else {
            fail_lost_message(&mut message, origin, scan, recovered);
        }
    }
}

/// Whether each pending message has its record of acceptance, and each finished attempt its record of the start.
fn is_complete(records: &[Record]) -> bool {
    let first_belongs = !matches!(
        records.first(),
        Some(Record::AttemptStarted { .. } | Record::AttemptFinished { .. })
    );
    first_belongs
        && records
            .windows(2)
            .all(|pair| follows_its_message(&pair[0], &pair[1]))
}

/// Whether a record directly follows one that it requires, if it requires one.
fn follows_its_message(previous: &Record, record: &Record) -> bool {
    match (previous, record) {
        (_, Record::AttemptStarted { .. }) => !is_end(previous) && previous.id() == record.id(),
        (
            Record::AttemptStarted {
                attempt: started, ..
            },
            Record::AttemptFinished { attempt, .. },
        ) => started == attempt && previous.id() == record.id(),
        (_, Record::AttemptFinished { .. }) => false,
        _ => true,
    }
}

/// Upper bound on a message's attempts without a readable record.
fn max_unrecorded_attempts(possible_executions: &[PossibleExecutions], accepted_lsn: u64) -> u32 {
    possible_executions
        .iter()
        .filter(|possible| possible.accepted_before > accepted_lsn)
        .map(|possible| possible.attempts.min(MAX_ATTEMPTS))
        .sum()
}

/// Ends a message whose record of acceptance is lost with a final report as failed. Leaves `message` empty.
fn fail_lost_message(
    message: &mut Vec<Record>,
    origin: RecordOrigin,
    scan: &Scan,
    recovered: &mut Recovered,
) {
    let Some(attempt) = message.first() else {
        return;
    };
    let id = attempt.id().to_owned();
    message.clear();
    recovered.records.push(Record::FinalReportDue {
        id: id.clone(),
        final_report: FinalReport::Failed,
        ordering_key: None,
    });
    recovered.lost_messages.push(LostMessage {
        id,
        file: scan.file_name(origin.location.sequence),
        offset: origin.location.offset,
    });
}

/// Adds the records of a pending message, and of its possible attempts without a record. Leaves `message` empty.
fn add_pending_message(message: &mut Vec<Record>, unrecorded: u32, recovered: &mut Recovered) {
    let Some(Record::Accepted {
        id, accepted_at, ..
    }) = message.first()
    else {
        return;
    };
    let (id, accepted_at) = (id.clone(), *accepted_at);
    // An attempt of which only the number is known.
    let started = |attempt| Record::AttemptStarted {
        id: id.clone(),
        attempt,
        endpoint: String::new(),
        started_at: accepted_at,
    };
    let possible = possible_attempts(message, unrecorded);
    let mut records = message.drain(..);
    recovered.records.extend(records.next());
    if unrecorded > 0 {
        recovered.possibly_executed += 1;
        // They come first, so that the message counts as possibly executed from its acceptance on, the earliest time
        // possible. Their numbers differ from those of all known attempts, so that no known end of an attempt applies
        // to them.
        recovered.records.extend(possible.into_iter().map(&started));
    }
    let mut last_started = None;
    for record in records {
        match &record {
            Record::AttemptStarted { attempt, .. } => last_started = Some(*attempt),
            // The record of the attempt's start is lost, but the attempt was sent.
            Record::AttemptFinished { attempt, .. } if last_started != Some(*attempt) => {
                recovered.records.push(started(*attempt));
            }
            _ => {}
        }
        recovered.records.push(record);
    }
}

/// The numbers under which attempts without a record are added: the lowest number missing among the known ones, and, if
/// there may be more attempts than missing numbers, the highest number that an attempt may have.
fn possible_attempts(message: &[Record], unrecorded: u32) -> Vec<u32> {
    if unrecorded == 0 {
        return Vec::new();
    }
    let known: Vec<u32> = message.iter().filter_map(attempt_number).collect();
    let next = known.iter().max().map_or(0, |last| last.saturating_add(1));
    let missing: Vec<u32> = (0..next.min(MAX_ATTEMPTS))
        .filter(|attempt| !known.contains(attempt))
        .collect();
    let beyond = unrecorded
        .min(MAX_ATTEMPTS)
        .saturating_sub(missing.len() as u32);
    let last = (beyond > 0).then(|| next.saturating_add(beyond) - 1);
    missing.first().copied().into_iter().chain(last).collect()
}

fn attempt_number(record: &Record) -> Option<u32> {
    match record {
        Record::AttemptStarted { attempt, .. } | Record::AttemptFinished { attempt, .. } => {
            Some(*attempt)
        }
        _ => None,
    }
}
