//! The report as one self-contained HTML page.

use cranehill_simulation::audit::Verdict;
use plotters::style::RGBColor;

use super::error::ReportError;
use super::json::{milliseconds, quantile_ms};
use super::plots::{LINE_BLUE, LINE_GREEN, LINE_GREY, LINE_RED, plot};
use crate::figures::{Curve, DestinationCurves, Figures};
use crate::outcome::Outcome;
use crate::plan::Plan;

/// Number of destinations that are plotted: those to which most messages were sent.
const MAX_DESTINATIONS: usize = 12;
/// Violations shown for each rule.
const MAX_SHOWN_VIOLATIONS: usize = 5;
/// Colours of the senders' curves; repeated if there are more senders.
const SENDER_COLOURS: [RGBColor; 4] = [LINE_BLUE, LINE_GREEN, LINE_RED, LINE_GREY];
const STYLE: &str = "body{font-family:sans-serif;max-width:920px;margin:2em auto;color:#222}table{border-collapse:collapse}\
                     td,th{border-bottom:1px solid #ddd;padding:4px 10px;text-align:left;vertical-align:top}svg{margin-top:1em}\
                     pre{white-space:pre-wrap;font-size:12px}";

/// The text of the page.
pub(super) fn page(
    plan: &Plan,
    outcome: &Outcome,
    figures: &Figures,
) -> Result<String, ReportError> {
    let title = escape(&plan.scenario.name);
    let body = [
        summary(plan, outcome, figures),
        rules(outcome),
        service_plots(outcome, figures)?,
        call_plots(figures)?,
        destination_plots(figures)?,
    ]
    .concat();
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style><body>{body}</body></html>"
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn summary(plan: &Plan, outcome: &Outcome, figures: &Figures) -> String {
    let verdict = match (outcome.holds(), outcome.unclear()) {
        (true, false) => "all rules kept",
        (true, true) => "no rule broken, some not judged",
        (false, _) => "RULES BROKEN",
    };
    let (delivered_weight, submitted_weight) = outcome.worth;
    format!(
        "<h1>{}</h1><p><b>{verdict}</b></p>\
         <p>Seed {}, {} senders, {:.1} s. Service {:.3} ({delivered_weight:.1} of {submitted_weight:.0}). Answered in {} ms (median), \
         {} ms (99%); delivered in {} ms, {} ms, {} ms (99.9%). The runner noticed events at most {:.1} ms late.</p>",
        escape(&plan.scenario.name),
        plan.seed,
        plan.scenario.senders,
        outcome.lasted.as_secs_f64(),
        outcome.service(),
        quantile_ms(&figures.answer_latency, 0.5),
        quantile_ms(&figures.answer_latency, 0.99),
        quantile_ms(&figures.delivery_latency, 0.5),
        quantile_ms(&figures.delivery_latency, 0.99),
        quantile_ms(&figures.delivery_latency, 0.999),
        milliseconds(outcome.late.0)
    )
}

fn rules(outcome: &Outcome) -> String {
    let mut table = String::from("<table><tr><th>rule</th><th>verdict</th></tr>");
    for (rule, verdict) in &outcome.verdicts {
        table.push_str(&format!(
            "<tr><td>{}</td><td>{}</td></tr>",
            rule.description(),
            verdict_cell(verdict)
        ));
    }
    table.push_str("</table>");
    table
}

fn verdict_cell(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Kept { cases } => format!("kept ({cases} cases)"),
        Verdict::NotJudged { cases } => format!("not judged ({cases} cases)"),
        Verdict::Broken(violations) => {
            let shown: Vec<String> = violations
                .iter()
                .take(MAX_SHOWN_VIOLATIONS)
                .map(|violation| escape(&violation.to_string()))
                .collect();
            format!(
                "<b>broken {} times</b><pre>{}</pre>",
                violations.len(),
                shown.join("\n")
            )
        }
    }
}

fn service_plots(outcome: &Outcome, figures: &Figures) -> Result<String, ReportError> {
    let load = [
        ("submitted", &figures.submitted, LINE_BLUE),
        ("delivered", &figures.delivered, LINE_GREEN),
        ("rejected", &figures.rejected, LINE_RED),
    ];
    let submitted_weight = weight_over_time(outcome, |weights| weights.1);
    let delivered_weight = weight_over_time(outcome, |weights| weights.0);
    let weights = [
        ("submitted", &submitted_weight, LINE_BLUE),
        ("delivered", &delivered_weight, LINE_GREEN),
    ];
    let plots = [
        plot("Service: messages a second", "messages/s", &load)?,
        plot(
            "Priority weight, by the second of the first submission",
            "messages' priority weight",
            &weights,
        )?,
    ];
    Ok(plots.concat())
}

fn weight_over_time(outcome: &Outcome, weight: fn(&(f64, f64)) -> f64) -> Curve {
    outcome
        .worth_over_time
        .iter()
        .enumerate()
        .map(|(second, weights)| (second as f64, weight(weights)))
        .collect()
}

fn call_plots(figures: &Figures) -> Result<String, ReportError> {
    let names: Vec<String> = (0..figures.in_flight.len())
        .map(|sender| format!("sender {sender}"))
        .collect();
    let in_flight: Vec<(&str, &Curve, RGBColor)> = names
        .iter()
        .zip(&figures.in_flight)
        .zip(SENDER_COLOURS.iter().cycle())
        .map(|((name, curve), colour)| (name.as_str(), curve, *colour))
        .collect();
    let active_retry_after = [("active", &figures.active_retry_after, LINE_RED)];
    let plots = [
        plot("Calls in flight", "calls", &in_flight)?,
        plot("Active Retry-After periods", "waits", &active_retry_after)?,
    ];
    Ok(plots.concat())
}

fn destination_plots(figures: &Figures) -> Result<String, ReportError> {
    let total = |curve: &Curve| curve.iter().map(|point| point.1).sum::<f64>();
    let mut destinations: Vec<&DestinationCurves> = figures.destinations.iter().collect();
    destinations.sort_by(|a, b| total(&b.sent).total_cmp(&total(&a.sent)));
    destinations
        .into_iter()
        .take(MAX_DESTINATIONS)
        .map(|destination| {
            let curves = [
                ("sent", &destination.sent, LINE_BLUE),
                ("capacity", &destination.capacity, LINE_GREY),
            ];
            plot(
                &format!("Destination {}", destination.name),
                "messages/s",
                &curves,
            )
        })
        .collect()
}
