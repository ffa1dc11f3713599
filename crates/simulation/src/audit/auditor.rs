//! The auditor: passes each record to every rule.

use std::time::Duration;

use super::findings::{Findings, Verdict};
use super::limits::{Class, RuleLimits};
use super::messages::MessageLog;
use super::observation::{Observation, RuleAuditor, RunEnd};
use super::record::AuditRecord;
use super::rule::Rule;
use super::rules;

/// Checks the records of a run against all rules.
#[derive(Debug)]
pub struct Auditor {
    limits: RuleLimits,
    messages: MessageLog,
    rules: Vec<Box<dyn RuleAuditor>>,
    findings: Findings,
}

impl Auditor {
    /// Creates an auditor with the bounds of the rules and the classes of messages; records refer to a class by its index.
    pub fn new(limits: RuleLimits, classes: Vec<Class>) -> Auditor {
        Auditor {
            limits,
            messages: MessageLog::default(),
            rules: rules::all(classes),
            findings: Findings::default(),
        }
    }

    /// Processes the next record. Records must be in the order of time.
    pub fn observe(&mut self, record: &AuditRecord) {
        let observed = Observation {
            record,
            limits: &self.limits,
            messages: &self.messages,
        };
        for rule in &mut self.rules {
            rule.observe(&observed, &mut self.findings);
        }
        // Updated last, because the rules judge a record against the state before it.
        self.messages.observe(record, &self.limits);
    }

    /// Returns the verdict on each rule, in the order of [`Rule::ALL`].
    ///
    /// `end` is when the run ended, since the start of the scenario; `recording_delay` is the largest delay of a record.
    pub fn verdicts(mut self, end: Duration, recording_delay: Duration) -> Vec<(Rule, Verdict)> {
        let end = RunEnd {
            at: end,
            recording_delay,
            limits: &self.limits,
            messages: &self.messages,
        };
        for rule in &mut self.rules {
            rule.finish(&end, &mut self.findings);
        }
        Rule::ALL
            .into_iter()
            .map(|rule| (rule, self.findings.verdict(rule)))
            .collect()
    }
}
