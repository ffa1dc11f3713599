//! The hard cases one by one.

mod common;

use std::sync::Arc;

use common::*;
use cranehill_core::{FinalReport, Persisted, Record};
use cranehill_journal::{DamageCause, Folder, Journal, Memory, OpenError, Options, Storage};

fn taken(id: &str, size: usize) -> Record {
    Record::Accepted {
        id: id.into(),
        class: 0,
        tenant: 1,
        destination: 7,
        key: Some("k".into()),
        ordering_key: None,
        deadline: (START + DURATION) * MS,
        at: START * MS,
        body: Arc::from(vec![7; size]),
    }
}

fn sent(id: &str, attempt: u32) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt,
        endpoint: "e".into(),
        at: (START + 5) * MS,
    }
}

fn back(id: &str, attempt: u32) -> Record {
    Record::AttemptFinished {
        id: id.into(),
        attempt,
        not_executed: true,
    }
}

fn over(id: &str) -> Record {
    Record::Completed {
        id: id.into(),
        until: (START + DURATION) * MS,
    }
}

fn open_ids(records: &[Record]) -> Vec<&str> {
    records
        .iter()
        .filter(|r| matches!(r, Record::Accepted { .. }))
        .map(Record::id)
        .collect()
}

fn segments(files: &Memory) -> Vec<String> {
    files
        .files
        .keys()
        .filter(|n| n.ends_with(".seg"))
        .cloned()
        .collect()
}

/// Bytes that do not compress.
fn noise(n: usize, size: usize) -> Arc<[u8]> {
    let mut state = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (0..size)
        .map(|_| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) as u8
        })
        .collect()
}

/// A journal with `n` open messages in many segments, one turn each.
fn filled(n: usize) -> Journal<Memory> {
    let (mut journal, _) = open(Memory::new(256 * 1024), START);
    for i in 0..n {
        let id = format!("m{i:03}");
        let mut records = vec![taken(&id, 0), sent(&id, 0)];
        if let Record::Accepted { body, .. } = &mut records[0] {
            *body = noise(i, 100);
        }
        journal.append(START + i as u64, &records).expect("room");
    }
    journal
}

#[test]
fn a_flipped_byte_in_the_middle_loses_only_what_it_hit_and_puts_the_rest_in_doubt() {
    let files = filled(60).storage().after_death();
    let all = segments(&files);
    let middle = &all[all.len() / 2];
    for at in (80..files.files[middle].len()).step_by(13) {
        let mut files = files.clone();
        files.files.get_mut(middle).expect("a segment")[at] ^= 0x20;
        let (_, found) = open(files, START + 100);
        assert_eq!(found.damage.len(), 1);
        assert_eq!(
            (found.damage[0].file.as_str(), found.damage[0].why),
            (middle.as_str(), DamageCause::Damaged)
        );
        let known = open_ids(&found.records).len() + found.lost.len();
        assert!(known >= 59, "byte {at}: {known} of 60");
        // What was accepted later can't be concerned.
        assert!(
            found.doubted >= 20 && found.doubted < 60,
            "byte {at}: {} in doubt",
            found.doubted
        );
        for lost in &found.lost {
            let end = Record::FinalReportDue {
                id: lost.id.clone(),
                final_report: FinalReport::Failed,
                ordering_key: None,
            };
            assert!(
                found.records.contains(&end),
                "a notice without its record is concluded"
            );
        }
    }
}

