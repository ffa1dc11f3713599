//! From live records to the records that the core starts with: attempts that damage hides are added, and messages
//! whose own record is lost are concluded as failed.

use cranehill_core::{FinalReport, Record};

use super::live_records::{LiveRecords, RecordOrigin, is_end};
use super::possible_executions::PossibleExecutions;
use super::recovered::{LostMessage, Recovered};
use crate::scan::Scan;

/// More attempts than any class allows, so as good as any number.
const MAX_ATTEMPTS: u32 = 64;

/// Sets `recovered.records`, and what was lost or is possibly executed. `live` must be sorted.
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
            let hidden = hidden_attempts(possible_executions, origin.accepted_lsn);
            conclude_pending(&mut message, hidden, recovered);
        } else {
            conclude_lost(&mut message, origin, scan, recovered);
        }
    }
}

/// Whether every message has its own record, and every end of an attempt the attempt's.
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

/// Whether a record follows one that it depends on.
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

/// Attempts that a message may have had besides those known.
fn hidden_attempts(possible_executions: &[PossibleExecutions], accepted_lsn: u64) -> u32 {
    possible_executions
        .iter()
        .filter(|possible| possible.accepted_before > accepted_lsn)
        .map(|possible| possible.attempts.min(MAX_ATTEMPTS))
        .sum()
}

/// Concludes a message whose own record is lost as failed. Leaves `message` empty.
fn conclude_lost(
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
    recovered.lost.push(LostMessage {
        id,
        file: scan.file_name(origin.location.sequence),
        offset: origin.location.offset,
    });
}

/// Adds the records of a pending message, with attempts that may be hidden. Leaves `message` empty.
fn conclude_pending(message: &mut Vec<Record>, hidden: u32, recovered: &mut Recovered) {
    let Some(Record::Accepted { id, at, .. }) = message.first() else {
        return;
    };
    let (id, at) = (id.clone(), *at);
    // An attempt of which nothing is known but its number.
    let started = |attempt| Record::AttemptStarted {
        id: id.clone(),
        attempt,
        endpoint: String::new(),
        at,
    };
    let possible = possible_attempts(message, hidden);
    let mut records = message.drain(..);
    recovered.records.extend(records.next());
    if hidden > 0 {
        recovered.possibly_executed += 1;
        // First, so that the message counts as executed from the earliest moment on at which it can have been; and
        // under numbers that no known end of an attempt has.
        recovered.records.extend(possible.into_iter().map(&started));
    }
    let mut last_started = None;
    for record in records {
        match &record {
            Record::AttemptStarted { attempt, .. } => last_started = Some(*attempt),
            // The record of the attempt is lost, and the attempt was submitted.
            Record::AttemptFinished { attempt, .. } if last_started != Some(*attempt) => {
                recovered.records.push(started(*attempt));
            }
            _ => {}
        }
        recovered.records.push(record);
    }
}

/// The numbers under which hidden attempts are added: the lowest one missing among the known, and the last one if
/// there may be more than are missing.
fn possible_attempts(message: &[Record], hidden: u32) -> Vec<u32> {
    if hidden == 0 {
        return Vec::new();
    }
    let known: Vec<u32> = message.iter().filter_map(attempt_number).collect();
    let next = known.iter().max().map_or(0, |last| last.saturating_add(1));
    let missing: Vec<u32> = (0..next.min(MAX_ATTEMPTS))
        .filter(|attempt| !known.contains(attempt))
        .collect();
    let beyond = hidden
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
