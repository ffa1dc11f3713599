//! [`Rule::Answers`]: each submission is answered in time.

use std::time::Duration;

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::messages::TrackedMessage;
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{Answer, AuditEvent};
use crate::audit::rule::Rule;

/// Judges [`Rule::Answers`].
#[derive(Debug)]
pub(super) struct Answers;

impl RuleAuditor for Answers {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        match &observed.record.event {
            AuditEvent::Answered { id, answer } => judge_answer(id, answer, observed, findings),
            AuditEvent::Dropped { id } => {
                if let Some(message) = unanswered(id, observed) {
                    let why = "closed without an answer".to_owned();
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
        // The answer to a post comes with its delivery: its time is judged by `Rule::InTime`.
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

/// How much later an answer would have come is not known: a recording that was itself late proves nothing.
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
        format!("no answer in {} ms", timeout.as_millis()),
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

/// The message, if it has no answer and its sender is not down.
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
        wire: message.proof(observed.record),
    }
}
