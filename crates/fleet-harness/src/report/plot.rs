//! Plots how many members each sender sees over time.

use std::collections::BTreeSet;
use std::io;

use cranehill_scenario_runner::{Outcome, Plan};
use plotters::chart::ChartBuilder;
use plotters::drawing::{DrawingAreaErrorKind, IntoDrawingArea};
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::{Color, Palette, Palette99, WHITE};

use super::summary::Report;
use crate::units::seconds;

/// Width and height in pixels.
const PLOT_SIZE: (u32, u32) = (900, 320);

/// Points of seconds since the run began and number of members.
type Curve = Vec<(f64, f64)>;

/// Draws the number of other members that each sender does not consider down, over time, as SVG.
pub(super) fn members_plot(plan: &Plan, outcome: &Outcome, report: &Report) -> io::Result<String> {
    let end = seconds(outcome.lasted);
    let curves = curves(report, plan.scenario.senders, end);
    let mut svg = String::new();
    draw(&mut svg, curves, end, plan.scenario.members()).map_err(io::Error::other)?;
    Ok(svg)
}

/// One curve for each sender, with a step at each change.
fn curves(report: &Report, senders: usize, end: f64) -> Vec<Curve> {
    let mut seen: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); senders];
    let mut curves: Vec<Curve> = vec![vec![(0.0, 0.0)]; senders];
    for change in &report.timeline.state_changes {
        let Some(seen) = seen.get_mut(change.by) else {
            continue;
        };
        let before = seen.len() as f64;
        match change.state.as_str() {
            "alive" | "suspect" => seen.insert(change.of),
            _ => seen.remove(&change.of),
        };
        let at = seconds(change.at);
        curves[change.by].extend([(at, before), (at, seen.len() as f64)]);
    }
    for (curve, seen) in curves.iter_mut().zip(&seen) {
        curve.push((end, seen.len() as f64));
    }
    curves
}

fn draw(
    svg: &mut String,
    curves: Vec<Curve>,
    end: f64,
    members: usize,
) -> Result<(), DrawingAreaErrorKind<io::Error>> {
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..members as f64)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("others not down, by sender")
        .draw()?;
    for (n, curve) in curves.into_iter().enumerate() {
        let color = Palette99::pick(n).mix(0.6);
        chart.draw_series(LineSeries::new(curve, color))?;
    }
    root.present()
}
