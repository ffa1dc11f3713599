use super::{Entry, EntryState, Index, Joined, MessageCounts, RecordEntry, StoredFrame};
use crate::format::packed_id::PackedId;
use crate::format::record::RecordKind;

const FRAME_BYTES: u32 = 100;

fn frame(sequence: u32) -> StoredFrame {
    StoredFrame {
        sequence,
        len: FRAME_BYTES,
    }
}

fn record(accepted_lsn: u64, kind: RecordKind, until: u64, sequence: u32) -> RecordEntry {
    RecordEntry {
        accepted_lsn,
        kind,
        remember_until_ms: until,
        frame: frame(sequence),
    }
}

fn entry<'a>(index: &'a Index, id: &PackedId) -> Option<&'a Entry> {
    index.entry(index.slot(id)?)
}

/// One record of each kind of a message, with the segment that it is in.
fn records() -> [(RecordKind, u32); 5] {
    [
        (RecordKind::Accepted, 1),
        (RecordKind::AttemptStarted(0), 2),
        (RecordKind::AttemptFinished(0), 3),
        (RecordKind::FinalReportDue, 4),
        (RecordKind::Completed, 5),
    ]
}

/// The `n`th of the 120 permutations of the five records.
fn permutation(n: usize) -> Vec<(RecordKind, u32)> {
    let (mut remaining, mut order, mut rest) = (records().to_vec(), Vec::new(), n);
    for of in (1..=5).rev() {
        order.push(remaining.remove(rest % of));
        rest /= of;
    }
    order
}

/// The stage of a message as a number. Checks that its live frames are the expected ones.
fn stage(state: &EntryState, open_frames: usize) -> usize {
    match state {
        EntryState::Open(frames) => {
            assert_eq!(frames.len(), open_frames);
            0
        }
        EntryState::FinalReportDue(frame) => {
            assert_eq!(frame.sequence, 4);
            1
        }
        EntryState::Completed { frame, .. } => {
            assert_eq!(frame.sequence, 5);
            2
        }
    }
}

/// Compaction changes the order of records, and a kill during it may leave two copies of one.
#[test]
fn state_is_independent_of_the_order_and_repetition_of_records() {
    let id = PackedId::new("aa");
    for n in 0..120usize {
        let order = permutation(n);
        for count in 1..=5 {
            let mut index = Index::new(&[1; 32]);
            let mut expected = 0;
            for &(kind, sequence) in order[..count].iter().chain(&order[..count]) {
                index.join(&id, record(7, kind, 50, sequence));
                expected = expected.max(match kind {
                    RecordKind::Completed => 2,
                    RecordKind::FinalReportDue => 1,
                    _ => 0,
                });
            }
            let stage = stage(&entry(&index, &id).expect("an entry").state, count);
            assert_eq!(stage, expected, "{order:?} of {count}");
            let live: u64 = (1..=5).map(|s| index.live_bytes(s)).sum();
            let live_frames = if stage == 0 { count as u64 } else { 1 };
            assert_eq!(live, live_frames * u64::from(FRAME_BYTES));
        }
    }
}

/// If a completion were removed before the other records of its message, the message would be pending again.
#[test]
fn a_completion_stays_live_while_other_records_of_its_message_are_on_disk() {
    let id = PackedId::new("aa");
    let mut index = Index::new(&[1; 32]);
    let slot = index.join(&id, record(7, RecordKind::Accepted, 0, 1)).0;
    index.join(&id, record(7, RecordKind::AttemptStarted(0), 0, 2));
    index.join(&id, record(7, RecordKind::Completed, 50, 3));
    index.segment_removed(1, &[slot]);
    index.expire(60, 10);
    assert!(
        index.is_live(slot, 7, RecordKind::Completed, 3),
        "the attempt's record is still on disk"
    );
    index.relocated(slot, RecordKind::Completed, 3, frame(4));
    index.segment_removed(2, &[slot]);
    assert!(entry(&index, &id).is_none() && index.live_bytes(4) == 0);
    // In the other order: first the records are removed, then the completion expires.
    let slot = index.join(&id, record(9, RecordKind::Accepted, 0, 5)).0;
    index.join(&id, record(9, RecordKind::Completed, 80, 6));
    index.segment_removed(5, &[slot]);
    index.expire(79, 10);
    assert!(index.is_live(slot, 9, RecordKind::Completed, 6));
    index.expire(80, 10);
    assert!(entry(&index, &id).is_none());
    assert_eq!(
        (index.counts(), index.reserved_bytes()),
        (MessageCounts::default(), 0)
    );
}

#[test]
fn a_reused_id_is_a_new_incarnation() {
    let id = PackedId::new("aa");
    let mut index = Index::new(&[1; 32]);
    index.join(&id, record(7, RecordKind::Accepted, 0, 1));
    let slot = index.join(&id, record(7, RecordKind::Completed, 50, 1)).0;
    assert_eq!(
        index.join(&id, record(20, RecordKind::Accepted, 0, 2)),
        (slot, Joined::NewIncarnation)
    );
    assert_eq!(
        index.join(&id, record(7, RecordKind::Completed, 50, 3)).1,
        Joined::Dead
    );
    assert_eq!(
        index
            .join(&id, record(7, RecordKind::AttemptStarted(0), 0, 3))
            .1,
        Joined::Dead
    );
    let one_open = MessageCounts {
        open: 1,
        ..MessageCounts::default()
    };
    assert_eq!(
        (index.counts(), index.live_bytes(1), index.live_bytes(2)),
        (one_open, 0, u64::from(FRAME_BYTES))
    );
}
