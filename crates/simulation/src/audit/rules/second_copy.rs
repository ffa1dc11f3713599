//! [`Rule::SecondCopy`]: at most one attempt of a message is in flight.

use std::collections::BTreeMap;

use crate::audit::calls::CallsInFlight;
use crate::audit::findings::{Findings, Violation};
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::AuditEvent;
use crate::audit::rule::Rule;

#[derive(Debug)]
struct Attempt {
    connection: u64,
    wire: String,
}

/// Checks [`Rule::SecondCopy`].
#[derive(Debug, Default)]
pub(super) struct SecondCopy {
    calls: CallsInFlight,
    /// The latest attempt in flight, by message.
    in_flight: BTreeMap<String, Attempt>,
}

impl RuleAuditor for SecondCopy {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        if let AuditEvent::Called {
            connection,
            destination,
            ids,
            ..
        } = &record.event
        {
            for id in ids {
                let attempt = Attempt {
                    connection: *connection,
                    wire: record.wire.clone(),
                };
                match self.in_flight.insert(id.clone(), attempt) {
                    None => findings.kept(Rule::SecondCopy),
                    Some(first) => findings.broken(Violation {
                        rule: Rule::SecondCopy,
                        id: Some(id.clone()),
                        destination: Some(*destination),
                        at: record.at,
                        why: "a second attempt while another is in flight".to_owned(),
                        wire: vec![first.wire, record.wire.clone()],
                    }),
                }
            }
        }
        let Some(ended) = self.calls.observe(&record.event) else {
            return;
        };
        for attempt in ended.attempts {
            let latest = self.in_flight.get(&attempt.id);
            if latest.is_some_and(|latest| latest.connection == ended.connection) {
                self.in_flight.remove(&attempt.id);
            }
        }
    }
}
