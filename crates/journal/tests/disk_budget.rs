//! A disk budget that is used up.

mod common;

use common::{
    DURATION, START, accepted, attempt_finished, attempt_started, compact, completed, open,
    open_ids,
};
use cranehill_core::{FinalReport, Persisted, Record};
use cranehill_journal::{Memory, disk_usage};

#[test]
fn a_full_disk_rejects_new_messages_and_still_persists_attempts_and_ends() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START);
    let mut ids = Vec::new();
    while journal.admit(500).is_ok() {
        let id = format!("m{:03}", ids.len());
        journal
            .append(START, &[accepted(&id, 0), attempt_started(&id, 0)])
            .expect("what is admitted has room");
        ids.push(id);
        journal.compact(START);
    }
    assert!(ids.len() > 10);
    // All attempts that a class allows, and all ends, of all that was admitted.
    for attempt in 0..6 {
        for id in &ids {
            journal
                .append(
                    START,
                    &[
                        attempt_finished(id, attempt),
                        attempt_started(id, attempt + 1),
                    ],
                )
                .expect("room is kept");
            journal.compact(START);
        }
    }
    for id in &ids {
        let final_report = Record::FinalReportDue {
            id: id.clone(),
            final_report: FinalReport::Failed,
            ordering_key: None,
        };
        journal
            .append(START, &[final_report])
            .expect("room is kept");
        journal.compact(START);
    }
    assert!(journal.admit(500).is_err() || journal.stats().room > 20_000);
    journal
        .append(
            START,
            &ids.iter().map(|id| completed(id)).collect::<Vec<_>>(),
        )
        .expect("room is kept");
    compact(&mut journal, 200, START + DURATION);
    assert!(journal.admit(500).is_ok(), "{:?}", journal.stats());
    let stats = journal.stats();
    assert_eq!((stats.open, stats.final_report, stats.completed), (0, 0, 0));
}

#[test]
fn a_batch_without_room_persists_its_end_records_only() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START);
    journal
        .append(
            START,
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
    let refused = journal
        .append(
            START,
            &[completed("a"), accepted("c", 10), attempt_started("c", 0)],
        )
        .expect_err("no room");
    assert_eq!(refused.persisted, Persisted::EndsOnly);
    journal.storage_mut().no_appends = true;
    let refused = journal
        .append(START, &[completed("b"), accepted("d", 10)])
        .expect_err("no file takes anything");
    assert_eq!(refused.persisted, Persisted::Nothing);
    let (_, found) = open(journal.storage().without_faults(), START);
    assert_eq!(open_ids(&found.records), ["b"]);
}

#[test]
fn a_disk_that_fills_during_compaction_or_rotation_only_delays_it() {
    for step in 0..12 {
        let (mut journal, _) = open(Memory::new(64 * 1024), START);
        let mut live = Vec::new();
        for i in 0..200 {
            let id = format!("m{i:03}");
            let mut records = vec![accepted(&id, 60)];
            if i % 3 == 0 {
                live.push(id);
            } else {
                records.push(completed(&id));
            }
            journal.append(START, &records).expect("room");
        }
        compact(&mut journal, step, START);
        let storage = journal.storage_mut();
        let used: u64 = storage
            .files
            .values()
            .map(|f| disk_usage(f.len() as u64))
            .sum();
        for disk in [used, used + 512, used + 1024] {
            journal.storage_mut().disk = disk;
            compact(&mut journal, 20, START + DURATION);
            let (_, found) = open(journal.storage().without_faults(), START);
            assert_eq!(
                open_ids(&found.records).len(),
                live.len(),
                "after {step} steps"
            );
        }
        journal.storage_mut().disk = 64 * 1024;
        compact(&mut journal, 400, START + DURATION);
        let (_, found) = open(journal.storage().without_faults(), START);
        assert_eq!(
            open_ids(&found.records),
            live.iter().map(String::as_str).collect::<Vec<_>>()
        );
        let stats = journal.stats();
        assert!(
            stats.bytes < 24_000,
            "it went on once there was room: {stats:?}"
        );
    }
}
