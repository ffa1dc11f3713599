//! Golden journal folders: the format on disk must neither change nor become unreadable.
//!
//! Three committed folders under `tests/golden/` were written by the build of the commit that added them:
//!
//! - `intact`: several sealed segments, a head, the manifest and the key file. It holds every kind of record that a
//!   caller can append, with and without idempotency key and ordering key.
//! - `reopened`: `intact` with one damaged range, opened again. Its head holds the records that recovery adds: the record
//!   of possibly executed attempts, and the final report of a message whose own record was in the damaged range.
//! - `compacted`: `reopened` after compaction. A relocated record of acceptance contains the log number of the acceptance,
//!   which is omitted where the record was first written.
//!
//! Each folder is read by recovery and compared with values spelled out here, and is written from scratch and compared
//! byte for byte. Nothing in it varies from run to run: the folder's key (from which the segments' salts derive) and
//! the time are arguments of the interface, and ids are the caller's. One body is compressed: should an update of
//! `lz4_flex` compress differently, the bytes may differ although the format does not; then only the tests that read
//! the committed folders are decisive. `compacted` also depends on the order in which compaction visits segments, which
//! is not part of the format.
//!
//! On a difference the folder as written now is left in cargo's temporary directory for tests, and the failure
//! names the file and the offset. Nothing regenerates the committed files.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use cranehill_core::{FinalReport, Record};
use cranehill_journal::{
    DamageCause, DamagedRange, Journal, LostMessage, Memory, MessageCounts, Options, Recovered,
};

/// Unix time in milliseconds of the first record.
const START_MS: u64 = 1_764_590_000_000;
/// When the damaged folder is opened, and compacted.
const REOPENED_MS: u64 = START_MS + 1_000;
/// When a folder is opened to compare what is recovered.
const READ_MS: u64 = START_MS + 2_000;
const MESSAGE_LIFETIME_MS: u64 = 20_000;
const NANOS_PER_MS: u64 = 1_000_000;

const FOLDER_KEY: [u8; 32] = *b"golden journal folder key 000001";
/// Passed as fresh key when a folder is read: it must not be used, since the folder has a key file.
const UNUSED_KEY: [u8; 32] = [0xee; 32];
const DISK_BYTES: u64 = 64 * 1024;
/// Small, so that few records fill several segments.
const SEGMENT_BYTES: u64 = 512;
/// More than the folder ever needs.
const COMPACTION_STEPS: usize = 50;

/// The byte to damage, in the record of acceptance of [`IDEMPOTENT_ID`].
const DAMAGED_SEGMENT: &str = "00000001.seg";
const DAMAGED_OFFSET: usize = 160;
const DAMAGE_MASK: u8 = 0x20;

/// Hexadecimal ids are stored packed, up to 28 digits in place.
const PLAIN_ID: &str = "9b1f03aa5c7e2d41";
const IDEMPOTENT_ID: &str = "00112233445566778899aabbccddeeff";
const ORDERED_ID: &str = "ordered";
const IDEMPOTENT_ORDERED_ID: &str = "idempotent-ñ-ordered";
const RETURNED_ID: &str = "returned";
const FAILED_ID: &str = "failed";
const RETURNED_ORDERED_ID: &str = "returned-ordered";
const FAILED_ORDERED_ID: &str = "failed-ordered";
const COMPLETED_ID: &str = "completed";
const REPORTED_ID: &str = "reported";

type Files = BTreeMap<String, Vec<u8>>;

fn nanos(ms: u64) -> u64 {
    ms * NANOS_PER_MS
}

/// A message accepted `after_ms` milliseconds after the start.
fn accepted(
    id: &str,
    after_ms: u64,
    idempotency_key: Option<&str>,
    ordering_key: Option<&str>,
    body: &[u8],
) -> Record {
    let accepted_ms = START_MS + after_ms;
    Record::Accepted {
        id: id.into(),
        class: 1,
        tenant: 2,
        destination: 300,
        idempotency_key: idempotency_key.map(Into::into),
        ordering_key: ordering_key.map(Into::into),
        deadline: nanos(accepted_ms + MESSAGE_LIFETIME_MS),
        accepted_at: nanos(accepted_ms),
        body: Arc::from(body),
    }
}

fn attempt_started(id: &str, attempt: u32, endpoint: &str, after_ms: u64) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt,
        endpoint: endpoint.into(),
        started_at: nanos(START_MS + after_ms),
    }
}

fn attempt_finished(id: &str, attempt: u32, not_executed: bool) -> Record {
    Record::AttemptFinished {
        id: id.into(),
        attempt,
        not_executed,
    }
}

fn final_report_due(id: &str, report: FinalReport, ordering_key: Option<&str>) -> Record {
    Record::FinalReportDue {
        id: id.into(),
        final_report: report,
        ordering_key: ordering_key.map(Into::into),
    }
}

