//! Plots the fitted figures of a sweep over its size, as SVG.

use plotters::prelude::*;

use crate::figure::{Figure, Finding};
use crate::fit::Fit;

/// Width of the image in pixels.
const WIDTH: u32 = 900;
/// Height of one figure in pixels.
const HEIGHT: u32 = 320;
const SAMPLE_COLOR: RGBColor = RGBColor(31, 90, 180);
const FIT_COLOR: RGBColor = RGBColor(110, 110, 110);
const BUDGET_COLOR: RGBColor = RGBColor(190, 50, 40);
/// Number of line segments of a fitted curve.
const CURVE_SEGMENTS: u32 = 120;
/// Range of the value axis if no value is positive.
const DEFAULT_RANGE: (f64, f64) = (0.1, 10.0);

/// An error of the drawing library.
pub type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// The background of the image could not be drawn.
    #[error("plot of background: {0}")]
    Background(#[source] DrawError),
    /// One figure could not be drawn.
    #[error("plot of {id}: {source}")]
    Figure {
        /// Id of the figure's quantity.
        id: &'static str,
        /// Error of the drawing library.
        source: DrawError,
    },
    /// The image could not be completed.
    #[error("plot of image: {0}")]
    Image(#[source] DrawError),
}

/// Draws the fitted figures one below the other, and skips limits. Both axes are logarithmic, since sizes differ by orders of
/// magnitude.
///
/// # Errors
/// The drawing library fails.
pub fn svg(figures: &[&Figure]) -> Result<String, PlotError> {
    let fitted: Vec<(&Figure, Fit)> = figures
        .iter()
        .filter_map(|figure| match figure.finding {
            Finding::Fitted(fit) => Some((*figure, fit)),
            Finding::Limit { .. } => None,
        })
        .collect();
    let rows = fitted.len().max(1);
    let mut text = String::new();
    {
        let size = (WIDTH, HEIGHT * rows as u32);
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        root.fill(&WHITE).map_err(PlotError::Background)?;
        for (area, (figure, fit)) in root.split_evenly((rows, 1)).iter().zip(&fitted) {
            let id = figure.quantity.id;
            draw(area, figure, fit).map_err(|source| PlotError::Figure { id, source })?;
        }
        root.present().map_err(PlotError::Image)?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &Area<'_>, figure: &Figure, fit: &Fit) -> Result<(), DrawError> {
    let quantity = figure.quantity;
    let samples = figure.samples.as_slice();
    let first = samples.first().map_or(1.0, |s| s.size);
    let last = figure.samples.largest_size().max(quantity.axis.planned());
    let curve = curve(fit, first, last);
    let (low, high) = value_range(figure, &curve);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .caption(
            format!("{}: {}", quantity.id, quantity.description),
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
    let clamped = |(size, value): &(f64, f64)| (*size, value.max(low));
    chart.draw_series(LineSeries::new(
        curve.iter().map(clamped),
        FIT_COLOR.stroke_width(1),
    ))?;
    if let Some(budget) = figure.budget().filter(|b| *b > 0.0) {
        let line = [(first, budget), (last, budget)];
        chart.draw_series(LineSeries::new(line, BUDGET_COLOR.stroke_width(1)))?;
    }
    let points = samples
        .iter()
        .map(|s| Circle::new((s.size, s.value.max(low)), 4, SAMPLE_COLOR.filled()));
    chart.draw_series(points)?;
    Ok(())
}

/// Points of size and value on the fitted curve, evenly spaced on a logarithmic axis.
fn curve(fit: &Fit, first: f64, last: f64) -> Vec<(f64, f64)> {
    (0..=CURVE_SEGMENTS)
        .map(|n| first * (last / first).powf(f64::from(n) / f64::from(CURVE_SEGMENTS)))
        .map(|size| (size, fit.shape.at(size)))
        .collect()
}

/// The range of all positive values, with a factor of two as margin on both sides.
fn value_range(figure: &Figure, curve: &[(f64, f64)]) -> (f64, f64) {
    let samples = figure.samples.as_slice().iter().map(|s| s.value);
    let values = samples
        .chain(curve.iter().map(|(_, value)| *value))
        .chain(figure.budget());
    let positive: Vec<f64> = values.filter(|v| *v > 0.0).collect();
    let min = positive.iter().copied().fold(f64::INFINITY, f64::min);
    if !min.is_finite() {
        return DEFAULT_RANGE;
    }
    let max = positive.iter().copied().fold(0.0, f64::max);
    (min / 2.0, max * 2.0)
}
