//! [`Rule::Waits`]: no call to a destination before its `Retry-After` (RFC 9110, section 10.2.3) has passed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::audit::findings::{Findings, Violation};
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{AuditEvent, AuditRecord};
use crate::audit::rule::Rule;

/// A `Retry-After` that a sender received, until the first call after its end.
#[derive(Debug)]
struct StatedWait {
    stated_at: Duration,
    until: Duration,
    recording_delay: Duration,
    wire: String,
}

/// Checks [`Rule::Waits`].
#[derive(Debug, Default)]
pub(super) struct RetryAfter {
    /// The wait that ends last, by sender and destination.
    waits: BTreeMap<(usize, u64), StatedWait>,
}

impl RuleAuditor for RetryAfter {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        let Some(sender) = record.sender else { return };
        match &record.event {
            // The time of a call is the arrival of its last byte.
            AuditEvent::Called { destination, .. } => {
                self.called(sender, *destination, observed, findings);
            }
            AuditEvent::Replied {
                destination,
                wait: Some(wait),
                ..
            } => self.stated(sender, *destination, *wait, record),
            // A restarted sender does not know the waits of the previous process.
            AuditEvent::ProcessExited => self.waits.retain(|(s, _), _| *s != sender),
            _ => {}
        }
    }
}

impl RetryAfter {
    fn stated(&mut self, sender: usize, destination: u64, wait: Duration, record: &AuditRecord) {
        let until = record.at + wait;
        let known = self.waits.get(&(sender, destination));
        if known.is_some_and(|known| known.until >= until) {
            return;
        }
        let stated = StatedWait {
            stated_at: record.at,
            until,
            recording_delay: record.recording_delay,
            wire: record.wire.clone(),
        };
        self.waits.insert((sender, destination), stated);
    }

    fn called(
        &mut self,
        sender: usize,
        destination: u64,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let record = observed.record;
        let Some(wait) = self.waits.get(&(sender, destination)) else {
            return;
        };
        if record.at >= wait.until {
            findings.kept(Rule::Waits);
            self.waits.remove(&(sender, destination));
            return;
        }
        let elapsed = record.at.saturating_sub(wait.stated_at);
        let grace = observed.limits.retry_after_grace;
        if elapsed <= grace {
            return;
        }
        // The excess is the distance to the nearer allowed time: the end of the grace period or the end of the wait.
        let excess = (elapsed - grace).min(wait.until - record.at);
        let violation = || Violation {
            rule: Rule::Waits,
            id: None,
            destination: Some(destination),
            at: record.at,
            why: format!(
                "a call {} ms after a Retry-After of {} ms",
                elapsed.as_millis(),
                (wait.until - wait.stated_at).as_millis()
            ),
            wire: vec![wait.wire.clone(), record.wire.clone()],
        };
        let recording_delay = record.recording_delay + wait.recording_delay;
        findings.judge(Rule::Waits, Some(excess), recording_delay, violation);
    }
}
