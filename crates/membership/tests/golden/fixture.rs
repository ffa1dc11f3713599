//! Reads golden files and compares results with them. A golden file has one named byte string per line, as `name hex`, or plain
//! lines of text.

use std::fs;
use std::path::PathBuf;

/// A named byte string of a golden file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) bytes: Vec<u8>,
}

impl Entry {
    pub(crate) fn new(name: impl Into<String>, bytes: Vec<u8>) -> Entry {
        Entry {
            name: name.into(),
            bytes,
        }
    }

    fn parse(line: &str) -> Entry {
        let (name, hex) = line.rsplit_once(' ').expect("a golden line is `name hex`");
        Entry::new(name, from_hex(hex))
    }
}

fn from_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "hex has two digits a byte");
    let digits = |i| hex.get(i..i + 2).expect("hex is ASCII");
    let byte = |i| u8::from_str_radix(digits(i), 16).expect("hex has hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file)
}

/// The entries of a golden file.
pub(crate) fn load(file: &str) -> Vec<Entry> {
    let text = fs::read_to_string(path(file)).expect("the golden file is committed");
    text.lines().map(Entry::parse).collect()
}

/// The bytes of the entry with a name, which must exist.
pub(crate) fn bytes_of(entries: &[Entry], name: &str) -> Vec<u8> {
    let entry = entries.iter().find(|entry| entry.name == name);
    entry
        .unwrap_or_else(|| panic!("{name} is missing from the golden file"))
        .bytes
        .clone()
}

/// Asserts that the produced entries equal those of a golden file in name, bytes and order.
pub(crate) fn assert_matches_file(file: &str, produced: &[Entry]) {
    let golden = load(file);
    let mut differences: Vec<String> = golden
        .iter()
        .zip(produced)
        .filter_map(|(golden, ours)| difference(golden, ours))
        .collect();
    if golden.len() != produced.len() {
        differences.push(format!(
            "{} entries became {}",
            golden.len(),
            produced.len()
        ));
    }
    assert!(
        differences.is_empty(),
        "{file}: {} differences\n{}",
        differences.len(),
        differences.join("\n")
    );
}

/// Asserts that the produced lines equal those of a golden file.
pub(crate) fn assert_matches_text(file: &str, produced: &[String]) {
    let text = fs::read_to_string(path(file)).expect("the golden file is committed");
    let golden: Vec<&str> = text.lines().collect();
    for (number, (golden, ours)) in golden.iter().zip(produced).enumerate() {
        assert_eq!(golden, ours, "{file}, line {}", number + 1);
    }
    assert_eq!(golden.len(), produced.len(), "{file}: number of lines");
}

/// Describes the first difference between an entry and the golden one: its name or an offset. `None` if they are equal.
fn difference(golden: &Entry, produced: &Entry) -> Option<String> {
    let Entry { name, bytes } = golden;
    if *name != produced.name {
        return Some(format!("{name}: became {}", produced.name));
    }
    if *bytes == produced.bytes {
        return None;
    }
    let common = bytes
        .iter()
        .zip(&produced.bytes)
        .take_while(|(golden, ours)| golden == ours)
        .count();
    let byte = |bytes: &[u8]| {
        bytes
            .get(common)
            .map_or("the end".to_owned(), |byte| format!("{byte:#04x}"))
    };
    Some(format!(
        "{name}: differs at offset {common}: {} became {}",
        byte(bytes),
        byte(&produced.bytes)
    ))
}