/// The sender must not run an `unsafe` message again whose attempt stood in the damaged stretch.
#[test]
fn an_attempt_whose_record_was_hit_still_counts() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START);
    journal.append(START, &[taken("a", 30)]).expect("room");
    journal.append(START, &[sent("a", 0)]).expect("room");
    journal.append(START, &[taken("b", 30)]).expect("room");
    let files = journal.storage().after_death();
    let name = segments(&files).pop().expect("a segment");
    let whole = &files.files[&name];
    // The attempt's record is the one that ends before the second message's.
    let at = whole
        .windows(2)
        .rposition(|w| w == [1, b'b'])
        .expect("the second notice")
        - 14;
    let mut hit = files.clone();
    hit.files.get_mut(&name).expect("a segment")[at] ^= 1;
    let (journal, found) = open(hit, START + 10);
    let first: Vec<&Record> = found.records.iter().filter(|r| r.id() == "a").collect();
    assert!(
        matches!(first[..], [Record::Accepted { .. }, Record::AttemptStarted { attempt: 0, at, .. }] if *at == START * MS),
        "{first:?}"
    );
    assert_eq!(
        found.records.iter().filter(|r| r.id() == "b").count(),
        1,
        "taken on after the stretch"
    );
    // Found again it counts once, and also when the damaged segment has gone.
    let (mut journal, again) = open(journal.storage().after_death(), START + 20);
    assert_eq!(again.records, found.records);
    compact(&mut journal, 50, START + 20);
    assert!(
        !journal.storage().files.contains_key(&name),
        "the damaged segment goes first"
    );
    let (_, last) = open(journal.storage().after_death(), START + 30);
    assert_eq!((last.damage.len(), &last.records), (0, &found.records));
}

/// A sender that was down for long finds messages whose time is out, concludes them, and may be killed before it has: the
/// doubt must last that long, or one that may have been executed is told as never run.
#[test]
fn possible_executions_outlast_messages_that_expired_before_the_start() {
    let mut files = filled(30).storage().after_death();
    let name = segments(&files)[1].clone();
    files.files.get_mut(&name).expect("a segment")[200] ^= 1;
    let later = START + 3_600_000;
    // So small that what is live is more than a third of it, and segments with little live in them go.
    files.disk = 64 * 1024;
    let (mut journal, found) = open(files, later);
    assert!(found.doubted > 0);
    let first = journal.head().expect("a head").to_owned();
    // All but one end, and others come: the segment that the doubt is in is the emptiest then.
    let until = (later + 10) * MS;
    let ends: Vec<Record> = (1..30)
        .map(|i| Record::Completed {
            id: format!("m{i:03}"),
            until,
        })
        .collect();
    journal.append(later + 20, &ends).expect("room");
    for i in 0..80 {
        let mut record = taken(&format!("later{i}"), 0);
        if let Record::Accepted { body, .. } = &mut record {
            *body = noise(i, 300);
        }
        journal.append(later + 20, &[record]).expect("room");
        compact(&mut journal, 3, later + 50);
    }
    let files = &journal.storage().files;
    assert!(
        !files.contains_key(&name) && !files.contains_key(&first),
        "{name} {first} {:?}",
        files.keys()
    );
    let (_, again) = open(journal.storage().after_death(), later + 60);
    assert_eq!((open_ids(&again.records)[0], again.doubted), ("m000", 1));
}

#[test]
fn damage_in_header_and_manifest_is_got_over() {
    let files = filled(60).storage().after_death();
    let all = segments(&files);
    for name in [&all[0], &all[2], all.last().expect("a head")] {
        for at in [0, 9, 13, 20, 45, 60] {
            let mut files = files.clone();
            files.files.get_mut(name).expect("a segment")[at] ^= 0x02;
            let (_, found) = open(files, START + 100);
            assert_eq!(open_ids(&found.records).len(), 60, "{name}, byte {at}");
            assert_eq!(found.doubted, 0, "the manifest has what the header says");
        }
    }
    for at in [0, 8, 9, 12, 30, 100] {
        let mut files = files.clone();
        files.files.get_mut("manifest").expect("a manifest")[at] ^= 0x02;
        let (journal, found) = open(files, START + 100);
        assert_eq!(open_ids(&found.records).len(), 60);
        // A version that is put right is no damage; else nobody knows what is missing.
        let unlisted = found.damage.iter().any(|d| d.why == DamageCause::Unlisted);
        assert_eq!(
            (unlisted, found.doubted),
            (at != 8 && at != 9, if unlisted { 60 } else { 0 }),
            "byte {at}"
        );
        let (_, again) = open(journal.storage().after_death(), START + 110);
        assert_eq!(
            (again.damage.len(), again.doubted),
            (0, found.doubted),
            "the doubt is written down"
        );
    }
}

