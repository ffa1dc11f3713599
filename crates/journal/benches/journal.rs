//! The journal against the ledger of release 0.1 and against redb without fsync, all in one run:
//! `cargo bench -p cranehill-journal`. Ratios are what counts; the times are this machine's.

mod old_ledger;

use std::hint::black_box;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Memory, Options};
use old_ledger::{OldLedger, OldRecord};
use redb::{Database, Durability, ReadableTable, TableDefinition};

const NOW: u64 = 1_764_590_000_000;
const MS: u64 = 1_000_000;
const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
const LARGE: u64 = 256 << 20;

fn options(disk: u64) -> Options {
    Options {
        disk,
        key: None,
        fresh_key: [5; 32],
        segment: None,
    }
}

fn id(n: u64) -> String {
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A body as a program of a tenant might write it; `noise` is what can't be packed.
fn body(n: u64, size: usize, noise: bool) -> Arc<[u8]> {
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

fn taken(n: u64, body: Arc<[u8]>) -> Record {
    let deadline = (NOW + 20_000) * MS;
    Record::Accepted {
        id: id(n),
        class: 0,
        tenant: 1,
        destination: n % 22,
        key: Some(id(n ^ 7)),
        ordering_key: None,
        deadline,
        at: NOW * MS,
        body,
    }
}

fn sent(n: u64, attempt: u32) -> Record {
    Record::AttemptStarted {
        id: id(n),
        attempt,
        endpoint: format!("s-{:08x}", n % 29),
        at: (NOW + 3) * MS,
    }
}

fn old(record: &Record) -> OldRecord {
    match record.clone() {
        Record::Accepted {
            id,
            class,
            tenant,
            destination,
            key,
            deadline,
            body,
            ..
        } => OldRecord::Accepted {
            id,
            class,
            tenant,
            destination,
            key,
            deadline,
            body,
        },
        Record::AttemptStarted {
            id,
            attempt,
            endpoint,
            at,
        } => OldRecord::Sent {
            id,
            attempt,
            endpoint,
            at,
        },
        Record::AttemptFinished {
            id,
            attempt,
            not_executed,
        } => OldRecord::AttemptFinished {
            id,
            attempt,
            not_executed,
        },
        Record::FinalReportDue { id, .. } | Record::Completed { id, .. } => OldRecord::Over { id },
    }
}

/// What redb would hold of a record: as few bytes as the journal's, without its frame.
fn value(record: &Record) -> Vec<u8> {
    match record {
        Record::Accepted { id, key, body, .. } => [
            id.as_bytes(),
            &[0; 12],
            key.as_deref().unwrap_or_default().as_bytes(),
            body,
        ]
        .concat(),
        Record::AttemptStarted { id, endpoint, .. } => {
            [id.as_bytes(), &[1; 8], endpoint.as_bytes()].concat()
        }
        other => [other.id().as_bytes(), &[2; 2]].concat(),
    }
}

fn size_of(dir: &Path) -> u64 {
    let files = std::fs::read_dir(dir).expect("a folder").flatten();
    files.map(|f| f.metadata().map_or(0, |m| m.len())).sum()
}

fn new_journal(dir: &Path, disk: u64) -> Journal<Folder> {
    Journal::open(
        Folder::new(dir, disk).expect("a folder"),
        &options(disk),
        NOW,
    )
    .expect("opens")
    .0
}

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1e6
}

fn redb_append(db: &Database, next: &mut u64, records: &[Record]) {
    let mut write = db.begin_write().expect("a transaction");
    write.set_durability(Durability::None);
    {
        let mut table = write.open_table(TABLE).expect("a table");
        for record in records {
            table
                .insert(*next, value(record).as_slice())
                .expect("inserted");
            *next += 1;
        }
    }
    write.commit().expect("committed");
}

/// Bytes on disk for a message that is held: accepted, one attempt out.
fn bytes_per_message() {
    println!("\nbytes a held notice (taken on, one attempt out), over 5,000 notices");
    for (size, noise) in [
        (0, false),
        (120, false),
        (212, false),
        (400, false),
        (1000, false),
        (212, true),
        (1000, true),
    ] {
        let (a, b, c) = (dir(), dir(), dir());
        let mut journal = new_journal(a.path(), LARGE);
        let (mut ledger, _) = OldLedger::open(b.path(), LARGE).expect("opens");
        let db = Database::create(c.path().join("db")).expect("a database");
        let mut next = 0;
        for n in 0..5000 {
            let records = [taken(n, body(n, size, noise)), sent(n, 0)];
            journal.append(NOW, &records).expect("room");
            ledger.append(&records.each_ref().map(old)).expect("room");
            redb_append(&db, &mut next, &records);
        }
        drop(db);
        let [x, y, z] = [a.path(), b.path(), c.path()].map(|p| size_of(p) as f64 / 5000.0);
        let what = if noise { "noise" } else { "text" };
        println!(
            "  body {size:>4} {what}: {x:7.1}, old {y:7.1} (ratio {:.2}), redb {z:7.1}",
            x / y
        );
    }
}

fn dir() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder")
}

