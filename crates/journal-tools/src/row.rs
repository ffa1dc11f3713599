//! A record in the form in which it is printed and exported. The names of JSON keys, columns and kinds are part of the
//! interface and differ from those of the fields, since other programs read them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cranehill_journal::{
    AcceptedMessage, JournalRecord, PackedId, RecordLocation, decompress_body, scan,
};
use serde::Serialize;

use crate::error::ToolError;
use crate::snapshot::Snapshot;

/// A record with its location. Times are Unix time in milliseconds. Fields that a kind of record does not have are
/// `None`, and omitted from JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// The segment's sequence number.
    pub segment: u32,
    /// Offset of the record's frame, in bytes.
    pub offset: u64,
    /// Bytes of the record's frame, header included.
    pub bytes: u32,
    /// Log number of the record.
    pub lsn: u64,
    /// The kind of the record: `taken` (message accepted), `sent` (attempt started), `back` (attempt finished),
    /// `closing` (final report due), `over` (completed) or `doubt` (possible executions).
    pub kind: &'static str,
    /// The message's id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// Log number of the message's acceptance.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "born")]
    pub accepted_lsn: Option<u64>,
    /// The attempt's number, from 0. For kind `doubt`: upper bound on one message's attempts without a readable record.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// Whether it is known that the destination did not execute the attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "never_ran")]
    pub not_executed: Option<bool>,
    /// The endpoint that the attempt was sent to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// Time at which the message was accepted, or the attempt started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<u64>,
    /// Index of the message's class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<u32>,
    /// Index of the message's tenant.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "station")]
    pub tenant: Option<u32>,
    /// Id of the message's destination.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "partner")]
    pub destination: Option<u64>,
    /// The message's idempotency key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The message's ordering key.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "order_key")]
    pub ordering_key: Option<String>,
    /// The message's deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline: Option<u64>,
    /// For kind `closing`: milliseconds after which the client may submit the message again; `None` if it failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
    /// For kind `over`: time until which the id is retained. For `doubt`: time by which all affected messages have
    /// ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<u64>,
    /// For kind `doubt`: messages accepted under this log number or a later one are not affected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<u64>,
    /// Size of the decompressed body in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u32>,
    /// The decompressed body; Base64 in JSON.
    #[serde(skip_serializing_if = "Option::is_none", serialize_with = "base64")]
    pub body: Option<Vec<u8>>,
}

fn base64<S: serde::Serializer>(body: &Option<Vec<u8>>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body.as_deref().unwrap_or_default()))
}

fn text_of(packed: &[u8]) -> Option<String> {
    PackedId::from_bytes(packed).map(|id| id.text())
}

