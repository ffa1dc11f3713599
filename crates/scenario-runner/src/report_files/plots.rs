//! Line plots, as SVG.

use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, RGBColor, WHITE};

use super::error::{DrawingError, ReportError};
use crate::figures::Curve;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);
/// Height of a plot in multiples of its highest value, so that a margin remains above the curves.
const HEADROOM: f64 = 1.08;

pub(super) const LINE_BLUE: RGBColor = RGBColor(31, 90, 180);
pub(super) const LINE_GREEN: RGBColor = RGBColor(30, 130, 70);
pub(super) const LINE_RED: RGBColor = RGBColor(190, 50, 40);
pub(super) const LINE_GREY: RGBColor = RGBColor(110, 110, 110);

/// A curve's name in the legend, its points and its colour.
pub(super) type NamedCurve<'a> = (&'a str, &'a Curve, RGBColor);

/// Draws curves over time in seconds in one plot, and returns it as SVG. `unit` labels the y axis.
pub(super) fn plot(
    title: &str,
    unit: &str,
    curves: &[NamedCurve<'_>],
) -> Result<String, ReportError> {
    let mut svg = String::new();
    draw(&mut svg, title, unit, curves).map_err(|source| ReportError::Plot {
        title: title.to_owned(),
        source,
    })?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    unit: &str,
    curves: &[NamedCurve<'_>],
) -> Result<(), DrawingError> {
    let width = largest(curves, |point| point.0);
    let height = largest(curves, |point| point.1) * HEADROOM;
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc(unit)
        .light_line_style(WHITE)
        .draw()?;
    for (name, curve, colour) in curves {
        let style = colour.stroke_width(2);
        chart
            .draw_series(LineSeries::new(curve.iter().copied(), style))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.2))
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    root.present()
}

/// The largest x or y coordinate of all curves, at least 1 so that the axis is not empty.
fn largest(curves: &[NamedCurve<'_>], coordinate: fn(&(f64, f64)) -> f64) -> f64 {
    curves
        .iter()
        .flat_map(|(_, curve, _)| curve.iter())
        .map(coordinate)
        .fold(1.0, f64::max)
}
