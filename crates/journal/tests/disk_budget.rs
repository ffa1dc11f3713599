//! Behaviour with an exhausted disk budget.

mod common;

use common::{
    LIFETIME_MS, START_MS, accepted, attempt_finished, attempt_started, compact, completed, open,
    open_ids,
};
use cranehill_core::{FinalReport, Persisted, Record};
use cranehill_journal::{Memory, disk_usage};

#[test]
fn a_full_disk_rejects_new_messages_and_still_persists_attempts_and_ends() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START_MS);
    let mut ids = Vec::new();
    while journal.admit(500).is_ok() {
        let id = format!("m{:03}", ids.len());
        journal
            .append(START_MS, &[accepted(&id, 0), attempt_started(&id, 0)])
            .expect("room for an admitted message");
        ids.push(id);
        journal.compact(START_MS);
    }
    assert!(ids.len() > 10);
    // All further records of the admitted messages fit: every attempt that a class allows, final reports, completions.
    for attempt in 0..6 {
        for id in &ids {
            journal
                .append(
                    START_MS,
                    &[
                        attempt_finished(id, attempt),
                        attempt_started(id, attempt + 1),
                    ],
                )
                .expect("reserved room");
            journal.compact(START_MS);
        }
    }
    for id in &ids {
        let final_report = Record::FinalReportDue {
            id: id.clone(),
            final_report: FinalReport::Failed,
            ordering_key: None,
        };
        journal
            .append(START_MS, &[final_report])
            .expect("reserved room");
        journal.compact(START_MS);
    }
    assert!(journal.admit(500).is_err() || journal.stats().free_bytes > 20_000);
    journal
        .append(
            START_MS,
            &ids.iter().map(|id| completed(id)).collect::<Vec<_>>(),
        )
        .expect("reserved room");
    compact(&mut journal, 200, START_MS + LIFETIME_MS);
    assert!(journal.admit(500).is_ok(), "{:?}", journal.stats());
    let stats = journal.stats();
    assert_eq!(
        (stats.pending, stats.final_reports_due, stats.completed),
        (0, 0, 0)
    );
}

#[test]
fn a_batch_without_room_persists_its_end_records_only() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START_MS);
    journal
        .append(
            START_MS,
            &[
                accepted("a", 10),
                accepted("b", 10),
                attempt_started("a", 0),
            ],
        )
        .expect("room");
    let storage = journal.storage_mut();
    let used: u64 = storage
        .files
        .values()
        .map(|f| disk_usage(f.len() as u64))
        .sum();
    storage.disk = used + 2048;
    let error = journal
        .append(
            START_MS,
            &[completed("a"), accepted("c", 10), attempt_started("c", 0)],
        )
        .expect_err("no room");
    assert_eq!(error.persisted, Persisted::EndsOnly);
    journal.storage_mut().deny_appends = true;
    let error = journal
        .append(START_MS, &[completed("b"), accepted("d", 10)])
        .expect_err("all appends fail");
    assert_eq!(error.persisted, Persisted::Nothing);
    let (_, found) = open(journal.storage().without_faults(), START_MS);
    assert_eq!(open_ids(&found.records), ["b"]);
}

#[test]
fn a_disk_that_fills_during_compaction_or_rotation_only_delays_it() {
    for step in 0..12 {
        let (mut journal, _) = open(Memory::new(64 * 1024), START_MS);
        let mut live = Vec::new();
        for i in 0..200 {
            let id = format!("m{i:03}");
            let mut records = vec![accepted(&id, 60)];
            if i % 3 == 0 {
                live.push(id);
            } else {
                records.push(completed(&id));
            }
            journal.append(START_MS, &records).expect("room");
        }
        compact(&mut journal, step, START_MS);
        let storage = journal.storage_mut();
        let used: u64 = storage
            .files
            .values()
            .map(|f| disk_usage(f.len() as u64))
            .sum();
        for disk in [used, used + 512, used + 1024] {
            journal.storage_mut().disk = disk;
            compact(&mut journal, 20, START_MS + LIFETIME_MS);
            let (_, found) = open(journal.storage().without_faults(), START_MS);
            assert_eq!(
                open_ids(&found.records).len(),
                live.len(),
                "after {step} steps"
            );
        }
        journal.storage_mut().disk = 64 * 1024;
        compact(&mut journal, 400, START_MS + LIFETIME_MS);
        let (_, found) = open(journal.storage().without_faults(), START_MS);
        assert_eq!(
            open_ids(&found.records),
            live.iter().map(String::as_str).collect::<Vec<_>>()
        );
        let stats = journal.stats();
        assert!(
            stats.bytes < 24_000,
            "compaction continues once there is room: {stats:?}"
        );
    }
}
