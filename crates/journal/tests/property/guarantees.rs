//! The guarantees of recovery, which hold even if files are damaged.

use std::collections::BTreeMap;

use cranehill_core::{FinalReport, Record};
use cranehill_journal::{DamagedRange, Recovered};

use crate::common::{MessageModel, Model, NANOS_PER_MS};

/// The recovered records as the sender reads them, by message.
pub(crate) fn read(records: &[Record]) -> BTreeMap<String, MessageModel> {
    let mut model = Model::default();
    model.append(records);
    model.messages
}

/// A guarantee that a recovery violates.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BrokenGuarantee {
    #[error("{id} has ended, but is open again")]
    Reopened { id: String },
    #[error("{id}: {found} attempts known of {expected}")]
    AttemptsForgotten {
        id: String,
        found: u32,
        expected: u32,
    },
    #[error("{id} may have been executed, but does not count as possibly executed")]
    ExecutionForgotten { id: String },
    #[error("{id} is open, but was recovered as ended")]
    Ended { id: String },
    #[error("{id} has a final report due, but was not recovered")]
    FinalReportForgotten { id: String },
    #[error("{id} is not remembered")]
    NotRemembered { id: String },
    #[error("{lost} messages are lost and {counted} counted: {damage:?}")]
    LossNotCounted {
        lost: u64,
        counted: u64,
        damage: Vec<DamagedRange>,
    },
}

/// Checks the guarantees that hold even with damage; without damage, equality with the model holds.
pub(crate) fn check_guarantees(
    model: &Model,
    found: &Recovered,
    now: u64,
) -> Result<(), BrokenGuarantee> {
    let messages = read(&found.records);
    let mut lost = 0;
    for (id, expected) in &model.messages {
        match messages.get(id) {
            Some(message) => check_found(id, expected, message, found)?,
            None if expected.is_open() => lost += 1,
            None => check_forgotten(id, expected, found, now)?,
        }
    }
    let counted: u64 = found.damage.iter().map(|d| u64::from(d.max_messages)).sum();
    if lost > counted {
        let damage = found.damage.clone();
        return Err(BrokenGuarantee::LossNotCounted {
            lost,
            counted,
            damage,
        });
    }
    Ok(())
}

fn check_found(
    id: &str,
    expected: &MessageModel,
    message: &MessageModel,
    found: &Recovered,
) -> Result<(), BrokenGuarantee> {
    let id = id.to_owned();
    let damaged = !found.damage.is_empty();
    if message.is_open() && expected.has_ended() {
        // Damage may have destroyed the record of its end; then it must count as possibly executed.
        return if damaged && message.is_possibly_executed() {
            Ok(())
        } else {
            Err(BrokenGuarantee::Reopened { id })
        };
    }
    if message.is_open() {
        if message.attempts() < expected.attempts() {
            return Err(BrokenGuarantee::AttemptsForgotten {
                id,
                found: message.attempts(),
                expected: expected.attempts(),
            });
        }
        if expected.is_possibly_executed() && !message.is_possibly_executed() {
            return Err(BrokenGuarantee::ExecutionForgotten { id });
        }
        return Ok(());
    }
    let failed = matches!(
        message.final_report,
        Some(Record::FinalReportDue {
            final_report: FinalReport::Failed,
            ..
        })
    );
    let concluded = damaged && failed && found.lost_messages.iter().any(|lost| lost.id == id);
    if expected.is_open() && !concluded {
        return Err(BrokenGuarantee::Ended { id });
    }
    Ok(())
}

fn check_forgotten(
    id: &str,
    expected: &MessageModel,
    found: &Recovered,
    now: u64,
) -> Result<(), BrokenGuarantee> {
    let id = id.to_owned();
    if !found.damage.is_empty() {
        return Ok(());
    }
    match expected.completed_until {
        Some(until) if until > now * NANOS_PER_MS => Err(BrokenGuarantee::NotRemembered { id }),
        None if expected.final_report.is_some() => {
            Err(BrokenGuarantee::FinalReportForgotten { id })
        }
        _ => Ok(()),
    }
}
