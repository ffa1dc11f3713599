//! Compatibility of file formats: files that operators have written must parse as before, and files that the program writes
//! for other programs must keep their keys and columns, whatever names the code uses.

mod common;

use std::collections::BTreeSet;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::time::Duration;

use cranehill::push_script;
use cranehill_core::{FinalReport, Record};
use cranehill_daemon::fleet::{self, Fleet};
use cranehill_daemon::webpush::{self, Location, Server, Upstream, VapidFile};
use cranehill_journal::{Folder, Journal, Options};
use parquet::file::reader::{FileReader, SerializedFileReader};
use serde_json::Value;

const FLEET: &str = include_str!("golden/fleet.toml");
const FLEET_EVERY_KEY: &str = include_str!("golden/fleet-every-key.toml");
const WEB_PUSH: &str = include_str!("golden/webpush.toml");
const WEB_PUSH_EVERY_KEY: &str = include_str!("golden/webpush-every-key.toml");
const EVERY_WORD: &str = include_str!("golden/every-word.txt");
const IMPORTED: &str = include_str!("golden/imported.toml");
const WRITTEN_CONFIG: &str = include_str!("golden/written-config.json");
const EXPORTED: &str = include_str!("golden/exported.jsonl");
const REPORT_KEYS: &str = include_str!("golden/report-keys.txt");

/// The text of a key file with [`KEY`].
const KEY_FILE: &str = "0707070707070707070707070707070707070707070707070707070707070707\n";
const KEY: [u8; 32] = [7; 32];

/// The time of all records, in milliseconds since the Unix epoch.
const NOW: u64 = 1_764_590_000_000;
const NANOS_PER_MS: u64 = 1_000_000;

/// The path of this file in `tests/golden`.
fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn path_text(path: &Path) -> &str {
    path.to_str().expect("path is valid UTF-8")
}

/// The program with these arguments and without settings in its environment.
fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranehill"));
    command.args(args);
    for variable in [
        "NODE_CONFIG",
        "NODE_NAME",
        "NODE_LISTEN",
        "NODE_DISCOVERY",
        "NODE_STATE",
        "NODE_OPERATOR",
    ] {
        command.env_remove(variable);
    }
    command
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Standard output of a program that exited with success.
fn printed(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    text(&output.stdout)
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn address(text: &str) -> std::net::SocketAddr {
    text.parse().expect("an address")
}

/// The fleet settings that a fleet file gives for a sender with the default test configuration.
fn fleet_of(text: &str) -> Fleet {
    let config = common::config("null", address("127.0.0.1:1"));
    let file = fleet::parse(text).expect("valid fleet file");
    file.fleet(KEY, &config.name, &config.platform_settings.settings)
        .expect("fleet settings are valid")
}

/// Variants of the text with one key or table name misspelt, each with the number of that line.
fn misspelt_variants(text: &str) -> Vec<(usize, String)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut variants = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        let wrong = if line.starts_with('[') {
            line.replacen(']', "-misspelt]", 1)
        } else if let Some((key, value)) = line.split_once(" = ") {
            format!("{key}-misspelt = {value}")
        } else {
            continue;
        };
        let mut changed = lines.clone();
        changed[index] = &wrong;
        variants.push((index + 1, changed.join("\n")));
    }
    variants
}

#[test]
fn every_key_of_a_fleet_file_reads_as_before() {
    assert_eq!(
        fleet::parse(FLEET_EVERY_KEY).expect("valid fleet file").key,
        Path::new("keys/fleet.key")
    );
    // Complete patterns, so that the compiler asks for each new field here.
    let Fleet {
        listen,
        status,
        settings,
        recovery,
        zones,
    } = fleet_of(FLEET_EVERY_KEY);
    assert_eq!(listen, address("127.0.0.1:7946"));
    assert_eq!(status, Some(address("127.0.0.1:7947")));

    let cranehill_membership::Settings {
        name,
        address: at,
        seeds,
        key,
        probe_period: period,
        probe_timeout: round_trip,
        suspicion_timeout: suspicion,
        eviction_delay,
        max_packet_age,
        configured_members,
    } = settings;
    assert_eq!(name, "n0");
    assert_eq!(at, address("127.0.0.3:7950"));
    assert_eq!(
        seeds,
        [address("127.0.0.1:7946"), address("127.0.0.2:7946")]
    );
    assert_eq!(key, KEY);
    assert_eq!(period, secs(2));
    assert_eq!(round_trip, ms(400));
    assert_eq!(suspicion, Some(secs(9)));
    assert_eq!(eviction_delay, Some(secs(90)));
    assert_eq!(max_packet_age, secs(6));
    assert_eq!(configured_members, 1);

    let recovery = recovery.expect("a [recovery] table");
    assert_eq!(recovery.bounds.window, secs(11));
    assert_eq!(recovery.bounds.limit, secs(12));
    assert_eq!(recovery.bounds.state, secs(13));
    assert_eq!(recovery.bounds.max_clock_difference, secs(6));
    assert_eq!(recovery.request_interval, ms(600));
    assert_eq!(recovery.peer_timeout, secs(3));
    assert_eq!(recovery.persist_interval, ms(1500));

    let zones = zones.expect("a [zones] table");
    assert_eq!(zones.window, ms(2500));
    assert_eq!(zones.failure_confirmation, ms(350));
    assert_eq!(zones.probes_per_second, 5.5);
    assert_eq!(zones.evacuation_bounds, [secs(3), secs(70)]);
    assert_eq!(zones.ramp_duration, ms(9100));
    assert_eq!(zones.repeat_failure_period, secs(40));
}

