//! The state of each message according to the records: submission, answer, delivery and final report.

use std::collections::BTreeMap;
use std::time::Duration;

use super::limits::RuleLimits;
use super::record::{Answer, AuditEvent, AuditRecord, DeliveryOutcome, FinalReport};

/// The first final report of a message; later ones are resent copies.
#[derive(Debug)]
pub(super) struct FirstReport {
    pub(super) final_report: FinalReport,
    /// Evidence of the report.
    pub(super) wire: String,
}

/// An answer to a Web Push post that contradicts the push service's reply.
#[derive(Debug)]
pub(super) enum FalseAnswer<'a> {
    /// The answer states a delivery, but no push service accepted the message.
    NotDelivered,
    /// The answer states that the message was not executed, but a push service had accepted it.
    Delivered { delivery_wire: &'a str },
}

/// The state of a message according to the records so far.
#[derive(Debug, Default)]
pub(super) struct TrackedMessage {
    /// Number of the sender to which it was submitted.
    pub(super) sender: Option<usize>,
    /// Time of its submission, since the start of the scenario.
    pub(super) submitted: Duration,
    /// Recording delay of the submission: the longest time by which it may have preceded `submitted`.
    pub(super) submission_delay: Duration,
    /// Evidence of the submission.
    pub(super) submission_wire: String,
    /// From its submission.
    time_to_live: Duration,
    /// When the sender answered that it accepted the message; for a post, when it was submitted.
    pub(super) accepted: Option<Duration>,
    /// Whether it was submitted over Web Push, where the answer states how the message ended.
    pub(super) posted: bool,
    /// Whether the client has its answer or expects none any more.
    pub(super) answered: bool,
    /// Evidence of the first successful delivery: a destination's reply with status 200, or 201 for Web Push.
    pub(super) delivery_wire: Option<String>,
    pub(super) final_report: Option<FirstReport>,
    /// Whether it was lost with its sender's state folder, so that its end is no longer judged.
    pub(super) lost: bool,
}

impl TrackedMessage {
    /// The time by which the message must have ended: the end of its time to live and of the grace period.
    pub(super) fn due(&self, limits: &RuleLimits) -> Duration {
        self.submitted + self.time_to_live + limits.end_grace
    }

    /// Evidence of a violation: the submission of the message, and this record.
    pub(super) fn evidence(&self, record: &AuditRecord) -> Vec<String> {
        vec![self.submission_wire.clone(), record.wire.clone()]
    }

    /// Whether and how this answer to a post contradicts the push service's reply.
    pub(super) fn false_answer(&self, answer: &Answer) -> Option<FalseAnswer<'_>> {
        match (answer, &self.delivery_wire) {
            (Answer::Delivered | Answer::Accepted, None) => Some(FalseAnswer::NotDelivered),
            (Answer::Rejected { .. } | Answer::Error, Some(delivery_wire)) => {
                Some(FalseAnswer::Delivered { delivery_wire })
            }
            _ => None,
        }
    }
}

/// A period in which a sender is down or restarts. A message whose end or answer is due in it is not overdue before the period ends.
#[derive(Debug)]
struct Downtime {
    from: Duration,
    /// End of the grace period after the restart; `None` until the sender is ready again.
    until: Option<Duration>,
}

/// All messages of a run, and the downtimes of their senders.
#[derive(Debug, Default)]
pub(super) struct MessageLog {
    messages: BTreeMap<String, TrackedMessage>,
    downtimes: BTreeMap<usize, Vec<Downtime>>,
}

impl MessageLog {
    /// The message with this id, if it was submitted.
    pub(super) fn get(&self, id: &str) -> Option<&TrackedMessage> {
        self.messages.get(id)
    }