/// A turn of 32 records: eight messages accepted, sent, back and over.
fn turn(n: u64) -> Vec<Record> {
    let mut records = Vec::with_capacity(32);
    for k in 0..8 {
        let (new, older) = (n * 8 + k, (n * 8 + k).wrapping_sub(80));
        records.push(taken(new, body(new, 212, false)));
        records.push(sent(new, 0));
        records.push(Record::AttemptFinished {
            id: id(new),
            attempt: 0,
            not_executed: false,
        });
        let over = if n >= 10 { older } else { new };
        records.push(Record::Completed {
            id: id(over),
            until: (NOW + 20_000) * MS,
        });
    }
    records
}

fn append() {
    const TURNS: u64 = 4000;
    let (a, b, c) = (dir(), dir(), dir());
    let mut journal = new_journal(a.path(), LARGE);
    let (mut ledger, _) = OldLedger::open(b.path(), LARGE).expect("opens");
    let db = Database::create(c.path().join("db")).expect("a database");
    let (mut new, mut was, mut redb, mut next) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for n in 0..TURNS {
        let records = turn(n);
        let olds: Vec<OldRecord> = records.iter().map(old).collect();
        // In turns, so that whatever else the machine does hits all three.
        let t = Instant::now();
        journal.append(NOW, &records).expect("room");
        new.push(t.elapsed());
        let t = Instant::now();
        ledger.append(&olds).expect("room");
        was.push(t.elapsed());
        let t = Instant::now();
        redb_append(&db, &mut next, &records);
        redb.push(t.elapsed());
    }
    let (new, was, redb) = (median(new), median(was), median(redb));
    println!("\nappend of a turn of 32 records, median of {TURNS}");
    println!(
        "  {new:.1} us, old {was:.1} us (old/new {:.2}), redb {redb:.1} us (redb/new {:.2})",
        was / new,
        redb / new
    );
}

fn recovery() {
    const OPEN: u64 = 100_000;
    let (a, b, c) = (dir(), dir(), dir());
    {
        let mut journal = new_journal(a.path(), LARGE);
        let (mut ledger, _) = OldLedger::open(b.path(), LARGE).expect("opens");
        let db = Database::create(c.path().join("db")).expect("a database");
        let mut next = 0;
        for n in (0..OPEN).step_by(16) {
            let records: Vec<Record> = (n..n + 16)
                .flat_map(|n| [taken(n, body(n, 212, false)), sent(n, 0)])
                .collect();
            journal.append(NOW, &records).expect("room");
            ledger
                .append(&records.iter().map(old).collect::<Vec<_>>())
                .expect("room");
            redb_append(&db, &mut next, &records);
        }
    }
    let (mut new, mut was, mut redb) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..7 {
        let t = Instant::now();
        let folder = Folder::new(a.path(), LARGE).expect("a folder");
        let (journal, found) = Journal::open(folder, &options(LARGE), NOW).expect("opens");
        new.push(t.elapsed());
        assert_eq!(found.counts.0, OPEN);
        drop(black_box((journal, found)));
        let t = Instant::now();
        let (ledger, found) = OldLedger::open(b.path(), LARGE).expect("opens");
        was.push(t.elapsed());
        assert_eq!(found.len() as u64, OPEN * 2);
        drop(black_box((ledger.size, found)));
        let t = Instant::now();
        let db = Database::open(c.path().join("db")).expect("opens");
        let read = db.begin_read().expect("a transaction");
        let table = read.open_table(TABLE).expect("a table");
        let all: Vec<Vec<u8>> = table
            .iter()
            .expect("rows")
            .map(|r| r.expect("a row").1.value().to_vec())
            .collect();
        redb.push(t.elapsed());
        black_box(all.len());
    }
    let (new, was, redb) = (median(new) / 1e3, median(was) / 1e3, median(redb) / 1e3);
    println!("\nrecovery of {OPEN} open notices, median of 7");
    println!(
        "  {new:.1} ms, old {was:.1} ms (old/new {:.2}), redb, read only, {redb:.1} ms",
        was / new
    );
}

