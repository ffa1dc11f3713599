//! Replays the journal records of an earlier process, to find the messages that have not ended and their attempts.

use std::collections::{BTreeMap, HashMap};

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Class, Effect as ClassEffect, EndpointId, MessageId, OrderingKey};

use crate::completed::CompletedIds;
use crate::effect::Record;
use crate::final_reports::{FinalReports, PendingReport};
use crate::message::{Message, Origin};
use crate::mutation::{self, Mutation};
use crate::pending_message::PossibleExecution;

/// A message that has not ended according to the journal.
pub(crate) struct RecoveredMessage {
    pub(crate) message: Message,
    pub(crate) deadline: Time,
    pub(crate) possibly_executed: Option<PossibleExecution>,
}

impl RecoveredMessage {
    /// Until when the message can be sent: its deadline or, if it was possibly executed and its class is idempotent,
    /// the end of the idempotency window, whichever is earlier.
    fn sendable_until(&self, classes: &[Class]) -> Time {
        let class = classes
            .get(self.message.class)
            .filter(|class| class.effect == ClassEffect::Idempotent);
        match (class, &self.possibly_executed) {
            (Some(class), Some(first)) => self.deadline.min(first.at + class.dedup_window),
            _ => self.deadline,
        }
    }
}

/// Messages that have not ended, in the order in which they were accepted.
#[derive(Default)]
struct OpenMessages {
    by_position: BTreeMap<usize, RecoveredMessage>,
    positions: HashMap<MessageId, usize>,
    next_position: usize,
}

impl OpenMessages {
    /// Appends a message. An earlier message with the same id is removed.
    fn insert(&mut self, recovered: RecoveredMessage) {
        let id = MessageId(recovered.message.id.clone());
        self.remove(&id);
        self.positions.insert(id, self.next_position);
        self.by_position.insert(self.next_position, recovered);
        self.next_position += 1;
    }

    fn get_mut(&mut self, id: &MessageId) -> Option<&mut RecoveredMessage> {
        let position = self.positions.get(id)?;
        self.by_position.get_mut(position)
    }

    fn remove(&mut self, id: &MessageId) {
        if let Some(position) = self.positions.remove(id) {
            self.by_position.remove(&position);
        }
    }
}

/// Replays records in the order of the journal. Returns the messages that have not ended, in the order in which they
/// were accepted. Adds unacknowledged final reports to `final_reports`, and ids of ended messages to `completed`.
pub(crate) fn replay(
    now: Time,
    records: Vec<Record>,
    final_reports: &mut FinalReports,
    completed: &mut CompletedIds,
) -> Vec<RecoveredMessage> {
    let mut open = OpenMessages::default();
    for record in records {
        match record {
            Record::Accepted { .. } => {
                if let Some(recovered) = recover_message(now, record) {
                    open.insert(recovered);
                }
            }
            Record::AttemptStarted {
                id,
                attempt,
                endpoint,
                started_at,
            } => {
                if let Some(pending) = open.get_mut(&MessageId(id)) {
                    pending.message.attempts_used = pending.message.attempts_used.max(attempt + 1);
                    let started = PossibleExecution {
                        at: Time(started_at),
                        endpoint: EndpointId(endpoint),
                        attempt,
                    };
                    pending.possibly_executed.get_or_insert(started);
                }
            }
            Record::AttemptFinished {
                id,
                attempt,
                not_executed,
            } => {
                if let Some(pending) = open.get_mut(&MessageId(id)) {
                    let possibly_executed = &mut pending.possibly_executed;
                    possibly_executed.take_if(|first| not_executed && first.attempt == attempt);
                }
            }
            Record::FinalReportDue {
                id,
                final_report,
                ordering_key,
            } => {
                let id = MessageId(id);
                open.remove(&id);
                completed.remember(now, &id);
                let report = PendingReport {
                    final_report,
                    ordering_key: ordering_key.map(OrderingKey),
                };
                final_reports.insert(id, report);
            }
            Record::Completed {
                id,
                remembered_until,
            } => {
                let id = MessageId(id);
                open.remove(&id);
                final_reports.remove(&id);
                completed.restore(now, &id, Time(remembered_until));
            }
        }
    }
    open.by_position.into_values().collect()
}

/// The message of a [`Record::Accepted`]; `None` for other records.
fn recover_message(now: Time, record: Record) -> Option<RecoveredMessage> {
    let Record::Accepted {
        id,
        class,
        tenant,
        destination,
        idempotency_key,
        ordering_key,
        deadline,
        accepted_at: _,
        body,
    } = record
    else {
        return None;
    };
    let deadline = Time(deadline);
    let message = Message {
        id,
        class,
        tenant,
        destination,
        idempotency_key,
        ordering_key: ordering_key.filter(|_| !mutation::is_enabled(Mutation::ForgetsOrder)),
        body,
        time_left: deadline - now,
        attempts_used: 0,
        envelope: None,
        origin: Origin::Restored,
    };
    Some(RecoveredMessage {
        message,
        deadline,
        possibly_executed: None,
    })
}

/// The latest time to hand over each of these messages to the scheduler: until when it can be sent, but not later than
/// any message with the same ordering key that was accepted after it.
pub(crate) fn hand_over_deadlines(messages: &[RecoveredMessage], classes: &[Class]) -> Vec<Time> {
    let mut deadlines: Vec<Time> = messages
        .iter()
        .map(|recovered| recovered.sendable_until(classes))
        .collect();
    let mut earliest_by_key: HashMap<&str, Time> = HashMap::new();
    for (recovered, deadline) in messages.iter().zip(&mut deadlines).rev() {
        if let Some(key) = &recovered.message.ordering_key {
            let earliest = earliest_by_key.entry(key).or_insert(*deadline);
            *earliest = (*earliest).min(*deadline);
            *deadline = *earliest;
        }
    }
    deadlines
}