#[test]
fn a_missing_segment_is_noticed_with_what_it_may_have_held() {
    let files = filled(60).storage().after_death();
    let all = segments(&files);
    let mut without = files.clone();
    without.files.remove(&all[3]);
    let (journal, found) = open(without, START + 100);
    assert_eq!(
        (found.damage.len(), found.damage[0].why),
        (1, DamageCause::Missing)
    );
    let known = open_ids(&found.records).len();
    assert!(known < 60 && known + found.damage[0].taken as usize >= 60);
    assert!(
        found.doubted > 0 && found.doubted < known,
        "only what was taken on before its end"
    );
    let (_, again) = open(journal.storage().after_death(), START + 110);
    assert_eq!((again.damage.len(), again.doubted), (0, found.doubted));
}

#[test]
fn swapped_and_duplicated_segments_mean_what_they_meant() {
    let files = filled(60).storage().after_death();
    let all = segments(&files);
    let expected = open(files.clone(), START + 100).1.records;
    let mut swapped = files.clone();
    let (a, b) = (files.files[&all[1]].clone(), files.files[&all[4]].clone());
    swapped.files.insert(all[1].clone(), b);
    swapped.files.insert(all[4].clone(), a);
    let (mut journal, found) = open(swapped, START + 100);
    assert_eq!((found.damage.len(), &found.records), (0, &expected));
    // They go by their names on disk when they are compacted.
    let ends: Vec<Record> = (0..60).map(|i| over(&format!("m{i:03}"))).collect();
    journal.append(START + 200, &ends).expect("room");
    compact(&mut journal, 500, START + 100 + DURATION);
    assert!(
        !journal.storage().files.contains_key(&all[1])
            && !journal.storage().files.contains_key(&all[4])
    );
    assert!(
        open(journal.storage().after_death(), START + 3000)
            .1
            .records
            .is_empty()
    );

    let mut copied = files.clone();
    copied
        .files
        .insert("0000ffff.seg".into(), files.files[&all[1]].clone());
    let (_, found) = open(copied, START + 100);
    assert_eq!(
        (found.records, found.foreign),
        (expected, vec!["0000ffff.seg".to_owned()])
    );
}

/// An operator puts a backup's file in place: it must not bring back what has ended since.
#[test]
fn stale_and_foreign_segments_are_known_as_such() {
    let mut journal = filled(30);
    let old = journal.storage().after_death();
    let ends: Vec<Record> = (0..30).map(|i| over(&format!("m{i:03}"))).collect();
    journal.append(START + 50, &ends).expect("room");
    compact(&mut journal, 500, START + 50);
    let files = journal.storage().after_death();
    let removed: Vec<String> = segments(&old)
        .into_iter()
        .filter(|n| !files.files.contains_key(n))
        .collect();
    assert!(
        removed.len() > 3,
        "compaction has removed most: {removed:?}"
    );
    let mut stale = files.clone();
    for name in &removed {
        stale.files.insert(name.clone(), old.files[name].clone());
    }
    let (_, found) = open(stale, START + 100);
    assert!(open_ids(&found.records).is_empty() && found.damage.is_empty());
    // The whole older manifest as well: then it is not believed.
    let mut stale = files.clone();
    stale
        .files
        .insert("manifest".into(), old.files["manifest"].clone());
    let (_, found) = open(stale, START + 100);
    assert!(
        found.damage.iter().any(|d| d.why == DamageCause::Unlisted),
        "{:?}",
        found.damage
    );
    assert!(open_ids(&found.records).is_empty());
    // Somebody else's.
    let mut other = Memory::new(64 * 1024);
    other.append("0000fffe.seg", &[1; 500]).expect("room");
    let (mut foreign, _) = Journal::open(
        Memory::new(64 * 1024),
        &Options {
            fresh_key: [9; 32],
            ..options(64 * 1024)
        },
        START,
    )
    .expect("opens");
    foreign.append(START, &[taken("x", 10)]).expect("room");
    let theirs = foreign.storage().after_death();
    let mut mixed = files.clone();
    mixed.files.insert(
        "0000fffe.seg".into(),
        theirs.files[&segments(&theirs)[0]].clone(),
    );
    let (_, found) = open(mixed, START + 100);
    assert_eq!(found.foreign, ["0000fffe.seg"]);
    assert!(open_ids(&found.records).is_empty());
}

