//! Records and folders used by the benchmarks.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Options};

/// Unix time in milliseconds.
pub(crate) const NOW: u64 = 1_764_590_000_000;
/// Nanoseconds in a millisecond.
pub(crate) const MS: u64 = 1_000_000;
/// A disk budget, in bytes, that no benchmark exhausts.
pub(crate) const LARGE: u64 = 256 << 20;

pub(crate) fn options(disk: u64) -> Options {
    Options {
        disk_bytes: disk,
        operator_key: None,
        fresh_key: [5; 32],
        segment_bytes: None,
    }
}

pub(crate) fn id(n: u64) -> String {
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A body of `size` bytes: JSON as a tenant might send it, or incompressible bytes if `noise` is set.
pub(crate) fn body(n: u64, size: usize, noise: bool) -> Arc<[u8]> {
    let mut state = n | 1;
    let mut next = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    if noise {
        return (0..size).map(|_| next() as u8).collect();
    }
    let text = format!(
        r#"{{"episode":"{:08x}","title":"Programa de la tarde, edición {n}","station":"onda-central","published":"2026-12-01T{:02}:{:02}:00-06:00","audio":{{"url":"https://stations.example.org/onda-central/episodes/{:08x}.mp3","bytes":{},"seconds":{}}},"note":"repetición, llamadas al aire, archivo de la estación onda-central"}}"#,
        next() as u32,
        n % 24,
        n % 60,
        next() as u32,
        next() % 90_000_000,
        next() % 7200
    );
    text.bytes().cycle().take(size).collect()
}

pub(crate) fn accepted(n: u64, body: Arc<[u8]>) -> Record {
    let deadline = (NOW + 20_000) * MS;
    Record::Accepted {
        id: id(n),
        class: 0,
        tenant: 1,
        destination: n % 22,
        idempotency_key: Some(id(n ^ 7)),
        ordering_key: None,
        deadline,
        accepted_at: NOW * MS,
        body,
    }
}

pub(crate) fn attempt_started(n: u64, attempt: u32) -> Record {
    Record::AttemptStarted {
        id: id(n),
        attempt,
        endpoint: format!("s-{:08x}", n % 29),
        started_at: (NOW + 3) * MS,
    }
}

/// A batch of 32 records: eight messages accepted, attempted and completed.
pub(crate) fn tick(n: u64) -> Vec<Record> {
    let mut records = Vec::with_capacity(32);
    for k in 0..8 {
        let (new, older) = (n * 8 + k, (n * 8 + k).wrapping_sub(80));
        records.push(accepted(new, body(new, 212, false)));
        records.push(attempt_started(new, 0));
        records.push(Record::AttemptFinished {
            id: id(new),
            attempt: 0,
            not_executed: false,
        });
        let over = if n >= 10 { older } else { new };
        records.push(Record::Completed {
            id: id(over),
            remembered_until: (NOW + 20_000) * MS,
        });
    }
    records
}

/// Total size of the files in a folder, in bytes.
pub(crate) fn size_of(dir: &Path) -> u64 {
    let files = std::fs::read_dir(dir).expect("a folder").flatten();
    files.map(|f| f.metadata().map_or(0, |m| m.len())).sum()
}

pub(crate) fn open_journal(dir: &Path, disk: u64) -> Journal<Folder> {
    Journal::open(
        Folder::new(dir, disk).expect("a folder"),
        &options(disk),
        NOW,
    )
    .expect("opens")
    .0
}

pub(crate) fn temporary_folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder")
}

/// The median in microseconds.
pub(crate) fn median(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1e6
}
