//! What the record shows of each message so far: submission, answer, delivery and final report.

use std::collections::BTreeMap;
use std::time::Duration;

use super::limits::Figures;
use super::record::{Answer, AuditEvent, AuditRecord, DeliveryOutcome, FinalReport};

/// A final report as it was first sent.
#[derive(Debug)]
pub(super) struct FirstReport {
    pub(super) final_report: FinalReport,
    pub(super) wire: String,
}

/// How the answer to a Web Push post can be wrong.
#[derive(Debug)]
pub(super) enum FalseAnswer<'a> {
    /// Answered as delivered, and no push service accepted it.
    NotDelivered,
    /// Answered as not executed, and a push service had accepted it.
    Delivered { proof: &'a str },
}

/// A message as the record shows it.
#[derive(Debug, Default)]
pub(super) struct TrackedMessage {
    pub(super) sender: Option<usize>,
    pub(super) submitted: Duration,
    /// The submission may have been this much earlier than it was recorded.
    pub(super) submission_delay: Duration,
    pub(super) submission_wire: String,
    time_to_live: Duration,
    pub(super) accepted: Option<Duration>,
    /// Submitted over Web Push, where the answer is the end.
    pub(super) posted: bool,
    pub(super) answered: bool,
    /// The first 200 that a destination wrote for it.
    pub(super) delivery_wire: Option<String>,
    pub(super) final_report: Option<FirstReport>,
    /// The sender that accepted it has lost its state.
    pub(super) lost: bool,
}

impl TrackedMessage {
    /// When it must have ended.
    pub(super) fn due(&self, limits: &Figures) -> Duration {
        self.submitted + self.time_to_live + limits.end_grace
    }

    /// Its submission and this record, as a proof.
    pub(super) fn proof(&self, record: &AuditRecord) -> Vec<String> {
        vec![self.submission_wire.clone(), record.wire.clone()]
    }

    /// Whether this answer to a post contradicts what the push service wrote.
    pub(super) fn false_answer(&self, answer: &Answer) -> Option<FalseAnswer<'_>> {
        match (answer, &self.delivery_wire) {
            (Answer::Delivered | Answer::Accepted, None) => Some(FalseAnswer::NotDelivered),
            (Answer::Rejected { .. } | Answer::Error, Some(proof)) => {
                Some(FalseAnswer::Delivered { proof })
            }
            _ => None,
        }
    }
}

/// A time in which a sender is down or restarts, so that nothing of it is overdue.
#[derive(Debug)]
struct Downtime {
    from: Duration,
    /// The end of the grace period after the restart, once the sender is ready.
    until: Option<Duration>,
}

/// All messages of a run, and when their senders were down.
#[derive(Debug, Default)]
pub(super) struct MessageLog {
    messages: BTreeMap<String, TrackedMessage>,
    downtimes: BTreeMap<usize, Vec<Downtime>>,
}

impl MessageLog {
    /// The message of this id.
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
        let covers = |d: &Downtime| d.from <= due && d.until.is_none_or(|until| at <= until);
        downtimes.is_some_and(|downtimes| downtimes.iter().any(covers))
    }

    /// Takes in a record.
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

    /// A client whose post was dropped knows that no answer will come.
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
        let downtimes = record.sender.and_then(|s| self.downtimes.get_mut(&s));
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
