//! Results of a run.

use std::time::Duration;

use cranehill_simulation::audit::{AuditRecord, Rule, Verdict};
use serde_json::Value;

use crate::resource_usage::ResourceUsage;

/// Results of a run: the auditor's verdicts, the recorded events on which they are based, and measurements.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Each rule with the auditor's verdict.
    pub verdicts: Vec<(Rule, Verdict)>,
    /// All recorded events, in the order in which they were noticed.
    pub lines: Vec<AuditRecord>,
    /// Total weight of the delivered messages, and number of all messages. A message delivered within its latency objective has weight
    /// 1, a later one less. A message that is submitted again counts once.
    pub worth: (f64, f64),
    /// The same pair for each second of the run, by the time of a message's first submission.
    pub worth_over_time: Vec<(f64, f64)>,
    /// By sender: resources that its process had used at the end.
    pub senders: Vec<ResourceUsage>,
    /// Processor time of the runner's event loop.
    pub runner_cpu: Duration,
    /// Number of submissions, including repeated ones.
    pub submitted: u64,
    /// Number of messages for which a destination replied that they were executed.
    pub delivered: u64,
    /// Indices of the senders whose process exited although the scenario did not end it.
    pub crashed: Vec<usize>,
    /// Why the run can't be judged: malformed requests, and calls to the wrong endpoint. Empty for a valid run.
    pub void: Vec<String>,
    /// Distinct warnings in the senders' logs, and upgrades that could not be started.
    pub warnings: Vec<String>,
    /// Delay with which the runner noticed events: the maximum, and the delay that 99 of 100 events did not exceed.
    pub late: (Duration, Duration),
    /// Time from the start of the scenario to the end of the run.
    pub lasted: Duration,
    /// Start of the scenario, as time since the Unix epoch (1970).
    pub began: Duration,
    /// With a fleet: every line of the senders' logs, with the index of its sender.
    pub logs: Vec<(usize, String)>,
    /// By sender: its view of the fleet's members at the end, as JSON; `None` without a fleet, or if it could not be read.
    pub views: Vec<Option<Value>>,
}

impl Outcome {
    /// Whether no rule is violated, no sender crashed, and the run is not void. Rules that were not judged do not count.
    pub fn holds(&self) -> bool {
        self.crashed.is_empty() && self.void.is_empty() && self.violated_rules().next().is_none()
    }

    /// Whether the machine was too busy to judge some rule.
    pub fn unclear(&self) -> bool {
        self.verdicts
            .iter()
            .any(|(_, verdict)| matches!(verdict, Verdict::NotJudged { .. }))
    }

    /// The rules that were violated, in the order of the verdicts.
    pub fn violated_rules(&self) -> impl Iterator<Item = Rule> {
        self.verdicts
            .iter()
            .filter(|(_, verdict)| matches!(verdict, Verdict::Broken(_)))
            .map(|(rule, _)| *rule)
    }

    /// Weight of the delivered messages as a share of all messages ([`worth`](Outcome::worth)), 0 to 1; 1 without any message.
    pub(crate) fn service(&self) -> f64 {
        let (delivered, submitted) = self.worth;
        if submitted > 0.0 {
            delivered / submitted
        } else {
            1.0
        }
    }
}
