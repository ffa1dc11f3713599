//! Replays the records that an earlier process left in the journal: which messages are open, and how far they are.

use std::collections::{BTreeMap, HashMap};

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Class, Effect as ClassEffect, EndpointId, MessageId, OrderingKey};

use crate::completed::CompletedIds;
use crate::effect::Record;
use crate::final_reports::{FinalReports, PendingReport};
use crate::message::{Message, Origin};
use crate::mutation::{self, Mutation};
use crate::pending_message::PossibleExecution;

/// A message that an earlier process left open.
pub(crate) struct RecoveredMessage {
    pub(crate) message: Message,
    pub(crate) deadline: Time,
    pub(crate) possibly_executed: Option<PossibleExecution>,
}

impl RecoveredMessage {
    /// Until when it can be sent: to its deadline, or, where it may have been executed, to the end of its idempotency
    /// window.
    fn last_chance(&self, classes: &[Class]) -> Time {
        let class = classes
            .get(self.message.class)
            .filter(|class| class.effect == ClassEffect::Idempotent);
        match (class, &self.possibly_executed) {
            (Some(class), Some(first)) => self.deadline.min(first.at + class.window),
            _ => self.deadline,
        }
    }
}

/// Open messages in the order in which they were accepted.
#[derive(Default)]
struct OpenMessages {
    by_position: BTreeMap<usize, RecoveredMessage>,
    positions: HashMap<MessageId, usize>,
    next_position: usize,
}

impl OpenMessages {
    /// Adds a message behind all others. An earlier one with its id is removed.
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

/// Replays records in the order of the journal. Returns the messages that are open in the end, in the order in which they
/// were accepted; reports that are not acknowledged and ids that have ended are added to their components.
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
                at,
            } => {
                if let Some(recovered) = open.get_mut(&MessageId(id)) {
                    recovered.message.spent = recovered.message.spent.max(attempt + 1);
                    let started = PossibleExecution {
                        at: Time(at),
                        endpoint: EndpointId(endpoint),
                        attempt,
                    };
                    recovered.possibly_executed.get_or_insert(started);
                }
            }
            Record::AttemptFinished {
                id,
                attempt,
                not_executed,
            } => {
                if let Some(recovered) = open.get_mut(&MessageId(id)) {
                    recovered
                        .possibly_executed
                        .take_if(|first| not_executed && first.attempt == attempt);
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
            Record::Completed { id, until } => {
                let id = MessageId(id);
                open.remove(&id);
                final_reports.remove(&id);
                completed.restore(now, &id, Time(until));
            }
        }
    }
    open.by_position.into_values().collect()
}

/// The message of a [`Record::Accepted`].
fn recover_message(now: Time, record: Record) -> Option<RecoveredMessage> {
    let Record::Accepted {
        id,
        class,
        tenant,
        destination,
        key,
        ordering_key,
        deadline,
        at: _,
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
        key,
        ordering_key: ordering_key.filter(|_| !mutation::is(Mutation::ForgetsOrder)),
        body,
        left: deadline - now,
        spent: 0,
        envelope: None,
        from: Origin::Restored,
    };
    Some(RecoveredMessage {
        message,
        deadline,
        possibly_executed: None,
    })
}

/// When the scheduler must have each of these messages: before it can't be sent any more, and none of an ordering key
/// later than one that was accepted after it.
pub(crate) fn hand_over_deadlines(messages: &[RecoveredMessage], classes: &[Class]) -> Vec<Time> {
    let mut deadlines: Vec<Time> = messages
        .iter()
        .map(|recovered| recovered.last_chance(classes))
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
