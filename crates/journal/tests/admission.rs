//! Room that is set aside for admitted messages.

mod common;

use common::{START_MS, accepted, open};
use cranehill_journal::{AdmittedRoom, Memory};
use proptest::prelude::{Strategy, any, prop_assert_eq, prop_oneof, proptest};

const DISK_BYTES: u64 = 256 * 1024;

/// How an admitted message goes on.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It is appended, and its room is given back after that.
    Appended,
    /// It is answered with an error or a rejection, and nothing is appended.
    Rejected,
    /// It waits for a later step.
    Waits,
}

fn steps() -> impl Strategy<Value = Vec<(usize, End)>> {
    let end = prop_oneof![
        any::<bool>().prop_map(|_| End::Appended),
        any::<bool>().prop_map(|_| End::Rejected),
        any::<bool>().prop_map(|_| End::Waits),
    ];
    proptest::collection::vec((0usize..70_000, end), 1..60)
}

proptest! {
    /// Guards the journal's room against messages that are answered before they are appended: what was set aside for them was once
    /// given back by an append alone, so that a flood of errors left no room for any message (review/2).
    #[test]
    fn room_of_admitted_messages_is_given_back_however_they_end(steps in steps()) {
        let (mut journal, _) = open(Memory::new(DISK_BYTES), START_MS);
        let mut waiting: Vec<AdmittedRoom> = Vec::new();
        let mut expected = 0;
        for (number, (bytes, end)) in steps.into_iter().enumerate() {
            let before = journal.admitted_bytes();
            let Ok(room) = journal.admit(bytes) else {
                prop_assert_eq!(journal.admitted_bytes(), before);
                continue;
            };
            let held = journal.admitted_bytes() - before;
            match end {
                End::Appended => {
                    let record = accepted(&format!("m{number}"), 0);
                    let _ = journal.append(START_MS, &[record]);
                    drop(room);
                }
                End::Rejected => drop(room),
                End::Waits => {
                    expected += held;
                    waiting.push(room);
                }
            }
            prop_assert_eq!(journal.admitted_bytes(), expected);
        }
        drop(waiting);
        prop_assert_eq!(journal.admitted_bytes(), 0);
    }
}
