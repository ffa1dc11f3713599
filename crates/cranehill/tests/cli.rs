//! The command line: standard output, standard error and exit codes.

mod common;

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output};

/// Runs the program to its end, without a configuration file in its environment.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranehill"));
    command
        .args(args)
        .env_remove("NODE_CONFIG")
        .env("RUST_LOG", "error")
        .output()
        .expect("cranehill program started")
}

/// A temporary file with this text.
fn file(text: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("temporary file created");
    file.write_all(text.as_bytes())
        .expect("temporary file written");
    file
}

fn path(file: &tempfile::NamedTempFile) -> &str {
    file.path().to_str().expect("path is valid UTF-8")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn sample_files_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = run(&[
        "check",
        "--webpush",
        root.join("deploy/webpush.toml")
            .to_str()
            .expect("path is valid UTF-8"),
    ]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let out = run(&[
        "rehearse",
        root.join("rehearsals/hard-cases.txt")
            .to_str()
            .expect("path is valid UTF-8"),
    ]);
    assert!(out.status.success(), "{}", text(&out.stdout));
    assert_eq!(
        text(&out.stdout).lines().count(),
        6,
        "one line for each `expect` of the script: {}",
        text(&out.stdout)
    );
}

#[test]
fn missed_expectation_exits_with_1_and_invalid_script_with_2() {
    // Expects the removal of a's subscription (`gone`), while the simulated push service accepts every push.
    let out = run(&["rehearse", path(&file("push a\nexpect a gone\n"))]);
    assert_eq!(out.status.code(), Some(1));
    assert!(
        text(&out.stdout).contains("line 2: a: delivered (201)"),
        "{}",
        text(&out.stdout)
    );
    // `hope` is not a command of push scripts.
    let out = run(&["rehearse", path(&file("push a\nhope\n"))]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("line 2:"));
}

#[test]
fn nginx_import_prints_a_valid_file_and_lists_what_is_left_out() {
    let nginx = file(
        "upstream a { server 127.0.0.1:9100 weight=3; }\nserver { location /p/ { proxy_pass http://a/q/; } }\n",
    );
    let out = run(&["import-nginx", path(&nginx)]);
    assert!(out.status.success());
    assert!(
        text(&out.stderr).contains("line 1: not carried over: server 127.0.0.1:9100: weight=3")
    );
    let out = run(&["check", "--webpush", path(&file(&text(&out.stdout)))]);
    assert_eq!(text(&out.stdout), "Web Push: 1 upstreams, 1 locations\n");
    let out = run(&["import-nginx", path(&file("upstream a {\n"))]);
    assert_eq!((out.status.code(), out.stdout.len()), (Some(2), 0));
    assert!(text(&out.stderr).contains("line 1:"));
}

#[test]
fn missing_or_invalid_configuration_is_one_error_line_and_exit_code_2() {
    for args in [
        &["serve"] as &[&str],
        &["check"],
        &["check", "--webpush", "/nowhere.toml"],
        &["serve", "--webpush", path(&file("listen = 7\n"))],
        &["serve", "--webpush", path(&file(""))],
    ] {
        let out = run(args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert_eq!(
            text(&out.stderr).lines().count(),
            1,
            "{args:?}: {}",
            text(&out.stderr)
        );
    }
    assert!(text(&run(&["version"]).stdout).starts_with("cranehill "));
}

/// Guards the division of the fleet's limits by the number of senders: 0 would be a division by zero, and billions would
/// leave each sender a quota too small to use.
#[test]
fn invalid_sender_count_is_an_error_with_its_key() {
    let state = tempfile::tempdir().expect("temporary folder created");
    let valid_config = common::config_text(&common::list(1, &[]));
    for (sender_count, expected_error) in [
        (r#""nInstances":0"#, "settings.nInstances: 0 senders"),
        (
            r#""nInstances":4000000000"#,
            "settings.nInstances: 4000000000 senders",
        ),
        (r#""nInstances":-1"#, "invalid value"),
        // Any other key in place of `nInstances`.
        (r#""others":1"#, "missing field `nInstances`"),
    ] {
        let config = file(&valid_config.replace(r#""nInstances":1"#, sender_count));
        let out = Command::new(env!("CARGO_BIN_EXE_cranehill"))
            .arg("serve")
            .env("NODE_CONFIG", config.path())
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("NODE_DISCOVERY", "127.0.0.1:1")
            .env("NODE_STATE", state.path())
            .output()
            .expect("cranehill program started");
        let stderr = text(&out.stderr);
        assert_eq!(
            (out.status.code(), stderr.lines().count()),
            (Some(2), 1),
            "{sender_count}: {stderr}"
        );
        assert!(stderr.contains(expected_error), "{sender_count}: {stderr}");
    }
}

/// Names used up to version 0.2 remain aliases of the current ones.
#[test]
fn renamed_commands_and_options_accept_their_old_names() {
    let renamed: [(&[&str], &[&str], i32, &str); 5] = [
        (&["fleet-test"], &["rig"], 0, "membership"),
        (
            &["crash-test", "--kills", "0"],
            &["kills", "--kills", "0"],
            2,
            "0 is not in 1..",
        ),
        (
            &["rehearse", "--mutations", "program", "--senders", "2"],
            &["rehearse", "--breakages", "program", "--senders", "2"],
            2,
            "'--mutations <PROGRAM>' cannot be used with",
        ),
        (
            &[
                "fleet-test",
                "--members-only",
                "--simulated",
                "9",
                "--duration",
                "0",
            ],
            &["rig", "--members-only", "--hollow", "9", "--lasts", "0"],
            2,
            "duration: ",
        ),
        (
            &["fleet-test", "--members-only", "--cut-duration", "x"],
            &["rig", "--members-only", "--cut-lasts", "x"],
            2,
            "invalid value 'x' for '--cut-duration",
        ),
    ];
    for (current, old, code, expected) in renamed {
        for arguments in [current, old] {
            let out = run(arguments);
            let output = text(&out.stdout) + &text(&out.stderr);
            assert_eq!(out.status.code(), Some(code), "{arguments:?}: {output}");
            assert!(output.contains(expected), "{arguments:?}: {output}");
        }
    }
}
