//! A day's report as files: JSON for programs, Parquet with every line, and one HTML page with plots that is legible by
//! itself.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;

use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt32Array, UInt64Array};
use cranehill_simulation::audit::{Line, Verdict, What};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use plotters::prelude::*;
use serde_json::{Value, json};

use crate::figures::{Curve, Figures, figures};
use crate::{Outcome, Plan};

/// Rows of one group of the table.
const ROW_GROUP_ROWS: usize = 16 * 1024;
const PLOT_SIZE: (u32, u32) = (900, 260);
/// Destinations that are plotted: those with most load.
const MAX_DESTINATIONS: usize = 12;

fn other(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

/// Writes `report.json`, `report.html`, `events.parquet` and the same as `events.txt` into a folder, made if need be.
pub fn write(dir: &Path, plan: &Plan, outcome: &Outcome) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let figures = figures(&plan.scenario, &outcome.lines, outcome.lasted);
    let json = serde_json::to_string_pretty(&report(plan, outcome, &figures))?;
    std::fs::write(dir.join("report.json"), json)?;
    events(&dir.join("events.parquet"), &outcome.lines)?;
    let mut text = BufWriter::new(File::create(dir.join("events.txt"))?);
    for line in &outcome.lines {
        let sender = line.sender.map_or_else(|| "-".into(), |s| s.to_string());
        let (kind, ..) = columns(&line.what);
        writeln!(
            text,
            "{:>9.3} {sender:>2} {kind:<9} {}",
            line.at.as_secs_f64(),
            line.wire
        )?;
    }
    text.flush()?;
    std::fs::write(dir.join("report.html"), html(plan, outcome, &figures)?)
}

fn quantiles(h: &hdrhistogram::Histogram<u64>) -> Value {
    json!({"count": h.len(), "p50_ms": ms(h, 0.5), "p99_ms": ms(h, 0.99), "p999_ms": ms(h, 0.999),
        "max_ms": h.max() as f64 / 1e3})
}

/// A quantile in milliseconds.
fn ms(h: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    h.value_at_quantile(quantile) as f64 / 1e3
}

fn report(plan: &Plan, outcome: &Outcome, figures: &Figures) -> Value {
    let rules: Vec<Value> = outcome
        .verdicts
        .iter()
        .map(|(rule, verdict)| {
            let (verdict_text, cases, violations) = match verdict {
                Verdict::Kept { cases } => ("kept", *cases, Vec::new()),
                Verdict::NotJudged { cases } => ("not judged", *cases, Vec::new()),
                Verdict::Broken(all) => ("broken", all.len() as u64, all.clone()),
            };
            let violations: Vec<Value> = violations
                .iter()
                .map(|b| {
                    json!({"at_ms": b.at.as_millis() as u64, "notice": b.id, "partner": b.destination, "why": b.why,
                        "wire": b.wire})
                })
                .collect();
            json!({"rule": rule.description(), "verdict": verdict_text, "cases": cases, "breaches": violations})
        })
        .collect();
    json!({
        "day": plan.scenario.name, "seed": plan.seed, "senders": plan.scenario.senders,
        "lasted_ms": outcome.lasted.as_millis() as u64,
        "worth": {"delivered": outcome.worth.0, "asked": outcome.worth.1},
        "handed": outcome.submitted, "delivered": outcome.delivered,
        "answered": quantiles(&figures.answered), "delivery": quantiles(&figures.delivered),
        "rig_late_ms": {"most": outcome.late.0.as_secs_f64() * 1e3, "p99": outcome.late.1.as_secs_f64() * 1e3},
        "rules": rules, "crashed": outcome.crashed, "void": outcome.void, "warnings": outcome.warnings,
    })
}

