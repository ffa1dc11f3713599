//! Damage to files at rest: which records are lost, which messages count as possibly executed, and which folders are
//! rejected.

mod common;

use common::{
    LIFETIME_MS, NANOS_PER_MS, START_MS, SharedStorage, accepted, attempt_started, compact,
    completed, filled, noise, open, open_ids, options, segments,
};
use cranehill_core::{FinalReport, Record};
use cranehill_journal::{DamageCause, Journal, Memory, OpenError, Options, Storage};

#[test]
fn a_flipped_byte_loses_one_record_and_makes_earlier_messages_possibly_executed() {
    let files = filled(60).storage().without_faults();
    let all = segments(&files);
    let middle = &all[all.len() / 2];
    for at in (80..files.files[middle].len()).step_by(13) {
        let mut files = files.clone();
        files.files.get_mut(middle).expect("a segment")[at] ^= 0x20;
        let (_, found) = open(files, START_MS + 100);
        assert_eq!(found.damage.len(), 1);
        assert_eq!(
            (found.damage[0].file.as_str(), found.damage[0].cause),
            (middle.as_str(), DamageCause::Damaged)
        );
        let known = open_ids(&found.records).len() + found.lost_messages.len();
        assert!(known >= 59, "byte {at}: {known} of 60");
        // Messages accepted after the damaged record are not affected.
        assert!(
            found.possibly_executed >= 20 && found.possibly_executed < 60,
            "byte {at}: {} possibly executed",
            found.possibly_executed
        );
        for lost in &found.lost_messages {
            let end = Record::FinalReportDue {
                id: lost.id.clone(),
                final_report: FinalReport::Failed,
                ordering_key: None,
            };
            assert!(
                found.records.contains(&end),
                "a message whose record of acceptance is lost gets a final report"
            );
        }
    }
}

/// If the record of an attempt is damaged, the message must count as possibly executed, or it may be executed twice.
#[test]
fn an_attempt_with_a_damaged_record_counts_as_possibly_executed() {
    let (mut journal, _) = open(Memory::new(64 * 1024), START_MS);
    journal
        .append(START_MS, &[accepted("a", 30)])
        .expect("room");
    journal
        .append(START_MS, &[attempt_started("a", 0)])
        .expect("room");
    journal
        .append(START_MS, &[accepted("b", 30)])
        .expect("room");
    let files = journal.storage().without_faults();
    let name = segments(&files).pop().expect("a segment");
    let whole = &files.files[&name];
    // The attempt's record is the one that ends before the second message's.
    let at = whole
        .windows(2)
        .rposition(|w| w == [1, b'b'])
        .expect("the second message")
        - 14;
    let mut damaged = files.clone();
    damaged.files.get_mut(&name).expect("a segment")[at] ^= 1;
    let (journal, found) = open(damaged, START_MS + 10);
    let first: Vec<&Record> = found.records.iter().filter(|r| r.id() == "a").collect();
    assert!(
        matches!(first[..], [Record::Accepted { .. }, Record::AttemptStarted { attempt: 0, started_at: at, .. }] if *at == START_MS * NANOS_PER_MS),
        "{first:?}"
    );
    assert_eq!(
        found.records.iter().filter(|r| r.id() == "b").count(),
        1,
        "accepted after the damaged range"
    );
    // The same damage found again is not counted twice, and still counts after the damaged segment is removed.
    let (mut journal, again) = open(journal.storage().without_faults(), START_MS + 20);
    assert_eq!(again.records, found.records);
    compact(&mut journal, 50, START_MS + 20);
    assert!(
        !journal.storage().files.contains_key(&name),
        "the damaged segment is relocated first"
    );
    let (_, last) = open(journal.storage().without_faults(), START_MS + 30);
    assert_eq!((last.damage.len(), &last.records), (0, &found.records));
}

