//! Facts as JSON lines, and as a Parquet table of the same columns.

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

/// Rows of one group: bounds what is held in memory, and what a reader must take at once.
pub const GROUP: usize = 8192;

/// One object a line.
pub fn json_lines(rows: &[Row], to: &mut impl Write) -> std::io::Result<()> {
    for row in rows {
        serde_json::to_writer(&mut *to, row)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// A table with a column for each field, in groups of [`GROUP`] rows; `progress` hears of rows written.
pub fn parquet(
    rows: &[Row],
    to: impl Write + Send,
    mut progress: impl FnMut(u64),
) -> Result<(), ParquetError> {
    let schema = batch(&[])?.schema();
    let set = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let mut writer = ArrowWriter::try_new(to, schema, Some(set))?;
    for (n, chunk) in rows.chunks(GROUP).enumerate() {
        writer.write(&batch(chunk)?)?;
        progress((n * GROUP + chunk.len()) as u64);
    }
    writer.close()?;
    Ok(())
}

fn batch(rows: &[Row]) -> Result<RecordBatch, ParquetError> {
    let narrow = |f: fn(&Row) -> Option<u32>| {
        Arc::new(rows.iter().map(f).collect::<UInt32Array>()) as ArrayRef
    };
    let wide = |f: fn(&Row) -> Option<u64>| {
        Arc::new(rows.iter().map(f).collect::<UInt64Array>()) as ArrayRef
    };
    let text = |f: fn(&Row) -> Option<&str>| {
        Arc::new(rows.iter().map(f).collect::<StringArray>()) as ArrayRef
    };
    let columns = [
        ("segment", narrow(|r| Some(r.segment))),
        ("offset", wide(|r| Some(r.offset))),
        ("bytes", narrow(|r| Some(r.bytes))),
        ("lsn", wide(|r| Some(r.lsn))),
        ("kind", text(|r| Some(r.kind))),
        ("id", text(|r| r.id.as_deref())),
        ("born", wide(|r| r.accepted_lsn)),
        ("attempt", narrow(|r| r.attempt)),
        (
            "never_ran",
            Arc::new(
                rows.iter()
                    .map(|r| r.not_executed)
                    .collect::<BooleanArray>(),
            ),
        ),
        ("endpoint", text(|r| r.endpoint.as_deref())),
        ("at", wide(|r| r.at)),
        ("class", narrow(|r| r.class)),
        ("station", narrow(|r| r.tenant)),
        ("partner", wide(|r| r.destination)),
        ("key", text(|r| r.key.as_deref())),
        ("deadline", wide(|r| r.deadline)),
        ("after_ms", wide(|r| r.after_ms)),
        ("until", wide(|r| r.until)),
        ("before", wide(|r| r.before)),
        ("body_bytes", narrow(|r| r.body_bytes)),
        (
            "body",
            Arc::new(
                rows.iter()
                    .map(|r| r.body.as_deref())
                    .collect::<BinaryArray>(),
            ),
        ),
        // Newer columns go to the end: readers may go by place.
        ("order_key", text(|r| r.ordering_key.as_deref())),
    ];
    let columns = columns.map(|(name, column)| (name, column, true));
    Ok(RecordBatch::try_from_iter_with_nullable(columns)?)
}
