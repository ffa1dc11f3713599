//! Records and journals that several tests use.

use std::sync::Arc;

use cranehill_core::Record;
use cranehill_journal::{Journal, Memory};

use super::{LIFETIME_MS, NANOS_PER_MS, START_MS, open};

pub(crate) fn accepted(id: &str, size: usize) -> Record {
    Record::Accepted {
        id: id.into(),
        class: 0,
        tenant: 1,
        destination: 7,
        idempotency_key: Some("k".into()),
        ordering_key: None,
        deadline: (START_MS + LIFETIME_MS) * NANOS_PER_MS,
        accepted_at: START_MS * NANOS_PER_MS,
        body: Arc::from(vec![7; size]),
    }
}

pub(crate) fn attempt_started(id: &str, attempt: u32) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt,
        endpoint: "e".into(),
        started_at: (START_MS + 5) * NANOS_PER_MS,
    }
}

pub(crate) fn attempt_finished(id: &str, attempt: u32) -> Record {
    Record::AttemptFinished {
        id: id.into(),
        attempt,
        not_executed: true,
    }
}

pub(crate) fn completed(id: &str) -> Record {
    Record::Completed {
        id: id.into(),
        remembered_until: (START_MS + LIFETIME_MS) * NANOS_PER_MS,
    }
}

pub(crate) fn open_ids(records: &[Record]) -> Vec<&str> {
    records
        .iter()
        .filter(|r| matches!(r, Record::Accepted { .. }))
        .map(Record::id)
        .collect()
}

pub(crate) fn segments(files: &Memory) -> Vec<String> {
    files
        .files
        .keys()
        .filter(|n| n.ends_with(".seg"))
        .cloned()
        .collect()
}

/// `size` incompressible bytes, determined by `n`.
pub(crate) fn noise(n: usize, size: usize) -> Arc<[u8]> {
    let mut state = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (0..size)
        .map(|_| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) as u8
        })
        .collect()
}

/// A journal with `n` pending messages, each with one attempt, in many segments. Each message has its own batch.
pub(crate) fn filled(n: usize) -> Journal<Memory> {
    let (mut journal, _) = open(Memory::new(256 * 1024), START_MS);
    for i in 0..n {
        let id = format!("m{i:03}");
        let mut records = vec![accepted(&id, 0), attempt_started(&id, 0)];
        if let Record::Accepted { body, .. } = &mut records[0] {
            *body = noise(i, 100);
        }
        journal.append(START_MS + i as u64, &records).expect("room");
    }
    journal
}
