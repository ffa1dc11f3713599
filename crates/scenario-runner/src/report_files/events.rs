//! The record of a run as a Parquet table and as text.

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

/// Rows of one row group of the table.
const ROW_GROUP_ROWS: usize = 16 * 1024;

/// Writes the record as text, one event a line.
pub(super) fn write_text(path: &Path, lines: &[AuditRecord]) -> io::Result<()> {
    let mut text = BufWriter::new(File::create(path)?);
    for line in lines {
        let sender = line
            .sender
            .map_or_else(|| "-".into(), |sender| sender.to_string());
        writeln!(
            text,
            "{:>9.3} {sender:>2} {:<9} {}",
            line.at.as_secs_f64(),
            kind(&line.event),
            line.wire
        )?;
    }
    text.flush()
}

/// Writes the record as a Parquet table.
pub(super) fn write_parquet(path: &Path, lines: &[AuditRecord]) -> Result<(), ParquetError> {
    let schema = record_batch(&[])?.schema();
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let file = BufWriter::new(File::create(path)?);
    let mut writer = ArrowWriter::try_new(file, schema, Some(properties))?;
    for rows in lines.chunks(ROW_GROUP_ROWS) {
        writer.write(&record_batch(rows)?)?;
    }
    writer.close()?;
    Ok(())
}

fn record_batch(lines: &[AuditRecord]) -> Result<RecordBatch, ParquetError> {
    let microseconds = |duration: Duration| Some(duration.as_micros() as u64);
    let places: Vec<Place> = lines.iter().map(|line| place(&line.event)).collect();
    let ids: Vec<Option<String>> = lines.iter().map(|line| message_ids(&line.event)).collect();
    let senders: UInt32Array = lines
        .iter()
        .map(|line| line.sender.map(|sender| sender as u32))
        .collect();
    let columns: [(&str, ArrayRef, bool); 9] = [
        (
            "at_us",
            numbers(lines.iter().map(|line| microseconds(line.at))),
            true,
        ),
        (
            "late_us",
            numbers(lines.iter().map(|line| microseconds(line.recording_delay))),
            true,
        ),
        ("sender", Arc::new(senders), true),
        (
            "kind",
            texts(lines.iter().map(|line| Some(kind(&line.event)))),
            true,
        ),
        ("notices", texts(ids.iter().map(Option::as_deref)), true),
        (
            "partner",
            numbers(places.iter().map(|place| place.destination)),
            true,
        ),
        (
            "endpoint",
            numbers(places.iter().map(|place| place.endpoint)),
            true,
        ),
        (
            "connection",
            numbers(places.iter().map(|place| place.connection)),
            true,
        ),
        (
            "wire",
            texts(lines.iter().map(|line| Some(line.wire.as_str()))),
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

/// The event's kind, as the files name it.
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

/// The messages that an event is about, separated by spaces.
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

/// Where an event happened.
#[derive(Clone, Copy, Debug, Default)]
struct Place {
    destination: Option<u64>,
    endpoint: Option<u64>,
    connection: Option<u64>,
}

fn place(event: &AuditEvent) -> Place {
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
        } => Place {
            destination: Some(*destination),
            endpoint: Some(*endpoint as u64),
            connection: Some(*connection),
        },
        AuditEvent::Notified {
            endpoint,
            destination,
            ..
        } => Place {
            destination: Some(*destination),
            endpoint: Some(*endpoint as u64),
            connection: None,
        },
        AuditEvent::Submitted { destination, .. }
        | AuditEvent::Posted { destination, .. }
        | AuditEvent::Fell { destination }
        | AuditEvent::Back { destination, .. } => Place {
            destination: Some(*destination),
            ..Place::default()
        },
        AuditEvent::Closed { connection } => Place {
            connection: Some(*connection),
            ..Place::default()
        },
        _ => Place::default(),
    }
}
