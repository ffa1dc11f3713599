//! Damage to a journal, as a crash of the whole machine may leave it: a sender then starts on such a folder.

use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use cranehill_journal_tools::{Row, Snapshot, rows};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[cfg(test)]
mod tests;

/// The kind of a journal row by which a message was accepted.
const ACCEPTED: &str = "taken";

/// Which segment was damaged, and which messages are lost by it.
#[derive(Debug)]
pub struct Damage {
    /// Messages that had been accepted and whose records can no longer be read.
    pub lost: BTreeSet<String>,
    /// The segment's file name.
    pub segment: String,
    /// The segment's length in bytes after the damage.
    pub at: u64,
    /// The segment's length in bytes before it.
    pub size: u64,
}

/// A journal's segments with their sizes in bytes, in the order of their names.
///
/// # Errors
/// The folder can't be read.
pub fn segments(state: &Path) -> io::Result<Vec<(PathBuf, u64)>> {
    let mut segments = Vec::new();
    for entry in std::fs::read_dir(state)? {
        let entry = entry?;
        if entry.path().extension().is_some_and(|e| e == "seg") {
            segments.push((entry.path(), entry.metadata()?.len()));
        }
    }
    segments.sort();
    Ok(segments)
}

/// Damages a journal as a kill or a failing disk may: cuts a finished segment at any byte, or, where the draw falls into the
/// newest one, appends an incomplete write to it. Each byte is equally likely. `None` where there is no journal yet.
///
/// The newest segment is never shortened: the sender had acted on what it had written there, the end of a process does not
/// undo that, and a journal without it could not be told from one that never had it.
///
/// # Errors
/// The journal can't be read or written.
pub fn damage(state: &Path, rng: &mut ChaCha8Rng) -> io::Result<Option<Damage>> {
    let before = read(state)?;
    let segments = segments(state)?;
    let total: u64 = segments.iter().map(|(_, size)| size).sum();
    if total == 0 {
        return Ok(None);
    }
    let mut position = rng.random_range(0..total);
    for (index, (path, size)) in segments.iter().enumerate() {
        if position >= *size {
            position -= size;
            continue;
        }
        let is_newest = index + 1 == segments.len();
        let at = if is_newest {
            append_torn_frame(path, *size, &before, rng)?
        } else {
            cut(path, position)?;
            Some(position)
        };
        let Some(at) = at else {
            return Ok(None);
        };
        let remaining = accepted(&read(state)?);
        let segment = path.file_name().unwrap_or_default().to_string_lossy();
        return Ok(Some(Damage {
            lost: accepted(&before).difference(&remaining).cloned().collect(),
            segment: segment.into_owned(),
            at,
            size: *size,
        }));
    }
    Ok(None)
}

fn cut(path: &Path, length: u64) -> io::Result<()> {
    let file = OpenOptions::new().read(true).append(true).open(path)?;
    file.set_len(length)
}

/// Appends the first bytes of a frame that the segment has already, as a write that was cut off leaves them: its head is
/// valid, and too little follows. The segment's new length; `None` if it has no frame.
fn append_torn_frame(
    path: &Path,
    size: u64,
    rows: &[Row],
    rng: &mut ChaCha8Rng,
) -> io::Result<Option<u64>> {
    let is_in_segment = |row: &&Row| path.ends_with(format!("{:08}.seg", row.segment));
    let Some(row) = rows.iter().rfind(is_in_segment) else {
        return Ok(None);
    };
    let bytes = std::fs::read(path)?;
    let frame = &bytes[row.offset as usize..][..row.bytes as usize];
    let torn_length = rng.random_range(1..frame.len() as u64);
    let mut file = OpenOptions::new().read(true).append(true).open(path)?;
    file.write_all(&frame[..torn_length as usize])?;
    Ok(Some(size + torn_length))
}

fn read(state: &Path) -> io::Result<Vec<Row>> {
    Snapshot::take(state, None)
        .and_then(|snapshot| rows(&snapshot, |_, _| {}))
        .map_err(io::Error::other)
}

/// Messages whose acceptance can be read.
fn accepted(rows: &[Row]) -> BTreeSet<String> {
    rows.iter()
        .filter(|row| row.kind == ACCEPTED)
        .filter_map(|row| row.id.clone())
        .collect()
}