fn kind_name(record: &JournalRecord<'_>) -> &'static str {
    match record {
        JournalRecord::Accepted(_) | JournalRecord::AcceptedInOrder { .. } => "taken",
        JournalRecord::AttemptStarted { .. } => "sent",
        JournalRecord::AttemptFinished { .. } => "back",
        JournalRecord::FinalReportDue { .. } | JournalRecord::FinalReportDueInOrder { .. } => {
            "closing"
        }
        JournalRecord::Completed { .. } => "over",
        JournalRecord::PossiblyExecuted { .. } => "doubt",
    }
}

impl Row {
    /// The row of a record.
    pub fn new(location: RecordLocation, record: &JournalRecord<'_>) -> Row {
        let message = record.message();
        let row = Row {
            segment: location.sequence,
            offset: location.offset,
            bytes: location.len,
            lsn: location.lsn,
            kind: kind_name(record),
            id: message.and_then(|message| text_of(message.id)),
            accepted_lsn: message.map(|message| message.accepted_lsn),
            ordering_key: record.ordering_key().and_then(|key| text_of(key)),
            ..Row::default()
        };
        row.with_details(record)
    }

    /// Sets the fields that only this kind of record has.
    fn with_details(self, record: &JournalRecord<'_>) -> Row {
        match *record {
            JournalRecord::Accepted(message) | JournalRecord::AcceptedInOrder { message, .. } => {
                self.with_message(message)
            }
            JournalRecord::AttemptStarted {
                attempt,
                endpoint,
                started_ms,
                ..
            } => Row {
                attempt: Some(attempt),
                endpoint: Some(endpoint.to_owned()),
                at: Some(started_ms),
                ..self
            },
            JournalRecord::AttemptFinished {
                attempt,
                not_executed,
                ..
            } => Row {
                attempt: Some(attempt),
                not_executed: Some(not_executed),
                ..self
            },
            JournalRecord::FinalReportDue { retry_after_ms, .. }
            | JournalRecord::FinalReportDueInOrder { retry_after_ms, .. } => Row {
                after_ms: retry_after_ms,
                ..self
            },
            JournalRecord::Completed {
                remember_until_ms, ..
            } => Row {
                until: Some(remember_until_ms),
                ..self
            },
            JournalRecord::PossiblyExecuted {
                accepted_before,
                attempts,
                until_ms,
            } => Row {
                before: Some(accepted_before),
                attempt: Some(attempts),
                until: Some(until_ms),
                ..self
            },
        }
    }

    /// Sets the fields of an accepted message.
    fn with_message(self, message: AcceptedMessage<'_>) -> Row {
        let accepted_ms = message
            .deadline_ms
            .saturating_sub(u64::from(message.lifetime_ms));
        let body = decompress_body(message.uncompressed_len, message.body);
        let body = body.map(std::borrow::Cow::into_owned);
        Row {
            class: Some(message.class),
            tenant: Some(message.tenant),
            destination: Some(message.destination),
            key: message.key.and_then(|key| text_of(key)),
            deadline: Some(message.deadline_ms),
            at: Some(accepted_ms),
            body_bytes: body.as_ref().map(|body| body.len() as u32),
            body,
            ..self
        }
    }

    /// The row as one line of text, with the body's size in place of the body.
    pub fn line(&self) -> String {
        let mut line = format!(
            "{:08x}+{} lsn {} {}",
            self.segment, self.offset, self.lsn, self.kind
        );
        let mut add = |name: &str, value: Option<String>| {
            if let Some(value) = value {
                line.push_str(&format!(" {name}={value}"));
            }
        };
        add("id", self.id.clone());
        add("born", self.accepted_lsn.map(|v| v.to_string()));
        add("attempt", self.attempt.map(|v| v.to_string()));
        add("never_ran", self.not_executed.map(|v| v.to_string()));
        add("endpoint", self.endpoint.clone());
        add("at", self.at.map(|v| v.to_string()));
        add("class", self.class.map(|v| v.to_string()));
        add("station", self.tenant.map(|v| v.to_string()));
        add("partner", self.destination.map(|v| v.to_string()));
        add("key", self.key.clone());
        add("order_key", self.ordering_key.clone());
        add("deadline", self.deadline.map(|v| v.to_string()));
        add("after_ms", self.after_ms.map(|v| v.to_string()));
        add("until", self.until.map(|v| v.to_string()));
        add("before", self.before.map(|v| v.to_string()));
        add("body_bytes", self.body_bytes.map(|v| v.to_string()));
        line
    }
}

/// Reads all readable records, in the order of the segments. `progress` is called with the bytes read so far and the
/// total.
///
/// # Errors
/// If the folder can't be read as a journal; damaged ranges are skipped.
pub fn rows(
    snapshot: &Snapshot,
    mut progress: impl FnMut(u64, u64),
) -> Result<Vec<Row>, ToolError> {
    let mut rows = Vec::new();
    let mut files = snapshot.files.without_faults();
    scan(
        &mut files,
        snapshot.key,
        |location, record| rows.push(Row::new(location, &record)),
        &mut progress,
    )
    .map_err(ToolError::open(&snapshot.path))?;
    Ok(rows)
}
