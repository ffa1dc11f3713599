//! Reads the capacity page's figures, and updates the page after a run.

use crate::catalog::QUANTITIES;
use crate::derived;
use crate::earliest_failures;
use crate::figure::Figure;
use crate::quantity::Quantity;
use crate::table;

pub use crate::stated::{PageError, Run, Stated, stated};

/// Marker lines before and after the figures that are derived from those of the full run.
const DERIVED_MARKS: (&str, &str) = (
    "<!-- worked out from the full run -->",
    "<!-- end of what is worked out -->",
);

/// Marker lines before and after the table of failing figures.
const FAILURES_MARKS: (&str, &str) = (
    "<!-- what fails first -->",
    "<!-- end of what fails first -->",
);

/// Returns the page with these figures in place of those with the same ids; all other rows are kept. After a full run, the derived
/// figures and the failing figures are updated as well.
///
/// # Errors
/// The page can't be parsed, or has no marked table for the run.
pub fn updated(page: &str, run: Run, figures: &[Figure]) -> Result<String, PageError> {
    let before = stated(page, run)?;
    let row = |quantity: &Quantity| {
        let fresh = figures
            .iter()
            .find(|figure| figure.quantity.id == quantity.id)
            .map(table::row);
        fresh.or_else(|| {
            before
                .iter()
                .find(|stated| stated.quantity.id == quantity.id)
                .map(|stated| stated.row.clone())
        })
    };
    let rows: Vec<String> = QUANTITIES.iter().filter_map(row).collect();
    let page = replaced(
        page,
        run.marks(),
        &format!("{}\n{}", table::head(), rows.join("\n")),
    )?;
    if run == Run::Quick {
        return Ok(page);
    }
    let now = stated(&page, run)?;
    let page = replaced_if_marked(page, DERIVED_MARKS, &derived::of_page(&now))?;
    replaced_if_marked(page, FAILURES_MARKS, &earliest_failures::of_page(&now))
}

/// Replaces the lines between two marker lines, if the page has the first one.
fn replaced_if_marked(
    page: String,
    marks: (&'static str, &'static str),
    lines: &[String],
) -> Result<String, PageError> {
    if page.contains(marks.0) {
        replaced(&page, marks, &lines.join("\n"))
    } else {
        Ok(page)
    }
}

/// Replaces the text between two marker lines.
fn replaced(
    page: &str,
    marks: (&'static str, &'static str),
    text: &str,
) -> Result<String, PageError> {
    let (begin, end) = marks;
    let (before, rest) = page
        .split_once(begin)
        .ok_or(PageError::MissingMark(begin))?;
    let (_, after) = rest.split_once(end).ok_or(PageError::MissingMark(end))?;
    Ok(format!("{before}{begin}\n\n{text}\n\n{end}{after}"))
}
