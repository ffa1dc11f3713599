//! Possible executions: attempts whose records damage may have destroyed. The affected messages count as possibly
//! executed until they have ended.

use crate::format::record::JournalRecord;
use crate::index::{Index, StoredFrame};
use crate::scan::DamagedRange;

/// Attempts whose records damage may have destroyed; persisted as [`JournalRecord::PossiblyExecuted`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PossibleExecutions {
    /// Messages accepted under this log number or a later one are not affected.
    pub(crate) accepted_before: u64,
    /// Upper bound on one message's attempts without a readable record.
    pub(crate) attempts: u32,
    /// Unix time in milliseconds by which all affected messages have ended.
    pub(crate) until_ms: u64,
    /// The frame that contains the record; `None` until it is written.
    pub(crate) frame: Option<StoredFrame>,
}

impl PossibleExecutions {
    /// The journal record for these possible executions.
    pub(crate) fn to_record(self) -> JournalRecord<'static> {
        JournalRecord::PossiblyExecuted {
            accepted_before: self.accepted_before,
            attempts: self.attempts,
            until_ms: self.until_ms,
        }
    }
}

/// Adds possible executions from a journal record. Of two records with the same `accepted_before`, the higher number of
/// attempts applies.
pub(super) fn add_recorded(
    all: &mut Vec<PossibleExecutions>,
    recorded: PossibleExecutions,
    index: &mut Index,
) {
    match find(all, recorded.accepted_before) {
        Some(known) => known.attempts = known.attempts.max(recorded.attempts),
        None => {
            if let Some(frame) = recorded.frame {
                index.add_live(frame);
            }
            all.push(recorded);
        }
    }
}

/// Adds the possible executions that follow from `damage` to the recorded ones. Damage that an earlier process has
/// recorded yields the same `accepted_before`, and is not added again.
pub(super) fn add_found(
    recorded: &mut Vec<PossibleExecutions>,
    damage: &[DamagedRange],
    index: &mut Index,
) {
    for found in by_accepted_before(damage) {
        match find(recorded, found.accepted_before) {
            // More attempts than recorded: a new record has to be written.
            Some(known) if known.attempts < found.attempts => {
                known.attempts = found.attempts;
                if let Some(frame) = known.frame.take() {
                    index.subtract_live(frame);
                }
            }
            Some(_) => {}
            None => recorded.push(found),
        }
    }
}

/// The possible executions that follow from `damage`: one for each value of `accepted_before`, with the sum of the attempts
/// of all ranges that have it.
fn by_accepted_before(damage: &[DamagedRange]) -> Vec<PossibleExecutions> {
    let mut all: Vec<PossibleExecutions> = Vec::new();
    for range in damage.iter().filter(|range| range.max_attempts > 0) {
        match find(&mut all, range.accepted_before) {
            Some(known) => known.attempts = known.attempts.saturating_add(range.max_attempts),
            None => all.push(PossibleExecutions {
                accepted_before: range.accepted_before,
                attempts: range.max_attempts,
                // Set once the deadlines of all recovered messages are known.
                until_ms: 0,
                frame: None,
            }),
        }
    }
    all
}

fn find(all: &mut [PossibleExecutions], accepted_before: u64) -> Option<&mut PossibleExecutions> {
    all.iter_mut()
        .find(|known| known.accepted_before == accepted_before)
}
