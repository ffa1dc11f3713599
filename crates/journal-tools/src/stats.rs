//! A folder in figures.

use std::collections::BTreeMap;

use cranehill_journal::scan;

use crate::error::ToolError;
use crate::row::Row;
use crate::snapshot::Snapshot;

/// One segment in figures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentStats {
    /// Its file's name.
    pub name: String,
    /// Size of the file in bytes.
    pub size: u64,
    /// Bytes of live frames.
    pub live: u64,
    /// Readable frames.
    pub frames: u32,
    /// Readable records of accepted messages.
    pub accepted: u32,
    /// Whether it is finished; else it is the head.
    pub sealed: bool,
    /// Lowest log number in it.
    pub first_lsn: u64,
    /// Highest log number in it.
    pub last_lsn: u64,
}

/// The records of one kind in figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindStats {
    /// Frames with such a record.
    pub frames: u64,
    /// Bytes of these frames.
    pub bytes: u64,
}

/// Bytes of all bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyBytes {
    /// As they were accepted.
    pub accepted: u64,
    /// As they are stored.
    pub stored: u64,
}

/// A folder in figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// By sequence number.
    pub segments: Vec<SegmentStats>,
    /// By the name of the records' kind.
    pub kinds: BTreeMap<&'static str, KindStats>,
    /// Of all accepted messages.
    pub bodies: BodyBytes,
    /// Pending messages.
    pub open: u64,
    /// Messages whose final report is due.
    pub final_report: u64,
    /// Completed messages that are remembered.
    pub completed: u64,
}

impl Stats {
    /// A table of segments, a line for each kind of record, and totals.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec!["segment       size    live  frames  taken  lsn".to_owned()];
        lines.extend(self.segments.iter().map(SegmentStats::line));
        for (kind, KindStats { frames, bytes }) in &self.kinds {
            lines.push(format!("{kind}: {frames} frames, {bytes} bytes"));
        }
        lines.push(format!(
            "bodies: {} bytes, {} as stored",
            self.bodies.accepted, self.bodies.stored
        ));
        lines.push(format!(
            "{} open, {} closing, {} remembered",
            self.open, self.final_report, self.completed
        ));
        lines
    }
}

impl SegmentStats {
    fn line(&self) -> String {
        let head = if self.sealed { "" } else { "  head" };
        format!(
            "{}{:>9}{:>8}{:>8}{:>7}  {}..{}{head}",
            self.name.trim_end_matches(".seg"),
            self.size,
            self.live,
            self.frames,
            self.accepted,
            self.first_lsn,
            self.last_lsn
        )
    }
}

/// Counts what there is.
///
/// # Errors
/// If the files are no journal that can be read at all.
pub fn stats(snapshot: &Snapshot) -> Result<Stats, ToolError> {
    let contents = snapshot.contents()?;
    let counts = contents.recovered.counts;
    let segments = contents
        .scan
        .segments
        .values()
        .map(|segment| SegmentStats {
            name: segment.name.clone(),
            size: segment.size,
            live: contents.live_bytes(segment.sequence),
            frames: segment.frames,
            accepted: segment.accepted,
            sealed: segment.is_sealed(),
            first_lsn: segment.first_lsn,
            last_lsn: segment.last_lsn,
        })
        .collect();
    let mut stats = Stats {
        segments,
        open: counts.open,
        final_report: counts.final_report_due,
        completed: counts.completed,
        ..Stats::default()
    };
    let mut files = snapshot.files.after_death();
    scan(
        &mut files,
        snapshot.key,
        |location, record| {
            let row = Row::new(location, &record);
            let kind = stats.kinds.entry(row.kind).or_default();
            kind.frames += 1;
            kind.bytes += u64::from(location.len);
            if let Some(message) = record.accepted() {
                stats.bodies.accepted += u64::from(row.body_bytes.unwrap_or(0));
                stats.bodies.stored += message.body.len() as u64;
            }
        },
        |_, _| {},
    )
    .map_err(ToolError::open(&snapshot.path))?;
    Ok(stats)
}
