//! The interface between the auditor and its rules.

use std::fmt;
use std::time::Duration;

use super::findings::Findings;
use super::limits::Figures;
use super::messages::MessageLog;
use super::record::AuditRecord;

/// A record as a rule sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation<'a> {
    pub(super) record: &'a AuditRecord,
    pub(super) limits: &'a Figures,
    /// The messages as they were before this record.
    pub(super) messages: &'a MessageLog,
}

/// The end of a run as a rule sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEnd<'a> {
    pub(super) at: Duration,
    pub(super) recording_delay: Duration,
    pub(super) limits: &'a Figures,
    pub(super) messages: &'a MessageLog,
}

/// Judges one rule.
pub(super) trait RuleAuditor: fmt::Debug + Send + Sync {
    /// Judges the next record; records are in the order of time.
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings);

    /// Judges what can only be judged once the run is over.
    fn finish(&mut self, _end: &RunEnd<'_>, _findings: &mut Findings) {}
}
