//! [`Rule::Attempts`]: a message has a bounded number of attempts.

use std::collections::BTreeMap;

use crate::audit::findings::{Findings, Violation};
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::AuditEvent;
use crate::audit::rule::Rule;

/// Checks [`Rule::Attempts`].
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Number of attempts, by message.
    attempts: BTreeMap<String, u32>,
}

impl RuleAuditor for Attempts {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        let AuditEvent::Called {
            destination, ids, ..
        } = &record.event
        else {
            return;
        };
        for id in ids {
            let attempts = self.attempts.entry(id.clone()).or_default();
            *attempts += 1;
            if *attempts <= observed.limits.max_attempts {
                findings.kept(Rule::Attempts);
                continue;
            }
            findings.broken(Violation {
                rule: Rule::Attempts,
                id: Some(id.clone()),
                destination: Some(*destination),
                at: record.at,
                why: format!("attempt {attempts} of the message"),
                wire: vec![record.wire.clone()],
            });
        }
    }
}
