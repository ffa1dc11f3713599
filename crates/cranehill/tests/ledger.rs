//! The journal on disk.

use std::sync::Arc;

use cranehill::core::{Closing, Record};
use cranehill::ledger::Ledger;
use tempfile::TempDir;

fn folder() -> TempDir {
    tempfile::tempdir().expect("a folder")
}

fn taken(id: &str, body: &[u8]) -> Record {
    Record::Taken {
        id: id.into(),
        class: 0,
        station: 1,
        partner: 7,
        key: Some("k".into()),
        deadline: 99,
        body: Arc::from(body),
    }
}

fn some() -> Vec<Record> {
    vec![
        taken("a", b"any \n bytes \0\xff"),
        Record::Sent { id: "a".into(), attempt: 0, endpoint: "e".into(), at: 5 },
        Record::Back { id: "a".into(), attempt: 0, never_ran: true },
        Record::Closing { id: "a".into(), closing: Closing::Returned { after_ms: 500 } },
        Record::Over { id: "a".into() },
    ]
}

const DISK: u64 = 3_000_000;

#[test]
fn what_was_written_is_read_again() {
    let folder = folder();
    let dir = folder.path();
    let (mut ledger, found) = Ledger::open(dir, DISK).expect("opened");
    assert!(found.is_empty());
    ledger.append(&some()[..2]).expect("written");
    ledger.append(&some()[2..]).expect("written");
    assert_eq!(Ledger::open(dir, DISK).expect("opened").1, some());
}

#[test]
fn cut_anywhere_it_holds_the_records_before_the_cut_and_goes_on_from_there() {
    let folder = folder();
    let dir = folder.path();
    Ledger::open(dir, DISK).expect("opened").0.append(&some()).expect("written");
    let whole = std::fs::read(dir.join("ledger")).expect("bytes");
    let mut seen = 0;
    for cut in 0..whole.len() {
        std::fs::write(dir.join("ledger"), &whole[..cut]).expect("cut");
        let (mut ledger, found) = Ledger::open(dir, DISK).expect("opened");
        assert_eq!(found, some()[..found.len()], "cut at {cut}");
        assert!(found.len() >= seen && found.len() < some().len());
        seen = found.len();
        ledger.append(&[Record::Over { id: "z".into() }]).expect("written");
        assert_eq!(Ledger::open(dir, DISK).expect("opened").1.len(), found.len() + 1);
    }
    assert_eq!(seen, some().len() - 1);
}

#[test]
fn a_swap_cut_short_by_a_kill_is_ignored() {
    let folder = folder();
    let dir = folder.path();
    Ledger::open(dir, DISK).expect("opened").0.append(&some()).expect("written");
    std::fs::write(dir.join("ledger.new"), b"half").expect("written");
    assert_eq!(Ledger::open(dir, DISK).expect("opened").1, some());
    assert!(!dir.join("ledger.new").exists());
}

#[test]
fn it_is_rewritten_well_under_the_folders_limit_and_stays_so() {
    let folder = folder();
    let dir = folder.path();
    let (mut ledger, _) = Ledger::open(dir, DISK).expect("opened");
    let size = || std::fs::metadata(dir.join("ledger")).expect("a file").len();
    let mut rewritten = 0;
    for n in 0..5000 {
        let id = format!("m{n}");
        ledger.append(&[taken(&id, &[7; 1000]), Record::Over { id }]).expect("written");
        if ledger.wants_rewrite() {
            let before = size();
            ledger.rewrite(&[taken("live", &[1; 5000])]).expect("rewritten");
            rewritten += 1;
            assert!(before + size() < DISK * 4 / 5, "both files count: {before} and {}", size());
        }
    }
    assert!(rewritten > 3 && size() < DISK / 2);
}

#[test]
fn a_full_ledger_takes_nothing_more_on_but_still_closes_what_is_owed() {
    let folder = folder();
    let dir = folder.path();
    let (mut ledger, _) = Ledger::open(dir, DISK).expect("opened");
    let mut live = Vec::new();
    while ledger.has_room(65_000) {
        let record = taken(&format!("m{}", live.len()), &[7; 64_000]);
        ledger.append(std::slice::from_ref(&record)).expect("there is room");
        live.push(record);
        if ledger.wants_rewrite() {
            ledger.rewrite(&live).expect("rewritten");
        }
    }
    assert!(live.len() > 8);
    for n in 0..1000 {
        ledger
            .append(&[Record::Back { id: "m0".into(), attempt: n, never_ran: true }])
            .expect("room is kept");
        if ledger.wants_rewrite() {
            ledger.rewrite(&live).expect("rewritten");
        }
    }
    let beyond = vec![taken("beyond", &[7; 64_000]); 20];
    assert!(ledger.append(&beyond).is_err());
    // A refused write leaves no trace.
    assert!(ledger.append(&[Record::Over { id: "m1".into() }]).is_ok());
    let found = Ledger::open(dir, DISK).expect("opened").1;
    assert_eq!(found.last(), Some(&Record::Over { id: "m1".into() }));
}
