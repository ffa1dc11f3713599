//! [`Rule::InTime`]: each undelivered message ends within its time to live and a grace period.

use std::time::Duration;

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::messages::TrackedMessage;
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::AuditEvent;
use crate::audit::rule::Rule;

/// Checks [`Rule::InTime`].
#[derive(Debug)]
pub(super) struct InTime;

impl RuleAuditor for InTime {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        match &record.event {
            AuditEvent::Answered { id, .. } => {
                if let Some(message) = observed.messages.get(id).filter(|m| m.posted) {
                    let why = |late: Duration| {
                        format!("answered {} ms after its deadline", late.as_millis())
                    };
                    judge(id, message, why, observed, findings);
                }
            }
            AuditEvent::Reported { id, .. } => {
                let Some(message) = observed.messages.get(id) else {
                    return;
                };
                let due = message.due(observed.limits);
                let excused = observed.messages.is_excused(message.sender, due, record.at);
                if excused || message.delivery_wire.is_some() {
                    return;
                }
                let why =
                    |late: Duration| format!("reported {} ms after its deadline", late.as_millis());
                judge(id, message, why, observed, findings);
            }
            _ => {}
        }
    }
}

fn judge(
    id: &str,
    message: &TrackedMessage,
    why: impl Fn(Duration) -> String,
    observed: &Observation<'_>,
    findings: &mut Findings,
) {
    let record = observed.record;
    let overdue = excess(record.at, message.due(observed.limits));
    let violation = || Violation {
        rule: Rule::InTime,
        id: Some(id.to_owned()),
        destination: None,
        at: record.at,
        why: why(overdue.unwrap_or_default()),
        wire: message.evidence(record),
    };
    let recording_delay = record.recording_delay + message.submission_delay;
    findings.judge(Rule::InTime, overdue, recording_delay, violation);
}
