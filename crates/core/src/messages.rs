//! [`Messages`]: every message from its submission to the end: pending, waiting in the backlog, completed, or with a
//! final report that the platform has not acknowledged.

use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{
    AcceptedMessage, Class, DestinationId, Event, MessageId, OrderingKey, Settings, Status,
};

use crate::backlog::{Backlog, BacklogEntry};
use crate::completed::CompletedIds;
use crate::effect::{Effect, Record};
use crate::final_reports::{FinalReports, PendingReport};
use crate::input::AttemptOutcome;
use crate::message::{Answer, Message, Origin};
use crate::outbox::Outbox;
use crate::pending::PendingMessages;
use crate::pending_message::{InFlightAttempt, PendingMessage, Verdict};
use crate::recovered::{hand_over_deadlines, replay};

/// Messages of the backlog are handed over this many ticks before they are due: the scheduler ends them then.
const BACKLOG_MARGIN_TICKS: u32 = 3;
/// When a client may submit a message again that it has submitted twice in one tick.
const REPEAT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// An attempt of a pending message that has finished.
pub(crate) struct FinishedAttempt {
    /// The attempt; nothing if it was not in flight.
    pub(crate) in_flight: Option<InFlightAttempt>,
    pub(crate) destination: DestinationId,
    /// The message needs no further attempt.
    pub(crate) completed: bool,
}

/// A message that the scheduler has ended without delivery.
pub(crate) struct EndedMessage {
    pub(crate) destination: DestinationId,
    /// The next message of this key may be sent: there is no report to wait for.
    pub(crate) released_key: Option<OrderingKey>,
}

/// A message restored from the journal.
pub(crate) struct RestoredMessage {
    pub(crate) id: MessageId,
    pub(crate) destination: DestinationId,
    /// When the scheduler must have it.
    pub(crate) hand_over_by: Time,
}

/// What the backlog releases.
pub(crate) struct BacklogRelease {
    pub(crate) messages: Vec<AcceptedMessage>,
    /// When to try again, if any message waits.
    pub(crate) next: Option<Time>,
}

/// All messages, from submission to the end.
#[derive(Debug)]
pub(crate) struct Messages {
    tick: Duration,
    pending: PendingMessages,
    backlog: Backlog,
    completed: CompletedIds,
    final_reports: FinalReports,
}

impl Messages {
    /// No message yet.
    pub(crate) fn new(settings: &Settings) -> Messages {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or_default();
        Messages {
            tick: settings.tick,
            pending: PendingMessages::default(),
            backlog: Backlog::new(settings.tick * BACKLOG_MARGIN_TICKS),
            completed: CompletedIds::new(longest_deadline),
            final_reports: FinalReports::default(),
        }
    }

    /// Pending messages.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Final reports that the platform has not acknowledged.
    pub(crate) fn report_count(&self) -> usize {
        self.final_reports.len()
    }

