//! [`Rule::Drains`]: a draining or removed endpoint receives no new calls after a grace period.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{AuditEvent, AuditRecord, Listed};
use crate::audit::rule::Rule;

/// The first notification of a sender that an endpoint drains or is removed.
#[derive(Debug)]
struct DrainNotification {
    at: Duration,
    recording_delay: Duration,
    wire: String,
}

/// Checks [`Rule::Drains`].
#[derive(Debug, Default)]
pub(super) struct Drains {
    /// Endpoints that drain or are removed, by sender and endpoint.
    notified: BTreeMap<(usize, usize), DrainNotification>,
}

impl RuleAuditor for Drains {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        let Some(sender) = record.sender else { return };
        match &record.event {
            AuditEvent::Notified {
                endpoint, listed, ..
            } => self.list_changed(sender, *endpoint, *listed, record, findings),
            AuditEvent::Begun {
                endpoint,
                destination,
                ..
            } => self.call_begun(sender, *endpoint, *destination, observed, findings),
            _ => {}
        }
    }
}

impl Drains {
    fn list_changed(
        &mut self,
        sender: usize,
        endpoint: usize,
        listed: Listed,
        record: &AuditRecord,
        findings: &mut Findings,
    ) {
        match listed {
            Listed::Up => {
                self.notified.remove(&(sender, endpoint));
            }
            Listed::Draining | Listed::Removed => {
                self.notified.entry((sender, endpoint)).or_insert_with(|| {
                    // A sender that keeps the rule makes no call, so the notification itself counts as a case.
                    findings.kept(Rule::Drains);
                    DrainNotification {
                        at: record.at,
                        recording_delay: record.recording_delay,
                        wire: record.wire.clone(),
                    }
                });
            }
        }
    }

    fn call_begun(
        &self,
        sender: usize,
        endpoint: usize,
        destination: u64,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let record = observed.record;
        let Some(notification) = self.notified.get(&(sender, endpoint)) else {
            return;
        };
        let elapsed = record.at.saturating_sub(notification.at);
        let violation = || Violation {
            rule: Rule::Drains,
            id: None,
            destination: Some(destination),
            at: record.at,
            why: format!(
                "a call began {} ms after the sender was notified that endpoint {endpoint} drains or is removed",
                elapsed.as_millis()
            ),
            wire: vec![notification.wire.clone(), record.wire.clone()],
        };
        let overrun = excess(elapsed, observed.limits.drain_grace);
        let recording_delay = record.recording_delay + notification.recording_delay;
        findings.judge(Rule::Drains, overrun, recording_delay, violation);
    }
}
