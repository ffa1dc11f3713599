//! The recorded events of a run, as a Parquet table and as text.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt32Array, UInt64Array};
use cranehill_simulation::audit::{AuditEvent, AuditRecord};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;

/// Number of rows in each row group of the Parquet table.
const ROW_GROUP_ROWS: usize = 16 * 1024;

/// Writes the events as text, one on each line: seconds, sender, kind, and the text that proves the event.
pub(super) fn write_text(path: &Path, records: &[AuditRecord]) -> io::Result<()> {
    let mut text = BufWriter::new(File::create(path)?);
    for record in records {
        let sender = record
            .sender
            .map_or_else(|| "-".into(), |sender| sender.to_string());
        writeln!(
            text,
            "{:>9.3} {sender:>2} {:<9} {}",
            record.at.as_secs_f64(),
            kind(&record.event),
            record.wire
        )?;
    }
    text.flush()
}

/// Writes the events as a Parquet table with one row for each.
pub(super) fn write_parquet(path: &Path, records: &[AuditRecord]) -> Result<(), ParquetError> {
    let schema = record_batch(&[])?.schema();
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let file = BufWriter::new(File::create(path)?);
    let mut writer = ArrowWriter::try_new(file, schema, Some(properties))?;
    for rows in records.chunks(ROW_GROUP_ROWS) {
        writer.write(&record_batch(rows)?)?;
    }
    writer.close()?;
    Ok(())
}

fn record_batch(records: &[AuditRecord]) -> Result<RecordBatch, ParquetError> {
    let microseconds = |duration: Duration| Some(duration.as_micros() as u64);
    let locations: Vec<Location> = records
        .iter()
        .map(|record| location(&record.event))
        .collect();
    let ids: Vec<Option<String>> = records
        .iter()
        .map(|record| message_ids(&record.event))
        .collect();
    let senders: UInt32Array = records
        .iter()
        .map(|record| record.sender.map(|sender| sender as u32))
        .collect();
    let columns: [(&str, ArrayRef, bool); 9] = [
        (
            "at_us",
            numbers(records.iter().map(|record| microseconds(record.at))),
            true,
        ),
        (
            "late_us",
            numbers(
                records
                    .iter()
                    .map(|record| microseconds(record.recording_delay)),
            ),
            true,
        ),
        ("sender", Arc::new(senders), true),
        (
            "kind",
            texts(records.iter().map(|record| Some(kind(&record.event)))),
            true,
        ),
        ("notices", texts(ids.iter().map(Option::as_deref)), true),
        (
            "partner",
            numbers(locations.iter().map(|location| location.destination)),
            true,
        ),
        (
            "endpoint",
            numbers(locations.iter().map(|location| location.endpoint)),
            true,
        ),
        (
            "connection",
            numbers(locations.iter().map(|location| location.connection)),
            true,
        ),
        (
            "wire",
            texts(records.iter().map(|record| Some(record.wire.as_str()))),
            true,
        ),
    ];
    Ok(RecordBatch::try_from_iter_with_nullable(columns)?)
}

fn numbers(values: impl Iterator<Item = Option<u64>>) -> ArrayRef {
    Arc::new(values.collect::<UInt64Array>())
}

fn texts<'a>(values: impl Iterator<Item = Option<&'a str>>) -> ArrayRef {
    Arc::new(values.collect::<StringArray>())
}

/// The name of the event's kind in the files. These names are part of the file format.
fn kind(event: &AuditEvent) -> &'static str {
    match event {
        AuditEvent::Submitted { .. } => "handed",
        AuditEvent::Posted { .. } => "posted",
        AuditEvent::Answered { .. } => "answered",
        AuditEvent::Dropped { .. } => "dropped",
        AuditEvent::Abandoned { .. } => "abandoned",
        AuditEvent::Opened { .. } => "opened",
        AuditEvent::Closed { .. } => "closed",
        AuditEvent::Begun { .. } => "begun",
        AuditEvent::Called { .. } => "called",
        AuditEvent::Replied { .. } => "replied",
        AuditEvent::Broke { .. } => "broke",
        AuditEvent::Notified { .. } => "told",
        AuditEvent::Reported { .. } => "reported",
        AuditEvent::Signalled => "signalled",
        AuditEvent::ProcessExited => "gone",
        AuditEvent::Lost { .. } => "lost",
        AuditEvent::Ready => "ready",
        AuditEvent::Fell { .. } => "fell",
        AuditEvent::Back { .. } => "back",
    }
}

/// Ids of the messages that an event is about, separated by spaces; `None` if there are none.
fn message_ids(event: &AuditEvent) -> Option<String> {
    match event {
        AuditEvent::Submitted { id, .. }
        | AuditEvent::Posted { id, .. }
        | AuditEvent::Answered { id, .. }
        | AuditEvent::Dropped { id }
        | AuditEvent::Abandoned { id }
        | AuditEvent::Reported { id, .. } => Some(id.clone()),
        AuditEvent::Called { ids, .. } | AuditEvent::Broke { ids, .. } => joined(ids),
        AuditEvent::Replied { outcomes, .. } => {
            let ids: Vec<String> = outcomes.iter().map(|(id, _)| id.clone()).collect();
            joined(&ids)
        }
        AuditEvent::Lost { only } => only.as_deref().and_then(joined),
        AuditEvent::Opened { .. }
        | AuditEvent::Closed { .. }
        | AuditEvent::Begun { .. }
        | AuditEvent::Notified { .. }
        | AuditEvent::Signalled
        | AuditEvent::ProcessExited
        | AuditEvent::Ready
        | AuditEvent::Fell { .. }
        | AuditEvent::Back { .. } => None,
    }
}

fn joined(ids: &[String]) -> Option<String> {
    Some(ids.join(" ")).filter(|text| !text.is_empty())
}

/// The destination, endpoint and connection of an event, as far as it has these.
#[derive(Clone, Copy, Debug, Default)]
struct Location {
    destination: Option<u64>,
    endpoint: Option<u64>,
    connection: Option<u64>,
}

fn location(event: &AuditEvent) -> Location {
    match event {
        AuditEvent::Opened {
            connection,
            endpoint,
            destination,
        }
        | AuditEvent::Begun {
            connection,
            endpoint,
            destination,
        }
        | AuditEvent::Called {
            connection,
            endpoint,
            destination,
            ..
        }
        | AuditEvent::Replied {
            connection,
            endpoint,
            destination,
            ..
        }
        | AuditEvent::Broke {
            connection,
            endpoint,
            destination,
            ..
        } => Location {
            destination: Some(*destination),
            endpoint: Some(*endpoint as u64),
            connection: Some(*connection),
        },
        AuditEvent::Notified {
            endpoint,
            destination,
            ..
        } => Location {
            destination: Some(*destination),
            endpoint: Some(*endpoint as u64),
            connection: None,
        },
        AuditEvent::Submitted { destination, .. }
        | AuditEvent::Posted { destination, .. }
        | AuditEvent::Fell { destination }
        | AuditEvent::Back { destination, .. } => Location {
            destination: Some(*destination),
            ..Location::default()
        },
        AuditEvent::Closed { connection } => Location {
            connection: Some(*connection),
            ..Location::default()
        },
        _ => Location::default(),
    }
}