    /// Attempts in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.pending.in_flight()
    }

    /// Records all pending messages as completed though they are not: only for the mutation that leaks them.
    pub(crate) fn forget_pending(&self, now: Time) -> Effect {
        let completed = self.pending.ids().map(|id| Record::Completed {
            id: id.0.clone(),
            until: now.0,
        });
        Effect::Persist(completed.collect())
    }

    /// The pending message with this id.
    pub(crate) fn pending_mut(&mut self, id: &MessageId) -> Option<&mut PendingMessage> {
        self.pending.get_mut(id)
    }

    /// The answer to a message whose id is known: a client submits it again where it did not receive the answer. A
    /// completed message is not sent again under its id, even if somebody else submits another one under it.
    pub(crate) fn answer_to_repeat(&self, id: &MessageId, from: Origin) -> Option<Answer> {
        if let Some(pending) = self.pending.get(id) {
            let after = Some(REPEAT_RETRY_AFTER);
            return Some(if pending.accepted {
                Answer::Accepted
            } else {
                Answer::Rejected { after }
            });
        }
        let is_repeat = self.completed.contains(id) && matches!(from, Origin::Client(_));
        is_repeat.then_some(Answer::Accepted)
    }

    /// Adds a submitted message. Returns what the scheduler gets.
    pub(crate) fn submit(&mut self, now: Time, message: Message) -> Vec<AcceptedMessage> {
        let id = MessageId(message.id.clone());
        let deadline = now + message.left;
        self.pending.submit(message, deadline);
        self.pending.hand_over(now, &id)
    }

    /// Removes a message without an answer. False if it is not pending.
    pub(crate) fn cancel(&mut self, id: &MessageId) -> bool {
        self.pending.remove(id).is_some()
    }

    /// Brings the ages of messages in events up to date.
    pub(crate) fn refresh(&self, now: Time, events: &mut [Event]) {
        self.pending.refresh(now, events);
    }

    /// Accepts what was submitted in this tick and has not ended in it. Returns the answers, which wait for the journal.
    pub(crate) fn accept_unacknowledged(&mut self, now: Time, outbox: &mut Outbox) -> Vec<Effect> {
        let mut answers = Vec::new();
        for acceptance in self.pending.accept_unacknowledged(now) {
            outbox.record(acceptance.record);
            answers.push(acceptance.answer);
        }
        answers
    }

    /// Records attempts of accepted messages; others are not restored after a restart.
    pub(crate) fn record_attempts(&self, records: Vec<Record>, outbox: &mut Outbox) {
        for record in records {
            if self.pending.is_accepted(&MessageId(record.id().to_owned())) {
                outbox.record(record);
            }
        }
    }

    /// An attempt has finished. Returns nothing if its message is not pending any more.
    pub(crate) fn finish_attempt(
        &mut self,
        now: Time,
        outcome: &AttemptOutcome,
        outbox: &mut Outbox,
    ) -> Option<FinishedAttempt> {
        let id = MessageId(outcome.id.clone());
        let pending = self.pending.get_mut(&id)?;
        let finished = FinishedAttempt {
            in_flight: pending.finish_attempt(outcome.attempt, outcome.status),
            destination: pending.destination(),
            completed: outcome.over || outcome.status == Status::Served,
        };
        if finished.completed {
            self.complete(now, id, outcome.status, outbox);
        } else if self.pending.is_accepted(&id) {
            outbox.record(Record::AttemptFinished {
                id: id.0,
                attempt: outcome.attempt,
                not_executed: outcome.status.not_executed(),
            });
        }
        Some(finished)
    }

    /// A message needs no further attempt.
    fn complete(&mut self, now: Time, id: MessageId, status: Status, outbox: &mut Outbox) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if pending.accepted {
            self.record_completed(now, id, outbox);
            return;
        }
        let answer = if status == Status::Served {
            Answer::Delivered
        } else {
            Answer::Failed
        };
        outbox.defer_answer(pending.message.from, id, answer);
    }

    fn record_completed(&mut self, now: Time, id: MessageId, outbox: &mut Outbox) {
        let until = self.completed.remember(now, &id).0;
        outbox.record(Record::Completed { id: id.0, until });
    }

    /// The scheduler has ended a message without delivery. Returns nothing if it is not pending any more.
    pub(crate) fn end(
        &mut self,
        now: Time,
        id: MessageId,
        verdict: Verdict,
        outbox: &mut Outbox,
    ) -> Option<EndedMessage> {
        let pending = self.pending.remove(&id)?;
        let destination = pending.destination();
        if pending.accepted {
            self.report_end(now, id, &pending, verdict, outbox);
            return Some(EndedMessage {
                destination,
                released_key: None,
            });
        }
        let released_key = pending.ordering_key();
        if released_key.is_some() {
            outbox.defer(Effect::WakeAt(now));
        }
        let answer = pending.final_answer(verdict, now, self.tick);
        outbox.defer_answer(pending.message.from, id, answer);
        Some(EndedMessage {
            destination,
            released_key,
        })
    }

    /// Adds the final report of an accepted message.
    fn report_end(
        &mut self,
        now: Time,
        id: MessageId,
        pending: &PendingMessage,
        verdict: Verdict,
        outbox: &mut Outbox,
    ) {
        let final_report = verdict.final_report();
        self.completed.remember(now, &id);
        outbox.record(Record::FinalReportDue {
            id: id.0.clone(),
            final_report,
            ordering_key: pending.message.ordering_key.clone(),
        });
        outbox.defer(Effect::SendFinalReport {
            id: id.0.clone(),
            final_report,
        });
        let report = PendingReport {
            final_report,
            ordering_key: pending.ordering_key(),
        };
        self.final_reports.insert(id, report);
    }

    /// The platform has acknowledged the final report of a message. Returns the ordering key whose next message may be sent
    /// now, if it has one.
    pub(crate) fn acknowledge_report(
        &mut self,
        now: Time,
        id: MessageId,
        outbox: &mut Outbox,
    ) -> Option<OrderingKey> {
        let report = self.final_reports.remove(&id)?;
        self.record_completed(now, id, outbox);
        report.ordering_key
    }

    /// Restores what an earlier process left in the journal. Returns its pending messages, which the scheduler does not have
    /// yet, in the order in which they were accepted.
    pub(crate) fn restore(
        &mut self,
        now: Time,
        records: Vec<Record>,
        classes: &[Class],
    ) -> Vec<RestoredMessage> {
        let recovered = replay(now, records, &mut self.final_reports, &mut self.completed);
        let deadlines = hand_over_deadlines(&recovered, classes);
        let mut restored = Vec::with_capacity(recovered.len());
        for (recovered, hand_over_by) in recovered.into_iter().zip(deadlines) {
            restored.push(RestoredMessage {
                id: MessageId(recovered.message.id.clone()),
                destination: DestinationId(recovered.message.destination),
                hand_over_by,
            });
            self.pending.restore(
                recovered.message,
                recovered.deadline,
                hand_over_by,
                recovered.possibly_executed,
            );
        }
        restored
    }

    /// The ordering keys that unacknowledged reports hold back.
    pub(crate) fn held_back_keys(&self) -> impl Iterator<Item = &OrderingKey> {
        self.final_reports.ordering_keys()
    }

    /// The effects that send all unacknowledged reports again.
    pub(crate) fn resend_reports(&self) -> Vec<Effect> {
        self.final_reports.resend()
    }

    /// Adds a restored message to the backlog, unless it has ended meanwhile.
    pub(crate) fn add_to_backlog(&mut self, id: MessageId) {
        if let Some(pending) = self.pending.get(&id) {
            self.backlog.add(BacklogEntry {
                hand_over_by: pending.hand_over_by,
                sequence: pending.sequence,
                id,
            });
        }
    }

    /// Releases as much of the backlog as the scheduler has capacity for, and what is due.
    pub(crate) fn release_backlog(&mut self, now: Time, capacity: usize) -> BacklogRelease {
        let ids = self.backlog.release(now, capacity);
        if ids.is_empty() {
            return BacklogRelease {
                messages: Vec::new(),
                next: self.backlog.due(),
            };
        }
        let mut messages = Vec::new();
        for id in &ids {
            messages.extend(self.pending.hand_over(now, id));
        }
        BacklogRelease {
            messages,
            next: Some(now),
        }
    }
}