#[test]
fn an_older_copy_of_a_finished_segment_is_noticed() {
    let mut journal = filled(4);
    let early = journal.storage().after_death();
    let head = segments(&early).pop().expect("a head");
    for i in 4..40 {
        journal
            .append(START, &[taken(&format!("m{i:03}"), 100)])
            .expect("room");
    }
    let mut files = journal.storage().after_death();
    assert!(segments(&files).last() != Some(&head));
    files.files.insert(head.clone(), early.files[&head].clone());
    let (_, found) = open(files, START + 100);
    assert_eq!(
        (found.damage.len(), found.damage[0].why),
        (1, DamageCause::Short)
    );
    assert!(found.doubted > 0);
}

#[test]
fn a_newer_format_is_refused_and_nothing_touched() {
    let files = filled(10).storage().after_death();
    for (name, bytes) in [("manifest", [8, 20]), ("00000001.seg", [8, 60])] {
        let mut newer = files.clone();
        let file = newer.files.get_mut(name).expect("a file");
        // A later version, and a signature that this one can't check.
        file[bytes[0]] = 2;
        file[bytes[1]] ^= 1;
        let before = newer.files.clone();
        let shared = Shared::new(newer);
        let error = Journal::open(shared.clone(), &options(64 * 1024), START)
            .map(|_| ())
            .expect_err("refused");
        assert!(
            matches!(&error, OpenError::Newer { file, version: 2, .. } if file == name),
            "{error}"
        );
        assert_eq!(error.to_string().lines().count(), 1);
        assert_eq!(shared.0.borrow().files, before);
    }
}

#[test]
fn a_wrong_or_lost_key_is_refused_and_an_operators_key_takes_over_from_the_folders() {
    let files = filled(10).storage().after_death();
    let own = Options {
        key: Some([8; 32]),
        ..options(files.disk)
    };
    // The folder's own key is still there: both are tried, and from now on the operator's signs.
    let (journal, found) = Journal::open(files.clone(), &own, START + 50).expect("opens");
    assert_eq!(open_ids(&found.records).len(), 10);
    let (_, found) =
        Journal::open(journal.storage().after_death(), &own, START + 60).expect("opens");
    assert_eq!(
        (open_ids(&found.records).len(), found.damage.len()),
        (10, 0)
    );
    let mut keyless = files.clone();
    keyless.files.remove("key");
    let refused = Journal::open(keyless, &own, START)
        .map(|_| ())
        .expect_err("refused");
    assert!(matches!(refused, OpenError::WrongKey), "{refused}");
    let mut lost = files;
    lost.files.insert("key".into(), vec![0; 108]);
    let refused = Journal::open(lost, &options(64 * 1024), START)
        .map(|_| ())
        .expect_err("refused");
    assert!(matches!(refused, OpenError::KeyLost), "{refused}");
}

