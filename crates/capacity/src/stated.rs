//! Parses the figures that `docs/CAPACITY.md` states, from its two marked tables.

use crate::catalog::quantity;
use crate::quantity::Quantity;

/// The kind of run; each has its own table on the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// All sizes, with times.
    Full,
    /// `--quick`: small sizes, only counts and bytes.
    Quick,
}

impl Run {
    /// Marker lines before and after the run's table.
    pub fn marks(self) -> (&'static str, &'static str) {
        match self {
            Run::Full => (
                "<!-- figures of the full run -->",
                "<!-- end of the full run -->",
            ),
            Run::Quick => (
                "<!-- figures of the quick run -->",
                "<!-- end of the quick run -->",
            ),
        }
    }
}

/// A figure as the page states it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stated {
    /// The quantity of the figure.
    pub quantity: &'static Quantity,
    /// The value at the planned size.
    pub planned: f64,
    /// Whether the value is within the budget; `None` without a budget.
    pub holds: Option<bool>,
    /// Smallest size at which the budget is exceeded, as a fraction of the planned size; `None` if it is not exceeded.
    pub fails_at: Option<f64>,
    /// How much worse a run may be, as a fraction of the figure.
    pub bound: f64,
    /// Text of the row, which an update keeps if the run did not measure the figure.
    pub(crate) row: String,
}

/// Why the page can't be parsed. Lines count from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PageError {
    /// A marker line before or after a table is missing.
    #[error("marker line '{0}' is missing")]
    MissingMark(&'static str),
    /// A table lacks a column.
    #[error("line {line}: no column '{column}'")]
    MissingColumn {
        /// Line of the table's header.
        line: usize,
        /// Name of the column.
        column: &'static str,
    },
    /// A row has an id that is not in the catalog.
    #[error("line {line}: no quantity '{id}'")]
    UnknownQuantity {
        /// Line of the row.
        line: usize,
        /// Id of the row.
        id: String,
    },
    /// Two rows have the same id.
    #[error("line {line}: duplicate row for '{id}'")]
    DuplicateRow {
        /// Line of the second row.
        line: usize,
        /// Id of the row.
        id: String,
    },
    /// The text of a cell has the wrong format.
    #[error("line {line}: column '{column}': invalid value '{text}'")]
    InvalidCell {
        /// Line of the row.
        line: usize,
        /// Name of the cell's column.
        column: &'static str,
        /// Text of the cell.
        text: String,
    },
}

/// Indices of the columns that are parsed.
struct Columns {
    id: usize,
    planned: usize,
    holds: usize,
    fails_at: usize,
    bound: usize,
}

impl Columns {
    /// Finds the columns in a table's header.
    fn of(line: usize, head: &str) -> Result<Columns, PageError> {
        let cells = cells(head);
        let position = |column: &'static str| {
            cells
                .iter()
                .position(|c| *c == column)
                .ok_or(PageError::MissingColumn { line, column })
        };
        Ok(Columns {
            id: position("id")?,
            planned: position("at the planned size")?,
            holds: position("holds")?,
            fails_at: position("fails at")?,
            bound: position("bound")?,
        })
    }
}

/// Parses the figures of one run's table; none if the table is empty.
///
/// # Errors
/// The first fault on the page.
pub fn stated(page: &str, run: Run) -> Result<Vec<Stated>, PageError> {
    let (begin, end) = run.marks();
    let lines: Vec<&str> = page.lines().collect();
    let first = lines
        .iter()
        .position(|l| l.trim() == begin)
        .ok_or(PageError::MissingMark(begin))?;
    let length = lines[first..]
        .iter()
        .position(|l| l.trim() == end)
        .ok_or(PageError::MissingMark(end))?;
    let inside = lines[first..first + length].iter().enumerate();
    let mut rows = inside
        .filter(|(_, l)| l.trim_start().starts_with('|'))
        .map(|(n, l)| (first + n + 1, *l));
    let Some((line, head)) = rows.next() else {
        return Ok(Vec::new());
    };
    let columns = Columns::of(line, head)?;
    let mut found: Vec<Stated> = Vec::new();
    for (line, row) in rows.filter(|(_, row)| !row.contains("| --- |")) {
        let figure = read_row(line, row, &columns)?;
        if found.iter().any(|f| f.quantity.id == figure.quantity.id) {
            return Err(PageError::DuplicateRow {
                line,
                id: figure.quantity.id.into(),
            });
        }
        found.push(figure);
    }
    Ok(found)
}

fn read_row(line: usize, row: &str, columns: &Columns) -> Result<Stated, PageError> {
    let cells = cells(row);
    let cell = |column: usize| cells.get(column).copied().unwrap_or_default();
    let invalid = |column, text: &str| PageError::InvalidCell {
        line,
        column,
        text: text.into(),
    };
    let id = cell(columns.id).trim_matches('`');
    let quantity = quantity(id).ok_or_else(|| PageError::UnknownQuantity {
        line,
        id: id.into(),
    })?;
    let planned = cell(columns.planned);
    let holds = match cell(columns.holds) {
        "yes" => Some(true),
        "NO" => Some(false),
        "-" => None,
        other => return Err(invalid("holds", other)),
    };
    let fails_at = match cell(columns.fails_at) {
        "-" => None,
        text => Some(percent(text).ok_or_else(|| invalid("fails at", text))?),
    };
    let bound = cell(columns.bound);
    let bound = percent(bound).ok_or_else(|| invalid("bound", bound))?;
    let value = leading_number(planned).ok_or_else(|| invalid("at the planned size", planned))?;
    Ok(Stated {
        quantity,
        planned: value,
        holds,
        fails_at,
        bound,
        row: row.into(),
    })
}

/// The trimmed cells of a table row.
fn cells(row: &str) -> Vec<&str> {
    row.trim()
        .trim_matches('|')
        .split('|')
        .map(str::trim)
        .collect()
}

/// The percentage at the beginning of a cell, as a fraction; `None` if there is none or it is negative.
fn percent(cell: &str) -> Option<f64> {
    let number = cell.split_whitespace().next()?.strip_suffix('%')?;
    leading_number(number)
        .filter(|p| *p >= 0.0)
        .map(|p| p / 100.0)
}

/// The number at the beginning of a cell, which may have thousands separators.
fn leading_number(cell: &str) -> Option<f64> {
    let first = cell.split_whitespace().next()?;
    first
        .replace(',', "")
        .parse::<f64>()
        .ok()
        .filter(|v| v.is_finite())
}
