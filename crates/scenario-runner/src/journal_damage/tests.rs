//! Compares the reported damage with what the journal recovers.

use std::collections::BTreeSet;

use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Options};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{accepted, damage, read_rows};

fn record(n: u64) -> Record {
    let (id, at, deadline) = (format!("n{n}"), n, 20_000_000_000);
    let body = vec![n as u8; 40];
    Record::Accepted {
        id,
        class: 0,
        tenant: 0,
        destination: 1,
        idempotency_key: None,
        ordering_key: None,
        deadline,
        accepted_at: at,
        body: body.into(),
    }
}

/// A message reported as lost that the journal still recovers, or the reverse, would make the auditor judge the sender wrongly. Each
/// seed damages a new folder with two segments: a truncated one loses messages and makes later ones possibly executed, a torn frame
/// loses none.
#[test]
fn damage_reports_exactly_the_unreadable_messages_as_lost() {
    let (mut lost_counts, mut torn_count) = (BTreeSet::new(), 0);
    for seed in 0..40 {
        let folder = tempfile::tempdir().expect("a folder");
        let options = Options {
            disk_bytes: 1 << 20,
            operator_key: None,
            fresh_key: Default::default(),
            segment_bytes: None,
        };
        let open = || {
            Journal::open(
                Folder::new(folder.path(), 1 << 20).expect("a folder"),
                &options,
                0,
            )
        };
        for segment_index in 0..2 {
            let (mut journal, _) = open().expect("the journal opens");
            for n in 0..10 {
                journal
                    .append(1, &[record(10 * segment_index + n)])
                    .expect("appended");
            }
        }
        let damaged = damage(folder.path(), &mut ChaCha8Rng::seed_from_u64(seed))
            .expect("the journal can be damaged")
            .expect("there is a journal");
        let remaining = accepted(&read_rows(folder.path()).expect("the journal is readable"));
        assert_eq!(
            remaining.len() + damaged.lost.len(),
            20,
            "seed {seed}: {damaged:?}"
        );
        let (_, recovered) = open().unwrap_or_else(|e| panic!("seed {seed}: {damaged:?}: {e}"));
        assert_eq!(
            recovered.counts.open as usize,
            remaining.len(),
            "seed {seed}: {damaged:?}"
        );
        if damaged.new_size > damaged.size {
            torn_count += 1;
            assert!(
                damaged.lost.is_empty()
                    && recovered.possibly_executed == 0
                    && recovered.torn_write.is_some(),
                "seed {seed}: {damaged:?}"
            );
        } else {
            // The records of the second segment were written after the truncated ones, so its messages are possibly executed.
            assert!(
                recovered.possibly_executed >= 10 - damaged.lost.len(),
                "seed {seed}: {damaged:?}: {}",
                recovered.possibly_executed
            );
        }
        lost_counts.insert(damaged.lost.len());
    }
    assert!(
        lost_counts.len() > 5 && torn_count > 5,
        "too little variety: lost messages {lost_counts:?}, {torn_count} torn frames"
    );
}
