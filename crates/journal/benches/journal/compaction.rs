//! Measures the write amplification of compaction and the duration of its steps.

use std::time::{Duration, Instant};

use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Memory};

use crate::baselines::to_legacy;
use crate::fixtures::{
    MS, NOW, accepted, attempt_started, body, id, median, open_journal, options, temporary_folder,
};
use crate::legacy_ledger::{LegacyLedger, LegacyRecord};

/// Number of pending messages while steps are measured.
const OPEN: u64 = 100_000;

/// Prints the write amplification in a folder of 0.5 MB in which messages are accepted and completed.
pub(crate) fn amplification() {
    const DISK: u64 = 500_000;
    const TICKS: u64 = 20_000;
    println!(
        "\nwrite amplification in a folder of 0.5 MB, {TICKS} batches of one message accepted and one completed"
    );
    for pending in [50u64, 200, 400] {
        let b = temporary_folder();
        let (mut journal, _) =
            Journal::open(Memory::new(DISK), &options(DISK), NOW).expect("opens");
        let (mut ledger, _) = LegacyLedger::open(b.path(), DISK).expect("opens");
        let (mut appended, mut rejected, mut rewrites) = (0, 0, 0);
        for n in 0..TICKS {
            let now = NOW + n * 50;
            let mut records = vec![accepted(n, body(n, 212, false)), attempt_started(n, 0)];
            if n >= pending {
                // One message in seven is completed sooner than the others.
                let until = (now + 20_000) * MS;
                let ends = [n - pending, n - pending / 2].into_iter().zip([0, 1]);
                let due = ends.filter(|(older, soon)| (older % 7 == 0) == (*soon == 0));
                records.extend(due.map(|(older, _)| Record::Completed {
                    id: id(older),
                    remembered_until: until,
                }));
            }
            rejected += u64::from(journal.append(now, &records).is_err());
            journal.compact(now);
            let legacy_records: Vec<LegacyRecord> = records.iter().map(to_legacy).collect();
            let before = ledger.written;
            ledger.append(&legacy_records).expect("room");
            appended += ledger.written - before;
            if ledger.wants_rewrite() {
                let live: Vec<LegacyRecord> = (n.saturating_sub(pending)..=n)
                    .flat_map(|n| [accepted(n, body(n, 212, false)), attempt_started(n, 0)])
                    .map(|r| to_legacy(&r))
                    .collect();
                ledger.rewrite(&live).expect("room");
                rewrites += 1;
            }
        }
        let stats = journal.stats();
        let written = journal.storage().written;
        println!(
            "  {pending} pending: {:.2} ({} of {} bytes, {} segments removed, {rejected} batches rejected); old {:.2} ({rewrites} rewrites)",
            written as f64 / stats.appended_bytes as f64,
            written,
            stats.appended_bytes,
            stats.removed_segments,
            ledger.written as f64 / appended as f64
        );
    }
}

/// Prints the longest time for which a tick waits for the journal, with 100,000 pending messages.
pub(crate) fn longest_step() {
    let (a, b) = (temporary_folder(), temporary_folder());
    let disk = 96 << 20;
    let mut journal = open_journal(a.path(), disk);
    let (mut ledger, _) = LegacyLedger::open(b.path(), disk).expect("opens");
    let mut live = Vec::new();
    for n in (0..OPEN).step_by(16) {
        let records: Vec<Record> = (n..n + 16)
            .flat_map(|n| [accepted(n, body(n, 212, false)), attempt_started(n, 0)])
            .collect();
        journal.append(NOW, &records).expect("room");
        live.extend(records.iter().map(to_legacy));
    }
    ledger.append(&live).expect("room");
    let steps = measure_steps(&mut journal);
    let mut rewritten = Vec::new();
    for _ in 0..5 {
        let started = Instant::now();
        ledger.rewrite(&live).expect("room");
        rewritten.push(started.elapsed());
    }
    print_steps(&mut journal, &steps);
    println!("  old: rewriting {:.0} us, median of 5", median(rewritten));
}

/// Runs ticks and returns, for each, the time of its append and of its step of compaction.
fn measure_steps(journal: &mut Journal<Folder>) -> Vec<(Duration, Duration)> {
    let mut all = Vec::new();
    // Every second message is completed and new ones are accepted, so that compaction always has work.
    for n in 0..6000u64 {
        let now = NOW + n * 5;
        let mut records = Vec::new();
        for k in 0..8 {
            let new = OPEN + n * 8 + k;
            records.push(accepted(new, body(new, 212, false)));
            records.push(attempt_started(new, 0));
            records.push(Record::Completed {
                id: id((n * 8 + k) * 2 % OPEN),
                remembered_until: (now + 20_000) * MS,
            });
        }
        let started = Instant::now();
        journal.append(now, &records).expect("room");
        let appended = started.elapsed();
        let started = Instant::now();
        journal.compact(now);
        all.push((appended, started.elapsed()));
    }
    all
}

fn print_steps(journal: &mut Journal<Folder>, steps: &[(Duration, Duration)]) {
    let most =
        |f: fn(&(Duration, Duration)) -> Duration| steps.iter().map(f).max().unwrap_or_default();
    let at = |f: fn(&(Duration, Duration)) -> Duration, share: f64| {
        let mut times: Vec<Duration> = steps.iter().map(f).collect();
        times.sort_unstable();
        times[((times.len() - 1) as f64 * share) as usize]
    };
    let stats = journal.stats();
    println!(
        "\nlongest step with {} pending messages, {} batches of 24 records, {} segments removed",
        stats.pending,
        steps.len(),
        stats.removed_segments
    );
    println!(
        "  append: {:?}, 99.9% {:?}; compaction: {:?}, 99.9% {:?}",
        most(|s| s.0),
        at(|s| s.0, 0.999),
        most(|s| s.1),
        at(|s| s.1, 0.999)
    );
}