#[test]
fn the_deployed_fleet_file_reads_as_before() {
    assert_eq!(
        fleet::parse(FLEET).expect("valid fleet file").key,
        Path::new("fleet.key")
    );
    let Fleet {
        listen,
        status,
        settings,
        recovery,
        zones,
    } = fleet_of(FLEET);
    assert_eq!(listen, address("127.0.0.1:7946"));
    assert_eq!(status, Some(address("127.0.0.1:7947")));
    assert_eq!(settings.address, listen);
    assert_eq!(
        settings.seeds,
        [address("127.0.0.1:7946"), address("127.0.0.2:7946")]
    );
    assert_eq!(settings.probe_period, secs(1));
    assert_eq!(settings.probe_timeout, ms(300));
    assert_eq!(settings.suspicion_timeout, None);
    assert_eq!(settings.eviction_delay, Some(secs(30)));
    assert_eq!(settings.max_packet_age, secs(5));
    assert!(recovery.is_none());
    assert!(zones.is_none());
}

#[test]
fn keys_left_out_of_a_fleet_file_have_their_old_defaults() {
    let minimal = "listen = \"127.0.0.1:7946\"\nkey = \"fleet.key\"\n";
    let Fleet {
        status,
        settings,
        recovery,
        zones,
        ..
    } = fleet_of(&format!("{minimal}[recovery]\n[zones]\n"));
    assert_eq!(status, None);
    assert!(settings.seeds.is_empty());
    assert_eq!(
        (
            settings.probe_period,
            settings.probe_timeout,
            settings.suspicion_timeout
        ),
        (secs(1), ms(300), None)
    );
    assert_eq!(
        (settings.eviction_delay, settings.max_packet_age),
        (Some(secs(30)), secs(5))
    );
    let recovery = recovery.expect("a [recovery] table");
    let bounds = recovery.bounds;
    assert_eq!(
        (bounds.window, bounds.limit, bounds.state),
        (secs(10), secs(10), secs(10))
    );
    assert_eq!(
        (
            recovery.request_interval,
            recovery.peer_timeout,
            recovery.persist_interval
        ),
        (ms(500), secs(2), secs(1))
    );
    let zones = zones.expect("a [zones] table");
    assert_eq!(
        (
            zones.window,
            zones.failure_confirmation,
            zones.probes_per_second
        ),
        (secs(2), ms(300), 4.0)
    );
    assert_eq!(
        (zones.evacuation_bounds, zones.repeat_failure_period),
        ([secs(2), secs(60)], secs(30))
    );
    let never = fleet_of(&format!("{minimal}hold = \"never\"\n"));
    assert_eq!(never.settings.eviction_delay, None);
}

#[test]
fn every_misspelt_key_of_a_fleet_file_is_an_error() {
    let variants = misspelt_variants(FLEET_EVERY_KEY);
    assert_eq!(variants.len(), 24);
    for (line, text) in variants {
        let error = fleet::parse(&text)
            .expect_err("a key is misspelt")
            .to_string();
        assert!(
            error.contains("unknown field") && error.contains("-misspelt"),
            "line {line}: {error}"
        );
    }
}