/// After a long downtime, a sender finds messages whose deadline has passed, and may be killed before it ends them. The
/// record of possible executions must be kept until then, or a possibly executed message is reported as not executed.
#[test]
fn possible_executions_outlast_messages_that_expired_before_the_start() {
    let mut files = filled(30).storage().without_faults();
    let name = segments(&files)[1].clone();
    files.files.get_mut(&name).expect("a segment")[200] ^= 1;
    let later = START_MS + 3_600_000;
    // So small that the segments use more than a third of it, and those with few live bytes are relocated.
    files.disk = 64 * 1024;
    let (mut journal, found) = open(files, later);
    assert!(found.possibly_executed > 0);
    let first = journal.head().expect("a head").to_owned();
    // All messages but one are completed and others accepted, so that the segment with the record of possible
    // executions has the fewest live bytes.
    let until = (later + 10) * NANOS_PER_MS;
    let ends: Vec<Record> = (1..30)
        .map(|i| Record::Completed {
            id: format!("m{i:03}"),
            remembered_until: until,
        })
        .collect();
    journal.append(later + 20, &ends).expect("room");
    for i in 0..80 {
        let mut record = accepted(&format!("later{i}"), 0);
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
    let (_, again) = open(journal.storage().without_faults(), later + 60);
    assert_eq!(
        (open_ids(&again.records)[0], again.possibly_executed),
        ("m000", 1)
    );
}

#[test]
fn damaged_headers_and_manifests_are_recovered() {
    let files = filled(60).storage().without_faults();
    let all = segments(&files);
    for name in [&all[0], &all[2], all.last().expect("a head")] {
        for at in [0, 9, 13, 20, 45, 60] {
            let mut files = files.clone();
            files.files.get_mut(name).expect("a segment")[at] ^= 0x02;
            let (_, found) = open(files, START_MS + 100);
            assert_eq!(open_ids(&found.records).len(), 60, "{name}, byte {at}");
            assert_eq!(
                found.possibly_executed, 0,
                "the manifest repeats the contents of the header"
            );
        }
    }
    for at in [0, 8, 9, 12, 30, 100] {
        let mut files = files.clone();
        files.files.get_mut("manifest").expect("a manifest")[at] ^= 0x02;
        let (journal, found) = open(files, START_MS + 100);
        assert_eq!(open_ids(&found.records).len(), 60);
        // A damaged version number is corrected; any other damage makes the manifest unusable.
        let unlisted = found
            .damage
            .iter()
            .any(|d| d.cause == DamageCause::Unlisted);
        assert_eq!(
            (unlisted, found.possibly_executed),
            (at != 8 && at != 9, if unlisted { 60 } else { 0 }),
            "byte {at}"
        );
        let (_, again) = open(journal.storage().without_faults(), START_MS + 110);
        assert_eq!(
            (again.damage.len(), again.possibly_executed),
            (0, found.possibly_executed),
            "possible executions are recorded"
        );
    }
}

#[test]
fn a_missing_segment_is_reported_with_bounds_on_its_records() {
    let files = filled(60).storage().without_faults();
    let all = segments(&files);
    let mut without = files.clone();
    without.files.remove(&all[3]);
    let (journal, found) = open(without, START_MS + 100);
    assert_eq!(
        (found.damage.len(), found.damage[0].cause),
        (1, DamageCause::Missing)
    );
    let known = open_ids(&found.records).len();
    assert!(known < 60 && known + found.damage[0].max_messages as usize >= 60);
    assert!(
        found.possibly_executed > 0 && found.possibly_executed < known,
        "only messages accepted before the segment was sealed"
    );
    let (_, again) = open(journal.storage().without_faults(), START_MS + 110);
    assert_eq!(
        (again.damage.len(), again.possibly_executed),
        (0, found.possibly_executed)
    );
}

#[test]
fn swapped_and_duplicated_segments_keep_their_records() {
    let files = filled(60).storage().without_faults();
    let all = segments(&files);
    let expected = open(files.clone(), START_MS + 100).1.records;
    let mut swapped = files.clone();
    let (a, b) = (files.files[&all[1]].clone(), files.files[&all[4]].clone());
    swapped.files.insert(all[1].clone(), b);
    swapped.files.insert(all[4].clone(), a);
    let (mut journal, found) = open(swapped, START_MS + 100);
    assert_eq!((found.damage.len(), &found.records), (0, &expected));
    // Compaction removes them by their names on disk.
    let ends: Vec<Record> = (0..60).map(|i| completed(&format!("m{i:03}"))).collect();
    journal.append(START_MS + 200, &ends).expect("room");
    compact(&mut journal, 500, START_MS + 100 + LIFETIME_MS);
    assert!(
        !journal.storage().files.contains_key(&all[1])
            && !journal.storage().files.contains_key(&all[4])
    );
    assert!(
        open(journal.storage().without_faults(), START_MS + 3000)
            .1
            .records
            .is_empty()
    );

    let mut copied = files.clone();
    copied
        .files
        .insert("0000ffff.seg".into(), files.files[&all[1]].clone());
    let (_, found) = open(copied, START_MS + 100);
    assert_eq!(
        (found.records, found.foreign_files),
        (expected, vec!["0000ffff.seg".to_owned()])
    );
}

/// A file restored from a backup must not make messages pending that have ended since.
#[test]
fn stale_and_foreign_segments_are_recognised() {
    let mut journal = filled(30);
    let old = journal.storage().without_faults();
    let ends: Vec<Record> = (0..30).map(|i| completed(&format!("m{i:03}"))).collect();
    journal.append(START_MS + 50, &ends).expect("room");
    compact(&mut journal, 500, START_MS + 50);
    let files = journal.storage().without_faults();
    let removed: Vec<String> = segments(&old)
        .into_iter()
        .filter(|n| !files.files.contains_key(n))
        .collect();
    assert!(
        removed.len() > 3,
        "compaction removed too few segments: {removed:?}"
    );
    let mut stale = files.clone();
    for name in &removed {
        stale.files.insert(name.clone(), old.files[name].clone());
    }
    let (_, found) = open(stale, START_MS + 100);
    assert!(open_ids(&found.records).is_empty() && found.damage.is_empty());
    // With the older manifest restored as well, the manifest is detected as stale.
    let mut stale = files.clone();
    stale
        .files
        .insert("manifest".into(), old.files["manifest"].clone());
    let (_, found) = open(stale, START_MS + 100);
    assert!(
        found
            .damage
            .iter()
            .any(|d| d.cause == DamageCause::Unlisted),
        "{:?}",
        found.damage
    );
    assert!(open_ids(&found.records).is_empty());
    // Segments of another folder are reported as foreign.
    let mut other = Memory::new(64 * 1024);
    other.append("0000fffe.seg", &[1; 500]).expect("room");
    let (mut foreign, _) = Journal::open(
        Memory::new(64 * 1024),
        &Options {
            fresh_key: [9; 32],
            ..options(64 * 1024)
        },
        START_MS,
    )
    .expect("opens");
    foreign
        .append(START_MS, &[accepted("x", 10)])
        .expect("room");
    let foreign_files = foreign.storage().without_faults();
    let mut mixed = files.clone();
    mixed.files.insert(
        "0000fffe.seg".into(),
        foreign_files.files[&segments(&foreign_files)[0]].clone(),
    );
    let (_, found) = open(mixed, START_MS + 100);
    assert_eq!(found.foreign_files, ["0000fffe.seg"]);
    assert!(open_ids(&found.records).is_empty());
}

#[test]
fn an_older_copy_of_a_sealed_segment_is_detected() {
    let mut journal = filled(4);
    let early = journal.storage().without_faults();
    let head = segments(&early).pop().expect("a head");
    for i in 4..40 {
        journal
            .append(START_MS, &[accepted(&format!("m{i:03}"), 100)])
            .expect("room");
    }
    let mut files = journal.storage().without_faults();
    assert!(segments(&files).last() != Some(&head));
    files.files.insert(head.clone(), early.files[&head].clone());
    let (_, found) = open(files, START_MS + 100);
    assert_eq!(
        (found.damage.len(), found.damage[0].cause),
        (1, DamageCause::Short)
    );
    assert!(found.possibly_executed > 0);
}

#[test]
fn a_newer_format_is_rejected_without_changing_files() {
    let files = filled(10).storage().without_faults();
    for (name, bytes) in [("manifest", [8, 20]), ("00000001.seg", [8, 60])] {
        let mut newer = files.clone();
        let file = newer.files.get_mut(name).expect("a file");
        // A later version, and a signature that this program can't verify.
        file[bytes[0]] = 2;
        file[bytes[1]] ^= 1;
        let before = newer.files.clone();
        let shared = SharedStorage::new(newer);
        let error = Journal::open(shared.clone(), &options(64 * 1024), START_MS)
            .map(|_| ())
            .expect_err("rejected");
        assert!(
            matches!(&error, OpenError::NewerFormat { file, version: 2, .. } if file == name),
            "{error}"
        );
        assert_eq!(error.to_string().lines().count(), 1);
        assert_eq!(shared.0.borrow().files, before);
    }
}

#[test]
fn a_wrong_or_damaged_key_is_rejected_and_an_operators_key_replaces_the_folders_own() {
    let files = filled(10).storage().without_faults();
    let own = Options {
        operator_key: Some([8; 32]),
        ..options(files.disk)
    };
    // Both the folder's own key and the operator's are tried; new files are signed under the operator's.
    let (journal, found) = Journal::open(files.clone(), &own, START_MS + 50).expect("opens");
    assert_eq!(open_ids(&found.records).len(), 10);
    let (_, found) =
        Journal::open(journal.storage().without_faults(), &own, START_MS + 60).expect("opens");
    assert_eq!(
        (open_ids(&found.records).len(), found.damage.len()),
        (10, 0)
    );
    let mut keyless = files.clone();
    keyless.files.remove("key");
    let rejected = Journal::open(keyless, &own, START_MS)
        .map(|_| ())
        .expect_err("rejected");
    assert!(matches!(rejected, OpenError::WrongKey), "{rejected}");
    let mut lost = files;
    lost.files.insert("key".into(), vec![0; 108]);
    let rejected = Journal::open(lost, &options(64 * 1024), START_MS)
        .map(|_| ())
        .expect_err("rejected");
    assert!(matches!(rejected, OpenError::KeyLost), "{rejected}");
}
