//! Formats figures as rows of the page, of the command's output and of JSON.

use serde::Serialize;

use crate::figure::{Figure, Finding};
use crate::fit::{Fit, Shape};
use crate::quantity::{Kind, Unit};
use crate::sample::Sample;

/// Names of the page's columns. [`crate::page::stated`] parses `id`, `at the planned size`, `holds`, `fails at` and `bound`.
pub const COLUMNS: [&str; 12] = [
    "id",
    "role",
    "what",
    "measured, by size",
    "fit",
    "residual",
    "at the planned size",
    "budget",
    "factor left",
    "holds",
    "fails at",
    "bound",
];

/// A figure in the form in which it is serialized to JSON.
#[derive(Debug, Serialize)]
pub struct Row<'a> {
    /// Id of the quantity.
    pub id: &'a str,
    /// Name of the sweep that measures the quantity.
    pub sweep: &'a str,
    /// Name of the component whose resource or performance is measured.
    pub role: &'a str,
    /// Short description of the quantity.
    #[serde(rename = "what")]
    pub description: &'a str,
    /// Unit of the values.
    pub unit: Unit,
    /// Whether the values depend on the machine.
    pub kind: Kind,
    /// Name of the size on which the quantity depends.
    pub axis: &'a str,
    /// The measurements.
    pub samples: &'a [Sample],
    /// The evaluation of the measurements.
    #[serde(flatten)]
    pub finding: Finding,
    /// The planned size.
    pub planned_size: f64,
    /// The value at the planned size.
    pub planned: f64,
    /// Whether that value was measured at the planned size.
    pub measured_at_planned_size: bool,
    /// The budget, in the unit of the values.
    pub budget: Option<f64>,
    /// Source of the budget.
    pub budget_source: Option<&'a str>,
    /// The budget divided by the cost, if that is finite; see [`Figure::factor_left`].
    pub factor_left: Option<f64>,
    /// Whether the value at the planned size is within the budget.
    pub holds: Option<bool>,
    /// Smallest size at which the budget is exceeded, as a fraction of the planned size.
    pub fails_at_part_of_plan: Option<f64>,
    /// Remark on the measurement.
    pub remark: Option<&'a str>,
}

impl<'a> Row<'a> {
    /// The row of a figure.
    pub fn of(figure: &'a Figure) -> Row<'a> {
        let quantity = figure.quantity;
        Row {
            id: quantity.id,
            sweep: quantity.sweep.name(),
            role: quantity.role.name(),
            description: quantity.description,
            unit: quantity.unit,
            kind: quantity.kind,
            axis: quantity.axis.name(),
            samples: figure.samples.as_slice(),
            finding: figure.finding,
            planned_size: quantity.axis.planned(),
            planned: figure.planned(),
            measured_at_planned_size: figure.is_measured(),
            budget: figure.budget(),
            budget_source: quantity.budget.map(|budget| budget.source),
            // JSON has no representation of infinity.
            factor_left: figure.factor_left().filter(|f| f.is_finite()),
            holds: figure.holds(),
            fails_at_part_of_plan: figure.fails_at(),
            remark: figure.remark.as_deref(),
        }
    }
}

/// The header of the page's table, as Markdown.
pub fn head() -> String {
    let separators: Vec<&str> = COLUMNS.iter().map(|_| "---").collect();
    format!(
        "| {} |\n| {} |",
        COLUMNS.join(" | "),
        separators.join(" | ")
    )
}

/// A figure as a row of the page's table, as Markdown.
pub fn row(figure: &Figure) -> String {
    let quantity = figure.quantity;
    let with_unit = |value: f64| {
        format!("{} {}", number(value), quantity.unit.name())
            .trim()
            .to_owned()
    };
    let samples: Vec<String> = figure.samples.as_slice().iter().map(sample).collect();
    let mut measured = samples.join("; ");
    if let Some(remark) = &figure.remark {
        measured.push_str(&format!(" ({remark})"));
    }
    let (fit, residual) = finding(figure);
    let origin = if figure.is_measured() {
        "measured"
    } else {
        "by the fit"
    };
    let planned = match figure.finding {
        Finding::Limit { .. } => with_unit(figure.planned()),
        Finding::Fitted(_) => format!("{} {origin}", with_unit(figure.planned())),
    };
    let cells = [
        format!("`{}`", quantity.id),
        quantity.role.name().to_owned(),
        format!("{}, by {}", quantity.description, quantity.axis.name()),
        measured,
        fit,
        residual,
        planned,
        figure.budget().map_or("-".into(), with_unit),
        figure.factor_left().map_or("-".into(), factor),
        holds(figure.holds()).to_owned(),
        figure.fails_at().map_or("-".into(), |fraction| {
            format!("{}% of the plan", number(fraction * 100.0))
        }),
        format!("{}%", number(quantity.bound * 100.0)),
    ];
    format!("| {} |", cells.join(" | "))
}

/// Text of the cell in the column `holds`.
pub fn holds(holds: Option<bool>) -> &'static str {
    match holds {
        Some(true) => "yes",
        Some(false) => "NO",
        None => "-",
    }
}

