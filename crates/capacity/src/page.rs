//! The capacity page: its stated figures, and its update after a run.

use crate::catalog::QUANTITIES;
use crate::derived;
use crate::earliest_failures;
use crate::figure::Figure;
use crate::quantity::Quantity;
use crate::table;

pub use crate::stated::{PageError, Run, Stated, stated};

/// The lines before and after what is derived from the full run's figures.
const DERIVED_MARKS: (&str, &str) = (
    "<!-- worked out from the full run -->",
    "<!-- end of what is worked out -->",
);

/// The lines before and after the list of failing figures.
const FAILURES_MARKS: (&str, &str) = (
    "<!-- what fails first -->",
    "<!-- end of what fails first -->",
);

/// The page with these figures in place of those with the same ids; all other rows stay. After a full run, what the page
/// derives from its figures is derived anew.
///
/// # Errors
/// The page can't be read, or has no tables for these figures.
pub fn updated(page: &str, run: Run, figures: &[Figure]) -> Result<String, PageError> {
    let before = stated(page, run)?;
    let row = |quantity: &Quantity| {
        let fresh = figures
            .iter()
            .find(|f| f.quantity.id == quantity.id)
            .map(table::row);
        fresh.or_else(|| {
            before
                .iter()
                .find(|s| s.quantity.id == quantity.id)
                .map(|s| s.row.clone())
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

/// The page with these lines between two marks, if it has the marks.
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

/// The page with this text between two marks.
fn replaced(
    page: &str,
    marks: (&'static str, &'static str),
    text: &str,
) -> Result<String, PageError> {
    let (begin, end) = marks;
    let (before, rest) = page.split_once(begin).ok_or(PageError::NoMark(begin))?;
    let (_, after) = rest.split_once(end).ok_or(PageError::NoMark(end))?;
    Ok(format!("{before}{begin}\n\n{text}\n\n{end}{after}"))
}