fn completed(id: &str, until_after_ms: u64) -> Record {
    Record::Completed {
        id: id.into(),
        remembered_until: nanos(START_MS + until_after_ms),
    }
}

/// Long and repetitive enough to be stored compressed.
fn compressible_body() -> Vec<u8> {
    b"<episode><title>El programa de la tarde</title></episode>".repeat(8)
}

/// The records appended to `intact`: one list for each call, with its time after the start in milliseconds.
#[expect(clippy::too_many_lines, reason = "a list of data")]
fn append_calls() -> Vec<(u64, Vec<Record>)> {
    vec![
        (
            0,
            vec![
                accepted(PLAIN_ID, 0, None, None, b"plain"),
                accepted(IDEMPOTENT_ID, 0, Some("idempotency-1"), None, b"idempotent"),
            ],
        ),
        (
            10,
            vec![
                attempt_started(PLAIN_ID, 0, "s-5be2a07c", 10),
                attempt_started(IDEMPOTENT_ID, 0, "s-5be2a07c", 10),
            ],
        ),
        (
            20,
            vec![
                attempt_finished(PLAIN_ID, 0, true),
                attempt_finished(IDEMPOTENT_ID, 0, false),
            ],
        ),
        (30, vec![attempt_started(PLAIN_ID, 1, "s-0001", 30)]),
        (
            40,
            vec![accepted(
                ORDERED_ID,
                40,
                None,
                Some("account-3"),
                &compressible_body(),
            )],
        ),
        (
            50,
            vec![
                accepted(IDEMPOTENT_ORDERED_ID, 50, Some("00ff"), Some("a1b2"), b""),
                attempt_started(IDEMPOTENT_ORDERED_ID, 0, "s-0002", 50),
                attempt_finished(IDEMPOTENT_ORDERED_ID, 0, false),
            ],
        ),
        (
            60,
            vec![
                accepted(RETURNED_ID, 60, None, None, b"returned"),
                final_report_due(RETURNED_ID, FinalReport::Returned { after_ms: 500 }, None),
            ],
        ),
        (
            70,
            vec![
                accepted(FAILED_ID, 70, None, None, b"failed"),
                final_report_due(FAILED_ID, FinalReport::Failed, None),
            ],
        ),
        (
            80,
            vec![
                accepted(RETURNED_ORDERED_ID, 80, None, Some("account-7"), b"7"),
                final_report_due(
                    RETURNED_ORDERED_ID,
                    FinalReport::Returned { after_ms: 70_000 },
                    Some("account-7"),
                ),
            ],
        ),
        (
            90,
            vec![
                accepted(FAILED_ORDERED_ID, 90, None, Some("account-8"), b"8"),
                final_report_due(FAILED_ORDERED_ID, FinalReport::Failed, Some("account-8")),
            ],
        ),
        (
            100,
            vec![
                accepted(COMPLETED_ID, 100, None, None, b"completed"),
                attempt_started(COMPLETED_ID, 0, "s-0003", 100),
                completed(COMPLETED_ID, 30_000),
            ],
        ),
        (
            110,
            vec![
                accepted(REPORTED_ID, 110, None, None, b"reported"),
                final_report_due(REPORTED_ID, FinalReport::Failed, None),
                completed(REPORTED_ID, 25_000),
            ],
        ),
    ]
}

fn open(files: Files, fresh_key: [u8; 32], now_ms: u64) -> (Journal<Memory>, Recovered) {
    let mut storage = Memory::new(DISK_BYTES);
    storage.files = files;
    let options = Options {
        disk_bytes: DISK_BYTES,
        operator_key: None,
        fresh_key,
        segment_bytes: Some(SEGMENT_BYTES),
    };
    Journal::open(storage, &options, now_ms).expect("the folder opens")
}

fn write_intact() -> Files {
    let (mut journal, _) = open(Files::new(), FOLDER_KEY, START_MS);
    for (after_ms, records) in append_calls() {
        journal
            .append(START_MS + after_ms, &records)
            .expect("the folder has room");
    }
    journal.storage().files.clone()
}

fn damage(mut files: Files) -> Files {
    files
        .get_mut(DAMAGED_SEGMENT)
        .expect("the segment to damage")[DAMAGED_OFFSET] ^= DAMAGE_MASK;
    files
}

fn write_reopened(intact: Files) -> Files {
    let (journal, _) = open(damage(intact), UNUSED_KEY, REOPENED_MS);
    journal.storage().files.clone()
}

fn write_compacted(intact: Files) -> Files {
    let (mut journal, _) = open(damage(intact), UNUSED_KEY, REOPENED_MS);
    for _ in 0..COMPACTION_STEPS {
        journal.compact(REOPENED_MS);
    }
    journal.storage().files.clone()
}

