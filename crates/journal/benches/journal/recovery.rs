//! Measures the recovery of 100,000 pending messages.

use std::hint::black_box;
use std::time::Instant;

use cranehill_core::Record;
use cranehill_journal::{Folder, Journal};
use redb::{Database, ReadableTable};

use crate::baselines::{TABLE, redb_append, to_legacy};
use crate::fixtures::{
    LARGE, NOW, accepted, attempt_started, body, median, open_journal, options, temporary_folder,
};
use crate::legacy_ledger::LegacyLedger;

/// Prints the median time of recovery.
pub(crate) fn recovery() {
    const OPEN: u64 = 100_000;
    let (a, b, c) = (temporary_folder(), temporary_folder(), temporary_folder());
    {
        let mut journal = open_journal(a.path(), LARGE);
        let (mut ledger, _) = LegacyLedger::open(b.path(), LARGE).expect("opens");
        let db = Database::create(c.path().join("db")).expect("a database");
        let mut next = 0;
        for n in (0..OPEN).step_by(16) {
            let records: Vec<Record> = (n..n + 16)
                .flat_map(|n| [accepted(n, body(n, 212, false)), attempt_started(n, 0)])
                .collect();
            journal.append(NOW, &records).expect("room");
            ledger
                .append(&records.iter().map(to_legacy).collect::<Vec<_>>())
                .expect("room");
            redb_append(&db, &mut next, &records);
        }
    }
    let (mut new, mut old, mut redb) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..7 {
        let started = Instant::now();
        let folder = Folder::new(a.path(), LARGE).expect("a folder");
        let (journal, found) = Journal::open(folder, &options(LARGE), NOW).expect("opens");
        new.push(started.elapsed());
        assert_eq!(found.counts.open, OPEN);
        drop(black_box((journal, found)));
        let started = Instant::now();
        let (ledger, found) = LegacyLedger::open(b.path(), LARGE).expect("opens");
        old.push(started.elapsed());
        assert_eq!(found.len() as u64, OPEN * 2);
        drop(black_box((ledger.size, found)));
        let started = Instant::now();
        let db = Database::open(c.path().join("db")).expect("opens");
        let read = db.begin_read().expect("a transaction");
        let table = read.open_table(TABLE).expect("a table");
        let all: Vec<Vec<u8>> = table
            .iter()
            .expect("rows")
            .map(|r| r.expect("a row").1.value().to_vec())
            .collect();
        redb.push(started.elapsed());
        black_box(all.len());
    }
    let (new, old, redb) = (median(new) / 1e3, median(old) / 1e3, median(redb) / 1e3);
    println!("\nrecovery of {OPEN} pending messages, median of 7");
    println!(
        "  {new:.1} ms, old {old:.1} ms (old/new {:.2}), redb, read only, {redb:.1} ms",
        old / new
    );
}
