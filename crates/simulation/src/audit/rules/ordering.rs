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
    /// Position of its submission among those of all messages with an ordering key.
    position: u64,
    /// Whether the sender has answered that it accepted the message. Only accepted messages block later ones.
    accepted: bool,
    /// Whether it is delivered, rejected or stated in a final report. It blocks no others then.
    completed: bool,
    in_flight: bool,
}

/// An attempt whose connection broke or closed before the reply, so that the destination may still be executing it.
#[derive(Debug)]
struct BrokenAttempt {
    /// When the connection broke.
    at: Duration,
    /// Id of the message.
    id: String,
}

/// Checks [`Rule::Order`].
#[derive(Debug, Default)]
pub(super) struct Ordering {
    /// Number of submissions with an ordering key.
    submissions: u64,
    /// Messages with an ordering key, by id.
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
            // Without an answer it is unknown whether the sender accepted the message, so its order is not judged.
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
        // Completed messages block no others, so they are not kept.
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

    /// Removes lost messages: those in `only`, or without it all messages of the sender.
    fn lost(&mut self, sender: Option<usize>, only: Option<&[String]>) {
        self.messages.retain(|id, message| {
            Some(message.sender) != sender || only.is_some_and(|only| !only.contains(id))
        });
    }

    /// Judges a call with the message `id`.
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
            let why = format!(
                "message {other} of the same ordering key {key} was submitted earlier and is not completed"
            );
            findings.broken(violation(why));
        } else {
            self.judge_pause(id, message, observed, findings, violation);
        }
        if let Some(message) = self.messages.get_mut(id) {
            message.in_flight = true;
        }
    }

    /// The other messages of the same sender and ordering key.
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

    /// After the connection of an attempt broke, other messages of its ordering key must not be called for
    /// [`RuleLimits::ordering_key_pause`](crate::audit::limits::RuleLimits::ordering_key_pause).
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
        let missing_pause = excess(limits.ordering_key_pause, elapsed + limits.socket_slack);
        let why = format!(
            "called {} ms after the connection of an attempt of message {} of the same ordering key {} broke; expected {} ms or more",
            elapsed.as_millis(),
            broken.id,
            message.key,
            limits.ordering_key_pause.as_millis()
        );
        let violation = || violation(why);
        findings.judge(
            Rule::Order,
            missing_pause,
            observed.record.recording_delay,
            violation,
        );
    }
}