#[test]
fn check_accepts_the_deployed_files_and_names_a_misspelt_key() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let config = folder.path().join("config.json");
    std::fs::write(&config, WRITTEN_CONFIG).expect("file written");
    std::fs::write(folder.path().join("fleet.key"), KEY_FILE).expect("file written");
    let (fleet, web_push) = (
        folder.path().join("fleet.toml"),
        folder.path().join("webpush.toml"),
    );
    let check = |fleet_text: &str, web_push_text: &str| {
        std::fs::write(&fleet, fleet_text).expect("file written");
        std::fs::write(&web_push, web_push_text).expect("file written");
        program(&[
            "check",
            "--webpush",
            path_text(&web_push),
            "--fleet",
            path_text(&fleet),
        ])
        .env("NODE_CONFIG", &config)
        .env("NODE_STATE", folder.path())
        .output()
        .expect("cranehill program started")
    };
    let accepted = printed(&check(FLEET, WEB_PUSH));
    assert_eq!(accepted.lines().count(), 3, "{accepted}");
    assert!(
        accepted.contains("n0 at 127.0.0.1:7946, 2 seeds"),
        "{accepted}"
    );

    let misspelt_period = FLEET.replacen("\nperiod", "\nperiode", 1);
    let misspelt_path = WEB_PUSH.replacen("\npath", "\npathe", 1);
    for (output, key) in [
        (check(&misspelt_period, WEB_PUSH), "periode"),
        (check(FLEET, &misspelt_path), "pathe"),
    ] {
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{error}");
        assert!(error.contains("line ") && error.contains(key), "{error}");
    }
}

#[test]
fn every_key_of_a_web_push_file_reads_as_before() {
    let server = |port: u16, draining| Server {
        address: format!("127.0.0.1:{port}"),
        draining,
    };
    let location = |path: &str, to: Option<&str>| Location {
        path: path.into(),
        upstream: "app-partner".into(),
        to: to.map(str::to_owned),
    };
    let expected = webpush::File {
        listen: Some("127.0.0.1:8480".into()),
        vapid: Some(VapidFile {
            key: "AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE".into(),
            subject: "mailto:oncall@station.example".into(),
        }),
        upstream: vec![Upstream {
            name: "app-partner".into(),
            rate: Some(12.5),
            server: vec![server(9100, false), server(9101, true)],
        }],
        location: vec![
            location("/push/", Some("/wpush/v2/")),
            location("/other/", None),
        ],
    };
    assert_eq!(
        webpush::parse_file(WEB_PUSH_EVERY_KEY).expect("valid Web Push file"),
        expected
    );
}

#[test]
fn the_deployed_web_push_file_reads_as_before() {
    let expected = webpush::File {
        listen: Some("127.0.0.1:8480".into()),
        vapid: None,
        upstream: vec![Upstream {
            name: "app-partner".into(),
            rate: None,
            server: vec![Server {
                address: "127.0.0.1:9100".into(),
                draining: false,
            }],
        }],
        location: vec![Location {
            path: "/push/".into(),
            upstream: "app-partner".into(),
            to: Some("/wpush/v2/".into()),
        }],
    };
    assert_eq!(
        webpush::parse_file(WEB_PUSH).expect("valid Web Push file"),
        expected
    );
}

#[test]
fn every_misspelt_key_of_a_web_push_file_is_an_error() {
    let variants = misspelt_variants(WEB_PUSH_EVERY_KEY);
    assert_eq!(variants.len(), 19);
    for (line, text) in variants {
        let error = webpush::parse_file(&text)
            .expect_err("a key is misspelt")
            .to_string();
        if WEB_PUSH_EVERY_KEY.lines().nth(line - 1) == Some("[[upstream]]") {
            // TOML: without its header, the [[upstream.server]] below makes `upstream` a table, not a list.
            assert_eq!(
                error, "line 12: invalid type: map, expected a sequence",
                "line {line}"
            );
        } else {
            assert!(
                error.contains("unknown field") && error.contains("-misspelt"),
                "line {line}: {error}"
            );
        }
    }
}

#[test]
fn an_imported_web_push_file_is_written_and_read_as_before() {
    let output = program(&["import-nginx", path_text(&golden("nginx.conf"))])
        .output()
        .expect("cranehill program started");
    assert_eq!(printed(&output), IMPORTED);
    let file = webpush::parse_file(IMPORTED).expect("valid Web Push file");
    assert_eq!(file.upstream[0].server.len(), 2);
    assert!(file.upstream[0].server[1].draining);
    assert_eq!(file.location[0].to.as_deref(), Some("/wpush/v2/"));
}

#[test]
fn hard_cases_script_plays_as_before() {
    let output = program(&["rehearse", path_text(&golden("hard-cases.txt"))])
        .output()
        .expect("cranehill program started");
    assert_eq!(printed(&output).lines().count(), 6);
}

