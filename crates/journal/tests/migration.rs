//! Migration of the ledger of releases before 0.2.

mod common;

use common::{LIFETIME_MS, NANOS_PER_MS, START_MS, SharedStorage, open, open_ids, options};
use cranehill_core::{FinalReport, Record};
use cranehill_journal::{Crash, Journal, Memory};

/// A ledger frame as release 0.1 wrote it.
fn old_frame(json: &str, body: &[u8]) -> Vec<u8> {
    let payload = [json.as_bytes(), b"\n", body].concat();
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

fn old_ledger() -> Vec<Vec<u8>> {
    let deadline = (START_MS + LIFETIME_MS) * NANOS_PER_MS;
    let accepted = |id: &str| {
        format!(
            r#"{{"taken":{{"id":"{id}","class":0,"station":1,"partner":7,"key":"k","deadline":{deadline}}}}}"#
        )
    };
    vec![
        old_frame(&accepted("a"), b"any \n bytes \0\xff"),
        old_frame(
            r#"{"sent":{"id":"a","attempt":0,"endpoint":"e","at":1764590000000000000}}"#,
            b"",
        ),
        old_frame(r#"{"back":{"id":"a","attempt":0,"never_ran":true}}"#, b""),
        old_frame(&accepted("b"), b"2"),
        old_frame(
            r#"{"closing":{"id":"b","closing":{"returned":{"after_ms":500}}}}"#,
            b"",
        ),
        old_frame(&accepted("c"), b"3"),
        old_frame(r#"{"over":{"id":"c"}}"#, b""),
        old_frame(&accepted("d"), b"4"),
    ]
}

#[test]
fn the_old_ledger_is_migrated_at_the_first_start_and_removed() {
    let mut files = Memory::new(64 * 1024);
    files.files.insert("ledger".into(), old_ledger().concat());
    files.files.insert("ledger.new".into(), b"half".to_vec());
    let (journal, found) = open(files, START_MS + 10);
    assert_eq!(
        (found.migrated_records, open_ids(&found.records)),
        (8, vec!["a", "d"])
    );
    assert!(found.records.contains(&Record::FinalReportDue {
        id: "b".into(),
        final_report: FinalReport::Returned { after_ms: 500 },
        ordering_key: None
    }));
    assert!(
        found
            .records
            .iter()
            .any(|r| matches!(r, Record::Completed { id, .. } if id == "c"))
    );
    let remaining = journal.storage().without_faults();
    assert!(!remaining.files.contains_key("ledger") && !remaining.files.contains_key("ledger.new"));
    let (_, again) = open(remaining, START_MS + 20);
    assert_eq!((again.migrated_records, again.records), (0, found.records));
}

#[test]
fn a_killed_migration_is_repeated_and_damage_in_the_ledger_is_skipped() {
    let whole = old_ledger();
    for operation in 0..9 {
        for bytes in [0, 1, 50, 150] {
            let mut files = Memory::new(64 * 1024);
            files.files.insert("ledger".into(), whole.concat());
            files.crash = Some(Crash { operation, bytes });
            let shared = SharedStorage::new(files);
            let _ = Journal::open(shared.clone(), &options(64 * 1024), START_MS + 10);
            let remaining = shared.0.borrow().without_faults();
            let (_, found) = open(remaining, START_MS + 20);
            assert_eq!(
                open_ids(&found.records),
                ["a", "d"],
                "operation {operation}, byte {bytes}"
            );
        }
    }
    // The frame of `a`'s attempt is damaged: `a` counts as possibly executed, but not `d`, which was accepted later.
    let mut damaged = whole.concat();
    let at = whole[0].len() + 30;
    damaged[at] ^= 1;
    let mut files = Memory::new(64 * 1024);
    files.files.insert("ledger".into(), damaged);
    let (_, found) = open(files, START_MS + 10);
    assert_eq!(
        (found.damage.len(), open_ids(&found.records)),
        (1, vec!["a", "d"])
    );
    let executed = |id: &str| {
        found
            .records
            .iter()
            .any(|r| matches!(r, Record::AttemptStarted { id: i, .. } if i == id))
    };
    assert!(executed("a") && !executed("d"));
}
