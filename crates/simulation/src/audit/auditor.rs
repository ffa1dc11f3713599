//! The auditor: passes each record to every rule.

use std::time::Duration;

use super::findings::{Findings, Verdict};
use super::limits::{Class, Figures};
use super::messages::MessageLog;
use super::observation::{Observation, RuleAuditor, RunEnd};
use super::record::AuditRecord;
use super::rule::Rule;
use super::rules;

/// Reads the record of a run and judges it.
#[derive(Debug)]
pub struct Auditor {
    limits: Figures,
    messages: MessageLog,
    rules: Vec<Box<dyn RuleAuditor>>,
    findings: Findings,
}

impl Auditor {
    /// An auditor of a run whose messages are of these classes; records name a class by its index.
    pub fn new(figures: Figures, classes: Vec<Class>) -> Auditor {
        Auditor {
            limits: figures,
            messages: MessageLog::default(),
            rules: rules::all(classes),
            findings: Findings::default(),
        }
    }

    /// Reads the next record. Records are in the order of time.
    pub fn hear(&mut self, line: &AuditRecord) {
        let observed = Observation {
            record: line,
            limits: &self.limits,
            messages: &self.messages,
        };
        for rule in &mut self.rules {
            rule.observe(&observed, &mut self.findings);
        }
        // After the rules: they judge a record against what was known before it.
        self.messages.observe(line, &self.limits);
    }

    /// The verdict on each rule of a run that ended at `end`, when the recording was delayed by up to `late`.
    pub fn verdicts(mut self, end: Duration, late: Duration) -> Vec<(Rule, Verdict)> {
        let end = RunEnd {
            at: end,
            recording_delay: late,
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
