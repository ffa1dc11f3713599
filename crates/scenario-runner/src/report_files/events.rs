//! The record of a run as a Parquet table and as text.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt32Array, UInt64Array};
use cranehill_simulation::audit::{Line, What};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;

/// Rows of one row group of the table.
const ROW_GROUP_ROWS: usize = 16 * 1024;

/// Writes the record as text, one event a line.
pub(super) fn write_text(path: &Path, lines: &[Line]) -> io::Result<()> {
    let mut text = BufWriter::new(File::create(path)?);
    for line in lines {
        let sender = line
            .sender
            .map_or_else(|| "-".into(), |sender| sender.to_string());
        writeln!(
            text,
            "{:>9.3} {sender:>2} {:<9} {}",
            line.at.as_secs_f64(),
            kind(&line.what),
            line.wire
        )?;
    }
    text.flush()
}

/// Writes the record as a Parquet table.
pub(super) fn write_parquet(path: &Path, lines: &[Line]) -> Result<(), ParquetError> {
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

fn record_batch(lines: &[Line]) -> Result<RecordBatch, ParquetError> {
    let microseconds = |duration: Duration| Some(duration.as_micros() as u64);
    let places: Vec<Place> = lines.iter().map(|line| place(&line.what)).collect();
    let ids: Vec<Option<String>> = lines.iter().map(|line| message_ids(&line.what)).collect();
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
            numbers(lines.iter().map(|line| microseconds(line.late))),
            true,
        ),
        ("sender", Arc::new(senders), true),
        (
            "kind",
            texts(lines.iter().map(|line| Some(kind(&line.what)))),
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
fn kind(event: &What) -> &'static str {
    match event {
        What::Submitted { .. } => "handed",
        What::Posted { .. } => "posted",
        What::Answered { .. } => "answered",
        What::Dropped { .. } => "dropped",
        What::Abandoned { .. } => "abandoned",
        What::Opened { .. } => "opened",
        What::Closed { .. } => "closed",
        What::Begun { .. } => "begun",
        What::Called { .. } => "called",
        What::Replied { .. } => "replied",
        What::Broke { .. } => "broke",
        What::Notified { .. } => "told",
        What::Reported { .. } => "reported",
        What::Signalled => "signalled",
        What::ProcessExited => "gone",
        What::Lost { .. } => "lost",
        What::Ready => "ready",
        What::Fell { .. } => "fell",
        What::Back { .. } => "back",
    }
}

/// The messages that an event is about, separated by spaces.
fn message_ids(event: &What) -> Option<String> {
    match event {
        What::Submitted { id, .. }
        | What::Posted { id, .. }
        | What::Answered { id, .. }
        | What::Dropped { id }
        | What::Abandoned { id }
        | What::Reported { id, .. } => Some(id.clone()),
        What::Called { ids, .. } | What::Broke { ids, .. } => joined(ids),
        What::Replied { outcomes, .. } => {
            let ids: Vec<String> = outcomes.iter().map(|(id, _)| id.clone()).collect();
            joined(&ids)
        }
        What::Lost { only } => only.as_deref().and_then(joined),
        What::Opened { .. }
        | What::Closed { .. }
        | What::Begun { .. }
        | What::Notified { .. }
        | What::Signalled
        | What::ProcessExited
        | What::Ready
        | What::Fell { .. }
        | What::Back { .. } => None,
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

fn place(event: &What) -> Place {
    match event {
        What::Opened {
            connection,
            endpoint,
            destination,
        }
        | What::Begun {
            connection,
            endpoint,
            destination,
        }
        | What::Called {
            connection,
            endpoint,
            destination,
            ..
        }
        | What::Replied {
            connection,
            endpoint,
            destination,
            ..
        }
        | What::Broke {
            connection,
            endpoint,
            destination,
            ..
        } => Place {
            destination: Some(*destination),
            endpoint: Some(*endpoint as u64),
            connection: Some(*connection),
        },
        What::Notified {
            endpoint,
            destination,
            ..
        } => Place {
            destination: Some(*destination),
            endpoint: Some(*endpoint as u64),
            connection: None,
        },
        What::Submitted { destination, .. }
        | What::Posted { destination, .. }
        | What::Fell { destination }
        | What::Back { destination, .. } => Place {
            destination: Some(*destination),
            ..Place::default()
        },
        What::Closed { connection } => Place {
            connection: Some(*connection),
            ..Place::default()
        },
        _ => Place::default(),
    }
}
