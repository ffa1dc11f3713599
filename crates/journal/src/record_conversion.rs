//! Conversion between the core's records and journal records.

use std::sync::Arc;

use cranehill_core::{FinalReport, Record};
use serde_bytes::Bytes;

use crate::format::body;
use crate::format::packed_id::PackedId;
use crate::format::record::{self, AcceptedMessage, JournalRecord, RawBytes, RecordKind};
use crate::time::{millis, nanos};

/// Upper bound on the bytes of a record's frame without its texts and body: frame header, numbers and lengths.
pub(crate) const MAX_FIXED_BYTES: u64 = 96;

/// The kind of the journal record for a core record.
pub(crate) fn kind_of(record: &Record) -> RecordKind {
    match record {
        Record::Accepted { .. } => RecordKind::Accepted,
        Record::AttemptStarted { attempt, .. } => RecordKind::AttemptStarted(*attempt),
        Record::AttemptFinished { attempt, .. } => RecordKind::AttemptFinished(*attempt),
        Record::FinalReportDue { .. } => RecordKind::FinalReportDue,
        Record::Completed { .. } => RecordKind::Completed,
    }
}

/// Upper bound on the bytes of a record's frame.
pub(crate) fn max_frame_bytes(record: &Record) -> u64 {
    let text_len = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    let variable = match record {
        Record::Accepted {
            idempotency_key,
            ordering_key,
            body,
            ..
        } => text_len(idempotency_key) + text_len(ordering_key) + body.len(),
        Record::FinalReportDue { ordering_key, .. } => text_len(ordering_key),
        Record::AttemptStarted { endpoint, .. } => endpoint.len(),
        Record::AttemptFinished { .. } | Record::Completed { .. } => 0,
    };
    MAX_FIXED_BYTES + (record.id().len() + variable) as u64
}

/// Appends the payload of a record's frame, for log number `lsn`. `accepted_lsn` is the log number of its message's
/// acceptance.
pub(crate) fn encode(
    lsn: u64,
    accepted_lsn: u64,
    id: &PackedId,
    record: &Record,
    buffer: &mut Vec<u8>,
) {
    let id = Bytes::new(id.as_bytes());
    let journal_record = match record {
        Record::Accepted { .. } => return encode_accepted(lsn, accepted_lsn, id, record, buffer),
        Record::FinalReportDue {
            final_report,
            ordering_key,
            ..
        } => {
            let ordering_key = ordering_key.as_deref().map(PackedId::new);
            let record = final_report_due(id, accepted_lsn, *final_report, ordering_key.as_ref());
            return record::encode(lsn, &record, buffer);
        }
        Record::AttemptStarted {
            attempt,
            endpoint,
            started_at,
            ..
        } => JournalRecord::AttemptStarted {
            id,
            accepted_lsn,
            attempt: *attempt,
            endpoint,
            started_ms: millis(*started_at),
        },
        Record::AttemptFinished {
            attempt,
            not_executed,
            ..
        } => JournalRecord::AttemptFinished {
            id,
            accepted_lsn,
            attempt: *attempt,
            not_executed: *not_executed,
        },
        Record::Completed {
            remembered_until, ..
        } => JournalRecord::Completed {
            id,
            accepted_lsn,
            remember_until_ms: millis(*remembered_until),
        },
    };
    record::encode(lsn, &journal_record, buffer);
}

