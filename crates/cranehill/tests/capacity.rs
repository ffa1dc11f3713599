//! `cranehill capacity`: invalid input, and a run with small sizes compared with the figures of a page.

use std::path::Path;
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranehill"));
    command
        .arg("capacity")
        .args(args)
        .env_remove("NODE_CONFIG")
        .output()
        .expect("cranehill program started")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn path(path: &Path) -> &str {
    path.to_str().expect("path is valid UTF-8")
}

#[test]
fn invalid_sizes_are_one_error_line_with_file_and_line_and_exit_code_2() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let file = folder.path().join("sizes.toml");
    for (sizes, expected) in [
        (
            "# sizes\nmembers = [10, 0, 30]\n",
            "line 2: members: the size is 0; expected at least 1",
        ),
        (
            "backlog = [1, 2, 3000000000]\n",
            "line 1: backlog: the size 3000000000 is too large; expected at most 10000000",
        ),
        ("destinations = []\n", "destinations: no sizes"),
        ("destinations = [ten]\n", "line 1: "),
    ] {
        std::fs::write(&file, sizes).expect("file written");
        let out = run(&["--sizes", path(&file)]);
        let line = text(&out.stderr);
        assert_eq!(
            (out.status.code(), out.stdout.len(), line.lines().count()),
            (Some(2), 0, 1),
            "{line}"
        );
        assert!(
            line.contains(path(&file)) && line.contains(expected),
            "{line}"
        );
    }
    let out = run(&["--sweep", "hopes"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("--sweep: no sweep 'hopes'"));
    // The `events` sweep has no sizes, so a quick run of it is an error.
    assert_eq!(
        run(&["--quick", "--sweep", "events"]).status.code(),
        Some(2)
    );
}

#[test]
fn run_writes_figures_and_fails_if_the_page_states_better_ones() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let [sizes, page, out_dir] =
        ["sizes.toml", "page.md", "out"].map(|name| folder.path().join(name));
    std::fs::write(&sizes, "changes = [1, 2, 3]\n").expect("file written");
    let empty_page = "<!-- figures of the full run -->\n<!-- end of the full run -->\n\
                 <!-- figures of the quick run -->\n<!-- end of the quick run -->\n";
    std::fs::write(&page, empty_page).expect("file written");
    let common_args = ["--quick", "--sweep", "changes", "--sizes", path(&sizes)];
    let run_with = |more: &[&str]| run(&[&common_args[..], more].concat());

    let first = run_with(&["--update", path(&page), "--out", path(&out_dir)]);
    assert_eq!(first.status.code(), Some(0), "{}", text(&first.stderr));
    for name in ["figures.md", "figures.json", "changes.svg"] {
        assert!(out_dir.join(name).is_file(), "{name}");
    }
    let stated = std::fs::read_to_string(&page).expect("page read");
    let row = stated
        .lines()
        .find(|l| l.contains("`changes.discovery-bytes`"))
        .expect("a row for changes.discovery-bytes");
    let planned = row
        .split('|')
        .nth(7)
        .expect("cell with the figure for the planned size")
        .to_owned();

    let again = run_with(&["--page", path(&page)]);
    assert_eq!(again.status.code(), Some(0), "{}", text(&again.stdout));
    std::fs::write(&page, stated.replace(&planned, " 1,000 B ")).expect("file written");
    let missed = run_with(&["--page", path(&page)]);
    assert_eq!(missed.status.code(), Some(1), "{}", text(&missed.stdout));
    assert!(text(&missed.stdout).contains("MISSED: changes.discovery-bytes"));
    std::fs::write(
        &page,
        stated.replace("changes.discovery-bytes", "changes.hope"),
    )
    .expect("file written");
    let unknown = run_with(&["--page", path(&page)]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(
        text(&unknown.stderr).contains("line 7: no quantity 'changes.hope'"),
        "{}",
        text(&unknown.stderr)
    );
}
