//! [`Rule::Order`]: each sender delivers the messages of one ordering key one at a time, in the order of submission.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{Answer, AuditEvent, AuditRecord, DeliveryOutcome};
use crate::audit::rule::Rule;

/// A message with an ordering key.
#[derive(Debug)]
struct Message {
    sender: usize,
    key: String,
    /// Sequence number of its submission, over all messages.
    position: u64,
    /// The sender's answer shows that it has the message. Only accepted messages block later ones.
    accepted: bool,
    /// The message is delivered, rejected or reported.
    completed: bool,
    in_flight: bool,
}

/// An attempt whose connection closed before the reply, so that it is possibly still being executed.
#[derive(Debug)]
struct BrokenAttempt {
    at: Duration,
    id: String,
}

/// Checks [`Rule::Order`].
#[derive(Debug, Default)]
pub(super) struct Ordering {
    submissions: u64,
    messages: BTreeMap<String, Message>,
    /// Ids of the messages of the call in flight, by connection.
    in_flight: BTreeMap<u64, Vec<String>>,
    /// The latest broken attempt, by sender and ordering key.
    broken: BTreeMap<(usize, String), BrokenAttempt>,
}

impl RuleAuditor for Ordering {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        match &record.event {
            AuditEvent::Submitted {
                id,
                ordering_key: Some(key),
                ..
            } => self.submitted(id, key, record),
            AuditEvent::Answered { id, answer } => self.answered(id, answer),
            // Whether the sender has the message is unknown, so it neither blocks other messages nor is blocked.
            AuditEvent::Dropped { id } | AuditEvent::Abandoned { id } => {
                self.messages.remove(id);
            }
            AuditEvent::Called {
                connection,
                ids,
                destination,
                ..
            } => {
                for id in ids {
                    self.called(id, *destination, observed, findings);
                }
                self.in_flight.insert(*connection, ids.clone());
            }
            AuditEvent::Replied {
                connection,
                outcomes,
                ..
            } => {
                self.in_flight.remove(connection);
                for (id, outcome) in outcomes {
                    self.attempt_ended(id, *outcome == DeliveryOutcome::Done);
                }
            }
            AuditEvent::Broke { connection, .. } | AuditEvent::Closed { connection } => {
                self.call_broken(*connection, record);
            }
            AuditEvent::Reported { id, .. } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.completed = true;
                }
            }
            AuditEvent::Lost { only } => self.lost(record.sender, only.as_deref()),
            _ => {}
        }
    }
}

impl Ordering {
    fn submitted(&mut self, id: &str, key: &str, record: &AuditRecord) {
        let Some(sender) = record.sender else { return };
        self.messages
            .retain(|_, message| !message.completed || message.in_flight);
        self.submissions += 1;
        let message = Message {
            sender,
            key: key.to_owned(),
            position: self.submissions,
            accepted: false,
            completed: false,
            in_flight: false,
        };
        self.messages.insert(id.to_owned(), message);
    }

    fn answered(&mut self, id: &str, answer: &Answer) {
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted = *answer == Answer::Accepted;
            message.completed |= !message.accepted;
        }
    }

    fn attempt_ended(&mut self, id: &str, delivered: bool) {
        if let Some(message) = self.messages.get_mut(id) {
            message.in_flight = false;
            message.completed |= delivered;
        }
    }

    fn call_broken(&mut self, connection: u64, record: &AuditRecord) {
        for id in self.in_flight.remove(&connection).unwrap_or_default() {
            self.attempt_ended(&id, false);
            if let Some(message) = self.messages.get(&id) {
                let key = (message.sender, message.key.clone());
                self.broken.insert(key, BrokenAttempt { at: record.at, id });
            }
        }
    }

    fn lost(&mut self, sender: Option<usize>, only: Option<&[String]>) {
        self.messages.retain(|id, message| {
            Some(message.sender) != sender || only.is_some_and(|only| !only.contains(id))
        });
    }

    fn called(
        &mut self,
        id: &str,
        destination: u64,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let Some(message) = self.messages.get(id) else {
            return;
        };
        let key = &message.key;
        let violation = |why: String| Violation {
            rule: Rule::Order,
            id: Some(id.to_owned()),
            destination: Some(destination),
            at: observed.record.at,
            why,
            wire: vec![observed.record.wire.clone()],
        };
        if let Some(other) = self.other_in_flight(message) {
            let why = format!("message {other} of the same ordering key {key} is in flight");
            findings.broken(violation(why));
        } else if let Some(other) = self.earlier_pending(message) {
            let why =
                format!("message {other} of the same ordering key {key} was submitted before it");
            findings.broken(violation(why));
        } else {
            self.judge_pause(id, message, observed, findings, violation);
        }
        if let Some(message) = self.messages.get_mut(id) {
            message.in_flight = true;
        }
    }

    fn others_of_key(&self, message: &Message) -> impl Iterator<Item = (&String, &Message)> {
        self.messages.iter().filter(|(_, other)| {
            other.sender == message.sender
                && other.key == message.key
                && other.position != message.position
        })
    }

    fn other_in_flight(&self, message: &Message) -> Option<&String> {
        let mut others = self.others_of_key(message);
        others.find(|(_, other)| other.in_flight).map(|(id, _)| id)
    }

    fn earlier_pending(&self, message: &Message) -> Option<&String> {
        let blocks = |other: &Message| {
            other.position < message.position && other.accepted && !other.completed
        };
        let mut others = self.others_of_key(message);
        others.find(|(_, other)| blocks(other)).map(|(id, _)| id)
    }

    /// After a broken attempt of one message, other messages of its ordering key must wait for
    /// [`Figures::ordering_key_pause`](crate::audit::limits::Figures::ordering_key_pause).
    fn judge_pause(
        &self,
        id: &str,
        message: &Message,
        observed: &Observation<'_>,
        findings: &mut Findings,
        violation: impl Fn(String) -> Violation,
    ) {
        let broken = self.broken.get(&(message.sender, message.key.clone()));
        let Some(broken) = broken.filter(|broken| broken.id != id) else {
            findings.kept(Rule::Order);
            return;
        };
        let limits = observed.limits;
        let elapsed = observed.record.at.saturating_sub(broken.at);
        let missing = excess(limits.ordering_key_pause, elapsed + limits.socket_slack);
        let why = format!(
            "only {} ms after a broken attempt of another message of its ordering key",
            elapsed.as_millis()
        );
        let violation = || violation(why);
        findings.judge(
            Rule::Order,
            missing,
            observed.record.recording_delay,
            violation,
        );
    }
}