#[test]
fn a_full_disk_refuses_what_is_new_and_still_writes_attempts_and_ends() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START);
    let mut ids = Vec::new();
    while journal.admit(500).is_ok() {
        let id = format!("m{:03}", ids.len());
        journal
            .append(START, &[taken(&id, 0), sent(&id, 0)])
            .expect("what is admitted has room");
        ids.push(id);
        journal.compact(START);
    }
    assert!(ids.len() > 10);
    // All attempts that a class allows, and all ends, of all that was admitted.
    for attempt in 0..6 {
        for id in &ids {
            journal
                .append(START, &[back(id, attempt), sent(id, attempt + 1)])
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
        .append(START, &ids.iter().map(|id| over(id)).collect::<Vec<_>>())
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
        .append(START, &[taken("a", 10), taken("b", 10), sent("a", 0)])
        .expect("room");
    let storage = journal.storage_mut();
    let used: u64 = storage
        .files
        .values()
        .map(|f| cranehill_journal::disk_usage(f.len() as u64))
        .sum();
    storage.disk = used + 2048;
    let refused = journal
        .append(START, &[over("a"), taken("c", 10), sent("c", 0)])
        .expect_err("no room");
    assert_eq!(refused.kept, Persisted::EndsOnly);
    journal.storage_mut().no_appends = true;
    let refused = journal
        .append(START, &[over("b"), taken("d", 10)])
        .expect_err("no file takes anything");
    assert_eq!(refused.kept, Persisted::Nothing);
    let (_, found) = open(journal.storage().after_death(), START);
    assert_eq!(open_ids(&found.records), ["b"]);
}

#[test]
fn a_disk_that_fills_halfway_through_compaction_or_at_the_switch_holds_it_up_and_no_more() {
    for step in 0..12 {
        let (mut journal, _) = open(Memory::new(64 * 1024), START);
        let mut live = Vec::new();
        for i in 0..200 {
            let id = format!("m{i:03}");
            let mut records = vec![taken(&id, 60)];
            if i % 3 == 0 {
                live.push(id)
            } else {
                records.push(over(&id))
            }
            journal.append(START, &records).expect("room");
        }
        compact(&mut journal, step, START);
        let storage = journal.storage_mut();
        let used: u64 = storage
            .files
            .values()
            .map(|f| cranehill_journal::disk_usage(f.len() as u64))
            .sum();
        for disk in [used, used + 512, used + 1024] {
            journal.storage_mut().disk = disk;
            compact(&mut journal, 20, START + DURATION);
            let (_, found) = open(journal.storage().after_death(), START);
            assert_eq!(
                open_ids(&found.records).len(),
                live.len(),
                "after {step} steps"
            );
        }
        journal.storage_mut().disk = 64 * 1024;
        compact(&mut journal, 400, START + DURATION);
        let (_, found) = open(journal.storage().after_death(), START);
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

#[test]
fn completed_ids_are_kept_for_the_lifetime_of_a_message() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START);
    journal
        .append(START, &[taken("a", 10), sent("a", 0)])
        .expect("room");
    journal.append(START, &[over("a")]).expect("room");
    compact(&mut journal, 50, START + DURATION - 1);
    let (mut journal, found) = open(journal.storage().after_death(), START + DURATION - 1);
    assert_eq!(found.records, [over("a")]);
    compact(&mut journal, 50, START + DURATION);
    let (_, found) = open(journal.storage().after_death(), START + DURATION);
    assert!(found.records.is_empty(), "{:?}", found.records);
    // And if the id comes again then, it is another message.
    journal
        .append(START + 5000, &[taken("a", 20)])
        .expect("room");
    let (_, found) = open(journal.storage().after_death(), START + 5000);
    assert_eq!(open_ids(&found.records), ["a"]);
}

#[test]
fn the_latest_time_is_known_so_that_a_clock_set_back_gains_nobody_anything() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START);
    journal.append(START, &[taken("a", 10)]).expect("room");
    let late = Record::AttemptStarted {
        id: "a".into(),
        attempt: 0,
        endpoint: "e".into(),
        at: (START + 900) * MS,
    };
    journal.append(START + 900, &[late]).expect("room");
    let (_, found) = open(journal.storage().after_death(), START - 3_600_000);
    assert_eq!(found.latest, START + 900);
}

#[test]
fn an_empty_folder_is_a_new_journal_and_a_body_that_holds_a_frame_is_a_body() {
    let key = Options {
        fresh_key: [3; 32],
        ..options(64 * 1024)
    };
    let (mut journal, found) = Journal::open(Memory::new(64 * 1024), &key, START).expect("opens");
    assert!(
        found.records.is_empty() && found.damage.is_empty() && !journal.wants_compaction(START)
    );
    // Any bytes, also what looks like our own segment.
    let ours = filled(3).storage().after_death();
    let name = segments(&ours).pop().expect("a segment");
    let body: Arc<[u8]> = Arc::from(ours.files[&name].clone());
    let mut record = taken("outer", 0);
    if let Record::Accepted { body: b, .. } = &mut record {
        *b = body.clone();
    }
    journal
        .append(START, &[record, taken("next", 5)])
        .expect("room");
    let mut files = journal.storage().after_death();
    let head = segments(&files).pop().expect("a head");
    // Its frame's head is hit: reading goes on inside the body.
    let bytes = files.files.get_mut(&head).expect("a head");
    bytes[72] ^= 0xff;
    let (_, found) = open(files, START);
    assert_eq!(open_ids(&found.records), ["next"]);
}

