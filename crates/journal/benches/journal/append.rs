//! Measures the time of appending a batch, and the bytes on disk per message.

use std::time::Instant;

use redb::Database;

use crate::baselines::{redb_append, to_legacy};
use crate::fixtures::{
    LARGE, NOW, accepted, attempt_started, body, median, open_journal, size_of, temporary_folder,
    tick,
};
use crate::legacy_ledger::{LegacyLedger, LegacyRecord};

/// Prints the bytes on disk per pending message with one attempt in flight.
pub(crate) fn bytes_per_message() {
    println!("\nbytes per pending message (accepted, one attempt in flight), over 5,000 messages");
    for (size, noise) in [
        (0, false),
        (120, false),
        (212, false),
        (400, false),
        (1000, false),
        (212, true),
        (1000, true),
    ] {
        let (a, b, c) = (temporary_folder(), temporary_folder(), temporary_folder());
        let mut journal = open_journal(a.path(), LARGE);
        let (mut ledger, _) = LegacyLedger::open(b.path(), LARGE).expect("opens");
        let db = Database::create(c.path().join("db")).expect("a database");
        let mut next = 0;
        for n in 0..5000 {
            let records = [accepted(n, body(n, size, noise)), attempt_started(n, 0)];
            journal.append(NOW, &records).expect("room");
            ledger
                .append(&records.each_ref().map(to_legacy))
                .expect("room");
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

/// Prints the median time of appending a batch of 32 records.
pub(crate) fn append() {
    const TICKS: u64 = 4000;
    let (a, b, c) = (temporary_folder(), temporary_folder(), temporary_folder());
    let mut journal = open_journal(a.path(), LARGE);
    let (mut ledger, _) = LegacyLedger::open(b.path(), LARGE).expect("opens");
    let db = Database::create(c.path().join("db")).expect("a database");
    let (mut new, mut old, mut redb, mut next) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for n in 0..TICKS {
        let records = tick(n);
        let legacy_records: Vec<LegacyRecord> = records.iter().map(to_legacy).collect();
        // The three alternate, so that other load on the machine affects all of them.
        let started = Instant::now();
        journal.append(NOW, &records).expect("room");
        new.push(started.elapsed());
        let started = Instant::now();
        ledger.append(&legacy_records).expect("room");
        old.push(started.elapsed());
        let started = Instant::now();
        redb_append(&db, &mut next, &records);
        redb.push(started.elapsed());
    }
    let (new, old, redb) = (median(new), median(old), median(redb));
    println!("\nappend of a batch of 32 records, median of {TICKS}");
    println!(
        "  {new:.1} us, old {old:.1} us (old/new {:.2}), redb {redb:.1} us (redb/new {:.2})",
        old / new,
        redb / new
    );
}
