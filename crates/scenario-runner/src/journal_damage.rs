//! Damage to a journal, as a crash of the whole machine may leave it: a sender then starts on such a folder.

use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use cranehill_journal_tools::{Row, Snapshot, rows};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Which segment was damaged, and which messages are lost by it.
#[derive(Debug)]
pub struct Damage {
    /// Messages that had been accepted and whose records can no longer be read.
    pub lost: BTreeSet<String>,
    pub segment: String,
    /// The segment's length after the damage.
    pub at: u64,
    /// The segment's length before it.
    pub size: u64,
}

/// A journal's segments with their sizes, in the order of their names.
pub fn segments(state: &Path) -> io::Result<Vec<(PathBuf, u64)>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(state)? {
        let entry = entry?;
        if entry.path().extension().is_some_and(|e| e == "seg") {
            found.push((entry.path(), entry.metadata()?.len()));
        }
    }
    found.sort();
    Ok(found)
}

/// Cuts a journal as a kill or a failing disk may: at a byte of any finished segment, or, where the draw falls into the
/// newest one, in the middle of one more write to its end. Each byte is as likely as any other. Nothing where there is no
/// journal yet.
///
/// The newest segment is never shortened: what the sender had written there it had acted on, a process's end does not
/// undo it, and a journal that had lost it could not be told from one that never had it.
pub fn damage(state: &Path, rng: &mut ChaCha8Rng) -> io::Result<Option<Damage>> {
    let before = read(state)?;
    let segments = segments(state)?;
    let total: u64 = segments.iter().map(|s| s.1).sum();
    let Some((newest, _)) = segments.last().cloned().filter(|_| total > 0) else {
        return Ok(None);
    };
    let mut at = rng.random_range(0..total);
    for (path, size) in segments {
        if at >= size {
            at -= size;
            continue;
        }
        let mut file = OpenOptions::new().read(true).append(true).open(&path)?;
        if path != newest {
            file.set_len(at)?;
        } else {
            // Any frame's first bytes are those of a write that was cut off: its head is good, and too little follows.
            let own = |r: &&Row| path.ends_with(format!("{:08}.seg", r.segment));
            let Some(frame) = before.iter().rfind(own) else {
                return Ok(None);
            };
            let bytes = std::fs::read(&path)?;
            let whole = &bytes[frame.offset as usize..][..frame.bytes as usize];
            at = size + rng.random_range(1..whole.len() as u64);
            file.write_all(&whole[..(at - size) as usize])?;
        }
        let left = taken(&read(state)?);
        let lost = taken(&before).difference(&left).cloned().collect();
        let segment = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        return Ok(Some(Damage {
            lost,
            segment,
            at,
            size,
        }));
    }
    Ok(None)
}

fn read(state: &Path) -> io::Result<Vec<Row>> {
    Snapshot::take(state, None)
        .and_then(|s| rows(&s, |_, _| {}))
        .map_err(io::Error::other)
}

/// Ids whose taking on can be read.
fn taken(rows: &[Row]) -> BTreeSet<String> {
    rows.iter()
        .filter(|r| r.kind == "taken")
        .filter_map(|r| r.id.clone())
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use cranehill_core::Record;
    use cranehill_journal::{Folder, Journal, Options};
    use rand::SeedableRng;

    fn record(n: u64) -> Record {
        let (id, at, deadline) = (format!("n{n}"), n, 20_000_000_000);
        let body = vec![n as u8; 40];
        Record::Accepted {
            id,
            class: 0,
            tenant: 0,
            destination: 1,
            key: None,
            ordering_key: None,
            deadline,
            at,
            body: body.into(),
        }
    }

    /// Guards the judge: what a cut took is excused, and nothing else; and the sender's promise: what is left is found again,
    /// and what may be missing of it is in doubt. Each draw cuts a fresh folder of two segments.
    #[test]
    fn what_is_lost_is_what_can_no_longer_be_read() {
        let (mut lost, mut torn) = (BTreeSet::new(), 0);
        for seed in 0..40 {
            let folder = tempfile::tempdir().expect("a folder");
            let options = Options {
                disk: 1 << 20,
                key: None,
                fresh_key: Default::default(),
                segment: None,
            };
            let open = || {
                Journal::open(
                    Folder::new(folder.path(), 1 << 20).expect("a folder"),
                    &options,
                    0,
                )
            };
            for half in 0..2 {
                let (mut journal, _) = open().expect("it opens");
                for n in 0..10 {
                    journal.append(1, &[record(10 * half + n)]).expect("kept");
                }
            }
            let cut = damage(folder.path(), &mut ChaCha8Rng::seed_from_u64(seed))
                .expect("cut")
                .expect("a journal");
            let left = taken(&read(folder.path()).expect("read"));
            assert_eq!(left.len() + cut.lost.len(), 20, "seed {seed}: {cut:?}");
            let (_, found) = open().unwrap_or_else(|e| panic!("seed {seed}: {cut:?}: {e}"));
            assert_eq!(
                found.counts.open as usize,
                left.len(),
                "seed {seed}: {cut:?}"
            );
            if cut.at > cut.size {
                torn += 1;
                assert!(
                    cut.lost.is_empty() && found.possibly_executed == 0 && found.torn.is_some(),
                    "seed {seed}: {cut:?}"
                );
            } else {
                // What stands in the later segment is of a later time than the damage.
                assert!(
                    found.possibly_executed >= 10 - cut.lost.len(),
                    "seed {seed}: {cut:?}: {}",
                    found.possibly_executed
                );
            }
            lost.insert(cut.lost.len());
        }
        assert!(
            lost.len() > 5 && torn > 5,
            "cuts at many places: {lost:?}, {torn} torn"
        );
    }
}
