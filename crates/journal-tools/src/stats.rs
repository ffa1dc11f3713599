//! Statistics of a folder.

use std::collections::BTreeMap;

use cranehill_journal::scan;

use crate::error::ToolError;
use crate::row::Row;
use crate::snapshot::Snapshot;

/// Statistics of one segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentStats {
    /// Name of the file.
    pub name: String,
    /// Size of the file in bytes.
    pub size: u64,
    /// Bytes of live frames.
    pub live: u64,
    /// Number of readable frames.
    pub frames: u32,
    /// Number of readable records of accepted messages.
    pub accepted: u32,
    /// Whether the segment is sealed; otherwise it is the head.
    pub sealed: bool,
    /// Log number of the first readable frame; 0 if there is none.
    pub first_lsn: u64,
    /// Highest log number of a readable frame; the segment's base log number if there is none.
    pub last_lsn: u64,
}

/// Statistics of the records of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindStats {
    /// Number of frames with a record of the kind.
    pub frames: u64,
    /// Bytes of these frames.
    pub bytes: u64,
}

/// Total size of all bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyBytes {
    /// Bytes of the bodies as accepted.
    pub accepted: u64,
    /// Bytes of the bodies as stored, possibly compressed.
    pub stored: u64,
}

/// Statistics of a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Segments, ordered by sequence number.
    pub segments: Vec<SegmentStats>,
    /// Record statistics, by the name of the kind; see [`Row::kind`].
    pub kinds: BTreeMap<&'static str, KindStats>,
    /// Bodies of all accepted messages, whatever their state.
    pub bodies: BodyBytes,
    /// Number of pending messages.
    pub open: u64,
    /// Number of messages whose final report is due.
    pub final_report: u64,
    /// Number of completed messages whose ids are retained.
    pub completed: u64,
}

impl Stats {
    /// The statistics as lines of text: a table of segments, a line for each kind of record, and totals.
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
    /// The segment's line in the table.
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

/// Computes the statistics of a folder.
///
/// # Errors
/// If the folder can't be read as a journal; damaged ranges are skipped.
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
    let mut files = snapshot.files.without_faults();
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
