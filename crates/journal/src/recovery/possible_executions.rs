//! Attempts that damage may hide: until they have ended, the messages affected count as possibly executed.

use crate::format::record::JournalRecord;
use crate::index::{Index, StoredFrame};
use crate::scan::DamagedRange;

/// Attempts that a damaged range may hide, as [`JournalRecord::PossiblyExecuted`] records them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PossibleExecutions {
    /// Messages accepted under this log number or a later one are not affected.
    pub(crate) accepted_before: u64,
    /// Attempts that one message may have had besides those known.
    pub(crate) attempts: u32,
    /// Unix time in milliseconds by which all messages affected have ended.
    pub(crate) until_ms: u64,
    /// The frame that records it; `None` if none does yet.
    pub(crate) frame: Option<StoredFrame>,
}

impl PossibleExecutions {
    /// The record to be written.
    pub(crate) fn to_record(self) -> JournalRecord<'static> {
        JournalRecord::PossiblyExecuted {
            accepted_before: self.accepted_before,
            attempts: self.attempts,
            until_ms: self.until_ms,
        }
    }
}

/// Adds a recorded one; where the same damage is recorded twice, the higher number of attempts counts.
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

/// Adds what the damage found now may hide to what earlier processes recorded. Damage that was found before yields
/// the same log number, and counts once.
pub(super) fn add_found(
    recorded: &mut Vec<PossibleExecutions>,
    damage: &[DamagedRange],
    index: &mut Index,
) {
    for found in by_log_number(damage) {
        match find(recorded, found.accepted_before) {
            // More than is recorded: to be recorded anew.
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

/// What damage may hide, with the attempts of all ranges that affect the same messages added up.
fn by_log_number(damage: &[DamagedRange]) -> Vec<PossibleExecutions> {
    let mut all: Vec<PossibleExecutions> = Vec::new();
    for range in damage.iter().filter(|range| range.max_attempts > 0) {
        match find(&mut all, range.accepted_before) {
            Some(known) => known.attempts = known.attempts.saturating_add(range.max_attempts),
            None => all.push(PossibleExecutions {
                accepted_before: range.accepted_before,
                attempts: range.max_attempts,
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
