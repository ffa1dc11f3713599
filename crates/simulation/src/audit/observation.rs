//! The interface between the auditor and its rules.

use std::fmt;
use std::time::Duration;

use super::findings::Findings;
use super::limits::RuleLimits;
use super::messages::MessageLog;
use super::record::AuditRecord;

/// A record, with the context that a rule needs to judge it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation<'a> {
    pub(super) record: &'a AuditRecord,
    pub(super) limits: &'a RuleLimits,
    /// The state of all messages before this record.
    pub(super) messages: &'a MessageLog,
}

/// The end of a run, with the context that a rule needs to judge it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEnd<'a> {
    /// When the run ended, since the start of the scenario.
    pub(super) at: Duration,
    /// The largest delay of a record.
    pub(super) recording_delay: Duration,
    pub(super) limits: &'a RuleLimits,
    pub(super) messages: &'a MessageLog,
}

/// Checks one rule.
pub(super) trait RuleAuditor: fmt::Debug + Send + Sync {
    /// Processes the next record; records arrive in the order of time.
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings);

    /// Judges the cases that are open when the run ends, such as messages without an end.
    fn finish(&mut self, _end: &RunEnd<'_>, _findings: &mut Findings) {}
}