#[test]
fn every_keyword_of_a_push_script_reads_as_before() {
    let script = push_script::parse(EVERY_WORD).expect("valid push script");
    let report = push_script::play(&script).expect("push script run completed");
    let missed: Vec<&String> = report
        .lines
        .iter()
        .filter(|l| l.contains("MISSED"))
        .collect();
    assert_eq!((report.lines.len(), report.missed), (7, 1), "{report:?}");
    assert!(
        missed[0].starts_with("line 28: not-refused: "),
        "{missed:?}"
    );
    assert!(
        missed[0].ends_with("expected refused within 5.00 s in 9 attempts"),
        "{missed:?}"
    );
    // An omitted argument has the same meaning as its default.
    let push = |arguments: &str| {
        push_script::parse(&format!("push one{arguments}")).expect("valid push script")
    };
    assert_eq!(push(""), push(" ttl=20 body=one"));
    assert_ne!(push(""), push(" body=two"));
    assert_ne!(push(""), push(" urgency=high"));
    assert_ne!(push(" topic=one"), push(" topic=two"));
    let expect =
        |arguments: &str| push_script::parse(&format!("push one\nexpect one delivered{arguments}"));
    assert_eq!(expect(""), expect(" within 21"));
    assert_ne!(expect(""), expect(" attempts 1"));
}

#[test]
fn every_misspelt_keyword_of_a_push_script_is_an_error_at_its_line() {
    let arguments = [
        "service",
        "answers",
        "silent",
        "closes",
        "retry-after",
        "to",
        "push",
        "ttl",
        "urgency",
        "topic",
        "body",
        "wait",
        "expect",
        "within",
        "attempts",
        "delivered",
        "refused",
        "gone",
        "given-up",
        "invalid",
    ];
    let is_keyword =
        |token: &str, keyword: &str| token == keyword || token.starts_with(&format!("{keyword}="));
    for keyword in arguments {
        let mut found = 0;
        for (index, line) in EVERY_WORD
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.starts_with('#'))
        {
            // The second word of `push` and `expect` is the name of a push, not a keyword.
            let named = line.starts_with("push") || line.starts_with("expect");
            let mut tokens: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
            let place =
                (0..tokens.len()).find(|&n| !(named && n == 1) && is_keyword(&tokens[n], keyword));
            let Some(place) = place else { continue };
            found += 1;
            tokens[place] = tokens[place].replacen(keyword, &format!("{keyword}-misspelt"), 1);
            let mut lines: Vec<&str> = EVERY_WORD.lines().collect();
            let changed = tokens.join(" ");
            lines[index] = &changed;
            let error = push_script::parse(&lines.join("\n"))
                .expect_err("a word is misspelt")
                .to_string();
            assert!(
                error.starts_with(&format!("line {}: ", index + 1)),
                "{changed}: {error}"
            );
        }
        assert!(found > 0, "{keyword} is not in the script");
    }
}

#[test]
fn the_configuration_for_a_scenario_is_written_as_before() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let written = folder.path().join("config.json");
    let output = program(&[
        "rehearse",
        path_text(&golden("scenario.toml")),
        "--directory",
        "127.0.0.1:9190",
    ])
    .args(["--write-config", path_text(&written)])
    .output()
    .expect("cranehill program started");
    printed(&output);
    assert_eq!(
        std::fs::read_to_string(&written).expect("written configuration read"),
        WRITTEN_CONFIG
    );
}

/// A journal with each kind of record that a sender appends.
fn write_journal(folder: &Path) {
    let options = Options {
        disk_bytes: 400_000,
        operator_key: None,
        fresh_key: KEY,
        segment_bytes: Some(4096),
    };
    let open = Journal::open(
        Folder::new(folder, options.disk_bytes).expect("journal folder created"),
        &options,
        NOW,
    );
    let mut journal = open.expect("journal opened").0;
    journal
        .append(NOW, &journal_records())
        .expect("records appended");
}

fn accepted(id: &str, key: Option<&str>, ordering_key: Option<&str>) -> Record {
    Record::Accepted {
        id: id.into(),
        class: 2,
        tenant: 1,
        destination: 7,
        idempotency_key: key.map(str::to_owned),
        ordering_key: ordering_key.map(str::to_owned),
        deadline: (NOW + 20_000) * NANOS_PER_MS,
        accepted_at: NOW * NANOS_PER_MS,
        body: Arc::from(&b"a body"[..]),
    }
}

fn attempt_started(id: &str) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt: 3,
        endpoint: "s-1".into(),
        started_at: (NOW + 5) * NANOS_PER_MS,
    }
}

