//! Damages a sender's journal as a crash of the machine may, so that the sender restarts on a damaged state folder.

use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use cranehill_journal_tools::{Row, Snapshot, rows};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[cfg(test)]
mod tests;

/// [`Row::kind`] of a record that accepts a message.
const ACCEPTED: &str = "taken";

/// The damage to one segment, and the messages that are lost with it.
#[derive(Debug)]
pub struct Damage {
    /// Ids of the messages whose acceptance was readable before the damage and is not readable now.
    pub lost: BTreeSet<String>,
    /// File name of the damaged segment.
    pub segment: String,
    /// Length of the segment in bytes after the damage: shorter than [`size`](Damage::size) if truncated, longer if a torn frame was
    /// appended.
    pub new_size: u64,
    /// Length of the segment in bytes before the damage.
    pub size: u64,
}

/// The segment files in a state folder with their sizes in bytes, oldest first.
///
/// # Errors
/// The folder or a file's metadata can't be read.
pub fn segments(state: &Path) -> io::Result<Vec<(PathBuf, u64)>> {
    let mut segments = Vec::new();
    for entry in std::fs::read_dir(state)? {
        let entry = entry?;
        if entry
            .path()
            .extension()
            .is_some_and(|extension| extension == "seg")
        {
            segments.push((entry.path(), entry.metadata()?.len()));
        }
    }
    segments.sort();
    Ok(segments)
}

/// Damages the journal in a state folder as a crash or a failing disk may. Draws a byte of all segments, each equally likely. A
/// segment that is not the newest is truncated there; to the newest one an incomplete frame is appended instead. `None` if there is
/// nothing to damage: no segment, or no frame in the newest one.
///
/// The newest segment is never truncated. The sender has acted on the records that it wrote there, and the end of its process does
/// not remove them; without them the journal would be identical to one in which they were never written, so that no recovery could
/// detect the loss.
///
/// # Errors
/// The journal can't be read or written.
pub fn damage(state: &Path, rng: &mut ChaCha8Rng) -> io::Result<Option<Damage>> {
    let rows_before = read_rows(state)?;
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
        let new_size = if is_newest {
            append_torn_frame(path, *size, &rows_before, rng)?
        } else {
            truncate(path, position)?;
            Some(position)
        };
        let Some(new_size) = new_size else {
            return Ok(None);
        };
        let remaining = accepted(&read_rows(state)?);
        let segment = path.file_name().unwrap_or_default().to_string_lossy();
        return Ok(Some(Damage {
            lost: accepted(&rows_before)
                .difference(&remaining)
                .cloned()
                .collect(),
            segment: segment.into_owned(),
            new_size,
            size: *size,
        }));
    }
    Ok(None)
}

fn truncate(path: &Path, length: u64) -> io::Result<()> {
    let file = OpenOptions::new().read(true).append(true).open(path)?;
    file.set_len(length)
}

/// Appends the first bytes of a copy of the segment's last frame, as an interrupted write leaves them. Returns the segment's new
/// length; `None` if the segment has no frame.
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

fn read_rows(state: &Path) -> io::Result<Vec<Row>> {
    Snapshot::take(state, None)
        .and_then(|snapshot| rows(&snapshot, |_, _| {}))
        .map_err(io::Error::other)
}

/// Ids of the messages whose acceptance is in these rows.
fn accepted(rows: &[Row]) -> BTreeSet<String> {
    rows.iter()
        .filter(|row| row.kind == ACCEPTED)
        .filter_map(|row| row.id.clone())
        .collect()
}
