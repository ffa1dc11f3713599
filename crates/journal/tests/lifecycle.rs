//! A journal over several starts: retained ids, the recovered time, new folders, and folders on disk.

mod common;

use std::sync::Arc;

use common::{
    LIFETIME_MS, Model, NANOS_PER_MS, START_MS, Scenario, accepted, attempt_started, compact,
    completed, filled, open, open_ids, options, segments,
};
use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Memory, Options, Storage};

#[test]
fn completed_ids_are_retained_for_the_lifetime_of_a_message() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START_MS);
    journal
        .append(START_MS, &[accepted("a", 10), attempt_started("a", 0)])
        .expect("room");
    journal.append(START_MS, &[completed("a")]).expect("room");
    compact(&mut journal, 50, START_MS + LIFETIME_MS - 1);
    let (mut journal, found) = open(
        journal.storage().without_faults(),
        START_MS + LIFETIME_MS - 1,
    );
    assert_eq!(found.records, [completed("a")]);
    compact(&mut journal, 50, START_MS + LIFETIME_MS);
    let (_, found) = open(journal.storage().without_faults(), START_MS + LIFETIME_MS);
    assert!(found.records.is_empty(), "{:?}", found.records);
    // If the id is submitted again after that, it is a new message.
    journal
        .append(START_MS + 5000, &[accepted("a", 20)])
        .expect("room");
    let (_, found) = open(journal.storage().without_faults(), START_MS + 5000);
    assert_eq!(open_ids(&found.records), ["a"]);
}

#[test]
fn the_latest_time_is_recovered_so_that_a_clock_set_back_extends_no_deadline() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START_MS);
    journal
        .append(START_MS, &[accepted("a", 10)])
        .expect("room");
    let late = Record::AttemptStarted {
        id: "a".into(),
        attempt: 0,
        endpoint: "e".into(),
        started_at: (START_MS + 900) * NANOS_PER_MS,
    };
    journal.append(START_MS + 900, &[late]).expect("room");
    let (_, found) = open(journal.storage().without_faults(), START_MS - 3_600_000);
    assert_eq!(found.latest_ms, START_MS + 900);
}

#[test]
fn an_empty_folder_opens_as_a_new_journal_and_frames_inside_a_body_are_ignored() {
    let key = Options {
        fresh_key: [3; 32],
        ..options(64 * 1024)
    };
    let (mut journal, found) =
        Journal::open(Memory::new(64 * 1024), &key, START_MS).expect("opens");
    assert!(
        found.records.is_empty() && found.damage.is_empty() && !journal.wants_compaction(START_MS)
    );
    // A body may contain any bytes, also those of a segment.
    let other_journal = filled(3).storage().without_faults();
    let name = segments(&other_journal).pop().expect("a segment");
    let body: Arc<[u8]> = Arc::from(other_journal.files[&name].clone());
    let mut record = accepted("outer", 0);
    if let Record::Accepted { body: b, .. } = &mut record {
        *b = body.clone();
    }
    journal
        .append(START_MS, &[record, accepted("next", 5)])
        .expect("room");
    let mut files = journal.storage().without_faults();
    let head = segments(&files).pop().expect("a head");
    // With the frame's header damaged, the reader searches for the next frame inside the body.
    let bytes = files.files.get_mut(&head).expect("a head");
    bytes[72] ^= 0xff;
    let (_, found) = open(files, START_MS);
    assert_eq!(open_ids(&found.records), ["next"]);
}

#[test]
fn a_folder_on_disk_behaves_like_one_in_memory() {
    let dir = tempfile::tempdir().expect("a folder");
    let disk = 64 * 1024;
    let at = |now| {
        let folder = Folder::new(dir.path(), disk).expect("a folder");
        Journal::open(folder, &options(disk), now).expect("opens")
    };
    let (mut real, _) = at(START_MS);
    let (mut memory, _) = open(Memory::new(disk), START_MS);
    let (mut scenario, mut model) = (Scenario::new(5), Model::default());
    for tick in 0..300 {
        let records = scenario.tick();
        assert!(
            real.append(scenario.now, &records).is_ok()
                && memory.append(scenario.now, &records).is_ok()
        );
        model.append(&records);
        assert_eq!(real.compact(scenario.now), memory.compact(scenario.now));
        if tick % 60 == 59 {
            let (again, found) = at(scenario.now);
            model
                .check(&found, scenario.now)
                .expect("agrees with the model");
            assert_eq!(
                found.records,
                open(memory.storage().without_faults(), scenario.now)
                    .1
                    .records
            );
            (real, memory) = (
                again,
                open(memory.storage().without_faults(), scenario.now).0,
            );
        }
    }
    let files: u64 = Folder::existing(dir.path(), disk)
        .and_then(|mut f| f.list())
        .expect("a list")
        .values()
        .sum();
    assert!(files < disk);
}