    /// All messages, in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &TrackedMessage)> {
        self.messages.iter()
    }

    /// Whether a delay from `due` to `at` is excused, because one downtime of the sender covers all of it.
    pub(super) fn is_excused(&self, sender: Option<usize>, due: Duration, at: Duration) -> bool {
        let downtimes = sender.and_then(|sender| self.downtimes.get(&sender));
        let covers = |downtime: &Downtime| {
            downtime.from <= due && downtime.until.is_none_or(|until| at <= until)
        };
        downtimes.is_some_and(|downtimes| downtimes.iter().any(covers))
    }

    /// Updates the messages and downtimes from a record.
    pub(super) fn observe(&mut self, record: &AuditRecord, limits: &RuleLimits) {
        match &record.event {
            AuditEvent::Submitted {
                id, time_to_live, ..
            } => {
                self.submitted(id, *time_to_live, record);
            }
            AuditEvent::Posted {
                id, time_to_live, ..
            } => {
                let message = self.submitted(id, *time_to_live, record);
                message.posted = true;
                // A post is answered only at its end, so its sender is responsible for it from the submission on.
                message.accepted = Some(record.at);
            }
            AuditEvent::Answered { id, answer } => self.answered(id, answer, record.at),
            AuditEvent::Dropped { id } => self.dropped(id),
            AuditEvent::Replied { outcomes, .. } => self.replied(outcomes, record),
            AuditEvent::Reported { id, final_report } => self.reported(id, *final_report, record),
            AuditEvent::Signalled | AuditEvent::ProcessExited => self.sender_down(record),
            AuditEvent::Ready => self.sender_ready(record, limits),
            AuditEvent::Lost { only } => self.lost(record.sender, only.as_deref()),
            _ => {}
        }
    }

    fn submitted(
        &mut self,
        id: &str,
        time_to_live: Duration,
        record: &AuditRecord,
    ) -> &mut TrackedMessage {
        let message = self.messages.entry(id.to_owned()).or_default();
        message.sender = record.sender;
        message.submitted = record.at;
        message.submission_delay = record.recording_delay;
        message.submission_wire.clone_from(&record.wire);
        message.time_to_live = time_to_live;
        message
    }

    fn answered(&mut self, id: &str, answer: &Answer, at: Duration) {
        let Some(message) = self.messages.get_mut(id) else {
            return;
        };
        message.answered = true;
        if !message.posted && *answer == Answer::Accepted {
            message.accepted.get_or_insert(at);
        }
    }

    /// The sender closed the client's connection. For a post this counts as an answer, because none can follow on another connection.
    fn dropped(&mut self, id: &str) {
        if let Some(message) = self.messages.get_mut(id) {
            message.answered |= message.posted;
        }
    }

    fn replied(&mut self, outcomes: &[(String, DeliveryOutcome)], record: &AuditRecord) {
        for (id, outcome) in outcomes {
            if *outcome != DeliveryOutcome::Done {
                continue;
            }
            if let Some(message) = self.messages.get_mut(id) {
                message
                    .delivery_wire
                    .get_or_insert_with(|| record.wire.clone());
            }
        }
    }

    fn reported(&mut self, id: &str, final_report: FinalReport, record: &AuditRecord) {
        if let Some(message) = self.messages.get_mut(id) {
            // A final report proves that the sender had the message, so it counts as an answer.
            message.answered = true;
            message.final_report.get_or_insert_with(|| FirstReport {
                final_report,
                wire: record.wire.clone(),
            });
        }
    }

    fn sender_down(&mut self, record: &AuditRecord) {
        let Some(sender) = record.sender else { return };
        let downtimes = self.downtimes.entry(sender).or_default();
        if downtimes.last().is_none_or(|last| last.until.is_some()) {
            downtimes.push(Downtime {
                from: record.at,
                until: None,
            });
        }
    }

    fn sender_ready(&mut self, record: &AuditRecord, limits: &RuleLimits) {
        let downtimes = record
            .sender
            .and_then(|sender| self.downtimes.get_mut(&sender));
        if let Some(last) = downtimes.and_then(|downtimes| downtimes.last_mut()) {
            last.until.get_or_insert(record.at + limits.restart_grace);
        }
    }

    /// Marks messages as lost: those in `only`, or without it all messages of the sender.
    fn lost(&mut self, sender: Option<usize>, only: Option<&[String]>) {
        if let Some(ids) = only {
            for id in ids {
                self.messages.entry(id.clone()).or_default().lost = true;
            }
            return;
        }
        for message in self.messages.values_mut() {
            message.lost |= message.sender == sender;
        }
    }
}