fn committed(folder: &str) -> Files {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(folder);
    let entries = fs::read_dir(&path).unwrap_or_else(|e| panic!("{folder}: {e}"));
    entries
        .map(|entry| {
            let entry = entry.expect("a directory entry");
            let name = entry
                .file_name()
                .into_string()
                .expect("a file name in UTF-8");
            (name, fs::read(entry.path()).expect("a golden file"))
        })
        .collect()
}

/// Writes the folder to cargo's temporary directory for inspection; returns its path.
fn keep_for_inspection(folder: &str, files: &Files) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("golden")
        .join(folder);
    if path.exists() {
        fs::remove_dir_all(&path).expect("the folder of an earlier run is removed");
    }
    fs::create_dir_all(&path).expect("a folder");
    for (name, bytes) in files {
        fs::write(path.join(name), bytes).expect("a file");
    }
    path
}

/// Describes the first difference of two files: its offset and the byte in each; `None` if they are equal.
fn first_difference(expected: &[u8], actual: &[u8]) -> Option<String> {
    if expected == actual {
        return None;
    }
    let offset = expected
        .iter()
        .zip(actual)
        .take_while(|(a, b)| a == b)
        .count();
    let (expected_byte, actual_byte) = (expected.get(offset), actual.get(offset));
    Some(format!(
        "differs at offset {offset}: committed {expected_byte:02x?} of {} bytes, written {actual_byte:02x?} of {}",
        expected.len(),
        actual.len()
    ))
}

fn assert_same_bytes(folder: &str, written: &Files) {
    let committed = committed(folder);
    if committed == *written {
        return;
    }
    let names: BTreeSet<&String> = committed.keys().chain(written.keys()).collect();
    let differences: Vec<String> = names
        .into_iter()
        .filter_map(|name| match (committed.get(name), written.get(name)) {
            (Some(expected), Some(actual)) => first_difference(expected, actual)
                .map(|difference| format!("{folder}/{name} {difference}")),
            (Some(_), None) => Some(format!("{folder}/{name} is not written any more")),
            (None, _) => Some(format!("{folder}/{name} is not among the committed files")),
        })
        .collect();
    let inspection_folder = keep_for_inspection(folder, written);
    panic!(
        "{}\nas written now: {}",
        differences.join("\n"),
        inspection_folder.display()
    );
}

fn counts(open: u64, final_report_due: u64, completed: u64) -> MessageCounts {
    MessageCounts {
        open,
        final_report_due,
        completed,
    }
}

fn assert_recovered(recovered: &Recovered, expected: &Expected) {
    for (n, (actual, wanted)) in recovered.records.iter().zip(&expected.records).enumerate() {
        assert_eq!(actual, wanted, "record {n}");
    }
    assert_eq!(recovered.records.len(), expected.records.len());
    assert_eq!(recovered.damage, expected.damage);
    assert_eq!(recovered.lost_messages, expected.lost);
    assert_eq!(recovered.possibly_executed, expected.possibly_executed);
    assert_eq!(recovered.counts, expected.counts);
    assert_eq!(recovered.latest_ms, expected.latest_ms);
    assert_eq!(recovered.torn_write, None);
    assert_eq!(recovered.foreign_files, Vec::<String>::new());
    assert_eq!(recovered.migrated_records, 0);
}

/// The expected result of recovery.
struct Expected {
    records: Vec<Record>,
    damage: Vec<DamagedRange>,
    lost: Vec<LostMessage>,
    /// Open messages that damage makes possibly executed.
    possibly_executed: usize,
    /// Messages pending, with a final report due, and completed.
    counts: MessageCounts,
    latest_ms: u64,
}

/// Completed messages by their time, final reports due, then pending messages in the order of acceptance.
fn expected_of_intact() -> Expected {
    Expected {
        records: vec![
            completed(REPORTED_ID, 25_000),
            completed(COMPLETED_ID, 30_000),
            final_report_due(RETURNED_ID, FinalReport::Returned { after_ms: 500 }, None),
            final_report_due(FAILED_ID, FinalReport::Failed, None),
            final_report_due(
                RETURNED_ORDERED_ID,
                FinalReport::Returned { after_ms: 70_000 },
                Some("account-7"),
            ),
            final_report_due(FAILED_ORDERED_ID, FinalReport::Failed, Some("account-8")),
            accepted(PLAIN_ID, 0, None, None, b"plain"),
            attempt_started(PLAIN_ID, 0, "s-5be2a07c", 10),
            attempt_finished(PLAIN_ID, 0, true),
            attempt_started(PLAIN_ID, 1, "s-0001", 30),
            accepted(IDEMPOTENT_ID, 0, Some("idempotency-1"), None, b"idempotent"),
            attempt_started(IDEMPOTENT_ID, 0, "s-5be2a07c", 10),
            attempt_finished(IDEMPOTENT_ID, 0, false),
            accepted(
                ORDERED_ID,
                40,
                None,
                Some("account-3"),
                &compressible_body(),
            ),
            accepted(IDEMPOTENT_ORDERED_ID, 50, Some("00ff"), Some("a1b2"), b""),
            attempt_started(IDEMPOTENT_ORDERED_ID, 0, "s-0002", 50),
            attempt_finished(IDEMPOTENT_ORDERED_ID, 0, false),
        ],
        damage: Vec::new(),
        lost: Vec::new(),
        possibly_executed: 0,
        counts: counts(4, 4, 2),
        latest_ms: START_MS + 110,
    }
}