fn attempt_finished(id: &str, not_executed: bool) -> Record {
    Record::AttemptFinished {
        id: id.into(),
        attempt: 3,
        not_executed,
    }
}

fn journal_records() -> [Record; 10] {
    let (first, second, third) = ("0000000000000001", "0000000000000002", "0000000000000003");
    [
        accepted(first, Some("00000000000000aa"), None),
        accepted(second, None, Some("account-1")),
        accepted(third, None, None),
        attempt_started(first),
        attempt_started(second),
        attempt_finished(first, false),
        attempt_finished(second, true),
        Record::Completed {
            id: first.into(),
            remembered_until: (NOW + 40_000) * NANOS_PER_MS,
        },
        Record::FinalReportDue {
            id: second.into(),
            final_report: FinalReport::Returned { after_ms: 150 },
            ordering_key: Some("account-1".into()),
        },
        Record::FinalReportDue {
            id: third.into(),
            final_report: FinalReport::Failed,
            ordering_key: None,
        },
    ]
}

#[test]
fn an_exported_journal_is_written_as_before() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    write_journal(folder.path());
    let output = program(&["journal", "export", path_text(folder.path())])
        .output()
        .expect("cranehill program started");
    let exported: String = printed(&output).lines().map(without_location).collect();
    assert_eq!(exported, EXPORTED);
}

/// A row with `N` for each number that depends on the layout of the journal, which has tests of its own.
fn without_location(row: &str) -> String {
    let mut row = format!("{row}\n");
    for key in ["segment", "offset", "bytes", "lsn", "born"] {
        let start = row
            .find(&format!("\"{key}\":"))
            .unwrap_or_else(|| panic!("no {key}: {row}"))
            + key.len()
            + 3;
        let digits = row[start..].bytes().take_while(u8::is_ascii_digit).count();
        row.replace_range(start..start + digits, "N");
    }
    row
}

#[test]
fn the_columns_of_an_exported_table_are_as_before() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let output_folder = tempfile::tempdir().expect("temporary folder created");
    let table = output_folder.path().join("records.parquet");
    write_journal(folder.path());
    let output = program(&[
        "journal",
        "export",
        path_text(folder.path()),
        "--format",
        "parquet",
    ])
    .args(["--out", path_text(&table)])
    .output()
    .expect("cranehill program started");
    printed(&output);
    let expected = "segment offset bytes lsn kind id born attempt never_ran endpoint at class station partner key deadline \
                    after_ms until before body_bytes body order_key";
    assert_eq!(
        columns(&table),
        expected.split_whitespace().collect::<Vec<_>>()
    );
}

fn columns(table: &Path) -> Vec<String> {
    let reader = SerializedFileReader::new(File::open(table).expect("Parquet file opened"))
        .expect("valid Parquet file");
    let schema = reader.metadata().file_metadata().schema_descr();
    schema
        .columns()
        .iter()
        .map(|column| column.name().to_owned())
        .collect()
}

/// Collects the paths of all keys; all elements of a list share the path `*`.
fn key_paths(value: &Value, at: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let path = format!("{at}/{key}");
                key_paths(inner, &path, found);
                found.insert(path);
            }
        }
        Value::Array(list) => list
            .iter()
            .for_each(|inner| key_paths(inner, &format!("{at}/*"), found)),
        _ => {}
    }
}

#[test]
fn a_report_has_the_same_keys_and_columns_as_before() {
    let out = tempfile::tempdir().expect("temporary folder created");
    let output = program(&[
        "rehearse",
        path_text(&golden("short.toml")),
        "--out",
        path_text(out.path()),
    ])
    .output()
    .expect("cranehill program started");
    let report = std::fs::read_to_string(out.path().join("report.json"));
    let report = report.unwrap_or_else(|e| panic!("{e}: {output:?}"));
    let report: Value = serde_json::from_str(&report).expect("valid JSON");
    assert_eq!(report["day"], "A short scenario, for its report");
    let mut found = BTreeSet::new();
    key_paths(&report, "", &mut found);
    // Violations, which a busy machine can cause, have keys that a run without violations lacks.
    found.retain(|path| !path.starts_with("/rules/*/breaches/"));
    let found: String = found.iter().map(|path| format!("{path}\n")).collect();
    assert_eq!(found, REPORT_KEYS);
    let expected = [
        "at_us",
        "late_us",
        "sender",
        "kind",
        "notices",
        "partner",
        "endpoint",
        "connection",
        "wire",
    ];
    assert_eq!(columns(&out.path().join("events.parquet")), expected);
}
