//! The recorded state of each message: submission, answer, delivery and final report.

use std::collections::BTreeMap;
use std::time::Duration;

use super::limits::Figures;
use super::record::{Answer, AuditEvent, AuditRecord, DeliveryOutcome, FinalReport};

/// The first final report of a message; later ones are resent copies.
#[derive(Debug)]
pub(super) struct FirstReport {
    pub(super) final_report: FinalReport,
    pub(super) wire: String,
}

/// A contradiction between the answer to a Web Push post and what the push service did.
#[derive(Debug)]
pub(super) enum FalseAnswer<'a> {
    /// The answer states a delivery, but no push service accepted the message.
    NotDelivered,
    /// The answer states that the message was not executed, but a push service had accepted it.
    Delivered { delivery_wire: &'a str },
}

/// The recorded state of a message.
#[derive(Debug, Default)]
pub(super) struct TrackedMessage {
    pub(super) sender: Option<usize>,
    pub(super) submitted: Duration,
    /// The longest time by which the submission may have preceded `submitted`.
    pub(super) submission_delay: Duration,
    pub(super) submission_wire: String,
    time_to_live: Duration,
    pub(super) accepted: Option<Duration>,
    /// Submitted over Web Push, where the answer is the end of the message.
    pub(super) posted: bool,
    pub(super) answered: bool,
    /// Evidence of the first 200 (201 for Web Push) that a destination wrote for it.
    pub(super) delivery_wire: Option<String>,
    pub(super) final_report: Option<FirstReport>,
    /// The message was lost with the state of its sender.
    pub(super) lost: bool,
}

impl TrackedMessage {
    /// The latest time at which the message must have ended.
    pub(super) fn due(&self, limits: &Figures) -> Duration {
        self.submitted + self.time_to_live + limits.end_grace
    }

    /// Evidence of a violation: the submission of the message, and this record.
    pub(super) fn evidence(&self, record: &AuditRecord) -> Vec<String> {
        vec![self.submission_wire.clone(), record.wire.clone()]
    }

    /// The contradiction between this answer to a post and what the push service wrote, if there is one.
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

/// A period in which a sender is down or restarts. Nothing that falls due in it counts as overdue.
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

    /// Whether one downtime of the sender covers everything from `due` to `at`.
    pub(super) fn is_excused(&self, sender: Option<usize>, due: Duration, at: Duration) -> bool {
        let downtimes = sender.and_then(|sender| self.downtimes.get(&sender));
        let covers = |downtime: &Downtime| {
            downtime.from <= due && downtime.until.is_none_or(|until| at <= until)
        };
        downtimes.is_some_and(|downtimes| downtimes.iter().any(covers))
    }

    /// Updates the messages and downtimes from a record.
    pub(super) fn observe(&mut self, record: &AuditRecord, limits: &Figures) {
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

    /// A closed connection ends a post: its client expects no answer any more.
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

    fn sender_ready(&mut self, record: &AuditRecord, limits: &Figures) {
        let downtimes = record
            .sender
            .and_then(|sender| self.downtimes.get_mut(&sender));
        if let Some(last) = downtimes.and_then(|downtimes| downtimes.last_mut()) {
            last.until.get_or_insert(record.at + limits.restart_grace);
        }
    }

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
