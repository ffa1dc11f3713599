//! Golden files: committed bytes that every later build must read and write unchanged. Included by the golden tests of
//! several packages, with the files of the including package.

use std::path::PathBuf;

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

/// Reads a golden file; panics with its path if it can't be read.
pub(crate) fn read(name: &str) -> Vec<u8> {
    let path = path(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Panics with the path and the first differing offset unless `written` equals the golden file.
pub(crate) fn assert_unchanged(name: &str, written: &[u8]) {
    let expected = read(name);
    let shorter = expected.len().min(written.len());
    let offset = expected
        .iter()
        .zip(written)
        .position(|(old, new)| old != new)
        .unwrap_or(shorter);
    assert!(
        expected == written,
        "{}: first difference at offset {offset} ({} bytes committed, {} bytes written): {:02x?} became {:02x?}",
        path(name).display(),
        expected.len(),
        written.len(),
        expected.get(offset),
        written.get(offset),
    );
}