fn encode_accepted(
    lsn: u64,
    accepted_lsn: u64,
    id: RawBytes<'_>,
    record: &Record,
    buffer: &mut Vec<u8>,
) {
    let Record::Accepted {
        class,
        tenant,
        destination,
        idempotency_key,
        ordering_key,
        deadline,
        accepted_at,
        body,
        ..
    } = record
    else {
        return;
    };
    let idempotency_key = idempotency_key.as_deref().map(PackedId::new);
    let ordering_key = ordering_key.as_deref().map(PackedId::new);
    let body = body::compress(body);
    let message = AcceptedMessage {
        id,
        accepted_lsn: if accepted_lsn == lsn { 0 } else { accepted_lsn },
        class: *class as u32,
        tenant: *tenant as u32,
        destination: *destination,
        key: idempotency_key
            .as_ref()
            .map(|key| Bytes::new(key.as_bytes())),
        deadline_ms: millis(*deadline),
        lifetime_ms: u32::try_from(millis(deadline.saturating_sub(*accepted_at)))
            .unwrap_or(u32::MAX),
        uncompressed_len: body.uncompressed_len,
        body: Bytes::new(&body.bytes),
    };
    let record = match &ordering_key {
        Some(ordering_key) => JournalRecord::AcceptedInOrder {
            message,
            ordering_key: Bytes::new(ordering_key.as_bytes()),
        },
        None => JournalRecord::Accepted(message),
    };
    record::encode(lsn, &record, buffer);
}

fn final_report_due<'a>(
    id: RawBytes<'a>,
    accepted_lsn: u64,
    final_report: FinalReport,
    ordering_key: Option<&'a PackedId>,
) -> JournalRecord<'a> {
    let retry_after_ms = match final_report {
        FinalReport::Returned { after_ms } => Some(after_ms),
        FinalReport::Failed => None,
    };
    match ordering_key {
        Some(key) => JournalRecord::FinalReportDueInOrder {
            id,
            accepted_lsn,
            retry_after_ms,
            ordering_key: Bytes::new(key.as_bytes()),
        },
        None => JournalRecord::FinalReportDue {
            id,
            accepted_lsn,
            retry_after_ms,
        },
    }
}

/// Converts a journal record to a core record. `None` if its body can't be decompressed, and for
/// [`JournalRecord::PossiblyExecuted`], which belongs to no single message.
pub(crate) fn to_core(id: &PackedId, record: JournalRecord<'_>) -> Option<Record> {
    let id = id.text();
    let ordering_key = record.ordering_key().and_then(text_of);
    Some(match record {
        JournalRecord::Accepted(message) | JournalRecord::AcceptedInOrder { message, .. } => {
            return accepted_to_core(id, message, ordering_key);
        }
        JournalRecord::AttemptStarted {
            attempt,
            endpoint,
            started_ms,
            ..
        } => Record::AttemptStarted {
            id,
            attempt,
            endpoint: endpoint.to_owned(),
            started_at: nanos(started_ms),
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
        JournalRecord::FinalReportDue { retry_after_ms, .. }
        | JournalRecord::FinalReportDueInOrder { retry_after_ms, .. } => Record::FinalReportDue {
            id,
            final_report: retry_after_ms.map_or(FinalReport::Failed, |after_ms| {
                FinalReport::Returned { after_ms }
            }),
            ordering_key,
        },
        JournalRecord::Completed {
            remember_until_ms, ..
        } => Record::Completed {
            id,
            remembered_until: nanos(remember_until_ms),
        },
        JournalRecord::PossiblyExecuted { .. } => return None,
    })
}

fn accepted_to_core(
    id: String,
    message: AcceptedMessage<'_>,
    ordering_key: Option<String>,
) -> Option<Record> {
    let accepted_ms = message
        .deadline_ms
        .saturating_sub(u64::from(message.lifetime_ms));
    Some(Record::Accepted {
        id,
        class: message.class as usize,
        tenant: message.tenant as usize,
        destination: message.destination,
        idempotency_key: message.key.and_then(text_of),
        ordering_key,
        deadline: nanos(message.deadline_ms),
        accepted_at: nanos(accepted_ms),
        body: Arc::from(&*body::decompress(message.uncompressed_len, message.body)?),
    })
}

/// The text of a packed id; `None` if it is invalid.
fn text_of(packed: RawBytes<'_>) -> Option<String> {
    PackedId::from_bytes(packed).map(|id| id.text())
}
