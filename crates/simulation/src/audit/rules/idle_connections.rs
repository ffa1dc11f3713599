//! [`Rule::Idle`]: no call on a connection that was idle too long, or that received further bytes after its last reply.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{AuditEvent, AuditRecord};
use crate::audit::rule::Rule;

/// The latest time at which a connection was opened, or a whole call or reply passed on it.
#[derive(Debug)]
struct LastUse {
    at: Duration,
    recording_delay: Duration,
}

/// Checks [`Rule::Idle`].
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    /// Latest use, by connection.
    last_use: BTreeMap<u64, LastUse>,
    /// Replies that were followed by further bytes, by connection.
    trailing_bytes: BTreeMap<u64, String>,
}

impl RuleAuditor for IdleConnections {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        match &record.event {
            AuditEvent::Opened { connection, .. } | AuditEvent::Called { connection, .. } => {
                self.used(*connection, record);
            }
            AuditEvent::Replied {
                connection, spoilt, ..
            } => {
                if *spoilt {
                    self.trailing_bytes.insert(*connection, record.wire.clone());
                }
                self.used(*connection, record);
            }
            AuditEvent::Closed { connection } | AuditEvent::Broke { connection, .. } => {
                self.last_use.remove(connection);
                self.trailing_bytes.remove(connection);
            }
            AuditEvent::Begun {
                connection,
                destination,
                ..
            } => self.call_begun(*connection, *destination, observed, findings),
            _ => {}
        }
    }
}

impl IdleConnections {
    fn used(&mut self, connection: u64, record: &AuditRecord) {
        let last_use = LastUse {
            at: record.at,
            recording_delay: record.recording_delay,
        };
        self.last_use.insert(connection, last_use);
    }

    fn call_begun(
        &self,
        connection: u64,
        destination: u64,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let record = observed.record;
        let violation = |why: String, wire: Vec<String>| Violation {
            rule: Rule::Idle,
            id: None,
            destination: Some(destination),
            at: record.at,
            why,
            wire,
        };
        if let Some(reply) = self.trailing_bytes.get(&connection) {
            let why = "a call on a connection with further bytes after its last reply".to_owned();
            findings.broken(violation(why, vec![reply.clone(), record.wire.clone()]));
        }
        if let Some(last_use) = self.last_use.get(&connection) {
            let idle = record.at.saturating_sub(last_use.at);
            let idle_ms = idle.as_millis();
            let why = format!("a call on a connection that was idle for {idle_ms} ms");
            let violation = || violation(why, vec![record.wire.clone()]);
            let overrun = excess(idle, observed.limits.max_idle);
            let recording_delay = record.recording_delay + last_use.recording_delay;
            findings.judge(Rule::Idle, overrun, recording_delay, violation);
        }
    }
}
