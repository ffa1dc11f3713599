//! The figures that `docs/CAPACITY.md` states, read from its two marked tables.

use crate::catalog::{QUANTITIES, Quantity, quantity};
use crate::derived;
use crate::figure::Figure;
use crate::first;
use crate::table;

/// Which run a table is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// All sizes, times as well.
    Full,
    /// `--quick`: small sizes, counts and bytes alone.
    Quick,
}

impl Run {
    /// The lines around its table.
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
    pub quantity: &'static Quantity,
    pub planned: f64,
    /// Whether the budget held; `None` where there is none.
    pub holds: Option<bool>,
    /// The smallest part of the planned size at which the budget does not hold, where it does not.
    pub fails_at: Option<f64>,
    /// By how much a run may be worse, as a part of the figure.
    pub bound: f64,
    /// The row's text, to be kept where a run does not measure it.
    row: String,
}

/// Why the page can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PageError {
    #[error("the line '{0}' is missing")]
    NoMark(&'static str),
    #[error("line {line}: no column '{column}'")]
    NoColumn { line: usize, column: &'static str },
    #[error("line {line}: no quantity '{id}'")]
    Unknown { line: usize, id: String },
    #[error("line {line}: '{id}' is stated twice")]
    Twice { line: usize, id: String },
    #[error("line {line}: {column}: '{text}' can't be read")]
    Unreadable {
        line: usize,
        column: &'static str,
        text: String,
    },
}

/// Columns that are read back.
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
        let place = |column: &'static str| {
            cells
                .iter()
                .position(|c| *c == column)
                .ok_or(PageError::NoColumn { line, column })
        };
        Ok(Columns {
            id: place("id")?,
            planned: place("at the planned size")?,
            holds: place("holds")?,
            fails_at: place("fails at")?,
            bound: place("bound")?,
        })
    }
}

/// The figures of one run's table. Lines count from 1.
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
        let figure = read(line, row, &columns)?;
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

fn read(line: usize, row: &str, columns: &Columns) -> Result<Stated, PageError> {
    let cells = cells(row);
    let cell = |place: usize| cells.get(place).copied().unwrap_or_default();
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
    let value = leading(planned).ok_or_else(|| unreadable("at the planned size", planned))?;
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

/// The part that a cell begins with, given in hundredths.
fn percent(cell: &str) -> Option<f64> {
    let number = cell.split_whitespace().next()?.strip_suffix('%')?;
    leading(number).filter(|p| *p >= 0.0).map(|p| p / 100.0)
}

/// The number that a cell begins with.
fn leading(cell: &str) -> Option<f64> {
    let unit_text = cell.split_whitespace().next()?;
    unit_text
        .replace(',', "")
        .parse::<f64>()
        .ok()
        .filter(|v| v.is_finite())
}

/// The lines around what is worked out from the full run's figures.
const WORKED_OUT: (&str, &str) = (
    "<!-- worked out from the full run -->",
    "<!-- end of what is worked out -->",
);

/// The lines around what fails first by the full run's figures.
const FAILS_FIRST: (&str, &str) = (
    "<!-- what fails first -->",
    "<!-- end of what fails first -->",
);

/// The page with these figures in place of those with the same ids; all other rows stay. What the page works out from
/// the full run's figures is worked out anew.
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
    let page = if_marked(page, WORKED_OUT, &derived::of_page(&now))?;
    if_marked(page, FAILS_FIRST, &first::of_page(&now))
}

/// The page with these lines between two marks, where it has these.
fn if_marked(
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

/// The page with this text between two lines.
fn replaced(
    page: &str,
    marks: (&'static str, &'static str),
    text: &str,
) -> Result<String, PageError> {
    let (begin, end) = marks;
    let (ahead, rest) = page.split_once(begin).ok_or(PageError::NoMark(begin))?;
    let (_, after) = rest.split_once(end).ok_or(PageError::NoMark(end))?;
    Ok(format!("{ahead}{begin}\n\n{text}\n\n{end}{after}"))
}
