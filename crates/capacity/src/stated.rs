//! The figures that `docs/CAPACITY.md` states, read from its two marked tables.

use crate::catalog::quantity;
use crate::quantity::Quantity;

/// Which run a table is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// All sizes, times as well.
    Full,
    /// `--quick`: small sizes, counts and bytes alone.
    Quick,
}

impl Run {
    /// The lines before and after its table.
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

/// A figure as the page gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stated {
    /// What it is a figure of.
    pub quantity: &'static Quantity,
    /// The value at the planned size.
    pub planned: f64,
    /// Whether the budget held; `None` where there is none.
    pub holds: Option<bool>,
    /// The smallest part of the planned size at which the budget does not hold, where it does not.
    pub fails_at: Option<f64>,
    /// By how much a run may be worse, as a part of the figure.
    pub bound: f64,
    /// The row's text, which stays where a run does not measure the figure.
    pub(crate) row: String,
}

/// Why the page can't be read. Lines count from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PageError {
    /// A line before or after a table is missing.
    #[error("the line '{0}' is missing")]
    NoMark(&'static str),
    /// A table has no such column.
    #[error("line {line}: no column '{column}'")]
    NoColumn {
        /// The table's head.
        line: usize,
        /// The column.
        column: &'static str,
    },
    /// A row is of no quantity of the catalog.
    #[error("line {line}: no quantity '{id}'")]
    Unknown {
        /// The row.
        line: usize,
        /// Its id.
        id: String,
    },
    /// Two rows are of one quantity.
    #[error("line {line}: '{id}' is stated twice")]
    Twice {
        /// The second row.
        line: usize,
        /// Its id.
        id: String,
    },
    /// A cell has the wrong form.
    #[error("line {line}: {column}: '{text}' can't be read")]
    Unreadable {
        /// The row.
        line: usize,
        /// The cell's column.
        column: &'static str,
        /// The cell.
        text: String,
    },
}

/// Positions of the columns that are read.
struct Columns {
    id: usize,
    planned: usize,
    holds: usize,
    fails_at: usize,
    bound: usize,
}

impl Columns {
    fn of(line: usize, head: &str) -> Result<Columns, PageError> {
        let cells = cells(head);
        let position = |column: &'static str| {
            cells
                .iter()
                .position(|c| *c == column)
                .ok_or(PageError::NoColumn { line, column })
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

/// The figures of one run's table.
///
/// # Errors
/// The first line that can't be read.
pub fn stated(page: &str, run: Run) -> Result<Vec<Stated>, PageError> {
    let (begin, end) = run.marks();
    let lines: Vec<&str> = page.lines().collect();
    let first = lines
        .iter()
        .position(|l| l.trim() == begin)
        .ok_or(PageError::NoMark(begin))?;
    let length = lines[first..]
        .iter()
        .position(|l| l.trim() == end)
        .ok_or(PageError::NoMark(end))?;
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
            return Err(PageError::Twice {
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
    let unreadable = |column, text: &str| PageError::Unreadable {
        line,
        column,
        text: text.into(),
    };
    let id = cell(columns.id).trim_matches('`');
    let quantity = quantity(id).ok_or_else(|| PageError::Unknown {
        line,
        id: id.into(),
    })?;
    let planned = cell(columns.planned);
    let holds = match cell(columns.holds) {
        "yes" => Some(true),
        "NO" => Some(false),
        "-" => None,
        other => return Err(unreadable("holds", other)),
    };
    let fails_at = match cell(columns.fails_at) {
        "-" => None,
        text => Some(percent(text).ok_or_else(|| unreadable("fails at", text))?),
    };
    let bound = cell(columns.bound);
    let bound = percent(bound).ok_or_else(|| unreadable("bound", bound))?;
    let value =
        leading_number(planned).ok_or_else(|| unreadable("at the planned size", planned))?;
    Ok(Stated {
        quantity,
        planned: value,
        holds,
        fails_at,
        bound,
        row: row.into(),
    })
}

fn cells(row: &str) -> Vec<&str> {
    row.trim()
        .trim_matches('|')
        .split('|')
        .map(str::trim)
        .collect()
}

/// The number that a cell begins with, given in percent, as a part of 1.
fn percent(cell: &str) -> Option<f64> {
    let number = cell.split_whitespace().next()?.strip_suffix('%')?;
    leading_number(number)
        .filter(|p| *p >= 0.0)
        .map(|p| p / 100.0)
}

/// The number that a cell begins with.
fn leading_number(cell: &str) -> Option<f64> {
    let first = cell.split_whitespace().next()?;
    first
        .replace(',', "")
        .parse::<f64>()
        .ok()
        .filter(|v| v.is_finite())
}
