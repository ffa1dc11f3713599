//! `cranehill journal`, and the error for a journal of an unsupported format.

use std::path::Path;
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Options, Storage};
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;

/// The time of all records, in milliseconds since the Unix epoch.
const NOW: u64 = 1_764_590_000_000;
/// Limit of the journal folder, in bytes.
const DISK: u64 = 400_000;

fn open_journal(dir: &Path) -> Journal<Folder> {
    let options = Options {
        disk_bytes: DISK,
        operator_key: None,
        fresh_key: [7; 32],
        segment_bytes: Some(4096),
    };
    Journal::open(
        Folder::new(dir, DISK).expect("the journal folder"),
        &options,
        NOW,
    )
    .expect("the journal opens")
    .0
}

fn accepted_record(id: &str) -> Record {
    Record::Accepted {
        id: id.into(),
        class: 0,
        tenant: 1,
        destination: 7,
        idempotency_key: None,
        ordering_key: Some(format!("account-{}", &id[id.len() - 1..])),
        deadline: (NOW + 20_000) * 1_000_000,
        accepted_at: NOW * 1_000_000,
        body: Arc::from(id.repeat(6).as_bytes()),
    }
}

/// The records of message `n`: accepted, sent and, for even `n`, completed.
fn message_records(n: u32) -> Vec<Record> {
    let id = format!("{n:016x}");
    let sent = Record::AttemptStarted {
        id: id.clone(),
        attempt: 0,
        endpoint: "s-1".into(),
        started_at: NOW * 1_000_000,
    };
    let mut records = vec![accepted_record(&id), sent];
    if n.is_multiple_of(2) {
        records.push(Record::Completed {
            id,
            remembered_until: (NOW + 1) * 1_000_000,
        });
    }
    records
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cranehill"))
        .args(args)
        .output()
        .expect("cranehill program started")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn damage_is_reported_by_segment_and_offset_without_changing_the_folder() {
    let dir = tempfile::tempdir().expect("temporary folder created");
    let path = dir.path().to_str().expect("path is valid UTF-8");
    let mut journal = open_journal(dir.path());
    for n in 0..200 {
        journal
            .append(NOW, &message_records(n))
            .expect("records appended");
    }
    let files = || {
        Folder::existing(dir.path(), DISK)
            .and_then(|mut f| f.list())
            .expect("journal folder listed")
    };
    let before = files();
    let intact = run(&["journal", "verify", path]);
    assert_eq!(intact.status.code(), Some(0), "{}", text(&intact.stdout));
    assert!(
        text(&intact.stdout).contains("100 notices open (0 in doubt)"),
        "{}",
        text(&intact.stdout)
    );
    let name = before
        .keys()
        .find(|n| n.ends_with(".seg"))
        .expect("a segment")
        .clone();
    let mut bytes = std::fs::read(dir.path().join(&name)).expect("a segment");
    bytes[1000] ^= 4;
    std::fs::write(dir.path().join(&name), bytes).expect("file written");
    let damaged = run(&["journal", "verify", path]);
    let report = text(&damaged.stdout);
    assert_eq!(damaged.status.code(), Some(1));
    assert!(
        report
            .lines()
            .next()
            .is_some_and(|l| l.starts_with(&format!("{name} at "))),
        "{report}"
    );
    assert_eq!(files(), before, "verify changed the folder");
    let stats = text(&run(&["journal", "stats", path]).stdout);
    assert!(
        stats.contains("head") && stats.contains("taken: "),
        "{stats}"
    );
    let dump = text(&run(&["journal", "dump", path, "--id", "0000000000000003"]).stdout);
    assert_eq!(dump.lines().count(), 2, "{dump}");
    for (args, expected_error) in [
        (vec!["verify", "/nonexistent"], "No such file"),
        (vec!["export", path, "--format", "parquet"], "--out"),
    ] {
        let out = run(&[&["journal"], &args[..]].concat());
        let stderr = text(&out.stderr);
        assert!(
            out.status.code() == Some(2)
                && stderr.lines().count() == 1
                && stderr.contains(expected_error),
            "{stderr}"
        );
    }
}

#[test]
fn exports_contain_every_record_in_both_formats() {
    let dir = tempfile::tempdir().expect("temporary folder created");
    let path = dir.path().to_str().expect("path is valid UTF-8");
    let mut journal = open_journal(dir.path());
    for n in 0..100 {
        journal
            .append(NOW, &message_records(n))
            .expect("records appended");
    }
    let lines = text(&run(&["journal", "export", path]).stdout);
    let rows: Vec<serde_json::Value> = lines
        .lines()
        .map(|l| serde_json::from_str(l).expect("a JSON object"))
        .collect();
    assert_eq!(rows.len(), 250);
    let count_of = |kind: &str| rows.iter().filter(|r| r["kind"] == kind).count();
    assert_eq!(
        (count_of("taken"), count_of("sent"), count_of("over")),
        (100, 100, 50)
    );
    let out_dir = tempfile::tempdir().expect("temporary folder created");
    let parquet_file = out_dir.path().join("facts.parquet");
    let out = run(&[
        "journal",
        "export",
        path,
        "--format",
        "parquet",
        "--out",
        parquet_file.to_str().expect("path is valid UTF-8"),
    ]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let reader =
        SerializedFileReader::new(std::fs::File::open(&parquet_file).expect("Parquet file opened"))
            .expect("parquet");
    let mut seen = 0;
    for (row, json) in reader.get_row_iter(None).expect("rows").zip(&rows) {
        let row = row.expect("a row");
        assert_eq!(
            row.get_ulong(3).expect("lsn"),
            json["lsn"].as_u64().expect("lsn")
        );
        assert_eq!(
            row.get_string(5).expect("id"),
            json["id"].as_str().expect("id")
        );
        if json["kind"] == "taken" {
            let id = json["id"].as_str().expect("id");
            assert_eq!(
                row.get_bytes(20).expect("body").data(),
                id.repeat(6).as_bytes()
            );
            assert_eq!(
                row.get_string(21).expect("order_key"),
                json["order_key"].as_str().expect("a key")
            );
        }
        seen += 1;
    }
    assert_eq!(seen, 250);
}

/// Guards `verify` on the folder of a running sender: concurrent writes and compaction must not be reported as damage.
#[test]
fn verify_of_a_live_folder_reports_no_damage() {
    let dir = tempfile::tempdir().expect("temporary folder created");
    let path = dir.path().to_str().expect("path is valid UTF-8");
    let mut journal = open_journal(dir.path());
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let writer = std::thread::spawn(move || {
        for n in 0u32.. {
            if stopped.load(Ordering::Relaxed) {
                return n;
            }
            let mut records = message_records(n);
            if n >= 40 {
                records.push(Record::Completed {
                    id: format!("{:016x}", n - 40),
                    remembered_until: (NOW + 1) * 1_000_000,
                });
            }
            journal
                .append(NOW + u64::from(n), &records)
                .expect("records appended");
            journal.compact(NOW + u64::from(n));
            std::thread::sleep(std::time::Duration::from_micros(300));
        }
        0
    });
    for _ in 0..20 {
        let out = run(&["journal", "verify", path]);
        let folder_changed = text(&out.stderr).contains("changed");
        assert!(
            folder_changed || out.status.code() == Some(0),
            "{}{}",
            text(&out.stdout),
            text(&out.stderr)
        );
    }
    stop.store(true, Ordering::Relaxed);
    assert!(writer.join().expect("writer thread completed") > 100);
}

#[test]
fn newer_journal_format_fails_start_and_json_logs_are_objects() {
    let dir = tempfile::tempdir().expect("temporary folder created");
    let state = dir.path().join("state");
    drop(open_journal(&state));
    let settings = common::config_text(&common::list(1, &[]));
    let config = dir.path().join("config.json");
    std::fs::write(&config, settings).expect("file written");
    let manifest = state.join("manifest");
    let intact = std::fs::read(&manifest).expect("a manifest");
    let mut newer = intact.clone();
    newer[8] = 2;
    newer[20] ^= 1;
    std::fs::write(&manifest, &newer).expect("file written");
    let serve = || {
        Command::new(env!("CARGO_BIN_EXE_cranehill"))
            .args(["--log-format", "json", "serve"])
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("NODE_DISCOVERY", "127.0.0.1:1")
            .env("NODE_STATE", &state)
            .env("RUST_LOG", "info")
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("cranehill program started")
    };
    let out = serve().wait_with_output().expect("process ends");
    let stderr = text(&out.stderr);
    assert!(
        out.status.code() == Some(2) && stderr.lines().count() == 1 && stderr.contains("format 2"),
        "{stderr}"
    );
    assert_eq!(
        std::fs::read(&manifest).expect("a manifest"),
        newer,
        "the manifest was changed"
    );
    std::fs::write(&manifest, intact).expect("file written");
    let mut child = serve();
    std::io::BufRead::lines(std::io::BufReader::new(
        child.stderr.take().expect("a piped log"),
    ))
    .map(|l| {
        serde_json::from_str::<serde_json::Value>(&l.expect("UTF-8 text")).expect("a JSON object")
    })
    .find(|l| {
        l["msg"]
            .as_str()
            .is_some_and(|m| m.starts_with("started: "))
            && l["pending"] == 0
    })
    .expect("a 'started' line with pending = 0");
    child.kill().expect("killed");
    child.wait().expect("process exits");
}

mod common;
