//! The reference model: every record ever appended, by message.

use std::collections::{BTreeMap, BTreeSet};

use cranehill_core::Record;
use cranehill_journal::Recovered;

use super::NANOS_PER_MS;

/// The records of one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MessageModel {
    /// The message's position in the order of acceptance.
    pub(crate) order: usize,
    pub(crate) accepted: Option<Record>,
    /// Records of started attempts, by the attempt's number.
    pub(crate) started: BTreeMap<u32, Record>,
    /// Whether a finished attempt is known not to have been executed, by the attempt's number.
    pub(crate) finished: BTreeMap<u32, bool>,
    pub(crate) final_report: Option<Record>,
    /// Unix time in nanoseconds until which the id is remembered.
    pub(crate) completed_until: Option<u64>,
}

impl MessageModel {
    pub(crate) fn is_open(&self) -> bool {
        self.accepted.is_some() && !self.has_ended()
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.final_report.is_some() || self.completed_until.is_some()
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.started
            .keys()
            .chain(self.finished.keys())
            .max()
            .map_or(0, |n| n + 1)
    }

    pub(crate) fn is_possibly_executed(&self) -> bool {
        self.started
            .keys()
            .any(|n| self.finished.get(n) != Some(&true))
    }
}

/// How a recovery differs from the model.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Mismatch {
    #[error("outstanding: found {found:?}\nexpected {expected:?}")]
    Outstanding {
        found: Vec<Record>,
        expected: Vec<Record>,
    },
    #[error("{id} is not remembered")]
    NotRemembered { id: String },
    #[error("{id} is remembered, but was not completed")]
    NotCompleted { id: String },
}

/// The reference model: the records appended so far, by message.
#[derive(Clone, Debug, Default)]
pub(crate) struct Model {
    pub(crate) messages: BTreeMap<String, MessageModel>,
}

impl Model {
    pub(crate) fn append(&mut self, records: &[Record]) {
        for record in records {
            let order = self.messages.len();
            let message = self
                .messages
                .entry(record.id().to_owned())
                .or_insert_with(|| MessageModel {
                    order,
                    ..MessageModel::default()
                });
            match record {
                Record::Accepted { .. } => message.accepted = Some(record.clone()),
                Record::AttemptStarted { attempt, .. } => {
                    message.started.insert(*attempt, record.clone());
                }
                Record::AttemptFinished {
                    attempt,
                    not_executed,
                    ..
                } => {
                    message.finished.insert(*attempt, *not_executed);
                }
                Record::FinalReportDue { .. } => message.final_report = Some(record.clone()),
                Record::Completed {
                    remembered_until, ..
                } => message.completed_until = Some(*remembered_until),
            }
        }
    }

    /// The records of final reports due and of pending messages that a recovery must find, in its order.
    pub(crate) fn outstanding(&self) -> Vec<Record> {
        let mut messages: Vec<(&String, &MessageModel)> = self.messages.iter().collect();
        messages.sort_by_key(|(_, message)| message.order);
        let mut records: Vec<Record> = messages
            .iter()
            .filter(|(_, message)| message.completed_until.is_none())
            .filter_map(|(_, message)| message.final_report.clone())
            .collect();
        for (id, message) in messages {
            if !message.is_open() {
                continue;
            }
            records.extend(message.accepted.clone());
            for (&attempt, started) in &message.started {
                records.push(started.clone());
                let finished = |&not_executed: &bool| Record::AttemptFinished {
                    id: id.clone(),
                    attempt,
                    not_executed,
                };
                records.extend(message.finished.get(&attempt).map(finished));
            }
        }
        records
    }

    /// Checks that a recovery without damage at `now` (Unix time in milliseconds) found exactly the records that it
    /// must. A completed message that need not be remembered any more may be found or not.
    pub(crate) fn check(&self, found: &Recovered, now: u64) -> Result<(), Mismatch> {
        let (completed, outstanding): (Vec<&Record>, Vec<&Record>) = found
            .records
            .iter()
            .partition(|r| matches!(r, Record::Completed { .. }));
        let expected = self.outstanding();
        if !outstanding.iter().copied().eq(expected.iter()) {
            return Err(Mismatch::Outstanding {
                found: outstanding.into_iter().cloned().collect(),
                expected,
            });
        }
        let remembered: BTreeSet<&str> = completed.into_iter().map(Record::id).collect();
        for (id, message) in &self.messages {
            let is_remembered = remembered.contains(id.as_str());
            match message.completed_until {
                Some(until) if until > now * NANOS_PER_MS && !is_remembered => {
                    return Err(Mismatch::NotRemembered { id: id.clone() });
                }
                None if is_remembered => return Err(Mismatch::NotCompleted { id: id.clone() }),
                _ => {}
            }
        }
        Ok(())
    }
}
