//! What a day came to, for a person: a short table, and each violation with the lines that prove it.

use cranehill_simulation::audit::{Rule, Verdict};

use crate::Outcome;

/// Breaches of one rule that are shown in full.
const MAX_SHOWN_VIOLATIONS: usize = 3;

/// The table of one day.
pub fn table(name: &str, seed: u64, outcome: &Outcome) -> Vec<String> {
    let (worth, asked) = outcome.worth;
    let share = if asked > 0.0 { worth / asked } else { 1.0 };
    let mut lines = vec![
        format!(
            "{name} (seed {seed}, {:.1} s)",
            outcome.lasted.as_secs_f64()
        ),
        format!(
            "  service {share:.3}: {worth:.1} of {asked:.0} messages' priority weight; {} submissions, {} delivered",
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
            .take(5)
            .map(|w| format!("  log: {w}")),
    );
    lines
}

/// Which rules were broken.
pub fn broken(outcome: &Outcome) -> Vec<Rule> {
    let broken = |v: &Verdict| matches!(v, Verdict::Broken(_));
    outcome
        .verdicts
        .iter()
        .filter(|(_, v)| broken(v))
        .map(|(r, _)| *r)
        .collect()
}
