//! Export of records as JSON lines, or as a Parquet table with the same names as columns.

use std::io::Write;
use std::sync::Arc;

use arrow_array::{
    ArrayRef, BinaryArray, BooleanArray, RecordBatch, StringArray, UInt32Array, UInt64Array,
};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;

use crate::row::Row;

/// Rows per Parquet row group, which bounds the memory needed by the writer and by readers.
const ROWS_PER_GROUP: usize = 8192;

/// Writes each row to `to` as one line of JSON.
///
/// # Errors
/// If writing to `to` fails.
pub fn json_lines(rows: &[Row], to: &mut impl Write) -> std::io::Result<()> {
    for row in rows {
        serde_json::to_writer(&mut *to, row)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// Writes the rows to `to` as a Parquet table with a column for each field, in row groups of 8192 rows. `progress` is
/// called with the number of rows written so far.
///
/// # Errors
/// If a row can't be encoded, or writing to `to` fails.
pub fn parquet(
    rows: &[Row],
    to: impl Write + Send,
    mut progress: impl FnMut(u64),
) -> Result<(), ParquetError> {
    let schema = batch(&[])?.schema();
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let mut writer = ArrowWriter::try_new(to, schema, Some(properties))?;
    for (n, chunk) in rows.chunks(ROWS_PER_GROUP).enumerate() {
        writer.write(&batch(chunk)?)?;
        progress((n * ROWS_PER_GROUP + chunk.len()) as u64);
    }
    writer.close()?;
    Ok(())
}

/// The rows as an Arrow record batch. All columns are nullable.
fn batch(rows: &[Row]) -> Result<RecordBatch, ParquetError> {
    let u32s = |f: fn(&Row) -> Option<u32>| {
        Arc::new(rows.iter().map(f).collect::<UInt32Array>()) as ArrayRef
    };
    let u64s = |f: fn(&Row) -> Option<u64>| {
        Arc::new(rows.iter().map(f).collect::<UInt64Array>()) as ArrayRef
    };
    let texts = |f: fn(&Row) -> Option<&str>| {
        Arc::new(rows.iter().map(f).collect::<StringArray>()) as ArrayRef
    };
    let columns = [
        ("segment", u32s(|r| Some(r.segment))),
        ("offset", u64s(|r| Some(r.offset))),
        ("bytes", u32s(|r| Some(r.bytes))),
        ("lsn", u64s(|r| Some(r.lsn))),
        ("kind", texts(|r| Some(r.kind))),
        ("id", texts(|r| r.id.as_deref())),
        ("born", u64s(|r| r.accepted_lsn)),
        ("attempt", u32s(|r| r.attempt)),
        (
            "never_ran",
            Arc::new(
                rows.iter()
                    .map(|r| r.not_executed)
                    .collect::<BooleanArray>(),
            ),
        ),
        ("endpoint", texts(|r| r.endpoint.as_deref())),
        ("at", u64s(|r| r.at)),
        ("class", u32s(|r| r.class)),
        ("station", u32s(|r| r.tenant)),
        ("partner", u64s(|r| r.destination)),
        ("key", texts(|r| r.key.as_deref())),
        ("deadline", u64s(|r| r.deadline)),
        ("after_ms", u64s(|r| r.after_ms)),
        ("until", u64s(|r| r.until)),
        ("before", u64s(|r| r.before)),
        ("body_bytes", u32s(|r| r.body_bytes)),
        (
            "body",
            Arc::new(
                rows.iter()
                    .map(|r| r.body.as_deref())
                    .collect::<BinaryArray>(),
            ),
        ),
        // New columns are added at the end, since readers may rely on positions.
        ("order_key", texts(|r| r.ordering_key.as_deref())),
    ];
    let columns = columns.map(|(name, column)| (name, column, true));
    Ok(RecordBatch::try_from_iter_with_nullable(columns)?)
}
