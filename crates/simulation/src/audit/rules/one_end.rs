//! [`Rule::OneEnd`]: each accepted message is delivered or reported, and not reported with two different ends.

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::messages::{FalseAnswer, TrackedMessage};
use crate::audit::observation::{Observation, RuleAuditor, RunEnd};
use crate::audit::record::{Answer, AuditEvent, FinalReport};
use crate::audit::rule::Rule;

/// Judges [`Rule::OneEnd`].
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

/// The answer to a post must be true to what the push service wrote.
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
    let mut wire = message.proof(record);
    let why = match message.false_answer(answer) {
        Some(FalseAnswer::NotDelivered) => "answered as delivered, and no push service took it",
        Some(FalseAnswer::Delivered { proof }) => {
            wire.push(proof.to_owned());
            "answered as never run, and it had been delivered"
        }
        None => return,
    };
    findings.broken(violation(id, observed, why, wire));
}

/// A message has one kind of final report. A report is resent until it is acknowledged, and a delivered message may be
/// reported if the 200 never reached the sender; whether as `returned` is judged by [`Rule::Repeats`].
fn judge_report(
    id: &str,
    final_report: FinalReport,
    observed: &Observation<'_>,
    findings: &mut Findings,
) {
    let record = observed.record;
    let Some(message) = observed.messages.get(id) else {
        let why = "a report of a message that nobody submitted";
        findings.broken(violation(id, observed, why, vec![record.wire.clone()]));
        return;
    };
    let is_returned = |report: &FinalReport| matches!(report, FinalReport::Returned { .. });
    if let Some(first) = &message.final_report
        && is_returned(&first.final_report) != is_returned(&final_report)
    {
        let wire = vec![first.wire.clone(), record.wire.clone()];
        findings.broken(violation(id, observed, "reported with two ends", wire));
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
    let (entry, lacks) = if message.posted {
        ("posted", "never answered")
    } else {
        ("accepted", "neither delivered nor reported")
    };
    let violation = || Violation {
        rule: Rule::OneEnd,
        id: Some(id.to_owned()),
        destination: None,
        at: end.at,
        why: format!("{entry} at {:.3} s, and {lacks}", accepted.as_secs_f64()),
        wire: vec![message.submission_wire.clone()],
    };
    findings.judge(Rule::OneEnd, overdue, end.recording_delay, violation);
}