/// One row of the events' table: kind, message, destination, endpoint, connection.
fn columns(
    what: &What,
) -> (
    &'static str,
    Option<String>,
    Option<u64>,
    Option<u64>,
    Option<u64>,
) {
    let one = |ids: &[String]| Some(ids.join(" ")).filter(|i| !i.is_empty());
    match what {
        What::Submitted {
            id, destination, ..
        } => ("handed", Some(id.clone()), Some(*destination), None, None),
        What::Posted {
            id, destination, ..
        } => ("posted", Some(id.clone()), Some(*destination), None, None),
        What::Answered { id, .. } => ("answered", Some(id.clone()), None, None, None),
        What::Dropped { id } => ("dropped", Some(id.clone()), None, None, None),
        What::Abandoned { id } => ("abandoned", Some(id.clone()), None, None, None),
        What::Opened {
            connection,
            endpoint,
            destination,
        } => (
            "opened",
            None,
            Some(*destination),
            Some(*endpoint as u64),
            Some(*connection),
        ),
        What::Closed { connection } => ("closed", None, None, None, Some(*connection)),
        What::Begun {
            connection,
            endpoint,
            destination,
        } => (
            "begun",
            None,
            Some(*destination),
            Some(*endpoint as u64),
            Some(*connection),
        ),
        What::Called {
            connection,
            endpoint,
            destination,
            ids,
        } => (
            "called",
            one(ids),
            Some(*destination),
            Some(*endpoint as u64),
            Some(*connection),
        ),
        What::Replied {
            connection,
            endpoint,
            destination,
            outcomes,
            ..
        } => {
            let ids: Vec<String> = outcomes.iter().map(|f| f.0.clone()).collect();
            (
                "replied",
                one(&ids),
                Some(*destination),
                Some(*endpoint as u64),
                Some(*connection),
            )
        }
        What::Broke {
            connection,
            endpoint,
            destination,
            ids,
            ..
        } => (
            "broke",
            one(ids),
            Some(*destination),
            Some(*endpoint as u64),
            Some(*connection),
        ),
        What::Notified {
            endpoint,
            destination,
            ..
        } => (
            "told",
            None,
            Some(*destination),
            Some(*endpoint as u64),
            None,
        ),
        What::Reported { id, .. } => ("reported", Some(id.clone()), None, None, None),
        What::Signalled => ("signalled", None, None, None, None),
        What::ProcessExited => ("gone", None, None, None, None),
        What::Lost { only } => ("lost", only.as_deref().and_then(one), None, None, None),
        What::Ready => ("ready", None, None, None, None),
        What::Fell { destination } => ("fell", None, Some(*destination), None, None),
        What::Back { destination, .. } => ("back", None, Some(*destination), None, None),
    }
}

fn events(path: &Path, lines: &[Line]) -> io::Result<()> {
    let schema = batch(&[])?.schema();
    let set = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let file = BufWriter::new(File::create(path)?);
    let mut writer = ArrowWriter::try_new(file, schema, Some(set)).map_err(other)?;
    for chunk in lines.chunks(ROW_GROUP_ROWS) {
        writer.write(&batch(chunk)?).map_err(other)?;
    }
    writer.close().map_err(other)?;
    Ok(())
}

fn batch(lines: &[Line]) -> io::Result<RecordBatch> {
    let rows: Vec<_> = lines.iter().map(|l| columns(&l.what)).collect();
    let micros = |d: std::time::Duration| Some(d.as_micros() as u64);
    let columns: [(&str, ArrayRef, bool); 9] = [
        (
            "at_us",
            Arc::new(lines.iter().map(|l| micros(l.at)).collect::<UInt64Array>()),
            true,
        ),
        (
            "late_us",
            Arc::new(
                lines
                    .iter()
                    .map(|l| micros(l.late))
                    .collect::<UInt64Array>(),
            ),
            true,
        ),
        (
            "sender",
            Arc::new(
                lines
                    .iter()
                    .map(|l| l.sender.map(|s| s as u32))
                    .collect::<UInt32Array>(),
            ),
            true,
        ),
        (
            "kind",
            Arc::new(rows.iter().map(|r| Some(r.0)).collect::<StringArray>()),
            true,
        ),
        (
            "notices",
            Arc::new(rows.iter().map(|r| r.1.as_deref()).collect::<StringArray>()),
            true,
        ),
        (
            "partner",
            Arc::new(rows.iter().map(|r| r.2).collect::<UInt64Array>()),
            true,
        ),
        (
            "endpoint",
            Arc::new(rows.iter().map(|r| r.3).collect::<UInt64Array>()),
            true,
        ),
        (
            "connection",
            Arc::new(rows.iter().map(|r| r.4).collect::<UInt64Array>()),
            true,
        ),
        (
            "wire",
            Arc::new(
                lines
                    .iter()
                    .map(|l| Some(l.wire.as_str()))
                    .collect::<StringArray>(),
            ),
            true,
        ),
    ];
    RecordBatch::try_from_iter_with_nullable(columns).map_err(other)
}

/// Curves in one picture, as SVG.
fn plot(title: &str, unit: &str, curves: &[(&str, &Curve, RGBColor)]) -> io::Result<String> {
    let points = || curves.iter().flat_map(|(_, c, _)| c.iter());
    let most = |f: fn(&(f64, f64)) -> f64| points().map(f).fold(1.0f64, f64::max);
    let (x, y) = (most(|p| p.0), most(|p| p.1) * 1.08);
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(other)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..x, 0.0..y)
            .map_err(other)?;
        chart
            .configure_mesh()
            .x_desc("s")
            .y_desc(unit)
            .light_line_style(WHITE)
            .draw()
            .map_err(other)?;
        for (name, curve, colour) in curves {
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(
                    curve.iter().copied(),
                    colour.stroke_width(2),
                ))
                .map_err(other)?
                .label(*name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.2))
            .position(SeriesLabelPosition::UpperRight)
            .draw()
            .map_err(other)?;
        root.present().map_err(other)?;
    }
    Ok(text)
}

