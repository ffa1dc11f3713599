//! The results of a run as text: a short table, and each violation with the lines that prove it.

use cranehill_simulation::audit::{Rule, Verdict};

use crate::outcome::Outcome;

/// Violations of one rule, and reasons why a run is void, that are shown.
const MAX_SHOWN_VIOLATIONS: usize = 3;
/// Warnings of the senders' logs that are shown.
const MAX_SHOWN_WARNINGS: usize = 5;

/// The table of one run.
pub fn table(name: &str, seed: u64, outcome: &Outcome) -> Vec<String> {
    let share = outcome.service();
    let (delivered_weight, submitted_weight) = outcome.worth;
    let mut lines = vec![
        format!(
            "{name} (seed {seed}, {:.1} s)",
            outcome.lasted.as_secs_f64()
        ),
        format!(
            "  service {share:.3}: {delivered_weight:.1} of {submitted_weight:.0} messages' priority weight; {} submissions, {} delivered",
            outcome.submitted, outcome.delivered
        ),
        format!(
            "  rig late by {:.1} ms at most, {:.2} ms 99 of 100 times",
            outcome.late.0.as_secs_f64() * 1e3,
            outcome.late.1.as_secs_f64() * 1e3
        ),
    ];
    for (rule, verdict) in &outcome.verdicts {
        let verdict_text = match verdict {
            Verdict::Kept { cases } => format!("kept ({cases} cases)"),
            Verdict::Broken(violations) => format!("BROKEN ({} times)", violations.len()),
            Verdict::NotJudged { cases } => {
                format!("not judged: the machine was too busy in {cases} cases")
            }
        };
        lines.push(format!("  {:<58} {verdict_text}", rule.description()));
        if let Verdict::Broken(violations) = verdict {
            for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
                lines.extend(violation.to_string().lines().map(|l| format!("      {l}")));
            }
        }
    }
    for sender in &outcome.crashed {
        lines.push(format!("  CRASHED: sender {sender} ended without a signal"));
    }
    lines.extend(
        outcome
            .void
            .iter()
            .take(MAX_SHOWN_VIOLATIONS)
            .map(|v| format!("  VOID: {v}")),
    );
    lines.extend(
        outcome
            .warnings
            .iter()
            .take(MAX_SHOWN_WARNINGS)
            .map(|w| format!("  log: {w}")),
    );
    lines
}

/// The rules that were violated.
pub fn broken(outcome: &Outcome) -> Vec<Rule> {
    outcome.violated_rules().collect()
}
