//! Damaged journals as the journal itself reads them.

use std::collections::BTreeSet;

use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Options};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{accepted, damage, read};

fn record(n: u64) -> Record {
    let (id, at, deadline) = (format!("n{n}"), n, 20_000_000_000);
    let body = vec![n as u8; 40];
    Record::Accepted {
        id,
        class: 0,
        tenant: 0,
        destination: 1,
        key: None,
        ordering_key: None,
        deadline,
        at,
        body: body.into(),
    }
}

/// Only what a cut removed counts as lost; the rest is recovered, and what may be missing of it is possibly executed. Each draw
/// damages a new folder of two segments.
#[test]
fn lost_messages_are_those_that_can_not_be_read() {
    let (mut lost, mut torn) = (BTreeSet::new(), 0);
    for seed in 0..40 {
        let folder = tempfile::tempdir().expect("a folder");
        let options = Options {
            disk: 1 << 20,
            key: None,
            fresh_key: Default::default(),
            segment: None,
        };
        let open = || {
            Journal::open(
                Folder::new(folder.path(), 1 << 20).expect("a folder"),
                &options,
                0,
            )
        };
        for half in 0..2 {
            let (mut journal, _) = open().expect("it opens");
            for n in 0..10 {
                journal
                    .append(1, &[record(10 * half + n)])
                    .expect("appended");
            }
        }
        let cut = damage(folder.path(), &mut ChaCha8Rng::seed_from_u64(seed))
            .expect("cut")
            .expect("a journal");
        let left = accepted(&read(folder.path()).expect("read"));
        assert_eq!(left.len() + cut.lost.len(), 20, "seed {seed}: {cut:?}");
        let (_, found) = open().unwrap_or_else(|e| panic!("seed {seed}: {cut:?}: {e}"));
        assert_eq!(
            found.counts.open as usize,
            left.len(),
            "seed {seed}: {cut:?}"
        );
        if cut.at > cut.size {
            torn += 1;
            assert!(
                cut.lost.is_empty() && found.possibly_executed == 0 && found.torn.is_some(),
                "seed {seed}: {cut:?}"
            );
        } else {
            // What stands in the later segment is of a later time than the damage.
            assert!(
                found.possibly_executed >= 10 - cut.lost.len(),
                "seed {seed}: {cut:?}: {}",
                found.possibly_executed
            );
        }
        lost.insert(cut.lost.len());
    }
    assert!(
        lost.len() > 5 && torn > 5,
        "cuts at many places: {lost:?}, {torn} torn"
    );
}
