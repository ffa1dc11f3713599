//! Each figure of a sweep over its size, as SVG.

use plotters::prelude::*;

use crate::figure::{Figure, Finding};

const WIDTH: u32 = 900;
const HEIGHT: u32 = 320;
const SAMPLES: RGBColor = RGBColor(31, 90, 180);
const FIT: RGBColor = RGBColor(110, 110, 110);
const BUDGET: RGBColor = RGBColor(190, 50, 40);
/// Points of a fitted curve.
const POINTS: u32 = 120;

/// Why nothing was drawn.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("plot of {id}: {why}")]
pub struct PlotError {
    id: String,
    why: String,
}

/// The fitted figures, one below the other; both axes are logarithmic, since sizes lie decades apart.
pub fn svg(figures: &[&Figure]) -> Result<String, PlotError> {
    let drawn: Vec<&&Figure> = figures
        .iter()
        .filter(|f| matches!(f.finding, Finding::Fitted(_)))
        .collect();
    let mut text = String::new();
    {
        let size = (WIDTH, HEIGHT * drawn.len().max(1) as u32);
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        let failed = |id: &str, why: &dyn std::fmt::Display| PlotError {
            id: id.into(),
            why: why.to_string(),
        };
        root.fill(&WHITE).map_err(|e| failed("background", &e))?;
        for (area, figure) in root
            .split_evenly((drawn.len().max(1), 1))
            .iter()
            .zip(&drawn)
        {
            draw(area, figure).map_err(|e| failed(figure.quantity.id, &e))?;
        }
        root.present().map_err(|e| failed("page", &e))?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &Area<'_>, figure: &Figure) -> Result<(), Box<dyn std::error::Error>> {
    let Finding::Fitted(fit) = figure.finding else {
        return Ok(());
    };
    let quantity = figure.quantity;
    let samples = figure.samples.as_slice();
    let first = samples.first().map_or(1.0, |s| s.size);
    let last = figure.samples.largest_size().max(quantity.axis.planned());
    let curve: Vec<(f64, f64)> = (0..=POINTS)
        .map(|n| first * (last / first).powf(f64::from(n) / f64::from(POINTS)))
        .map(|size| (size, fit.shape.at(size)))
        .collect();
    let values = samples
        .iter()
        .map(|s| s.value)
        .chain(curve.iter().map(|p| p.1))
        .chain(figure.budget());
    let positive: Vec<f64> = values.filter(|v| *v > 0.0).collect();
    let least = positive.iter().copied().fold(f64::INFINITY, f64::min);
    let (low, high) = if least.is_finite() {
        (
            least / 2.0,
            positive.iter().copied().fold(0.0, f64::max) * 2.0,
        )
    } else {
        (0.1, 10.0)
    };
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .caption(
            format!("{}: {}", quantity.id, quantity.what),
            ("sans-serif", 15),
        )
        .x_label_area_size(34)
        .y_label_area_size(80)
        .build_cartesian_2d((first..last * 1.2).log_scale(), (low..high).log_scale())?;
    chart
        .configure_mesh()
        .x_desc(quantity.axis.name())
        .y_desc(quantity.unit.name())
        .draw()?;
    let shown = |(size, value): &(f64, f64)| (*size, value.max(low));
    chart.draw_series(LineSeries::new(
        curve.iter().map(shown),
        FIT.stroke_width(1),
    ))?;
    if let Some(budget) = figure.budget().filter(|b| *b > 0.0) {
        let line = [(first, budget), (last, budget)];
        chart.draw_series(LineSeries::new(line, BUDGET.stroke_width(1)))?;
    }
    let points = samples
        .iter()
        .map(|s| Circle::new((s.size, s.value.max(low)), 4, SAMPLES.filled()));
    chart.draw_series(points)?;
    Ok(())
}