const LINE_BLUE: RGBColor = RGBColor(31, 90, 180);
const LINE_GREEN: RGBColor = RGBColor(30, 130, 70);
const LINE_RED: RGBColor = RGBColor(190, 50, 40);
const LINE_GREY: RGBColor = RGBColor(110, 110, 110);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn html(plan: &Plan, outcome: &Outcome, figures: &Figures) -> io::Result<String> {
    let mut body = String::new();
    let (worth, asked) = outcome.worth;
    let share = if asked > 0.0 { worth / asked } else { 1.0 };
    let verdict = match (outcome.holds(), outcome.unclear()) {
        (true, false) => "all rules kept",
        (true, true) => "no rule broken, some not judged",
        (false, _) => "RULES BROKEN",
    };
    body.push_str(&format!(
        "<h1>{}</h1><p><b>{verdict}</b></p>",
        escape(&plan.scenario.name)
    ));
    body.push_str(&format!(
        "<p>Seed {}, {} senders, {:.1} s. Service {share:.3} ({worth:.1} of {asked:.0}). Answered in {} ms (median), \
         {} ms (99%); delivered in {} ms, {} ms, {} ms (99.9%). The rig was late by {:.1} ms at most.</p>",
        plan.seed,
        plan.scenario.senders,
        outcome.lasted.as_secs_f64(),
        ms(&figures.answered, 0.5),
        ms(&figures.answered, 0.99),
        ms(&figures.delivered, 0.5),
        ms(&figures.delivered, 0.99),
        ms(&figures.delivered, 0.999),
        outcome.late.0.as_secs_f64() * 1e3
    ));
    body.push_str("<table><tr><th>rule</th><th>verdict</th></tr>");
    for (rule, verdict) in &outcome.verdicts {
        let verdict_text = match verdict {
            Verdict::Kept { cases } => format!("kept ({cases} cases)"),
            Verdict::NotJudged { cases } => format!("not judged ({cases} cases)"),
            Verdict::Broken(all) => {
                let shown: Vec<String> =
                    all.iter().take(5).map(|b| escape(&b.to_string())).collect();
                format!(
                    "<b>broken {} times</b><pre>{}</pre>",
                    all.len(),
                    shown.join("\n")
                )
            }
        };
        body.push_str(&format!(
            "<tr><td>{}</td><td>{verdict_text}</td></tr>",
            rule.description()
        ));
    }
    body.push_str("</table>");
    let load = [
        ("handed in", &figures.submitted, LINE_BLUE),
        ("delivered", &figures.delivered_by_second, LINE_GREEN),
        ("refused", &figures.rejected, LINE_RED),
    ];
    body.push_str(&plot("Service: messages a second", "messages/s", &load)?);
    let over_time = |of: fn(&(f64, f64)) -> f64| -> Curve {
        outcome
            .worth_over_time
            .iter()
            .enumerate()
            .map(|(s, w)| (s as f64, of(w)))
            .collect()
    };
    let (asked, worth) = (over_time(|w| w.1), over_time(|w| w.0));
    let curves = [
        ("asked for", &asked, LINE_BLUE),
        ("delivered", &worth, LINE_GREEN),
    ];
    body.push_str(&plot(
        "Worth, by the second of the first handing in",
        "messages' priority weight",
        &curves,
    )?);
    let colours = [LINE_BLUE, LINE_GREEN, LINE_RED, LINE_GREY];
    let names: Vec<String> = (0..figures.in_flight.len())
        .map(|n| format!("sender {n}"))
        .collect();
    let flights: Vec<(&str, &Curve, RGBColor)> = names
        .iter()
        .zip(&figures.in_flight)
        .enumerate()
        .map(|(n, (name, curve))| (name.as_str(), curve, colours[n % colours.len()]))
        .collect();
    body.push_str(&plot("Calls out", "calls", &flights)?);
    body.push_str(&plot(
        "Waits that are on",
        "waits",
        &[("told", &figures.waits, LINE_RED)],
    )?);
    let total = |curve: &Curve| curve.iter().map(|p| p.1).sum::<f64>();
    let mut destinations: Vec<_> = figures.destinations.iter().collect();
    destinations.sort_by(|a, b| total(&b.1).total_cmp(&total(&a.1)));
    for (name, load, capacity) in destinations.into_iter().take(MAX_DESTINATIONS) {
        let curves = [
            ("sent to it", load, LINE_BLUE),
            ("what it can do", capacity, LINE_GREY),
        ];
        body.push_str(&plot(&format!("Partner {name}"), "messages/s", &curves)?);
    }
    let style = "body{font-family:sans-serif;max-width:920px;margin:2em auto;color:#222}table{border-collapse:collapse}\
                 td,th{border-bottom:1px solid #ddd;padding:4px 10px;text-align:left;vertical-align:top}svg{margin-top:1em}\
                 pre{white-space:pre-wrap;font-size:12px}";
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{}</title><style>{style}</style><body>{body}</body></html>",
        escape(&plan.scenario.name)
    ))
}