/// The record by which [`IDEMPOTENT_ID`] was accepted, between its neighbours in the first segment.
fn damaged_range() -> DamagedRange {
    DamagedRange {
        file: DAMAGED_SEGMENT.into(),
        offset: 114,
        len: 70,
        accepted_before: 3,
        max_attempts: 1,
        max_messages: 1,
        cause: DamageCause::Damaged,
    }
}

/// The attempt that the damaged range may have held: numbered after the last known one, and started at acceptance.
fn possible_attempt_of_plain() -> Record {
    attempt_started(PLAIN_ID, 2, "", 0)
}

/// As `intact`, but the message whose own record is damaged gets a final report as failed, and the one accepted before
/// it may have been executed once more. Messages accepted later are not affected.
fn expected_of_damaged() -> Expected {
    let intact = expected_of_intact();
    let mut records = intact.records;
    records.retain(|record| record.id() != IDEMPOTENT_ID);
    let plain = records
        .iter()
        .position(|record| record.id() == PLAIN_ID)
        .expect("the plain message");
    records.insert(plain + 1, possible_attempt_of_plain());
    let ordered = records
        .iter()
        .position(|record| record.id() == ORDERED_ID)
        .expect("the ordered message");
    records.insert(
        ordered,
        final_report_due(IDEMPOTENT_ID, FinalReport::Failed, None),
    );
    Expected {
        records,
        damage: vec![damaged_range()],
        // The start of its first attempt is its earliest readable record.
        lost: vec![LostMessage {
            id: IDEMPOTENT_ID.into(),
            file: DAMAGED_SEGMENT.into(),
            offset: 223,
        }],
        possibly_executed: 1,
        counts: counts(3, 5, 2),
        ..intact
    }
}

/// The records that the first opening added are on disk: the lost message now has a final report due.
fn expected_of_reopened() -> Expected {
    let damaged = expected_of_damaged();
    let mut records = damaged.records;
    records.retain(|record| record.id() != IDEMPOTENT_ID);
    let first_report = records
        .iter()
        .position(|record| matches!(record, Record::FinalReportDue { .. }))
        .expect("a final report that is due");
    records.insert(
        first_report,
        final_report_due(IDEMPOTENT_ID, FinalReport::Failed, None),
    );
    Expected {
        records,
        lost: Vec::new(),
        latest_ms: REOPENED_MS,
        ..damaged
    }
}

/// Compaction has removed the damaged segment; the affected messages still count as possibly executed.
fn expected_of_compacted() -> Expected {
    Expected {
        damage: Vec::new(),
        ..expected_of_reopened()
    }
}

#[test]
fn golden_intact_folder_is_recovered() {
    let files = committed("intact");
    assert!(
        files.len() >= 5,
        "a key, a manifest and several segments: {:?}",
        files.keys()
    );
    let (_, recovered) = open(files, UNUSED_KEY, READ_MS);
    assert_recovered(&recovered, &expected_of_intact());
}

#[test]
fn golden_damaged_folder_is_recovered() {
    let (_, recovered) = open(damage(committed("intact")), UNUSED_KEY, READ_MS);
    assert_recovered(&recovered, &expected_of_damaged());
}

#[test]
fn golden_reopened_folder_is_recovered() {
    let (_, recovered) = open(committed("reopened"), UNUSED_KEY, READ_MS);
    assert_recovered(&recovered, &expected_of_reopened());
}

#[test]
fn golden_compacted_folder_is_recovered() {
    let (_, recovered) = open(committed("compacted"), UNUSED_KEY, READ_MS);
    assert_recovered(&recovered, &expected_of_compacted());
}

#[test]
fn golden_intact_folder_is_written_byte_for_byte() {
    assert_same_bytes("intact", &write_intact());
}

#[test]
fn golden_reopened_folder_is_written_byte_for_byte() {
    assert_same_bytes("reopened", &write_reopened(committed("intact")));
}

#[test]
fn golden_compacted_folder_is_written_byte_for_byte() {
    assert_same_bytes("compacted", &write_compacted(committed("intact")));
}
