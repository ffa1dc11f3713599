//! [`Messages`]: the state of all messages: pending, waiting in the backlog, completed, or ended with a final report
//! that the platform has not acknowledged.

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

/// Messages of the backlog are handed over at the latest this many ticks before `hand_over_by`, so that the scheduler
/// can still end them in time.
const BACKLOG_MARGIN_TICKS: u32 = 3;
/// Retry-after time in the answer to a repeated submission of a message that is not acknowledged yet.
const REPEAT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The result of recording that an attempt of a pending message has finished.
pub(crate) struct FinishedAttempt {
    /// The attempt; `None` if it was not in flight.
    pub(crate) in_flight: Option<InFlightAttempt>,
    pub(crate) destination: DestinationId,
    /// Whether the message needs no further attempt.
    pub(crate) completed: bool,
}

/// A message that the scheduler has ended undelivered.
pub(crate) struct EndedMessage {
    pub(crate) destination: DestinationId,
    /// The message's ordering key, if the next message of this key may be sent at once, without waiting for the
    /// acknowledgement of a final report.
    pub(crate) released_key: Option<OrderingKey>,
}

/// A message restored from the journal.
pub(crate) struct RestoredMessage {
    pub(crate) id: MessageId,
    pub(crate) destination: DestinationId,
    /// Latest time to hand the message over to the scheduler.
    pub(crate) hand_over_by: Time,
}

/// The answer to a client that waits for the end of its message, when the process ends first.
pub(crate) struct WaitingAnswer {
    pub(crate) id: MessageId,
    to: Origin,
    answer: Answer,
}

impl WaitingAnswer {
    pub(crate) fn into_effect(self) -> Effect {
        Effect::Answer {
            to: self.to,
            id: self.id.0,
            answer: self.answer,
        }
    }
}

/// The result of releasing messages from the backlog.
pub(crate) struct BacklogRelease {
    pub(crate) messages: Vec<AcceptedMessage>,
    /// When to release again; `None` if the backlog is empty.
    pub(crate) next: Option<Time>,
}

/// The state of all messages.
#[derive(Debug)]
pub(crate) struct Messages {
    tick: Duration,
    pending: PendingMessages,
    backlog: Backlog,
    completed: CompletedIds,
    final_reports: FinalReports,
}

impl Messages {
    /// Creates the state without messages.
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

    /// Number of pending messages.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The sum of the sizes of all pending messages' bodies, in bytes.
    pub(crate) fn pending_body_bytes(&self) -> usize {
        self.pending.body_bytes()
    }

    /// Number of final reports that the platform has not acknowledged.
    pub(crate) fn report_count(&self) -> usize {
        self.final_reports.len()
    }

