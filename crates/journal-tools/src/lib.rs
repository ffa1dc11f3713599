//! Reads a journal's folder, at rest or while a sender writes to it, and never changes it.
//!
//! Start at [`Snapshot::take`]; [`verify`], [`stats`] and [`rows`] look at what it holds, [`export`] writes it down.
#![forbid(unsafe_code)]

pub mod export;
mod row;
mod snapshot;

use std::collections::BTreeMap;

use cranehill_journal::{DamageCause, DamagedRange, Key, LostMessage, read, scan};

pub use row::Row;
pub use snapshot::{Snapshot, ToolError};

/// What is wrong with a folder, and what a start would make of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    pub damage: Vec<DamagedRange>,
    pub lost: Vec<LostMessage>,
    pub doubted: usize,
    pub torn: Option<(String, u64)>,
    pub foreign: Vec<String>,
    pub open: u64,
    pub final_report: u64,
    pub completed: u64,
    pub segments: usize,
    pub frames: u64,
}

impl Verdict {
    /// Nothing that had been promised is hit. A cut-off write at the end is no damage.
    pub fn sound(&self) -> bool {
        self.damage.is_empty() && self.lost.is_empty()
    }

    /// One line for each thing that is wrong, then a summary.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for d in &self.damage {
            let why = match d.why {
                DamageCause::Damaged => "no frame can be read",
                DamageCause::Short => "the file ends too early",
                DamageCause::Altered => "not what was sealed: an older or altered copy",
                DamageCause::Missing => "the file is missing",
                DamageCause::Unlisted => "the manifest can't be read: nobody knows what is missing",
            };
            let most = if d.taken > 1_000_000 {
                "any number of".into()
            } else {
                format!("up to {}", d.taken)
            };
            lines.push(format!(
                "{} at {}, {} bytes: {why}; {most} notices taken on there",
                d.file, d.offset, d.len
            ));
        }
        for lost in &self.lost {
            lines.push(format!(
                "{} at {}: an attempt of {}, whose own record is gone",
                lost.file, lost.offset, lost.id
            ));
        }
        if let Some((file, bytes)) = &self.torn {
            lines.push(format!(
                "{file}: {bytes} bytes of a write that was cut off; nothing in it was promised"
            ));
        }
        for file in &self.foreign {
            lines.push(format!("{file}: not of this folder; left alone"));
        }
        lines.push(format!(
            "{} segments, {} frames; {} notices open ({} in doubt), {} reports due, {} ended ids remembered",
            self.segments, self.frames, self.open, self.doubted, self.final_report, self.completed
        ));
        lines
    }
}

/// Reads every byte and says what is wrong.
pub fn verify(snapshot: &Snapshot) -> Result<Verdict, ToolError> {
    let mut files = snapshot.files.after_death();
    let found =
        read(&mut files, snapshot.key, &Key::default()).map_err(ToolError::open(&snapshot.path))?;
    let (open, final_report, completed) = found.index.counts();
    Ok(Verdict {
        damage: found.recovered.damage,
        lost: found.recovered.lost,
        doubted: found.recovered.doubted,
        torn: found.recovered.torn,
        foreign: found.recovered.foreign,
        open,
        final_report,
        completed,
        segments: found.scan.segments.len(),
        frames: found
            .scan
            .segments
            .values()
            .map(|s| u64::from(s.frames))
            .sum(),
    })
}

/// One segment in figures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentStats {
    pub name: String,
    pub size: u64,
    pub live: u64,
    pub frames: u32,
    pub taken: u32,
    pub sealed: bool,
    pub first_lsn: u64,
    pub last_lsn: u64,
}

/// A folder in figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    pub segments: Vec<SegmentStats>,
    /// Frames and bytes by kind of fact.
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
    /// Bytes of bodies as they came, and as they stand in the folder.
    pub bodies: (u64, u64),
    pub open: u64,
    pub final_report: u64,
    pub completed: u64,
}

impl Stats {
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec!["segment       size    live  frames  taken  lsn".to_owned()];
        for s in &self.segments {
            let head = if s.sealed { "" } else { "  head" };
            lines.push(format!(
                "{}{:>9}{:>8}{:>8}{:>7}  {}..{}{head}",
                s.name.trim_end_matches(".seg"),
                s.size,
                s.live,
                s.frames,
                s.taken,
                s.first_lsn,
                s.last_lsn
            ));
        }
        for (kind, (frames, bytes)) in &self.kinds {
            lines.push(format!("{kind}: {frames} frames, {bytes} bytes"));
        }
        lines.push(format!(
            "bodies: {} bytes, {} as stored",
            self.bodies.0, self.bodies.1
        ));
        lines.push(format!(
            "{} open, {} closing, {} remembered",
            self.open, self.final_report, self.completed
        ));
        lines
    }
}

/// Counts what there is.
pub fn stats(snapshot: &Snapshot) -> Result<Stats, ToolError> {
    let mut files = snapshot.files.after_death();
    let found =
        read(&mut files, snapshot.key, &Key::default()).map_err(ToolError::open(&snapshot.path))?;
    let mut stats = Stats::default();
    (stats.open, stats.final_report, stats.completed) = found.index.counts();
    stats.segments = found
        .scan
        .segments
        .values()
        .map(|s| SegmentStats {
            name: s.name.clone(),
            size: s.size,
            live: found.index.live(s.sequence),
            frames: s.frames,
            taken: s.taken,
            sealed: s.seal.is_some(),
            first_lsn: s.first,
            last_lsn: s.last,
        })
        .collect();
    each(snapshot, |at, fact| {
        let row = Row::new(at, fact);
        let (frames, bytes) = stats.kinds.entry(row.kind).or_default();
        (*frames, *bytes) = (*frames + 1, *bytes + u64::from(at.len));
        if let Some(taken) = fact.taken() {
            stats.bodies.0 += u64::from(row.body_bytes.unwrap_or(0));
            stats.bodies.1 += taken.body.len() as u64;
        }
    })?;
    Ok(stats)
}

/// All readable facts in the order of the segments; `progress` hears of bytes read, of how many.
pub fn rows(
    snapshot: &Snapshot,
    mut progress: impl FnMut(u64, u64),
) -> Result<Vec<Row>, ToolError> {
    let mut rows = Vec::new();
    let mut files = snapshot.files.after_death();
    scan(
        &mut files,
        snapshot.key,
        |at, fact| rows.push(Row::new(at, &fact)),
        &mut progress,
    )
    .map_err(ToolError::open(&snapshot.path))?;
    Ok(rows)
}

fn each(
    snapshot: &Snapshot,
    mut on: impl FnMut(cranehill_journal::RecordLocation, &cranehill_journal::JournalRecord<'_>),
) -> Result<(), ToolError> {
    let mut files = snapshot.files.after_death();
    scan(
        &mut files,
        snapshot.key,
        |at, fact| on(at, &fact),
        |_, _| {},
    )
    .map_err(ToolError::open(&snapshot.path))?;
    Ok(())
}