/// A folder of 0.5 MB with messages that come and go.
fn amplification() {
    const DISK: u64 = 500_000;
    const TURNS: u64 = 20_000;
    println!(
        "\nwrite amplification in a folder of 0.5 MB, {TURNS} turns of one notice taken on and one that ends"
    );
    for held in [50u64, 200, 400] {
        let b = dir();
        let (mut journal, _) =
            Journal::open(Memory::new(DISK), &options(DISK), NOW).expect("opens");
        let (mut ledger, _) = OldLedger::open(b.path(), DISK).expect("opens");
        let (mut appended, mut refused, mut rewrites) = (0, 0, 0);
        for n in 0..TURNS {
            let now = NOW + n * 50;
            let mut records = vec![taken(n, body(n, 212, false)), sent(n, 0)];
            if n >= held {
                // Some stay longer.
                let until = (now + 20_000) * MS;
                let ends = [n - held, n - held / 2].into_iter().zip([0, 1]);
                let due = ends.filter(|(older, soon)| (older % 7 == 0) == (*soon == 0));
                records.extend(due.map(|(older, _)| Record::Completed {
                    id: id(older),
                    until,
                }));
            }
            refused += u64::from(journal.append(now, &records).is_err());
            journal.compact(now);
            let olds: Vec<OldRecord> = records.iter().map(old).collect();
            let before = ledger.written;
            ledger.append(&olds).expect("room");
            appended += ledger.written - before;
            if ledger.wants_rewrite() {
                let live: Vec<OldRecord> = (n.saturating_sub(held)..=n)
                    .flat_map(|n| [taken(n, body(n, 212, false)), sent(n, 0)])
                    .map(|r| old(&r))
                    .collect();
                ledger.rewrite(&live).expect("room");
                rewrites += 1;
            }
        }
        let stats = journal.stats();
        let written = journal.storage().written;
        println!(
            "  {held} held: {:.2} ({} of {} bytes, {} segments gone, {refused} turns refused); old {:.2} ({rewrites} rewritings)",
            written as f64 / stats.appended as f64,
            written,
            stats.appended,
            stats.removed,
            ledger.written as f64 / appended as f64
        );
    }
}

/// The longest time for which a turn waits for the journal, with 100,000 open messages.
fn longest_step() {
    const OPEN: u64 = 100_000;
    let (a, b) = (dir(), dir());
    let disk = 96 << 20;
    let mut journal = new_journal(a.path(), disk);
    let (mut ledger, _) = OldLedger::open(b.path(), disk).expect("opens");
    let mut live = Vec::new();
    for n in (0..OPEN).step_by(16) {
        let records: Vec<Record> = (n..n + 16)
            .flat_map(|n| [taken(n, body(n, 212, false)), sent(n, 0)])
            .collect();
        journal.append(NOW, &records).expect("room");
        live.extend(records.iter().map(old));
    }
    ledger.append(&live).expect("room");
    let mut all = Vec::new();
    // Every second message ends, and new ones come: compaction has work all the time.
    for n in 0..6000u64 {
        let now = NOW + n * 5;
        let mut records = Vec::new();
        for k in 0..8 {
            let new = OPEN + n * 8 + k;
            records.push(taken(new, body(new, 212, false)));
            records.push(sent(new, 0));
            records.push(Record::Completed {
                id: id((n * 8 + k) * 2 % OPEN),
                until: (now + 20_000) * MS,
            });
        }
        let t = Instant::now();
        journal.append(now, &records).expect("room");
        let appended = t.elapsed();
        let t = Instant::now();
        journal.compact(now);
        all.push((appended, t.elapsed()));
    }
    let mut rewritten = Vec::new();
    for _ in 0..5 {
        let t = Instant::now();
        ledger.rewrite(&live).expect("room");
        rewritten.push(t.elapsed());
    }
    let most =
        |f: fn(&(Duration, Duration)) -> Duration| all.iter().map(f).max().unwrap_or_default();
    let at = |f: fn(&(Duration, Duration)) -> Duration, share: f64| {
        let mut times: Vec<Duration> = all.iter().map(f).collect();
        times.sort_unstable();
        times[((times.len() - 1) as f64 * share) as usize]
    };
    let stats = journal.stats();
    println!(
        "\nlongest step with {} open notices, {} turns of 24 records, {} segments gone",
        stats.open,
        all.len(),
        stats.removed
    );
    println!(
        "  append: {:?}, 99.9% {:?}; compaction: {:?}, 99.9% {:?}",
        most(|s| s.0),
        at(|s| s.0, 0.999),
        most(|s| s.1),
        at(|s| s.1, 0.999)
    );
    println!("  old: rewriting {:.0} us, median of 5", median(rewritten));
}

fn main() {
    // One part by its name, or all of them.
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let parts: [(&str, fn()); 5] = [
        ("bytes", bytes_per_message),
        ("append", append),
        ("recovery", recovery),
        ("amplification", amplification),
        ("longest", longest_step),
    ];
    for (name, part) in parts {
        if wanted.is_empty() || wanted.iter().any(|w| w == name) {
            part();
        }
    }
}
