//! [`Rule::OneEnd`]: each accepted message is delivered or reported, and its final reports are all of one kind.

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::messages::{FalseAnswer, TrackedMessage};
use crate::audit::observation::{Observation, RuleAuditor, RunEnd};
use crate::audit::record::{Answer, AuditEvent, FinalReport};
use crate::audit::rule::Rule;

/// Checks [`Rule::OneEnd`].
#[derive(Debug)]
pub(super) struct OneEnd;

impl RuleAuditor for OneEnd {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        match &observed.record.event {
            AuditEvent::Answered { id, answer } => {
                judge_post_answer(id, answer, observed, findings);
            }
            AuditEvent::Reported { id, final_report } => {
                judge_report(id, *final_report, observed, findings);
            }
            _ => {}
        }
    }

    fn finish(&mut self, end: &RunEnd<'_>, findings: &mut Findings) {
        for (id, message) in end.messages.iter() {
            judge_end(id, message, end, findings);
        }
    }
}

/// The answer to a post must agree with what the push service wrote.
fn judge_post_answer(
    id: &str,
    answer: &Answer,
    observed: &Observation<'_>,
    findings: &mut Findings,
) {
    let record = observed.record;
    let Some(message) = observed.messages.get(id).filter(|m| m.posted) else {
        return;
    };
    let mut wire = message.evidence(record);
    let why = match message.false_answer(answer) {
        Some(FalseAnswer::NotDelivered) => "answered as delivered, but no push service accepted it",
        Some(FalseAnswer::Delivered { delivery_wire }) => {
            wire.push(delivery_wire.to_owned());
            "answered as not executed, but it was delivered"
        }
        None => return,
    };
    findings.broken(violation(id, observed, why, wire));
}

/// All final reports of a message must be of one kind. A report is resent until it is acknowledged, and a delivered message
/// may be reported too, because the sender may not have received the 200. [`Rule::Repeats`] judges whether it may be
/// reported as `returned`.
fn judge_report(
    id: &str,
    final_report: FinalReport,
    observed: &Observation<'_>,
    findings: &mut Findings,
) {
    let record = observed.record;
    let Some(message) = observed.messages.get(id) else {
        let why = "a final report of a message that was never submitted";
        findings.broken(violation(id, observed, why, vec![record.wire.clone()]));
        return;
    };
    let is_returned = |report: &FinalReport| matches!(report, FinalReport::Returned { .. });
    if let Some(first) = &message.final_report
        && is_returned(&first.final_report) != is_returned(&final_report)
    {
        let wire = vec![first.wire.clone(), record.wire.clone()];
        findings.broken(violation(id, observed, "final reports of two kinds", wire));
    }
}

fn violation(id: &str, observed: &Observation<'_>, why: &str, wire: Vec<String>) -> Violation {
    Violation {
        rule: Rule::OneEnd,
        id: Some(id.to_owned()),
        destination: None,
        at: observed.record.at,
        why: why.to_owned(),
        wire,
    }
}

/// An accepted message without an end is a violation, unless the run ended before the end was due.
fn judge_end(id: &str, message: &TrackedMessage, end: &RunEnd<'_>, findings: &mut Findings) {
    let Some(accepted) = message.accepted.filter(|_| !message.lost) else {
        return;
    };
    let ended = if message.posted {
        message.answered
    } else {
        message.delivery_wire.is_some() || message.final_report.is_some()
    };
    if ended {
        findings.kept(Rule::OneEnd);
        return;
    }
    let overdue = excess(end.at, message.due(end.limits));
    if overdue.is_none() {
        return;
    }
    let (entry, missing) = if message.posted {
        ("posted", "never answered")
    } else {
        ("accepted", "neither delivered nor reported")
    };
    let violation = || Violation {
        rule: Rule::OneEnd,
        id: Some(id.to_owned()),
        destination: None,
        at: end.at,
        why: format!("{entry} at {:.3} s, but {missing}", accepted.as_secs_f64()),
        wire: vec![message.submission_wire.clone()],
    };
    findings.judge(Rule::OneEnd, overdue, end.recording_delay, violation);
}
