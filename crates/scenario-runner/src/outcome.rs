//! Results of a run.

use std::time::Duration;

use cranehill_simulation::audit::{AuditRecord, Rule, Verdict};
use serde_json::Value;

use crate::resource_usage::ResourceUsage;

/// Results of a run: verdicts, the record they come from, and what was measured.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Each rule with the auditor's verdict.
    pub verdicts: Vec<(Rule, Verdict)>,
    /// Every recorded event, in order.
    pub lines: Vec<AuditRecord>,
    /// Priority weight of the messages that were delivered, and of those that were submitted.
    pub worth: (f64, f64),
    /// The same by the second in which a message was first submitted.
    pub worth_over_time: Vec<(f64, f64)>,
    /// Resources that each sender had used at the end.
    pub senders: Vec<ResourceUsage>,
    /// Processor time of the runner's own loop.
    pub runner_cpu: Duration,
    /// Submissions, repeated ones included.
    pub submitted: u64,
    /// Messages that a destination executed.
    pub delivered: u64,
    /// Senders whose process ended and was not meant to.
    pub crashed: Vec<usize>,
    /// Why the run can't be judged: calls that are not valid, or not for the endpoint that got them.
    pub void: Vec<String>,
    /// Warnings of the senders' logs, the first of each.
    pub warnings: Vec<String>,
    /// How late the runner noticed events: at most, and for 99 of 100.
    pub late: (Duration, Duration),
    /// From the start to the end.
    pub lasted: Duration,
    /// When the run began, since 1970.
    pub began: Duration,
    /// With a fleet: every line of the senders' logs, with its sender.
    pub logs: Vec<(usize, String)>,
    /// With a fleet: each sender's view of the members at the end, if it could be read.
    pub views: Vec<Option<Value>>,
}

impl Outcome {
    /// No rule is violated, no sender crashed, and the run can be judged.
    pub fn holds(&self) -> bool {
        self.crashed.is_empty() && self.void.is_empty() && self.violated_rules().next().is_none()
    }

    /// The machine was too busy to judge some rule.
    pub fn unclear(&self) -> bool {
        self.verdicts
            .iter()
            .any(|(_, verdict)| matches!(verdict, Verdict::NotJudged { .. }))
    }

    /// The rules that were violated.
    pub fn violated_rules(&self) -> impl Iterator<Item = Rule> {
        self.verdicts
            .iter()
            .filter(|(_, verdict)| matches!(verdict, Verdict::Broken(_)))
            .map(|(rule, _)| *rule)
    }

    /// Delivered priority weight as a share of the submitted one.
    pub(crate) fn service(&self) -> f64 {
        let (delivered, submitted) = self.worth;
        if submitted > 0.0 {
            delivered / submitted
        } else {
            1.0
        }
    }
}
