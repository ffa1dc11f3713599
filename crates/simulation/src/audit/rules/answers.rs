//! [`Rule::Answers`]: each submission is answered within the client's timeout.

use std::time::Duration;

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::messages::TrackedMessage;
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{Answer, AuditEvent};
use crate::audit::rule::Rule;

/// Checks [`Rule::Answers`].
#[derive(Debug)]
pub(super) struct Answers;

impl RuleAuditor for Answers {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        match &observed.record.event {
            AuditEvent::Answered { id, answer } => judge_answer(id, answer, observed, findings),
            AuditEvent::Dropped { id } => {
                if let Some(message) = unanswered(id, observed) {
                    let why = "connection closed without an answer".to_owned();
                    findings.broken(violation(id, message, why, observed));
                }
            }
            AuditEvent::Abandoned { id } => {
                if let Some(message) = unanswered(id, observed) {
                    judge_abandoned(id, message, observed, findings);
                }
            }
            _ => {}
        }
    }
}

fn judge_answer(id: &str, answer: &Answer, observed: &Observation<'_>, findings: &mut Findings) {
    let record = observed.record;
    let Some(message) = observed.messages.get(id) else {
        return;
    };
    if message.posted {
        // A post is answered once it is delivered, so `Rule::InTime` judges the time of its answer.
        if message.false_answer(answer).is_none() {
            findings.kept(Rule::Answers);
        }
        return;
    }
    let elapsed = record.at.saturating_sub(message.submitted);
    judge_late(
        id,
        message,
        excess(elapsed, observed.limits.answer_timeout),
        format!("answered after {} ms", elapsed.as_millis()),
        observed,
        findings,
    );
}

/// The client closed its connection after the timeout. How late the answer would have been is unknown, so the excess counts
/// as `socket_slack`: a recording with a longer delay leaves the case undecided.
fn judge_abandoned(
    id: &str,
    message: &TrackedMessage,
    observed: &Observation<'_>,
    findings: &mut Findings,
) {
    let timeout = observed.limits.answer_timeout;
    judge_late(
        id,
        message,
        Some(observed.limits.socket_slack),
        format!("no answer within {} ms", timeout.as_millis()),
        observed,
        findings,
    );
}

fn judge_late(
    id: &str,
    message: &TrackedMessage,
    overdue: Option<Duration>,
    why: String,
    observed: &Observation<'_>,
    findings: &mut Findings,
) {
    let recording_delay = observed.record.recording_delay + message.submission_delay;
    let violation = || violation(id, message, why, observed);
    findings.judge(Rule::Answers, overdue, recording_delay, violation);
}

/// The message with this id, if it is unanswered and its sender is not down.
fn unanswered<'a>(id: &str, observed: &Observation<'a>) -> Option<&'a TrackedMessage> {
    let record = observed.record;
    let message = observed.messages.get(id).filter(|m| !m.answered)?;
    let excused = observed
        .messages
        .is_excused(record.sender, record.at, record.at);
    (!excused).then_some(message)
}

fn violation(
    id: &str,
    message: &TrackedMessage,
    why: String,
    observed: &Observation<'_>,
) -> Violation {
    Violation {
        rule: Rule::Answers,
        id: Some(id.to_owned()),
        destination: None,
        at: observed.record.at,
        why,
        wire: message.evidence(observed.record),
    }
}