#[test]
fn a_real_folder_does_what_the_one_in_memory_does() {
    let dir = tempfile::tempdir().expect("a folder");
    let disk = 64 * 1024;
    let at = |now| {
        let folder = Folder::new(dir.path(), disk).expect("a folder");
        Journal::open(folder, &options(disk), now).expect("opens")
    };
    let (mut real, _) = at(START);
    let (mut memory, _) = open(Memory::new(disk), START);
    let (mut day, mut model) = (Scenario::new(5), Model::default());
    for turn in 0..300 {
        let records = day.turn();
        assert!(real.append(day.now, &records).is_ok() && memory.append(day.now, &records).is_ok());
        model.take(&records);
        assert_eq!(real.compact(day.now), memory.compact(day.now));
        if turn % 60 == 59 {
            let (again, found) = at(day.now);
            model.agrees(&found, day.now).expect("the model's");
            assert_eq!(
                found.records,
                open(memory.storage().after_death(), day.now).1.records
            );
            (real, memory) = (again, open(memory.storage().after_death(), day.now).0);
        }
    }
    let files: u64 = Folder::existing(dir.path(), disk)
        .and_then(|mut f| f.list())
        .expect("a list")
        .values()
        .sum();
    assert!(files < disk);
}

/// As release 0.1 wrote it.
fn old_frame(json: &str, body: &[u8]) -> Vec<u8> {
    let payload = [json.as_bytes(), b"\n", body].concat();
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

fn old_ledger() -> Vec<Vec<u8>> {
    let deadline = (START + DURATION) * MS;
    let taken = |id: &str| {
        format!(
            r#"{{"taken":{{"id":"{id}","class":0,"station":1,"partner":7,"key":"k","deadline":{deadline}}}}}"#
        )
    };
    vec![
        old_frame(&taken("a"), b"any \n bytes \0\xff"),
        old_frame(
            r#"{"sent":{"id":"a","attempt":0,"endpoint":"e","at":1764590000000000000}}"#,
            b"",
        ),
        old_frame(r#"{"back":{"id":"a","attempt":0,"never_ran":true}}"#, b""),
        old_frame(&taken("b"), b"2"),
        old_frame(
            r#"{"closing":{"id":"b","closing":{"returned":{"after_ms":500}}}}"#,
            b"",
        ),
        old_frame(&taken("c"), b"3"),
        old_frame(r#"{"over":{"id":"c"}}"#, b""),
        old_frame(&taken("d"), b"4"),
    ]
}

#[test]
fn the_old_ledger_is_migrated_at_the_first_start_and_removed() {
    let mut files = Memory::new(64 * 1024);
    files.files.insert("ledger".into(), old_ledger().concat());
    files.files.insert("ledger.new".into(), b"half".to_vec());
    let (journal, found) = open(files, START + 10);
    assert_eq!(
        (found.carried_over, open_ids(&found.records)),
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
    let left = journal.storage().after_death();
    assert!(!left.files.contains_key("ledger") && !left.files.contains_key("ledger.new"));
    let (_, again) = open(left, START + 20);
    assert_eq!((again.carried_over, again.records), (0, found.records));
}

#[test]
fn a_carry_over_that_is_killed_is_done_again_and_damage_in_the_old_file_is_no_end_of_it() {
    let whole = old_ledger();
    for operation in 0..9 {
        for bytes in [0, 1, 50, 150] {
            let mut files = Memory::new(64 * 1024);
            files.files.insert("ledger".into(), whole.concat());
            files.crash = Some(cranehill_journal::Crash { operation, bytes });
            let shared = Shared::new(files);
            let _ = Journal::open(shared.clone(), &options(64 * 1024), START + 10);
            let left = shared.0.borrow().after_death();
            let (_, found) = open(left, START + 20);
            assert_eq!(
                open_ids(&found.records),
                ["a", "d"],
                "operation {operation}, byte {bytes}"
            );
        }
    }
    // The frame of `a`'s attempt is hit: `a` counts as possibly run, `d` was accepted later.
    let mut hit = whole.concat();
    let at = whole[0].len() + 30;
    hit[at] ^= 1;
    let mut files = Memory::new(64 * 1024);
    files.files.insert("ledger".into(), hit);
    let (_, found) = open(files, START + 10);
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