    /// Number of attempts in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.pending.in_flight()
    }

    /// Records all pending messages as completed although they are not: only for
    /// [`crate::mutation::Mutation::LeaksAtStop`].
    pub(crate) fn forget_pending(&self, now: Time) -> Effect {
        let completed = self.pending.ids().map(|id| Record::Completed {
            id: id.0.clone(),
            remembered_until: now.0,
        });
        Effect::Persist(completed.collect())
    }

    /// The pending message with this id, for a change.
    pub(crate) fn pending_mut(&mut self, id: &MessageId) -> Option<&mut PendingMessage> {
        self.pending.get_mut(id)
    }

    /// The answer to a repeated submission, by a client that has not received the first answer; `None` if the id is
    /// new. A completed message is not sent again, even if another client submits a different message under its id.
    pub(crate) fn answer_to_repeat(&self, id: &MessageId, origin: Origin) -> Option<Answer> {
        if let Some(pending) = self.pending.get(id) {
            let retry_after = Some(REPEAT_RETRY_AFTER);
            return Some(if pending.accepted {
                Answer::Accepted
            } else {
                Answer::Rejected { retry_after }
            });
        }
        let is_repeat = self.completed.contains(id) && matches!(origin, Origin::Client(_));
        is_repeat.then_some(Answer::Accepted)
    }

    /// Adds a submitted message. Returns the messages to be handed over to the scheduler.
    pub(crate) fn submit(&mut self, now: Time, message: Message) -> Vec<AcceptedMessage> {
        let id = MessageId(message.id.clone());
        let deadline = now + message.time_left;
        self.pending.submit(message, deadline);
        self.pending.hand_over(now, &id)
    }

    /// Removes a pending message; its client is not answered. Returns false if it is not pending.
    pub(crate) fn cancel(&mut self, id: &MessageId) -> bool {
        self.pending.remove(id).is_some()
    }

    /// Updates the times of the messages in `events` to `now`.
    pub(crate) fn refresh(&self, now: Time, events: &mut [Event]) {
        self.pending.refresh(now, events);
    }

    /// Accepts the messages that were submitted in this tick and have not ended in it. Returns the answers, which must
    /// not be sent before the journal has the records.
    pub(crate) fn accept_unacknowledged(&mut self, now: Time, outbox: &mut Outbox) -> Vec<Effect> {
        let mut answers = Vec::new();
        for acceptance in self.pending.accept_unacknowledged(now) {
            outbox.record(acceptance.record);
            answers.push(acceptance.answer);
        }
        answers
    }

    /// Records the attempts of accepted messages; other messages are not restored after a restart.
    pub(crate) fn record_attempts(&self, records: Vec<Record>, outbox: &mut Outbox) {
        for record in records {
            if self.pending.is_accepted(&MessageId(record.id().to_owned())) {
                outbox.record(record);
            }
        }
    }

    /// Handles a finished attempt. Returns `None` if its message is no longer pending.
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
            completed: outcome.is_final || outcome.status == Status::Served,
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

    /// Completes a message that needs no further attempt.
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
        outbox.defer_answer(pending.message.origin, id, answer);
    }

    fn record_completed(&mut self, now: Time, id: MessageId, outbox: &mut Outbox) {
        let remembered_until = self.completed.remember(now, &id).0;
        outbox.record(Record::Completed {
            id: id.0,
            remembered_until,
        });
    }

    /// Ends a message that the scheduler has rejected or failed. Returns `None` if it is no longer pending.
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
        outbox.defer_answer(pending.message.origin, id, answer);
        Some(EndedMessage {
            destination,
            released_key,
        })
    }

    /// Ends the messages of clients that wait for their end, since the process ends. Returns the answers to the clients.
    pub(crate) fn end_waiting(
        &mut self,
        now: Time,
        retry_after: Duration,
        classes: &[Class],
    ) -> Vec<WaitingAnswer> {
        let rejected = Verdict::Rejected {
            retry_after: Some(retry_after),
        };
        let mut answers = Vec::new();
        for id in self.pending.waiting() {
            let Some(pending) = self.pending.remove(&id) else {
                continue;
            };
            let verdict = if pending.may_be_repeated(classes) {
                rejected
            } else {
                Verdict::Failed
            };
            answers.push(WaitingAnswer {
                id,
                to: pending.message.origin,
                answer: pending.final_answer(verdict, now, self.tick),
            });
        }
        answers
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

    /// Completes a message after the platform has acknowledged its final report. Returns the message's ordering key, if
    /// any: the next message of this key may be sent now.
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

    /// Restores the state from the journal records of an earlier process. Returns the pending messages, in the order in
    /// which they were accepted; they are not handed over to the scheduler yet.
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

    /// The ordering keys of which no message is sent until a final report is acknowledged.
    pub(crate) fn blocked_ordering_keys(&self) -> impl Iterator<Item = &OrderingKey> {
        self.final_reports.ordering_keys()
    }

    /// The effects that send all unacknowledged reports again.
    pub(crate) fn resend_reports(&self) -> Vec<Effect> {
        self.final_reports.resend()
    }

    /// Adds a restored message to the backlog, unless it is no longer pending.
    pub(crate) fn add_to_backlog(&mut self, id: MessageId) {
        if let Some(pending) = self.pending.get(&id) {
            self.backlog.add(BacklogEntry {
                hand_over_by: pending.hand_over_by,
                sequence: pending.sequence,
                id,
            });
        }
    }

    /// Releases up to `capacity` messages of the backlog, and beyond that the messages that are due.
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
