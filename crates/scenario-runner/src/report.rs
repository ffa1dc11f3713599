//! The results of a run as text: a short table, and the first violations of each rule with the recorded events that prove them.

use cranehill_simulation::audit::{Rule, Verdict};

use crate::outcome::Outcome;

/// Largest number of violations shown for each rule, and of reasons shown for a void run.
const MAX_SHOWN_VIOLATIONS: usize = 3;
/// Largest number of warnings shown from the senders' logs.
const MAX_SHOWN_WARNINGS: usize = 5;

/// The results of one run as lines of text; `name` is the scenario's name.
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
            "  runner noticed events at most {:.1} ms late, 99 of 100 within {:.2} ms",
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
        lines.push(format!(
            "  CRASHED: the process of sender {sender} exited unexpectedly"
        ));
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
            .map(|w| format!("  warning: {w}")),
    );
    lines
}

/// The rules that were violated, in the order of the verdicts.
pub fn broken(outcome: &Outcome) -> Vec<Rule> {
    outcome.violated_rules().collect()
}
