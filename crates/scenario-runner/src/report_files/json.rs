//! The report as JSON, for other programs.

use std::time::Duration;

use cranehill_simulation::audit::{Rule, Verdict};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::figures::Figures;
use crate::outcome::Outcome;
use crate::plan::Plan;

/// The contents of `report.json`. Its keys are part of the file format.
pub(super) fn report(plan: &Plan, outcome: &Outcome, figures: &Figures) -> Value {
    let rules: Vec<Value> = outcome
        .verdicts
        .iter()
        .map(|(rule, verdict)| rule_json(*rule, verdict))
        .collect();
    let (max_lateness, p99_lateness) = outcome.late;
    json!({
        "day": plan.scenario.name, "seed": plan.seed, "senders": plan.scenario.senders,
        "lasted_ms": outcome.lasted.as_millis() as u64,
        "worth": {"delivered": outcome.worth.0, "asked": outcome.worth.1},
        "handed": outcome.submitted, "delivered": outcome.delivered,
        "answered": quantiles(&figures.answer_latency), "delivery": quantiles(&figures.delivery_latency),
        "rig_late_ms": {"most": milliseconds(max_lateness), "p99": milliseconds(p99_lateness)},
        "rules": rules, "crashed": outcome.crashed, "void": outcome.void, "warnings": outcome.warnings,
    })
}

fn rule_json(rule: Rule, verdict: &Verdict) -> Value {
    let (verdict_text, cases, violations) = match verdict {
        Verdict::Kept { cases } => ("kept", *cases, &[][..]),
        Verdict::NotJudged { cases } => ("not judged", *cases, &[][..]),
        Verdict::Broken(violations) => ("broken", violations.len() as u64, violations.as_slice()),
    };
    let violations: Vec<Value> = violations
        .iter()
        .map(|violation| {
            json!({"at_ms": violation.at.as_millis() as u64, "notice": violation.id, "partner": violation.destination,
                "why": violation.why, "wire": violation.wire})
        })
        .collect();
    json!({"rule": rule.description(), "verdict": verdict_text, "cases": cases, "breaches": violations})
}

fn quantiles(latency: &Histogram<u64>) -> Value {
    json!({"count": latency.len(), "p50_ms": quantile_ms(latency, 0.5), "p99_ms": quantile_ms(latency, 0.99),
        "p999_ms": quantile_ms(latency, 0.999), "max_ms": latency.max() as f64 / 1e3})
}

/// A quantile, 0 to 1, of latencies in microseconds, converted to milliseconds.
pub(super) fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1e3
}

/// A duration in milliseconds.
pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