fn sample(sample: &Sample) -> String {
    format!("{}: {}", number(sample.size), number(sample.value))
}

fn factor(factor: f64) -> String {
    if factor.is_finite() {
        number(factor)
    } else {
        "all".into()
    }
}

fn finding(figure: &Figure) -> (String, String) {
    match figure.finding {
        Finding::Limit {
            fails: Some(fails), ..
        } => (format!("fails at {}", number(fails)), "-".into()),
        Finding::Limit { fails: None, .. } => ("no failure seen".into(), "-".into()),
        Finding::Fitted(fit) => (shape(&fit), format!("{:.1}%", fit.residual * 100.0)),
    }
}

fn shape(fit: &Fit) -> String {
    match fit.shape {
        Shape::Straight { base, slope } => {
            let prefix = if fit.is_rough() {
                "**not clearly straight**: "
            } else {
                ""
            };
            format!("{prefix}{} + {} n", number(base), number(slope))
        }
        Shape::Quadratic {
            base,
            slope,
            square,
        } => {
            format!(
                "**not straight**: {} + {} n + {} n²",
                number(base),
                number(slope),
                number(square)
            )
        }
        Shape::Step {
            base,
            slope,
            step,
            from,
        } => {
            let (base, slope) = (number(base), number(slope));
            format!(
                "**not straight**: {base} + {slope} n, a step of {} from {} on",
                number(step),
                number(from)
            )
        }
    }
}

/// Whole numbers below this are written with all digits.
const MAX_EXACT: f64 = 1e9;

/// Formats a number with four significant digits, or all digits of a whole number below `MAX_EXACT`, and with thousands
/// separators. Very large and small numbers are written with an exponent.
pub fn number(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < MAX_EXACT {
        return grouped(&format!("{value:.0}"), "");
    }
    let magnitude = value.abs().log10().floor() as i32;
    if !(-3..15).contains(&magnitude) {
        return format!("{value:.3e}");
    }
    let decimal_places = (3 - magnitude).max(0);
    let scale = 10f64.powi(3 - magnitude);
    let rounded = (value * scale).round() / scale;
    let text = format!("{:.*}", decimal_places as usize, rounded);
    let (whole, decimals) = text.split_once('.').unwrap_or((&text, ""));
    let decimals = decimals.trim_end_matches('0');
    grouped(whole, decimals)
}

/// Joins digits, with thousands separators, and decimals.
fn grouped(whole: &str, decimals: &str) -> String {
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |d| ("-", d));
    let mut grouped = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if decimals.is_empty() {
        format!("{sign}{grouped}")
    } else {
        format!("{sign}{grouped}.{decimals}")
    }
}
